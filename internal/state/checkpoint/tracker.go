package checkpoint

import (
	"jayspindle/internal/state/flow"
)

const (
	// minAckProgressBytes is the number of newly acknowledged bytes after which an
	// open flow is sent again. A reset needs a sequence number in the client's receive
	// window, which starts at the last byte that the client acknowledged; this is half
	// of the smallest receive window in use.
	minAckProgressBytes = 32 << 10

	// maxClosedFlows limits the closed flows that are kept for unresponsive
	// controllers. A controller that lacks older ones is sent all flows instead.
	maxClosedFlows = 4096
)

// trackedFlow is the state of a flow and the position of its last change.
type trackedFlow struct {
	acknowledged uint32
	position     uint64
}

// Tracker determines which changes of an agent's flows each controller lacks. It is
// not safe for concurrent use.
type Tracker struct {
	agent        flow.Endpoint
	epoch        uint64
	backendStart int64 // Unix milliseconds
	position     uint64
	deltaStart   uint64 // controllers behind this position are sent all flows
	flows        map[flow.Key]trackedFlow
	closed       map[flow.Key]uint64 // position at which each flow was closed
	acked        map[flow.Endpoint]uint64
}

// NewTracker returns a tracker for an agent. The epoch must be higher than those of
// earlier starts of the agent.
func NewTracker(agent flow.Endpoint, epoch uint64) *Tracker {
	return &Tracker{
		agent: agent, epoch: epoch, flows: make(map[flow.Key]trackedFlow), closed: make(map[flow.Key]uint64),
		acked: make(map[flow.Endpoint]uint64),
	}
}

// Observe compares the flows of a backend server with those observed before and
// records the changes. The values are the sequence numbers that the clients have
// acknowledged.
func (t *Tracker) Observe(backendStart int64, flows map[flow.Key]uint32) {
	if backendStart != t.backendStart {
		t.backendStart = backendStart
		t.position++
		t.deltaStart = t.position

		clear(t.flows)
		clear(t.closed)
	}

	nextPosition := t.position + 1

	for key, acknowledged := range flows {
		known, ok := t.flows[key]
		if ok && acknowledged-known.acknowledged < minAckProgressBytes {
			continue
		}

		t.flows[key] = trackedFlow{acknowledged: acknowledged, position: nextPosition}
		t.position = nextPosition

		delete(t.closed, key)
	}

	for key := range t.flows {
		if _, ok := flows[key]; !ok {
			delete(t.flows, key)

			t.closed[key] = nextPosition
			t.position = nextPosition
		}
	}

	if len(t.closed) > maxClosedFlows {
		t.deltaStart = t.position

		clear(t.closed)
	}
}

// Acknowledge records the position that a controller has. If the controller has a
// higher epoch, the agent's clock was set back since an earlier start; the tracker
// then takes a higher epoch, and all controllers are sent all flows.
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

// Batch returns the changes that a controller lacks, and false if there are none.
func (t *Tracker) Batch(controller flow.Endpoint) (Batch, bool) {
	from := t.acked[controller]
	if from == t.position {
		return Batch{}, false
	}

	if from < t.deltaStart {
		from = 0
	}

	batch := Batch{Agent: t.agent, BackendStart: t.backendStart, Epoch: t.epoch, From: from, To: t.position}

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

// DropClosed drops the closed flows whose end all of these controllers have
// acknowledged.
func (t *Tracker) DropClosed(controllers []flow.Endpoint) {
	minAcked := t.position
	for _, controller := range controllers {
		minAcked = min(minAcked, t.acked[controller])
	}

	if minAcked <= t.deltaStart {
		return
	}

	for key, position := range t.closed {
		if position <= minAcked {
			delete(t.closed, key)
		}
	}

	t.deltaStart = minAcked
}
