package steering

import (
	"slices"
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

// search keeps the packet and asks agents whether they hold the flow. The excluded
// agents have already denied it.
func (r *Router) search(
	now time.Time, target *route.Route, key flow.Key, e *entry, header flow.Header, packet []byte,
	excluded ...flow.Endpoint,
) {
	if e.state != searching && len(r.pendingFlows) >= maxPendingFlows {
		r.counters.Dropped++

		return
	}

	r.counters.Located++

	e.state, e.lastPacket = searching, now
	e.denied = append(e.denied, excluded...)
	e.pending = &pending{tried: slices.Clone(e.denied)}
	e.addPacket(header, packet)

	r.flows[key] = e
	r.pendingFlows[key] = e
	r.askNext(now, target, key, e)
}

// askNext asks the next agents for a flow: first the candidates for a new flow with
// this key, then all others, because the flow may be older than the current route.
func (r *Router) askNext(now time.Time, target *route.Route, key flow.Key, e *entry) {
	agents := r.likelyAgents(target, key, e.tried)
	likely := !e.askedLikely && len(agents) > 0
	e.askedLikely = true

	batch, delay, timeout, cost := &r.questions.likely, likelyBatchDelay, likelyTimeout, singleQuestionBytes

	if !likely {
		agents = r.remainingAgents(e.tried)
		batch, delay, timeout, cost = &r.questions.others, otherBatchDelay, otherTimeout, batchedKeyBytes
	}

	if len(agents) > 0 && !r.questionBudget.AllowN(now, len(agents)*cost) {
		e.incomplete = true
		agents = nil
	}

	if len(agents) == 0 {
		r.endSearch(now, key, e)

		return
	}

	for _, a := range agents {
		e.tried = append(e.tried, a.Address)
		e.awaiting = append(e.awaiting, a.Address)
		batch.add(now.Add(delay), a.Address, key)
	}

	e.deadline = batch.due.Add(timeout)
}

// likelyAgents returns the candidates for a new flow of the key that were not tried yet.
func (r *Router) likelyAgents(target *route.Route, key flow.Key, tried []flow.Endpoint) []*agent {
	var found []*agent

	for _, a := range r.services[target.Pick(key.Hash())] {
		if !slices.Contains(tried, a.Address) {
			found = append(found, a)
		}
	}

	sortByRendezvous(found, key.Hash())

	return found[:min(maxCandidates, len(found))]
}

// remainingAgents returns the agents that were not tried yet.
func (r *Router) remainingAgents(tried []flow.Endpoint) []*agent {
	var found []*agent

	for address, a := range r.agents {
		if !slices.Contains(tried, address) {
			found = append(found, a)
		}
	}

	return found
}

// handleAnswer handles the answer of an agent about one flow.
func (r *Router) handleAnswer(now time.Time, from flow.Endpoint, key flow.Key, answer flow.Answer) {
	e := r.flows[key]
	if e == nil || e.state != searching {
		return
	}

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.removeFlow(key)

		return
	}

	switch answer {
	case flow.Held:
		r.handleFound(now, key, e, from)

		return
	case flow.Unsure:
		if !slices.Contains(e.unsure, from) {
			e.unsure = append(e.unsure, from)
		}
	case flow.Absent:
		e.denied = append(e.denied, from)
	}

	if r.removeAwaiting(e, from) {
		r.continueSearch(now, target, key, e)
	}
}

// removeAwaiting removes an agent from those whose answers are awaited and reports
// whether it was the last one.
func (r *Router) removeAwaiting(e *entry, from flow.Endpoint) bool {
	index := slices.Index(e.awaiting, from)
	if index < 0 {
		return false
	}

	e.awaiting = slices.Delete(e.awaiting, index, index+1)

	return len(e.awaiting) == 0
}

// handleFound assigns the flow to the agent that holds it and sends it the kept packets.
func (r *Router) handleFound(now time.Time, key flow.Key, e *entry, holder flow.Endpoint) {
	packets := e.packets
	if e.probing && e.agent == holder {
		packets = nil // it has them already
	}

	r.assign(now, key, e, holder)

	for _, packet := range packets {
		r.forward(key, holder, packet)
	}
}

