package gate

import (
	"time"

	"jayspindle/internal/state/flow"
)

// runLimit is how long a request counts as running without an answer. It is
// above the longest work in the deployments, so that a request whose answer
// never comes does not keep its slot from others.
const runLimit = 500 * time.Millisecond

// clientSent notes what a packet of the client does to its flow, and returns
// whether it is delivered now.
func (g *Gate) clientSent(now time.Time, key flow.Key, h *held, header flow.Header, packet []byte) Kind {
	kind := Deliver

	switch {
	case header.Reset:
		g.forget(key, h)

		return Deliver
	case h.abandoned:
		return Drop
	case h.request != nil && header.Close:
		g.abandon(h)

		kind = Drop
	case h.request != nil && header.Length > 0:
		h.request.keep(header.Sequence, packet)

		kind = Hold
	case h.isNew(header) && h.waiting.IsZero():
		h.waiting = now
		g.waiting++

		kind = g.asks(now, key, h, header.Sequence, packet)
	}

	if h.isNew(header) {
		h.heard, h.end = true, header.End()
	}

	// A client that closes while its request runs does not want the answer any
	// more, and the backend server may not give one.
	if header.Close {
		g.done(h)
		g.closes(h, 0)
	}

	return kind
}

// answered notes the first packet of an answer.
func (g *Gate) answered(now time.Time, key flow.Key, h *held) {
	g.observe(now.Sub(h.waiting))

	if !h.handed.IsZero() {
		g.queue.ran(key.Service, now.Sub(h.handed))
		g.health.observe(now, false)
	}

	g.done(h)
	h.waiting = time.Time{}
	g.waiting--
}

// Started is a request that gets a slot of the backend server.
type Started struct {
	Key     flow.Key
	Packets [][]byte
	Waited  time.Duration
}

// Start returns the requests that get a slot now.
func (g *Gate) Start(now time.Time) []Started {
	var started []Started

	g.expireAnswers(now)

	for g.free() {
		next := g.queue.pop(now)
		if next == nil {
			break
		}

		h := g.flows[next.key]
		h.request = nil
		g.hand(now, h)

		started = append(started, Started{Key: next.key, Packets: next.packets, Waited: now.Sub(next.arrived)})
	}

	return started
}

// free reports whether the backend server has a slot for another request.
func (g *Gate) free() bool { return g.backend.slots == 0 || g.running < int(g.backend.slots) }

// hand notes that the backend server gets the request of a flow.
func (g *Gate) hand(now time.Time, h *held) {
	h.handed = now
	g.running++
}

// done notes that the request of a flow does not run any more.
func (g *Gate) done(h *held) {
	if !h.handed.IsZero() {
		h.handed = time.Time{}
		g.running--
	}
}

// asks decides about the first packet of a request: it is handed over, or waits
// for a slot.
func (g *Gate) asks(now time.Time, key flow.Key, h *held, sequence uint32, packet []byte) Kind {
	target, ok := g.table.Find(key.Service)
	if !ok || h.state != open || g.free() {
		g.hand(now, h)

		return Deliver
	}

	h.request = &request{key: key, route: target, arrived: now}
	h.request.keep(sequence, packet)
	g.queue.push(h.request)
	g.counters.Held++

	return Hold
}

// expireAnswers stops counting the requests whose answers are overdue. The
// backend server is to blame for them, and for opening packets without an answer.
func (g *Gate) expireAnswers(now time.Time) {
	if now.Sub(g.checked) < acceptLimit {
		return
	}

	g.checked = now

	for _, h := range g.flows {
		switch {
		case !h.handed.IsZero() && now.Sub(h.handed) > runLimit:
			g.done(h)
			g.health.observe(now, true)
		case h.state == opening && !h.overdue && now.Sub(h.since) > acceptLimit:
			h.overdue = true
			g.health.observe(now, true)
		}
	}
}

// abandon drops the request that waits in a flow whose client has closed it. What
// the client repeats of it is dropped too: the request must not run unseen.
func (g *Gate) abandon(h *held) {
	g.dropRequest(h)

	h.abandoned = true
	g.counters.Abandoned++
}

// dropRequest drops the request that waits in a flow.
func (g *Gate) dropRequest(h *held) {
	if h.request == nil {
		return
	}

	g.queue.remove(h.request)
	h.request = nil

	if !h.waiting.IsZero() {
		h.waiting = time.Time{}
		g.waiting--
	}
}
