// Package fleet runs a small deployment of real processes on the loopback
// interface, for tests of failures: 3 controllers, 3 balancers, and agents with
// backend servers.
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
// Each fleet has its own addresses in 127.0.0.0/8 and keeps its files in a
// temporary directory. Its processes are killed at the end of the test, and by
// the kernel if the test process dies from a panic or a timeout.
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
	// Patience is the timeout of each wait for a state. It is far longer than a
	// state normally takes, because the machine may be busy.
	Patience = 40 * time.Second

	pollInterval  = 50 * time.Millisecond
	healthTimeout = time.Second
	fileMode      = 0o600

	// The second byte of the addresses depends on the process ID, because tests
	// of several worktrees can run at once. The demo uses 127.0.x.x.
	networkBase  = 16
	networkCount = 200
)

// The availability zones of the deployment.
var zones = []string{"kokura", "yahata", "moji"}

// Fleet is a deployment of real processes.
type Fleet struct {
	t            testing.TB
	directory    string
	binary       string
	network      string // first three bytes of the addresses, dotted
	processes    map[string]*process
	started      []*process
	authority    *identity.Authority
	publicKeys   map[string]ed25519.PublicKey
	bootstrapped bool
	upstreams    map[string][]string // by instance; overrides the controllers as upstreams
	changeCount  int                 // the latest document is document-N.yaml
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

// New returns a fleet without processes. The number, 1 to 250, must be unique
// among the fleets of a test process: it is the third byte of their addresses.
func New(t testing.TB, binary string, number int) *Fleet {
	t.Helper()

	f := &Fleet{
		t:          t,
		directory:  t.TempDir(),
		binary:     binary,
		network:    fmt.Sprintf("127.%d.%d", networkBase+os.Getpid()%networkCount, number),
		processes:  make(map[string]*process),
		publicKeys: make(map[string]ed25519.PublicKey),
		upstreams:  make(map[string][]string),
	}
	t.Cleanup(f.close)
	f.createKeys()

	return f
}

// close kills all processes, and shows their logs if the test failed.
func (f *Fleet) close() {
	for _, p := range f.started {
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

// Await waits until a state is reached, and fails the test after Patience.
func (f *Fleet) Await(state string, reached func() bool) {
	f.t.Helper()

	for deadline := time.Now().Add(Patience); !reached(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached within %s: %s", Patience, state)
		}
	}
}

// AwaitReady waits until the health checks of the instances succeed.
func (f *Fleet) AwaitReady(names ...string) {
	f.t.Helper()

	for _, name := range names {
		f.AwaitReadyAt(name, name)
	}
}

// AwaitReadyAt waits until the health check of an instance that runs at the
// address of another one succeeds.
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
