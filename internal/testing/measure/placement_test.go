package measure_test

import (
	"testing"
	"time"

	"jayspindle/internal/testing/measure"
)

// placers are the policies that the imbalance benchmark compares.
var placers = []struct {
	name string
	make func(seed uint64) measure.Placer
}{
	{name: "random", make: measure.NewRandom},
	{name: "round-robin", make: measure.NewRoundRobin},
	{name: "least-reported", make: measure.NewLeastReported},
	{name: "two-choices", make: measure.NewTwoChoices},
	{name: "picker", make: measure.NewPicker},
}

var imbalanceScenarios = []struct {
	name     string
	scenario measure.Imbalance
}{
	{name: "equal", scenario: unevenLoad(7, 0.6)},
	{name: "three", scenario: unevenLoad(3, 0.6)},
	{name: "hundreds", scenario: unevenLoad(200, 0.6)},
	{name: "busy", scenario: unevenLoad(7, 0.9)},
	{name: "unequal-speed", scenario: withSpeeds(unevenLoad(7, 0.7), 1, 1, 0.5)},
	{name: "failing", scenario: withFailure(unevenLoad(7, 0.6), false)},
	{name: "hung", scenario: withFailure(unevenLoad(7, 0.6), true)},
}

// unevenLoad returns a scenario with uneven connections and one wrong load report.
func unevenLoad(agents int, utilization float64) measure.Imbalance {
	return measure.Imbalance{
		Agents: agents, Slots: 3, Duration: time.Minute, Utilization: utilization, Mean: 50 * time.Millisecond,
		Sigma: 1, Connections: 4 * agents, Misleading: true,
	}
}

func withSpeeds(scenario measure.Imbalance, speeds ...float64) measure.Imbalance {
	scenario.Speeds = speeds

	return scenario
}

func withFailure(scenario measure.Imbalance, hung bool) measure.Imbalance {
	scenario.Failing = 1
	scenario.Hung = hung

	return scenario
}

// BenchmarkImbalance reports imbalance, completion times and failures per scenario
// and policy. Figures are medians over the seeds 1 to b.N.
func BenchmarkImbalance(b *testing.B) {
	for _, c := range imbalanceScenarios {
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

				reportSummary(b, "ingress", ingress)
				reportSummary(b, "imbalance", imbalance)
				reportSummary(b, "mean-ms", mean)
				reportSummary(b, "p99-ms", p99)
				reportSummary(b, "failed", failed)
				reportSummary(b, "peak", peak)
			})
		}
	}
}
