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

func testPolicy(slots int) admission.Policy {
	return admission.PolicyOf(view.Service{
		Slots: uint16(slots), Connections: 10, Classes: []view.Class{report, alert, feed},
	})
}

// startAdmitter runs an admitter and returns a function that stops it.
func startAdmitter(slots int) (*admitter, func()) {
	ctx, stop := context.WithCancel(context.Background())
	g := newAdmitter(testPolicy(slots))

	var group conc.WaitGroup

	group.Go(func() { g.run(ctx) })

	return g, func() { stop(); group.Wait() }
}

func testDeadline() time.Time { return time.Now().Add(2 * time.Second) }

func TestAdmitter(t *testing.T) {
	// Guards against more requests at a backend server than it has slots, and
	// against slots that stay taken after a caller has given up.
	t.Run("slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, stop := startAdmitter(2)
			defer stop()

			var group conc.WaitGroup

			for i := range 50 {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*20*time.Millisecond)
					defer cancel()

					granted, _ := g.acquire(ctx, alert.Name, testDeadline())
					if granted == nil {
						return
					}

					is.True(g.occupancy(t.Context()).running <= 2) // slots are never exceeded
					time.Sleep(30 * time.Millisecond)
					granted.release(admission.Completed)
				})
			}

			group.Wait()
			is.Equal(g.occupancy(t.Context()), occupancy{}) // every slot was released
		})
	})

	// Guards against a shutdown that never finishes: closing an answer or applying
	// a view after the admitter had stopped used to wait for it forever.
	t.Run("after stop", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, stop := startAdmitter(1)
			granted, _ := g.acquire(t.Context(), alert.Name, testDeadline())
			is.True(granted != nil)
			stop()

			granted.release(admission.Completed)
			g.reconfigure(t.Context(), testPolicy(1))

			_, reason := g.acquire(t.Context(), alert.Name, testDeadline())
			is.Equal(reason, admission.ReasonCancelled)
		})
	})
}
