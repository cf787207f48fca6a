package steering_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

// maxImbalance is the target for the ratio of the flows of the busiest backend
// server to the mean.
const maxImbalance = 1.25

// assertBalanced checks that the flows of the agents meet maxImbalance.
func assertBalanced(t *testing.T, counts map[flow.Endpoint]int, agents int) {
	t.Helper()

	total, most := 0, 0
	for _, count := range counts {
		total += count
		most = max(most, count)
	}

	if mean := float64(total) / float64(agents); float64(most) > maxImbalance*mean {
		t.Fatalf("the busiest of %d agents has %d flows, the mean is %.1f", agents, most, mean)
	}
}

// TestOpenBalances guards against an uneven distribution of flows over backend
// servers, in small and large services.
func TestOpenBalances(t *testing.T) {
	for _, count := range []int{1, 3, 7, 52} {
		f := newFixture(t, count)
		counts := map[flow.Endpoint]int{}

		for number := range 60 * count {
			counts[f.openFlow(client(number))]++
		}

		assertBalanced(t, counts, count)
	}
}

// TestOpenNear guards against flows that cross availability zones although the
// local zone has capacity, and against overloading the local zone to avoid that.
func TestOpenNear(t *testing.T) {
	f := newFixture(t, 6)

	records := agents(6, roster.Ready)
	for i := range records {
		records[i].Zone = []string{"", "other"}[i%2]
	}

	f.router.Apply(f.now, records, true)

	counts := map[flow.Endpoint]int{}
	localFlows := 0

	for number := range 360 {
		agent := f.openFlow(client(number))
		counts[agent]++

		if agent.IP[3]%2 == 1 {
			localFlows++
		}
	}

	f.is.True(localFlows > 185)
	assertBalanced(t, counts, 6)
}

// TestOpenAfterRelease guards against a replaced backend server that stays idle
// while the others keep all open flows: it must get the next flows.
func TestOpenAfterRelease(t *testing.T) {
	f := newFixture(t, 3)

	records := agents(3, roster.Ready)
	records[0].Flows, records[1].Flows = 30, 30
	f.router.Apply(f.now, records, true)

	for number := range 25 {
		f.is.Equal(f.router.Packet(f.now, openHeader(client(number)), []byte("open"))[0].To, address(3))
	}
}

// TestOpenRefused guards against a flow that waits for a retransmission of its
// client although another backend server can take it, and against a flow that is
// not reset when none can.
func TestOpenRefused(t *testing.T) {
	f := newFixture(t, 3)
	key := client(1)
	actions := f.router.Packet(f.now, openHeader(key), []byte("open"))
	seen := map[flow.Endpoint]bool{}

	for range 3 {
		forwarded := f.checkOne(actions, steering.Forward)
		f.is.Equal(string(forwarded.Packet), "open")
		f.is.True(!seen[forwarded.To])
		seen[forwarded.To] = true

		actions = f.router.Returned(f.now, forwarded.To, openHeader(key), []byte("open"), roster.Load{})
	}

	f.is.Equal(f.checkOne(actions, steering.Reset).Reason, steering.ReasonNoAgent)
}

// TestOpenDeclined guards against a flow that waits at the agent that seemed least
// loaded while others have free slots, and against one that all agents decline: after a
// few of them, the least loaded one has to take it, or the client is told at once.
func TestOpenDeclined(t *testing.T) {
	f := newFixture(t, 12)
	key := client(1)
	actions := f.router.Packet(f.now, openHeader(key), []byte("open"))
	loads := make(map[flow.Endpoint]uint16)

	for waiting := uint16(9); ; waiting-- {
		offered := f.checkOne(actions, steering.Forward)

		if !offered.Declinable {
			f.is.Equal(len(loads), 5)
			f.is.Equal(loads[offered.To], waiting+1) // the last answer has the lowest load
			actions = f.router.Declined(f.now, offered.To, openHeader(key), roster.Load{Waiting: 9})

			break
		}

		f.is.Equal(loads[offered.To], uint16(0)) // offered once

		loads[offered.To] = waiting
		for _, record := range agents(12, roster.Ready) {
			if _, known := loads[record.Address]; !known {
				record.Waiting = 100
				f.router.Apply(f.now, []roster.Record{record}, false)
			}
		}

		actions = f.router.Declined(f.now, offered.To, openHeader(key), roster.Load{Waiting: waiting})
	}

	f.is.Equal(f.checkOne(actions, steering.Reset).Reason, steering.ReasonOverload)
}

