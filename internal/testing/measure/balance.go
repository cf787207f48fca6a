package measure

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/coordination/routing"
	"jayspindle/internal/state/view"
)

// FlowMethod selects how new flows are distributed over agents.
type FlowMethod int

// The methods of distributing flows.
const (
	FlowsByTable         FlowMethod = iota // production method: rendezvous hashing with a limit
	FlowsByRendezvous                      // weighted rendezvous hashing of each flow, without a limit
	FlowsAtRandom                          // uniformly at random
	FlowsByLeastReported                   // to the agent that reported the fewest flows
)

// FlowBalanceConfig describes flows that open and end at the agents of one
// service. Each agent reports its number of flows periodically; the first agent
// always reports 0, whatever its load.
type FlowBalanceConfig struct {
	Seed          uint64
	Agents        int
	FlowsPerAgent int // mean number of open flows
	Method        FlowMethod
}

const (
	meanFlowLifetime      = time.Minute // exponentially distributed
	balanceDuration       = 4 * time.Minute
	balanceWarmUp         = 2 * time.Minute
	balanceSampleInterval = 5 * time.Second
)

// balanceRun is the state of a FlowBalance run.
type balanceRun struct {
	*simulation
	config        FlowBalanceConfig
	random        *rand.Rand
	table         *routing.Table
	members       []view.Agent
	openFlows     []float64 // per agent
	reportedFlows []float64 // per agent, from the last report
	maxImbalance  float64
}

// FlowBalance samples the open flows and returns the highest imbalance: the
// flows of the busiest agent divided by the mean.
func FlowBalance(config FlowBalanceConfig) float64 {
	r := &balanceRun{
		simulation: newSimulation(balanceDuration), config: config, random: rand.New(rand.NewPCG(config.Seed, 5)),
		openFlows: make([]float64, config.Agents), reportedFlows: make([]float64, config.Agents),
	}

	for i := range config.Agents {
		address := netip.AddrFrom4([4]byte{10, 2, byte(config.Seed), byte(i)})
		r.members = append(r.members, view.Agent{
			Incarnation: view.Incarnation(config.Seed*1000 + uint64(i)), Service: 1,
			Data: netip.AddrPortFrom(address, 7000), Weight: view.MaxWeight, State: view.Active,
		})
	}

	r.table = routing.New(view.New(view.Contents{
		Position: view.Position{Index: 1}, Services: []view.Service{{ID: 1, Buckets: defaultBuckets}}, Agents: r.members,
	}))

	rate := float64(config.Agents*config.FlowsPerAgent) / meanFlowLifetime.Seconds()
	r.scheduleArrivals(r.random, epoch, rate, r.openFlow)
	r.report(epoch)
	r.schedule(epoch.Add(balanceWarmUp), r.sample)
	r.run()

	return r.maxImbalance
}

// defaultBuckets is the number of buckets of a service that configures none.
const defaultBuckets = 1024

func (r *balanceRun) openFlow(now time.Time) {
	agent := r.pickAgent()
	r.openFlows[agent]++
	r.schedule(now.Add(seconds(r.random.ExpFloat64()*meanFlowLifetime.Seconds())), func(time.Time) {
		r.openFlows[agent]--
	})
}

func (r *balanceRun) pickAgent() int {
	hash := r.random.Uint64()

	switch r.config.Method {
	case FlowsByTable:
		owner, _ := r.table.Owner(1, hash)

		return int(owner - r.members[0].Incarnation)
	case FlowsByRendezvous:
		return highestRandomWeight(hash%defaultBuckets, r.members)
	case FlowsByLeastReported:
		return slices.Index(r.reportedFlows, slices.Min(r.reportedFlows))
	case FlowsAtRandom:
	}

	return int(hash % uint64(len(r.openFlows)))
}

// highestRandomWeight returns the index of the agent with the highest score
// for a bucket (Thaler and Ravishankar, 1998).
func highestRandomWeight(bucket uint64, members []view.Agent) int {
	best, highest := 0, uint64(0)

	for i, member := range members {
		score := rand.New(rand.NewPCG(bucket, uint64(member.Incarnation))).Uint64()
		if score > highest {
			best, highest = i, score
		}
	}

	return best
}

// report publishes the number of flows of every agent. FlowsByLeastReported
// uses these numbers until the next report.
func (r *balanceRun) report(now time.Time) {
	copy(r.reportedFlows, r.openFlows)
	r.reportedFlows[0] = 0
	r.schedule(now.Add(reportInterval), r.report)
}

func (r *balanceRun) sample(now time.Time) {
	r.maxImbalance = max(r.maxImbalance, busiestOverMean(r.openFlows))
	r.schedule(now.Add(balanceSampleInterval), r.sample)
}
