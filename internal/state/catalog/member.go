package catalog

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/state/view"
)

// Bounds of the members of one environment, about twice the target size.
const (
	maxAgents    = 52_000
	maxBalancers = 4_800

	// keptEnded bounds the boot IDs that may not announce again. 5,700
	// restarts a day reach back almost three days; a late duplicate of an
	// announcement arrives within seconds.
	keptEnded = 16_384

	// keptStarts bounds the memory for the detection of flapping.
	keptStarts = 65_536

	// An address that starts flapStarts incarnations within flapWindow is
	// flapping: the new one starts with flapWeight and is ramped up, because a
	// backend server that crashes under load must not get its full share.
	flapStarts = 3
	flapWindow = 30 * time.Second
	flapWeight = 1

	// keptSuspended is how long a member is reachable for its established flows
	// after its lease ran out. A flow outlives most partitions, and 140 failures
	// a day leave about 6 dead members in the view.
	keptSuspended = time.Hour

	maxZoneBytes = 63
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
		Data: m.Data, Peer: m.Peer, Weight: m.Weight, State: m.shown(),
	}
}

func (m member) balancer() view.Balancer {
	return view.Balancer{Incarnation: m.Incarnation, Zone: m.Zone, Data: m.Data, Relay: m.Peer, State: m.shown()}
}

// shown returns the state in views.
func (m member) shown() view.State {
	if m.Expired != 0 {
		return view.Suspended
	}

	return m.State
}

// announced reports whether the member came from an announcement like this.
func (m member) announced(command Announce, service view.ServiceID) bool {
	return m.Role == command.Role && m.Service == service && m.Zone == command.Zone &&
		m.Data == command.Data && m.Peer == command.Peer
}

func (m member) result() Result {
	return Result{Incarnation: m.Incarnation, Weight: m.Weight, Flapping: m.Flapping}
}

// start is the time at which a data address announced an incarnation.
type start struct {
	Data netip.AddrPort `cbor:"1,keyasint"`
	Time int64          `cbor:"2,keyasint"`
}

// ended remembers the boot IDs that left or were replaced, oldest first. A
// late duplicate of their announcement must not replace a newer incarnation.
type ended struct {
	order []BootID
	set   map[BootID]bool
}

