package steering_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

// TestSearchFinds guards against flows that are lost when another entry
// instance gets their packets.
func TestSearchFinds(t *testing.T) {
	f := newFixture(t, 5)
	key := client(1)
	_, asked := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
	f.is.Equal(len(asked), 4)
	f.is.Equal(len(f.router.Packet(f.now, requestHeader(key, 1), []byte("two"))), 0)
	f.is.Equal(len(f.answer(asked[0], flow.Absent)), 0)

	actions := f.answer(asked[1], flow.Held)
	f.is.Equal(len(actions), 2)
	f.is.Equal(actions[0].To, asked[1])
	f.is.Equal(string(actions[0].Packet)+string(actions[1].Packet), "onetwo")
	f.is.Equal(f.checkOne(f.router.Packet(f.now, requestHeader(key, 1), []byte("three")), steering.Forward).To, asked[1])
}

// TestSearchLost guards against clients that wait for a flow that no agent holds,
// and against a search for each of their retransmissions.
func TestSearchLost(t *testing.T) {
	f := newFixture(t, 2)
	key := client(1)
	_, asked := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 42), []byte("one")))

	reset := f.checkOne(f.answer(asked[0], flow.Absent), steering.Reset)
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
		_, silent := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))

		due, ok := f.router.Due()
		f.is.True(ok)
		f.is.Equal(f.checkOne(f.router.Tick(due), steering.GiveUp).Reason, steering.ReasonSilent)

		// The next retransmission starts a search of the agents that have not denied
		// the flow.
		f.now = due.Add(200 * time.Millisecond)
		asked := f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
		f.is.Equal(asked, silent)
	})

	t.Run("lost instance", func(t *testing.T) {
		f := newFixture(t, 2)
		key := client(1)
		_, silent := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))

		for _, record := range agents(2, roster.Silent) {
			if record.Address == silent[0] {
				f.router.Apply(f.now, []roster.Record{record}, false)
			}
		}

		due, _ := f.router.Due()
		f.checkOne(f.router.Tick(due), steering.Reset)
	})

	// review/14
	t.Run("agent being restarted", func(t *testing.T) {
		f := newFixture(t, 2)
		key := client(1)
		_, silent := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))

		list := roster.New(1)
		for _, record := range agents(2, roster.Ready) {
			record.Away = record.Address == silent[0]
			list.Announce(f.now, record, 1)
		}

		list.Expire(f.now.Add(2 * roster.SilentTimeout))

		records, _ := list.Since(0)
		f.router.Apply(f.now, records, true)

		due, _ := f.router.Due()
		f.is.Equal(f.checkOne(f.router.Tick(due), steering.GiveUp).Reason, steering.ReasonSilent)
	})

	t.Run("old view", func(t *testing.T) {
		f := newFixture(t, 1)
		key := client(1)
		f.now = f.now.Add(10 * time.Second)
		f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
		f.is.Equal(f.checkOne(f.answer(address(1), flow.Absent), steering.GiveUp).Reason, steering.ReasonOutdated)
	})
}

// TestSearchUnsure guards against flows that are lost after agents restart: the
// unsure agents must get the packet one after the other.
func TestSearchUnsure(t *testing.T) {
	f := newFixture(t, 3)
	key := client(1)
	first := f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 9), []byte("one")))[0]
	next := f.askedAgents(key, f.answer(first, flow.Unsure))
	f.answer(next[0], flow.Absent)

	probe := f.checkOne(f.answer(next[1], flow.Unsure), steering.Forward)
	f.is.Equal(probe.To, first)

	probe = f.checkOne(
		f.router.Returned(f.now, first, requestHeader(key, 9), []byte("one"), roster.Load{}), steering.Forward,
	)
	f.is.Equal(probe.To, next[1])

	// The backend server answers: its agent reports the flow.
	f.is.Equal(len(f.router.Found(f.now, next[1], key)), 0)
	f.is.Equal(f.checkOne(f.router.Packet(f.now, requestHeader(key, 9), []byte("two")), steering.Forward).To, next[1])
}

