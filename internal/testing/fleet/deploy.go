package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/template"
	"time"

	"jayspindle/internal/transport/identity"
)

// The services of the deployment. Only the first has agents from the start.
const (
	CrewLink  = "crew-link"
	SheetDesk = "sheet-desk"
)

// The last byte of an address is the number of the instance plus one of these.
const (
	controllerHost = 0
	balancerHost   = 10
	crewLinkHost   = 20
	sheetDeskHost  = 40 // the agents of sheet-desk
	serviceHost    = 250
	controllers    = 3
	balancers      = 3
)

// instance holds the values for the settings templates of one instance.
type instance struct {
	Name, Host, Zone, Debug, Service    string
	Controllers, Upstreams, City, Works string
	Bootstrap                           bool
	Balancers, Services                 []string
	Callers, Attempts                   int
	Ledgers                             string
	Seed                                int // clients with equal seeds send equal idempotency keys
}

// createKeys creates the certificate authority, the keys of the owners and
// services, and the settings of the operator.
func (f *Fleet) createKeys() {
	var err error

	f.authority, err = identity.CreateAuthority(f.path("authority.pem"), f.path("authority.key"), "fleet", time.Now())
	f.check(err)

	for _, owner := range []string{"city", "works", CrewLink + "-service", SheetDesk + "-service"} {
		key, err := identity.CreateKey(f.path(owner + ".key"))
		f.check(err)
		f.publicKeys[owner] = key.PublicKey()
	}

	for _, service := range []string{CrewLink, SheetDesk} {
		f.check(f.authority.IssueService(service, f.path(service+".pem"), f.path(service+".key"), time.Now()))
	}

	f.issue(identity.RoleOperator, "operator", identity.AllEnvironments, "")
	f.write("operator.yaml", operatorSettings, f.instance("operator"))
}

// issue creates the certificate of an instance unless it exists.
func (f *Fleet) issue(role identity.Role, name, environment, service string) {
	if _, err := os.Stat(f.path(name + ".pem")); err == nil {
		return
	}

	holder := identity.Identity{Role: role, Environment: environment, Name: name, Service: service}
	f.check(f.authority.Issue(holder, f.path(name+".pem"), f.path(name+".key"), time.Now()))
}

func (f *Fleet) write(file, text string, data any) {
	f.t.Helper()

	var content bytes.Buffer

	f.check(template.Must(template.Must(template.New("").Parse(commonSettings)).Parse(text)).Execute(&content, data))
	f.check(os.WriteFile(f.path(file), content.Bytes(), fileMode))
}

// instance returns the template values of an instance named KIND-NUMBER.
func (f *Fleet) instance(name string) instance {
	var listen []string
	for number := 1; number <= controllers; number++ {
		listen = append(listen, f.ControllerAddress(number))
	}

	settings := instance{
		Seed: len(f.started) * 1000,
		Name: name, Host: f.host(name), Debug: f.debugAddress(name), Zone: zones[(numberOf(name)+2)%len(zones)],
		Controllers: strings.Join(listen, ", "), Upstreams: strings.Join(listen, ", "),
		City: identity.FormatPublicKey(f.publicKeys["city"]), Works: identity.FormatPublicKey(f.publicKeys["works"]),
	}
	if upstreams := f.upstreams[name]; upstreams != nil {
		settings.Upstreams = strings.Join(upstreams, ", ")
	}

	return settings
}

func numberOf(name string) int {
	number, err := strconv.Atoi(name[strings.LastIndex(name, "-")+1:])
	if err != nil {
		return 0
	}

	return number
}

// host returns the address of an instance.
func (f *Fleet) host(name string) string {
	base := serviceHost

	switch {
	case strings.HasPrefix(name, "controller"):
		base = controllerHost
	case strings.HasPrefix(name, "balancer"):
		base = balancerHost
	case strings.HasPrefix(name, CrewLink):
		base = crewLinkHost
	case strings.HasPrefix(name, SheetDesk):
		base = sheetDeskHost
	}

	return fmt.Sprintf("%s.%d", f.network, base+numberOf(name))
}

