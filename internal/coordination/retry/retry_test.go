package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/retry"
	"jayspindle/internal/testing/soak"
)

var start = time.Unix(1000, 0)

// TestDecide guards against a retry that could run a request twice, that cannot
// meet the deadline or that exceeds the limit of attempts or the
// budget.
func TestDecide(t *testing.T) {
	base := retry.Attempt{Number: 1, Outcome: retry.NotRun, Deadline: start.Add(time.Second)}
	cases := map[string]struct {
		change func(a *retry.Attempt)
		burst  int
		want   retry.Reason
	}{
		"proven not run": {func(*retry.Attempt) {}, 1, retry.ReasonNotRun},
		"idempotent":     {withOutcome(retry.Unknown, true), 1, retry.ReasonIdempotence},
		"may have run":   {withOutcome(retry.Unknown, false), 1, retry.ReasonMayHaveRun},
		"answered":       {withOutcome(retry.Answered, true), 1, retry.ReasonAnswered},
		"too late":       {func(a *retry.Attempt) { a.ExpectedDuration = 2 * time.Second }, 1, retry.ReasonDeadline},
		"too often":      {func(a *retry.Attempt) { a.Number = 4 }, 1, retry.ReasonAttempts},
		"no budget":      {func(*retry.Attempt) {}, 0, retry.ReasonBudget},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			attempt := base
			c.change(&attempt)

			decision := retry.New(0.1, c.burst).Decide(start, attempt, rand.New(rand.NewPCG(1, 0)))
			is.Equal(decision.Reason, c.want)
			is.Equal(decision.Retry, c.want == retry.ReasonNotRun || c.want == retry.ReasonIdempotence)
		})
	}
}

func withOutcome(outcome retry.Outcome, idempotent bool) func(a *retry.Attempt) {
	return func(a *retry.Attempt) { a.Outcome, a.Idempotent = outcome, idempotent }
}

// TestStorm guards against retries that multiply the load of a service whose
// backend servers refuse everything: 100,000 requests cause at most ratio times
// as many retries, plus the burst.
func TestStorm(t *testing.T) {
	soak.Run(t, 10, func(t *testing.T, seed uint64) {
		const requests, burst = 100_000, 20

		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		ratio := 0.05 + 0.2*random.Float64()
		budget := retry.New(ratio, burst)
		attempts := 0

		for range requests {
			budget.Deposit()

			for number, retrying := 1, true; retrying; number++ {
				attempts++
				attempt := retry.Attempt{Number: number, Outcome: retry.NotRun, Deadline: start.Add(time.Minute)}
				retrying = budget.Decide(start, attempt, random).Retry
			}
		}

		is.True(float64(attempts) <= requests*(1+ratio)+burst)  // bounded
		is.True(float64(attempts) >= requests*(1+ratio*0.9)+10) // and the budget is usable
	})
}

// TestBackoff guards against retries without jitter, and against delays above the
// limit.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	budget := retry.New(1, 1000)
	delays := make(map[time.Duration]bool)

	for i := range 300 {
		attempt := retry.Attempt{Number: 1 + i%3, Outcome: retry.NotRun, Deadline: start.Add(time.Hour)}
		decision := budget.Decide(start, attempt, random)
		is.True(decision.Retry)
		is.True(decision.Delay < 10*time.Millisecond<<(i%3)) // exponential limit
		delays[decision.Delay] = true
	}

	is.True(len(delays) > 290) // jitter
}
