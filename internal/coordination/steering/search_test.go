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
	f := newFixture(t, 5)
	key := client(1)
	f.is.Equal(len(f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))), 5)
	f.is.Equal(len(f.router.Packet(f.now, requestHeader(key, 1), []byte("two"))), 0)
	f.is.Equal(len(f.answer(address(2), flow.Absent)), 0)

	actions := f.answer(address(4), flow.Held)
	f.is.Equal(len(actions), 2)
	f.is.Equal(actions[0].To, address(4))
	f.is.Equal(string(actions[0].Packet)+string(actions[1].Packet), "onetwo")
	f.is.Equal(f.checkOne(f.router.Packet(f.now, requestHeader(key, 1), []byte("three")), steering.Forward).To, address(4))
}

// TestSearchLost guards against clients that wait for a flow that no agent holds,
// and against a search for each of their retransmissions.
func TestSearchLost(t *testing.T) {
	f := newFixture(t, 2)
	key := client(1)
	f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 42), []byte("one")))
	f.answer(address(1), flow.Absent)

	reset := f.checkOne(f.answer(address(2), flow.Absent), steering.Reset)
	f.is.Equal(reset.Sequence, uint32(42))
	f.is.Equal(
		f.checkOne(f.router.Packet(f.now, requestHeader(key, 43), []byte("two")), steering.Reset).Sequence, uint32(43),
	)

	// The client may reuse the port.
	f.checkOne(f.router.Packet(f.now, openHeader(key), []byte("open")), steering.Forward)
}

// TestSearchUncertain guards against the reset of a flow whose agent did not
// answer, or whose agent may be missing in an outdated view.
func TestSearchUncertain(t *testing.T) {
	t.Run("silent agent", func(t *testing.T) {
		f := newFixture(t, 2)
		key := client(1)
		f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
		f.answer(address(1), flow.Absent)

		due, ok := f.router.Due()
		f.is.True(ok)
		f.is.Equal(len(f.router.Tick(due)), 0)

		// The next retransmission starts a search of the agents that have not denied
		// the flow.
		f.now = due.Add(200 * time.Millisecond)
		asked := f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
		f.is.Equal(asked, []flow.Endpoint{address(2)})
	})

	t.Run("lost instance", func(t *testing.T) {
		f := newFixture(t, 2)
		key := client(1)
		f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
		f.answer(address(1), flow.Absent)

		lost := agents(2, roster.Silent)[1:]
		f.router.Apply(f.now, lost, false)

		due, _ := f.router.Due()
		f.checkOne(f.router.Tick(due), steering.Reset)
	})

	t.Run("old view", func(t *testing.T) {
		f := newFixture(t, 1)
		key := client(1)
		f.now = f.now.Add(10 * time.Second)
		f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
		f.is.Equal(len(f.answer(address(1), flow.Absent)), 0)
	})
}

// TestSearchUnsure guards against flows that are lost after agents restart: the
// unsure agents must get the packet one after the other.
func TestSearchUnsure(t *testing.T) {
	f := newFixture(t, 3)
	key := client(1)
	f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 9), []byte("one")))
	f.answer(address(1), flow.Unsure)
	f.answer(address(2), flow.Absent)

	probe := f.checkOne(f.answer(address(3), flow.Unsure), steering.Forward)
	f.is.Equal(probe.To, address(1))

	probe = f.checkOne(
		f.router.Returned(f.now, address(1), requestHeader(key, 9), []byte("one"), roster.Load{}), steering.Forward,
	)
	f.is.Equal(probe.To, address(3))

	// The backend server answers: its agent reports the flow.
	f.is.Equal(len(f.router.Found(f.now, address(3), key)), 0)
	f.is.Equal(f.checkOne(f.router.Packet(f.now, requestHeader(key, 9), []byte("two")), steering.Forward).To, address(3))
}

