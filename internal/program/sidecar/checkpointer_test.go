package sidecar_test

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/program/sidecar"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/transport/frag"
	"jayspindle/internal/transport/socket"
)

// timeout bounds the wait for a message.
const timeout = 10 * time.Second

var (
	agent      = netip.MustParseAddrPort("127.0.39.1:22000")
	controller = netip.MustParseAddrPort("127.0.39.2:22001")
	client     = flow.Endpoint{IP: [4]byte{127, 0, 39, 3}, Port: 40_000}
	service    = flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443}
	key        = flow.Key{Client: client, Service: service}
)

// fakeCodec encodes a reset as the text of its flow key, and decodes nothing.
type fakeCodec struct{}

func (fakeCodec) Decode([]byte) (flow.Header, error) { return flow.Header{}, nil }

func (fakeCodec) Restore([]byte) {}

func (fakeCodec) SetDeclinable([]byte, bool) {}

func (fakeCodec) AppendReset(buffer []byte, key flow.Key, _ uint32) []byte {
	return append(buffer, key.String()...)
}

// fakeController is a controller that holds a checkpoint of the agent, and records
// the kinds of the messages that it receives and the states that the agent announces. It
// ignores the first three restore requests, like a controller that is still reading its
// disk.
type fakeController struct {
	conn   *frag.Conn
	stored checkpoint.Batch

	mutex   sync.Mutex
	kinds   []wire.Kind
	records []roster.Record // announced, in order
}

func (c *fakeController) handle(from netip.AddrPort, message []byte) {
	kind, body, _ := wire.Split(message)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.kinds = append(c.kinds, kind)

	if poll, err := wire.Decode[wire.Poll](body); kind == wire.KindPoll && err == nil && poll.Agent != nil {
		c.records = append(c.records, *poll.Agent)
	}

	restoreRequests := 0
	for _, earlier := range c.kinds {
		if earlier == wire.KindRestore {
			restoreRequests++
		}
	}

	if kind == wire.KindRestore && restoreRequests > 3 {
		// The agent asks again if the reply is lost.
		_ = c.conn.Send(from, c.stored.Append([]byte{byte(wire.KindRestoreReply)}))
	}
}

func (c *fakeController) indexOf(kind wire.Kind) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return slices.Index(c.kinds, kind)
}

// announced returns the last state that the agent has announced, or 0.
func (c *fakeController) announced() roster.State {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if len(c.records) == 0 {
		return 0
	}

	return c.records[len(c.records)-1].State
}

// isAway reports whether the agent last announced that it is being restarted.
func (c *fakeController) isAway() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return len(c.records) > 0 && c.records[len(c.records)-1].Away
}

// fixture is a running agent with one checkpointed flow, and the client of that flow.
type fixture struct {
	*testing.T
	is       *is.I
	agent    *sidecar.Sidecar
	fake     *fakeController
	received chan string // by the client
	stop     func()
}

// newFixture starts an agent whose flow belongs to a backend server of that start.
func newFixture(t *testing.T, flowStart int64) *fixture {
	t.Helper()

	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	endpoint, _ := flow.NewEndpoint(agent)
	seed, _ := flow.NewEndpoint(controller)

	conn, err := frag.Listen(controller, logger)
	is.NoErr(err)

	fake := &fakeController{conn: conn, stored: checkpoint.Batch{
		Agent: endpoint, BackendStart: flowStart, Epoch: 1, To: 3, Opened: []checkpoint.Flow{{Key: key, Acknowledged: 9}},
	}}

	go conn.Serve(fake.handle)

	received := make(chan string, 16)
	receiver, err := socket.Listen(netip.AddrPortFrom(client.Addr(), agent.Port()), logger)
	is.NoErr(err)

	go receiver.Serve(func(_ netip.AddrPort, datagram []byte) { received <- string(datagram) })

	s, err := sidecar.New(sidecar.Settings{
		Service: "desk", Data: agent, Outbound: netip.AddrPortFrom(agent.Addr(), 22002),
		Backend: netip.AddrPortFrom(agent.Addr(), 22003), ControlAddress: netip.AddrPortFrom(agent.Addr(), controller.Port()),
		ClientPort: agent.Port(), Seeds: func() []flow.Endpoint { return []flow.Endpoint{seed} },
		ReportInterval: time.Second,
	}, fakeCodec{}, logger)
	is.NoErr(err)

	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- s.Run(ctx) }()

	t.Cleanup(func() {
		is.NoErr(receiver.Close())
		is.NoErr(conn.Close())
	})

	return &fixture{T: t, is: is, agent: s, fake: fake, received: received, stop: func() {
		stop()
		is.NoErr(<-ended)
	}}
}

// report passes the first report of a backend server of the start 2000.
func (f *fixture) report() {
	f.Helper()

	_, err := f.agent.Report(gate.Report{ID: "a", Service: "desk", StartMillis: 2000, Sequence: 1, Slots: 2})
	f.is.NoErr(err)
}

// awaitReset waits until the client gets the reset of its flow.
func (f *fixture) awaitReset() {
	f.Helper()

	select {
	case reset := <-f.received:
		f.is.Equal(reset, key.String())
	case <-time.After(timeout):
		f.Fatal("the client got no reset for its lost flow")
	}
}

// awaitCheckpoint waits until the agent has sent a checkpoint, which it does after it
// has recalled its flows.
func (f *fixture) awaitCheckpoint() {
	f.Helper()

	for deadline := time.Now().Add(timeout); f.fake.indexOf(wire.KindCheckpoint) < 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fatal("no checkpoint was sent")
		}
	}
}

// awaitAnnounced waits until the agent has announced a state.
func (f *fixture) awaitAnnounced(want roster.State) {
	f.Helper()

	for deadline := time.Now().Add(timeout); f.fake.announced() != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fatalf("the agent announced the state %q, want %q", f.fake.announced(), want)
		}
	}
}

// TestRecall guards against clients that get no reset for flows that were lost
// with the instance, and against a new checkpoint that overwrites the stored one
// before it was restored.
func TestRecall(t *testing.T) {
	f := newFixture(t, 1000)
	f.report()
	f.awaitReset()
	f.awaitCheckpoint()
	f.is.True(f.fake.indexOf(wire.KindRestore) < f.fake.indexOf(wire.KindCheckpoint))
	f.stop()
}

// TestResetAtEnd guards against clients that learn only at their next request that
// their backend server has ended. They sent it to entry instances that asked all
// agents for the flow, and could not send an unrepeatable one again.
func TestResetAtEnd(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"the agent stops too": func(f *fixture) { f.stop(); f.awaitReset() },
		"the agent stays":     func(f *fixture) { f.awaitReset(); f.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2000)
			f.report()
			f.awaitCheckpoint()
			f.is.NoErr(f.agent.BackendEnded("a", 2000))
			f.is.Equal(len(f.received), 0) // the backend server may still send
			end(f)
		})
	}
}
