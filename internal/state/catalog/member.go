package catalog

import (
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/state/view"
)

const (
	// Limits on the members of one environment, about twice the target size.
	maxAgents    = 52_000
	maxBalancers = 4_800

	// suspensionTTL is how long a member stays reachable for its established flows
	// after its lease expired. Most partitions end within this time, so their
	// flows survive, and 140 failures a day leave about 6 dead members in the view.
	suspensionTTL = time.Hour
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
	Expired     int64            `cbor:"11,keyasint"` // Unix nanoseconds when the lease expired, 0 while it is valid
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

// viewState returns the state that views show. A member whose lease has expired is
// shown as suspended.
func (m member) viewState() view.State {
	if m.Expired != 0 {
		return view.Suspended
	}

	return m.State
}

// conflictsWith reports whether the member is active under another service or
// role, so that its address cannot be taken over. The key of one service must not
// suffice to remove agents of another. Once their lease has expired, their address
// is free.
func (m member) conflictsWith(role Role, service view.ServiceID) bool {
	return m.Expired == 0 && m.State == view.Active && (m.Role != role || m.Service != service)
}

func (m member) result() Result {
	return Result{Incarnation: m.Incarnation, Weight: m.Weight, Flapping: m.Flapping}
}

// put inserts or updates a member and its indexes.
func (e *environment) put(m member) {
	if _, known := e.members[m.Incarnation]; !known && m.Role == RoleAgent {
		e.agentCount++
	}

	e.members[m.Incarnation] = m
	e.byBoot[m.Boot] = m.Incarnation
	e.byAddress[m.Data] = m.Incarnation
	e.pendingChanges.members[m.Incarnation] = true
}

// remove removes a member, which may announce again with its boot ID.
func (e *environment) remove(incarnation view.Incarnation) {
	old, ok := e.members[incarnation]
	if !ok {
		return
	}

	if old.Role == RoleAgent {
		e.agentCount--
	}

	delete(e.members, incarnation)
	delete(e.byBoot, old.Boot)
	delete(e.byAddress, old.Data)
	e.pendingChanges.members[incarnation] = true
}

// retire removes a member and refuses later announcements with its boot ID.
func (e *environment) retire(incarnation view.Incarnation) {
	e.retired.add(e.members[incarnation].Boot)
	e.remove(incarnation)
}

// leave starts draining a member or removes it. A resend succeeds without effect.
func (e *environment) leave(command Leave) (Result, bool) {
	existing, ok := e.members[command.Incarnation]
	result := Result{Incarnation: command.Incarnation}

	switch {
	case command.Phase != PhaseDraining && command.Phase != PhaseRemoved:
		return refuse(KindInvalid, "found phase %q, allowed: %s, %s", command.Phase, PhaseDraining, PhaseRemoved), false
	case !ok && command.Phase == PhaseRemoved && uint32(command.Incarnation) < e.nextIncarnation:
		return result, false // a resend, or removed after its lease expired
	case !ok:
		return refuse(KindUnknownMember, "incarnation %d is not announced in %s", command.Incarnation, e.name), false
	case command.Phase == PhaseRemoved:
		e.retire(command.Incarnation)
		result.Removed = []view.Incarnation{command.Incarnation}

		return result, true
	case existing.State == view.Draining:
		return result, false
	}

	existing.State, existing.Weight = view.Draining, 0
	e.put(existing)

	return result, true
}

// expire suspends members whose leases have expired and removes those that have
// been suspended for suspensionTTL.
func (e *environment) expire(at entry, command Expire) (Result, bool) {
	var result Result

	for _, incarnation := range command.Incarnations {
		existing, ok := e.members[incarnation]
		if !ok || existing.Expired != 0 {
			continue
		}

		existing.Expired = max(at.now, 1)
		e.put(existing)

		result.Removed = append(result.Removed, incarnation)
	}

	removed := e.removeSuspended(at.now)

	return result, removed || len(result.Removed) > 0
}

// removeSuspended removes the members that have been suspended for suspensionTTL
// and reports whether there were any.
func (e *environment) removeSuspended(now int64) bool {
	var overdue []view.Incarnation

	for incarnation, m := range e.members {
		if m.Expired != 0 && now > m.Expired && distance(m.Expired, now) >= uint64(suspensionTTL) {
			overdue = append(overdue, incarnation)
		}
	}

	// The order decides which boot IDs are dropped first, and replicas must agree.
	slices.Sort(overdue)

	for _, incarnation := range overdue {
		e.retire(incarnation)
	}

	return len(overdue) > 0
}

// setWeight changes the share of new flows of an agent that is not draining.
func (e *environment) setWeight(command SetWeight) (Result, bool) {
	existing, ok := e.members[command.Incarnation]

	switch {
	case command.Weight > view.MaxWeight:
		return refuse(KindInvalid, "found weight %d, allowed: 0 to %d", command.Weight, view.MaxWeight), false
	case !ok || existing.Role != RoleAgent:
		return refuse(KindUnknownMember, "incarnation %d is not an agent of %s", command.Incarnation, e.name), false
	case existing.State == view.Draining:
		return refuse(KindDraining, "incarnation %d is draining", command.Incarnation), false
	case existing.Weight == command.Weight:
		return existing.result(), false
	}

	existing.Weight = command.Weight
	e.put(existing)

	return existing.result(), true
}
