package view_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
)

func newAgent(number, service int) view.Agent {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 7000)

	return view.Agent{
		Incarnation: view.Incarnation(number), Service: view.ServiceID(service), Zone: "kokura",
		Data: address, Peer: address, Weight: view.MaxWeight, State: view.Active,
	}
}

func newService(number int) view.Service {
	return view.Service{
		ID: view.ServiceID(number), Name: fmt.Sprintf("s%d", number), Slots: 3, Buckets: 1024,
		Classes: []view.Class{{Name: "a", Method: "GET", PathPrefix: "/"}}, PublicKey: make([]byte, 32),
	}
}

// randomContents returns a random subset of the possible items, so that two results
// differ by added, changed and removed items and have others in common.
func randomContents(random *rand.Rand, index uint64) view.Contents {
	contents := view.Contents{Environment: "trial", Position: view.Position{Index: index}, Version: index}

	for number := range 300 {
		if random.IntN(2) == 0 {
			continue
		}

		agent := newAgent(number, random.IntN(3)*200)
		agent.Weight = uint8(random.IntN(2))
		contents.Agents = append(contents.Agents, agent)
		contents.Balancers = append(contents.Balancers, view.Balancer{Incarnation: agent.Incarnation, Data: agent.Data})

		service := newService(number * 200)
		service.Slots = uint16(random.IntN(2))
		contents.Services = append(contents.Services, service)
	}

	random.Shuffle(len(contents.Agents), func(i, j int) {
		contents.Agents[i], contents.Agents[j] = contents.Agents[j], contents.Agents[i]
	})

	return contents
}

// assertEqualViews asserts that two views return the same result for every lookup.
func assertEqualViews(t *testing.T, got, want *view.View) {
	t.Helper()

	is := is.New(t)
	is.Equal(got.Digest(), want.Digest())
	is.Equal(got.Position(), want.Position())
	is.Equal(got.Agents(), want.Agents())
	is.Equal(got.Balancers(), want.Balancers())
	is.Equal(got.Services(), want.Services())

	for _, service := range want.Services() {
		found, ok := got.ServiceByName(service.Name)
		is.True(ok)
		is.Equal(found, service)
		is.Equal(len(got.AgentsOf(service.ID)), len(want.AgentsOf(service.ID)))
	}

	for _, agent := range want.Agents() {
		found, ok := got.Agent(agent.Incarnation)
		is.True(ok)
		is.Equal(found, agent)
	}

	for service := range 3 {
		id := view.ServiceID(service * 200)
		is.Equal(fmt.Sprint(got.AgentsOf(id)), fmt.Sprint(want.AgentsOf(id)))
	}
}

// Guards against a delta whose result differs from the full view: instances would
// keep different digests permanently.
func TestDeltaLeadsToView(t *testing.T) {
	soak.Run(t, 20, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		old, next := view.New(randomContents(random, 1)), view.New(randomContents(random, 2))

		before := old.Digest()
		applied, err := old.Apply(next.Diff(old))
		is.New(t).NoErr(err)
		assertEqualViews(t, applied, next)
		is.New(t).Equal(old.Digest(), before) // a view is immutable

		encoded, err := applied.MarshalBinary()
		is.New(t).NoErr(err)
		decoded, err := view.Decode(encoded)
		is.New(t).NoErr(err)
		assertEqualViews(t, decoded, next)
	})
}

// Guards against a digest that misses a changed field.
func TestDigestCoversContents(t *testing.T) {
	contents := func() view.Contents { return randomContents(rand.New(rand.NewPCG(1, 0)), 1) }
	digest := view.New(contents()).Digest()

	for name, change := range map[string]func(*view.Contents){
		"environment": func(c *view.Contents) { c.Environment = "production" },
		"version":     func(c *view.Contents) { c.Version++ },
		"document":    func(c *view.Contents) { c.Digest[0]++ },
		"agent":       func(c *view.Contents) { c.Agents[7].Weight++ },
		"balancer":    func(c *view.Contents) { c.Balancers[7].State++ },
		"class":       func(c *view.Contents) { c.Services[7].Classes[0].Deadline++ },
		"key":         func(c *view.Contents) { c.Keys = []view.Key{{ID: 1}} },
		"removal":     func(c *view.Contents) { c.Agents = c.Agents[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			changed := contents()
			change(&changed)
			is.New(t).True(view.New(changed).Digest() != digest)
		})
	}

	moved := contents()
	moved.Position.Index++
	moved.Keys = []view.Key{}
	is.New(t).Equal(view.New(moved).Digest(), digest) // position and nil lists don't count
}

// Guards against two items with the same key, which lookups cannot distinguish,
// and against panics on bytes from the network.
func FuzzDecode(f *testing.F) {
	encoded, _ := view.New(randomContents(rand.New(rand.NewPCG(1, 0)), 1)).MarshalBinary()
	f.Add(encoded)
	duplicate, _ := view.New(view.Contents{Agents: []view.Agent{newAgent(1, 1), newAgent(1, 2)}}).MarshalBinary()
	f.Add(duplicate)
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := view.Decode(data)
		if err != nil {
			return
		}

		for i, agent := range decoded.Agents() {
			is.New(t).True(i == 0 || decoded.Agents()[i-1].Incarnation < agent.Incarnation) // sorted by key
		}
	})
}

func contentsAtTargetSize() view.Contents {
	contents := view.Contents{Environment: "trial", Position: view.Position{Index: 1}}
	for i := range 26_000 {
		contents.Agents = append(contents.Agents, newAgent(i, i%6700))
	}

	for i := range 6700 {
		contents.Services = append(contents.Services, newService(i))
	}

	return contents
}

func BenchmarkApplyOneAgent(b *testing.B) {
	current := view.New(contentsAtTargetSize())
	b.ReportAllocs()

	for b.Loop() {
		agent := newAgent(13_000, 13_000%6700)
		agent.Weight = uint8(current.Position().Index % 100)
		next := view.Position{Index: current.Position().Index + 1}
		current, _ = current.Apply(view.Delta{From: current.Position(), To: next, Agents: []view.Agent{agent}})
		current.Digest()
	}
}

func BenchmarkDiffOneAgent(b *testing.B) {
	old := view.New(contentsAtTargetSize())
	agent := newAgent(13_000, 13_000%6700)
	agent.Weight = 1
	next, _ := old.Apply(view.Delta{From: old.Position(), To: view.Position{Index: 2}, Agents: []view.Agent{agent}})

	for b.Loop() {
		next.Diff(old)
	}
}

func BenchmarkNew(b *testing.B) {
	contents := contentsAtTargetSize()
	for b.Loop() {
		view.New(contents)
	}
}
