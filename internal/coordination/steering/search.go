package steering

import (
	"slices"
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

// search keeps the packet and asks agents for the flow. The excluded agents
// have denied it already.
func (r *Router) search(
	now time.Time, target *route.Route, key flow.Key, e *entry, header flow.Header, packet []byte,
	excluded ...flow.Endpoint,
) {
	if e.state != searching && len(r.undecided) >= maxUndecided {
		r.counters.Dropped++

		return
	}

	r.counters.Located++

	e.state, e.last = searching, now
	e.denied = append(e.denied, excluded...)
	e.pending = &pending{tried: slices.Clone(e.denied)}
	e.keep(header, packet)

	r.flows[key] = e
	r.undecided[key] = e
	r.ask(now, target, key, e)
}

// ask asks the next agents for a flow: first those that can have got it as a
// new flow, then all others. A flow may also be older than the present route.
func (r *Router) ask(now time.Time, target *route.Route, key flow.Key, e *entry) {
	wave := r.likely(target, key, e.tried)
	likely := !e.asked && len(wave) > 0
	e.asked = true

	g, gather, timeout, cost := &r.questions.likely, likelyGather, likelyTimeout, singleBytes

	if !likely {
		wave = r.others(e.tried)
		g, gather, timeout, cost = &r.questions.others, otherGather, otherTimeout, gatheredBytes
	}

	if len(wave) > 0 && !r.budget.AllowN(now, len(wave)*cost) {
		e.silent = true
		wave = nil
	}

	if len(wave) == 0 {
		r.giveUp(now, key, e)

		return
	}

	for _, a := range wave {
		e.tried = append(e.tried, a.Address)
		e.awaited = append(e.awaited, a.Address)
		g.add(now.Add(gather), a.Address, key)
	}

	e.due = g.due.Add(timeout)
}

// likely returns the agents among which a new flow of the key is placed.
func (r *Router) likely(target *route.Route, key flow.Key, tried []flow.Endpoint) []*agent {
	var found []*agent

	for _, a := range r.services[target.Pick(key.Hash())] {
		if !slices.Contains(tried, a.Address) {
			found = append(found, a)
		}
	}

	rank(found, key.Hash())

	return found[:min(choices, len(found))]
}

// others returns the agents that were not asked yet.
func (r *Router) others(tried []flow.Endpoint) []*agent {
	var found []*agent

	for address, a := range r.agents {
		if !slices.Contains(tried, address) {
			found = append(found, a)
		}
	}

	return found
}

// located handles what an agent said of one flow.
func (r *Router) located(now time.Time, from flow.Endpoint, key flow.Key, answer flow.Answer) {
	e := r.flows[key]
	if e == nil || e.state != searching {
		return
	}

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.forget(key)

		return
	}

	switch answer {
	case flow.Held:
		r.found(now, key, e, from)

		return
	case flow.Unsure:
		if !slices.Contains(e.unsure, from) {
			e.unsure = append(e.unsure, from)
		}
	case flow.Absent:
		e.denied = append(e.denied, from)
	}

	if r.answered(e, from) {
		r.next(now, target, key, e)
	}
}

// answered strikes an agent off those that are awaited and reports whether it
// was the last one.
func (r *Router) answered(e *entry, from flow.Endpoint) bool {
	place := slices.Index(e.awaited, from)
	if place < 0 {
		return false
	}

	e.awaited = slices.Delete(e.awaited, place, place+1)

	return len(e.awaited) == 0
}

// found sends the kept packets to the agent that holds the flow.
func (r *Router) found(now time.Time, key flow.Key, e *entry, holder flow.Endpoint) {
	packets := e.packets
	if e.probing && e.agent == holder {
		packets = nil // it has them already
	}

	r.settle(now, key, e, holder)

	for _, packet := range packets {
		r.forward(key, holder, packet, ReasonNone)
	}
}

// next goes on after all agents of a wave have answered or were given up: it
// tries unsure agents one after the other, then asks further agents.
func (r *Router) next(now time.Time, target *route.Route, key flow.Key, e *entry) {
	if len(e.unsure) == 0 {
		e.probing = false
		r.ask(now, target, key, e)

		return
	}

	e.agent, e.unsure = e.unsure[0], e.unsure[1:]
	e.probing = true
	e.due = now.Add(probeTimeout)

	for _, packet := range e.packets {
		r.forward(key, e.agent, packet, ReasonNone)
	}
}

// notThere handles a packet that an unsure agent returned.
func (r *Router) notThere(now time.Time, target *route.Route, key flow.Key, e *entry, from flow.Endpoint) {
	if e.probing && e.agent == from {
		r.next(now, target, key, e)
	}
}

// giveUp ends a search. The client learns that the flow is lost only if that is
// certain.
func (r *Router) giveUp(now time.Time, key flow.Key, e *entry) {
	sequence, certain := e.acknowledged, !e.silent && r.fresh(now) && len(r.agents) > 0

	delete(r.undecided, key)

	e.pending = nil
	r.counters.Lost++

	if certain {
		e.state, e.until = lost, now.Add(lostFor)
		r.reset(key, sequence, ReasonNotHeld)

		return
	}

	e.state, e.until = unknown, now.Add(unknownFor)
}

// Due returns when Tick has to be called next, and false if nothing waits.
func (r *Router) Due() (time.Time, bool) {
	due := r.questions.likely.due
	if others := r.questions.others.due; due.IsZero() || (!others.IsZero() && others.Before(due)) {
		due = others
	}

	for _, e := range r.undecided {
		if due.IsZero() || e.due.Before(due) {
			due = e.due
		}
	}

	return due, !due.IsZero()
}

// sweepInterval is how often flows that are no longer used are forgotten.
const sweepInterval = 5 * time.Second

// Tick goes on with the flows whose agents did not answer in time.
func (r *Router) Tick(now time.Time) []Action {
	r.actions = r.actions[:0]

	r.flush(now)

	for key, e := range r.undecided {
		if now.Before(e.due) {
			continue
		}

		target, ok := r.table.Find(key.Service)
		if !ok {
			r.forget(key)

			continue
		}

		r.overdue(now, target, key, e)
	}

	if now.Sub(r.swept) >= sweepInterval {
		r.sweep(now)
	}

	return r.actions
}

func (r *Router) overdue(now time.Time, target *route.Route, key flow.Key, e *entry) {
	if e.state == opening {
		r.notOpened(now, target, key, e)

		return
	}

	// A backend server that holds the flow and has nothing to say looks like one
	// that has ended. Its agent reports the flow with its next packet.
	e.silent = e.silent || e.probing || !r.allSilent(e.awaited)
	e.awaited = nil
	r.next(now, target, key, e)
}

// allSilent reports whether the controllers have not heard the agents either.
// Then their instances are lost, and so are the flows that they held.
func (r *Router) allSilent(addresses []flow.Endpoint) bool {
	for _, address := range addresses {
		if a := r.agents[address]; a != nil && a.State != roster.Silent {
			return false
		}
	}

	return true
}

// suspect passes an agent over for new flows for a while.
func (r *Router) suspect(now time.Time, address flow.Endpoint) {
	if a := r.agents[address]; a != nil {
		a.suspect = now.Add(suspicion)
	}
}

func (r *Router) sweep(now time.Time) {
	r.swept = now
	r.questions.expire(now)

	for address, a := range r.agents {
		if !a.missing.IsZero() && now.Sub(a.missing) > roster.GoneAfter {
			delete(r.agents, address)
		}
	}

	r.indexServices()

	for key, e := range r.flows {
		if now.Sub(e.last) > retention {
			r.forget(key)
		}
	}
}
