package measure

import (
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
)

// stepNodes lets every live agent send the messages of its claims and act on their
// decisions.
func (r *executionRun) stepNodes(now time.Time) {
	for _, n := range r.nodes {
		if n.dead {
			continue
		}

		if !n.isolated {
			n.history.Confirm(now)
		}

		n.attempts = slices.DeleteFunc(n.attempts, func(a *executionAttempt) bool { return a.handled && a.Done(now) })

		for _, a := range n.attempts {
			r.stepAttempt(now, n, a)
		}
	}

	r.schedule(now.Add(simulationStep), r.stepNodes)
}

// stepAttempt sends the messages of one claim and acts on its decision.
func (r *executionRun) stepAttempt(now time.Time, n *executionNode, a *executionAttempt) {
	a.Tick(now)

	for _, message := range a.Messages(now) {
		to := r.nodes[message.To-1]
		r.sendMessage(now, n, to, func(now time.Time) {
			reply := to.store.Handle(now, message.Request)
			r.sendMessage(now, to, n, func(now time.Time) { a.Reply(now, reply) })
		})
	}

	verdict := a.Decision().Verdict
	if a.handled || verdict == claim.Pending {
		return
	}

	a.handled = true

	switch {
	case verdict != claim.Run:
		r.answer(now, n, a, verdict)
	case a.HandOver(now):
		r.execute(now, n, a)
	}
}

// sendMessage delivers a message from one agent to another, with loss and delay.
func (r *executionRun) sendMessage(now time.Time, from, to *executionNode, deliver func(now time.Time)) {
	if r.isMessageLost() {
		return
	}

	r.schedule(now.Add(siblingLatency+r.randomDuration(simulationStep)), func(now time.Time) {
		if !from.dead && !to.dead && (from == to || !from.isolated && !to.isolated) {
			deliver(now)
		}
	})
}

// countOutcomes classifies every request by the last answer that its caller got.
func (r *executionRun) countOutcomes() ExecutionsResult {
	result := ExecutionsResult{Requests: len(r.callers)}

	for _, caller := range r.callers {
		told := false

		switch caller.lastVerdict {
		case claim.Run, claim.Replay:
			result.Answered++
		case claim.NotRun:
			result.NotRun++
			told = true

			if caller.runs > 0 {
				result.Wrong++
			}
		case claim.Unknown:
			result.Unknown++
			told = true
		case claim.Pending, claim.InProgress:
			result.Silent++
		}

		if caller.runs > 1 {
			result.Twice++
		}

		if caller.runs == 0 && !told {
			result.Lost++
		}
	}

	return result
}
