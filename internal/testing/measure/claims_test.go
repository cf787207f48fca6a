package measure_test

import (
	"testing"
	"time"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/testing/measure"
)

// BenchmarkClaims reports violations, the fraction of keys that ran and the
// fraction of unknown verdicts, for services of both deployments, with a fault
// every 10 s. Figures are medians over the seeds 1 to b.N.
func BenchmarkClaims(b *testing.B) {
	for name, agents := range map[string]int{"sheet-desk": 3, "cert-vault": 4, "crew-link": 7} {
		b.Run(name, func(b *testing.B) {
			var ran, unknown, violations []float64

			for seed := range b.N {
				result := measure.Claims(measure.ClaimScenario{
					Agents: agents, Capacity: claim.DefaultCapacity, Duration: time.Minute, Settle: 10 * time.Second,
					Keys: 20, Faults: 0.1, Loss: 0.01,
				}, uint64(seed+1))

				attempts := 0
				for _, count := range result.Verdicts {
					attempts += count
				}

				ran = append(ran, float64(result.Ran)/float64(result.Keys))
				unknown = append(unknown, float64(result.Verdicts[claim.Unknown])/float64(attempts))
				violations = append(violations, float64(len(result.Violations)))
			}

			reportSummary(b, "ran", ran)
			reportSummary(b, "unknown", unknown)
			reportSummary(b, "violations", violations)
		})
	}
}
