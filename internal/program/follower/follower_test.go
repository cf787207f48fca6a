package follower_test

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/program/follower"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
	"jayspindle/internal/transport/frag"
)

// waitTimeout limits the wait for a message. Followers poll several times a second.
const waitTimeout = 5 * time.Second

// receivedPoll is a poll that a controller has received.
type receivedPoll struct {
	wire.Poll

	at time.Time
}

// controller is a stand-in that leaves the replies to the test.
type controller struct {
	*testing.T
	is       *is.I
	conn     *frag.Conn
	address  flow.Endpoint
	follower netip.AddrPort
	polls    chan receivedPoll
}

func listen(t *testing.T) *frag.Conn {
	t.Helper()

	conn, err := frag.Listen(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.DiscardHandler))
	is.New(t).NoErr(err)
	t.Cleanup(func() { is.New(t).NoErr(conn.Close()) })

	return conn
}

func newController(t *testing.T, follower netip.AddrPort) *controller {
	t.Helper()

	c := &controller{T: t, is: is.New(t), conn: listen(t), follower: follower, polls: make(chan receivedPoll, 1000)}
	c.address, _ = flow.NewEndpoint(c.conn.Address())

	go c.conn.Serve(func(_ netip.AddrPort, message []byte) {
		if kind, body, ok := wire.Split(message); ok && kind == wire.KindPoll {
			if poll, err := wire.Decode[wire.Poll](body); err == nil {
				c.polls <- receivedPoll{Poll: poll, at: time.Now()}
			}
		}
	})

	return c
}

// await returns the next poll of an instance that follows this controller, or of any.
func (c *controller) await(follows bool) receivedPoll {
	c.Helper()

	timeout := time.After(waitTimeout)

	for {
		select {
		case poll := <-c.polls:
			if poll.WantsAgents || !follows {
				return poll
			}
		case <-timeout:
			c.Fatal("no poll arrived")
		}
	}
}

// reply sends the reply of a controller whose list of agents is complete and empty.
func (c *controller) reply(sequence uint64, ready bool) {
	c.Helper()
	c.send(wire.PollReply{Sequence: sequence, Ready: ready, Epoch: 1, Position: 1, Complete: true})
}

func (c *controller) send(reply wire.PollReply) {
	c.Helper()

	message, err := wire.Encode(wire.KindPollReply, reply)
	c.is.NoErr(err)
	c.is.NoErr(c.conn.Send(c.follower, message))
}

// sendDocument sends a document, without which instances poll more often.
func (c *controller) sendDocument() {
	c.Helper()

	document, err := (&route.Document{Version: 1}).Encode()
	c.is.NoErr(err)
	c.is.NoErr(c.conn.Send(c.follower, append([]byte{byte(wire.KindDocument)}, document...)))
}

// recorder passes on when the polls were sent that were confirmed.
type recorder struct{ polled chan time.Time }

func (recorder) Document(time.Time, *route.Table) {}

func (recorder) Agents(time.Time, []roster.Record, bool) {}

func (r recorder) Confirmed(_, polled time.Time) { r.polled <- polled }

// newFollower starts a follower of so many controllers.
func newFollower(t *testing.T, count int) (controllers []*controller, polled chan time.Time) {
	t.Helper()

	conn := listen(t)
	seeds := make([]flow.Endpoint, 0, count)

	for range count {
		c := newController(t, conn.Address())
		controllers, seeds = append(controllers, c), append(seeds, c.address)
	}

	polled = make(chan time.Time, 1000)
	f := follower.New(follower.Config{
		Conn: conn, BootID: 1, Seeds: func() []flow.Endpoint { return seeds }, Events: recorder{polled},
		WantsAgents: true, Logger: slog.New(slog.DiscardHandler),
	})

	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)

	go conn.Serve(func(from netip.AddrPort, message []byte) {
		if kind, body, ok := wire.Split(message); ok {
			f.Handle(from, kind, body)
		}
	})
	go f.Run(ctx)

	return controllers, polled
}

// TestConfirmed guards against a delayed reply that counts as proof of what is current: an
// agent may have joined since, and hold flows that are then reset.
func TestConfirmed(t *testing.T) {
	is := is.New(t)
	controllers, polled := newFollower(t, 1)
	c := controllers[0]

	c.reply(c.await(false).Sequence, true)
	<-polled

	first := c.await(true)
	c.await(true)

	later := time.Now()

	c.reply(first.Sequence, true)
	is.True((<-polled).Before(first.at))

	c.reply(first.Sequence+1000, true) // of an earlier start
	c.reply(0, true)                   // the answer to no poll
	c.await(true)

	next := c.await(true)
	c.reply(next.Sequence, true)
	is.True((<-polled).After(later))
}

// TestSourceStops guards against an instance that keeps the list of agents of a controller
// which has stopped as planned, and learns of new agents a second later than the others.
func TestSourceStops(t *testing.T) {
	controllers, _ := newFollower(t, 2)
	source, other := controllers[0], controllers[1]

	source.sendDocument()
	source.reply(source.await(false).Sequence, true)

	for range 4 { // the last ones at the regular interval
		source.reply(source.await(true).Sequence, true)
	}

	stopped := time.Now()
	source.send(wire.PollReply{})

	for {
		poll := other.await(false)
		if poll.at.After(stopped) {
			other.reply(poll.Sequence, true)
		}

		if poll.WantsAgents {
			// The next regular poll would come 350 to 400 ms after the last one.
			is.New(t).True(poll.at.Sub(stopped) < 300*time.Millisecond)

			return
		}
	}
}
