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
