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

const lookups = 200_000

// tables measures routing tables, with as many services as the agents need.
var tables = probe{
	name: "routing tables", per: "agent", sizes: agentSizes,
	labels: []label{
		{TableMemory, "live memory of a routing table", unitBytes},
		{TableBuild, "building a table", unitSeconds},
		{TableRebuild, "next table after a change of one agent", unitSeconds},
		{TableOwner, "look-up of the owner of a bucket", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		whole := view.New(contentsOf(size))
		changed := applied(whole, marshal(reweighted(whole)))
		services := uint64(len(whole.Services()))

		var table *routing.Table

		memory := memoryOf(func() *routing.Table {
			table = routing.New(whole)

			return table
		})
		random := rand.New(rand.NewPCG(1, 1))

		return []float64{
			memory,
			seconds(func() { routing.New(whole) }),
			seconds(func() { table.Next(changed) }),
			seconds(func() {
				for range lookups {
					hash := random.Uint64()
					table.Owner(view.ServiceID(hash%services+1), hash)
				}
			}) / lookups,
		}, nil
	},
}

// limiters measures all that a balancer keeps beside the view: table, keys and
// the limiters of each service and its sources.
var limiters = probe{
	name: "forwarding state", per: "service", sizes: []int{838, 1675, 3350, targetServices},
	labels: []label{
		{EngineMemory, "live memory of table, keys and limits", unitBytes},
		{EngineApply, "balancer: delta of one agent, new view, new table", unitSeconds},
		{AgentApply, "agent: the same", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		whole := view.New(contentsOf(size * targetAgents / targetServices))
		memory := memoryOf(func() *forward.Balancer { return engineOf(whole) })
		engine := engineOf(whole)

		current := whole
		apply := seconds(func() {
			current = applied(current, marshal(reweighted(current)))
			if err := engine.Apply(current); err != nil {
				panic(err) // the positions rise and the keys are valid
			}
		})

		agent := forward.NewAgent(whole.Agents()[0].Incarnation, whole.Agents()[0].Service)
		current = whole
		applyAgent := seconds(func() {
			current = applied(current, marshal(reweighted(current)))
			if err := agent.Apply(current); err != nil {
				panic(err) // as above
			}
		})

		return []float64{memory, apply, applyAgent}, nil
	},
}

// engineOf returns a balancer's state with a view of this package in force.
func engineOf(current *view.View) *forward.Balancer {
	engine := forward.NewBalancer(1, 1)
	if err := engine.Apply(current); err != nil {
		panic(err)
	}

	return engine
}
