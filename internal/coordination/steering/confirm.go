package steering

import (
	"slices"
	"time"

	"jayspindle/internal/state/flow"
)

// confirmedDuring reports whether a controller has confirmed document and agents since the
// search of a flow began. A flow that was open then is held by an agent of that list.
func (r *Router) confirmedDuring(e *entry) bool { return !r.confirmedSince.Before(e.searchBegan) }

// awaitConfirmation reports whether the search has to wait for a confirmation that the
// flow is lost, or that its route does not exist.
func (r *Router) awaitConfirmation(now time.Time, e *entry) bool {
	if r.whyUncertain(now, e) != ReasonOutdated || !now.Before(e.searchEnds()) || !r.requestConfirmation(now, e) {
		return false
	}

	e.deadline = r.pollRequested.Add(confirmRetryInterval)

	return true
}

// requestConfirmation asks for a poll if a confirmation is missing that the controllers are
// likely to give, and reports whether it is. Many searches share one poll.
func (r *Router) requestConfirmation(now time.Time, e *entry) bool {
	if r.confirmedDuring(e) || !r.recentlyConfirmed(now) {
		return false
	}

	if now.Sub(r.pollRequested) >= confirmRetryInterval {
		r.pollRequested = now
		r.counters.Polls++
		r.addAction(Action{Kind: Poll})
	}

	return true
}

// askNew asks the agents that the confirmed list has added since the others were asked.
func (r *Router) askNew(now time.Time, key flow.Key, e *entry) bool {
	before := len(e.tried)
	waits := r.ask(now, key, e, slices.Clone(r.allAgents), &r.questions.candidates)
	r.counters.AddedLate += uint64(len(e.tried) - before)

	return waits
}

// continueConfirmed continues the searches that wait for a confirmation.
func (r *Router) continueConfirmed(now time.Time) {
	for key, e := range r.pendingFlows {
		if e.state != searching || !r.confirmedDuring(e) {
			continue
		}

		target, ok := r.table.Find(key.Service)

		switch {
		case !ok:
			r.searchRoute(now, key, e)
		case len(e.awaiting) == 0 && !e.probing:
			r.continueSearch(now, target, key, e)
		}
	}
}

// searchRoute waits until the document is confirmed, and then resets the flow of a packet to
// an address that still has no route.
func (r *Router) searchRoute(now time.Time, key flow.Key, e *entry) {
	if r.awaitConfirmation(now, e) {
		return
	}

	sequence, confirmed := e.acknowledged, r.confirmedDuring(e)

	r.removeFlow(key)
	r.counters.Lost++

	if confirmed {
		r.reset(key, sequence, ReasonNoRoute)
	} else {
		r.addAction(Action{Kind: GiveUp, Key: key, Reason: ReasonOutdated})
	}
}
