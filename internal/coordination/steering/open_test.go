package steering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

// maxImbalance is the target for flows over backend servers: busiest to mean.
const maxImbalance = 1.25

// assertBalanced checks how many flows each agent got.
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

// TestOpenBalances guards against backend servers that get more than their
// share of the flows, in small and large services.
func TestOpenBalances(t *testing.T) {
	for _, count := range []int{1, 3, 7, 52} {
		w := newWorld(t, count)
		counts := map[flow.Endpoint]int{}

		for number := range 60 * count {
			counts[w.open(client(number))]++
		}

		assertBalanced(t, counts, count)
	}
}

// TestOpenNear guards against flows that cross availability zones although the
// own zone has room, and against an own zone that is overloaded instead.
func TestOpenNear(t *testing.T) {
	w := newWorld(t, 6)

	records := agents(6, roster.Ready)
	for i := range records {
		records[i].Zone = []string{"", "other"}[i%2]
	}

	w.router.Apply(w.now, records, true)

	counts := map[flow.Endpoint]int{}
	near := 0

	for number := range 360 {
		agent := w.open(client(number))
		counts[agent]++

		if agent.IP[3]%2 == 1 {
			near++
		}
	}

	w.is.True(near > 185)
	assertBalanced(t, counts, 6)
}

// TestOpenAfterRelease guards against a replaced backend server that stays idle
// while the others keep all open flows: the next flows go there first.
func TestOpenAfterRelease(t *testing.T) {
	w := newWorld(t, 3)

	records := agents(3, roster.Ready)
	records[0].Flows, records[1].Flows = 30, 30
	w.router.Apply(w.now, records, true)

	for number := range 25 {
		w.is.Equal(w.router.Packet(w.now, opening(client(number)), []byte("open"))[0].To, address(3))
	}
}

// TestOpenRefused guards against a flow that waits for its client's repetition
// although another backend server can take it, and against silence when none
// can.
func TestOpenRefused(t *testing.T) {
	w := newWorld(t, 3)
	key := client(1)
	actions := w.router.Packet(w.now, opening(key), []byte("open"))
	seen := map[flow.Endpoint]bool{}

	for range 3 {
		forwarded := w.one(actions, steering.Forward)
		w.is.Equal(string(forwarded.Packet), "open")
		w.is.True(!seen[forwarded.To])
		seen[forwarded.To] = true

		actions = w.router.Returned(w.now, forwarded.To, opening(key), []byte("open"), roster.Load{})
	}

	w.is.Equal(w.one(actions, steering.Reset).Reason, steering.ReasonNoAgent)
}

// TestOpenSilent guards against flows that wait for an agent that has died, and
// against more new flows for it.
func TestOpenSilent(t *testing.T) {
	w := newWorld(t, 3)
	dead := w.router.Packet(w.now, opening(client(1)), []byte("open"))[0].To

	due, ok := w.router.Due()
	w.is.True(ok)
	w.is.Equal(due, start.Add(steering.OpenTimeout))
	w.is.Equal(len(w.router.Tick(due.Add(-1))), 0)

	w.is.True(w.one(w.router.Tick(due), steering.Forward).To != dead)

	w.now = due
	for number := range 20 {
		w.is.True(w.open(client(2+number)) != dead)
	}

	// An answer ends the suspicion.
	w.router.Accepted(w.now, dead, client(1), roster.Load{})

	found := false
	for number := range 20 {
		found = found || w.open(client(50+number)) == dead
	}

	w.is.True(found)
}

// TestOpenOverload replays agents that are too slow to answer in time while
// every client asks for a new flow: each flow must cause a bounded number of
// packets, or the link of the entry instance is full of first packets.
func TestOpenOverload(t *testing.T) {
	w := newWorld(t, 52)
	packets, clients := 0, 300

	for step := range 300 {
		w.now = start.Add(time.Duration(step) * 10 * time.Millisecond)

		for number := range clients {
			since := w.now.Sub(start) - time.Duration(number)*time.Millisecond
			repeats := since == 0 || since == 200*time.Millisecond || since == 600*time.Millisecond

			if repeats {
				packets += len(w.router.Packet(w.now, opening(client(number)), []byte("open")))
			}
		}

		packets += len(w.router.Tick(w.now))
	}

	opened := clients / 10 // those that fit the steps
	w.is.True(packets >= 3*opened)
	w.is.True(packets <= 6*opened)

	_, waiting := w.router.Due()
	w.is.True(!waiting)
}

// TestOpenLastResort guards against a service that gets no flows because all of
// its agents were silent once.
func TestOpenLastResort(t *testing.T) {
	w := newWorld(t, 1)
	w.router.Packet(w.now, opening(client(1)), []byte("open"))
	w.router.Confirm(w.now.Add(steering.OpenTimeout))
	w.one(w.router.Tick(w.now.Add(steering.OpenTimeout)), steering.Reset)
	w.one(w.router.Packet(w.now.Add(steering.OpenTimeout), opening(client(2)), []byte("open")), steering.Forward)
}

