package measure

import (
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
)

// work lets every agent send the messages of its claims and act on decisions.
func (r *executionRun) work(now time.Time) {
	for _, n := range r.nodes {
		if n.dead {
			continue
		}

		if !n.cutOff {
			n.history.Confirm(now)
		}

		n.claimants = slices.DeleteFunc(n.claimants, func(a *executionAttempt) bool { return a.judged && a.Done(now) })

		for _, a := range n.claimants {
			r.advance(now, n, a)
		}
	}

	r.at(now.Add(simulationStep), r.work)
}

func (r *executionRun) advance(now time.Time, n *executionNode, a *executionAttempt) {
	a.Tick(now)

	for _, message := range a.Messages(now) {
		to := r.nodes[message.To-1]
		r.carry(now, n, to, func(now time.Time) {
			reply := to.store.Handle(now, message.Request)
			r.carry(now, to, n, func(now time.Time) { a.Reply(now, reply) })
		})
	}

	verdict := a.Decision().Verdict
	if a.judged || verdict == claim.Pending {
		return
	}

	a.judged = true

	switch {
	case verdict != claim.Run:
		r.answer(now, n, a, verdict)
	case a.HandOver(now):
		r.execute(now, n, a)
	}
}

// carry takes a message from one agent to another, with loss and delay.
func (r *executionRun) carry(now time.Time, from, to *executionNode, deliver func(now time.Time)) {
	if r.lost() {
		return
	}

	r.at(now.Add(siblingLatency+r.duration(simulationStep)), func(now time.Time) {
		if !from.dead && !to.dead && (from == to || !from.cutOff && !to.cutOff) {
			deliver(now)
		}
	})
}

// count judges every request by the last answer its caller got.
func (r *executionRun) count() ExecutionsResult {
	result := ExecutionsResult{Requests: len(r.callers)}

	for _, caller := range r.callers {
		told := false

		switch caller.last {
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
