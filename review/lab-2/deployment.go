package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of all machines, as in the example of the platform's page.
const (
	dataPort     = 8172
	outboundPort = 8162
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	metricsPort  = 9464
	innerPort    = 7720
)

// Values of the small site.
const (
	heartbeat     = 770 * time.Millisecond
	configApply   = 3 * time.Second
	stableWindow  = 4 * time.Second
	drain         = 3 * time.Second
	catchUp       = 4 * time.Second
	recovery      = 12 * time.Second
	flowWindow    = 2 * time.Second
	idleTimeout   = 15 * time.Second
	restartDelay  = 500 * time.Millisecond // of a process that was killed
	programBinary = "target/jayspindle-node"
)

// lab is one run of a case.
type lab struct {
	trouble bool
	started time.Time
	folder  string // temporary
	network string // the first three bytes of all addresses

	mutex    sync.Mutex // guards everything below
	record   *os.File
	machines []*machine
	closed   bool
	work     chan func() // starts processes on one thread
}

// machine is an address with one process of the system.
type machine struct {
	lab       *lab
	name      string
	role      string // balancer, agent or controller
	class     string
	service   string // of the backend server on a side machine
	ip        netip.Addr
	bootstrap bool
	seeds     []*machine

	mutex   sync.Mutex // guards everything below
	command *exec.Cmd
	done    chan struct{}
}

func newLab(recordPath string, trouble bool) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}

	folder, err := os.MkdirTemp("", "jayspindle-review-")
	if err != nil {
		return nil, err
	}

	l := &lab{
		trouble: trouble, started: time.Now(), folder: folder, record: record, work: make(chan func()),
		network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}

	// The kernel kills a process when the thread that started it ends (Pdeathsig).
	go func() {
		runtime.LockOSThread()

		for start := range l.work {
			start()
		}
	}()

	l.note("trouble %t, network %s.0/24", trouble, l.network)

	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	line := fmt.Sprintf("%8.3f s  ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(l.record, line)
}

// close kills all processes and removes the temporary folder.
func (l *lab) close() {
	l.mutex.Lock()
	machines, closed := l.machines, l.closed
	l.closed = true
	l.mutex.Unlock()

	if closed {
		return
	}

	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}

	for _, m := range machines {
		m.awaitEnd(5 * time.Second)
	}

	if os.Getenv("KEEP") == "" {
		if err := os.RemoveAll(l.folder); err != nil {
			l.note("the temporary folder is left over: %v", err)
		}
	} else {
		l.note("the logs of the processes are kept in the temporary folder %s", filepath.Base(l.folder))
	}
}

// add adds a machine with the next address. Its process does not run yet.
func (l *lab) add(role, service string) *machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	class := map[string]string{"balancer": "front", "agent": "side", "controller": "core"}[role]
	number := len(l.machines) + 1
	m := &machine{
		lab: l, name: fmt.Sprintf("%s-%d", class, number), role: role, class: class, service: service,
		ip: netip.MustParseAddr(fmt.Sprintf("%s.%d", l.network, number)),
	}
	l.machines = append(l.machines, m)

	return m
}

