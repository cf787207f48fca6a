package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the installation, as SYSTEM.md gives them for kssw-routes.
const (
	heartbeat    = 770 * time.Millisecond
	stableWindow = 4 * time.Second
	grace        = 6 * time.Second
	drainBound   = 3 * time.Second
	maxFlow      = 60 * time.Second
	idleTimeout  = 15 * time.Second
	resetWindow  = 76800
	memoryLimit  = 280
)

type port int

const (
	portData port = iota
	portReady
	portControl
	portOutbound
	portApp
	portInner
	portCount
)

var errSetup = errors.New("the case couldn't run")

type machine struct {
	world   *world
	name    string
	role    string
	ip      netip.Addr
	service string
	backend *backend

	busy    atomic.Bool
	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (m *machine) at(p port) netip.AddrPort { return netip.AddrPortFrom(m.ip, m.world.ports[p]) }

// world is a small deployment on loopback.
type world struct {
	folder   string
	subnet   [2]byte
	ports    [portCount]uint16
	machines []*machine
	router   *router
	clients  map[int]*client
	slots    int
	hash     string        // of the routers
	padding  int           // bytes that make requests larger
	loss     float64       // share of the packets between clients and fronts that is lost
	jitter   time.Duration // longest delay of a client's packet
	work     time.Duration
	closing  atomic.Bool
	begin    time.Time
	trouble  bool
	control  bool // CONTROL=1: the disruption comes, without the part that matters

	judgeDistance bool

	mutex      sync.Mutex // guards everything below
	out        io.Writer
	violations []string
	requests   map[string]string // by id: sent, ran, answered
	runs       map[string]int
	counts     map[string]int
	calmSince  time.Time // after the last disruption; zero if the case doesn't tell
}

// calm sets since when nothing disturbs the deployment.
func (w *world) calm(since time.Time) {
	w.mutex.Lock()
	w.calmSince = since
	w.mutex.Unlock()
}

// inTouch reports whether the machines are in touch, for cases with unplanned faults.
func (w *world) inTouch() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.calmSince.IsZero() || time.Since(w.calmSince) > stableWindow
}

func newWorld(recordPath string) (*world, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}

	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}

	w := &world{
		folder: folder, out: out, begin: time.Now(), hash: "steady", slots: 3, work: 22 * time.Millisecond,
		clients: make(map[int]*client), requests: make(map[string]string), runs: make(map[string]int), counts: make(map[string]int),
		trouble: os.Getenv("TROUBLE") != "0", control: os.Getenv("CONTROL") == "1",
	}
	w.router = newRouter(w)

	for range 50 {
		if w.pickAddresses() {
			return w, nil
		}
	}

	return nil, errors.New("no free addresses")
}

// pickAddresses draws a part of the loopback network and ports, and reports whether
// they are free.
func (w *world) pickAddresses() bool {
	w.subnet = [2]byte{byte(2 + rand.IntN(250)), byte(1 + rand.IntN(250))}
	base := uint16(10000 + rand.IntN(9000))

	for p := range portCount {
		w.ports[p] = base + uint16(p)

		listener, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(1), w.ports[p]).String())
		if err != nil {
			return false
		}

		listener.Close()

		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.ip(1), w.ports[p])))
		if err != nil {
			return false
		}

		conn.Close()
	}

	return true
}

func (w *world) ip(last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.subnet[0], w.subnet[1], byte(last)})
}

// route returns the address of a route, which is one of the platform's.
func (w *world) route(number int) netip.AddrPort {
	return netip.AddrPortFrom(w.ip(250), uint16(8000+number))
}

func (w *world) of(role string) []*machine {
	var found []*machine

	for _, m := range w.machines {
		if m.role == role {
			found = append(found, m)
		}
	}

	return found
}

func (w *world) record(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, arguments...))
}

func (w *world) violate(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.record("BROKEN %s", text)
	w.mutex.Lock()
	w.violations = append(w.violations, text)
	w.mutex.Unlock()
}

// forgive forgets what was found so far.
func (w *world) forgive() {
	w.mutex.Lock()
	w.violations = nil
	w.mutex.Unlock()
}

func (w *world) note(id, what string) {
	w.mutex.Lock()
	w.requests[id] = what
	w.counts[what]++

	if what == "ran" {
		w.runs[id]++
	}
	w.mutex.Unlock()
}

func (w *world) sent(id string) { w.note(id, "sent") }

func (w *world) ran(id, by string) {
	w.record("request %s runs at %s", id, by)
	w.note(id, "ran")
}

func (w *world) answered(id string) { w.note(id, "answered") }

func (w *world) must(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errSetup, err))
	}
}

// addMachine adds a machine without starting it.
func (w *world) addMachine(name, role, service string) *machine {
	m := &machine{world: w, name: name, role: role, service: service, ip: w.ip(len(w.machines) + 1)}
	w.machines = append(w.machines, m)

	return m
}

