package measure

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/coordination/routing"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

const (
	flowsBuckets = 256
	flowsDataMTU = 1500

	// flowsKeys is the number of fabric keys the view keeps; a flow of the run
	// lives through fewer rotations.
	flowsKeys = 16
)

// flowsBalancer is a balancer and the view that it has in force.
type flowsBalancer struct {
	incarnation view.Incarnation
	address     netip.AddrPort
	core        *forward.Balancer
	worker      *forward.Worker
	routes      *routing.Table
	version     int
	retires     int // step; 0 while it stays
}

func (b *flowsBalancer) table() *routing.Table { return b.routes }

// flowsAgent is an agent and the view that it has in force.
type flowsAgent struct {
	incarnation view.Incarnation
	service     view.ServiceID
	address     netip.AddrPort
	core        *forward.Agent
	generator   *connid.Generator
	version     int
	retires     int
}

// flowsWorld is the state of a run. Slices hold instances in the order in which
// they joined, so that a seed always gives the same run.
type flowsWorld struct {
	config FlowsConfig
	random *rand.Rand
	now    time.Time
	step   int
	result FlowsResult

	services  []view.Service
	members   []view.Agent
	entries   []view.Balancer
	keys      []view.Key
	rotated   int // step of the last rotation
	history   []*view.View
	incarnate view.Incarnation
	free      []netip.AddrPort // addresses that were in use before

	balancers   []*flowsBalancer
	order       []*flowsAgent
	agents      map[view.Incarnation]*flowsAgent
	byAddress   map[netip.AddrPort]*flowsAgent
	flows       []*flow
	flights     []*flight
	captured    []byte // a datagram to replay
	capturedFor view.ServiceID
	callers     uint32
}

func newFlowsWorld(config FlowsConfig) *flowsWorld {
	world := &flowsWorld{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
		now:       time.Unix(1_800_000_000, 0),
		agents:    make(map[view.Incarnation]*flowsAgent),
		byAddress: make(map[netip.AddrPort]*flowsAgent),
		keys:      []view.Key{{ID: 1, Secret: [32]byte{1}}},
	}

	for i := range config.Services {
		world.services = append(world.services, view.Service{ID: view.ServiceID(i + 1), Buckets: flowsBuckets})
	}

	for i := range config.Agents {
		world.joinAgent(view.ServiceID(i%config.Services + 1))
	}

	for range config.Balancers {
		world.joinBalancer()
	}

	world.publish()

	return world
}

func (w *flowsWorld) nextIncarnation() view.Incarnation {
	w.incarnate++

	return w.incarnate
}

// address prefers the address of an instance that has left.
func (w *flowsWorld) address() netip.AddrPort {
	if last := len(w.free) - 1; last >= 0 {
		reused := w.free[last]
		w.free = w.free[:last]

		return reused
	}

	var bytes [4]byte

	binary.BigEndian.PutUint32(bytes[:], 10<<24+uint32(w.incarnate))

	return netip.AddrPortFrom(netip.AddrFrom4(bytes), 7000)
}

func (w *flowsWorld) joinAgent(service view.ServiceID) {
	agent := &flowsAgent{incarnation: w.nextIncarnation(), service: service, address: w.address(), version: -1}
	agent.core = forward.NewAgent(agent.incarnation, service)

	w.agents[agent.incarnation] = agent
	w.byAddress[agent.address] = agent
	w.order = append(w.order, agent)
	w.members = append(w.members, view.Agent{
		Incarnation: agent.incarnation, Service: service, Data: agent.address,
		Weight: view.MaxWeight, State: view.Active,
	})
}

func (w *flowsWorld) joinBalancer() {
	balancer := &flowsBalancer{incarnation: w.nextIncarnation(), address: w.address(), version: -1}
	balancer.core = forward.NewBalancer(balancer.incarnation, w.config.Seed)
	balancer.worker = balancer.core.Worker()

	w.balancers = append(w.balancers, balancer)
	w.entries = append(w.entries, view.Balancer{
		Incarnation: balancer.incarnation, Data: balancer.address, State: view.Active,
	})
}

// publish adds the present contents to the history of views.
func (w *flowsWorld) publish() {
	w.history = append(w.history, view.New(view.Contents{
		Position:  view.Position{Generation: 1, Index: uint64(len(w.history) + 1)},
		Services:  slices.Clone(w.services),
		Agents:    slices.Clone(w.members),
		Balancers: slices.Clone(w.entries),
		Keys:      slices.Clone(w.keys),
	}))
}

// change performs one planned change and removes what has drained.
func (w *flowsWorld) change() {
	w.step++
	w.now = w.now.Add(flowsStep)
	w.retire()

	switch w.random.IntN(6) {
	case 0:
		w.joinAgent(w.services[w.random.IntN(len(w.services))].ID)
	case 1:
		w.drainAgent()
	case 2:
		w.members[w.random.IntN(len(w.members))].Weight = uint8(1 + w.random.IntN(view.MaxWeight))
	case 3:
		w.joinBalancer()
	case 4:
		w.drainBalancer()
	case 5:
		w.rotate()
	}

	w.publish()
}

