package steering_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
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

// churn replays a deployment in which a share of the agents is replaced while the
// entry instances restart: each flow was opened by one that had the earlier list, and
// another one with the current list gets its next packet. Pointers are those that the
// first one has left with the agents, if any.
func churn(
	t *testing.T, count int, replaced float64, pointers bool,
) (found, flows int, counters steering.Counters) {
	t.Helper()

	const flowCount = 400

	before, after := newFixture(t, count), newFixture(t, 0)
	changed := int(replaced * float64(count))

	records := agents(count+changed, roster.Ready)[changed:] // the first ones have left
	after.router = steering.New(steering.Config{Boot: start, LinkBytesPerSecond: 1e9})
	after.router.SetTable(table(t, 1, toService("desk")))
	after.router.Apply(after.now, records, true)
	after.router.Confirm(after.now)

	holders := make(map[flow.Key]flow.Endpoint)
	pointed := make(map[flow.Key]steering.Action)

	for number := range flowCount {
		holders[client(number)] = before.openFlow(client(number))
	}

	if pointers {
		before.router.Apply(before.now, records, true)

		for range 4 {
			before.now = before.now.Add(time.Second)
			for _, action := range before.router.Tick(before.now) {
				pointed[action.Key] = action
			}
		}
	}

	for key, holder := range holders {
		if number := int(holder.IP[2])<<8 | int(holder.IP[3]); number <= changed {
			continue // left with its backend server
		}

		flows++

		after.router.Packet(after.now, requestHeader(key, 1), []byte("one"))

		for range 3 { // the first agent, the candidates and the next ranks
			due, waiting := after.router.Due()
			if !waiting {
				break
			}

			after.now = due

			for _, action := range after.router.Tick(after.now) {
				answer := flow.Absent
				if action.To == holder {
					answer = flow.Held
				}

				if pointer, ok := pointed[key]; ok && pointer.To == action.To {
					found += countForwards(after.router.Pointed(after.now, key, pointer.Holder), holder)
				}

				found += countForwards(
					after.router.Located(after.now, action.To, action.Question.ID, []flow.Answer{answer}), holder)
			}
		}

		after.now = after.now.Add(2 * time.Second)
		after.router.Tick(after.now)
	}

	return found, flows, after.router.Counters()
}

func countForwards(actions []steering.Action, to flow.Endpoint) int {
	count := 0

	for _, action := range actions {
		if action.Kind == steering.Forward && action.To == to {
			count++
		}
	}

	return count
}

// TestSearchGrowth guards against searches that cost more the more agents there are,
// as they did when all agents were asked for each flow that was not at one of the
// first candidates: at 204 agents of which 30% were replaced, searches took more than
// the bandwidth of an entry instance.
func TestSearchGrowth(t *testing.T) {
	for name, c := range map[string]struct {
		pointers bool
		limit    float64 // questions for each flow that was found
	}{
		"with pointers": {true, 2}, "after the loss of all pointers": {false, 24},
	} {
		for _, count := range []int{30, 100, 300, 2600} {
			t.Run(name+" of "+strconv.Itoa(count)+" agents", func(t *testing.T) {
				found, flows, counters := churn(t, count, 0.3, c.pointers)
				is := is.New(t)
				is.True(flows > 200)
				is.Equal(found, flows)
				is.Equal(counters.OtherQuestions, uint64(0))

				if perFlow := float64(counters.NearQuestions) / float64(flows); perFlow > c.limit {
					t.Errorf("%.1f questions for each flow that was found, at most %.0f are allowed", perFlow, c.limit)
				}
			})
		}
	}
}

// BenchmarkSearch reports the questions for each flow that was found while 30% of the
// agents are replaced.
func BenchmarkSearch(b *testing.B) {
	for _, count := range []int{30, 100, 300, 2600, 26_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for range b.N {
				found, _, counters := churn(&testing.T{}, count, 0.3, true)
				b.ReportMetric(float64(counters.NearQuestions)/float64(found), "questions/flow")
			}
		})
	}
}

// BenchmarkPointers reports the time in which an entry instance checks the pointer of one
// flow after a change of the list of agents.
func BenchmarkPointers(b *testing.B) {
	const flows = 200 // below the limit of one interval

	for _, count := range []int{300, 26_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			f := newFixture(&testing.T{}, count)
			for number := range flows {
				f.openFlow(client(number))
			}

			f.now = f.now.Add(2 * time.Second)
			f.router.Tick(f.now)
			b.ResetTimer()

			for round := range b.N {
				changed := agents(1, roster.Ready)
				changed[0].Boot = uint64(round + 2)
				f.router.Apply(f.now, changed, false)

				f.now = f.now.Add(time.Second)
				f.router.Tick(f.now)
			}

			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*flows), "ns/flow")
		})
	}
}