// TestSearchWaves guards against questions to every agent of a large deployment
// for each flow: the likely agents must be asked first.
func TestSearchWaves(t *testing.T) {
	f := newFixture(t, 60)
	key := client(1)
	holder := f.openFlow(key)

	other := newFixture(t, 60) // another entry instance
	first, asked := other.askedAfterFirst(key, other.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
	f.is.True(len(asked) <= 16)
	f.is.True(holder == first || slices.Contains(asked, holder))

	for _, agent := range asked[1:] {
		other.answer(agent, flow.Absent)
	}

	next := other.askedAgents(key, other.answer(asked[0], flow.Absent))
	f.is.True(len(next) > 0 && len(next) <= 24)

	for _, agent := range next[1:] {
		other.answer(agent, flow.Absent)
	}

	f.is.Equal(len(other.askedAgents(key, other.answer(next[0], flow.Absent))), 60-1-len(asked)-len(next))
}

// TestLateAnswer guards against the answer of an agent to a question of an earlier start
// of the entry instance, or of another agent, that is taken for the answer to a new
// question: the flow would go to an agent that does not hold it, or be reset.
func TestLateAnswer(t *testing.T) {
	f := newFixture(t, 2)
	key := client(1)
	first, next := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))

	for _, answer := range []flow.Answer{flow.Held, flow.Absent} {
		f.is.Equal(len(f.router.Located(f.now, first, f.questions[next[0]], []flow.Answer{answer})), 0)
	}

	f.is.Equal(f.checkOne(f.answer(next[0], flow.Held), steering.Forward).To, next[0])

	restarted := steering.New(steering.Config{Boot: start, FirstQuestion: 1 << 30})
	restarted.SetTable(table(t, 1, toService("desk")))
	restarted.Apply(f.now, agents(2, roster.Ready), true)
	restarted.Packet(f.now, requestHeader(key, 1), []byte("one"))

	due, _ := restarted.Due()
	f.is.True(restarted.Tick(due)[0].Question.ID > 1<<30)
}

// TestSuspended guards against an entry instance that acts on an outdated document or list
// of agents after its machine was suspended: its clock stood still, so that they seem to
// have been confirmed just now.
func TestSuspended(t *testing.T) {
	f := newFixture(t, 1)
	suspended := time.Duration(0)
	f.router = steering.New(steering.Config{Boot: start, Suspended: func() time.Duration { return suspended }})
	f.router.SetTable(table(t, 1, toService("desk")))
	f.router.Apply(f.now, agents(1, roster.Ready), true)
	f.router.Confirm(f.now, f.now)

	unrouted := client(1)
	unrouted.Service.Port++
	f.checkOne(f.router.Packet(f.now, openHeader(unrouted), []byte("open")), steering.Reset)

	suspended = 8 * time.Second
	f.is.Equal(len(f.router.Packet(f.now, openHeader(unrouted), []byte("open"))), 0)
	f.is.Equal(len(f.router.Packet(f.now, requestHeader(client(2), 1), []byte("one"))), 0)

	due, _ := f.router.Due()
	asked := f.router.Tick(due)
	actions := f.router.Located(due, asked[0].To, asked[0].Question.ID, []flow.Answer{flow.Absent})
	f.is.Equal(f.checkOne(actions, steering.GiveUp).Reason, steering.ReasonOutdated)

	f.confirmAfterPause()
	f.checkOne(f.router.Packet(f.now, openHeader(unrouted), []byte("open")), steering.Reset)

	// A start on a machine that was suspended before.
	f.router = steering.New(steering.Config{Boot: f.now, Suspended: func() time.Duration { return suspended }})
	f.router.SetTable(table(t, 1, toService("desk")))
	f.is.Equal(len(f.router.Packet(f.now, openHeader(unrouted), []byte("open"))), 0)
}

// TestUnsureAgents guards against packets of an open flow that reach several other
// backend servers because their agents have just started, while the agent that holds
// the flow has not been asked yet.
func TestUnsureAgents(t *testing.T) {
	f := newFixture(t, 60)
	key := client(1)
	first := f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))[0]
	asked := f.askedAgents(key, f.answer(first, flow.Unsure))

	for _, agent := range asked[1:] {
		f.is.Equal(len(f.answer(agent, flow.Unsure)), 0)
	}

	unsure := 1 + len(asked)
	asked = f.askedAgents(key, f.answer(asked[0], flow.Unsure))

	var actions []steering.Action
	for _, agent := range asked {
		actions = f.answer(agent, flow.Absent)
	}

	for range 2 {
		probe := f.checkOne(actions, steering.Forward)
		actions = f.router.Returned(f.now, probe.To, requestHeader(key, 1), []byte("one"), roster.Load{})
	}

	for _, agent := range f.askedAgents(key, actions) {
		actions = f.answer(agent, flow.Absent)
	}

	probes := 2
	for ; len(actions) == 1 && actions[0].Kind == steering.Forward; probes++ {
		actions = f.router.Returned(f.now, actions[0].To, requestHeader(key, 1), []byte("one"), roster.Load{})
	}

	f.is.Equal(probes, unsure) // no other agent holds the flow, so one of them does or it is lost
	f.checkOne(actions, steering.Reset)
}