// foundation starts a deployment as at its first start: core machines, the first three of
// which are the seeds of all, fronts, and side machines for each service.
func (l *lab) foundation(cores, fronts int, sides ...string) (core, front, side []*machine) {
	for range cores {
		core = append(core, l.add("controller", ""))
	}

	for range fronts {
		front = append(front, l.add("balancer", ""))
	}

	for _, service := range sides {
		side = append(side, l.add("agent", service))
	}

	for _, group := range [][]*machine{core, front, side} {
		for _, m := range group {
			m.bootstrap, m.seeds = true, core[:3]
			m.start()
			m.bootstrap = false
		}
	}

	return core, front, side
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

func (m *machine) dataDir() string { return filepath.Join(m.lab.folder, m.name+".disk") }

func (m *machine) settings() string {
	var text strings.Builder

	line := func(format string, arguments ...any) { fmt.Fprintf(&text, format+"\n", arguments...) }

	line("node: %q\nrole: %q\nmachineClass: %q\nserves:\n  - %q", m.name, m.role, m.class,
		map[string]string{"front": "front", "side": "side", "core": "control"}[m.class])
	line("ip: %q\nzone: \"kokura\"\nregion: \"kyushu-north\"\nzones:\n  kokura: \"kyushu-north\"", m.ip)
	line("listen:")

	switch m.class {
	case "front":
		line("  datagramAddr: %q\n  ready: %q", m.at(dataPort), m.at(readyPort))
	case "side":
		line("  datagramAddr: %q\n  outbound: %q\n  ready: %q\n  control: %q",
			m.at(dataPort), m.at(outboundPort), m.at(readyPort), m.at(controlPort))
	default:
		line("  control: %q", m.at(controlPort))
	}

	line("internalPorts:\n  - %d\n  - %d\nseeds:", innerPort, innerPort+15)

	for _, seed := range m.seeds {
		line("  - %q", seed.at(controlPort))
	}

	line("bootstrap: %t\nlossCounts: %t", m.bootstrap, m.class == "core")
	line("limits:\n  cpuShare: 0.4\n  cores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 128")

	if m.class == "core" {
		line("dataDir: %q", m.dataDir())
	} else {
		line("dataDir: null")
	}

	line("discovery: \"local\"\nentry: \"announce\"\nheartbeatMs: %d", heartbeat.Milliseconds())
	line("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"flows\"")
	line("faultTolerance:\n  machines: 2\n  zones: 0\n  regions: 0")
	line("bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  stableWindowMs: 4000\n  ackMs: 5000\n  catchUpS: 4\n  drainMs: 3000")
	line("  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n  rollbackSlackMs: 250\n  maxSkewMs: 12000")
	line("  recoveryS: 12\n  flowMs: 2000\n  maxFlowS: 60")
	line("config_mode: \"highest\"\nhash: \"steady\"\ndeploymentMode: \"agent\"")

	if m.class == "side" {
		line("service: %q\napp: %q", m.service, m.at(appPort))
	}

	return text.String()
}

// start starts the process of a machine.
func (m *machine) start() {
	// The machine's addresses have to be free.
	probe, err := net.Listen("tcp4", m.at(metricsPort).String())
	if err != nil {
		panic(unplayable{err.Error()})
	}

	// Nothing was accepted, so the error has no consequence.
	_ = probe.Close()

	path := filepath.Join(m.lab.folder, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		panic(unplayable{err.Error()})
	}

	log, err := os.OpenFile(filepath.Join(m.lab.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(unplayable{err.Error()})
	}

	// The process has its own copy.
	defer func() { _ = log.Close() }()

	command := exec.Command(programBinary, m.role)
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + m.lab.folder, "LANG=C", "JAYSPINDLE_CONFIG=" + path,
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	failed := make(chan error, 1)
	m.lab.work <- func() { failed <- command.Start() }

	if err := <-failed; err != nil {
		panic(unplayable{fmt.Sprintf("%s: %v; the build of deploy/system.toml comes first", m.name, err)})
	}

	done := make(chan struct{})

	m.mutex.Lock()
	m.command, m.done = command, done
	m.mutex.Unlock()

	m.lab.note("%s at %s starts, bootstrap %t", m.name, m.ip, m.bootstrap)

	go func() {
		err := command.Wait()

		var status *exec.ExitError
		if err != nil && !errors.As(err, &status) {
			m.lab.note("%s: %v", m.name, err)
		}

		m.lab.note("%s ended: %v", m.name, command.ProcessState)
		close(done)
	}()
}

// signal sends a signal to the process of the machine, if it has started one.
func (m *machine) signal(s syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if m.command == nil {
		return
	}

	select {
	case <-m.done:
	default:
		// An error means that the process has just ended.
		_ = m.command.Process.Signal(s)
	}
}

// awaitEnd waits until the process has ended, and reports false after the limit.
func (m *machine) awaitEnd(limit time.Duration) bool {
	m.mutex.Lock()
	done := m.done
	m.mutex.Unlock()

	if done == nil {
		return true
	}

	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)

	if !m.awaitEnd(5 * time.Second) {
		panic(unplayable{m.name + " does not end"})
	}
}

// loseDisk empties the data directory of a machine whose process has ended.
func (m *machine) loseDisk() {
	if err := os.RemoveAll(m.dataDir()); err != nil {
		panic(unplayable{err.Error()})
	}

	m.lab.note("%s has lost its disk", m.name)
}

// together runs a function for several machines at the same time.
func together(machines []*machine, act func(m *machine)) {
	var tasks sync.WaitGroup

	for _, m := range machines {
		tasks.Go(func() { act(m) })
	}

	tasks.Wait()
}