// TestSearchWaves guards against questions to every agent of a large deployment
// for each flow: the likely agents must be asked first.
func TestSearchWaves(t *testing.T) {
	f := newFixture(t, 60)
	key := client(1)
	holder := f.openFlow(key)

	other := newFixture(t, 60) // another entry instance
	asked := other.askedAgents(key, other.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
	f.is.True(len(asked) <= 16)

	found := false
	for _, agent := range asked {
		found = found || agent == holder
	}

	f.is.True(found)

	for _, agent := range asked[1:] {
		other.answer(agent, flow.Absent)
	}

	f.is.Equal(len(other.askedAgents(key, other.answer(asked[0], flow.Absent))), 60-len(asked))
}

// TestSearchBudget guards against searches that fill the link after the loss of all
// instances, when every client sends packets of a flow that no agent holds to an
// entry instance with a link of 4.4 Mbit/s.
func TestSearchBudget(t *testing.T) {
	const link = 4.4e6 / 8

	f := newFixture(t, 0)
	f.router = steering.New(steering.Config{Boot: start, LinkBytesPerSecond: link})
	f.router.SetTable(table(t, 1, toService("desk")))
	f.router.Apply(f.now, agents(65, roster.Ready), true)
	f.router.Confirm(start)

	const seconds, perSecond = 10, 1000

	bytes := 0

	for i := range seconds * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)

		for _, actions := range [][]steering.Action{
			f.router.Packet(now, requestHeader(client(i%400), 1), []byte("one")), f.router.Tick(now),
		} {
			for _, action := range actions {
				if action.Kind == steering.Locate {
					bytes += 60 + len(action.Question.Keys)*12
				}
			}
		}
	}

	// A fifth of the link, plus a burst of 128 searches.
	f.is.True(bytes > 0)
	f.is.True(bytes <= seconds*link/5+128*65*14)
}

// TestReplacedAgent guards against packets that are sent to an agent that no
// longer exists while another one holds the flow.
func TestReplacedAgent(t *testing.T) {
	f := newFixture(t, 3)
	key := client(1)
	holder := f.openFlow(key)

	gone := roster.Record{Address: holder, State: roster.Gone}
	f.router.Apply(f.now, []roster.Record{gone}, false)
	f.is.Equal(len(f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))), 2)
}

// TestMissingAgent guards against the reset of open flows when the list comes from
// a controller that has just started and has no report of their agent yet.
func TestMissingAgent(t *testing.T) {
	f := newFixture(t, 3)
	key := client(1)
	holder := f.openFlow(key)

	var others []roster.Record

	for _, record := range agents(3, roster.Ready) {
		if record.Address != holder {
			others = append(others, record)
		}
	}

	f.router.Apply(f.now, others, true)
	f.is.Equal(f.checkOne(f.router.Packet(f.now, requestHeader(key, 1), []byte("one")), steering.Forward).To, holder)

	for number := range 10 {
		f.is.True(f.openFlow(client(2+number)) != holder)
	}

	// An agent that stays absent is removed.
	f.now = f.now.Add(roster.GoneTimeout + time.Second)
	f.router.Tick(f.now)
	f.is.Equal(len(f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))), 2)
}

// TestRandomEvents guards against inconsistent flow tables when agents are added,
// are removed, refuse, answer late or answer incorrectly.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t, 12)

		for step := range 3000 {
			f.now = f.now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			key, agent := client(random.IntN(40)), address(1+random.IntN(14))

			switch random.IntN(9) {
			case 0:
				f.router.Packet(f.now, openHeader(key), []byte("open"))
			case 1, 2:
				f.router.Packet(f.now, requestHeader(key, 1), []byte("one"))
			case 3:
				f.router.Accepted(f.now, agent, key, roster.Load{})
			case 4:
				f.router.Returned(f.now, agent, openHeader(key), []byte("open"), roster.Load{})
			case 5:
				f.router.Returned(f.now, agent, requestHeader(key, 1), []byte("one"), roster.Load{})
			case 6:
				answers := make([]flow.Answer, 1+random.IntN(3))
				for i := range answers {
					answers[i] = flow.Answer(1 + random.IntN(3))
				}

				f.router.Located(f.now, agent, random.Uint32N(500), answers)
				f.router.Found(f.now, agent, client(random.IntN(400)))
			case 7:
				f.router.Apply(f.now, agents(1+random.IntN(12), roster.State(1+random.IntN(5))), random.IntN(3) == 0)
				f.router.Confirm(f.now)
			default:
				f.router.Tick(f.now)
			}

			if step%500 == 499 {
				f.router.SetTable(table(t, uint64(2+step), toService([]string{"desk", "link"}[random.IntN(2)])))
			}
		}

		// Every pending flow must be decided in bounded time.
		for range 200 {
			f.now = f.now.Add(100 * time.Millisecond)
			f.router.Tick(f.now)
		}

		_, waiting := f.router.Due()
		f.is.True(!waiting)
	}
}
