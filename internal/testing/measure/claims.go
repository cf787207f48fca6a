package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
)

// Retention and MaxUnconfirmed are short, so that claims expire and isolated
// agents go stale within a run.
const (
	Retention      = 20 * time.Second
	MaxUnconfirmed = 10 * time.Second
)

// ClaimScenario describes a service whose callers send non-idempotent requests
// again through other agents while agents fail.
type ClaimScenario struct {
	Agents   int
	Capacity int // records of a store
	Duration time.Duration
	Settle   time.Duration // at the end, without new keys and faults
	Keys     float64       // new keys a second, at most 100
	Faults   float64       // a second, each single or a pair
	Loss     float64       // fraction of messages that are lost, late or duplicated
	Rolling  bool          // all first agents are replaced by planned restarts
	// Connected leaves out the faults that cut agents off from the others.
	Connected bool
}

// ClaimResult holds the figures of one run. Violations must be empty.
type ClaimResult struct {
	Keys       int
	Ran        int // keys that were handed over
	Records    int // largest store
	Verdicts   map[claim.Verdict]int
	Reasons    map[claim.Reason]int
	Violations []string // second runs, wrong "not run" and wrong replays
}

// Claims runs the scenario.
func Claims(scenario ClaimScenario, seed uint64) ClaimResult {
	w := &claimWorld{
		random: rand.New(rand.NewPCG(seed, 0)), now: epoch, scenario: scenario,
		events: make(map[time.Time][]func()), runs: make(map[claim.Key][]run),
		result: ClaimResult{Verdicts: make(map[claim.Verdict]int), Reasons: make(map[claim.Reason]int)},
	}

	for range scenario.Agents {
		w.start()
	}

	for _, n := range w.nodes {
		n.history.Observe(w.now, w.position, slices.Clone(w.agents))
		n.history.AssumeNoEarlierClaims(w.now)
		n.history.Confirm(w.now)
	}

	if scenario.Rolling {
		w.roll(w.nodes)
	}

	w.advance(scenario.Duration, w.load)
	w.advance(scenario.Settle, func() {})

	w.result.Ran = len(w.runs)

	return w.result
}

// load sends new keys and causes faults.
func (w *claimWorld) load() {
	if w.random.Float64() < w.scenario.Keys*simulationStep.Seconds() {
		w.result.Keys++
		w.request(claim.Key{Service: 1, Token: fmt.Sprintf("key-%d", w.result.Keys)}, 4)
	}

	if w.random.Float64() < w.scenario.Faults*simulationStep.Seconds() {
		for range 1 + w.random.IntN(2) {
			w.disturb()
		}
	}
}

// disturb causes one fault.
func (w *claimWorld) disturb() {
	nodes := w.alive()
	if len(nodes) < 3 {
		w.join()

		return
	}

	switch fault := w.random.IntN(5); {
	case fault == 0:
		w.kill(nodes[0])
	case fault == 1:
		w.drain(nodes[0])
	case fault == 2 && !w.scenario.Connected:
		w.isolate(1+w.random.IntN(len(nodes)-1), w.duration(time.Minute))
	default:
		w.join()
	}
}

// roll replaces the agents one after the other.
func (w *claimWorld) roll(nodes []*claimNode) {
	if len(nodes) == 0 {
		return
	}

	w.join()
	w.after(3*time.Second, func() { w.drain(nodes[0]) })
	w.after(8*time.Second, func() { w.roll(nodes[1:]) })
}

// violate records a broken promise.
func (w *claimWorld) violate(format string, arguments ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf(format, arguments...))
}