// TestPointersFollowChanges guards against a pointer that is not left again although
// another agent has become the first one, however many changes the list had.
func TestPointersFollowChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	f := newFixture(t, 40)

	holders := make(map[flow.Key]flow.Endpoint)
	for number := range 100 {
		holders[client(number)] = f.openFlow(client(number))
	}

	pointed := make(map[flow.Key]flow.Endpoint)

	for round := range 120 {
		for range random.IntN(1 + round*5) {
			record := agents(60, roster.Ready)[40+random.IntN(20)]
			if random.IntN(2) == 0 {
				record.State = roster.Gone
			}

			f.router.Apply(f.now, []roster.Record{record}, false)
		}

		f.now = f.now.Add(500 * time.Millisecond)
		for _, action := range f.router.Tick(f.now) {
			pointed[action.Key] = action.To
		}
	}

	// Another entry instance with the same list asks the agents that have the pointers.
	other := newFixture(t, 0)
	f.router.Apply(f.now, agents(50, roster.Ready), true)
	f.router.Apply(f.now, agents(60, roster.Gone)[50:], false)
	other.router.Apply(f.now, agents(50, roster.Ready), true)

	f.now = f.now.Add(time.Second)
	for _, action := range f.router.Tick(f.now) {
		pointed[action.Key] = action.To
	}

	for key, holder := range holders {
		asked := other.askedAgents(key, other.router.Packet(other.now, requestHeader(key, 1), []byte("one")))[0]
		f.is.True(asked == pointed[key] || asked == holder)
		other.answer(asked, flow.Held)
	}
}

// TestPointer guards against a flow that is not found because the service has grown
// many times over since it was opened, or because its route now leads to another
// service, and against a pointer that is followed again after the agent has denied the
// flow.
func TestPointer(t *testing.T) {
	f := newFixture(t, 3)
	key := client(1)
	holder := f.openFlow(key)

	f.router.Apply(f.now, agents(600, roster.Ready), true)
	f.now = f.now.Add(2 * time.Second)

	point := f.checkOne(f.router.Tick(f.now), steering.Point)
	f.is.Equal(point.Holder, holder)

	f.now = f.now.Add(2 * time.Second)
	f.is.Equal(len(f.router.Tick(f.now)), 0) // it is placed once

	other := newFixture(t, 600)
	asked := other.askedAgents(key, other.router.Packet(other.now, requestHeader(key, 1), []byte("one")))
	f.is.Equal(asked, []flow.Endpoint{point.To})
	f.is.Equal(other.checkOne(other.router.Pointed(other.now, key, holder), steering.Forward).To, holder)

	returned := other.router.Returned(other.now, holder, requestHeader(key, 1), []byte("one"), roster.Load{})
	f.is.Equal(other.askedAgents(key, returned), []flow.Endpoint{point.To})
	f.is.Equal(len(other.router.Pointed(other.now, key, holder)), 0)

	// Another document sends new flows to another service; this one stays.
	other = newFixture(t, 600)
	other.router.SetTable(table(t, 2, toService("link")))
	asked = other.askedAgents(key, other.router.Packet(other.now, requestHeader(key, 1), []byte("one")))
	f.is.Equal(asked, []flow.Endpoint{point.To})
	f.is.Equal(other.checkOne(other.router.Pointed(other.now, key, holder), steering.Forward).To, holder)

	// The agent that kept the pointer has restarted.
	restarted := agents(600, roster.Ready)
	for i := range restarted {
		if restarted[i].Address == point.To {
			restarted[i].Boot = 2
		}
	}

	f.router.Apply(f.now, restarted, false)
	f.now = f.now.Add(2 * time.Second)
	f.is.Equal(f.checkOne(f.router.Tick(f.now), steering.Point).To, point.To)
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
	f.router.Confirm(f.now)

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

	f.router.Confirm(f.now)
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

// TestSearchWaits guards against packets that are dropped because many flows moved to
// an entry instance at once, so that their clients wait for a retransmission.
func TestSearchWaits(t *testing.T) {
	const flows = 200

	f := newFixture(t, 0)
	f.router = steering.New(steering.Config{Boot: start, LinkBytesPerSecond: 2e6 / 8})
	f.router.SetTable(table(t, 1, toService("desk")))
	f.router.Apply(f.now, agents(204, roster.Ready), true)
	f.router.Confirm(start)

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
