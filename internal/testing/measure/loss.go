package measure

import "slices"

// leaseTTLSteps is the time from the loss of an agent until it leaves the view,
// in steps: the lease TTL of 3 s.
const leaseTTLSteps = 6

// Survivors counts the flows that the remaining agents own under one method. A
// flow is broken when one of its packets no longer reaches its owner.
type Survivors struct {
	Flows, Broken int
}

// LossResult counts flows in a run in which one agent fails without notice.
type LossResult struct {
	Held int // flows of the lost agent, which end with it

	// By method, as in FlowsResult, without the flows that the lost agent owns
	// under that method.
	ByConnectionID   Survivors
	ByConsistentHash Survivors
	ByModulo         Survivors
}

// AgentLoss opens flows, stops one agent without notice after a third of the run
// and removes it from the view when its lease expires. No other flows end.
func AgentLoss(config FlowsConfig) (LossResult, error) {
	s := newFlowsSimulation(config)
	lossAt := config.Steps / 3

	var (
		result LossResult
		victim *flowsAgent
	)

	for step := range config.Steps {
		if step > 0 {
			s.skipChange()
		}

		switch step {
		case lossAt:
			victim = s.agentsInOrder[s.random.IntN(len(s.agentsInOrder))]
			result = s.loseAgent(victim)
		case lossAt + leaseTTLSteps:
			s.removeFromView(victim)
		}

		if err := s.applyViews(); err != nil {
			return LossResult{}, err
		}

		s.retransmit()

		for step < lossAt && len(s.flows)+len(s.flights) < config.Flows {
			s.openFlow()
		}

		for _, flow := range s.flows {
			s.exchange(flow)
		}
	}

	result.ByConnectionID.Broken = s.result.BrokenByConnectionID
	result.ByConsistentHash.Broken = s.result.BrokenByConsistentHash
	result.ByModulo.Broken = s.result.BrokenByModulo

	return result, nil
}

// skipChange starts the next step without a planned change.
func (s *flowsSimulation) skipChange() {
	s.step++
	s.now = s.now.Add(flowsStep)
}

// loseAgent removes an agent and its flows. Flows that the agent owns under a
// baseline method are excluded from that method's count of broken flows.
func (s *flowsSimulation) loseAgent(victim *flowsAgent) LossResult {
	var result LossResult

	before := len(s.flows)
	s.flows = slices.DeleteFunc(s.flows, func(f *flow) bool { return f.owner == victim.incarnation })
	s.agentsInOrder = slices.DeleteFunc(s.agentsInOrder, func(agent *flowsAgent) bool { return agent == victim })
	delete(s.agents, victim.incarnation)
	delete(s.byAddress, victim.address)

	result.Held = before - len(s.flows)
	result.ByConnectionID.Flows = len(s.flows)

	for _, f := range s.flows {
		f.brokenByHash = f.ownerByHash == victim.incarnation
		f.brokenByModulo = f.ownerByModulo == victim.incarnation

		if !f.brokenByHash {
			result.ByConsistentHash.Flows++
		}

		if !f.brokenByModulo {
			result.ByModulo.Flows++
		}
	}

	return result
}

// removeFromView removes a lost agent from the view.
func (s *flowsSimulation) removeFromView(victim *flowsAgent) {
	for i, member := range s.agentEntries {
		if member.Incarnation == victim.incarnation {
			s.agentEntries = slices.Delete(s.agentEntries, i, i+1)

			break
		}
	}

	s.publish()
}
