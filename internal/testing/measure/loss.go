package measure

import "slices"

// leaseSteps is the time from the loss of an agent until the view changes, in
// steps: the TTL of a lease, 3 s.
const leaseSteps = 6

// Survivors counts the flows of the agents that are not lost under one method.
// A flow is broken when a packet of it no longer reaches its owner.
type Survivors struct {
	Flows, Broken int
}

// LossResult counts flows when one agent is lost without notice.
type LossResult struct {
	Held int // flows of the lost agent; these end

	// By method, as in FlowsResult. Each counts the flows that the lost agent
	// does not own under that method.
	ByConnectionID   Survivors
	ByConsistentHash Survivors
	ByModulo         Survivors
}

// AgentLoss opens flows, removes one agent silently at a third of the run and
// takes it out of the view when its lease has run out. No flow ends otherwise.
func AgentLoss(config FlowsConfig) (LossResult, error) {
	w := newFlowsWorld(config)
	lossAt := config.Steps / 3

	var (
		result LossResult
		victim *flowsAgent
	)

	for step := range config.Steps {
		if step > 0 {
			w.tick()
		}

		switch step {
		case lossAt:
			victim = w.order[w.random.IntN(len(w.order))]
			result = w.lose(victim)
		case lossAt + leaseSteps:
			w.forget(victim)
		}

		if err := w.advance(); err != nil {
			return LossResult{}, err
		}

		w.retransmit()

		for step < lossAt && len(w.flows)+len(w.flights) < config.Flows {
			w.open()
		}

		for _, flow := range w.flows {
			w.exchange(flow)
		}
	}

	result.ByConnectionID.Broken = w.result.BrokenByConnectionID
	result.ByConsistentHash.Broken = w.result.BrokenByConsistentHash
	result.ByModulo.Broken = w.result.BrokenByModulo

	return result, nil
}

// tick moves the time without a change.
func (w *flowsWorld) tick() {
	w.step++
	w.now = w.now.Add(flowsStep)
}

// lose ends an agent and its flows. Flows that it owns under a method that is
// compared are marked as lost, so that they do not count as broken.
func (w *flowsWorld) lose(victim *flowsAgent) LossResult {
	var result LossResult

	before := len(w.flows)
	w.flows = slices.DeleteFunc(w.flows, func(f *flow) bool { return f.owner == victim.incarnation })
	w.order = slices.DeleteFunc(w.order, func(agent *flowsAgent) bool { return agent == victim })
	delete(w.agents, victim.incarnation)
	delete(w.byAddress, victim.address)

	result.Held = before - len(w.flows)
	result.ByConnectionID.Flows = len(w.flows)

	for _, f := range w.flows {
		f.lostHash = f.hashed == victim.incarnation
		f.lostMod = f.modulo == victim.incarnation

		if !f.lostHash {
			result.ByConsistentHash.Flows++
		}

		if !f.lostMod {
			result.ByModulo.Flows++
		}
	}

	return result
}

// forget takes a lost agent out of the view.
func (w *flowsWorld) forget(victim *flowsAgent) {
	for i, member := range w.members {
		if member.Incarnation == victim.incarnation {
			w.members = slices.Delete(w.members, i, i+1)

			break
		}
	}

	w.publish()
}
