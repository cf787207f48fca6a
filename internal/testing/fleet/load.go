package fleet

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"syscall"

	"jayspindle/internal/program/load"
)

// Load describes the callers of a fleet. Each keeps a feed open, and sends
// pass reports and positions.
type Load struct {
	Callers  int
	Attempts int      // of each request
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
	f.write("load.yaml", loadSettings, settings)

	return &Calls{fleet: f, process: f.start("load", "load", "-json", "-settings", "load.yaml")}
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

// Stop ends the load and returns what the callers saw.
func (c *Calls) Stop() *load.Result {
	c.fleet.t.Helper()
	c.process.signal(syscall.SIGTERM)
	<-c.process.done

	result := &load.Result{}
	if err := json.Unmarshal(c.process.output.Bytes(), result); err != nil {
		log, _ := os.ReadFile(c.process.log)
		c.fleet.t.Fatalf("load client: %v: %s", err, log)
	}

	c.fleet.t.Logf("%s", c.process.output.String())

	return result
}
