package measure

import (
	"net/netip"
	"slices"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

// sendFirst sends one datagram of an Initial flight and returns the agent that
// accepted it, or nil.
func (w *flowsWorld) sendFirst(opened *flow, packet []byte) *flowsAgent {
	balancer := w.pickBalancer()

	decision := balancer.worker.FromCaller(w.now, opened.service, packet, opened.caller)
	if decision.Action != forward.Send {
		return nil
	}

	return w.deliver(balancer, decision)
}

func (w *flowsWorld) balancerAt(address netip.AddrPort) *flowsBalancer {
	place := slices.IndexFunc(w.balancers, func(b *flowsBalancer) bool { return b.address == address })
	if place < 0 {
		return nil
	}

	return w.balancers[place]
}

// deliver carries a datagram to the agent at its address and returns the agent
// if it accepted it. A refused socket and a stale notice reach the balancer.
func (w *flowsWorld) deliver(balancer *flowsBalancer, decision forward.Decision) *flowsAgent {
	sent := balancer.seal(decision, []byte("payload"))
	w.captured, w.capturedFor = sent, decision.Header.Service

	agent := w.byAddress[decision.To]
	if agent == nil {
		balancer.core.RecordRefusal(w.now, decision.To)

		return nil
	}

	if w.receive(agent, sent, balancer.address, decision.Header.Service).Action != forward.Deliver {
		return nil
	}

	return agent
}

// receive passes a datagram of a service to an agent and counts deliveries to
// another service.
func (w *flowsWorld) receive(
	agent *flowsAgent, sent []byte, source netip.AddrPort, service view.ServiceID,
) forward.Decision {
	decision := agent.core.Receive(w.now, sent, source)

	switch decision.Action {
	case forward.Deliver:
		if agent.service != service {
			w.result.WrongService++
		}
	case forward.Answer:
		notice := make([]byte, datagram.HeaderLength)
		agent.core.Seal(notice, &decision.Header)

		if balancer := w.balancerAt(decision.To); balancer != nil {
			balancer.worker.FromAgent(w.now, notice, agent.address)
		}
	}

	return decision
}

// reply sends a reply of an agent through the balancer that it selects.
func (w *flowsWorld) reply(agent *flowsAgent, f *flow) {
	header, to, ok := agent.core.Reply(w.now, f.caller)

	balancer := w.balancerAt(to)
	if !ok || balancer == nil {
		w.result.RepliesLost++

		return
	}

	sent := make([]byte, datagram.HeaderLength, flowsDataMTU)
	agent.core.Seal(sent, &header)
	sent = append(sent, "reply"...)

	decision := balancer.worker.FromAgent(w.now, sent, agent.address)
	if decision.Action != forward.Deliver {
		w.result.RepliesLost++

		return
	}

	if decision.Header.Service != f.service || decision.Header.Caller != f.caller {
		w.result.WrongService++
	}
}

// inject sends datagrams that must not be delivered to a wrong service: with a
// connection ID of another service, a forged one, a replayed header, a forged
// header, and a header for the former agent of an address.
func (w *flowsWorld) inject() {
	for range 4 {
		w.injectConnectionID(false)
		w.injectConnectionID(true)

		for _, agent := range w.order {
			w.injectHeader(agent, w.captured)

			forged := slices.Clone(w.captured)
			forged[w.random.IntN(datagram.HeaderLength)] ^= 1 << w.random.IntN(8)
			w.injectHeader(agent, forged)
		}
	}
}

// injectConnectionID sends a packet of a flow to the socket of another service.
func (w *flowsWorld) injectConnectionID(forged bool) {
	victim := w.flows[w.random.IntN(len(w.flows))]
	packet := slices.Clone(victim.packet)

	if forged {
		packet[2+w.random.IntN(16)] ^= 1 << w.random.IntN(8)
	}

	balancer := w.pickBalancer()
	other := view.ServiceID(1 + int(victim.service)%len(w.services))

	w.result.Injected++

	decision := balancer.worker.FromCaller(w.now, other, packet, victim.caller)
	if decision.Action != forward.Send {
		w.result.Refusals++

		return
	}

	if agent := w.deliver(balancer, decision); agent != nil && agent.service == victim.service {
		w.result.WrongService++
	}
}

// injectHeader sends a captured datagram to an agent that it may not be for.
// A replay to its own agent is delivered; QUIC discards it as a duplicate.
func (w *flowsWorld) injectHeader(agent *flowsAgent, sent []byte) {
	w.result.Injected++

	if w.receive(agent, sent, w.balancers[0].address, w.capturedFor).Action != forward.Deliver {
		w.result.Refusals++
	}
}
