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
// the kinds of the messages that it receives. It ignores the first three restore
// requests, like a controller that is still reading its disk.
type fakeController struct {
	conn   *frag.Conn
	stored checkpoint.Batch

	mutex sync.Mutex
	kinds []wire.Kind
}

func (c *fakeController) handle(from netip.AddrPort, message []byte) {
	kind, _, _ := wire.Split(message)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.kinds = append(c.kinds, kind)

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

// TestRecall guards against clients that get no reset for flows that were lost
// with the instance, and against a new checkpoint that overwrites the stored one
// before it was restored.
func TestRecall(t *testing.T) {
	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	endpoint, _ := flow.NewEndpoint(agent)
	seed, _ := flow.NewEndpoint(controller)
	key := flow.Key{Client: client, Service: service}

	conn, err := frag.Listen(controller, logger)
	is.NoErr(err)

	fake := &fakeController{conn: conn, stored: checkpoint.Batch{
		Agent: endpoint, BackendStart: 1000, Epoch: 1, To: 3, Opened: []checkpoint.Flow{{Key: key, Acknowledged: 9}},
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

	_, err = s.Report(gate.Report{ID: "a", Service: "desk", StartMillis: 2000, Sequence: 1, Slots: 2})
	is.NoErr(err)

	select {
	case reset := <-received:
		is.Equal(reset, key.String())
	case <-time.After(timeout):
		t.Fatal("the client got no reset for its lost flow")
	}

	for deadline := time.Now().Add(timeout); fake.indexOf(wire.KindCheckpoint) < 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no checkpoint was sent")
		}
	}

	is.True(fake.indexOf(wire.KindRestore) < fake.indexOf(wire.KindCheckpoint))

	stop()
	is.NoErr(<-ended)
	is.NoErr(receiver.Close())
	is.NoErr(conn.Close())
	is.Equal(len(received), 0) // only one reset for each flow
}
