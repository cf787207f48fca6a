package capacity

import (
	"context"
	"math/rand/v2"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/coordination/routing"
	"jayspindle/internal/state/view"
)

// The figures of routing tables and of a balancer's state.
const (
	TableMemory  ID = "table memory"
	TableBuild   ID = "table build"
	TableRebuild ID = "table rebuild"
	TableOwner   ID = "table owner"

	EngineMemory ID = "engine memory"
	EngineApply  ID = "engine apply"
	AgentApply   ID = "agent apply"
)

const lookupsPerRun = 200_000

// tables measures routing tables. The number of services is in proportion to the
// number of agents.
var tables = probe{
	name: "routing tables", per: "agent", sizes: agentSizes,
	labels: []label{
		{TableMemory, "live memory of a routing table", unitBytes},
		{TableBuild, "building a table", unitSeconds},
		{TableRebuild, "next table after a change of one agent", unitSeconds},
		{TableOwner, "look-up of the owner of a bucket", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		full := view.New(makeContents(size))
		changed := mustApply(full, mustMarshal(reweightDelta(full)))
		services := uint64(len(full.Services()))

		var table *routing.Table

		memory := retainedMemory(func() *routing.Table {
			table = routing.New(full)

			return table
		})
		random := rand.New(rand.NewPCG(1, 1))

		return []float64{
			memory,
			secondsPerRun(func() { routing.New(full) }),
			secondsPerRun(func() { table.Next(changed) }),
			secondsPerRun(func() {
				for range lookupsPerRun {
					hash := random.Uint64()
					table.Owner(view.ServiceID(hash%services+1), hash)
				}
			}) / lookupsPerRun,
		}, nil
	},
}

// forwardingState measures what a balancer keeps besides the view: the routing
// table, the keys and the rate limiters of each service and its sources.
var forwardingState = probe{
	name: "forwarding state", per: "service", sizes: []int{838, 1675, 3350, targetServices},
	labels: []label{
		{EngineMemory, "live memory of table, keys and limits", unitBytes},
		{EngineApply, "balancer: delta of one agent, new view, new table", unitSeconds},
		{AgentApply, "agent: the same", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		full := view.New(makeContents(size * targetAgents / targetServices))
		memory := retainedMemory(func() *forward.Balancer { return newBalancer(full) })
		balancer := newBalancer(full)

		current := full
		apply := secondsPerRun(func() {
			current = mustApply(current, mustMarshal(reweightDelta(current)))
			if err := balancer.Apply(current); err != nil {
				panic(err) // the positions rise and the keys are valid
			}
		})

		agent := forward.NewAgent(full.Agents()[0].Incarnation, full.Agents()[0].Service)
		current = full
		applyAgent := secondsPerRun(func() {
			current = mustApply(current, mustMarshal(reweightDelta(current)))
			if err := agent.Apply(current); err != nil {
				panic(err) // see above
			}
		})

		return []float64{memory, apply, applyAgent}, nil
	},
}

// newBalancer returns a balancer that has applied a view of this package.
func newBalancer(current *view.View) *forward.Balancer {
	balancer := forward.NewBalancer(1, 1)
	if err := balancer.Apply(current); err != nil {
		panic(err)
	}

	return balancer
}