// continueSearch continues after all asked agents have answered or timed out: it
// probes unsure agents one after the other, then asks further agents.
func (r *Router) continueSearch(now time.Time, target *route.Route, key flow.Key, e *entry) {
	if len(e.unsure) == 0 {
		e.probing = false
		r.askNext(now, target, key, e)

		return
	}

	e.agent, e.unsure = e.unsure[0], e.unsure[1:]
	e.probing = true
	e.deadline = now.Add(probeTimeout)

	for _, packet := range e.packets {
		r.forward(key, e.agent, packet)
	}
}

// handleProbeReturned continues the search if the probed agent returned a packet.
func (r *Router) handleProbeReturned(now time.Time, target *route.Route, key flow.Key, e *entry, from flow.Endpoint) {
	if e.probing && e.agent == from {
		r.continueSearch(now, target, key, e)
	}
}

// endSearch ends a search without success. The flow is reset at its client only if
// it is certainly lost.
func (r *Router) endSearch(now time.Time, key flow.Key, e *entry) {
	sequence, certain := e.acknowledged, !e.incomplete && r.recentlyConfirmed(now) && len(r.agents) > 0

	delete(r.pendingFlows, key)

	e.pending = nil
	r.counters.Lost++

	if certain {
		e.state, e.resultExpires = lost, now.Add(lostTTL)
		r.reset(key, sequence, ReasonNotHeld)

		return
	}

	e.state, e.resultExpires = inconclusive, now.Add(inconclusiveTTL)
}

// Due returns when Tick has to be called next, and false if nothing is pending.
func (r *Router) Due() (time.Time, bool) {
	due := r.questions.likely.due
	if others := r.questions.others.due; due.IsZero() || (!others.IsZero() && others.Before(due)) {
		due = others
	}

	for _, e := range r.pendingFlows {
		if due.IsZero() || e.deadline.Before(due) {
			due = e.deadline
		}
	}

	return due, !due.IsZero()
}

// sweepInterval is how often idle flows are removed.
const sweepInterval = 5 * time.Second

// Tick sends the questions that are due and continues with the flows whose agents
// did not answer in time.
func (r *Router) Tick(now time.Time) []Action {
	r.actions = r.actions[:0]

	r.flush(now)

	for key, e := range r.pendingFlows {
		if now.Before(e.deadline) {
			continue
		}

		target, ok := r.table.Find(key.Service)
		if !ok {
			r.removeFlow(key)

			continue
		}

		r.handleTimeout(now, target, key, e)
	}

	if now.Sub(r.lastSweep) >= sweepInterval {
		r.sweep(now)
	}

	return r.actions
}

func (r *Router) handleTimeout(now time.Time, target *route.Route, key flow.Key, e *entry) {
	if e.state == opening {
		r.handleOpenTimeout(now, target, key, e)

		return
	}

	// An unsure agent whose backend server holds the flow but sends nothing looks
	// like one whose backend server has ended. Found reports the flow when the
	// backend server sends its next packet.
	e.incomplete = e.incomplete || e.probing || !r.allSilent(e.awaiting)
	e.awaiting = nil
	r.continueSearch(now, target, key, e)
}

// allSilent reports whether the controllers have no recent reports of the agents
// either. Then their instances are lost, and so are the flows that they held.
func (r *Router) allSilent(addresses []flow.Endpoint) bool {
	for _, address := range addresses {
		if a := r.agents[address]; a != nil && a.State != roster.Silent {
			return false
		}
	}

	return true
}

// markSuspect makes an agent a last resort for new flows for suspectDuration.
func (r *Router) markSuspect(now time.Time, address flow.Endpoint) {
	if a := r.agents[address]; a != nil {
		a.suspectUntil = now.Add(suspectDuration)
	}
}

func (r *Router) sweep(now time.Time) {
	r.lastSweep = now
	r.questions.expire(now)

	for address, a := range r.agents {
		if !a.missingSince.IsZero() && now.Sub(a.missingSince) > roster.GoneTimeout {
			delete(r.agents, address)
		}
	}

	r.indexServices()

	for key, e := range r.flows {
		if now.Sub(e.lastPacket) > idleFlowTTL {
			r.removeFlow(key)
		}
	}
}
