package gate_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

// reportUntilReady passes a report of a start at every interval until the agent
// publishes that it is ready, and returns the number of reports.
func (b *backendFixture) reportUntilReady(born time.Time, sequence uint64) int {
	b.Helper()

	for count := 1; count <= 10; count++ {
		b.report(report(born, sequence))

		if b.state() == roster.Ready {
			return count
		}

		sequence++
		b.advance(reportInterval)
	}

	b.Fatal("the backend server keeps reporting and gets no new flows")

	return 0
}

// advance lets time pass for a gate that runs.
func (b *backendFixture) advance(elapsed time.Duration) {
	const step = 250 * time.Millisecond

	for end := b.now.Add(elapsed); b.now.Before(end); {
		b.now = b.now.Add(min(step, end.Sub(b.now)))
		b.gate.Sweep(b.now)
	}
}

func (b *backendFixture) state() roster.State { return b.gate.Record(b.now).State }

// checkInUse checks that the backend server still holds the flow.
func (b *backendFixture) checkInUse(sequence uint32) {
	b.Helper()
	b.is.Equal(len(b.gate.Orphans()), 0)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Held)

	next := requestHeader
	next.Sequence = sequence
	b.fromClient(next, gate.Deliver)
	b.fromBackend(answerHeader, gate.ToClient)
}

// TestImpossibleReport guards against a report with a value that cannot be true: all
// later reports of the running backend server were taken for outdated ones.
func TestImpossibleReport(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*gate.Report)
		field  string
	}{
		"highest sequence": {func(r *gate.Report) { r.Sequence = 1<<64 - 1 }, "sequence"},
		"year 9999": {func(r *gate.Report) {
			r.ID, r.StartMillis = "b", time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()
		}, "start"},
		"highest start":   {func(r *gate.Report) { r.ID, r.StartMillis = "b", 1<<63-1 }, "start"},
		"start of zero":   {func(r *gate.Report) { r.StartMillis = 0 }, "start"},
		"negative start":  {func(r *gate.Report) { r.StartMillis = -1 }, "start"},
		"days of warm-up": {func(r *gate.Report) { r.WarmUpRemaining = 24 * 24 * time.Hour }, "warm-up"},
		"no slots":        {func(r *gate.Report) { r.Slots = 0 }, "slots"},
		"no id":           {func(r *gate.Report) { r.ID = "" }, "id"},
		"long id":         {func(r *gate.Report) { r.ID = strings.Repeat("a", 300) }, "id"},
		"another service": {func(r *gate.Report) { r.Service = "link" }, "service"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackendFixture(t)
			b.openOldFlow()
			before := b.gate.Record(b.now)

			odd := report(start, 4)
			test.change(&odd)
			_, err := b.gate.Report(b.now, odd)

			var refused *gate.Error
			b.is.True(errors.As(err, &refused))
			b.is.True(strings.Contains(err.Error(), test.field+": found "))
			b.is.Equal(b.gate.Record(b.now), before)

			b.advance(reportInterval)
			b.is.Equal(b.report(report(start, 5)), gate.Unchanged)
			b.checkInUse(requestHeader.End())
		})
	}

	t.Run("end of an impossible start", func(t *testing.T) {
		b := newBackendFixture(t)
		b.openOldFlow()
		_, err := b.gate.MarkEnded(b.now, "a", 1<<63-1)
		b.is.True(err != nil)
		b.checkInUse(requestHeader.End())
	})
}

// TestWrongSequence guards against a backend server that is kept out of use because one
// of its reports had too high a sequence number.
func TestWrongSequence(t *testing.T) {
	b := newBackendFixture(t)
	b.openOldFlow()
	b.report(report(start, 1_000_000))

	for sequence := range uint64(37) {
		b.advance(reportInterval)
		b.report(report(start, 4+sequence))
		b.is.Equal(b.state(), roster.Ready)
	}

	b.is.Equal(b.report(report(start, 41)), gate.Unchanged)
	b.checkInUse(requestHeader.End())
}

// TestWrongStart guards against a backend server that is kept out of use, and whose flows
// are reset, because of one report of a later start that does not exist.
func TestWrongStart(t *testing.T) {
	b := newBackendFixture(t)
	b.openOldFlow()

	odd := report(start.Add(time.Hour), 9)
	odd.ID = "b"
	b.report(odd)

	sequence := requestHeader.End()

	for count := range uint64(37) {
		b.advance(reportInterval)
		b.report(report(start, 4+count))
		b.is.Equal(b.state(), roster.Ready)
		b.checkInUse(sequence)

		sequence += uint32(requestHeader.Length)
	}

	b.is.Equal(b.report(report(start, 41)), gate.Unchanged)
}

