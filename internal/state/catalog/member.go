package catalog

import (
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/state/view"
)

const (
	// Bounds of the members of one environment, about twice the target size.
	maxAgents    = 52_000
	maxBalancers = 4_800

	// keptSuspended is how long a member is reachable for its established flows
	// after its lease ran out. A flow outlives most partitions, and 140 failures
	// a day leave about 6 dead members in the view.
	keptSuspended = time.Hour
)

// member is one incarnation of an agent or a balancer.
type member struct {
	Incarnation view.Incarnation `cbor:"1,keyasint"`
	Role        Role             `cbor:"2,keyasint"`
	Service     view.ServiceID   `cbor:"3,keyasint"`
	Zone        string           `cbor:"4,keyasint"`
	Data        netip.AddrPort   `cbor:"5,keyasint"`
	Peer        netip.AddrPort   `cbor:"6,keyasint"`
	Weight      uint8            `cbor:"7,keyasint"`
	State       view.State       `cbor:"8,keyasint"`
	Boot        BootID           `cbor:"9,keyasint"`
	Flapping    bool             `cbor:"10,keyasint"`
	Expired     int64            `cbor:"11,keyasint"` // when the lease ran out, 0 while it is held
}

func (m member) agent() view.Agent {
	return view.Agent{
		Incarnation: m.Incarnation, Service: m.Service, Zone: m.Zone,
		Data: m.Data, Peer: m.Peer, Weight: m.Weight, State: m.viewState(),
	}
}

func (m member) balancer() view.Balancer {
	return view.Balancer{Incarnation: m.Incarnation, Zone: m.Zone, Data: m.Data, Relay: m.Peer, State: m.viewState()}
}

// viewState returns the state in views, where a member without a lease is
// suspended.
func (m member) viewState() view.State {
	if m.Expired != 0 {
		return view.Suspended
	}

	return m.State
}

// activeElsewhere reports whether the member is in use for another service or
// role. The key of one service must not suffice to remove agents of another;
// once their lease has run out, their address is free.
func (m member) activeElsewhere(role Role, service view.ServiceID) bool {
	return m.Expired == 0 && m.State == view.Active && (m.Role != role || m.Service != service)
}

func (m member) result() Result {
	return Result{Incarnation: m.Incarnation, Weight: m.Weight, Flapping: m.Flapping}
}

// put inserts or updates a member and its indexes.
func (e *environment) put(m member) {
	if _, known := e.members[m.Incarnation]; !known && m.Role == RoleAgent {
		e.agents++
	}

	e.members[m.Incarnation] = m
	e.boots[m.Boot] = m.Incarnation
	e.addresses[m.Data] = m.Incarnation
	e.affected.members[m.Incarnation] = true
}

// remove drops a member that may announce again with its boot ID.
func (e *environment) remove(incarnation view.Incarnation) {
	old, ok := e.members[incarnation]
	if !ok {
		return
	}

	if old.Role == RoleAgent {
		e.agents--
	}

	delete(e.members, incarnation)
	delete(e.boots, old.Boot)
	delete(e.addresses, old.Data)
	e.affected.members[incarnation] = true
}

// end drops a member whose boot ID may not announce again.
func (e *environment) end(incarnation view.Incarnation) {
	e.ended.add(e.members[incarnation].Boot)
	e.remove(incarnation)
}

// leave starts draining a member or removes it. A repeated leave succeeds
// without effect.
func (e *environment) leave(command Leave) (Result, bool) {
	known, ok := e.members[command.Incarnation]
	result := Result{Incarnation: command.Incarnation}

	switch {
	case command.Phase != PhaseDraining && command.Phase != PhaseGone:
		return refuse(KindInvalid, "found phase %q, allowed: %s, %s", command.Phase, PhaseDraining, PhaseGone), false
	case !ok && command.Phase == PhaseGone && uint32(command.Incarnation) < e.nextIncarnation:
		return result, false // a resend, or it expired first
	case !ok:
		return refuse(KindUnknownMember, "incarnation %d is not announced in %s", command.Incarnation, e.name), false
	case command.Phase == PhaseGone:
		e.end(command.Incarnation)
		result.Removed = []view.Incarnation{command.Incarnation}

		return result, true
	case known.State == view.Draining:
		return result, false
	}

	known.State, known.Weight = view.Draining, 0
	e.put(known)

	return result, true
}

// expire suspends members whose leases ran out and removes those that have
// been suspended for keptSuspended.
func (e *environment) expire(at entry, command Expire) (Result, bool) {
	var result Result

	for _, incarnation := range command.Incarnations {
		known, ok := e.members[incarnation]
		if !ok || known.Expired != 0 {
			continue
		}

		known.Expired = max(at.now, 1)
		e.put(known)

		result.Removed = append(result.Removed, incarnation)
	}

	forgotten := e.forget(at.now)

	return result, forgotten || len(result.Removed) > 0
}

// forget removes the members that have been suspended for too long and reports
// whether there were any.
func (e *environment) forget(now int64) bool {
	var gone []view.Incarnation

	for incarnation, known := range e.members {
		if known.Expired != 0 && now > known.Expired && distance(known.Expired, now) >= uint64(keptSuspended) {
			gone = append(gone, incarnation)
		}
	}

	// The order decides which boot IDs are remembered longest, and replicas must agree.
	slices.Sort(gone)

	for _, incarnation := range gone {
		e.end(incarnation)
	}

	return len(gone) > 0
}

// setWeight changes the share of new flows of an agent that is not draining.
func (e *environment) setWeight(command SetWeight) (Result, bool) {
	known, ok := e.members[command.Incarnation]

	switch {
	case command.Weight > view.MaxWeight:
		return refuse(KindInvalid, "found weight %d, allowed: 0 to %d", command.Weight, view.MaxWeight), false
	case !ok || known.Role != RoleAgent:
		return refuse(KindUnknownMember, "incarnation %d is not an agent of %s", command.Incarnation, e.name), false
	case known.State == view.Draining:
		return refuse(KindDraining, "incarnation %d is draining", command.Incarnation), false
	case known.Weight == command.Weight:
		return known.result(), false
	}

	known.Weight = command.Weight
	e.put(known)

	return known.result(), true
}