// TestOpenSilent guards against flows that wait for an agent that has failed, and
// against further new flows for that agent.
func TestOpenSilent(t *testing.T) {
	f := newFixture(t, 3)
	dead := f.router.Packet(f.now, openHeader(client(1)), []byte("open"))[0].To

	due, ok := f.router.Due()
	f.is.True(ok)
	f.is.Equal(due, start.Add(steering.OpenTimeout))
	f.is.Equal(len(f.router.Tick(due.Add(-1))), 0)

	f.is.True(f.checkOne(f.router.Tick(due), steering.Forward).To != dead)

	f.now = due
	for number := range 20 {
		f.is.True(f.openFlow(client(2+number)) != dead)
	}

	// An answer makes the agent eligible again.
	f.router.Accepted(f.now, dead, client(1), roster.Load{})

	found := false
	for number := range 20 {
		found = found || f.openFlow(client(50+number)) == dead
	}

	f.is.True(found)
}

// TestOpenOverload guards against a link of the entry instance that is full of
// first packets: while the agents are too slow to answer in time and every client
// opens a flow, each flow must cause a bounded number of packets.
func TestOpenOverload(t *testing.T) {
	f := newFixture(t, 52)
	packets, clients := 0, 300

	for step := range 300 {
		f.now = start.Add(time.Duration(step) * 10 * time.Millisecond)

		for number := range clients {
			sinceFirst := f.now.Sub(start) - time.Duration(number)*time.Millisecond
			repeats := sinceFirst == 0 || sinceFirst == 200*time.Millisecond || sinceFirst == 600*time.Millisecond

			if repeats {
				packets += len(f.router.Packet(f.now, openHeader(client(number)), []byte("open")))
			}
		}

		packets += len(f.router.Tick(f.now))
	}

	opened := clients / 10 // clients whose start falls on a step of 10 ms
	f.is.True(packets >= 3*opened)
	f.is.True(packets <= 6*opened)

	_, waiting := f.router.Due()
	f.is.True(!waiting)
}

// TestPause guards against an entry instance that was paused and resets a flow that its client
// has opened through another one meanwhile: the first packet of the flow has waited in the
// socket. It also guards against a confirmation of before the pause that counts as new.
func TestPause(t *testing.T) {
	const pause = 1200 * time.Millisecond // the list of agents is still confirmed

	key := client(1)
	refuse := func(f *fixture, offer steering.Action) []steering.Action {
		return f.router.Returned(f.now, offer.To, openHeader(key), []byte("open"), roster.Load{})
	}

	newPaused := func(t *testing.T) *fixture {
		t.Helper()

		f := newFixture(t, 1)
		f.now = f.now.Add(pause)

		return f
	}

	t.Run("refused at once", func(t *testing.T) {
		f := newPaused(t)
		offer := f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward)
		f.is.Equal(f.checkOne(refuse(f, offer), steering.GiveUp).Reason, steering.ReasonStale)
	})

	t.Run("later packet", func(t *testing.T) {
		f := newPaused(t)
		f.router.Tick(f.now)
		f.now = f.now.Add(250 * time.Millisecond)
		offer := f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward)
		f.checkOne(refuse(f, offer), steering.Reset)
	})

	t.Run("sent again after the pause", func(t *testing.T) {
		f := newPaused(t)
		offer := f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward)
		refuse(f, offer)

		f.confirmAfterPause()
		offer = f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward)
		f.checkOne(refuse(f, offer), steering.Reset)
	})

	t.Run("confirmed before the pause", func(t *testing.T) {
		f := newFixture(t, 1)
		unrouted := key
		unrouted.Service.Port++

		f.now = f.now.Add(3 * time.Second)
		f.router.Confirm(f.now, f.now) // the answer waited in the socket
		f.is.Equal(len(f.router.Packet(f.now, openHeader(unrouted), []byte("open"))), 0)

		f.confirmAfterPause()
		f.checkOne(f.router.Packet(f.now, openHeader(unrouted), []byte("open")), steering.Reset)
	})
}

