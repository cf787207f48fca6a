package catalog

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"

	"jayspindle/internal/state/view"
)

// maxZoneBytes limits the name of an availability zone. It equals
// control.MaxName, which this lower layer cannot import.
const maxZoneBytes = 63

// announcedBy reports whether the member was added by this announcement or an
// earlier copy of it.
func (m member) announcedBy(command Announce, service view.ServiceID) bool {
	return m.Role == command.Role && m.Service == service && m.Zone == command.Zone &&
		m.Data == command.DataAddress && m.Peer == command.PeerAddress
}

// announce adds a member. A resend returns the incarnation of the first
// announcement. A new announcement for a data address in use replaces the member
// that has the address.
func (e *environment) announce(at entry, command Announce) (Result, bool) {
	if err := command.check(); err != nil {
		return refuse(KindInvalid, "%v", err), false
	}

	service, refusal := e.authenticate(command)
	if refusal != nil {
		return *refusal, false
	}

	if incarnation, ok := e.byBoot[command.Boot]; ok {
		if existing := e.members[incarnation]; existing.announcedBy(command, service) {
			return e.resume(existing)
		}

		return refuse(KindReused, "boot ID %x belongs to another announcement", command.Boot), false
	}

	if e.retired.set[command.Boot] {
		return refuse(KindSuperseded, "boot ID %x left or was replaced", command.Boot), false
	}

	previous, hasPrevious := e.byAddress[command.DataAddress]
	if previousMember := e.members[previous]; hasPrevious && previousMember.conflictsWith(command.Role, service) {
		return refuse(KindInUse, "address %s belongs to active incarnation %d of another service or role",
			command.DataAddress, previous), false
	}

	if refusal := e.checkCapacity(command.Role, previous); refusal != nil {
		return *refusal, false
	}

	added := member{
		Incarnation: view.Incarnation(e.nextIncarnation), Role: command.Role, Service: service, Zone: command.Zone,
		Data: command.DataAddress, Peer: command.PeerAddress, Weight: view.MaxWeight, State: view.Active, Boot: command.Boot,
	}

	if e.starts.detectFlapping(at.now, command.DataAddress) {
		added.Weight, added.Flapping = flapWeight, true
	}

	if hasPrevious {
		e.retire(previous)
	}

	e.nextIncarnation++
	e.put(added)

	result := added.result()
	if hasPrevious {
		result.Removed = []view.Incarnation{previous}
	}

	return result, true
}

// resume answers a resent announcement. A member whose lease had expired keeps
// its incarnation, so that its flows stay reachable.
func (e *environment) resume(existing member) (Result, bool) {
	if existing.Expired == 0 {
		return existing.result(), false
	}

	existing.Expired = 0
	e.put(existing)

	return existing.result(), true
}

// check refuses announcements with an unknown role, an invalid zone, no boot ID,
// or an address that is not a unicast IP address and port.
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

	for _, address := range []netip.AddrPort{a.DataAddress, a.PeerAddress} {
		ip := address.Addr()
		if !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" || address.Port() == 0 {
			return fmt.Errorf("found address %q, allowed: a unicast IP address and port", address)
		}
	}

	return nil
}

// authenticate returns the service of an agent whose announcement is signed with
// the service key. Balancers are authenticated by their link.
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

// checkCapacity refuses an announcement that would exceed the limit of its role,
// or any announcement once all incarnations are assigned. The member that it
// replaces is not counted.
func (e *environment) checkCapacity(role Role, replaced view.Incarnation) *Result {
	agents, balancers := e.agentCount, len(e.members)-e.agentCount

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
