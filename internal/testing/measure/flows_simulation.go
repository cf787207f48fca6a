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

	// flowsMaxKeys is the number of fabric keys that a view retains. No flow lives
	// through that many rotations.
	flowsMaxKeys = 16
)

// flowsBalancer is a simulated balancer with the view that it has applied.
type flowsBalancer struct {
	incarnation view.Incarnation
	address     netip.AddrPort
	core        *forward.Balancer
	worker      *forward.Worker
	routes      *routing.Table
	version     int // index of the applied view in the history
	retireStep  int // step in which it leaves; 0 unless it drains
}

func (b *flowsBalancer) table() *routing.Table { return b.routes }

// flowsAgent is a simulated agent with the view that it has applied.
type flowsAgent struct {
	incarnation view.Incarnation
	service     view.ServiceID
	address     netip.AddrPort
	core        *forward.Agent
	generator   *connid.Generator
	version     int
	retireStep  int
}

// flowsSimulation is the state of a Flows or AgentLoss run. Slices hold instances
// in the order in which they joined, so that a seed always gives the same run.
type flowsSimulation struct {
	config FlowsConfig
	random *rand.Rand
	now    time.Time
	step   int
	result FlowsResult

	services        []view.Service
	agentEntries    []view.Agent
	balancerEntries []view.Balancer
	keys            []view.Key
	lastRotation    int // step of the last rotation
	history         []*view.View
	lastIncarnation view.Incarnation
	freeAddresses   []netip.AddrPort // addresses of instances that have left

	balancers        []*flowsBalancer
	agentsInOrder    []*flowsAgent
	agents           map[view.Incarnation]*flowsAgent
	byAddress        map[netip.AddrPort]*flowsAgent
	flows            []*flow
	flights          []*flight
	capturedDatagram []byte // last datagram sent to an agent, for replays
	capturedService  view.ServiceID
	callerCount      uint32
}

func newFlowsSimulation(config FlowsConfig) *flowsSimulation {
	s := &flowsSimulation{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
		now:       time.Unix(1_800_000_000, 0),
		agents:    make(map[view.Incarnation]*flowsAgent),
		byAddress: make(map[netip.AddrPort]*flowsAgent),
		keys:      []view.Key{{ID: 1, Secret: [32]byte{1}}},
	}

	for i := range config.Services {
		s.services = append(s.services, view.Service{ID: view.ServiceID(i + 1), Buckets: flowsBuckets})
	}

	for i := range config.Agents {
		s.joinAgent(view.ServiceID(i%config.Services + 1))
	}

	for range config.Balancers {
		s.joinBalancer()
	}

	s.publish()

	return s
}

func (s *flowsSimulation) nextIncarnation() view.Incarnation {
	s.lastIncarnation++

	return s.lastIncarnation
}

// nextAddress returns the address of an instance that has left, if there is one,
// and a new address otherwise.
func (s *flowsSimulation) nextAddress() netip.AddrPort {
	if last := len(s.freeAddresses) - 1; last >= 0 {
		reused := s.freeAddresses[last]
		s.freeAddresses = s.freeAddresses[:last]

		return reused
	}

	var bytes [4]byte

	binary.BigEndian.PutUint32(bytes[:], 10<<24+uint32(s.lastIncarnation))

	return netip.AddrPortFrom(netip.AddrFrom4(bytes), 7000)
}

func (s *flowsSimulation) joinAgent(service view.ServiceID) {
	agent := &flowsAgent{incarnation: s.nextIncarnation(), service: service, address: s.nextAddress(), version: -1}
	agent.core = forward.NewAgent(agent.incarnation, service)

	s.agents[agent.incarnation] = agent
	s.byAddress[agent.address] = agent
	s.agentsInOrder = append(s.agentsInOrder, agent)
	s.agentEntries = append(s.agentEntries, view.Agent{
		Incarnation: agent.incarnation, Service: service, Data: agent.address,
		Weight: view.MaxWeight, State: view.Active,
	})
}

func (s *flowsSimulation) joinBalancer() {
	balancer := &flowsBalancer{incarnation: s.nextIncarnation(), address: s.nextAddress(), version: -1}
	balancer.core = forward.NewBalancer(balancer.incarnation, s.config.Seed)
	balancer.worker = balancer.core.Worker()

	s.balancers = append(s.balancers, balancer)
	s.balancerEntries = append(s.balancerEntries, view.Balancer{
		Incarnation: balancer.incarnation, Data: balancer.address, State: view.Active,
	})
}

// publish appends a view of the current contents to the history.
func (s *flowsSimulation) publish() {
	s.history = append(s.history, view.New(view.Contents{
		Position:  view.Position{Generation: 1, Index: uint64(len(s.history) + 1)},
		Services:  slices.Clone(s.services),
		Agents:    slices.Clone(s.agentEntries),
		Balancers: slices.Clone(s.balancerEntries),
		Keys:      slices.Clone(s.keys),
	}))
}

// performChange starts the next step, removes the instances that have drained and
// performs one random planned change.
func (s *flowsSimulation) performChange() {
	s.step++
	s.now = s.now.Add(flowsStep)
	s.removeDrained()

	switch s.random.IntN(6) {
	case 0:
		s.joinAgent(s.services[s.random.IntN(len(s.services))].ID)
	case 1:
		s.drainAgent()
	case 2:
		s.agentEntries[s.random.IntN(len(s.agentEntries))].Weight = uint8(1 + s.random.IntN(view.MaxWeight))
	case 3:
		s.joinBalancer()
	case 4:
		s.drainBalancer()
	case 5:
		s.rotateKeys()
	}

	s.publish()
}

