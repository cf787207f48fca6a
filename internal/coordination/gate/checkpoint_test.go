package gate_test

import (
	"testing"
	"time"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
)

// newMemory returns a checkpoint of the test flow by a backend server started at born.
func newMemory(born time.Time) checkpoint.RestoredFlows {
	return checkpoint.RestoredFlows{BackendStart: born.UnixMilli(), Flows: []checkpoint.Flow{{Key: key, Acknowledged: 5}}}
}

// TestLongLivedFlows guards against checkpoints that include short-lived flows or flows
// that have ended.
func TestLongLivedFlows(t *testing.T) {
	b := newBackendFixture(t)
	b.report(report(start, 1))
	b.openFlow()

	_, flows := b.gate.LongLivedFlows(b.now)
	b.is.Equal(len(flows), 0)

	b.now = start.Add(time.Second)
	b.report(report(start, 2))

	born, flows := b.gate.LongLivedFlows(b.now)
	b.is.Equal(born, start.UnixMilli())
	b.is.Equal(flows, map[flow.Key]uint32{key: 5})

	b.fromBackend(flow.Header{Acks: true, Close: true}, gate.ToClient)

	_, flows = b.gate.LongLivedFlows(b.now)
	b.is.Equal(len(flows), 0)
}

// TestFastFlow guards against resets of recalled flows whose sequence number is so
// outdated that a client takes them for forged.
func TestFastFlow(t *testing.T) {
	b := newBackendFixture(t)
	b.openOldFlow()

	acknowledge := func(total uint32) {
		b.fromClient(flow.Header{Acks: true, Acknowledged: total}, gate.Deliver)
	}
	stored := func() map[flow.Key]uint32 {
		_, flows := b.gate.LongLivedFlows(b.now)

		return flows
	}

	acknowledge(1000)
	b.is.Equal(stored(), map[flow.Key]uint32{key: 1000})

	// Slow progress is stored at the usual interval.
	b.now = b.now.Add(500 * time.Millisecond)
	acknowledge(21_000)
	b.is.True(!b.gate.CheckpointDue())
	b.is.Equal(stored(), map[flow.Key]uint32{key: 21_000})

	// A flow that gets too fast is taken out at once.
	b.now = b.now.Add(50 * time.Millisecond)
	acknowledge(46_000)
	b.is.True(b.gate.CheckpointDue())
	b.is.Equal(stored(), map[flow.Key]uint32{})
	b.is.True(!b.gate.CheckpointDue())

	b.now = b.now.Add(50 * time.Millisecond)
	acknowledge(100_000)
	b.is.True(!b.gate.CheckpointDue())

	// It is stored again once it is slow.
	b.now = b.now.Add(500 * time.Millisecond)
	stored()

	b.now = b.now.Add(500 * time.Millisecond)
	b.is.Equal(stored(), map[flow.Key]uint32{key: 100_000})
}

// TestRecover guards against clients that send their next request on a flow that
// was lost with its instance, and against the reset of flows that still exist.
func TestRecover(t *testing.T) {
	t.Run("the backend server has restarted", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))

		orphans, done := b.gate.RecoverFlows(b.now, newMemory(start.Add(-time.Minute)))
		b.is.True(done)
		b.is.Equal(orphans, []gate.Orphan{{Key: key, Sequence: 5}})
	})

	t.Run("only the agent has restarted", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start.Add(-time.Minute), 70))

		orphans, done := b.gate.RecoverFlows(b.now, newMemory(start.Add(-time.Minute)))
		b.is.True(done)
		b.is.Equal(len(orphans), 0)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Held)

		_, lasting := b.gate.LongLivedFlows(b.now)
		b.is.Equal(lasting, map[flow.Key]uint32{key: 5})

		// The flow has ended since the checkpoint.
		returned := requestHeader
		returned.Returned = true
		b.fromClient(requestHeader, gate.Deliver)
		b.fromBackend(returned, gate.Reset)
	})

	t.Run("the backend server has not reported", func(t *testing.T) {
		b := newBackendFixture(t)
		_, done := b.gate.RecoverFlows(b.now, newMemory(start))
		b.is.True(!done)
	})

	t.Run("the flow is in use again", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.openFlow()

		orphans, done := b.gate.RecoverFlows(b.now, newMemory(start.Add(-time.Minute)))
		b.is.True(done)
		b.is.Equal(len(orphans), 0)
	})

	t.Run("the report was delayed", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))

		born := start.Add(time.Minute)
		orphans, done := b.gate.RecoverFlows(b.now, newMemory(born))
		b.is.True(!done)
		b.is.Equal(len(orphans), 0)

		b.report(report(born, 70))
		_, done = b.gate.RecoverFlows(b.now, newMemory(born))
		b.is.True(done)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Held)
	})

	t.Run("the clock was ahead at the start that held the flow", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.report(report(start, 2))
		b.report(report(start, 3))

		orphans, done := b.gate.RecoverFlows(b.now, newMemory(start.Add(time.Minute)))
		b.is.True(done)
		b.is.Equal(len(orphans), 1)
	})
}
