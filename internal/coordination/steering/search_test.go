package steering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

// TestSearchFinds guards against flows that are lost when another entry
// instance gets their packets.
func TestSearchFinds(t *testing.T) {
	w := newWorld(t, 5)
	key := client(1)
	w.is.Equal(len(w.asked(key, w.router.Packet(w.now, request(key, 1), []byte("one")))), 5)
	w.is.Equal(len(w.router.Packet(w.now, request(key, 1), []byte("two"))), 0)
	w.is.Equal(len(w.answer(address(2), flow.Absent)), 0)

	actions := w.answer(address(4), flow.Held)
	w.is.Equal(len(actions), 2)
	w.is.Equal(actions[0].To, address(4))
	w.is.Equal(string(actions[0].Packet)+string(actions[1].Packet), "onetwo")
	w.is.Equal(w.one(w.router.Packet(w.now, request(key, 1), []byte("three")), steering.Forward).To, address(4))
}

// TestSearchLost guards against clients that wait for a flow that nobody holds,
// and against a search for each of their repetitions.
func TestSearchLost(t *testing.T) {
	w := newWorld(t, 2)
	key := client(1)
	w.asked(key, w.router.Packet(w.now, request(key, 42), []byte("one")))
	w.answer(address(1), flow.Absent)

	reset := w.one(w.answer(address(2), flow.Absent), steering.Reset)
	w.is.Equal(reset.Sequence, uint32(42))
	w.is.Equal(w.one(w.router.Packet(w.now, request(key, 43), []byte("two")), steering.Reset).Sequence, uint32(43))

	// The client may use the port again.
	w.one(w.router.Packet(w.now, opening(key), []byte("open")), steering.Forward)
}

// TestSearchUncertain guards against the reset of a flow whose agent did not
// answer, or that an old view may not know.
func TestSearchUncertain(t *testing.T) {
	t.Run("silent agent", func(t *testing.T) {
		w := newWorld(t, 2)
		key := client(1)
		w.asked(key, w.router.Packet(w.now, request(key, 1), []byte("one")))
		w.answer(address(1), flow.Absent)

		due, ok := w.router.Due()
		w.is.True(ok)
		w.is.Equal(len(w.router.Tick(due)), 0)

		// The next repetition of the client searches again, where it may be.
		w.now = due.Add(200 * time.Millisecond)
		asked := w.asked(key, w.router.Packet(w.now, request(key, 1), []byte("one")))
		w.is.Equal(asked, []flow.Endpoint{address(2)})
	})

	t.Run("lost instance", func(t *testing.T) {
		w := newWorld(t, 2)
		key := client(1)
		w.asked(key, w.router.Packet(w.now, request(key, 1), []byte("one")))
		w.answer(address(1), flow.Absent)

		lost := agents(2, roster.Silent)[1:]
		w.router.Apply(w.now, lost, false)

		due, _ := w.router.Due()
		w.one(w.router.Tick(due), steering.Reset)
	})

	t.Run("old view", func(t *testing.T) {
		w := newWorld(t, 1)
		key := client(1)
		w.now = w.now.Add(10 * time.Second)
		w.asked(key, w.router.Packet(w.now, request(key, 1), []byte("one")))
		w.is.Equal(len(w.answer(address(1), flow.Absent)), 0)
	})
}

// TestSearchUnsure guards against flows that are lost after agents restart:
// the packet goes to one unsure agent after the other.
func TestSearchUnsure(t *testing.T) {
	w := newWorld(t, 3)
	key := client(1)
	w.asked(key, w.router.Packet(w.now, request(key, 9), []byte("one")))
	w.answer(address(1), flow.Unsure)
	w.answer(address(2), flow.Absent)

	probe := w.one(w.answer(address(3), flow.Unsure), steering.Forward)
	w.is.Equal(probe.To, address(1))

	probe = w.one(w.router.Returned(w.now, address(1), request(key, 9), []byte("one"), roster.Load{}), steering.Forward)
	w.is.Equal(probe.To, address(3))

	// The backend server answers: its agent reports the flow.
	w.is.Equal(len(w.router.Found(w.now, address(3), key)), 0)
	w.is.Equal(w.one(w.router.Packet(w.now, request(key, 9), []byte("two")), steering.Forward).To, address(3))
}

// TestSearchWaves guards against questions to every agent of a large deployment
// for each flow: those that can have got the flow are asked first.
func TestSearchWaves(t *testing.T) {
	w := newWorld(t, 60)
	key := client(1)
	holder := w.open(key)

	other := newWorld(t, 60) // another entry instance
	asked := other.asked(key, other.router.Packet(w.now, request(key, 1), []byte("one")))
	w.is.True(len(asked) <= 16)

	found := false
	for _, agent := range asked {
		found = found || agent == holder
	}

	w.is.True(found)

	for _, agent := range asked[1:] {
		other.answer(agent, flow.Absent)
	}

	w.is.Equal(len(other.asked(key, other.answer(asked[0], flow.Absent))), 60-len(asked))
}

