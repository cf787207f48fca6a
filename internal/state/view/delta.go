package view

import (
	"cmp"
	"slices"

	"github.com/juju/errors"
)

// Delta is the difference between two views of one environment.
type Delta struct {
	From             Position      `cbor:"1,keyasint"`
	To               Position      `cbor:"2,keyasint"`
	Version          uint64        `cbor:"3,keyasint"`
	Digest           [32]byte      `cbor:"4,keyasint"`
	Services         []Service     `cbor:"5,keyasint,omitempty"` // added or changed
	RemovedServices  []ServiceID   `cbor:"6,keyasint,omitempty"`
	Agents           []Agent       `cbor:"7,keyasint,omitempty"` // added or changed
	RemovedAgents    []Incarnation `cbor:"8,keyasint,omitempty"`
	Balancers        []Balancer    `cbor:"9,keyasint,omitempty"` // added or changed
	RemovedBalancers []Incarnation `cbor:"10,keyasint,omitempty"`
	Keys             []Key         `cbor:"11,keyasint,omitempty"` // all keys, if any of them changed
}

// Diff returns the delta that leads from old to v.
func (v *View) Diff(old *View) Delta {
	delta := Delta{
		From:    old.Position(),
		To:      v.Position(),
		Version: v.Version(),
		Digest:  v.DocumentDigest(),
	}

	delta.Services, delta.RemovedServices = diffSorted(old.Services(), v.Services(), serviceKey, Service.Equal)
	delta.Agents, delta.RemovedAgents = diffSorted(old.Agents(), v.Agents(), agentKey, equal[Agent])
	delta.Balancers, delta.RemovedBalancers = diffSorted(old.Balancers(), v.Balancers(), balancerKey, equal[Balancer])

	if !slices.Equal(old.Keys(), v.Keys()) {
		delta.Keys = v.Keys()
	}

	return delta
}

// Apply returns the view that results from the delta. It refuses a delta that does
// not start at v's position and one that would lower the position.
func (v *View) Apply(delta Delta) (*View, error) {
	if delta.From != v.Position() {
		return nil, newError("apply delta", KindGap,
			errors.Errorf("delta starts at %s, the view is at %s", delta.From, v.Position()))
	}

	if delta.To.Less(v.Position()) {
		return nil, newError("apply delta", KindReversal,
			errors.Errorf("delta leads to %s, the view is already at %s", delta.To, v.Position()))
	}

	next := &View{contents: v.contents, byName: v.byName, byService: v.byService, sums: v.sums}
	next.contents.Position = delta.To
	next.contents.Version = delta.Version
	next.contents.Digest = delta.Digest

	if delta.Keys != nil {
		next.contents.Keys = delta.Keys
	}

	if len(delta.Services)+len(delta.RemovedServices) > 0 {
		next.contents.Services = mergeWithSum(
			v.Services(), delta.Services, delta.RemovedServices, serviceKey, &next.sums.services)
		next.byName = indexNames(next.contents.Services)
	}

	if len(delta.Agents)+len(delta.RemovedAgents) > 0 {
		next.contents.Agents = mergeWithSum(v.Agents(), delta.Agents, delta.RemovedAgents, agentKey, &next.sums.agents)
		next.byService = v.agentIndexAfter(delta)
	}

	if len(delta.Balancers)+len(delta.RemovedBalancers) > 0 {
		next.contents.Balancers = mergeWithSum(
			v.Balancers(), delta.Balancers, delta.RemovedBalancers, balancerKey, &next.sums.balancers)
	}

	return next, nil
}

// agentIndexAfter returns the index of agents after the delta. An agent that moves
// to another service is removed from its former one.
func (v *View) agentIndexAfter(delta Delta) *agentIndex {
	upserted := make(map[ServiceID][]Agent)
	removed := make(map[ServiceID][]Incarnation)

	for _, agent := range delta.Agents {
		upserted[agent.Service] = append(upserted[agent.Service], agent)

		if old, ok := v.Agent(agent.Incarnation); ok && old.Service != agent.Service {
			removed[old.Service] = append(removed[old.Service], agent.Incarnation)
		}
	}

	for _, incarnation := range delta.RemovedAgents {
		if old, ok := v.Agent(incarnation); ok {
			removed[old.Service] = append(removed[old.Service], incarnation)
		}
	}

	return v.byService.apply(upserted, removed)
}

// mergeWithSum returns the merged list and updates the sum of its hashes.
func mergeWithSum[K cmp.Ordered, T any](items, upserted []T, removed []K, key func(T) K, sum *uint64) []T {
	for _, item := range upserted {
		if old, ok := find(items, key(item), key); ok {
			*sum -= hashSum([]T{old})
		}
	}

	for _, k := range removed {
		if old, ok := find(items, k, key); ok {
			*sum -= hashSum([]T{old})
		}
	}

	*sum += hashSum(upserted)

	return merge(items, upserted, removed, key)
}

func serviceKey(service Service) ServiceID      { return service.ID }
func agentKey(agent Agent) Incarnation          { return agent.Incarnation }
func balancerKey(balancer Balancer) Incarnation { return balancer.Incarnation }

func equal[T comparable](a, b T) bool { return a == b }

// diffSorted compares two lists sorted by key and returns the items of next that
// are added or changed and the keys of the removed ones.
func diffSorted[K cmp.Ordered, T any](old, next []T, key func(T) K, same func(a, b T) bool) ([]T, []K) {
	var (
		upserted []T
		removed  []K
	)

	if len(old) == len(next) && (len(old) == 0 || &old[0] == &next[0]) {
		return nil, nil // both views share one list
	}

	i, j := 0, 0
	for i < len(old) || j < len(next) {
		switch {
		case j == len(next) || (i < len(old) && key(old[i]) < key(next[j])):
			removed = append(removed, key(old[i]))
			i++
		case i == len(old) || key(next[j]) < key(old[i]):
			upserted = append(upserted, next[j])
			j++
		default:
			if !same(old[i], next[j]) {
				upserted = append(upserted, next[j])
			}

			i++
			j++
		}
	}

	return upserted, removed
}

// merge returns a copy of sorted items without the removed keys and with the
// upserted items added or replaced. It copies the ranges between changes as
// blocks.
func merge[K cmp.Ordered, T any](items, upserted []T, removed []K, key func(T) K) []T {
	type edit struct {
		key    K
		insert bool
		item   T
	}

	edits := make([]edit, 0, len(upserted)+len(removed))
	for _, k := range removed {
		edits = append(edits, edit{key: k})
	}

	for _, item := range upserted {
		edits = append(edits, edit{key: key(item), insert: true, item: item})
	}

	slices.SortStableFunc(edits, func(a, b edit) int { return cmp.Compare(a.key, b.key) })

	merged := make([]T, 0, len(items)+len(upserted))

	for n, next := range edits {
		i, found := slices.BinarySearchFunc(items, next.key, func(item T, k K) int { return cmp.Compare(key(item), k) })
		merged = append(merged, items[:i]...)

		if found {
			i++
		}

		items = items[i:]

		// The last edit of a key wins, so that a key cannot be added twice.
		if next.insert && (n+1 == len(edits) || edits[n+1].key != next.key) {
			merged = append(merged, next.item)
		}
	}

	return append(merged, items...)
}
