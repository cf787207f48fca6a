package forward_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

func newAgent(t testing.TB, change func(*view.Contents)) *forward.Agent {
	t.Helper()

	viewContents := contents()
	if change != nil {
		change(&viewContents)
	}

	agent := forward.NewAgent(1, crew)
	is.New(t).NoErr(agent.Apply(view.New(viewContents)))

	return agent
}

// receivePing passes a ping of a balancer to an agent.
func receivePing(f fixture, agent *forward.Agent, now time.Time, balancer view.Incarnation) forward.Decision {
	ping := datagram.Header{Kind: datagram.Ping, Balancer: balancer}

	return agent.Receive(now, f.sealed(ping, ""), address(int(balancer)))
}

// callerPort gives each reply a new caller, because the agent remembers the last
// balancer of a caller.
var callerPort uint16

// replyCounts returns how many of the next replies, each to a new caller, go
// through each balancer.
func replyCounts(agent *forward.Agent, now time.Time, replies int) map[view.Incarnation]int {
	count := map[view.Incarnation]int{}

	for range replies {
		callerPort++

		to := netip.AddrPortFrom(caller.Addr(), callerPort)
		if header, _, ok := agent.Reply(now, to); ok {
			count[header.Balancer]++
		}
	}

	return count
}

// Guards against delivery to another service or incarnation after an address
// was reused, and against a stale notice about the agent that sends it.
func TestReceive(t *testing.T) {
	f, agent := newFixture(t, nil), newAgent(t, nil)
	header := datagram.Header{Kind: datagram.Forward, Service: crew, Agent: 1, Balancer: self, Caller: caller}

	got := agent.Receive(start, f.sealed(header, "x"), peer)
	is.New(t).Equal(got.Action, forward.Deliver)
	is.New(t).Equal(got.Header.Caller, caller)

	other := header
	other.Service = desk
	assertDropped(t, agent.Receive(start, f.sealed(other, "x"), peer), forward.WrongService)

	other.Agent = 2
	got = agent.Receive(start, f.sealed(other, "x"), peer)
	is.New(t).Equal(got.Action, forward.Answer)
	is.New(t).Equal(got.Header.Kind, datagram.Stale)
	is.New(t).Equal(got.Header.Agent, view.Incarnation(2))
	is.New(t).Equal(got.To, peer)

	forged := f.sealed(header, "x")
	forged[3]++
	assertDropped(t, agent.Receive(start, forged, peer), forward.HeaderTag)
	assertDropped(t, agent.Receive(start, f.sealed(header, ""), peer), forward.NoPayload)
	is.New(t).Equal(agent.Counts()[forward.WrongAgent], uint64(1))
}

// Guards against replies through a balancer that has been silent for longer than
// a second, and against an agent that cannot reply before the first datagram of a
// balancer.
func TestReplyRotation(t *testing.T) {
	f, agent := newFixture(t, nil), newAgent(t, nil)

	is.New(t).Equal(replyCounts(agent, start, 6), map[view.Incarnation]int{900: 2, 901: 2, 902: 2})

	receivePing(f, agent, start, 900)
	receivePing(f, agent, start, 901)
	is.New(t).Equal(replyCounts(agent, start, 6), map[view.Incarnation]int{900: 3, 901: 3})

	receivePing(f, agent, start.Add(time.Second), 901)
	is.New(t).Equal(replyCounts(agent, start.Add(1001*time.Millisecond), 6), map[view.Incarnation]int{901: 6})
	is.New(t).Equal(len(replyCounts(agent, start.Add(3*time.Second), 6)), 3)

	for balancer := self; balancer < self+3; balancer++ {
		receivePing(f, agent, start.Add(4*time.Second), balancer)
	}

	expected := map[view.Incarnation]int{900: 2, 901: 2, 902: 2}
	is.New(t).Equal(replyCounts(agent, start.Add(4*time.Second), 6), expected)
}

// Guards against a retransmission that takes the same path as the original packet,
// however many replies to other callers lie between them.
func TestReplyOtherWay(t *testing.T) {
	f, agent := newFixture(t, nil), newAgent(t, nil)
	for balancer := self; balancer < self+3; balancer++ {
		receivePing(f, agent, start, balancer)
	}

	last := view.Incarnation(0)

	for i := range 100 {
		header, _, _ := agent.Reply(start, caller)
		is.New(t).True(header.Balancer != last)

		last = header.Balancer

		for range i % 5 {
			agent.Reply(start, peer)
		}
	}
}

// Guards against a silent balancer that gets its share of the replies until the
// timeout of a second.
func TestReplyRecency(t *testing.T) {
	f, agent := newFixture(t, nil), newAgent(t, nil)
	for balancer := self; balancer < self+3; balancer++ {
		receivePing(f, agent, start, balancer)
	}

	later := start.Add(100 * time.Millisecond)

	receivePing(f, agent, later, 900)
	receivePing(f, agent, later, 901)
	is.New(t).Equal(replyCounts(agent, later, 60)[902], 0)
}

// Guards against replies to balancers that drain or are not in the view: the
// address of an unknown one would come from a datagram that anyone can replay.
func TestReplyViews(t *testing.T) {
	f := newFixture(t, nil)
	agent := newAgent(t, func(c *view.Contents) { c.Balancers[1].State = view.Draining })

	receivePing(f, agent, start, 901) // draining
	receivePing(f, agent, start, 950) // not in the view
	is.New(t).Equal(replyCounts(agent, start, 4), map[view.Incarnation]int{900: 2, 902: 2})

	later := contents()
	later.Position.Index++
	later.Balancers = append(later.Balancers, view.Balancer{Incarnation: 950, Data: address(950), State: view.Active})
	is.New(t).NoErr(agent.Apply(view.New(later)))
	is.New(t).Equal(replyCounts(agent, start, 4), map[view.Incarnation]int{901: 4})

	receivePing(f, agent, start, 950)
	is.New(t).Equal(replyCounts(agent, start, 4), map[view.Incarnation]int{901: 2, 950: 2})
}