// TestSearchBudget replays the moments after the loss of all instances: every
// client sends packets of a flow that nobody holds, to an entry instance with
// a link of 4.4 Mbit/s. The questions must leave the link to other traffic.
func TestSearchBudget(t *testing.T) {
	const link = 4.4e6 / 8

	w := newWorld(t, 0)
	w.router = steering.New(steering.Config{Boot: start, Link: link})
	w.router.Follow(table(t, 1, toService("desk")))
	w.router.Apply(w.now, agents(65, roster.Ready), true)
	w.router.Confirm(start)

	const seconds, perSecond = 10, 1000

	bytes := 0

	for i := range seconds * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)

		for _, actions := range [][]steering.Action{
			w.router.Packet(now, request(client(i%400), 1), []byte("one")), w.router.Tick(now),
		} {
			for _, action := range actions {
				if action.Kind == steering.Locate {
					bytes += 60 + len(action.Question.Keys)*12
				}
			}
		}
	}

	// A fifth of the link, and a burst of 128 searches on top.
	w.is.True(bytes > 0)
	w.is.True(bytes <= seconds*link/5+128*65*14)
}

// TestReplacedAgent guards against packets that go to an agent that is gone
// while another one holds the flow by now.
func TestReplacedAgent(t *testing.T) {
	w := newWorld(t, 3)
	key := client(1)
	holder := w.open(key)

	gone := roster.Record{Address: holder, State: roster.Gone}
	w.router.Apply(w.now, []roster.Record{gone}, false)
	w.is.Equal(len(w.asked(key, w.router.Packet(w.now, request(key, 1), []byte("one")))), 2)
}

// TestMissingAgent guards against the reset of open flows when the list comes
// from a controller that has just started and has not heard their agent.
func TestMissingAgent(t *testing.T) {
	w := newWorld(t, 3)
	key := client(1)
	holder := w.open(key)

	var others []roster.Record

	for _, record := range agents(3, roster.Ready) {
		if record.Address != holder {
			others = append(others, record)
		}
	}

	w.router.Apply(w.now, others, true)
	w.is.Equal(w.one(w.router.Packet(w.now, request(key, 1), []byte("one")), steering.Forward).To, holder)

	for number := range 10 {
		w.is.True(w.open(client(2+number)) != holder)
	}

	// An agent that stays away is gone.
	w.now = w.now.Add(roster.GoneAfter + time.Second)
	w.router.Tick(w.now)
	w.is.Equal(len(w.asked(key, w.router.Packet(w.now, request(key, 1), []byte("one")))), 2)
}

// TestRandomEvents guards against contradictions in the table when agents come,
// go, refuse, answer late and answer wrongly.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(t, 12)

		for step := range 3000 {
			w.now = w.now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			key, agent := client(random.IntN(40)), address(1+random.IntN(14))

			switch random.IntN(9) {
			case 0:
				w.router.Packet(w.now, opening(key), []byte("open"))
			case 1, 2:
				w.router.Packet(w.now, request(key, 1), []byte("one"))
			case 3:
				w.router.Accepted(w.now, agent, key, roster.Load{})
			case 4:
				w.router.Returned(w.now, agent, opening(key), []byte("open"), roster.Load{})
			case 5:
				w.router.Returned(w.now, agent, request(key, 1), []byte("one"), roster.Load{})
			case 6:
				answers := make([]flow.Answer, 1+random.IntN(3))
				for i := range answers {
					answers[i] = flow.Answer(1 + random.IntN(3))
				}

				w.router.Located(w.now, agent, random.Uint32N(500), answers)
				w.router.Found(w.now, agent, client(random.IntN(400)))
			case 7:
				w.router.Apply(w.now, agents(1+random.IntN(12), roster.State(1+random.IntN(5))), random.IntN(3) == 0)
				w.router.Confirm(w.now)
			default:
				w.router.Tick(w.now)
			}

			if step%500 == 499 {
				w.router.Follow(table(t, uint64(2+step), toService([]string{"desk", "link"}[random.IntN(2)])))
			}
		}

		// Whatever happened, an undecided flow is decided in bounded time.
		for range 200 {
			w.now = w.now.Add(100 * time.Millisecond)
			w.router.Tick(w.now)
		}

		_, waiting := w.router.Due()
		w.is.True(!waiting)
	}
}
