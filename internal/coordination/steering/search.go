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
	e.denied = append(e.denied, excluded...)

	if r.startSearch(now, key, e, header, packet) {
		r.continueSearch(now, target, key, e)
	}
}

// startSearch keeps the packet, and reports false if too many flows wait for a decision.
func (r *Router) startSearch(now time.Time, key flow.Key, e *entry, header flow.Header, packet []byte) bool {
	if e.state != searching && len(r.pendingFlows) >= maxPendingFlows {
		r.counters.Dropped++

		return false
	}

	r.counters.Located++

	e.state, e.lastPacket = searching, now
	e.pending = &pending{tried: slices.Clone(e.denied), searchBegan: now}
	e.addPacket(header, packet)

	r.flows[key] = e
	r.pendingFlows[key] = e

	return true
}

// continueSearch continues with the next stage after all asked agents have answered
// or timed out.
func (r *Router) continueSearch(now time.Time, target *route.Route, key flow.Key, e *entry) {
	e.probing = false

	for ; e.stage <= askNew; e.stage++ {
		if r.runStage(now, target, key, e) {
			return
		}
	}

	r.endSearch(now, key, e)
}

// runStage reports whether the search has to wait for answers or for bandwidth.
func (r *Router) runStage(now time.Time, target *route.Route, key flow.Key, e *entry) bool {
	switch e.stage {
	case askFirst:
		first := r.agents[r.firstAgent(key).address]

		return first != nil && r.ask(now, key, e, []*agent{first}, &r.questions.candidates)
	case askCandidates:
		return r.ask(now, key, e, r.nearAgents(target, key, maxCandidates), &r.questions.candidates)
	case askNextRanks:
		return r.ask(now, key, e, r.nearAgents(target, key, maxCandidates+maxNextAgents), &r.questions.nextRanks)
	case probeUnsure:
		return r.probe(now, key, e, maxEarlyProbes)
	case askOthers:
		// Early, because the answers to this stage take longer than a confirmation.
		r.requestConfirmation(now, e)

		return r.ask(now, key, e, slices.Clone(r.allAgents), &r.questions.others)
	case probeRest:
		// The flow can only be held by an agent that is unsure.
		return e.incomplete == ReasonNone && r.mayProbeRest(now, e) && r.probe(now, key, e, maxLateProbes)
	default:
		return r.awaitConfirmation(now, e) || r.askNew(now, key, e)
	}
}

// ask asks those of the agents that were not asked before. It reports whether answers
// are awaited, or whether it has to be called again because bandwidth is lacking.
func (r *Router) ask(now time.Time, key flow.Key, e *entry, agents []*agent, batch *questionBatch) bool {
	agents = slices.DeleteFunc(agents, func(a *agent) bool { return slices.Contains(e.tried, a.Address) })
	if len(agents) == 0 {
		return false
	}

	budget := r.nearBudget
	if batch == &r.questions.others {
		budget = r.otherBudget
	}

	if !budget.AllowN(now, batch.cost(agents)) {
		if batch != &r.questions.others && now.Before(e.searchEnds()) {
			e.deadline = now.Add(budgetRetryInterval)

			return true
		}

		e.incomplete = ReasonBandwidth

		return false
	}

	for _, a := range agents {
		e.tried = append(e.tried, a.Address)
		e.awaiting = append(e.awaiting, a.Address)
		batch.add(now, a.Address, key)
	}

	if batch == &r.questions.others {
		r.counters.OtherQuestions += uint64(len(agents))
	} else {
		r.counters.NearQuestions += uint64(len(agents))
	}

	e.deadline = batch.due.Add(batch.timeout)

	return true
}

// nearAgents returns the first agents by rendezvous rank of the service that a new flow
// of the key would go to.
func (r *Router) nearAgents(target *route.Route, key flow.Key, limit int) []*agent {
	found := slices.Clone(r.services[target.Pick(key.Hash())])
	sortByRendezvous(found, key.Hash())

	return found[:min(limit, len(found))]
}