// TestOpenOtherService replays the moments after the loss of all instances: the
// agents of one service are back first. It must not get the flows of the other
// services of a route for good, but take them when those stay away.
func TestOpenOtherService(t *testing.T) {
	w := newWorld(t, 3)

	split := toService("link")
	split.Targets = []route.Target{{Service: "link", Weight: 1_000_000}, {Service: "desk", Weight: 1}}
	w.router.Follow(table(t, 2, split))

	w.now = start.Add(time.Minute) // the view is not confirmed
	w.is.Equal(len(w.router.Packet(w.now, opening(client(1)), []byte("open"))), 0)

	w.router.Confirm(w.now)
	w.one(w.router.Packet(w.now, opening(client(1)), []byte("open")), steering.Forward)
}

// TestOpenDraining guards against new flows for a backend server that leaves,
// and against open flows that are moved away from it.
func TestOpenDraining(t *testing.T) {
	w := newWorld(t, 2)
	key := client(1)
	holder := w.open(key)

	records := agents(2, roster.Ready)
	for i := range records {
		if records[i].Address == holder {
			records[i].State = roster.Draining
		}
	}

	w.router.Apply(w.now, records, false)

	for number := range 10 {
		w.is.True(w.open(client(2+number)) != holder)
	}

	w.is.Equal(w.one(w.router.Packet(w.now, request(key, 5), []byte("request")), steering.Forward).To, holder)
}

// TestOpenRepeated guards against two backend servers that accept one flow when
// the client repeats its first packet.
func TestOpenRepeated(t *testing.T) {
	w := newWorld(t, 5)
	key := client(1)
	first := w.router.Packet(w.now, opening(key), []byte("open"))[0].To
	w.is.Equal(w.one(w.router.Packet(w.now, opening(key), []byte("open")), steering.Forward).To, first)

	w.router.Accepted(w.now, first, key, roster.Load{})
	w.is.Equal(w.one(w.router.Packet(w.now, opening(key), []byte("open")), steering.Forward).To, first)
}

// TestWithoutRoute guards against clients that wait for a route that does not
// exist, and against a refusal by an instance that may lack a new route.
func TestWithoutRoute(t *testing.T) {
	w := newWorld(t, 1)
	key := client(1)
	key.Service.Port = 8443

	w.is.Equal(w.one(w.router.Packet(w.now, opening(key), []byte("open")), steering.Reset).Reason, steering.ReasonNoRoute)
	w.is.Equal(len(w.router.Packet(w.now.Add(time.Minute), opening(key), []byte("open"))), 0)
}

// TestFollow guards against an older document that comes back, and against
// flows that go on after their route was removed.
func TestFollow(t *testing.T) {
	w := newWorld(t, 1)
	key := client(1)
	w.open(key)

	w.router.Follow(table(t, 3))
	w.router.Follow(table(t, 2, toService("desk")))
	w.is.Equal(w.router.Version(), uint64(3))

	reset := w.one(w.router.Packet(w.now, request(key, 77), []byte("request")), steering.Reset)
	w.is.Equal(reset.Sequence, uint32(77))
}

// TestServing guards against an instance that takes flows before it knows where
// they go.
func TestServing(t *testing.T) {
	is := is.New(t)
	router := steering.New(steering.Config{Boot: start})
	is.True(!router.Serving())

	router.Follow(table(t, 1, toService("desk")))
	router.Apply(start, agents(2, roster.Starting), true)
	is.True(!router.Serving())

	router.Apply(start, agents(1, roster.Ready), false)
	is.True(router.Serving())
}

// TestOpenFailing guards against backend servers whose requests fail and that
// get new flows all the same, because they have the fewest.
func TestOpenFailing(t *testing.T) {
	fail := func(w *world, count, failing int) {
		records := agents(count, roster.Ready)
		for i := range records {
			records[i].Flows = 100
			if i < failing {
				records[i].Flows, records[i].Failing = 0, true
			}
		}

		w.router.Apply(w.now, records, true)
	}

	t.Run("passed over", func(t *testing.T) {
		w := newWorld(t, 6)
		fail(w, 6, 2)

		for number := range 100 {
			w.is.True(w.open(client(number)).IP[3] > 2)
		}
	})

	t.Run("too many", func(t *testing.T) {
		w := newWorld(t, 6)
		fail(w, 6, 3)
		w.is.True(w.open(client(1)).IP[3] <= 3)
	})

	t.Run("last resort", func(t *testing.T) {
		w := newWorld(t, 3)
		fail(w, 3, 1)

		var tried []flow.Endpoint

		actions := w.router.Packet(w.now, opening(client(1)), []byte("open"))

		for len(actions) == 1 && actions[0].Kind == steering.Forward {
			tried = append(tried, actions[0].To)
			actions = w.router.Returned(w.now, actions[0].To, opening(client(1)), []byte("open"), roster.Load{})
		}

		w.is.Equal(len(tried), 3)
		w.is.Equal(tried[2], address(1)) // the one that fails
	})

	t.Run("told with an answer", func(t *testing.T) {
		w := newWorld(t, 3)
		first := w.open(client(1))
		w.router.Accepted(w.now, first, client(1), roster.Load{Failing: true})

		for number := range 30 {
			w.is.True(w.open(client(2+number)) != first)
		}
	})
}
