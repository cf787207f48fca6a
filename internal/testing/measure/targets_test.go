package measure_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/testing/measure"
	"jayspindle/internal/testing/soak"
)

// runFlood runs a shorter scenario than the benchmark, which would take minutes
// under the race detector.
func runFlood(
	deployment measure.Deployment, flooder measure.Flooder, policy func(admission.Policy) measure.Admitter, seed uint64,
) measure.FloodResult {
	scenario := deployment.Flooded(flooder)
	scenario.Duration = 40 * time.Second

	return measure.Flood(scenario, policy, seed)
}

// TestLeastUrgentFlood guards against bulk requests that delay urgent ones: 99% of
// the urgent requests must be in time while bulk requests arrive at 10 times the
// capacity of all backend servers.
func TestLeastUrgentFlood(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, deployment := range measure.Deployments() {
			is := is.New(t)
			urgent := deployment.Work[0].Class.Name
			result := runFlood(deployment, measure.LeastUrgent, measure.NewScheduler, seed)
			is.True(result.Class(urgent).InTime() >= 0.99)
			is.True(result.Busy >= 0.85) // the reserved slots cost little capacity

			firstCome := runFlood(deployment, measure.LeastUrgent, measure.NewFirstCome, seed)
			is.True(firstCome.Class(urgent).InTime() < 0.5) // without the scheduler, the flood does harm
		}
	})
}

// TestMostUrgentFlood guards against urgent requests that starve other classes:
// each class must keep its minimum share, within the granularity of long requests.
func TestMostUrgentFlood(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, deployment := range measure.Deployments() {
			is := is.New(t)
			result := runFlood(deployment, measure.MostUrgent, measure.NewScheduler, seed)
			is.True(lowestShareKept(result) >= 0.95)
			is.True(result.MaxWaiting <= admission.DefaultQueueLength*len(deployment.Work)) // queues are bounded
		}

		strict := runFlood(measure.Deployments()[1], measure.MostUrgent, measure.NewStrictPriority, seed)
		is.New(t).True(lowestShareKept(strict) < 0.5) // without the scheduler, the flood does harm
	})
}

// TestOtherService guards against shared state between the schedulers of two
// services: the results of one service must not depend on a flood of the other.
func TestOtherService(t *testing.T) {
	is := is.New(t)
	deployments := measure.Deployments()
	before := runFlood(deployments[1], measure.Nobody, measure.NewScheduler, 1)
	runFlood(deployments[0], measure.LeastUrgent, measure.NewScheduler, 1)
	after := runFlood(deployments[1], measure.Nobody, measure.NewScheduler, 1)
	is.Equal(before.Classes, after.Classes)
}

// TestImbalance guards against backend servers that get more than 1.05 times
// the mean although connections are uneven and one load report is wrong.
func TestImbalance(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, c := range imbalanceScenarios[:3] {
			scenario := c.scenario
			scenario.Duration = time.Duration(max(20-scenario.Agents/15, 6)) * time.Second
			is := is.New(t)
			result := measure.Unbalanced(scenario, measure.NewPicker, seed)
			is.True(result.Ingress > 1.3) // the connections are uneven
			is.True(result.Imbalance <= 1.05)
		}
	})
}

// TestRecovery guards against a failing backend server that keeps its share of
// requests, and against a burst of requests to it when it recovers.
func TestRecovery(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, hung := range []bool{false, true} {
			is := is.New(t)
			result := measure.Unbalanced(withFailure(unevenLoad(7, 0.6), hung), measure.NewPicker, seed)
			is.True(result.Failed < 0.01)
			is.True(result.Peak < 1.3)
		}
	})
}

// TestSummarize guards against tables whose medians or spreads are wrong.
func TestSummarize(t *testing.T) {
	is := is.New(t)
	is.Equal(measure.Summarize([]float64{3, 1, 2}), measure.Summary{Median: 2, Lowest: 1, Highest: 3})
	is.Equal(measure.Summarize([]float64{4, 1}), measure.Summary{Median: 2.5, Lowest: 1, Highest: 4})
	is.Equal(measure.Summarize(nil), measure.Summary{})
}
