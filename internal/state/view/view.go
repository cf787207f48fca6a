// Package view defines the state of one environment that every instance applies:
// its services, agents, balancers and fabric keys at one position of the
// replicated log.
//
// # Usage
//
// The catalog builds a View with New from its own tables. Instances receive
// deltas and apply them:
//
//	next, err := current.Apply(delta)
//	if err != nil {
//		// Ask for a full view: the delta does not start at this position.
//	}
//	published.Store(next)
//
// A View is immutable, so traffic goroutines can read it without locks. The
// item types have exported fields because the CBOR codec needs them.
package view

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Contents holds the items of a view. New takes ownership of its slices.
type Contents struct {
	Environment string     `cbor:"1,keyasint"`
	Position    Position   `cbor:"2,keyasint"`
	Version     uint64     `cbor:"3,keyasint"` // of the accepted document
	Digest      [32]byte   `cbor:"4,keyasint"` // SHA-256 of the accepted document
	Services    []Service  `cbor:"5,keyasint"`
	Agents      []Agent    `cbor:"6,keyasint"`
	Balancers   []Balancer `cbor:"7,keyasint"`
	Keys        []Key      `cbor:"8,keyasint"` // newest first
}

// View is the immutable state of one environment. A view returned by Apply shares
// unchanged lists and indexes with its predecessor.
type View struct {
	contents  Contents
	byName    map[string]ServiceID
	byService *agentIndex
	sums      hashSums
}

// New returns a view of the given contents, with its items in canonical order.
func New(contents Contents) *View {
	slices.SortFunc(contents.Services, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(contents.Agents, func(a, b Agent) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	slices.SortFunc(contents.Balancers, func(a, b Balancer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })

	return &View{
		contents:  contents,
		byName:    indexNames(contents.Services),
		byService: new(agentIndex).withAgents(contents.Agents),
		sums: hashSums{
			services:  hashSum(contents.Services),
			agents:    hashSum(contents.Agents),
			balancers: hashSum(contents.Balancers),
		},
	}
}

func indexNames(services []Service) map[string]ServiceID {
	names := make(map[string]ServiceID, len(services))
	for _, service := range services {
		names[service.Name] = service.ID
	}

	return names
}

// Environment returns the name of the environment, "trial" or "production".
func (v *View) Environment() string { return v.contents.Environment }

// Position returns the position of the view in the replicated log.
func (v *View) Position() Position { return v.contents.Position }

// Version returns the version of the accepted document, 0 before the first.
func (v *View) Version() uint64 { return v.contents.Version }

// DocumentDigest returns the SHA-256 of the accepted document.
func (v *View) DocumentDigest() [32]byte { return v.contents.Digest }

// Services returns all services, sorted by ID. The caller must not modify the
// slice.
func (v *View) Services() []Service { return v.contents.Services }

// Agents returns all agents, sorted by incarnation. The caller must not modify
// the slice.
func (v *View) Agents() []Agent { return v.contents.Agents }

// Balancers returns all balancers, sorted by incarnation. The caller must not
// modify the slice.
func (v *View) Balancers() []Balancer { return v.contents.Balancers }

// Keys returns the fabric keys, newest first. The caller must not modify the
// slice.
func (v *View) Keys() []Key { return v.contents.Keys }

// Digest returns the xxhash64 of the canonical encoding, without the position:
// a log entry can advance the position without changing an item. Services, agents
// and balancers are each included as the sum of the hashes of their items.
func (v *View) Digest() uint64 { return v.sums.digest(v.contents) }

// Service returns the service with the given ID.
func (v *View) Service(id ServiceID) (Service, bool) {
	return find(v.contents.Services, id, serviceKey)
}

// ServiceByName returns the service with the given name.
func (v *View) ServiceByName(name string) (Service, bool) {
	id, ok := v.byName[name]
	if !ok {
		return Service{}, false
	}

	return v.Service(id)
}

// Agent returns the agent with the given incarnation.
func (v *View) Agent(incarnation Incarnation) (Agent, bool) {
	return find(v.contents.Agents, incarnation, agentKey)
}

// Balancer returns the balancer with the given incarnation.
func (v *View) Balancer(incarnation Incarnation) (Balancer, bool) {
	return find(v.contents.Balancers, incarnation, balancerKey)
}

// find returns the item with the given key from a list sorted by key.
func find[K cmp.Ordered, T any](items []T, key K, keyOf func(T) K) (T, bool) {
	i, ok := slices.BinarySearchFunc(items, key, func(item T, key K) int { return cmp.Compare(keyOf(item), key) })
	if !ok {
		var zero T

		return zero, false
	}

	return items[i], true
}

// AgentsOf returns the agents of a service, sorted by incarnation. The caller must
// not modify the slice.
func (v *View) AgentsOf(service ServiceID) []Agent { return v.byService.agents(service) }

// MarshalBinary encodes the view as canonical CBOR.
func (v *View) MarshalBinary() ([]byte, error) {
	encoded, err := canonical.Marshal(v.contents)
	if err != nil {
		return nil, newError("encode", KindEncoding, err)
	}

	return encoded, nil
}

// Decode decodes a view that MarshalBinary encoded.
func Decode(encoded []byte) (*View, error) {
	var contents Contents
	if err := cbor.Unmarshal(encoded, &contents); err != nil {
		return nil, newError("decode", KindEncoding, err)
	}

	view := New(contents)
	if err := checkUnique(view.contents); err != nil {
		return nil, newError("decode", KindEncoding, err)
	}

	return view, nil
}

// checkUnique returns an error if two items have the same key: lookups and deltas
// could not distinguish them.
func checkUnique(contents Contents) error {
	if !isStrictlySorted(contents.Services, serviceKey) ||
		!isStrictlySorted(contents.Agents, agentKey) ||
		!isStrictlySorted(contents.Balancers, balancerKey) {
		return fmt.Errorf("two items of environment %q have the same key", contents.Environment)
	}

	return nil
}

func isStrictlySorted[K cmp.Ordered, T any](items []T, keyOf func(T) K) bool {
	for i := 1; i < len(items); i++ {
		if keyOf(items[i-1]) >= keyOf(items[i]) {
			return false
		}
	}

	return true
}

// canonical encodes equal contents to equal bytes, so that digests agree. It
// encodes a nil list like an empty one: decoding and building a view may yield
// either.
var canonical = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.NilContainers = cbor.NilContainerAsEmpty

	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}

	return mode
}()
