package checkpoint

import (
	"jayspindle/internal/state/flow"
)

const (
	// ackStep is the progress of a client after which its flow is sent again. A
	// reset has to name about the last byte that the client acknowledged; this
	// is half of the smallest receive window in use.
	ackStep = 32 << 10

	// maxClosed bounds the closed flows that are kept for controllers that do
	// not answer. One that lacks older ones gets all flows instead.
	maxClosed = 4096
)

// tracked is a flow as it was at a position.
type tracked struct {
	acknowledged uint32
	position     uint64
}

// Tracker tells which changes of an agent's flows each controller lacks. One
// goroutine at a time uses it.
type Tracker struct {
	agent    flow.Endpoint
	epoch    uint64
	born     int64
	position uint64
	horizon  uint64 // changes up to here are only known as a whole
	flows    map[flow.Key]tracked
	closed   map[flow.Key]uint64 // position of the end
	acked    map[flow.Endpoint]uint64
}

// NewTracker returns a tracker of an agent. The epoch is its start; a later
// start needs a higher one.
func NewTracker(agent flow.Endpoint, epoch uint64) *Tracker {
	return &Tracker{
		agent: agent, epoch: epoch, flows: make(map[flow.Key]tracked), closed: make(map[flow.Key]uint64),
		acked: make(map[flow.Endpoint]uint64),
	}
}

// Observe compares the flows of a backend server with those observed before.
// Born is the start of the backend server.
func (t *Tracker) Observe(born int64, flows map[flow.Key]uint32) {
	if born != t.born {
		t.born = born
		t.position++
		t.horizon = t.position

		clear(t.flows)
		clear(t.closed)
	}

	next := t.position + 1

	for key, acknowledged := range flows {
		known, ok := t.flows[key]
		if ok && acknowledged-known.acknowledged < ackStep {
			continue
		}

		t.flows[key] = tracked{acknowledged: acknowledged, position: next}
		t.position = next

		delete(t.closed, key)
	}

	for key := range t.flows {
		if _, ok := flows[key]; !ok {
			delete(t.flows, key)

			t.closed[key] = next
			t.position = next
		}
	}

	if len(t.closed) > maxClosed {
		t.horizon = t.position

		clear(t.closed)
	}
}

// Acknowledge notes what a controller has. A controller that has something of a
// later start knows the agent from before its clock was set back; the tracker then
// takes a higher epoch, and all controllers get all flows.
func (t *Tracker) Acknowledge(controller flow.Endpoint, ack Acknowledgement) {
	switch {
	case ack.Epoch > t.epoch:
		t.epoch = ack.Epoch + 1

		clear(t.acked)
	case ack.Epoch < t.epoch || ack.Position > t.position:
		t.acked[controller] = 0
	default:
		t.acked[controller] = ack.Position
	}
}

// Batch returns what a controller lacks, and false if that is nothing.
func (t *Tracker) Batch(controller flow.Endpoint) (Batch, bool) {
	from := t.acked[controller]
	if from == t.position {
		return Batch{}, false
	}

	if from < t.horizon {
		from = 0
	}

	batch := Batch{Agent: t.agent, Born: t.born, Epoch: t.epoch, From: from, To: t.position}

	for key, known := range t.flows {
		if known.position > from {
			batch.Opened = append(batch.Opened, Flow{Key: key, Acknowledged: known.acknowledged})
		}
	}

	if from > 0 {
		for key, position := range t.closed {
			if position > from {
				batch.Closed = append(batch.Closed, key)
			}
		}
	}

	return batch, true
}

// Forget drops the closed flows that all of these controllers know of.
func (t *Tracker) Forget(controllers []flow.Endpoint) {
	least := t.position
	for _, controller := range controllers {
		least = min(least, t.acked[controller])
	}

	if least <= t.horizon {
		return
	}

	for key, position := range t.closed {
		if position <= least {
			delete(t.closed, key)
		}
	}

	t.horizon = least
}
