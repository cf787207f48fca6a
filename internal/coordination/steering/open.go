package steering

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

// open sends the first packet of a flow to the best candidate.
func (r *Router) open(now time.Time, target *route.Route, key flow.Key, packet []byte) {
	stale := r.pauses.mayBeStale(now)

	if len(r.pendingFlows) >= maxPendingFlows {
		r.counters.Dropped++
		r.refuse(key, stale, ReasonBusy)

		return
	}

	r.counters.Opened++

	e := r.addPending(now, key, packet)
	e.stale = stale
	r.offer(now, target, key, e, ReasonNone)
}

// refuse tells the client that its flow was not opened. A first packet that has waited while
// the router was paused does not allow that: the client has sent it again meanwhile, and may
// have opened the flow through another entry instance.
func (r *Router) refuse(key flow.Key, stale bool, reason Reason) {
	if stale {
		r.addAction(Action{Kind: GiveUp, Key: key, Reason: ReasonStale})

		return
	}

	r.reset(key, 0, reason)
}

// addPending adds a flow that is to be opened. The tried agents have refused it.
func (r *Router) addPending(now time.Time, key flow.Key, packet []byte, tried ...flow.Endpoint) *entry {
	e := &entry{state: opening, lastPacket: now, pending: &pending{
		packets: [][]byte{bytes.Clone(packet)}, tried: tried, openDeadline: now.Add(openLifetime), declinable: true,
	}}
	r.flows[key] = e
	r.pendingFlows[key] = e

	return e
}

// offer sends the first packet to the next candidate, or refuses the flow if
// there is none.
//
// Each agent may decline while it has no free slot. The reports of agents are older
// than a request takes, and every entry instance places flows by them, so the least
// loaded agent is often busy while others are idle. A packet that is handed back
// costs a round trip; a request that waits behind others costs their service times.
// After maxDeclines, all agents are likely to be busy: the flow goes to the least
// loaded of them, according to the answers that have just arrived.
func (r *Router) offer(now time.Time, target *route.Route, key flow.Key, e *entry, reason Reason) {
	if len(e.declined) >= maxDeclines {
		e.declinable = false
	}

	chosen := r.chooseAgent(now, target, key, e)
	if chosen == nil && e.declinable && len(e.declined) > 0 {
		e.declinable = false
		chosen = r.chooseAgent(now, target, key, e)
	}

	if chosen == nil {
		r.removeFlow(key)

		// A newer list of agents may have a candidate; the client retransmits the packet.
		if !r.recentlyConfirmed(now) {
			r.counters.Dropped++

			return
		}

		r.refuse(key, e.stale, ReasonNoAgent)

		return
	}

	if reason != ReasonNone {
		r.counters.Moved++
	}

	chosen.flowsSinceReport++
	e.offers++
	e.agent = chosen.Address
	e.tried = append(e.tried, chosen.Address)
	e.deadline = now.Add(OpenTimeout)
	r.addAction(Action{
		Kind: Forward, Key: key, To: chosen.Address, Packet: e.packets[0], Reason: reason, Declinable: e.declinable,
	})
}

// handleOpenTimeout continues with a flow whose agent did not answer in time.
func (r *Router) handleOpenTimeout(now time.Time, target *route.Route, key flow.Key, e *entry) {
	r.markSuspect(now, e.agent)

	e.timedOut = true

	switch {
	case !now.Before(e.openDeadline):
		r.removeFlow(key) // the client has given up
	case e.offers >= maxOffers:
		e.deadline = e.openDeadline
	default:
		r.offer(now, target, key, e, ReasonNoAnswer)
	}
}

// handleUsed decides about the first packet of a client after those that open the flow. It
// shows that an agent has accepted the flow, whatever the others answer. If only one was
// offered it, that is the one.
func (r *Router) handleUsed(
	now time.Time, target *route.Route, key flow.Key, e *entry, header flow.Header, packet []byte,
) {
	if e.timedOut {
		r.search(now, target, key, e, header, packet)

		return
	}

	r.assign(now, key, e, e.agent)
	r.forward(key, e.agent, packet)
}

// chooseAgent returns the best agent for a new flow that was not tried yet, or
// nil. The other services of the route are the last resort, and only if document
// and agents are current: after a loss of all instances, the first service that
// came back got the flows of the other services and kept them.
func (r *Router) chooseAgent(now time.Time, target *route.Route, key flow.Key, e *entry) *agent {
	hash := key.Hash()
	picked := target.Pick(hash)

	if chosen := r.chooseFromService(now, picked, hash, e); chosen != nil {
		return chosen
	}

	if !r.recentlyConfirmed(now) {
		return nil
	}

	for _, other := range target.Targets {
		if other.Service == picked || other.Weight == 0 {
			continue
		}

		if chosen := r.chooseFromService(now, other.Service, hash, e); chosen != nil {
			return chosen
		}
	}

	return nil
}