// probeAll lets all agents be unsure whether they hold a flow, and return its packet until
// the holder gets it. It returns the agents that have got the packet.
func (f *fixture) probeAll(key flow.Key, holder flow.Endpoint) []flow.Endpoint {
	f.Helper()

	var probed []flow.Endpoint

	actions := slices.Clone(f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))

	for range 1000 {
		next := []steering.Action{}

		for _, action := range actions {
			switch action.Kind {
			case steering.Locate:
				next = append(next, f.router.Located(f.now, action.To, action.Question.ID, []flow.Answer{flow.Unsure})...)
			case steering.Forward:
				probed = append(probed, action.To)
				if action.To == holder {
					return probed
				}

				next = append(next,
					f.router.Returned(f.now, action.To, requestHeader(key, 1), []byte("one"), roster.Load{})...)
			case steering.GiveUp, steering.Reset, steering.Point:
				return probed
			}
		}

		if len(next) == 0 {
			due, waiting := f.router.Due()
			if !waiting {
				return probed
			}

			f.now = due
			next = f.router.Tick(due)
		}

		actions = slices.Clone(next)
	}

	return probed
}

// TestRestartOfAll guards against packets of an open flow that reach many other backend
// servers and not its own, because after a restart of all processes every agent is unsure.
func TestRestartOfAll(t *testing.T) {
	const count = 30 // agents of the service

	// restart returns a new router with agents of two services.
	restart := func(t *testing.T) *fixture {
		t.Helper()

		f := newFixture(t, count)
		others := agents(2*count, roster.Ready)[count:]

		for i := range others {
			others[i].Service = "link"
		}

		f.router.Apply(f.now, others, false)

		return f
	}

	var service []flow.Endpoint
	for _, record := range agents(count, roster.Ready) {
		service = append(service, record.Address)
	}

	t.Run("candidates for a new flow", func(t *testing.T) {
		for number := range 50 {
			holder := newFixture(t, count).openFlow(client(number))
			probed := restart(t).probeAll(client(number), holder)
			is.New(t).Equal(probed[len(probed)-1], holder)
			is.New(t).True(len(probed) <= 8)
		}
	})

	t.Run("all agents of the service", func(t *testing.T) {
		for number := range 50 {
			probed := restart(t).probeAll(client(number), flow.Endpoint{})
			is.New(t).True(len(probed) >= count)

			for _, agent := range probed[:count] {
				is.New(t).True(slices.Contains(service, agent))
			}
		}
	})
}

// TestSearchWaits guards against packets that are dropped because many flows moved to
// an entry instance at once, so that their clients wait for a retransmission.
func TestSearchWaits(t *testing.T) {
	const flows = 200

	f := newFixture(t, 0)
	f.router = steering.New(steering.Config{Boot: start, LinkBytesPerSecond: 2e6 / 8})
	f.router.SetTable(table(t, 1, toService("desk")))
	f.router.Apply(f.now, agents(204, roster.Ready), true)
	f.router.Confirm(start, start)

	for number := range flows {
		f.router.Packet(start.Add(time.Duration(number)*time.Millisecond), requestHeader(client(number), 1), []byte("one"))
	}

	asked := make(map[flow.Key]bool)

	for now := start; now.Before(start.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
		for _, action := range f.router.Tick(now) {
			for _, key := range action.Question.Keys {
				asked[key] = true
			}
		}
	}

	f.is.Equal(f.router.Counters().Dropped, uint64(0))
	f.is.True(len(asked) > flows/4) // within a second, at a tenth of the link
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
	f.router.Confirm(start, start)

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

	_, next := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
	f.is.Equal(len(next), 1) // the other two
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

	_, next := f.askedAfterFirst(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
	f.is.Equal(len(next), 1) // the other two
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
				f.router.Confirm(f.now, f.now)
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
