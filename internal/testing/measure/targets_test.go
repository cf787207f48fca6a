package measure_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/testing/measure"
	"jayspindle/internal/testing/soak"
)

// flood runs a shorter scenario than the benchmark, which takes minutes under
// the race detector.
func flood(
	deployment measure.Deployment, flooder measure.Flooder, policy func(admission.Policy) measure.Admitter, seed uint64,
) measure.FloodResult {
	scenario := deployment.Flooded(flooder)
	scenario.Duration = 40 * time.Second

	return measure.Flood(scenario, policy, seed)
}

// TestLeastUrgentFlood guards against bulk work that delays urgent work: 99%
// must be in time while bulk work arrives at 10 times the fleet's capacity.
func TestLeastUrgentFlood(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, deployment := range measure.Deployments() {
			is := is.New(t)
			urgent := deployment.Work[0].Class.Name
			result := flood(deployment, measure.LeastUrgent, measure.NewScheduler, seed)
			is.True(result.Class(urgent).InTime() >= 0.99)
			is.True(result.Busy >= 0.85) // the reserve costs little capacity

			plain := flood(deployment, measure.LeastUrgent, measure.NewFirstCome, seed)
			is.True(plain.Class(urgent).InTime() < 0.5) // the scenario is a real flood
		}
	})
}

// TestMostUrgentFlood guards against urgent work that starves the others: each
// class must keep its minimum share, within the granularity of long requests.
func TestMostUrgentFlood(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, deployment := range measure.Deployments() {
			is := is.New(t)
			result := flood(deployment, measure.MostUrgent, measure.NewScheduler, seed)
			is.True(worstShare(result) >= 0.95)
			is.True(result.MaxWaiting <= admission.DefaultQueueLength*len(deployment.Work)) // bounded
		}

		strict := flood(measure.Deployments()[1], measure.MostUrgent, measure.NewStrictPriority, seed)
		is.New(t).True(worstShare(strict) < 0.5) // the scenario is a real flood
	})
}

// TestOtherService guards against state that schedulers of two services share:
// the figures of one service do not depend on a flood of the other.
func TestOtherService(t *testing.T) {
	is := is.New(t)
	deployments := measure.Deployments()
	before := flood(deployments[1], measure.Nobody, measure.NewScheduler, 1)
	flood(deployments[0], measure.LeastUrgent, measure.NewScheduler, 1)
	after := flood(deployments[1], measure.Nobody, measure.NewScheduler, 1)
	is.Equal(before.Classes, after.Classes)
}

// TestImbalance guards against backend servers that get more than 1.05 times
// the mean although connections are uneven and one load report is wrong.
func TestImbalance(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, c := range imbalances[:3] {
			scenario := c.scenario
			scenario.Duration = time.Duration(max(20-scenario.Agents/15, 6)) * time.Second
			is := is.New(t)
			result := measure.Unbalanced(scenario, measure.NewPicker, seed)
			is.True(result.Ingress > 1.3) // the connections are uneven
			is.True(result.Imbalance <= 1.05)
		}
	})
}

// TestRecovery guards against a failing backend server that keeps its share,
// and against one that gets a burst when it returns.
func TestRecovery(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		for _, hung := range []bool{false, true} {
			is := is.New(t)
			result := measure.Unbalanced(failing(uneven(7, 0.6), hung), measure.NewPicker, seed)
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
