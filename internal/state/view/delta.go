package view

import (
	"cmp"
	"reflect"
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
	Keys             []Key         `cbor:"11,keyasint,omitempty"` // the whole ring, if it changed
}

// Diff returns the delta that leads from old to v.
func (v *View) Diff(old *View) Delta {
	delta := Delta{
		From:    old.Position(),
		To:      v.Position(),
		Version: v.Version(),
		Digest:  v.DocumentDigest(),
	}

	delta.Services, delta.RemovedServices = changes(old.Services(), v.Services(), serviceKey)
	delta.Agents, delta.RemovedAgents = changes(old.Agents(), v.Agents(), agentKey)
	delta.Balancers, delta.RemovedBalancers = changes(old.Balancers(), v.Balancers(), balancerKey)

	if !slices.Equal(old.Keys(), v.Keys()) {
		delta.Keys = v.Keys()
	}

	return delta
}

// Apply returns the view that the delta leads to. It refuses a delta that does
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

	keys := v.Keys()
	if delta.Keys != nil {
		keys = delta.Keys
	}

	return New(Contents{
		Environment: v.Environment(),
		Position:    delta.To,
		Version:     delta.Version,
		Digest:      delta.Digest,
		Services:    merge(v.Services(), delta.Services, delta.RemovedServices, serviceKey),
		Agents:      merge(v.Agents(), delta.Agents, delta.RemovedAgents, agentKey),
		Balancers:   merge(v.Balancers(), delta.Balancers, delta.RemovedBalancers, balancerKey),
		Keys:        keys,
	}), nil
}

func serviceKey(service Service) ServiceID      { return service.ID }
func agentKey(agent Agent) Incarnation          { return agent.Incarnation }
func balancerKey(balancer Balancer) Incarnation { return balancer.Incarnation }

// changes compares two lists sorted by key and returns the items of next that
// are new or different and the keys of old that are gone.
func changes[K cmp.Ordered, T any](old, next []T, key func(T) K) ([]T, []K) {
	var (
		upserted []T
		removed  []K
	)

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
			if !reflect.DeepEqual(old[i], next[j]) {
				upserted = append(upserted, next[j])
			}

			i++
			j++
		}
	}

	return upserted, removed
}

// merge returns a copy of items without the removed keys and with upserted in
// place of the items of the same keys.
func merge[K cmp.Ordered, T any](items, upserted []T, removed []K, key func(T) K) []T {
	replaced := make(map[K]bool, len(upserted)+len(removed))
	for _, item := range upserted {
		replaced[key(item)] = true
	}

	for _, k := range removed {
		replaced[k] = true
	}

	merged := make([]T, 0, len(items)+len(upserted))
	for _, item := range items {
		if !replaced[key(item)] {
			merged = append(merged, item)
		}
	}

	return append(merged, upserted...)
}