// rotate adds a fabric key, but not before all instances have the last one.
func (w *flowsWorld) rotate() {
	if w.step-w.rotated <= w.config.Lag {
		return
	}

	w.rotated = w.step
	id := w.keys[0].ID + 1
	w.keys = append([]view.Key{{ID: id, Secret: [32]byte{id}}}, w.keys...)
	w.keys = w.keys[:min(len(w.keys), flowsKeys)]
}

// settled is the number of steps after which every instance knows of a change
// and what it has sent before has arrived.
func (w *flowsWorld) settled() int { return w.config.Lag + 2 }

// drainAgent takes an agent out of the choice for new flows. Its flows end
// before it leaves.
func (w *flowsWorld) drainAgent() {
	place := w.random.IntN(len(w.members))
	member := &w.members[place]

	rest := 0
	for _, other := range w.members {
		if other.Service == member.Service && other.State == view.Active {
			rest++
		}
	}

	if member.State != view.Active || rest < 2 {
		return
	}

	member.State, member.Weight = view.Draining, 0
	w.agents[member.Incarnation].retires = w.step + 2*w.settled()
}

// drainBalancer takes a balancer out of the fabric; it still forwards replies.
func (w *flowsWorld) drainBalancer() {
	place := w.random.IntN(len(w.entries))
	active := 0

	for _, balancer := range w.balancers {
		if balancer.retires == 0 {
			active++
		}
	}

	if w.entries[place].State != view.Active || active < 2 {
		return
	}

	w.entries[place].State = view.Draining
	w.balancers[place].retires = w.step + 2*w.settled()
}

// retire removes the instances that have drained and frees their addresses.
func (w *flowsWorld) retire() {
	w.order = slices.DeleteFunc(w.order, func(agent *flowsAgent) bool {
		if agent.retires == 0 || agent.retires > w.step {
			return false
		}

		w.members = slices.DeleteFunc(w.members, func(m view.Agent) bool { return m.Incarnation == agent.incarnation })
		w.free = append(w.free, agent.address)
		delete(w.agents, agent.incarnation)
		delete(w.byAddress, agent.address)

		return true
	})

	w.balancers = slices.DeleteFunc(w.balancers, func(b *flowsBalancer) bool {
		if b.retires == 0 || b.retires > w.step {
			return false
		}

		w.entries = slices.DeleteFunc(w.entries, func(e view.Balancer) bool { return e.Incarnation == b.incarnation })
		w.free = append(w.free, b.address)

		return true
	})
}

// advance lets every instance apply a view that is at most Lag versions old.
func (w *flowsWorld) advance() error {
	newest := len(w.history) - 1
	pick := func(version int) int {
		oldest := max(version, newest-w.config.Lag, 0)

		return oldest + w.random.IntN(newest-oldest+1)
	}

	for _, balancer := range w.balancers {
		if version := pick(balancer.version); version != balancer.version {
			if err := balancer.apply(version, w.history[version]); err != nil {
				return err
			}
		}
	}

	for _, agent := range w.order {
		if version := pick(agent.version); version != agent.version {
			if err := agent.apply(version, w.history[version]); err != nil {
				return err
			}
		}
	}

	return nil
}

func (b *flowsBalancer) apply(version int, next *view.View) error {
	b.version = version

	if b.routes == nil {
		b.routes = routing.New(next)
	} else {
		b.routes = b.routes.Next(next)
	}

	return b.core.Apply(next)
}

func (a *flowsAgent) apply(version int, next *view.View) error {
	a.version = version

	keys, err := connid.New(next.Keys())
	if err != nil {
		return err
	}

	if a.generator == nil {
		a.generator = connid.NewGenerator(keys, a.service, a.incarnation)
	} else {
		a.generator.SetKeys(keys)
	}

	return a.core.Apply(next)
}

// endFlows ends some flows, and those of agents about to leave.
func (w *flowsWorld) endFlows() {
	w.flows = slices.DeleteFunc(w.flows, func(f *flow) bool {
		owner := w.agents[f.owner]
		leaving := owner.retires != 0 && owner.retires-1 <= w.step

		return leaving || w.random.IntN(100) < flowEndsPercent
	})
}

// pickBalancer is the fabric: any balancer that has not begun to leave.
func (w *flowsWorld) pickBalancer() *flowsBalancer {
	for {
		if balancer := w.balancers[w.random.IntN(len(w.balancers))]; balancer.retires == 0 {
			return balancer
		}
	}
}

func (w *flowsWorld) caller() netip.AddrPort {
	var bytes [4]byte

	w.callers++
	binary.BigEndian.PutUint32(bytes[:], 100<<24+w.callers)

	return netip.AddrPortFrom(netip.AddrFrom4(bytes), uint16(1024+w.random.IntN(60000)))
}

// initial returns a client's Initial packet with a random connection ID.
func (w *flowsWorld) initial() []byte {
	packet := make([]byte, initialLength)
	copy(packet, []byte{longHeader, 0, 0, 0, 1, dcidLength})

	for i := range dcidLength {
		packet[6+i] = byte(w.random.Uint32())
	}

	return packet
}

// seal returns the datagram that a balancer sends for a decision.
func (b *flowsBalancer) seal(decision forward.Decision, payload []byte) []byte {
	buffer := make([]byte, datagram.HeaderLength, flowsDataMTU)
	b.worker.Seal(buffer, &decision.Header)

	return append(buffer, payload...)
}
