package routing_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/routing"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
)

const buckets = 1024

// newView returns a view with services 1 to n and agents assigned to them in turn.
func newView(services, agents int, change func([]view.Agent)) *view.View {
	contents := view.Contents{Agents: make([]view.Agent, agents)}
	for i := range services {
		contents.Services = append(contents.Services, view.Service{ID: view.ServiceID(i + 1), Buckets: buckets})
	}

	for i := range contents.Agents {
		contents.Agents[i] = view.Agent{
			Incarnation: view.Incarnation(i + 1), Service: view.ServiceID(i%services + 1), Weight: view.MaxWeight,
			State: view.Active, Data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7),
		}
	}

	if change != nil {
		change(contents.Agents)
	}

	return view.New(contents)
}

// bucketsByOwner counts the buckets of each agent of service 1.
func bucketsByOwner(t *testing.T, table *routing.Table) map[view.Incarnation]int {
	t.Helper()

	count := map[view.Incarnation]int{}

	for hash := range uint64(buckets) {
		owner, ok := table.Owner(1, hash)
		is.New(t).True(ok)

		count[owner]++
	}

	return count
}

// movedBuckets counts the buckets of service 1 whose owner differs, except those
// that the given agent owned or owns.
func movedBuckets(t *testing.T, a, b *routing.Table, changed view.Incarnation) int {
	t.Helper()

	n := 0

	for hash := range uint64(buckets) {
		before, _ := a.Owner(1, hash)
		after, _ := b.Owner(1, hash)

		if before != after && before != changed && after != changed {
			n++
		}
	}

	return n
}

// Guards against agents that get more new flows than their weight allows.
func TestImbalance(t *testing.T) {
	soak.Run(t, 20, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		total := 0
		weights := map[view.Incarnation]int{}

		table := routing.New(newView(1, 2+random.IntN(20), func(agents []view.Agent) {
			for i := range agents {
				agents[i].Weight = uint8(1 + random.IntN(view.MaxWeight))
				weights[agents[i].Incarnation] = int(agents[i].Weight)
				total += int(agents[i].Weight)
			}
		}))

		for incarnation, count := range bucketsByOwner(t, table) {
			is.New(t).True(float64(count) <= 1.05*buckets*float64(weights[incarnation])/float64(total)+1)
		}
	})
}

// Guards against new flows for agents that drain or have weight 0, and against
// an owner for a service without eligible agents.
func TestEligible(t *testing.T) {
	table := routing.New(newView(2, 8, func(agents []view.Agent) {
		agents[0].State = view.Draining // indexes 0, 2, 4 and 6 belong to service 1
		agents[2].Weight = 0

		for i := 1; i < len(agents); i += 2 {
			agents[i].Weight = 0
		}
	}))

	count := bucketsByOwner(t, table)
	is.New(t).Equal(len(count), 2)
	is.New(t).Equal(count[5]+count[7], buckets)
	is.New(t).Equal(table.EligibleCount(1), 2)

	for _, service := range []view.ServiceID{0, 2, 3} {
		_, ok := table.Owner(service, 5)
		is.New(t).Equal(ok, false)

		_, ok = table.AgentAtRank(service, 5, 0)
		is.New(t).Equal(ok, false)
	}
}

// Guards against tables that move most buckets when one agent changes, which
// would split the Initial packets of many new flows between agents.
func TestDisruption(t *testing.T) {
	before := routing.New(newView(1, 10, nil))
	removed := routing.New(newView(1, 10, func(agents []view.Agent) { agents[4].Service = 2 }))
	halved := routing.New(newView(1, 10, func(agents []view.Agent) { agents[4].Weight = 50 }))

	is.New(t).True(movedBuckets(t, before, removed, 5) < buckets/20)
	is.New(t).True(movedBuckets(t, before, halved, 5) < buckets/20)
}