// debugAddress returns the address of the health check of an instance.
func (f *Fleet) debugAddress(name string) string { return f.host(name) + ":6401" }

// ControllerAddress returns the listen address of a controller.
func (f *Fleet) ControllerAddress(number int) string { return f.host(Controller(number)) + ":6101" }

// Controller returns the name of a controller.
func Controller(number int) string { return fmt.Sprintf("controller-%d", number) }

// Balancer returns the name of a balancer.
func Balancer(number int) string { return fmt.Sprintf("balancer-%d", number) }

// Agent returns the name of an agent of crew-link.
func Agent(number int) string { return fmt.Sprintf("%s-%d", CrewLink, number) }

// Via sets the upstreams that an instance uses from its next start on.
func (f *Fleet) Via(name string, upstreams []string) { f.upstreams[name] = upstreams }

// Deploy starts the controllers, makes the first change, starts the balancers
// and a number of agents with backend servers, and waits until all are ready
// and have applied the newest view.
func (f *Fleet) Deploy(agents int) {
	f.t.Helper()

	for number := 1; number <= controllers; number++ {
		f.StartController(number)
	}

	f.Change()

	var names []string

	for number := 1; number <= balancers; number++ {
		f.StartBalancer(number)
		names = append(names, Balancer(number))
	}

	for number := 1; number <= agents; number++ {
		f.StartBackend(Agent(number))
		f.StartAgent(CrewLink, Agent(number))
		names = append(names, Agent(number))
	}

	f.AwaitReady(names...)
	f.AwaitInForce(balancers + agents)
}

// StartController starts a controller. Controller 1 bootstraps the group on its
// first start.
func (f *Fleet) StartController(number int) {
	name := Controller(number)
	f.issue(identity.RoleController, name, identity.AllEnvironments, "")

	settings := f.instance(name)
	settings.Bootstrap = !f.bootstrapped && number == 1
	f.bootstrapped = f.bootstrapped || settings.Bootstrap

	f.write(name+".yaml", controllerSettings, settings)
	f.start(name, "controller", "-settings", name+".yaml")
}

// RemoveData removes the data directory of a controller.
func (f *Fleet) RemoveData(number int) { f.check(os.RemoveAll(f.path(Controller(number) + ".data"))) }

// StartBalancer starts a balancer.
func (f *Fleet) StartBalancer(number int) {
	name := Balancer(number)
	f.issue(identity.RoleBalancer, name, "production", "")
	f.write(name+".yaml", balancerSettings, f.instance(name))
	f.start(name, "balancer", "-settings", name+".yaml")
}

// StartBackend starts the backend server of an agent at the agent's address.
func (f *Fleet) StartBackend(agent string) { f.StartBackendAt(agent, agent) }

// StartBackendAt starts the backend server of an agent at the address of
// another instance.
func (f *Fleet) StartBackendAt(agent, at string) {
	settings := f.instance(agent)
	settings.Host = f.host(at)
	f.write("backend-"+agent+".yaml", backendSettings, settings)
	f.start("backend-"+agent, "backend", "-settings", "backend-"+agent+".yaml")
}

// StartAgent starts an agent at its own address.
func (f *Fleet) StartAgent(service, name string) { f.StartAgentAt(service, name, name) }

// StartAgentAt starts an agent at the address of another instance.
func (f *Fleet) StartAgentAt(service, name, at string) {
	f.issue(identity.RoleAgent, name, "production", service)

	settings := f.instance(name)
	settings.Service = service
	settings.Host, settings.Debug = f.host(at), f.debugAddress(at)

	f.write(name+".yaml", agentSettings, settings)
	f.start(name, "agent", "-settings", name+".yaml")
}

// Restart stops an instance gracefully and starts it again.
func (f *Fleet) Restart(name string) {
	f.t.Helper()
	f.Terminate(name)
	f.Rerun(name)
}

// Rerun starts a stopped instance again with the same settings.
func (f *Fleet) Rerun(name string) {
	f.t.Helper()
	f.start(name, f.processes[name].command.Args[1:]...)
}
