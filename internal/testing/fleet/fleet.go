// Package fleet runs a small deployment of real processes on loopback, for
// tests of failures: 3 controllers, 3 balancers, and agents with backend
// servers.
//
// # Usage
//
//	binary, err := fleet.Build(directory)
//	f := fleet.New(t, binary, 1)
//	f.Deploy(4)
//	calls := f.StartLoad(fleet.Load{Callers: 4})
//	f.Kill("balancer-1")
//	result := calls.Stop()
//
// The processes of a fleet use addresses of their own in 127.0.0.0/8, keep
// their files in a temporary directory and end with the test. The kernel also
// ends them when the test process dies from a panic or a timeout.
package fleet

import (
	"crypto/ed25519"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"jayspindle/internal/transport/identity"
)

const (
	// Patience bounds each wait for a state. It is far above the time that a
	// state takes, because the machine may be busy.
	Patience = 40 * time.Second

	pollInterval  = 50 * time.Millisecond
	healthTimeout = time.Second
	fileMode      = 0o600

	// The tests of several worktrees can run at once, so the network of a fleet
	// depends on the process. The demo uses 127.0.x.x.
	firstNetwork = 16
	networks     = 200
)

// The availability zones of the deployment.
var zones = []string{"kokura", "yahata", "moji"}

// Fleet is a deployment of real processes.
type Fleet struct {
	t         testing.TB
	directory string
	binary    string
	network   string // first three parts of the addresses
	processes map[string]*process
	all       []*process
	authority *identity.Authority
	public    map[string]ed25519.PublicKey
	founded   bool
	via       map[string][]string // upstreams of an instance other than the controllers
	stage     int                 // changes made
}

// Build builds the program into the directory and returns its path.
func Build(directory string) (string, error) { return BuildPackage(directory, "jayspindle") }

// BuildPackage builds another program of the module.
func BuildPackage(directory, name string) (string, error) {
	binary := filepath.Join(directory, filepath.Base(name))

	output, err := exec.Command("go", "build", "-o", binary, name).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, output)
	}

	return binary, nil
}

// New returns a fleet without processes. The number, 1 to 250, tells the
// fleets of one test process apart.
func New(t testing.TB, binary string, number int) *Fleet {
	t.Helper()

	f := &Fleet{
		t:         t,
		directory: t.TempDir(),
		binary:    binary,
		network:   fmt.Sprintf("127.%d.%d", firstNetwork+os.Getpid()%networks, number),
		processes: make(map[string]*process),
		public:    make(map[string]ed25519.PublicKey),
		via:       make(map[string][]string),
	}
	t.Cleanup(f.close)
	f.createKeys()

	return f
}

// close ends every process and shows the logs of a failed test.
func (f *Fleet) close() {
	for _, p := range f.all {
		p.end()
	}

	if f.t.Failed() {
		f.showLogs()
	}
}

func (f *Fleet) path(name string) string { return filepath.Join(f.directory, name) }

func (f *Fleet) check(err error) {
	f.t.Helper()

	if err != nil {
		f.t.Fatal(err)
	}
}

// Await waits for a state, at most for Patience.
func (f *Fleet) Await(state string, reached func() bool) {
	f.t.Helper()

	for deadline := time.Now().Add(Patience); !reached(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached within %s: %s", Patience, state)
		}
	}
}

// AwaitReady waits for the health checks of instances.
func (f *Fleet) AwaitReady(names ...string) {
	f.t.Helper()

	for _, name := range names {
		f.AwaitReadyAt(name, name)
	}
}

// AwaitReadyAt waits for the health check of an instance at the address of
// another one.
func (f *Fleet) AwaitReadyAt(name, at string) {
	f.t.Helper()
	f.Await(name+" is ready", func() bool { return f.ready(at) })
}

func (f *Fleet) ready(name string) bool {
	client := http.Client{Timeout: healthTimeout}

	response, err := client.Get("http://" + f.debugAddress(name) + "/healthz")
	if err != nil {
		return false
	}

	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
