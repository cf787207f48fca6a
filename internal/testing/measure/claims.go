package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
)

// Retention and MaxUnconfirmed are short, so that claims expire and the
// histories of isolated agents become stale within a run.
const (
	Retention      = 20 * time.Second
	MaxUnconfirmed = 10 * time.Second
)

// ClaimScenario describes a service whose callers resend non-idempotent
// requests through other agents while agents fail.
type ClaimScenario struct {
	Agents   int
	Capacity int // maximum number of records in a store
	Duration time.Duration
	Settle   time.Duration // at the end, without new keys and faults
	Keys     float64       // new keys per second, at most 100
	Faults   float64       // per second; each is one fault or two at once
	Loss     float64       // fraction of messages that are lost, late or duplicated
	Rolling  bool          // replaces all initial agents by planned restarts
	// Connected disables the faults that isolate agents.
	Connected bool
}

// ClaimResult holds the results of one run. A correct run has no violations.
type ClaimResult struct {
	Keys       int
	Ran        int // keys whose request was handed over to a backend server
	Records    int // most records in one store at a time
	Verdicts   map[claim.Verdict]int
	Reasons    map[claim.Reason]int
	Closings   int      // of memberships that had lost a holder
	Violations []string // requests that ran twice, wrong "not run" verdicts and wrong replays
}

// Claims runs the scenario and checks every verdict.
func Claims(scenario ClaimScenario, seed uint64) ClaimResult {
	s := &claimSimulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: epoch, scenario: scenario,
		events: make(map[time.Time][]func()), handOvers: make(map[claim.Key][]handOverRecord),
		result: ClaimResult{Verdicts: make(map[claim.Verdict]int), Reasons: make(map[claim.Reason]int)},
	}

	for range scenario.Agents {
		s.addAgent()
	}

	for _, n := range s.nodes {
		n.history.Observe(s.now, s.position, slices.Clone(s.agents))
		n.history.AssumeNoEarlierClaims(s.now)
		n.history.Confirm(s.now)
	}

	if scenario.Rolling {
		s.rollingRestart(s.nodes)
	}

	s.advance(scenario.Duration, s.generateLoad)
	s.advance(scenario.Settle, func() {})

	s.result.Ran = len(s.handOvers)

	return s.result
}

// generateLoad sends new keys and injects faults at the configured rates.
func (s *claimSimulation) generateLoad() {
	if s.random.Float64() < s.scenario.Keys*simulationStep.Seconds() {
		s.result.Keys++
		s.request(claim.Key{Service: 1, Token: fmt.Sprintf("key-%d", s.result.Keys)}, 4)
	}

	if s.random.Float64() < s.scenario.Faults*simulationStep.Seconds() {
		for range 1 + s.random.IntN(2) {
			s.injectFault()
		}
	}
}

// injectFault injects one random fault.
func (s *claimSimulation) injectFault() {
	nodes := s.liveNodes()
	if len(nodes) < 3 {
		s.join()

		return
	}

	switch fault := s.random.IntN(5); {
	case fault == 0:
		s.kill(nodes[0])
	case fault == 1:
		s.drain(nodes[0])
	case fault == 2 && !s.scenario.Connected:
		s.isolate(1+s.random.IntN(len(nodes)-1), s.randomDuration(time.Minute))
	default:
		s.join()
	}
}

// rollingRestart replaces the agents one after the other.
func (s *claimSimulation) rollingRestart(nodes []*claimNode) {
	if len(nodes) == 0 {
		return
	}

	s.join()
	s.scheduleAfter(3*time.Second, func() { s.drain(nodes[0]) })
	s.scheduleAfter(8*time.Second, func() { s.rollingRestart(nodes[1:]) })
}

// recordViolation adds a violated guarantee to the result.
func (s *claimSimulation) recordViolation(format string, arguments ...any) {
	s.result.Violations = append(s.result.Violations, fmt.Sprintf(format, arguments...))
}
