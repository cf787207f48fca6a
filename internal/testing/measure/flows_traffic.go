package measure

import (
	"net/netip"
	"slices"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

// sendInitial sends one datagram of an Initial flight and returns the agent that
// accepted it, or nil.
func (s *flowsSimulation) sendInitial(opened *flow, packet []byte) *flowsAgent {
	balancer := s.pickBalancer()

	decision := balancer.worker.FromCaller(s.now, opened.service, packet, opened.caller)
	if decision.Action != forward.Send {
		return nil
	}

	return s.deliver(balancer, decision)
}

// balancerAt returns the balancer with the address, or nil.
func (s *flowsSimulation) balancerAt(address netip.AddrPort) *flowsBalancer {
	index := slices.IndexFunc(s.balancers, func(b *flowsBalancer) bool { return b.address == address })
	if index < 0 {
		return nil
	}

	return s.balancers[index]
}

// deliver passes a datagram to the agent at its destination address and returns
// the agent, or nil if the datagram was not accepted. The balancer is told when
// no agent has the address, and receives stale notices.
func (s *flowsSimulation) deliver(balancer *flowsBalancer, decision forward.Decision) *flowsAgent {
	sent := balancer.seal(decision, []byte("payload"))
	s.capturedDatagram, s.capturedService = sent, decision.Header.Service

	agent := s.byAddress[decision.To]
	if agent == nil {
		balancer.core.RecordRefusal(s.now, decision.To)

		return nil
	}

	if s.receive(agent, sent, balancer.address, decision.Header.Service).Action != forward.Deliver {
		return nil
	}

	return agent
}

// receive passes a datagram of a service to an agent and counts it if the agent
// delivers it to another service.
func (s *flowsSimulation) receive(
	agent *flowsAgent, sent []byte, source netip.AddrPort, service view.ServiceID,
) forward.Decision {
	decision := agent.core.Receive(s.now, sent, source)

	switch decision.Action {
	case forward.Deliver:
		if agent.service != service {
			s.result.WrongService++
		}
	case forward.Answer:
		notice := make([]byte, datagram.HeaderLength)
		agent.core.Seal(notice, &decision.Header)

		if balancer := s.balancerAt(decision.To); balancer != nil {
			balancer.worker.FromAgent(s.now, notice, agent.address)
		}
	}

	return decision
}

// reply sends a reply of an agent through the balancer that it selects.
func (s *flowsSimulation) reply(agent *flowsAgent, f *flow) {
	header, to, ok := agent.core.Reply(s.now, f.caller)

	balancer := s.balancerAt(to)
	if !ok || balancer == nil {
		s.result.RepliesLost++

		return
	}

	sent := make([]byte, datagram.HeaderLength, flowsDataMTU)
	agent.core.Seal(sent, &header)
	sent = append(sent, "reply"...)

	decision := balancer.worker.FromAgent(s.now, sent, agent.address)
	if decision.Action != forward.Deliver {
		s.result.RepliesLost++

		return
	}

	if decision.Header.Service != f.service || decision.Header.Caller != f.caller {
		s.result.WrongService++
	}
}

// inject sends datagrams that must not be delivered to a wrong service: with a
// connection ID of another service, a forged connection ID, a replayed header, a
// forged header, and a header for an agent that formerly had the address.
func (s *flowsSimulation) inject() {
	for range 4 {
		s.injectConnectionID(false)
		s.injectConnectionID(true)

		for _, agent := range s.agentsInOrder {
			s.injectHeader(agent, s.capturedDatagram)

			forged := slices.Clone(s.capturedDatagram)
			forged[s.random.IntN(datagram.HeaderLength)] ^= 1 << s.random.IntN(8)
			s.injectHeader(agent, forged)
		}
	}
}

// injectConnectionID sends a packet of an open flow, with its connection ID
// altered if forged is set, to the socket of another service.
func (s *flowsSimulation) injectConnectionID(forged bool) {
	victim := s.flows[s.random.IntN(len(s.flows))]
	packet := slices.Clone(victim.packet)

	if forged {
		packet[2+s.random.IntN(16)] ^= 1 << s.random.IntN(8)
	}

	balancer := s.pickBalancer()
	other := view.ServiceID(1 + int(victim.service)%len(s.services))

	s.result.Injected++

	decision := balancer.worker.FromCaller(s.now, other, packet, victim.caller)
	if decision.Action != forward.Send {
		s.result.Refusals++

		return
	}

	if agent := s.deliver(balancer, decision); agent != nil && agent.service == victim.service {
		s.result.WrongService++
	}
}

// injectHeader sends a captured or forged datagram to an agent, which may not be
// its destination. A replay to the destination itself is delivered; QUIC discards
// it as a duplicate.
func (s *flowsSimulation) injectHeader(agent *flowsAgent, sent []byte) {
	s.result.Injected++

	if s.receive(agent, sent, s.balancers[0].address, s.capturedService).Action != forward.Deliver {
		s.result.Refusals++
	}
}
