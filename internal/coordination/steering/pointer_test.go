package steering_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

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
	after.router.Confirm(after.now, after.now)

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
