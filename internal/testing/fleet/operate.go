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
	firstLimit = 2000 // first packets a second in the first document

	exitOK = 0
)

// Operate runs an operator's command and returns its output and exit status.
func (f *Fleet) Operate(arguments ...string) (string, int) {
	f.t.Helper()

	return f.Begin(arguments...)()
}

// Begin starts an operator's command. The returned function waits for its end
// and returns its output and exit status.
func (f *Fleet) Begin(arguments ...string) func() (string, int) {
	f.t.Helper()

	p := f.start("operator-command", arguments...)

	return func() (string, int) {
		<-p.done

		return p.output.String(), p.command.ProcessState.ExitCode()
	}
}

// Members returns the controller group as the leader knows it, empty without one.
func (f *Fleet) Members() []control.Member {
	output, exit := f.Operate("members", "-json")
	if exit != exitOK {
		return nil
	}

	var reply control.MembersReply

	f.check(json.Unmarshal([]byte(output), &reply))

	return reply.Members
}

// OperatorAt writes settings of an operator who knows one controller only, and
// returns the file name.
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

// Leader waits for a leader and returns its name.
func (f *Fleet) Leader() string {
	var name string

	f.Await("a controller leads", func() bool {
		status, ok := f.Status("production")
		name = status.Leader

		return ok
	})

	return name
}

// WriteDocument writes the document with a limit that tells it from others.
func (f *Fleet) WriteDocument(file string, limit int) [32]byte {
	type service struct{ Name, Address, Key string }

	var services []service

	for i, name := range []string{CrewLink, SheetDesk} {
		services = append(services, service{
			Name: name, Address: fmt.Sprintf("%s.%d:%d", f.network, serviceHost, 7001+i),
			Key: identity.FormatPublicKey(f.public[name+"-service"]),
		})
	}

	f.write(file, documentText, map[string]any{"Services": services, "Limit": limit})

	content, err := os.ReadFile(f.path(file))
	f.check(err)

	return document.Digest(content)
}

// Change submits a new document to trial, promotes it to production, signs it
// as both owners in both and waits until production accepted it. Steps whose
// answer is lost are repeated.
func (f *Fleet) Change() {
	f.t.Helper()
	f.stage++

	file := fmt.Sprintf("document-%d.yaml", f.stage)
	digest := f.WriteDocument(file, firstLimit+f.stage)

	for _, environment := range []string{"trial", "production"} {
		f.Await(fmt.Sprintf("%s accepts change %d", environment, f.stage), func() bool {
			return f.advance(environment, file, digest)
		})
	}
}

// advance makes the next step of a change and reports whether it is accepted.
func (f *Fleet) advance(environment, file string, digest [32]byte) bool {
	status, ok := f.Status(environment)

	switch {
	case !ok:
	case [32]byte(pad(status.Digest)) == digest:
		return true
	case status.Pending == nil && environment == "trial":
		f.Operate("submit", "-environment", environment, "-file", file, "-author", "city",
			"-change", fmt.Sprintf("change-%d", f.stage))
	case status.Pending == nil:
		f.Operate("promote", "-author", "works", "-change", fmt.Sprintf("promotion-%d", f.stage))
	default:
		for _, owner := range []string{"city", "works"} {
			if !slices.Contains(status.Pending.Signers, owner) {
				f.Sign(environment, file, owner)
			}
		}
	}

	return false
}

// pad returns 32 bytes: an environment without a document has no digest.
func pad(digest []byte) []byte { return append(digest, make([]byte, 32)...)[:32] }

// Sign signs the pending change as an owner and returns the exit status.
func (f *Fleet) Sign(environment, file, owner string) int {
	_, exit := f.Operate("sign", "-environment", environment, "-file", file, "-owner", owner, "-key", owner+".key")

	return exit
}

// AwaitInForce waits until production has that many instances, and the newest
// position is in force at each of them.
func (f *Fleet) AwaitInForce(instances int) {
	f.t.Helper()

	f.Await(fmt.Sprintf("the newest position is in force at %d instances", instances), func() bool {
		status, ok := f.Status("production")

		return ok && status.Agents+status.Balancers == uint32(instances) && status.InForce == uint32(instances)
	})
}

// Line is what tests read of a line in a log.
type Line struct {
	Msg           string
	Position      string
	Caller        string
	BackendServer string `json:"backend_server"`
}

// Log returns the log of the present run of a process.
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

// Positions returns the positions that the present run of an instance put into
// force, oldest first, as its log tells.
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

// Runs returns how many requests the backend server beside an agent has begun.
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
