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

// patience bounds the waits for a message.
const patience = 10 * time.Second

var (
	agent      = netip.MustParseAddrPort("127.0.39.1:22000")
	controller = netip.MustParseAddrPort("127.0.39.2:22001")
	client     = flow.Endpoint{IP: [4]byte{127, 0, 39, 3}, Port: 40_000}
	service    = flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443}
)

// resets writes resets that name the client's port, and reads nothing.
type resets struct{}

func (resets) Decode([]byte) (flow.Header, error) { return flow.Header{}, nil }

func (resets) Restore([]byte) {}

func (resets) AppendReset(buffer []byte, key flow.Key, _ uint32) []byte {
	return append(buffer, key.String()...)
}

// memorizer is a controller that remembers a flow of the agent, and notes the
// kinds of messages that it gets. It answers the first recalls late, as one does
// that still reads its disk.
type memorizer struct {
	conn   *frag.Conn
	memory checkpoint.Batch

	mutex sync.Mutex
	kinds []wire.Kind
}

func (m *memorizer) handle(from netip.AddrPort, message []byte) {
	kind, _, _ := wire.Split(message)

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.kinds = append(m.kinds, kind)

	recalls := 0
	for _, earlier := range m.kinds {
		if earlier == wire.KindRecall {
			recalls++
		}
	}

	if kind == wire.KindRecall && recalls > 3 {
		_ = m.conn.Send(from, m.memory.Append([]byte{byte(wire.KindRecalled)})) // asked again if it is lost
	}
}

func (m *memorizer) got(kind wire.Kind) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return slices.Index(m.kinds, kind)
}

// TestRecall guards against clients that are not told of flows that were lost
// with the instance, and against a checkpoint that replaces the memory before it
// was recalled.
func TestRecall(t *testing.T) {
	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	endpoint, _ := flow.NewEndpoint(agent)
	seed, _ := flow.NewEndpoint(controller)
	key := flow.Key{Client: client, Service: service}

	conn, err := frag.Listen(controller, logger)
	is.NoErr(err)

	m := &memorizer{conn: conn, memory: checkpoint.Batch{
		Agent: endpoint, Born: 1000, Epoch: 1, To: 3, Opened: []checkpoint.Flow{{Key: key, Acknowledged: 9}},
	}}

	go conn.Serve(m.handle)

	received := make(chan string, 16)
	receiver, err := socket.Listen(netip.AddrPortFrom(client.Addr(), agent.Port()), logger)
	is.NoErr(err)

	go receiver.Serve(func(_ netip.AddrPort, datagram []byte) { received <- string(datagram) })

	s, err := sidecar.New(sidecar.Settings{
		Service: "desk", Data: agent, Outbound: netip.AddrPortFrom(agent.Addr(), 22002),
		Backend: netip.AddrPortFrom(agent.Addr(), 22003), Inner: netip.AddrPortFrom(agent.Addr(), controller.Port()),
		ClientPort: agent.Port(), Seeds: func() []flow.Endpoint { return []flow.Endpoint{seed} },
		ReportInterval: time.Second,
	}, resets{}, logger)
	is.NoErr(err)

	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- s.Run(ctx) }()

	_, err = s.Report(gate.Report{ID: "a", Service: "desk", Born: 2000, Sequence: 1, Slots: 2})
	is.NoErr(err)

	select {
	case reset := <-received:
		is.Equal(reset, key.String())
	case <-time.After(patience):
		t.Fatal("the client was not told that its flow is lost")
	}

	for deadline := time.Now().Add(patience); m.got(wire.KindCheckpoint) < 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no checkpoint was sent")
		}
	}

	is.True(m.got(wire.KindRecall) < m.got(wire.KindCheckpoint))

	stop()
	is.NoErr(<-ended)
	is.NoErr(receiver.Close())
	is.NoErr(conn.Close())
	is.Equal(len(received), 0) // told once
}
