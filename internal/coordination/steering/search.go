package steering

import (
	"slices"
	"time"

	"jayspindle/internal/state/flow"
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
	e.pending = &pending{tried: excluded}
	e.keep(header, packet)

	r.flows[key] = e
	r.undecided[key] = e
	r.ask(now, target, key, e)
}

// ask asks the next agents for a flow. Those of the services of the route come
// first; a flow may also be older than the present route.
func (r *Router) ask(now time.Time, target *route.Route, key flow.Key, e *entry) {
	var likely, others []*agent

	for address, a := range r.agents {
		switch {
		case slices.Contains(e.tried, address):
		case target.Allows(a.Service):
			likely = append(likely, a)
		default:
			others = append(others, a)
		}
	}

	rank(likely, key.Hash())
	rank(others, key.Hash())

	wave := append(likely, others...) //nolint:gocritic // the slices are not used again
	if len(wave) > locateWave {
		wave = wave[:locateWave]
	}

	if len(wave) == 0 {
		r.giveUp(now, key, e)

		return
	}

	for _, a := range wave {
		e.tried = append(e.tried, a.Address)
		e.awaited = append(e.awaited, a.Address)
		r.act(Action{Kind: Locate, Key: key, To: a.Address})
	}

	e.due = now.Add(locateTimeout)
}

// Located tells what an agent said of a flow.
func (r *Router) Located(now time.Time, from flow.Endpoint, key flow.Key, answer flow.Answer) []Action {
	r.actions = r.actions[:0]

	e := r.flows[key]
	if e == nil || e.state != searching {
		return r.actions
	}

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.forget(key)

		return r.actions
	}

	switch answer {
	case flow.Held:
		r.found(now, key, e, from)

		return r.actions
	case flow.Unsure:
		if !slices.Contains(e.unsure, from) {
			e.unsure = append(e.unsure, from)
		}
	case flow.Absent:
	}

	if r.answered(e, from) {
		r.next(now, target, key, e)
	}

	return r.actions
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
	r.forget(key)
	r.counters.Lost++

	if certain {
		r.reset(key, sequence, ReasonNotHeld)
	}
}

// Due returns when Tick has to be called next, and false if nothing waits.
func (r *Router) Due() (time.Time, bool) {
	var due time.Time

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
	switch {
	case e.state == opening:
		r.suspect(now, e.agent)
		r.offer(now, target, key, e, ReasonNoAnswer)
	case e.probing:
		// The backend server did not return the packets, so it holds the flow.
		e.packets = nil
		r.settle(now, key, e, e.agent)
	default:
		e.silent = true
		e.awaited = nil
		r.next(now, target, key, e)
	}
}

// suspect passes an agent over for new flows for a while.
func (r *Router) suspect(now time.Time, address flow.Endpoint) {
	if a := r.agents[address]; a != nil {
		a.suspect = now.Add(suspicion)
	}
}

func (r *Router) sweep(now time.Time) {
	r.swept = now

	for key, e := range r.flows {
		if now.Sub(e.last) > retention {
			r.forget(key)
		}
	}
}
