package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/state/view"
)

var (
	report = view.Class{Name: "report", Urgency: 1, Deadline: 2 * time.Second}
	alert  = view.Class{Name: "alert", Urgency: 0, Idempotent: true, Deadline: 2 * time.Second}
	feed   = view.Class{Name: "feed", Urgency: 0, Idempotent: true, Feed: true, Deadline: 2 * time.Second}
)

func policy(slots int) admission.Policy {
	return admission.PolicyOf(view.Service{
		Slots: uint16(slots), Connections: 10, Classes: []view.Class{report, alert, feed},
	})
}

// startGate runs a gate in the bubble of a synctest and returns its end.
func startGate(slots int) (*gate, func()) {
	ctx, stop := context.WithCancel(context.Background())
	g := newGate(policy(slots))

	var group conc.WaitGroup

	group.Go(func() { g.run(ctx) })

	return g, func() { stop(); group.Wait() }
}

func deadline() time.Time { return time.Now().Add(2 * time.Second) }

func TestGate(t *testing.T) {
	// Guards against more requests at a backend server than it has slots, and
	// against slots that stay taken after a caller has given up.
	t.Run("slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, stop := startGate(2)
			defer stop()

			var group conc.WaitGroup

			for i := range 50 {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*20*time.Millisecond)
					defer cancel()

					granted, _ := g.enter(ctx, alert.Name, deadline())
					if granted == nil {
						return
					}

					is.True(g.occupancy(t.Context()).running <= 2) // slots are never exceeded
					time.Sleep(30 * time.Millisecond)
					granted.close(admission.Completed)
				})
			}

			group.Wait()
			is.Equal(g.occupancy(t.Context()), occupancy{}) // every slot came back
		})
	})

	// Guards against a stop that never ends: an answer that is closed, or a view
	// that arrives, after the gate has ended waited for it for ever.
	t.Run("after the end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, stop := startGate(1)
			granted, _ := g.enter(t.Context(), alert.Name, deadline())
			is.True(granted != nil)
			stop()

			granted.close(admission.Completed)
			g.reconfigure(t.Context(), policy(1))

			_, reason := g.enter(t.Context(), alert.Name, deadline())
			is.Equal(reason, admission.ReasonCancelled)
		})
	})
}
