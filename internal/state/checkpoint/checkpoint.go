// Package checkpoint stores the open flows of agents at controllers, which have
// disks, so that they survive a power failure. A restarted agent fetches them. If
// its backend server has restarted as well, the stored flows are lost, and the agent
// can notify their clients before they send a request that must not be repeated.
//
// # Usage
//
// An agent tracks its flows and sends each controller the changes that it lacks:
//
//	tracker := checkpoint.NewTracker(agent, epoch)
//	tracker.Observe(backendStart, flows)
//	batch, ok := tracker.Batch(controller)
//	tracker.Acknowledge(controller, ack)
//
// A controller stores the batches without decoding their flows:
//
//	store := checkpoint.NewStore()
//	ack, applied := store.Apply(now, batch, encoded)
//	batches := store.Batches(agent)
//
// A starting agent restores its flows from the batches:
//
//	restored, err := checkpoint.Restore(batches)
//
// # Guarantees
//
// A checkpoint is a hint. It may lack flows that were opened in the last second
// and contain flows that have been closed since. It is never a sufficient reason to
// reset a flow whose backend server may still be running.
package checkpoint

import (
	"encoding/binary"
	"fmt"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindMalformed Kind = "malformed" // the bytes are not a batch
	KindFile      Kind = "file"      // the file cannot be read or written
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("checkpoint", operation, kind, err)
}

// Flow is an open flow.
type Flow struct {
	Key          flow.Key
	Acknowledged uint32 // sequence number that the client acknowledged; may be out of date
}

// Batch holds the changes of an agent's flows from one position to another. If From
// is 0, it holds all flows.
type Batch struct {
	Agent        flow.Endpoint
	BackendStart int64  // start of the backend server, Unix milliseconds
	Epoch        uint64 // identifies the run of the agent's process; higher for each later run
	From, To     uint64
	Opened       []Flow // opened or changed
	Closed       []flow.Key
}

const (
	flowBytes   = flow.KeyBytes + 4
	headerBytes = flow.EndpointBytes + 4*8 + 2*4

	// maxBatchFlows limits the opened and the closed flows of a batch: a backend
	// server holds a few thousand.
	maxBatchFlows = 1 << 16
)

// Append appends the encoded batch to the buffer.
func (b Batch) Append(buffer []byte) []byte {
	buffer = b.Agent.Append(buffer)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(b.BackendStart))
	buffer = binary.LittleEndian.AppendUint64(buffer, b.Epoch)
	buffer = binary.LittleEndian.AppendUint64(buffer, b.From)
	buffer = binary.LittleEndian.AppendUint64(buffer, b.To)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(b.Opened)))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(b.Closed)))

	for _, opened := range b.Opened {
		buffer = binary.LittleEndian.AppendUint32(opened.Key.Append(buffer), opened.Acknowledged)
	}

	for _, closed := range b.Closed {
		buffer = closed.Append(buffer)
	}

	return buffer
}

// Parse decodes a batch and returns the remaining bytes.
func Parse(encoded []byte) (batch Batch, rest []byte, err error) {
	if len(encoded) < headerBytes {
		return Batch{}, nil, newError("parse", KindMalformed, fmt.Errorf("%d bytes are too short for a batch", len(encoded)))
	}

	batch.Agent = flow.ParseEndpoint(encoded)
	encoded = encoded[flow.EndpointBytes:]
	batch.BackendStart = int64(binary.LittleEndian.Uint64(encoded))
	batch.Epoch = binary.LittleEndian.Uint64(encoded[8:])
	batch.From = binary.LittleEndian.Uint64(encoded[16:])
	batch.To = binary.LittleEndian.Uint64(encoded[24:])
	opened, closed := binary.LittleEndian.Uint32(encoded[32:]), binary.LittleEndian.Uint32(encoded[36:])
	encoded = encoded[headerBytes-flow.EndpointBytes:]

	if opened > maxBatchFlows || closed > maxBatchFlows || int(opened)*flowBytes+int(closed)*flow.KeyBytes > len(encoded) {
		return Batch{}, nil, newError("parse", KindMalformed,
			fmt.Errorf("%d bytes cannot hold %d opened and %d closed flows", len(encoded), opened, closed))
	}

	for range opened {
		batch.Opened = append(batch.Opened, Flow{
			Key: flow.ParseKey(encoded), Acknowledged: binary.LittleEndian.Uint32(encoded[flow.KeyBytes:]),
		})
		encoded = encoded[flowBytes:]
	}

	for range closed {
		batch.Closed = append(batch.Closed, flow.ParseKey(encoded))
		encoded = encoded[flow.KeyBytes:]
	}

	return batch, encoded, nil
}

// RestoredFlows holds the flows that an agent had before it restarted.
type RestoredFlows struct {
	BackendStart int64  // start of the backend server that held the flows
	Epoch        uint64 // epoch of the agent that recorded the flows
	Flows        []Flow
}

// Restore applies the encoded batches of an agent in order. Without batches the
// result is empty.
func Restore(encoded []byte) (RestoredFlows, error) {
	var restored RestoredFlows

	flows := make(map[flow.Key]uint32)

	for len(encoded) > 0 {
		batch, rest, err := Parse(encoded)
		if err != nil {
			return RestoredFlows{}, err
		}

		if batch.From == 0 {
			clear(flows)
		}

		restored.BackendStart, restored.Epoch = batch.BackendStart, batch.Epoch

		for _, opened := range batch.Opened {
			flows[opened.Key] = opened.Acknowledged
		}

		for _, closed := range batch.Closed {
			delete(flows, closed)
		}

		encoded = rest
	}

	for key, acknowledged := range flows {
		restored.Flows = append(restored.Flows, Flow{Key: key, Acknowledged: acknowledged})
	}

	return restored, nil
}
