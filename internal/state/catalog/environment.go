package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"

	"jayspindle/internal/state/view"
)

// environment holds the services, members and fabric keys of one environment.
type environment struct {
	name            string
	index           uint64         // of the last entry that changed the view
	nextServiceID   uint32         // next ID to assign
	nextIncarnation uint32         // next incarnation to assign
	services        []view.Service // by ID
	byName          map[string]int // indexes into services
	members         map[view.Incarnation]member
	byBoot          map[BootID]view.Incarnation
	byAddress       map[netip.AddrPort]view.Incarnation // by data address
	agentCount      int
	retired         retiredBoots
	starts          starts
	keys            []view.Key // newest first
	rotations       uint64

	current        *view.View // nil until the first view after a start or restore
	pendingChanges viewChanges
}

// viewChanges lists what has changed since the current view was built.
type viewChanges struct {
	services map[view.ServiceID]bool
	members  map[view.Incarnation]bool
	keys     bool
}

func newEnvironment(name string) *environment {
	return &environment{
		name:            name,
		nextServiceID:   1,
		nextIncarnation: 1,
		members:         map[view.Incarnation]member{},
		byBoot:          map[BootID]view.Incarnation{},
		byAddress:       map[netip.AddrPort]view.Incarnation{},
		retired:         retiredBoots{set: map[BootID]bool{}},
		starts:          starts{byData: map[netip.AddrPort][]int64{}},
		pendingChanges:  newViewChanges(),
	}
}

func newViewChanges() viewChanges {
	return viewChanges{services: map[view.ServiceID]bool{}, members: map[view.Incarnation]bool{}}
}

// checkServices refuses services that change the buckets of a service in force, or
// that need more IDs than are left.
func (e *environment) checkServices(services []view.Service) error {
	added := uint32(0)

	for _, service := range services {
		old, ok := e.service(service.Name)
		if !ok {
			added++

			continue
		}

		// Agents and balancers place flows by bucket, so another number would
		// move the flows of a running service.
		if old.Buckets != service.Buckets {
			return fmt.Errorf("service %q: found %d buckets, allowed: %d, as in the version in force",
				service.Name, service.Buckets, old.Buckets)
		}
	}

	if e.nextServiceID+added > math.MaxUint16+1 {
		return fmt.Errorf("found %d new services, allowed: %d, because IDs are never reused",
			added, math.MaxUint16+1-e.nextServiceID)
	}

	return nil
}

func (e *environment) service(name string) (view.Service, bool) {
	i, ok := e.byName[name]
	if !ok {
		return view.Service{}, false
	}

	return e.services[i], true
}

// indexServices sorts the services by ID and indexes their names.
func (e *environment) indexServices(services []view.Service) {
	slices.SortFunc(services, func(a, b view.Service) int { return cmp.Compare(a.ID, b.ID) })

	e.services = services
	e.byName = make(map[string]int, len(services))

	for i := range services {
		e.byName[services[i].Name] = i
	}
}

// setServices puts services in force. A service whose name is in force keeps its
// ID. The agents of removed services are removed.
func (e *environment) setServices(services []view.Service) {
	next := slices.Clone(services)
	kept := make(map[view.ServiceID]bool, len(next))

	for i := range next {
		old, ok := e.service(next[i].Name)
		if ok {
			next[i].ID = old.ID
			kept[old.ID] = true
		} else {
			next[i].ID = view.ServiceID(e.nextServiceID)
			e.nextServiceID++
		}

		if !ok || !old.Equal(next[i]) {
			e.pendingChanges.services[next[i].ID] = true
		}
	}

	for _, old := range e.services {
		if !kept[old.ID] {
			e.pendingChanges.services[old.ID] = true
		}
	}

	for incarnation, member := range e.members {
		if member.Role == RoleAgent && !kept[member.Service] {
			e.remove(incarnation)
		}
	}

	e.indexServices(next)
}

// view returns the current view. It applies the changes since the previous view, or
// builds the view from the whole state if there is none.
func (e *environment) view(generation, version uint64, digest [32]byte) *view.View {
	position := view.Position{Generation: generation, Index: e.index}

	if e.current != nil && e.current.Position() == position {
		return e.current
	}

	if e.current == nil {
		e.current = e.build(position, version, digest)
		e.pendingChanges = newViewChanges()

		return e.current
	}

	next, err := e.current.Apply(e.delta(position, version, digest))
	if err != nil {
		panic(err) // the delta starts at the current view and the index rose
	}

	e.current = next
	e.pendingChanges = newViewChanges()

	return e.current
}

func (e *environment) build(position view.Position, version uint64, digest [32]byte) *view.View {
	contents := view.Contents{
		Environment: e.name, Position: position, Version: version, Digest: digest,
		Services: slices.Clone(e.services), Keys: slices.Clone(e.keys),
	}

	for _, member := range e.members {
		if member.Role == RoleAgent {
			contents.Agents = append(contents.Agents, member.agent())
		} else {
			contents.Balancers = append(contents.Balancers, member.balancer())
		}
	}

	return view.New(contents)
}

func (e *environment) delta(position view.Position, version uint64, digest [32]byte) view.Delta {
	delta := view.Delta{From: e.current.Position(), To: position, Version: version, Digest: digest}

	for id := range e.pendingChanges.services {
		i, ok := slices.BinarySearchFunc(e.services, id, func(s view.Service, id view.ServiceID) int {
			return cmp.Compare(s.ID, id)
		})
		if ok {
			delta.Services = append(delta.Services, e.services[i])
		} else {
			delta.RemovedServices = append(delta.RemovedServices, id)
		}
	}

	for _, incarnation := range slices.Sorted(maps.Keys(e.pendingChanges.members)) {
		member, ok := e.members[incarnation]
		_, wasAgent := e.current.Agent(incarnation)
		_, wasBalancer := e.current.Balancer(incarnation)

		switch {
		case ok && member.Role == RoleAgent:
			delta.Agents = append(delta.Agents, member.agent())
		case ok:
			delta.Balancers = append(delta.Balancers, member.balancer())
		case wasAgent:
			delta.RemovedAgents = append(delta.RemovedAgents, incarnation)
		case wasBalancer:
			delta.RemovedBalancers = append(delta.RemovedBalancers, incarnation)
		}
	}

	if e.pendingChanges.keys {
		delta.Keys = slices.Clone(e.keys)
	}

	return delta
}
