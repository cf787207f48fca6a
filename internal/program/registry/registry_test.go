package registry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/program/registry"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
)

// waitTimeout limits the wait for a condition. Elections take less than a second.
const waitTimeout = 20 * time.Second

// lastSubnet numbers the loopback subnets, one for each cluster of a test.
var lastSubnet atomic.Int32

// cluster is the group of controllers of one test, all on one port.
type cluster struct {
	*testing.T
	is        *is.I
	directory string
	subnet    int32
	port      uint16
	seeds     []flow.Endpoint

	mutex   sync.Mutex
	running map[int]*process
	disks   map[string]*limitedDisk // by data directory
	logs    *logs                   // of all controllers
}

// logs collects log lines, which are printed if the test fails.
type logs struct {
	mutex   sync.Mutex
	written bytes.Buffer
}

// Write adds a line.
func (l *logs) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.written.Write(line)
}

// String returns all lines.
func (l *logs) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.written.String()
}

type process struct {
	*registry.Registry
	stop context.CancelFunc
	done chan error
}

// reservePort returns a port that no other run of the tests uses in the subnet. The socket
// that it opens holds the port until the test ends.
func reservePort(t *testing.T, subnet int32) uint16 {
	t.Helper()

	const first, ports = 21_000, 100

	for port := uint16(first); port < first+ports; port++ {
		lock, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.%d.254:%d", subnet, port))
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() }) // nothing was sent

			return port
		}
	}

	t.Fatalf("all ports of subnet %d are in use", subnet)

	return 0
}

func newCluster(t *testing.T) *cluster {
	t.Helper()

	subnet := 40 + lastSubnet.Add(1)
	c := &cluster{
		T: t, is: is.New(t), directory: t.TempDir(), subnet: subnet, port: reservePort(t, subnet),
		running: make(map[int]*process), disks: make(map[string]*limitedDisk), logs: &logs{},
	}

	for number := range 3 {
		c.seeds = append(c.seeds, c.address(number+1))
	}

	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.logs.String())
		}

		for number := range c.running {
			c.kill(number)
		}
	})

	return c
}

func (c *cluster) address(number int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{127, 0, byte(c.subnet), byte(number)}, Port: c.port}
}

func interpret(document []byte) (*route.Document, error) {
	decoded := &route.Document{}

	return decoded, json.Unmarshal(document, decoded)
}

// start starts a controller with the data directory of that name.
func (c *cluster) start(number int, disk string, first bool) {
	c.Helper()

	if c.disks[disk] == nil {
		c.disks[disk] = newLimitedDisk()
	}

	seeds := c.seeds

	built, err := registry.New(registry.Settings{
		Files: c.disks[disk], ControlAddress: c.address(number).AddrPort(), Directory: filepath.Join(c.directory, disk),
		Seeds: func() []flow.Endpoint { return seeds }, Bootstrap: first, MaxLostDisks: 2,
		StopTime: 3 * time.Second, // the tests stop controllers that nobody answers any more
	}, interpret, slog.New(slog.NewTextHandler(c.logs, nil)).With("number", number))
	c.is.NoErr(err)

	ctx, stop := context.WithCancel(context.Background())
	started := &process{Registry: built, stop: stop, done: make(chan error, 1)}

	go func() { started.done <- built.Run(ctx) }()

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.running[number] = started
}

func (c *cluster) bootstrap(count int) {
	c.Helper()

	for number := range count {
		c.start(number+1, fmt.Sprint(number+1), true)
	}
}

func (c *cluster) kill(number int) {
	c.Helper()

	c.mutex.Lock()
	stopped := c.running[number]
	delete(c.running, number)
	c.mutex.Unlock()

	stopped.stop()
	c.is.NoErr(<-stopped.done)
}

func document(version uint64) []byte {
	encoded, err := json.Marshal(route.Document{
		Version: version, Services: []string{"desk"},
		Routes: []route.Route{{
			Address: netip.MustParseAddrPort("198.51.100.1:443"), Timeout: time.Second,
			Targets: []route.Target{{Service: "desk", Weight: 1}},
		}},
	})
	if err != nil {
		panic(err) // the document is constant
	}

	return encoded
}

// submit sends a document to any controller until one accepts it.
func (c *cluster) submit(version uint64) {
	c.Helper()

	c.eventually(fmt.Sprintf("version %d is accepted", version), func() bool {
		for _, p := range c.processes() {
			if held, err := p.Submit(context.Background(), version, document(version)); err == nil {
				c.is.True(held >= version)

				return true
			}
		}

		return false
	})
}

