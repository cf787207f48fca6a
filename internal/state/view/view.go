// Package view is the picture of one environment that every instance applies:
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
	"slices"

	"github.com/cespare/xxhash/v2"
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

// View is the immutable state of one environment.
type View struct {
	contents   Contents
	services   map[ServiceID]int
	byName     map[string]int
	agents     map[Incarnation]int
	balancers  map[Incarnation]int
	byService  map[ServiceID][]Agent
	checkpoint uint64
}

// New returns a view of the given contents, with its items in canonical order.
func New(contents Contents) *View {
	slices.SortFunc(contents.Services, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(contents.Agents, func(a, b Agent) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	slices.SortFunc(contents.Balancers, func(a, b Balancer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })

	view := &View{
		contents:  contents,
		services:  make(map[ServiceID]int, len(contents.Services)),
		byName:    make(map[string]int, len(contents.Services)),
		agents:    make(map[Incarnation]int, len(contents.Agents)),
		balancers: make(map[Incarnation]int, len(contents.Balancers)),
		byService: make(map[ServiceID][]Agent, len(contents.Services)),
	}

	for i, service := range contents.Services {
		view.services[service.ID] = i
		view.byName[service.Name] = i
	}

	for i, agent := range contents.Agents {
		view.agents[agent.Incarnation] = i
		view.byService[agent.Service] = append(view.byService[agent.Service], agent)
	}

	for i, balancer := range contents.Balancers {
		view.balancers[balancer.Incarnation] = i
	}

	view.checkpoint = digest(contents)

	return view
}

// digest hashes the canonical encoding of everything but the position: an
// entry can move the position without changing an item.
func digest(contents Contents) uint64 {
	contents.Position = Position{}

	encoded, err := canonical.Marshal(contents)
	if err != nil {
		// Contents consists of plain values only, so encoding cannot fail.
		panic(err)
	}

	return xxhash.Sum64(encoded)
}

// Environment returns the name of the environment, "trial" or "production".
func (v *View) Environment() string { return v.contents.Environment }

// Position returns the position of the view in the replicated log.
func (v *View) Position() Position { return v.contents.Position }

// Version returns the version of the accepted document, 0 before the first.
func (v *View) Version() uint64 { return v.contents.Version }

// DocumentDigest returns the SHA-256 of the accepted document.
func (v *View) DocumentDigest() [32]byte { return v.contents.Digest }

// Services returns all services by rising ID. The caller must not change it.
func (v *View) Services() []Service { return v.contents.Services }

// Agents returns all agents by rising incarnation. The caller must not change it.
func (v *View) Agents() []Agent { return v.contents.Agents }

// Balancers returns all balancers by rising incarnation. The caller must not change it.
func (v *View) Balancers() []Balancer { return v.contents.Balancers }

// Keys returns the fabric keys, newest first. The caller must not change it.
func (v *View) Keys() []Key { return v.contents.Keys }

// Digest returns the xxhash64 of the canonical encoding, without the position.
func (v *View) Digest() uint64 { return v.checkpoint }

// Service returns the service with the given ID.
func (v *View) Service(id ServiceID) (Service, bool) {
	i, ok := v.services[id]
	if !ok {
		return Service{}, false
	}

	return v.contents.Services[i], true
}

// ServiceByName returns the service with the given name.
func (v *View) ServiceByName(name string) (Service, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Service{}, false
	}

	return v.contents.Services[i], true
}

// Agent returns the agent with the given incarnation.
func (v *View) Agent(incarnation Incarnation) (Agent, bool) {
	i, ok := v.agents[incarnation]
	if !ok {
		return Agent{}, false
	}

	return v.contents.Agents[i], true
}

// Balancer returns the balancer with the given incarnation.
func (v *View) Balancer(incarnation Incarnation) (Balancer, bool) {
	i, ok := v.balancers[incarnation]
	if !ok {
		return Balancer{}, false
	}

	return v.contents.Balancers[i], true
}

// AgentsOf returns the agents of a service by rising incarnation. The caller
// must not change it.
func (v *View) AgentsOf(service ServiceID) []Agent { return v.byService[service] }

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

	return New(contents), nil
}

// canonical encodes equal contents to equal bytes, so that digests agree.
var canonical = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}

	return mode
}()