// TestOpenLastResort guards against a service that gets no flows because all of
// its agents have recently failed to answer.
func TestOpenLastResort(t *testing.T) {
	f := newFixture(t, 1)
	f.router.Packet(f.now, openHeader(client(1)), []byte("open"))
	f.router.Confirm(f.now.Add(steering.OpenTimeout), f.now.Add(steering.OpenTimeout))
	f.checkOne(f.router.Tick(f.now.Add(steering.OpenTimeout)), steering.Reset)
	f.checkOne(f.router.Packet(f.now.Add(steering.OpenTimeout), openHeader(client(2)), []byte("open")), steering.Forward)
}

// TestOpenAway guards against new flows that wait for an agent which is being restarted,
// although another one can take them.
func TestOpenAway(t *testing.T) {
	f := newFixture(t, 2)
	away := agents(2, roster.Ready)
	away[0].Away = true
	f.router.Apply(f.now, away, true)

	for number := range 10 {
		f.is.Equal(f.openFlow(client(number)), away[1].Address)
	}

	away[1].Away = true
	f.router.Apply(f.now, away, true)
	f.openFlow(client(10))
}

// TestOpenUsed guards against the reset of a flow that its client already uses, because the
// answer of the agent that accepted it is late and all others refuse it (soak seed 72024).
func TestOpenUsed(t *testing.T) {
	key := client(1)

	t.Run("after a timeout", func(t *testing.T) {
		f := newFixture(t, 3)
		offer := f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward)
		holder := offer.To

		for range 2 {
			f.now = f.now.Add(steering.OpenTimeout)
			f.router.Confirm(f.now, f.now)
			offer = f.checkOne(f.router.Tick(f.now), steering.Forward)
		}

		f.is.Equal(len(f.router.Packet(f.now, requestHeader(key, 1), []byte("one"))), 0)
		f.is.Equal(len(f.router.Returned(f.now, offer.To, openHeader(key), []byte("open"), roster.Load{})), 0)

		var actions []steering.Action

		for !slices.Contains(f.askedAgents(key, actions), holder) {
			for asked := range f.questions {
				actions = f.answer(asked, flow.Absent)
			}
		}

		f.is.Equal(f.checkOne(f.answer(holder, flow.Held), steering.Forward).To, holder)
	})

	t.Run("before any answer", func(t *testing.T) {
		f := newFixture(t, 3)
		offer := f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward)
		used := f.checkOne(f.router.Packet(f.now, requestHeader(key, 1), []byte("one")), steering.Forward)
		f.is.Equal(used.To, offer.To)

		// No other backend server is offered a flow that is open.
		f.is.Equal(len(f.router.Tick(f.now.Add(steering.OpenTimeout))), 0)
	})
}

// TestOpenOtherService guards against a service that gets the flows of the other
// services of a route because its agents are back first after the loss of all
// instances. It must take them only if the other services stay unavailable.
func TestOpenOtherService(t *testing.T) {
	f := newFixture(t, 3)

	split := toService("link")
	split.Targets = []route.Target{{Service: "link", Weight: 1_000_000}, {Service: "desk", Weight: 1}}
	f.router.SetTable(table(t, 2, split))

	f.now = start.Add(time.Minute) // the view is not confirmed
	f.is.Equal(len(f.router.Packet(f.now, openHeader(client(1)), []byte("open"))), 0)

	f.confirmAfterPause()
	f.checkOne(f.router.Packet(f.now, openHeader(client(1)), []byte("open")), steering.Forward)
}

// TestOpenDraining guards against new flows for a draining backend server, and
// against open flows that are moved away from it.
func TestOpenDraining(t *testing.T) {
	f := newFixture(t, 2)
	key := client(1)
	holder := f.openFlow(key)

	records := agents(2, roster.Ready)
	for i := range records {
		if records[i].Address == holder {
			records[i].State = roster.Draining
		}
	}

	f.router.Apply(f.now, records, false)

	for number := range 10 {
		f.is.True(f.openFlow(client(2+number)) != holder)
	}

	f.is.Equal(f.checkOne(f.router.Packet(f.now, requestHeader(key, 5), []byte("request")), steering.Forward).To, holder)
}

