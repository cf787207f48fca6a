package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"

	"jayspindle/internal/program/backend"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/document"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
)

const (
	initialFirstPacketLimit = 2000 // first packets per second; each change adds 1

	exitOK = 0
)

// Operate runs an operator command and returns its output and exit status.
func (f *Fleet) Operate(arguments ...string) (string, int) {
	f.t.Helper()

	return f.Begin(arguments...)()
}

// Begin starts an operator command. The returned function waits until it exits
// and returns its output and exit status.
func (f *Fleet) Begin(arguments ...string) func() (string, int) {
	f.t.Helper()

	p := f.start("operator-command", arguments...)

	return func() (string, int) {
		<-p.done

		return p.output.String(), p.command.ProcessState.ExitCode()
	}
}

// Members returns the members of the controller group as reported by the leader,
// or none if the command fails.
func (f *Fleet) Members() []control.Member {
	output, exit := f.Operate("members", "-json")
	if exit != exitOK {
		return nil
	}

	var reply control.MembersReply

	f.check(json.Unmarshal([]byte(output), &reply))

	return reply.Members
}

// OperatorAt writes operator settings that list only one controller, and returns
// the file name.
func (f *Fleet) OperatorAt(number int) string {
	settings := f.instance("operator")
	settings.Controllers = f.ControllerAddress(number)
	file := fmt.Sprintf("operator-%d.yaml", number)
	f.write(file, operatorSettings, settings)

	return file
}

// Status returns the state of an environment; ok is false if no leader answers.
func (f *Fleet) Status(environment string) (status control.StatusReply, ok bool) {
	output, exit := f.Operate("status", "-json", "-environment", environment)
	if exit != exitOK {
		return status, false
	}

	f.check(json.Unmarshal([]byte(output), &status))

	return status, true
}

// Leader waits until a leader is elected and returns its name.
func (f *Fleet) Leader() string {
	var name string

	f.Await("a controller leads", func() bool {
		status, ok := f.Status("production")
		name = status.Leader

		return ok
	})

	return name
}

// WriteDocument writes a document and returns its digest. Documents differ only
// in the limit of first packets per second.
func (f *Fleet) WriteDocument(file string, limit int) [32]byte {
	type service struct{ Name, Address, Key string }

	var services []service

	for i, name := range []string{CrewLink, SheetDesk} {
		services = append(services, service{
			Name: name, Address: fmt.Sprintf("%s.%d:%d", f.network, serviceHost, 7001+i),
			Key: identity.FormatPublicKey(f.publicKeys[name+"-service"]),
		})
	}

	f.write(file, documentText, map[string]any{"Services": services, "Limit": limit})

	content, err := os.ReadFile(f.path(file))
	f.check(err)

	return document.Digest(content)
}

// Change submits a new document to trial, promotes it to production, signs it
// as both owners in each environment and waits until production accepts it. A
// step is repeated if its reply is lost.
func (f *Fleet) Change() {
	f.t.Helper()
	f.changeCount++

	file := fmt.Sprintf("document-%d.yaml", f.changeCount)
	digest := f.WriteDocument(file, initialFirstPacketLimit+f.changeCount)

	for _, environment := range []string{"trial", "production"} {
		f.Await(fmt.Sprintf("%s accepts change %d", environment, f.changeCount), func() bool {
			return f.advance(environment, file, digest)
		})
	}
}

// advance takes the next step of a change, and reports whether the change is
// already accepted.
func (f *Fleet) advance(environment, file string, digest [32]byte) bool {
	status, ok := f.Status(environment)

	switch {
	case !ok:
	case [32]byte(padDigest(status.Digest)) == digest:
		return true
	case status.Pending == nil && environment == "trial":
		f.Operate("submit", "-environment", environment, "-file", file, "-author", "city",
			"-change", fmt.Sprintf("change-%d", f.changeCount))
	case status.Pending == nil:
		f.Operate("promote", "-author", "works", "-change", fmt.Sprintf("promotion-%d", f.changeCount))
	default:
		for _, owner := range []string{"city", "works"} {
			if !slices.Contains(status.Pending.Signers, owner) {
				f.Sign(environment, file, owner)
			}
		}
	}

	return false
}

// padDigest extends a digest to 32 bytes, because the digest of an environment
// without a document is empty.
func padDigest(digest []byte) []byte { return append(digest, make([]byte, 32)...)[:32] }

// Sign signs the pending change as an owner and returns the exit status.
func (f *Fleet) Sign(environment, file, owner string) int {
	_, exit := f.Operate("sign", "-environment", environment, "-file", file, "-owner", owner, "-key", owner+".key")

	return exit
}

// AwaitInForce waits until production has that many agents and balancers, and
// all of them have applied the newest view.
func (f *Fleet) AwaitInForce(instances int) {
	f.t.Helper()

	f.Await(fmt.Sprintf("the newest position is in force at %d instances", instances), func() bool {
		status, ok := f.Status("production")

		return ok && status.Agents+status.Balancers == uint32(instances) && status.InForce == uint32(instances)
	})
}

// Line holds the fields of a log line that tests use.
type Line struct {
	Msg           string
	Position      string
	Caller        string
	BackendServer string `json:"backend_server"`
}

// Log returns the JSON lines in the log of the latest run of a process.
func (f *Fleet) Log(name string) []Line {
	log, err := os.ReadFile(f.processes[name].log)
	f.check(err)

	var parsed []Line

	for text := range bytes.Lines(log) {
		var line Line
		if json.Unmarshal(text, &line) == nil {
			parsed = append(parsed, line)
		}
	}

	return parsed
}

// Positions returns the positions of the views that the latest run of an instance
// applied, oldest first, according to its log.
func (f *Fleet) Positions(name string) []view.Position {
	var positions []view.Position

	for _, line := range f.Log(name) {
		if line.Msg != "view in force" {
			continue
		}

		var position view.Position
		if _, err := fmt.Sscanf(line.Position, "%d/%d", &position.Generation, &position.Index); err != nil {
			f.t.Fatalf("%s logs position %q", name, line.Position)
		}

		positions = append(positions, position)
	}

	return positions
}

// Runs returns how many requests the backend server of an agent has started.
func (f *Fleet) Runs(agent string) int64 {
	f.t.Helper()

	client := http.Client{Timeout: healthTimeout}

	response, err := client.Get("http://" + f.host(agent) + ":8080/healthz")
	f.check(err)

	defer func() { f.check(response.Body.Close()) }()

	var report backend.HealthReport

	f.check(json.NewDecoder(response.Body).Decode(&report))

	return report.Runs
}