func (e *ended) add(boot BootID) {
	e.order = append(e.order, boot)
	e.set[boot] = true

	if len(e.order) > keptEnded {
		delete(e.set, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *environment) announce(at entry, command Announce) (Result, bool) {
	if err := command.check(); err != nil {
		return refuse(KindInvalid, "%v", err), false
	}

	service, refusal := e.authenticate(command)
	if refusal != nil {
		return *refusal, false
	}

	if incarnation, ok := e.boots[command.Boot]; ok {
		if known := e.members[incarnation]; known.announced(command, service) {
			return e.resume(known)
		}

		return refuse(KindReused, "boot ID %x belongs to another announcement", command.Boot), false
	}

	if e.ended.set[command.Boot] {
		return refuse(KindSuperseded, "boot ID %x left or was replaced", command.Boot), false
	}

	replaced, replaces := e.addresses[command.Data]
	if refusal := e.checkRoom(command.Role, replaced); refusal != nil {
		return *refusal, false
	}

	added := member{
		Incarnation: view.Incarnation(e.nextIncarnation), Role: command.Role, Service: service, Zone: command.Zone,
		Data: command.Data, Peer: command.Peer, Weight: view.MaxWeight, State: view.Active, Boot: command.Boot,
	}

	if e.starts.flaps(at.now, command.Data) {
		added.Weight, added.Flapping = flapWeight, true
	}

	if replaces {
		e.end(replaced)
	}

	e.nextIncarnation++
	e.put(added)

	result := added.result()
	if replaces {
		result.Removed = []view.Incarnation{replaced}
	}

	return result, true
}

// resume answers a repeated announcement. A member whose lease had run out
// goes on under its incarnation, so that its flows stay reachable.
func (e *environment) resume(known member) (Result, bool) {
	if known.Expired == 0 {
		return known.result(), false
	}

	known.Expired = 0
	e.put(known)

	return known.result(), true
}

// check refuses announcements that no instance could use.
func (a Announce) check() error {
	if a.Role != RoleAgent && a.Role != RoleBalancer {
		return fmt.Errorf("found role %q, allowed: %s, %s", a.Role, RoleAgent, RoleBalancer)
	}

	if len(a.Zone) > maxZoneBytes || !validID(a.Zone) {
		return fmt.Errorf("found availability zone %q, allowed: 1 to %d printable ASCII characters", a.Zone, maxZoneBytes)
	}

	if a.Boot == (BootID{}) {
		return fmt.Errorf("found boot ID %x, allowed: a random one", a.Boot)
	}

	for _, address := range []netip.AddrPort{a.Data, a.Peer} {
		ip := address.Addr()
		if !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || address.Port() == 0 {
			return fmt.Errorf("found address %q, allowed: a unicast IP address and port", address)
		}
	}

	return nil
}

// authenticate returns the service of an agent that proved with the service
// key that it may serve. Balancers are authenticated by their link.
func (e *environment) authenticate(command Announce) (view.ServiceID, *Result) {
	var refusal Result

	if command.Role == RoleBalancer {
		if command.Service == "" {
			return 0, nil
		}

		refusal = refuse(KindInvalid, "found service %q for a balancer, allowed: none", command.Service)

		return 0, &refusal
	}

	service, ok := e.service(command.Service)
	if !ok {
		refusal = refuse(KindUnknownService, "service %q is not in the accepted document of %s", command.Service, e.name)

		return 0, &refusal
	}

	if len(service.PublicKey) != ed25519.PublicKeySize ||
		!ed25519.Verify(service.PublicKey, command.SignedText(), command.Signature) {
		refusal = refuse(KindSignature, "the announcement is not signed with the key of service %q", command.Service)

		return 0, &refusal
	}

	return service.ID, nil
}

// checkRoom refuses an announcement beyond the bounds. The member that it
// replaces makes room.
func (e *environment) checkRoom(role Role, replaced view.Incarnation) *Result {
	agents, balancers := e.agents, len(e.members)-e.agents

	if old, ok := e.members[replaced]; ok && old.Role == RoleAgent {
		agents--
	} else if ok {
		balancers--
	}

	full := role == RoleAgent && agents >= maxAgents || role == RoleBalancer && balancers >= maxBalancers
	if !full && e.nextIncarnation != 0 {
		return nil
	}

	refusal := refuse(KindFull, "found %d agents and %d balancers, allowed: at most %d and %d",
		agents, balancers, maxAgents, maxBalancers)

	return &refusal
}

// starts remembers the recent starts, oldest first.
type starts struct {
	order  []start
	byData map[netip.AddrPort][]int64 // times, oldest first
}

func (s *starts) add(added start) {
	s.order = append(s.order, added)
	s.byData[added.Data] = append(s.byData[added.Data], added.Time)
}

func (s *starts) dropOldest() {
	data := s.order[0].Data
	s.order = s.order[1:]

	if s.byData[data] = s.byData[data][1:]; len(s.byData[data]) == 0 {
		delete(s.byData, data)
	}
}

// flaps records a start and reports whether the address started too often.
// Times of different leaders can be out of order, so their distance counts.
func (s *starts) flaps(now int64, data netip.AddrPort) bool {
	for len(s.order) > 0 && (len(s.order) >= keptStarts || distance(s.order[0].Time, now) >= uint64(flapWindow)) {
		s.dropOldest()
	}

	count := 1

	for _, earlier := range s.byData[data] {
		if distance(earlier, now) < uint64(flapWindow) {
			count++
		}
	}

	s.add(start{Data: data, Time: now})

	return count >= flapStarts
}

// distance cannot overflow, as times come from outside.
func distance(a, b int64) uint64 {
	return uint64(max(a, b)) - uint64(min(a, b))
}

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
		if known.Expired != 0 && now-known.Expired >= int64(keptSuspended) {
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

const (
	// keyIDs is the number of key IDs. Receivers tell IDs apart modulo 64.
	keyIDs = 64
	// keptKeys is the number of fabric keys in a view. Receivers need the newest
	// three while a rotation spreads; connection IDs of long feeds need the key
	// that was in use when their flow began.
	keptKeys = 8
)

func (e *environment) rotateKey(command RotateKey) (Result, bool) {
	resent := len(e.keys) > 0 && e.keys[0].Secret == command.Secret && command.Rotation+1 == e.rotations

	switch {
	case resent:
		return e.keyResult(), false
	case command.Secret == [32]byte{}:
		return refuse(KindInvalid, "found an empty secret, allowed: 32 random bytes"), false
	case command.Rotation != e.rotations:
		return refuse(KindConflict, "found rotation %d, allowed: %d", command.Rotation, e.rotations), false
	case slices.ContainsFunc(e.keys, func(key view.Key) bool { return key.Secret == command.Secret }):
		return refuse(KindReused, "the secret is already in use"), false
	}

	newest := view.Key{ID: uint8(e.rotations % keyIDs), Secret: command.Secret}
	e.keys = append([]view.Key{newest}, e.keys[:min(len(e.keys), keptKeys-1)]...)
	e.rotations++
	e.affected.keys = true

	return e.keyResult(), true
}

func (e *environment) keyResult() Result {
	return Result{Rotation: e.rotations, KeyID: e.keys[0].ID}
}