// expectDocument checks that every controller that answers has the version.
func (c *cluster) expectDocument(version uint64) {
	c.Helper()

	c.eventually(fmt.Sprintf("version %d is read", version), func() bool {
		answered := false

		for _, p := range c.running {
			held, data, err := p.Newest(context.Background())
			if err != nil {
				continue
			}

			answered = true

			c.is.Equal(held, version)
			c.is.Equal(string(data), string(document(version)))
		}

		return answered
	})
}

func (c *cluster) expectMembers(want ...int) {
	c.Helper()

	c.eventually(fmt.Sprintf("the members are %v", want), func() bool {
		for _, p := range c.running {
			found := map[flow.Endpoint]bool{}
			for _, member := range p.Controllers() {
				found[member] = true
			}

			complete := len(found) == len(want) && len(p.Controllers()) == len(want)
			for _, number := range want {
				complete = complete && found[c.address(number)]
			}

			if !complete {
				return false
			}
		}

		return true
	})
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.Helper()

	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}

	c.Fatalf("not within %v: %s", waitTimeout, what)
}

// TestBootstrap guards against a group that accepts documents before enough disks
// store them, or that leaves out controllers that are not seeds.
func TestBootstrap(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(3)
	time.Sleep(2 * time.Second)

	for _, p := range c.running {
		_, err := p.Submit(context.Background(), 1, document(1))

		var failed *registry.Error

		c.is.True(errors.As(err, &failed))
	}

	c.start(4, "4", true)
	c.start(5, "5", true)
	c.submit(1)
	c.expectMembers(1, 2, 3, 4, 5)
	c.expectDocument(1)
}

// TestRepeat guards against a repeated, older or different document that
// changes what is in force, and against an invalid one that is accepted.
func TestRepeat(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(5)
	c.submit(7)
	c.submit(7)
	c.submit(3)
	c.expectDocument(7)

	for _, p := range c.running {
		var failed *registry.Error

		_, err := p.Submit(context.Background(), 9, []byte(`{"Version":9,"Routes":[{}]}`))
		c.is.True(errors.As(err, &failed))
		c.is.Equal(failed.Kind(), registry.KindInvalid)

		_, err = p.Submit(context.Background(), 9, make([]byte, registry.MaxDocumentBytes+1))
		c.is.True(errors.As(err, &failed))
		c.is.Equal(failed.Kind(), registry.KindTooLarge)
	}

	c.expectDocument(7)
}

// TestRestartAll guards against losing an accepted document when all controllers
// stop, and against a group that does not come back.
func TestRestartAll(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(5)
	c.submit(1)

	for number := range 5 {
		c.kill(number + 1)
	}

	for number := range 5 {
		c.start(number+1, fmt.Sprint(number+1), false)
	}

	c.expectDocument(1)
	c.submit(2)
	c.expectDocument(2)
}

// TestLostDisks guards against the loss of an accepted document when two disks
// are lost, and against counting replicas with empty disks as the old ones.
func TestLostDisks(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(5)
	c.submit(1)
	c.expectMembers(1, 2, 3, 4, 5)

	for round := range 2 {
		for _, number := range []int{1 + round, 4 + round} {
			c.kill(number)
		}

		for _, number := range []int{1 + round, 4 + round} {
			c.start(number, fmt.Sprintf("%d-%d", number, round), false)
		}

		c.expectDocument(uint64(1 + round))
		c.submit(uint64(2 + round))
		c.expectMembers(1, 2, 3, 4, 5)
	}

	c.expectDocument(3)
}

// TestReplaced guards against a group that waits for a controller that never
// returns, and against a new controller that is never added.
func TestReplaced(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(5)
	c.submit(1)
	c.kill(2)
	c.start(6, "6", false)
	c.expectMembers(1, 3, 4, 5, 6)
	c.submit(2)
	c.expectDocument(2)

	// The removed controller returns and becomes a member again.
	c.start(2, "2", false)
	c.expectMembers(1, 2, 3, 4, 5, 6)
	c.expectDocument(2)
}

// TestMinority guards against controllers that accept or return documents
// although they have lost the majority.
func TestMinority(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(5)
	c.submit(1)

	for number := range 3 {
		c.kill(number + 1)
	}

	time.Sleep(2 * time.Second)

	for _, p := range c.running {
		_, err := p.Submit(context.Background(), 2, document(2))
		c.is.True(err != nil)

		_, _, err = p.Newest(context.Background())
		c.is.True(err != nil)
	}
}