// TestOpenRepeated guards against two backend servers that accept one flow when
// the client retransmits its first packet.
func TestOpenRepeated(t *testing.T) {
	f := newFixture(t, 5)
	key := client(1)
	first := f.router.Packet(f.now, openHeader(key), []byte("open"))[0].To
	f.is.Equal(f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward).To, first)

	f.router.Accepted(f.now, first, key, roster.Load{})
	f.is.Equal(f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward).To, first)
}

// TestWithoutRoute guards against clients that wait although their address has no
// route, and against a reset by an instance that may not know a new route yet.
func TestWithoutRoute(t *testing.T) {
	f := newFixture(t, 1)
	key := client(1)
	key.Service.Port = 8443

	f.is.Equal(
		f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Reset).Reason, steering.ReasonNoRoute,
	)
	f.is.Equal(len(f.router.Packet(f.now.Add(time.Minute), openHeader(key), []byte("open"))), 0)
}

// TestFollow guards against an older document that replaces a newer one, and
// against flows that continue after their route was removed.
func TestFollow(t *testing.T) {
	f := newFixture(t, 1)
	key := client(1)
	f.openFlow(key)

	f.router.SetTable(table(t, 3))
	f.router.SetTable(table(t, 2, toService("desk")))
	f.is.Equal(f.router.Version(), uint64(3))

	reset := f.checkOne(f.router.Packet(f.now, requestHeader(key, 77), []byte("request")), steering.Reset)
	f.is.Equal(reset.Sequence, uint32(77))
}

// TestServing guards against an instance that takes flows before it has a document
// and a ready agent.
func TestServing(t *testing.T) {
	is := is.New(t)
	router := steering.New(steering.Config{Boot: start})
	is.True(!router.Serving())

	router.SetTable(table(t, 1, toService("desk")))
	router.Apply(start, agents(2, roster.Starting), true)
	is.True(!router.Serving())

	router.Apply(start, agents(1, roster.Ready), false)
	is.True(router.Serving())
}

// TestOpenFailing guards against backend servers that get new flows although their
// requests fail, because they have the fewest flows.
func TestOpenFailing(t *testing.T) {
	applyFailing := func(f *fixture, count, failing int) {
		records := agents(count, roster.Ready)
		for i := range records {
			records[i].Flows = 100
			if i < failing {
				records[i].Flows, records[i].Failing = 0, true
			}
		}

		f.router.Apply(f.now, records, true)
	}

	t.Run("avoided", func(t *testing.T) {
		f := newFixture(t, 6)
		applyFailing(f, 6, 2)

		for number := range 100 {
			f.is.True(f.openFlow(client(number)).IP[3] > 2)
		}
	})

	t.Run("too many", func(t *testing.T) {
		f := newFixture(t, 6)
		applyFailing(f, 6, 3)
		f.is.True(f.openFlow(client(1)).IP[3] <= 3)
	})

	t.Run("last resort", func(t *testing.T) {
		f := newFixture(t, 3)
		applyFailing(f, 3, 1)

		var tried []flow.Endpoint

		actions := f.router.Packet(f.now, openHeader(client(1)), []byte("open"))

		for len(actions) == 1 && actions[0].Kind == steering.Forward {
			tried = append(tried, actions[0].To)
			actions = f.router.Returned(f.now, actions[0].To, openHeader(client(1)), []byte("open"), roster.Load{})
		}

		f.is.Equal(len(tried), 3)
		f.is.Equal(tried[2], address(1)) // the failing agent
	})

	t.Run("reported with an answer", func(t *testing.T) {
		f := newFixture(t, 3)
		first := f.openFlow(client(1))
		f.router.Accepted(f.now, first, client(1), roster.Load{Failing: true})

		for number := range 30 {
			f.is.True(f.openFlow(client(2+number)) != first)
		}
	})
}
