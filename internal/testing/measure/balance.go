package measure

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/coordination/routing"
	"jayspindle/internal/state/view"
)

// FlowMethod selects how new flows are spread over agents.
type FlowMethod int

// The methods of spreading flows.
const (
	FlowsByTable         FlowMethod = iota // in use: rendezvous hashing with a limit
	FlowsByRendezvous                      // weighted rendezvous hashing of each flow without a limit
	FlowsAtRandom                          // independently of everything
	FlowsByLeastReported                   // to the agent that reported the fewest flows
)

// FlowBalanceConfig describes flows that come and go at the agents of one
// service. Each agent reports its number of flows at an interval; the first
// one always reports none.
type FlowBalanceConfig struct {
	Seed          uint64
	Agents        int
	FlowsPerAgent int // open at a time, mean
	Method        FlowMethod
}

const (
	flowLifetime    = time.Minute // mean, exponentially distributed
	balanceDuration = 4 * time.Minute
	balanceWarmUp   = 2 * time.Minute
	balanceSample   = 5 * time.Second
)

// balanceRun is the state of a run.
type balanceRun struct {
	*simulation
	config   FlowBalanceConfig
	random   *rand.Rand
	table    *routing.Table
	members  []view.Agent
	open     []float64 // flows of each agent
	reported []float64
	worst    float64
}

// FlowBalance returns the highest imbalance seen in samples of open flows: the
// flows of the busiest agent divided by the mean.
func FlowBalance(config FlowBalanceConfig) float64 {
	r := &balanceRun{
		simulation: newSimulation(balanceDuration), config: config, random: rand.New(rand.NewPCG(config.Seed, 5)),
		open: make([]float64, config.Agents), reported: make([]float64, config.Agents),
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

	rate := float64(config.Agents*config.FlowsPerAgent) / flowLifetime.Seconds()
	r.arrivals(r.random, epoch, rate, r.arrive)
	r.report(epoch)
	r.at(epoch.Add(balanceWarmUp), r.sample)
	r.run()

	return r.worst
}

// defaultBuckets is the number of buckets of a service that states none.
const defaultBuckets = 1024

func (r *balanceRun) arrive(now time.Time) {
	agent := r.pick()
	r.open[agent]++
	r.at(now.Add(seconds(r.random.ExpFloat64()*flowLifetime.Seconds())), func(time.Time) { r.open[agent]-- })
}

func (r *balanceRun) pick() int {
	hash := r.random.Uint64()

	switch r.config.Method {
	case FlowsByTable:
		owner, _ := r.table.Owner(1, hash)

		return int(owner - r.members[0].Incarnation)
	case FlowsByRendezvous:
		return highestRandomWeight(hash%defaultBuckets, r.members)
	case FlowsByLeastReported:
		return slices.Index(r.reported, slices.Min(r.reported))
	case FlowsAtRandom:
	}

	return int(hash % uint64(len(r.open)))
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

// report sends the numbers of flows of all agents, which are in use until the
// next reports.
func (r *balanceRun) report(now time.Time) {
	copy(r.reported, r.open)
	r.reported[0] = 0
	r.at(now.Add(reportInterval), r.report)
}

func (r *balanceRun) sample(now time.Time) {
	r.worst = max(r.worst, busiestOverMean(r.open))
	r.at(now.Add(balanceSample), r.sample)
}
