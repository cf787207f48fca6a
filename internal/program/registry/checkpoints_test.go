package registry_test

import (
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/transport/frag"
)

// client sends messages to controllers and keeps the newest answer of each kind.
type client struct {
	conn    *frag.Conn
	mutex   sync.Mutex
	answers map[wire.Kind][]byte
}

func newClient(t *testing.T, address netip.AddrPort) *client {
	t.Helper()

	conn, err := frag.Listen(address, slog.New(slog.DiscardHandler))
	is.New(t).NoErr(err)

	c := &client{conn: conn, answers: make(map[wire.Kind][]byte)}

	go conn.Serve(func(_ netip.AddrPort, message []byte) {
		kind, body, _ := wire.Split(message)

		c.mutex.Lock()
		defer c.mutex.Unlock()

		c.answers[kind] = append([]byte{}, body...)
	})
	t.Cleanup(func() { is.New(t).NoErr(conn.Close()) })

	return c
}

// request sends a message and returns the newest answer of a kind, or nil.
func (c *client) request(to flow.Endpoint, message []byte, kind wire.Kind) []byte {
	if c.conn.Send(to.AddrPort(), message) != nil {
		return nil
	}

	time.Sleep(50 * time.Millisecond)
	c.mutex.Lock()
	defer c.mutex.Unlock()

	answer := c.answers[kind]
	delete(c.answers, kind)

	return answer
}

// TestCheckpoints guards against controllers that forget flows when all of them
// stop, and against acknowledging flows that are not on disk.
func TestCheckpoints(t *testing.T) {
	c := newCluster(t)
	c.bootstrap(1)

	agent := newClient(t, c.address(99).AddrPort())
	batch := checkpoint.Batch{Agent: c.address(99), BackendStart: 5, Epoch: 6, To: 7, Opened: []checkpoint.Flow{
		{Key: flow.Key{Client: c.address(1), Service: c.address(2)}, Acknowledged: 8},
	}}

	c.eventually("the checkpoint is acknowledged", func() bool {
		answer := agent.request(c.address(1), batch.Append([]byte{byte(wire.KindCheckpoint)}), wire.KindCheckpointed)
		if answer == nil {
			return false
		}

		acknowledged, err := wire.Decode[checkpoint.Acknowledgement](answer)
		c.is.NoErr(err)

		return acknowledged == checkpoint.Acknowledgement{Epoch: 6, Position: 7}
	})

	c.kill(1)
	c.start(1, "1", false)

	restore, err := wire.Encode(wire.KindRestore, wire.Restore{Agent: c.address(99)})
	c.is.NoErr(err)

	c.eventually("the flows are restored", func() bool {
		answer := agent.request(c.address(1), restore, wire.KindRestoreReply)
		if answer == nil {
			return false
		}

		restored, err := checkpoint.Restore(answer)
		c.is.NoErr(err)
		c.is.Equal(restored, checkpoint.RestoredFlows{BackendStart: 5, Epoch: 6, Flows: batch.Opened})

		return true
	})

	t.Run("another agent", func(*testing.T) {
		other, err := wire.Encode(wire.KindRestore, wire.Restore{Agent: c.address(98)})
		c.is.NoErr(err)

		c.eventually("there is an answer", func() bool {
			answer := agent.request(c.address(1), other, wire.KindRestoreReply)

			return answer != nil && len(answer) == 0
		})
	})
}

// TestNotifyAfterRestart guards against instances that wait for their seeds
// although another controller is running: after a restart a controller notifies
// the instances that polled it before.
func TestNotifyAfterRestart(t *testing.T) {
	c := newCluster(t)
	c.bootstrap(1)

	instance := newClient(t, c.address(99).AddrPort())
	poll, err := wire.Encode(wire.KindPoll, wire.Poll{})
	c.is.NoErr(err)

	c.eventually("the poll is answered", func() bool {
		return instance.request(c.address(1), poll, wire.KindPollReply) != nil
	})
	time.Sleep(1500 * time.Millisecond) // until the controller has saved the instance
	c.kill(1)

	instance.mutex.Lock()
	clear(instance.answers)
	instance.mutex.Unlock()

	c.start(1, "1", false)
	c.eventually("the controller notifies the instance", func() bool {
		instance.mutex.Lock()
		defer instance.mutex.Unlock()

		_, notified := instance.answers[wire.KindPollNow]

		return notified
	})
}