// mayGetNewFlow reports whether an agent is of the service that a new flow of the key would
// go to.
func (r *Router) mayGetNewFlow(target *route.Route, key flow.Key, address flow.Endpoint) bool {
	a := r.agents[address]

	return a != nil && a.Service == target.Pick(key.Hash())
}

// probe sends the first packet to the next unsure agent, and reports false if there
// is none, or if limit agents have got one recently.
func (r *Router) probe(now time.Time, key flow.Key, e *entry, limit int) bool {
	if now.Sub(e.probesSince) > probeWindow {
		e.probes, e.probesSince = 0, now
	}

	if len(e.unsure) == 0 || e.probes >= limit {
		return false
	}

	e.agent = e.popUnsure()
	e.probing = true
	e.probes++
	e.deadline = now.Add(probeTimeout)
	r.counters.Probes++
	r.forward(key, e.agent, e.packets[0])

	return true
}

// mayProbeRest reports whether another unsure agent may get a packet after all others have
// denied the flow. Beyond the candidates for a new flow that takes bandwidth.
func (r *Router) mayProbeRest(now time.Time, e *entry) bool {
	return e.probes < maxProbes || r.nearBudget.AllowN(now, len(e.packets[0]))
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
		e.addUnsure(from, r.mayGetNewFlow(target, key, from))
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
		packets = packets[1:] // it has the first one already
	}

	r.assign(now, key, e, holder)

	for _, packet := range packets {
		r.forward(key, holder, packet)
	}
}

// handleProbeReturned continues the search if the probed agent returned a packet.
func (r *Router) handleProbeReturned(now time.Time, target *route.Route, key flow.Key, e *entry, from flow.Endpoint) {
	if e.probing && e.agent == from {
		e.denied = append(e.denied, from)
		r.continueSearch(now, target, key, e)
	}
}

// endSearch ends a search without success. The flow is reset at its client only if
// it is certainly lost.
func (r *Router) endSearch(now time.Time, key flow.Key, e *entry) {
	sequence, uncertain := e.acknowledged, r.whyUncertain(now, e)

	delete(r.pendingFlows, key)

	e.pending = nil
	r.counters.Lost++

	if uncertain == ReasonNone {
		e.state, e.resultExpires = lost, now.Add(lostTTL)
		r.reset(key, sequence, ReasonNotHeld)

		return
	}

	e.state, e.resultExpires = inconclusive, now.Add(inconclusiveTTL)
	r.addAction(Action{Kind: GiveUp, Key: key, Reason: uncertain})
}

// whyUncertain returns why a flow that was not found may exist, or ReasonNone if it
// is lost.
func (r *Router) whyUncertain(now time.Time, e *entry) Reason {
	switch {
	case e.incomplete != ReasonNone:
		return e.incomplete
	case len(e.unsure) > 0:
		return ReasonUnsure
	case !r.recentlyConfirmed(now) || !r.confirmedDuring(e) || len(r.agents) == 0:
		return ReasonOutdated
	default:
		return ReasonNone
	}
}

// Due returns when Tick has to be called next, and false if nothing is pending.
func (r *Router) Due() (time.Time, bool) {
	due := r.questions.due()

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

	r.pauses.observe(now, r.config.Suspended())
	r.flush(now)

	for key, e := range r.pendingFlows {
		if now.Before(e.deadline) {
			continue
		}

		target, ok := r.table.Find(key.Service)

		switch {
		case ok:
			r.handleTimeout(now, target, key, e)
		case e.state == searching:
			r.searchRoute(now, key, e)
		default:
			r.removeFlow(key)
		}
	}

	r.placePointers(now)

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
	if e.probing || !r.allSilent(e.awaiting) {
		e.incomplete = ReasonSilent
	}

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
			r.changes.add(address)
		}
	}

	r.indexServices()

	for key, e := range r.flows {
		if now.Sub(e.lastPacket) > idleFlowTTL {
			r.removeFlow(key)
		}
	}
}