// rotateKeys adds a fabric key, unless some instance may not have the last one
// yet.
func (s *flowsSimulation) rotateKeys() {
	if s.step-s.lastRotation <= s.config.Lag {
		return
	}

	s.lastRotation = s.step
	id := s.keys[0].ID + 1
	s.keys = append([]view.Key{{ID: id, Secret: [32]byte{id}}}, s.keys...)
	s.keys = s.keys[:min(len(s.keys), flowsMaxKeys)]
}

// settleSteps returns the number of steps after which every instance has applied
// a change and the datagrams that it sent before have arrived.
func (s *flowsSimulation) settleSteps() int { return s.config.Lag + 2 }

// drainAgent marks a random agent as draining, so that it gets no new flows. Its
// flows end before it leaves.
func (s *flowsSimulation) drainAgent() {
	index := s.random.IntN(len(s.agentEntries))
	member := &s.agentEntries[index]

	activeAgents := 0
	for _, other := range s.agentEntries {
		if other.Service == member.Service && other.State == view.Active {
			activeAgents++
		}
	}

	if member.State != view.Active || activeAgents < 2 {
		return
	}

	member.State, member.Weight = view.Draining, 0
	s.agents[member.Incarnation].retireStep = s.step + 2*s.settleSteps()
}

// drainBalancer marks a random balancer as draining. The fabric sends it no more
// packets, but it still forwards replies.
func (s *flowsSimulation) drainBalancer() {
	index := s.random.IntN(len(s.balancerEntries))
	activeBalancers := 0

	for _, balancer := range s.balancers {
		if balancer.retireStep == 0 {
			activeBalancers++
		}
	}

	if s.balancerEntries[index].State != view.Active || activeBalancers < 2 {
		return
	}

	s.balancerEntries[index].State = view.Draining
	s.balancers[index].retireStep = s.step + 2*s.settleSteps()
}

// removeDrained removes the instances that have drained and frees their
// addresses.
func (s *flowsSimulation) removeDrained() {
	s.agentsInOrder = slices.DeleteFunc(s.agentsInOrder, func(agent *flowsAgent) bool {
		if agent.retireStep == 0 || agent.retireStep > s.step {
			return false
		}

		s.agentEntries = slices.DeleteFunc(s.agentEntries, func(m view.Agent) bool {
			return m.Incarnation == agent.incarnation
		})
		s.freeAddresses = append(s.freeAddresses, agent.address)
		delete(s.agents, agent.incarnation)
		delete(s.byAddress, agent.address)

		return true
	})

	s.balancers = slices.DeleteFunc(s.balancers, func(b *flowsBalancer) bool {
		if b.retireStep == 0 || b.retireStep > s.step {
			return false
		}

		s.balancerEntries = slices.DeleteFunc(s.balancerEntries, func(e view.Balancer) bool {
			return e.Incarnation == b.incarnation
		})
		s.freeAddresses = append(s.freeAddresses, b.address)

		return true
	})
}

// applyViews lets every instance apply a view that is at most Lag versions old.
func (s *flowsSimulation) applyViews() error {
	newest := len(s.history) - 1
	pickVersion := func(version int) int {
		oldest := max(version, newest-s.config.Lag, 0)

		return oldest + s.random.IntN(newest-oldest+1)
	}

	for _, balancer := range s.balancers {
		if version := pickVersion(balancer.version); version != balancer.version {
			if err := balancer.apply(version, s.history[version]); err != nil {
				return err
			}
		}
	}

	for _, agent := range s.agentsInOrder {
		if version := pickVersion(agent.version); version != agent.version {
			if err := agent.apply(version, s.history[version]); err != nil {
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

// endFlows ends some random flows and the flows of agents that are about to leave.
func (s *flowsSimulation) endFlows() {
	s.flows = slices.DeleteFunc(s.flows, func(f *flow) bool {
		owner := s.agents[f.owner]
		leaving := owner.retireStep != 0 && owner.retireStep-1 <= s.step

		return leaving || s.random.IntN(100) < flowEndPercent
	})
}

// pickBalancer stands in for the fabric: it returns a random balancer that is not
// draining.
func (s *flowsSimulation) pickBalancer() *flowsBalancer {
	for {
		if balancer := s.balancers[s.random.IntN(len(s.balancers))]; balancer.retireStep == 0 {
			return balancer
		}
	}
}

// newCaller returns the address of a new caller.
func (s *flowsSimulation) newCaller() netip.AddrPort {
	var bytes [4]byte

	s.callerCount++
	binary.BigEndian.PutUint32(bytes[:], 100<<24+s.callerCount)

	return netip.AddrPortFrom(netip.AddrFrom4(bytes), uint16(1024+s.random.IntN(60000)))
}

// initialPacket returns a client's Initial packet with a random destination
// connection ID.
func (s *flowsSimulation) initialPacket() []byte {
	packet := make([]byte, initialLength)
	copy(packet, []byte{longHeader, 0, 0, 0, 1, dcidLength})

	for i := range dcidLength {
		packet[6+i] = byte(s.random.Uint32())
	}

	return packet
}

// seal returns the datagram that the balancer sends for a decision.
func (b *flowsBalancer) seal(decision forward.Decision, payload []byte) []byte {
	buffer := make([]byte, datagram.HeaderLength, flowsDataMTU)
	b.worker.Seal(buffer, &decision.Header)

	return append(buffer, payload...)
}
