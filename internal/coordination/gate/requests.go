package gate

import (
	"time"

	"jayspindle/internal/state/flow"
)

// answerTimeout is how long a request without an answer counts as running. It exceeds
// the longest service time in the deployments. It frees the slot of a request that
// is never answered.
const answerTimeout = 500 * time.Millisecond

// handleClientPacket updates the flow of a packet from the client and returns what
// to do with the packet.
func (g *Gate) handleClientPacket(now time.Time, key flow.Key, h *trackedFlow, header flow.Header, packet []byte) Kind {
	kind := Deliver

	switch {
	case header.Reset:
		if h.request != nil {
			g.overload.observeExpiry(now)
		}

		g.removeFlow(key, h)

		return Deliver
	case h.abandoned:
		return Drop
	case h.request != nil && header.Close:
		g.overload.observeExpiry(now)
		g.abandonRequest(h)

		kind = Drop
	case h.request != nil && header.Length > 0:
		h.request.addPacket(header.Sequence, packet)

		kind = Hold
	case h.hasNewData(header) && h.waitingSince.IsZero():
		g.reservations.release(h)

		h.waitingSince = now
		g.waitingFlows++

		kind = g.admitRequest(now, key, h, header.Sequence, packet)
	}

	if h.hasNewData(header) {
		h.sawData, h.nextSequence = true, header.End()
	}

	// A client that closes while its request runs no longer wants the answer, and
	// the backend server may not send one.
	if header.Close {
		g.finishRequest(h)
		g.markClosed(h, 0)
	}

	return kind
}

// recordAnswer records the first packet of an answer.
func (g *Gate) recordAnswer(now time.Time, key flow.Key, h *trackedFlow) {
	g.observeWait(now.Sub(h.waitingSince))

	if !h.handedOverAt.IsZero() {
		g.queue.observeServiceTime(key.Service, now.Sub(h.handedOverAt))
		g.health.observe(now, false)
	}

	g.finishRequest(h)
	h.waitingSince = time.Time{}
	g.waitingFlows--
}

// StartedRequest is a queued request that has got a slot of the backend server.
type StartedRequest struct {
	Key     flow.Key
	Packets [][]byte
	Waited  time.Duration
}

// StartQueued returns the queued requests that get a slot now.
func (g *Gate) StartQueued(now time.Time) []StartedRequest {
	var started []StartedRequest

	g.expireOverdue(now)

	for g.hasFreeSlot() {
		next, ok := g.startNext(now)
		if !ok {
			break
		}

		started = append(started, next)
	}

	return started
}

// startNext hands the first waiting request over, whether there is a free slot or not.
func (g *Gate) startNext(now time.Time) (StartedRequest, bool) {
	next := g.queue.pop(now)
	if next == nil {
		return StartedRequest{}, false
	}

	h := g.flows[next.key]
	h.request = nil
	g.startRequest(now, h)

	return StartedRequest{Key: next.key, Packets: next.packets, Waited: now.Sub(next.arrived)}, true
}

// ReleaseQueued returns the waiting requests that the backend server should queue itself,
// because the gate stops: as many as it has slots, which it accepts beyond those that
// run. The others reach the next gate when their clients send them again.
func (g *Gate) ReleaseQueued(now time.Time) []StartedRequest {
	var released []StartedRequest

	for range g.backend.slots {
		next, ok := g.startNext(now)
		if !ok {
			break
		}

		released = append(released, next)
	}

	return released
}

// hasFreeSlot reports whether the backend server has a slot for another request.
func (g *Gate) hasFreeSlot() bool {
	return g.backend.slots == 0 || g.runningRequests < int(g.backend.slots)
}

// hasUnreservedSlot reports whether the backend server has a slot for the first
// request of another flow.
func (g *Gate) hasUnreservedSlot(now time.Time) bool {
	taken := g.runningRequests + len(g.queue.waiting) + g.reservations.count(now)

	return g.backend.slots == 0 || taken < int(g.backend.slots)
}

// startRequest records that the request of a flow is handed to the backend server.
func (g *Gate) startRequest(now time.Time, h *trackedFlow) {
	h.handedOverAt = now
	g.runningRequests++
}

// finishRequest records that the request of a flow no longer runs. It does nothing if
// none does.
func (g *Gate) finishRequest(h *trackedFlow) {
	if !h.handedOverAt.IsZero() {
		h.handedOverAt = time.Time{}
		g.runningRequests--
	}
}

// admitRequest decides about the first packet of a request: the request is handed
// over, or waits for a slot.
func (g *Gate) admitRequest(now time.Time, key flow.Key, h *trackedFlow, sequence uint32, packet []byte) Kind {
	target, ok := g.table.Find(key.Service)
	if !ok || h.state != open || g.hasFreeSlot() {
		g.startRequest(now, h)

		return Deliver
	}

	h.request = &request{key: key, route: target, arrived: now}
	h.request.addPacket(sequence, packet)
	g.queue.push(h.request)
	g.counters.Held++

	return Hold
}

// expireOverdue stops counting requests whose answers are overdue as running. They
// count as failures of the backend server, and so do unanswered opening packets.
func (g *Gate) expireOverdue(now time.Time) {
	if now.Sub(g.lastExpiry) < acceptTimeout {
		return
	}

	g.lastExpiry = now

	for _, h := range g.flows {
		switch {
		case !h.handedOverAt.IsZero() && now.Sub(h.handedOverAt) > answerTimeout:
			g.finishRequest(h)
			g.health.observe(now, true)
		case h.state == opening && !h.overdue && now.Sub(h.addedAt) > acceptTimeout:
			h.overdue = true
			g.health.observe(now, true)
		}
	}
}

// abandonRequest drops the waiting request of a flow that its client has closed.
// Retransmissions of it are dropped too, so that it does not run after the client
// has given up on it.
func (g *Gate) abandonRequest(h *trackedFlow) {
	g.dropRequest(h)

	h.abandoned = true
	g.counters.Abandoned++
}

// dropRequest removes the waiting request of a flow, if any, from the queue.
func (g *Gate) dropRequest(h *trackedFlow) {
	if h.request == nil {
		return
	}

	g.queue.remove(h.request)
	h.request = nil

	if !h.waitingSince.IsZero() {
		h.waitingSince = time.Time{}
		g.waitingFlows--
	}
}