// Guards against ranks that return an agent twice or leave one out, so that the
// agent tried after a refusal is the one that refused.
func TestRanked(t *testing.T) {
	table := routing.New(newView(1, 9, nil))

	for hash := range uint64(buckets) {
		seen := map[view.Incarnation]bool{}

		for rank := range table.EligibleCount(1) {
			agent, ok := table.AgentAtRank(1, hash, rank)
			is.New(t).True(ok)

			seen[agent] = true
		}

		owner, _ := table.Owner(1, hash)
		first, _ := table.AgentAtRank(1, hash, 0)

		is.New(t).Equal(owner, first)
		is.New(t).Equal(len(seen), 9)
	}
}

// Guards against an incremental table that differs from a full one, and
// against one that computes more than the changed services.
func TestNext(t *testing.T) {
	soak.Run(t, 20, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		position := random.IntN(40)
		table := routing.New(newView(10, 40, nil))

		changed := newView(10, 40, func(agents []view.Agent) {
			agents[position].Weight = uint8(random.IntN(view.MaxWeight))
			agents[position].Data = netip.AddrPort{} // an address alone moves no bucket
			agents[(position+1)%40].Data = netip.AddrPort{}
		})

		next, full := table.Next(changed), routing.New(changed)
		is.New(t).Equal(next.Rebuilt(), 1)
		is.New(t).Equal(full.Rebuilt(), 10)

		for service := range view.ServiceID(11) {
			for hash := range uint64(buckets) {
				a, _ := next.Owner(service, hash)
				b, _ := full.Owner(service, hash)
				is.New(t).Equal(a, b)
			}
		}
	})
}

// Guards against an index that misses an agent or returns another one.
func TestAgent(t *testing.T) {
	for _, agents := range []int{0, 1, 11, 1000} {
		current := newView(3, agents, nil)
		table := routing.New(current)

		for incarnation := range view.Incarnation(agents + 100) {
			want, known := current.Agent(incarnation)
			service, address, ok := table.Agent(incarnation)

			is.New(t).Equal(ok, known)
			is.New(t).Equal(service, want.Service)
			is.New(t).Equal(address, want.Data)
		}
	}
}

var sizes = []struct{ services, agents int }{{7, 27}, {419, 1625}, {1675, 6500}, {3350, 13000}, {6700, 26000}}

// BenchmarkBuild measures a full build. The allocated bytes are the memory of the
// table, plus temporary memory of one service.
func BenchmarkBuild(b *testing.B) {
	for _, size := range sizes {
		current := newView(size.services, size.agents, nil)

		b.Run(fmt.Sprintf("%d-services-%d-agents", size.services, size.agents), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				routing.New(current)
			}
		})
	}
}

func BenchmarkRebuild(b *testing.B) {
	for _, size := range sizes {
		table := routing.New(newView(size.services, size.agents, nil))
		next := newView(size.services, size.agents, func(agents []view.Agent) { agents[5].Weight = 50 })

		b.Run(fmt.Sprintf("%d-services-%d-agents", size.services, size.agents), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				table.Next(next)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, size := range sizes {
		table := routing.New(newView(size.services, size.agents, nil))
		random := rand.New(rand.NewPCG(1, 0))

		b.Run(fmt.Sprintf("%d-services-%d-agents", size.services, size.agents), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				hash := random.Uint64()
				table.Owner(view.ServiceID(1+hash>>32%uint64(size.services)), hash)
			}
		})
	}
}

// BenchmarkAgent measures the lookup for a packet of an established flow.
func BenchmarkAgent(b *testing.B) {
	for _, size := range sizes {
		table := routing.New(newView(size.services, size.agents, nil))
		random := rand.New(rand.NewPCG(1, 0))

		b.Run(fmt.Sprintf("%d-services-%d-agents", size.services, size.agents), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				table.Agent(view.Incarnation(1 + random.Uint64()%uint64(size.agents)))
			}
		})
	}
}

func BenchmarkHash(b *testing.B) {
	dcid := make([]byte, 17)

	b.ReportAllocs()

	for b.Loop() {
		routing.Hash(dcid)
	}
}