// TestClockAhead guards against a backend server that gets no flows because its machine's
// clock was ahead when the one before it started.
func TestClockAhead(t *testing.T) {
	b := newBackendFixture(t)
	ahead := start.Add(time.Minute)

	b.report(report(ahead, 1))
	b.openFlow()

	for sequence := range uint64(4) {
		b.advance(reportInterval)
		b.report(report(ahead, 2+sequence))
	}

	b.advance(4 * reportInterval)
	b.is.Equal(b.state(), roster.Starting)

	// Three reports prove that it runs.
	b.is.True(b.reportUntilReady(b.now, 1) <= 3)
	b.is.Equal(b.gate.Orphans(), []gate.Orphan{{Key: key, Sequence: 5}})
}

// TestLateReport guards against a start of the backend server that has ended and is in
// use again because of reports that were delayed.
func TestLateReport(t *testing.T) {
	t.Run("of a start that was replaced", func(t *testing.T) {
		b := newBackendFixture(t)
		b.openOldFlow()

		b.advance(reportInterval)
		born := b.now
		b.report(report(born, 1))

		for sequence := range uint64(5) { // arrive together
			b.is.Equal(b.report(report(start, 4+sequence)), gate.Outdated)
		}

		b.advance(reportInterval)
		b.is.Equal(b.report(report(born, 2)), gate.Unchanged)
		b.advance(reportInterval)
		b.is.Equal(len(b.gate.Orphans()), 1)
	})

	t.Run("of two starts that were replaced one after the other", func(t *testing.T) {
		b := newBackendFixture(t)
		b.openOldFlow()

		second := b.now.Add(reportInterval)
		b.report(report(second, 1))
		b.advance(reportInterval)
		b.is.Equal(b.report(report(start, 4)), gate.Outdated)
		b.advance(reportInterval)
		b.is.Equal(b.report(report(start, 5)), gate.Outdated)
		b.report(report(second.Add(time.Second), 1))
		b.is.Equal(b.report(report(start, 6)), gate.Outdated)
	})

	t.Run("of a start that has announced its end", func(t *testing.T) {
		b := newBackendFixture(t)
		b.openOldFlow()
		b.is.Equal(b.markEnded("a", start.UnixMilli()), gate.Changed)
		b.is.Equal(b.report(report(start, 4)), gate.Outdated)
		b.is.Equal(b.report(report(start, 5)), gate.Outdated)
		b.is.Equal(b.state(), roster.Ended)
	})

	t.Run("of a start that has announced its end to a new agent", func(t *testing.T) {
		b := newBackendFixture(t)
		b.is.Equal(b.markEnded("a", start.UnixMilli()), gate.Changed)
		b.is.Equal(b.report(report(start, 4)), gate.Outdated)
		b.is.Equal(b.state(), roster.Ended)

		b.advance(time.Second)
		b.is.Equal(b.report(report(b.now, 1)), gate.Changed)
	})
}

// TestWrongEnd guards against a backend server that is kept out of use although it keeps
// reporting after it was announced as ended.
func TestWrongEnd(t *testing.T) {
	b := newBackendFixture(t)
	b.report(report(start, 1))
	b.markEnded("a", start.UnixMilli())
	b.is.True(b.reportUntilReady(start, 2) <= 3)
}

// TestLeavingOutOfOrder guards against new flows at a backend server that is leaving: its
// report was acknowledged, but ignored after one with too high a sequence number.
func TestLeavingOutOfOrder(t *testing.T) {
	b := newBackendFixture(t)
	b.report(report(start, 1000))

	leaving := report(start, 2)
	leaving.Leaving = true
	b.is.Equal(b.report(leaving), gate.Changed)
	b.checkRefused(gate.ReasonLeaving)
}

// TestQuickSuccessor guards against the reset of flows by a report that may be wrong, and
// against clients that are not told that their flows are lost: those of a start that was
// replaced are reset once it has missed a report, or when they are used.
func TestQuickSuccessor(t *testing.T) {
	b := newBackendFixture(t)
	b.openOldFlow()

	b.advance(reportInterval / 2)
	b.report(report(b.now, 1))
	b.is.Equal(len(b.gate.Orphans()), 0)

	t.Run("used", func(*testing.T) {
		next, returned := requestHeader, requestHeader
		next.Sequence = requestHeader.End()
		returned.Returned = true

		b.fromClient(next, gate.Deliver)
		b.fromBackend(returned, gate.Reset)
	})

	t.Run("idle", func(t *testing.T) {
		b := newBackendFixture(t)
		b.openOldFlow()

		b.advance(reportInterval / 2)
		b.report(report(b.now, 1))
		b.advance(reportInterval * 3 / 2)
		b.is.Equal(b.gate.Orphans(), []gate.Orphan{{Key: key, Sequence: 5}})
	})
}

// TestLateEnd guards against the denial of flows by a restarted agent that gets the
// delayed announcement of the end of an earlier backend server.
func TestLateEnd(t *testing.T) {
	b := newBackendFixture(t)
	b.is.Equal(b.markEnded("z", start.Add(-time.Minute).UnixMilli()), gate.Changed)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
	b.is.True(!b.gate.BackendLost(b.now))

	b.advance(2 * reportInterval)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Absent)
	b.is.True(b.gate.BackendLost(b.now))
}