// chooseFromService returns the least loaded of a few agents of a service. Suspect
// agents and those that are being restarted are chosen only if no other is left, and
// so are agents whose requests fail: they answer fast, have few flows, and would
// attract all new ones. If many agents of a service fail, the cause is probably
// elsewhere, and the remaining agents could not carry the whole load.
func (r *Router) chooseFromService(now time.Time, service string, hash uint64, e *entry) *agent {
	var preferred, fallback []*agent

	avoid := r.countFailing(service) <= int(maxAvoidedShare*float64(len(r.services[service])))

	for _, a := range r.services[service] {
		switch {
		case a.State != roster.Ready || slices.Contains(e.tried, a.Address):
		case now.Before(a.suspectUntil), a.Away, avoid && a.Failing:
			fallback = append(fallback, a)
		default:
			preferred = append(preferred, a)
		}
	}

	if len(preferred) == 0 {
		preferred = fallback
	}

	if len(preferred) == 0 {
		return nil
	}

	if len(preferred) > maxCandidates {
		sortByRendezvous(preferred, hash)
		preferred = preferred[:maxCandidates]
	}

	if e.declinable {
		preferred = slices.DeleteFunc(preferred, func(a *agent) bool { return slices.Contains(e.declined, a.Address) })
	}

	if len(preferred) == 0 {
		return nil
	}

	return slices.MinFunc(preferred, func(a, b *agent) int {
		return cmp.Or(
			cmp.Compare(r.load(a), r.load(b)),
			cmp.Compare(flow.Mix(a.seed^hash), flow.Mix(b.seed^hash)),
		)
	})
}

// countFailing returns the number of agents of a service whose requests fail.
func (r *Router) countFailing(service string) int {
	count := 0

	for _, a := range r.services[service] {
		if a.Failing {
			count++
		}
	}

	return count
}

// load returns the number of flows per slot of an agent, with penalties for cold
// backend servers and other availability zones.
func (r *Router) load(a *agent) float64 {
	slots := float64(max(1, a.Slots))
	load := (float64(a.Flows) + float64(a.flowsSinceReport) + waitingWeight*float64(a.Waiting) + 1) / slots

	if a.Cold {
		load *= 1 + coldPenalty
	}

	if a.Zone != r.config.Zone {
		load *= 1 + crossZonePenalty
	}

	return load
}

// sortByRendezvous orders agents by rendezvous hashing (Thaler and Ravishankar,
// 1998), so that every entry instance asks the same few agents for a flow first.
func sortByRendezvous(agents []*agent, hash uint64) {
	slices.SortFunc(agents, func(a, b *agent) int {
		return cmp.Compare(flow.Mix(a.seed^hash), flow.Mix(b.seed^hash))
	})
}

// applyLoad records the load that an agent reports in an answer.
func (r *Router) applyLoad(from flow.Endpoint, load roster.Load) {
	if a := r.agents[from]; a != nil {
		a.Flows, a.Waiting, a.Failing, a.flowsSinceReport = load.Flows, load.Waiting, load.Failing, 0
		a.suspectUntil = time.Time{}
	}
}

// Accepted handles the message that the backend server of an agent has accepted a
// flow.
func (r *Router) Accepted(now time.Time, from flow.Endpoint, key flow.Key, load roster.Load) []Action {
	r.actions = r.actions[:0]
	r.applyLoad(from, load)

	// The first agent that accepts keeps the flow: in most cases its answer also
	// reaches the client first.
	if e := r.flows[key]; e != nil && e.state == opening {
		r.config.ObserveOpen(openLifetime - e.openDeadline.Sub(now))
		r.assign(now, key, e, from)
	}

	return r.actions
}

// Returned handles a packet of a client that an agent returned because its backend
// server cannot take it.
func (r *Router) Returned(
	now time.Time, from flow.Endpoint, header flow.Header, packet []byte, load roster.Load,
) []Action {
	r.actions = r.actions[:0]
	r.applyLoad(from, load)

	key := header.Key()

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.refuseUnrouted(now, header, packet)

		return r.actions
	}

	e := r.flows[key]

	switch {
	case header.Opens():
		r.handleRefused(now, target, key, e, from, packet)
	case e == nil:
		r.search(now, target, key, &entry{}, header, packet, from)
	case e.state == lost || e.state == inconclusive:
		r.handleNotFound(now, target, key, e, header, packet)
	case e.state == searching:
		r.handleProbeReturned(now, target, key, e, from)
	case e.agent == from:
		r.search(now, target, key, e, header, packet, from)
	default:
		// Another agent was found to hold the flow in the meantime.
		r.forward(key, e.agent, bytes.Clone(packet))
	}

	return r.actions
}

// Declined handles an opening packet that an agent handed back because its backend
// server has no free slot. The last agent that is offered a flow does so only under
// sustained overload.
func (r *Router) Declined(now time.Time, from flow.Endpoint, header flow.Header, load roster.Load) []Action {
	r.actions = r.actions[:0]
	r.applyLoad(from, load)

	key := header.Key()
	target, routed := r.table.Find(key.Service)

	e := r.flows[key]
	if !routed || e == nil || e.state != opening || e.agent != from {
		return r.actions
	}

	r.counters.Declined++

	if !e.declinable {
		// The least loaded of several agents would let the request wait in vain.
		r.removeFlow(key)
		r.refuse(key, e.stale, ReasonOverload)

		return r.actions
	}

	e.offers--
	e.declined = append(e.declined, from)
	e.tried = slices.DeleteFunc(e.tried, func(tried flow.Endpoint) bool { return tried == from })
	r.offer(now, target, key, e, ReasonNone)

	return r.actions
}

// handleRefused offers a flow that an agent refused to the next candidate.
func (r *Router) handleRefused(
	now time.Time, target *route.Route, key flow.Key, e *entry, from flow.Endpoint, packet []byte,
) {
	switch {
	case e == nil, e.state == assigned && e.agent == from:
		// If the flow was assigned, the client has retransmitted its first packet to
		// a backend server that has lost or ended the flow since.
		e = r.addPending(now, key, packet, from)
	case e.state == opening && e.agent == from:
		e.offers-- // a refusal is an answer too
	default:
		return
	}

	r.offer(now, target, key, e, ReasonRefused)
}
