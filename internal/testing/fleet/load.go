package fleet

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"jayspindle/internal/program/load"
)

// Load configures the callers of a load client. Each caller keeps a feed open,
// and sends pass reports and positions.
type Load struct {
	Callers  int
	Attempts int      // at most, for each request
	Services []string // crew-link if empty
}

// Calls is a running load client.
type Calls struct {
	fleet   *Fleet
	process *process
}

// StartLoad starts the load client.
func (f *Fleet) StartLoad(l Load) *Calls {
	settings := f.instance("load")
	settings.Callers, settings.Attempts, settings.Services = l.Callers, l.Attempts, l.Services

	if len(l.Services) == 0 {
		settings.Services = []string{CrewLink}
	}

	for number := 1; number <= balancers; number++ {
		settings.Balancers = append(settings.Balancers, f.host(Balancer(number)))
	}

	settings.Ledgers = strings.Join(f.ledgers(), ", ")
	file := "load-" + strings.Join(settings.Services, "-")
	f.write(file+".yaml", loadSettings, settings)

	return &Calls{fleet: f, process: f.start(file, "load", "-json", "-settings", file+".yaml")}
}

func (f *Fleet) ledgers() []string {
	var ledgers []string

	for name := range f.processes {
		if agent, ok := strings.CutPrefix(name, "backend-"); ok {
			ledgers = append(ledgers, agent+".ledger")
		}
	}

	slices.Sort(ledgers)

	return ledgers
}

// Log returns the log of the load client.
func (c *Calls) Log() []Line { return c.fleet.Log(c.process.name) }

// Feeds returns the backend server of the latest feed of each caller.
func (c *Calls) Feeds() map[string]string {
	feeds := make(map[string]string)

	for _, line := range c.Log() {
		if line.Msg == "feed opened" {
			feeds[line.Caller] = line.BackendServer
		}
	}

	return feeds
}

// Stop stops the load client and returns its result.
func (c *Calls) Stop() *load.Result {
	c.fleet.t.Helper()
	c.process.signal(syscall.SIGTERM)

	select {
	case <-c.process.done:
	case <-time.After(Patience):
		c.process.signal(syscall.SIGQUIT) // makes it log its goroutines
		<-c.process.done
		c.fleet.t.Fatalf("the load client did not stop within %s, see %s", Patience, c.process.log)
	}

	result := &load.Result{}
	if err := json.Unmarshal(c.process.output.Bytes(), result); err != nil {
		log, _ := os.ReadFile(c.process.log)
		c.fleet.t.Fatalf("load client: %v: %s", err, log)
	}

	c.fleet.t.Logf("%s", c.process.output.String())

	return result
}