// writeSettings writes the settings file of a machine.
func (w *world) writeSettings(m *machine, bootstrap bool) {
	classes := map[string][2]string{"balancer": {"front", "front"}, "agent": {"side", "side"}, "controller": {"core", "control"}}
	class := classes[m.role]

	var seeds []string

	for _, c := range w.of("controller")[:3] {
		seeds = append(seeds, fmt.Sprintf("  - %q", c.at(portControl)))
	}

	listen := fmt.Sprintf("  datagramAddr: %q\n  ready: %q\n", m.at(portData), m.at(portReady))
	extra := "dataDir: null\n"

	switch m.role {
	case "agent":
		listen += fmt.Sprintf("  outbound: %q\n  control: %q\n", m.at(portOutbound), m.at(portControl))
		extra += fmt.Sprintf("service: %q\napp: %q\n", m.service, m.at(portApp))
	case "controller":
		listen = fmt.Sprintf("  control: %q\n", m.at(portControl))
		extra = fmt.Sprintf("dataDir: %q\n", w.dataDir(m))
	}

	text := fmt.Sprintf(`node: %q
role: %q
machineClass: %q
serves:
  - %q
ip: %q
zone: "z1"
region: "r1"
zones:
  z1: "r1"
listen:
%sinternalPorts:
  - %d
  - %d
seeds:
%s
bootstrap: %t
lossCounts: %t
limits:
  cpuShare: 0.96
  cores: 1
  memoryMb: %d
  maxFds: 4096
  linkMbps: 1000.0
  diskMb: 128
discovery: "local"
entry: "announce"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "recover", "flows"]
faultTolerance:
  machines: 2
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  stableWindowMs: 4000
  ackMs: 5000
  catchUpS: 4
  drainMs: 3000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 3000
  rollbackSlackMs: 250
  maxSkewMs: 12000
  recoveryS: 12
  flowMs: 2000
  maxFlowS: 60
config_mode: "highest"
hash: %q
deploymentMode: "agent"
%s`, m.name, m.role, class[0], class[1], m.ip, listen, w.ports[portInner], w.ports[portInner]+10,
		strings.Join(seeds, "\n"), bootstrap, m.role == "controller", memoryLimit, heartbeat.Milliseconds(), w.hash, extra)

	w.must(os.WriteFile(w.settings(m), []byte(text), 0o600))
}

func (w *world) settings(m *machine) string { return filepath.Join(w.folder, m.name+".yaml") }

func (w *world) dataDir(m *machine) string { return filepath.Join(w.folder, m.name) }

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(m *machine) {
	if m.role == "controller" {
		w.must(os.MkdirAll(w.dataDir(m), 0o700))
	}

	log, err := os.OpenFile(filepath.Join(w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.must(err)

	command := exec.Command("target/jayspindle-node", m.role)
	command.Env = []string{"JAYSPINDLE_CONFIG=" + w.settings(m), "PATH=" + os.Getenv("PATH"), "HOME=" + w.folder}
	command.Stdout, command.Stderr = log, log
	w.must(command.Start())
	w.record("%s starts", m.name)

	exited := make(chan struct{})

	m.mutex.Lock()
	m.command, m.exited = command, exited
	m.mutex.Unlock()

	go func() {
		err := command.Wait()
		w.record("%s ends: %v", m.name, err)
		log.Close()
		close(exited)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if m.command != nil {
		m.world.record("%s gets %v", m.name, s)
		_ = m.command.Process.Signal(s)
	}
}

// stop sends SIGTERM and waits for the end of the process, which is killed after the
// grace time.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)

	select {
	case <-m.exited:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// close ends all processes that were started and removes the folder.
func (w *world) close() {
	w.closing.Store(true)

	for _, m := range w.machines {
		m.mutex.Lock()
		command, exited := m.command, m.exited
		m.mutex.Unlock()

		if command != nil {
			_ = command.Process.Kill()
			<-exited
		}
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// deploy starts 5 controllers, fronts, and side machines with their backends, puts a
// manifest and waits until all is ready and in touch.
func (w *world) deploy(fronts, sides int) {
	for i := range 5 {
		w.addMachine(fmt.Sprintf("core-%d", i+1), "controller", "")
	}

	for i := range fronts {
		w.addMachine(fmt.Sprintf("front-%d", i+1), "balancer", "")
	}

	for i := range sides {
		w.addMachine(fmt.Sprintf("side-%d", i+1), "agent", "desk")
	}

	for _, m := range w.machines {
		w.writeSettings(m, true)
		w.start(m)
	}

	for _, m := range w.of("agent") {
		w.startBackend(m, 1, 100*time.Millisecond)
	}

	go w.router.run()

	w.put(w.manifest(1, 1), 15*time.Second)
	w.waitFor("the fronts are ready", 15*time.Second, func() bool { return w.router.ready() == fronts })
	time.Sleep(stableWindow + time.Second)
	w.record("the machines are in touch")
}

func (w *world) waitFor(what string, limit time.Duration, condition func() bool) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}

	panic(fmt.Errorf("%w: not so within %v: %s", errSetup, limit, what))
}

// manifest returns a manifest with a number of routes, all to the service "desk".
func (w *world) manifest(version, routes int) []byte {
	var list []string

	for i := range routes {
		route := w.route(i)
		list = append(list, fmt.Sprintf(`{"name":"r-%d","hostname":"%s","pathPrefix":"/%d/","type":"safe","timeoutMs":2000,`+
			`"targetLatencyMs":120,"priority":1,"service":"desk","maxAttempts":2}`, i, route.Addr(), route.Port()))
	}

	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk","healthPath":"/health",`+
		`"maxConnections":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, strings.Join(list, ",")))
}

// put sends a manifest to one node after the other until it is acknowledged.
func (w *world) put(body []byte, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		nodes := w.of("controller")
		node := nodes[rand.IntN(len(nodes))]

		if status := w.putOnce(node.at(portControl), body); status == http.StatusOK {
			w.record("the manifest is acknowledged by %s", node.name)

			return
		}
	}

	panic(fmt.Errorf("%w: the manifest was not acknowledged", errSetup))
}

// tryPut is put without an error.
func (w *world) tryPut(body []byte, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		nodes := w.of("controller")

		if w.putOnce(nodes[rand.IntN(len(nodes))].at(portControl), body) == http.StatusOK {
			return
		}
	}
}

// putOnce sends a manifest to one node and follows redirects. It returns 0 if there is
// no response within a second.
func (w *world) putOnce(node netip.AddrPort, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Post("http://"+node.String()+"/v1/Config.Put", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}

	response.Body.Close()

	return response.StatusCode
}
