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

// Guards against flows that leave their agent when weights, states or members
// change, and against delivery by a connection ID of another service.
func TestEstablished(t *testing.T) {
	f := newFixture(t, func(c *view.Contents) { c.Agents[0].State, c.Agents[0].Weight = view.Draining, 0 })

	assertSent(t, f.FromCaller(start, crew, f.establishedPacket(crew, 1), caller), forward.Direct, 1)
	assertSent(t, f.FromCaller(start, desk, f.establishedPacket(desk, 2), caller), forward.Direct, 2)
	assertDropped(t, f.FromCaller(start, desk, f.establishedPacket(crew, 1), caller), forward.NotFirst)
	assertDropped(t, f.FromCaller(start, crew, f.establishedPacket(crew, 77), caller), forward.AgentGone)
}

// Guards against forwarding what no caller sends or no agent can use.
func TestDropped(t *testing.T) {
	f := newFixture(t, func(c *view.Contents) { c.Services = append(c.Services, view.Service{ID: 3}) })
	retry := initialPacket(1)
	retry[0] = 0xf0

	assertDropped(t, f.FromCaller(start, crew, nil, caller), forward.NotQUIC)
	assertDropped(t, f.FromCaller(start, crew, retry, caller), forward.NotCaller)
	assertDropped(t, f.FromCaller(start, crew, initialPacket(1), netip.AddrPort{}), forward.NotCaller)
	assertDropped(t, f.FromCaller(start, crew, initialPacket(1)[:1199], caller), forward.NotFirst)
	assertDropped(t, f.FromCaller(start, 3, initialPacket(1), caller), forward.NoAgent)
	assertDropped(t, f.FromCaller(start, 4, initialPacket(1), caller), forward.NoService)
	assertDropped(t,
		forward.NewBalancer(self, 1).Worker().FromCaller(start, crew, initialPacket(1), caller), forward.NoView)
}

// Guards against first packets that are still sent to an agent that refused
// or was replaced, and against skipping it for longer than 3 s or a new view.
func TestSkips(t *testing.T) {
	f := newFixture(t, nil)
	owner := f.FromCaller(start, crew, initialPacket(1), caller).Header.Agent
	other := 4 - owner // 1 and 3 serve crew

	for name, skip := range map[string]func(){
		"refused": func() { f.balancer.RecordRefusal(start, address(int(owner))) },
		"stale": func() {
			notice := datagram.Header{Kind: datagram.Stale, Service: crew, Agent: owner, Balancer: self}
			assertDropped(t, f.FromAgent(start, f.sealed(notice, ""), peer), forward.Consumed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			skip()
			assertSent(t, f.FromCaller(start, crew, initialPacket(1), caller), forward.FirstFallback, other)
			assertSent(t, f.FromCaller(start, crew, f.establishedPacket(crew, owner), caller), forward.Direct, owner)
			assertSent(t, f.FromCaller(start.Add(3*time.Second), crew, initialPacket(1), caller), forward.First, owner)

			is.New(t).NoErr(f.balancer.Apply(view.New(contents())))
			assertSent(t, f.FromCaller(start, crew, initialPacket(1), caller), forward.First, owner)

			f.balancer.RecordRefusal(start, address(1))
			f.balancer.RecordRefusal(start, address(3))
			assertSent(t, f.FromCaller(start, crew, initialPacket(1), caller), forward.First, owner)
			is.New(t).NoErr(f.balancer.Apply(view.New(contents())))
		})
	}
}

// Guards against replies that reach callers from the socket of another
// service, and against losing those of agents that are not in the view yet.
func TestReplies(t *testing.T) {
	f := newFixture(t, nil)
	reply := datagram.Header{Kind: datagram.Reply, Service: crew, Agent: 1, Balancer: self, Caller: caller}

	deliver := func(change func(*datagram.Header), payload string) forward.Decision {
		header := reply
		change(&header)

		return f.FromAgent(start, f.sealed(header, payload), peer)
	}

	got := deliver(func(*datagram.Header) {}, "x")
	is.New(t).Equal(got.Action, forward.Deliver)
	is.New(t).Equal(got.Header, reply)

	got = deliver(func(h *datagram.Header) { h.Agent = 77 }, "x")
	is.New(t).Equal(got.Action, forward.Deliver)

	assertDropped(t, deliver(func(h *datagram.Header) { h.Service = desk }, "x"), forward.WrongService)
	assertDropped(t, deliver(func(h *datagram.Header) { h.Service = 3 }, "x"), forward.NoService)
	assertDropped(t, deliver(func(h *datagram.Header) { h.Kind = datagram.Forward }, "x"), forward.WrongKind)
	assertDropped(t, deliver(func(*datagram.Header) {}, ""), forward.NoPayload)
	assertDropped(t, f.FromAgent(start, make([]byte, 60), peer), forward.HeaderKey)

	got = deliver(func(h *datagram.Header) { h.Kind = datagram.Ping }, "")
	is.New(t).Equal(got.Action, forward.Answer)
	is.New(t).Equal(got.Header.Kind, datagram.Pong)
	is.New(t).Equal(got.To, peer)
}

// Guards against a flood on one service that uses up the limit of another, and
// against a heavy source that uses up the limit of its service.
func TestLimits(t *testing.T) {
	f := newFixture(t, func(c *view.Contents) {
		for i := range c.Services {
			c.Services[i].Limits = view.Limits{FirstPackets: 1000, FirstPacketsPerSource: 100}
		}
	})

	source := func(number int) netip.AddrPort {
		bytes := [4]byte{100, byte(number >> 16), byte(number >> 8), byte(number)}

		return netip.AddrPortFrom(netip.AddrFrom4(bytes), 4433)
	}
	count := func(service view.ServiceID, packets int, pick func(int) netip.AddrPort) (sent int) {
		for i := range packets {
			// One second of arrivals at an even rate.
			now := start.Add(time.Second * time.Duration(i) / time.Duration(packets))
			if f.FromCaller(now, service, initialPacket(i), pick(i)).Action == forward.Send {
				sent++
			}
		}

		return sent
	}

	heavy := count(crew, 50_000, func(int) netip.AddrPort { return source(1) })
	is.New(t).True(heavy >= 100 && heavy <= 111) // rate and burst of one source

	f.balancer = nil
	f = newFixture(t, func(c *view.Contents) {
		for i := range c.Services {
			c.Services[i].Limits = view.Limits{FirstPackets: 1000, FirstPacketsPerSource: 100}
		}
	})

	spoofed := count(crew, 100_000, source)
	is.New(t).True(spoofed >= 1000 && spoofed <= 1101) // rate and burst of the service

	// The other service has its whole limit during the same second.
	is.New(t).Equal(count(desk, 800, source), 800)
}

// Guards against accepting a view with a lower position than the current one, or a
// view without keys.
func TestApply(t *testing.T) {
	f := newFixture(t, nil)
	lower := contents()
	lower.Position.Index = 4

	withoutKeys := contents()
	withoutKeys.Keys = nil

	is.New(t).True(f.balancer.Apply(view.New(lower)) != nil)
	is.New(t).True(f.balancer.Apply(view.New(withoutKeys)) != nil)
	assertSent(t, f.FromCaller(start, crew, f.establishedPacket(crew, 1), caller), forward.Direct, 1)
	is.New(t).Equal(f.balancer.Counts()[forward.Direct], uint64(1))
}
