package measure_test

import (
	"testing"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/testing/measure"
)

// floodPolicies are the policies that the flood benchmark compares.
var floodPolicies = []struct {
	name string
	make func(admission.Policy) measure.Admitter
}{
	{name: "fcfs", make: measure.NewFirstCome},
	{name: "strict", make: measure.NewStrictPriority},
	{name: "scheduler", make: measure.NewScheduler},
}

// BenchmarkFlood reports, per deployment, flooding class and policy, the
// fraction of urgent requests answered in time and the lowest fraction of its
// minimum share that any class receives. Figures are medians over the seeds 1
// to b.N.
func BenchmarkFlood(b *testing.B) {
	for _, deployment := range measure.Deployments() {
		for _, flooder := range []measure.Flooder{measure.Nobody, measure.LeastUrgent, measure.MostUrgent} {
			for _, policy := range floodPolicies {
				b.Run(deployment.Name+"/"+flooder.String()+"/"+policy.name, func(b *testing.B) {
					var urgent, kept, busy []float64

					for seed := range b.N {
						result := measure.Flood(deployment.Flooded(flooder), policy.make, uint64(seed+1))
						urgent = append(urgent, result.Class(deployment.Work[0].Class.Name).InTime())
						kept = append(kept, lowestShareKept(result))
						busy = append(busy, result.Busy)
					}

					reportSummary(b, "urgent-in-time", urgent)
					reportSummary(b, "share-kept", kept)
					reportSummary(b, "busy", busy)
				})
			}
		}
	}
}

func lowestShareKept(result measure.FloodResult) float64 {
	lowest := 1e9
	for _, class := range result.Classes {
		lowest = min(lowest, class.ShareKept())
	}

	return lowest
}

func reportSummary(b *testing.B, name string, values []float64) {
	b.Helper()

	summary := measure.Summarize(values)
	b.ReportMetric(summary.Median, name)
	b.ReportMetric(summary.Lowest, name+"-lowest")
	b.ReportMetric(summary.Highest, name+"-highest")
}
