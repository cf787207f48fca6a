package measure_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"jayspindle/internal/coordination/placement"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/measure"
)

// naive is a baseline placer. choose returns the index of a sibling.
type naive struct {
	random   *rand.Rand
	siblings []view.Incarnation
	inFlight []int
	reported []float64
	turn     int
	choose   func(n *naive) int
}

func newNaive(choose func(n *naive) int) func(seed uint64) measure.Placer {
	return func(seed uint64) measure.Placer {
		return &naive{random: rand.New(rand.NewPCG(seed, 0)), choose: choose}
	}
}

func (n *naive) Update(_ time.Time, agents []view.Agent) {
	n.siblings = nil
	for _, agent := range agents {
		n.siblings = append(n.siblings, agent.Incarnation)
	}

	n.inFlight = make([]int, len(agents))
	n.reported = make([]float64, len(agents))
	n.turn = n.random.IntN(len(agents))
}

func (n *naive) Pick(time.Time, ...view.Incarnation) (view.Incarnation, bool) {
	i := n.choose(n)
	n.inFlight[i]++

	return n.siblings[i], true
}

func (n *naive) Observe(_ time.Time, incarnation view.Incarnation, _ placement.Outcome) {
	n.inFlight[slices.Index(n.siblings, incarnation)]--
}

func (n *naive) Report(_ time.Time, incarnation view.Incarnation, load float64) {
	n.reported[slices.Index(n.siblings, incarnation)] = load
}

func atRandom(n *naive) int { return n.random.IntN(len(n.siblings)) }

func roundRobin(n *naive) int {
	n.turn = (n.turn + 1) % len(n.siblings)

	return n.turn
}

func leastReported(n *naive) int { return slices.Index(n.reported, slices.Min(n.reported)) }

func twoChoices(n *naive) int {
	a, b := atRandom(n), atRandom(n)
	if n.inFlight[b] < n.inFlight[a] {
		return b
	}

	return a
}

func newPicker(seed uint64) measure.Placer { return placement.New(placement.DefaultPolicy(), seed) }

// placers are the policies that the imbalance benchmark compares.
var placers = []struct {
	name string
	make func(seed uint64) measure.Placer
}{
	{name: "random", make: newNaive(atRandom)},
	{name: "round-robin", make: newNaive(roundRobin)},
	{name: "least-reported", make: newNaive(leastReported)},
	{name: "two-choices", make: newNaive(twoChoices)},
	{name: "picker", make: newPicker},
}

var imbalances = []struct {
	name     string
	scenario measure.Imbalance
}{
	{name: "equal", scenario: uneven(7, 0.6)},
	{name: "three", scenario: uneven(3, 0.6)},
	{name: "hundreds", scenario: uneven(200, 0.6)},
	{name: "busy", scenario: uneven(7, 0.9)},
	{name: "unequal-speed", scenario: withSpeeds(uneven(7, 0.7), 1, 1, 0.5)},
	{name: "failing", scenario: failing(uneven(7, 0.6), false)},
	{name: "hung", scenario: failing(uneven(7, 0.6), true)},
}

func uneven(agents int, utilization float64) measure.Imbalance {
	return measure.Imbalance{
		Agents: agents, Slots: 3, Duration: time.Minute, Utilization: utilization, Mean: 50 * time.Millisecond,
		Sigma: 1, Connections: 4 * agents, Misleading: true,
	}
}

func withSpeeds(scenario measure.Imbalance, speeds ...float64) measure.Imbalance {
	scenario.Speeds = speeds

	return scenario
}

func failing(scenario measure.Imbalance, hung bool) measure.Imbalance {
	scenario.Failing = 1
	scenario.Hung = hung

	return scenario
}

// BenchmarkImbalance reports imbalance and completion times per scenario and
// policy. Figures are medians over the seeds 1 to b.N.
func BenchmarkImbalance(b *testing.B) {
	for _, c := range imbalances {
		for _, policy := range placers {
			b.Run(c.name+"/"+policy.name, func(b *testing.B) {
				var imbalance, ingress, mean, p99, failed, peak []float64

				for seed := range b.N {
					result := measure.Unbalanced(c.scenario, policy.make, uint64(seed+1))
					imbalance = append(imbalance, result.Imbalance)
					ingress = append(ingress, result.Ingress)
					mean = append(mean, result.Mean.Seconds()*1000)
					p99 = append(p99, result.P99.Seconds()*1000)
					failed = append(failed, result.Failed)
					peak = append(peak, result.Peak)
				}

				report(b, "ingress", ingress)
				report(b, "imbalance", imbalance)
				report(b, "mean-ms", mean)
				report(b, "p99-ms", p99)
				report(b, "failed", failed)
				report(b, "peak", peak)
			})
		}
	}
}
