// Package retry decides whether a request may be tried again. A budget per
// service bounds how much load retries can add, whatever the callers do.
//
// # Usage
//
//	budget := retry.New(0.1, 10)
//	budget.Deposit() // once for each request that arrives from a caller
//	decision := budget.Decide(now, attempt, random)
//	if decision.Retry {
//		// Try again after decision.Delay.
//	}
//
// Only the agent that holds the caller's session may use a budget: retries at
// several hops would multiply. The budget is a token bucket filled by requests
// and not by time, as in the retry throttling of gRPC (proposal A6) and the
// RetryBudget of Finagle. Backoff is exponential with full jitter (Brooker,
// "Exponential Backoff And Jitter", 2015).
//
// A Budget is not safe for concurrent use: one goroutine owns it.
package retry

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"jayspindle/internal/state/invariant"
)

const (
	// tokenUnit is one token. Tokens are integers, so that a million small
	// deposits add up without rounding errors.
	tokenUnit = 1000

	// The waits before the three retries are below 10, 20 and 40 ms, so that they
	// leave most of a deadline of 2 s. maxBackoff bounds them only if maxAttempts
	// is raised to 9 or more.
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = time.Second
	maxAttempts = 4
)

// Outcome is what is known about an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that a complete response arrived, whatever its status.
	Answered Outcome = iota + 1
	// NotRun means that the attempt is proven not to have been handed over.
	NotRun
	// Unknown means that the attempt may have run.
	Unknown
)

// Reason tells why a decision was taken.
type Reason string

// The reasons of a Decision.
const (
	ReasonAnswered    Reason = "answered"
	ReasonMayHaveRun  Reason = "may have run"
	ReasonAttempts    Reason = "too many attempts"
	ReasonDeadline    Reason = "deadline too near"
	ReasonBudget      Reason = "retry budget empty"
	ReasonNotRun      Reason = "proven not run"
	ReasonIdempotence Reason = "idempotent"
)

// Attempt describes an attempt that has ended.
type Attempt struct {
	Number           int // 1 for the first attempt
	Outcome          Outcome
	Idempotent       bool
	Deadline         time.Time     // of the request
	ExpectedDuration time.Duration // expected time of another attempt
}

// Decision tells whether and when to try again.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// Budget is the retry budget of one service.
type Budget struct {
	deposit  int64
	capacity int64
	tokens   int64
}

// New returns a full budget. Each request deposits ratio tokens (0 to 1), each
// retry takes one token, and at most burst tokens are kept.
func New(ratio float64, burst int) *Budget {
	deposit := int64(min(max(ratio, 0), 1) * tokenUnit)
	capacity := int64(max(burst, 0)) * tokenUnit

	return &Budget{deposit: deposit, capacity: capacity, tokens: capacity}
}

// Deposit records the arrival of a request that is not itself a retry.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.deposit, b.capacity)
}

// Withdraw takes one token and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < tokenUnit {
		return false
	}

	b.tokens -= tokenUnit
	invariant.Assert(b.tokens >= 0, "retry: the budget is never negative", slog.Int64("tokens", b.tokens))

	return true
}

// Decide tells whether the request of an ended attempt may be tried again. It
// takes a token only if everything else allows the retry.
func (b *Budget) Decide(now time.Time, attempt Attempt, random *rand.Rand) Decision {
	reason := ReasonNotRun

	switch {
	case attempt.Outcome == Answered:
		return Decision{Reason: ReasonAnswered}
	case attempt.Outcome == NotRun:
	case attempt.Idempotent:
		reason = ReasonIdempotence
	default:
		return Decision{Reason: ReasonMayHaveRun}
	}

	if attempt.Number >= maxAttempts {
		return Decision{Reason: ReasonAttempts}
	}

	after := backoff(attempt.Number, random)
	if now.Add(after + attempt.ExpectedDuration).After(attempt.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}

	if !b.Withdraw() {
		return Decision{Reason: ReasonBudget}
	}

	return Decision{Retry: true, Delay: after, Reason: reason}
}

// backoff returns a uniformly distributed delay below a limit that doubles
// with each attempt.
func backoff(attempt int, random *rand.Rand) time.Duration {
	limit := baseBackoff << min(max(attempt-1, 0), 10)

	return time.Duration(random.Int64N(int64(min(limit, maxBackoff))))
}

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	default:
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
}
