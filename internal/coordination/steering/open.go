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
	if len(r.undecided) >= maxUndecided {
		r.counters.Dropped++
		r.reset(key, 0, ReasonOverload)

		return
	}

	r.counters.Opened++

	e := r.undecide(now, key, packet)
	r.offer(now, target, key, e, ReasonNone)
}

// undecide notes a flow that is to be opened. The agents that were tried have
// refused it.
func (r *Router) undecide(now time.Time, key flow.Key, packet []byte, tried ...flow.Endpoint) *entry {
	e := &entry{state: opening, last: now, pending: &pending{
		packets: [][]byte{bytes.Clone(packet)}, tried: tried, expires: now.Add(openLifetime),
	}}
	r.flows[key] = e
	r.undecided[key] = e

	return e
}

// offer sends the first packet to the next candidate, or refuses the flow if
// there is none.
func (r *Router) offer(now time.Time, target *route.Route, key flow.Key, e *entry, reason Reason) {
	chosen := r.choose(now, target, key, e.tried)
	if chosen == nil {
		r.forget(key)

		// A later view may have a candidate; the client repeats the packet.
		if !r.fresh(now) {
			r.counters.Dropped++

			return
		}

		r.reset(key, 0, ReasonNoAgent)

		return
	}

	if reason != ReasonNone {
		r.counters.Moved++
	}

	chosen.since++
	e.offers++
	e.agent = chosen.Address
	e.tried = append(e.tried, chosen.Address)
	e.due = now.Add(OpenTimeout)
	r.forward(key, chosen.Address, e.packets[0], reason)
}

// notOpened goes on with a flow whose agent did not answer in time.
func (r *Router) notOpened(now time.Time, target *route.Route, key flow.Key, e *entry) {
	r.suspect(now, e.agent)

	switch {
	case !now.Before(e.expires):
		r.forget(key) // the client has given up
	case e.offers >= maxOffers:
		e.due = e.expires
	default:
		r.offer(now, target, key, e, ReasonNoAnswer)
	}
}

// choose returns the best agent for a new flow that was not tried yet, or nil.
// The services of the other weights are the last resort, and only in a view that
// is complete: after the loss of all instances the first service that came back
// got the flows of the others, and kept them.
func (r *Router) choose(now time.Time, target *route.Route, key flow.Key, tried []flow.Endpoint) *agent {
	hash := key.Hash()
	picked := target.Pick(hash)

	if chosen := r.chooseOf(now, picked, hash, tried); chosen != nil {
		return chosen
	}

	if !r.fresh(now) {
		return nil
	}

	for _, other := range target.Targets {
		if other.Service == picked || other.Weight == 0 {
			continue
		}

		if chosen := r.chooseOf(now, other.Service, hash, tried); chosen != nil {
			return chosen
		}
	}

	return nil
}

// chooseOf returns the least loaded of a few agents of a service. Suspect ones
// are taken only if no other is left, and so are those whose requests fail: they
// answer fast, have few flows, and would attract all new ones. If many of a
// service fail, the cause is likely elsewhere, and the others would not bear the
// load of all.
func (r *Router) chooseOf(now time.Time, service string, hash uint64, tried []flow.Endpoint) *agent {
	var trusted, suspects []*agent

	avoid := r.failing(service) <= int(maxFailing*float64(len(r.services[service])))

	for _, a := range r.services[service] {
		switch {
		case a.State != roster.Ready || slices.Contains(tried, a.Address):
		case now.Before(a.suspect), avoid && a.Failing:
			suspects = append(suspects, a)
		default:
			trusted = append(trusted, a)
		}
	}

	if len(trusted) == 0 {
		trusted = suspects
	}

	if len(trusted) == 0 {
		return nil
	}

	if len(trusted) > choices {
		rank(trusted, hash)
		trusted = trusted[:choices]
	}

	return slices.MinFunc(trusted, func(a, b *agent) int {
		return cmp.Or(
			cmp.Compare(r.load(a), r.load(b)),
			cmp.Compare(flow.Mix(a.seed^hash), flow.Mix(b.seed^hash)),
		)
	})
}

// failing returns the number of agents of a service whose requests fail.
func (r *Router) failing(service string) int {
	count := 0

	for _, a := range r.services[service] {
		if a.Failing {
			count++
		}
	}

	return count
}

// load is the number of flows of an agent for each of its slots, with what
// makes a new flow dearer there counted on top.
func (r *Router) load(a *agent) float64 {
	slots := float64(max(1, a.Slots))
	load := (float64(a.Flows) + float64(a.since) + waitingWeight*float64(a.Waiting) + 1) / slots

	if a.Cold {
		load *= 1 + coldPenalty
	}

	if a.Zone != r.config.Zone {
		load *= 1 + farPenalty
	}

	return load
}

// rank orders agents by rendezvous hashing (Thaler and Ravishankar, 1998), so
// that every entry instance looks for a flow at the same few agents first.
func rank(agents []*agent, hash uint64) {
	slices.SortFunc(agents, func(a, b *agent) int {
		return cmp.Compare(flow.Mix(a.seed^hash), flow.Mix(b.seed^hash))
	})
}

// report notes the load that an agent states in an answer.
func (r *Router) report(from flow.Endpoint, load roster.Load) {
	if a := r.agents[from]; a != nil {
		a.Flows, a.Waiting, a.Failing, a.since = load.Flows, load.Waiting, load.Failing, 0
		a.suspect = time.Time{}
	}
}

// Accepted tells that the backend server of an agent has accepted a flow.
func (r *Router) Accepted(now time.Time, from flow.Endpoint, key flow.Key, load roster.Load) []Action {
	r.actions = r.actions[:0]
	r.report(from, load)

	// The first agent that accepts keeps the flow: its answer reaches the client
	// first as well, most of the time.
	if e := r.flows[key]; e != nil && e.state == opening {
		r.config.Opened(openLifetime - e.expires.Sub(now))
		r.settle(now, key, e, from)
	}

	return r.actions
}

// Returned tells that an agent cannot take a packet. The packet is the one that
// the client sent.
func (r *Router) Returned(
	now time.Time, from flow.Endpoint, header flow.Header, packet []byte, load roster.Load,
) []Action {
	r.actions = r.actions[:0]
	r.report(from, load)

	key := header.Key()

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.withoutRoute(now, header)

		return r.actions
	}

	e := r.flows[key]

	switch {
	case header.Opens():
		r.refused(now, target, key, e, from, packet)
	case e == nil:
		r.search(now, target, key, &entry{}, header, packet, from)
	case e.state == lost || e.state == unknown:
		r.notFound(now, target, key, e, header, packet)
	case e.state == searching:
		r.notThere(now, target, key, e, from)
	case e.agent == from:
		r.search(now, target, key, e, header, packet, from)
	default:
		// The flow has been found elsewhere since.
		r.forward(key, e.agent, bytes.Clone(packet), ReasonNone)
	}

	return r.actions
}

// refused offers a flow that an agent refused to the next candidate.
func (r *Router) refused(
	now time.Time, target *route.Route, key flow.Key, e *entry, from flow.Endpoint, packet []byte,
) {
	switch {
	case e == nil, e.state == settled && e.agent == from:
		// A settled flow: the client has repeated its first packet, at a backend
		// server that has lost or ended the flow since.
		e = r.undecide(now, key, packet, from)
	case e.state == opening && e.agent == from:
		e.offers-- // an answer, if not the desired one
	default:
		return
	}

	r.offer(now, target, key, e, ReasonRefused)
}
