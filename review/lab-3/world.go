package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of all machines.
const (
	dataPort     = 8172
	outboundPort = 8162
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	innerPort    = 7720
	innerPorts   = 16
)

// The roles of the deploy file.
const (
	roleBalancer   = "balancer"
	roleAgent      = "agent"
	roleController = "controller"
)

const (
	heartbeat = 770 * time.Millisecond

	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second

	program = "target/jayspindle-node"
)

// machine is one address with one process of the system.
type machine struct {
	name, role, service string
	ip                  netip.Addr
	command             *exec.Cmd
	exited              chan struct{}
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// world is one deployment and the stand-in of its platform.
type world struct {
	record    *record
	directory string
	network   string

	mutex    sync.Mutex // guards everything below
	machines []*machine
	next     int
	seeds    []netip.AddrPort
	began    bool
}

func newWorld(r *record) (*world, error) {
	directory, err := os.MkdirTemp("", "review-lab-3-")
	if err != nil {
		return nil, err
	}

	network, err := freeNetwork()
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(directory))
	}

	return &world{record: r, directory: directory, network: network}, nil
}

// networks counts the networks that were taken by this process.
var networks int

// freeNetwork returns the first three bytes of addresses that nobody listens on.
func freeNetwork() (string, error) {
	networks++

	for offset := range 150 {
		network := fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+offset)%150, 1+(os.Getpid()+50*networks)%200)
		free := true

		for host := 1; host < 80 && free; host++ {
			conn, err := net.ListenPacket("udp4", fmt.Sprintf("%s.%d:%d", network, host, innerPort))
			if err != nil {
				free = false

				continue
			}

			free = conn.Close() == nil
		}

		if free {
			return network, nil
		}
	}

	return "", errors.New("no network is free")
}

// address returns an address of the network.
func (w *world) address(host int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", w.network, host))
}

// add adds a machine without starting its process.
func (w *world) add(role, service string) *machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.next++
	m := &machine{name: fmt.Sprintf("%s-%d", role, w.next), role: role, service: service, ip: w.address(w.next)}
	w.machines = append(w.machines, m)

	if role == roleController && len(w.seeds) < 3 {
		w.seeds = append(w.seeds, m.at(controlPort))
	}

	return m
}

func (w *world) remove(m *machine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.machines = slices.DeleteFunc(w.machines, func(other *machine) bool { return other == m })
}

// of returns the machines of a role.
func (w *world) of(role string) []*machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	var found []*machine

	for _, m := range w.machines {
		if m.role == role {
			found = append(found, m)
		}
	}

	return found
}

func (w *world) settings(m *machine) string {
	var seeds strings.Builder
	for _, seed := range w.seeds {
		fmt.Fprintf(&seeds, "  - \"%s\"\n", seed)
	}

	lines := []string{
		fmt.Sprintf("node: %q\nrole: %q\nzone: \"kokura\"\nip: %q\nlisten:", m.name, m.role, m.ip),
		fmt.Sprintf("  datagramAddr: \"%s\"\n  ready: \"%s\"", m.at(dataPort), m.at(readyPort)),
		fmt.Sprintf("  outbound: \"%s\"\n  control: \"%s\"", m.at(outboundPort), m.at(controlPort)),
		fmt.Sprintf("internalPorts:\n  - %d\n  - %d\nseeds:\n%sbootstrap: %t", innerPort, innerPort+innerPorts-1,
			seeds.String(), !w.began),
		"limits:\n  memoryMb: 284\n  linkMbps: 1000.0\nfaultTolerance:\n  machines: 2",
		fmt.Sprintf("heartbeatMs: %d\ndataDir: %q", heartbeat.Milliseconds(), w.disk(m)),
	}

	if m.role == roleAgent {
		lines = append(lines, fmt.Sprintf("app: \"%s\"\nservice: %q", m.at(appPort), m.service))
	}

	return strings.Join(lines, "\n") + "\n"
}

func (w *world) disk(m *machine) string { return filepath.Join(w.directory, m.name+".disk") }

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(m *machine) error {
	path := filepath.Join(w.directory, m.name+".yaml")
	if err := os.WriteFile(path, []byte(w.settings(m)), 0o600); err != nil {
		return err
	}

	logFile, err := os.OpenFile(filepath.Join(w.directory, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor

	command := exec.Command(program, m.role)
	command.Env = []string{
		"JAYSPINDLE_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C",
	}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := command.Start(); err != nil {
		return err
	}

	exited := make(chan struct{})
	m.command, m.exited = command, exited

	go func() {
		// The exit status of a stopped process is of no interest.
		_ = command.Wait()

		close(exited)
	}()

	w.record.add("started %s at %s", m.name, m.ip)

	return nil
}

// begin starts all processes for the first time.
func (w *world) begin() error {
	for _, m := range w.machines {
		if err := w.start(m); err != nil {
			return err
		}
	}

	w.began = true

	return nil
}

// signal sends a signal to the process of a machine.
func (w *world) signal(m *machine, signal syscall.Signal) {
	w.record.add("sent %v to %s", signal, m.name)

	// The process may have exited already.
	_ = m.command.Process.Signal(signal)
}

// stop stops a process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (w *world) stop(m *machine) {
	w.signal(m, syscall.SIGTERM)

	select {
	case <-m.exited:
	case <-time.After(stopGrace):
		w.signal(m, syscall.SIGKILL)
		<-m.exited
	}
}

// end kills all processes and removes their files.
func (w *world) end() error {
	for _, m := range w.machines {
		if m.command != nil {
			_ = m.command.Process.Kill() // it may have exited already
			<-m.exited
		}
	}

	if os.Getenv("KEEP_LOGS") != "" {
		w.record.add("logs are kept in the temporary folder")

		return nil
	}

	return os.RemoveAll(w.directory)
}

// awaitReady waits until all balancers answer their health check.
func (w *world) awaitReady(ctx context.Context) error {
	for _, m := range w.of(roleBalancer) {
		for !isReady(ctx, m) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", m.name, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}

	return nil
}

func isReady(ctx context.Context, m *machine) bool {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.at(readyPort).String()+"/v1/ready", nil)
	if err != nil {
		return false
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()

	return response.StatusCode == http.StatusOK
}