// TestPausedAgent guards against an agent that takes the time in which it did not run for
// silence of its backend server, whose reports it could not read.
func TestPausedAgent(t *testing.T) {
	const pause = 10 * time.Second

	t.Run("backend server in use", func(t *testing.T) {
		b := newBackendFixture(t)
		b.openOldFlow()
		b.now = b.now.Add(pause)
		b.is.True(!b.gate.Sweep(b.now))
		b.is.Equal(b.state(), roster.Ready)
		b.is.True(!b.gate.BackendLost(b.now))

		b.advance(4 * reportInterval) // without a report
		b.is.Equal(b.state(), roster.Starting)
		b.is.True(b.gate.BackendLost(b.now))
	})

	t.Run("before the first report", func(t *testing.T) {
		b := newBackendFixture(t)
		b.advance(reportInterval / 2)
		b.now = b.now.Add(pause)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
		b.is.True(!b.gate.BackendLost(b.now))
		b.gate.Sweep(b.now)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
		b.is.True(!b.gate.BackendLost(b.now))
	})
}

// openOldFlow opens the flow, which the backend server has held for longer than a report
// can be delayed when it reports again. It leaves the time of that report.
func (b *backendFixture) openOldFlow() {
	b.Helper()
	b.report(report(start, 1))
	b.openFlow()

	b.now = start.Add(2 * time.Second)
	b.report(report(start, 3))
}

// TestReplaced guards against packets of a flow that reach the successor of its
// backend server at the same address, and against clients that are not told at
// once that their flow is lost.
func TestReplaced(t *testing.T) {
	b := newBackendFixture(t)
	b.openOldFlow()

	b.now = b.now.Add(2 * time.Second)
	b.report(report(b.now, 1))
	b.is.Equal(b.gate.Locate(b.now, key), flow.Absent)

	orphans := b.gate.Orphans()
	b.is.Equal(orphans, []gate.Orphan{{Key: key, Sequence: 5}})
	b.is.Equal(len(b.gate.Orphans()), 0)
	b.is.Equal(b.gate.Load(b.now), roster.Load{})

	b.fromClient(requestHeader, gate.Return)
}

// TestEnded guards against a packet that reaches the successor of its backend
// server because it arrives before the flow was reset.
func TestEnded(t *testing.T) {
	b := newBackendFixture(t)
	b.openOldFlow()

	b.now = b.now.Add(2 * time.Second)
	b.report(report(b.now, 1))
	b.is.Equal(b.fromClient(requestHeader, gate.Reset).Reason, gate.ReasonReplaced)
	b.fromClient(openHeader, gate.Deliver)
}

// TestFlowBeforeFirstReport guards against the reset of flows that a backend server has
// accepted before its first report, while the agent took it for the one before.
func TestFlowBeforeFirstReport(t *testing.T) {
	// open lets a backend server crash right after a report. Its successor starts soon
	// after, and accepts the flow before its first report, an interval later.
	open := func(t *testing.T) (b *backendFixture, born time.Time) {
		t.Helper()

		b = newBackendFixture(t)
		b.now = start.Add(10 * reportInterval)
		b.report(report(start, 10))

		born = b.now.Add(200 * time.Millisecond)
		b.now = born.Add(100 * time.Millisecond)
		b.openFlow()
		b.now = born.Add(reportInterval)

		return b, born
	}

	t.Run("is kept", func(t *testing.T) {
		b, born := open(t)
		b.is.Equal(b.report(report(born, 1)), gate.Changed)
		b.is.Equal(len(b.gate.Orphans()), 0)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Held)

		next := requestHeader
		next.Sequence = requestHeader.End()
		b.fromClient(next, gate.Deliver)
		b.fromBackend(answerHeader, gate.ToClient)
	})

	t.Run("is reset if it was of the crashed one", func(t *testing.T) {
		b, born := open(t)
		b.report(report(born, 1))

		next, returned := requestHeader, requestHeader
		next.Sequence = requestHeader.End()
		returned.Returned = true

		b.fromClient(next, gate.Deliver)
		b.is.Equal(b.fromBackend(returned, gate.Reset).Reason, gate.ReasonNotHeld)
	})

	t.Run("is not stored as one of the crashed one", func(t *testing.T) {
		b, born := open(t)

		b.now = b.now.Add(minCheckpointAge)
		_, flows := b.gate.LongLivedFlows(b.now)
		b.is.Equal(len(flows), 0)

		b.report(report(born, 3))
		b.fromBackend(answerHeader, gate.ToClient)

		stored, flows := b.gate.LongLivedFlows(b.now)
		b.is.Equal(stored, born.UnixMilli())
		b.is.Equal(flows, map[flow.Key]uint32{key: 5})
	})
}
