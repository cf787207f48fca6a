package balancer

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

// fakeControllers is an upstream that loses some replies, records all renewals and
// reports one instance as unknown.
type fakeControllers struct {
	mutex   sync.Mutex
	calls   int
	lost    func(call int) bool
	renewed map[view.Incarnation]time.Time
	unknown view.Incarnation
}

func (c *fakeControllers) Call(ctx context.Context, _ string, request, reply any) error {
	c.mutex.Lock()
	c.calls++
	lost := c.lost(c.calls)
	renew := request.(*control.Renew)

	for _, item := range renew.Renewals {
		c.renewed[item.Incarnation] = time.Now()
	}
	c.mutex.Unlock()

	if lost {
		<-ctx.Done()

		return link.Errorf(link.KindDeadline, "no reply")
	}

	for _, item := range renew.Renewals {
		if item.Incarnation == c.unknown {
			reply.(*control.RenewReply).Unknown = []view.Incarnation{item.Incarnation}
		}
	}

	return nil
}

func (*fakeControllers) Close() {}

// runRelay runs test against a relay that batches renewals.
func runRelay(t *testing.T, upstream *fakeControllers, test func(t *testing.T, r *relay)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		upstream.renewed = make(map[view.Incarnation]time.Time)
		r := &relay{
			environment: "trial", upstream: upstream, logger: slog.New(slog.DiscardHandler),
			renewals: make(chan waitingRenewal, control.MaxRenewals),
		}
		ctx, stop := context.WithCancel(t.Context())

		var group conc.WaitGroup

		group.Go(func() { r.batchRenewals(ctx) })
		test(t, r)
		stop()
		group.Wait()
	})
}

func renewAll(ctx context.Context, r *relay, incarnations ...view.Incarnation) (*control.RenewReply, error) {
	message := control.Renew{Environment: "trial"}
	for _, incarnation := range incarnations {
		message.Renewals = append(message.Renewals, control.Renewal{Incarnation: incarnation})
	}

	return r.enqueueRenewals(ctx, message)
}

func TestRelay(t *testing.T) {
	never := func(int) bool { return false }

	// Guards against one batch for each renewal of a message: the leases of a large
	// zone would expire before all were sent.
	t.Run("one batch", func(t *testing.T) {
		upstream := &fakeControllers{lost: never, unknown: 3}
		runRelay(t, upstream, func(t *testing.T, r *relay) {
			is := is.New(t)
			reply, err := renewAll(t.Context(), r, 1, 2, 3, 4)
			is.NoErr(err)
			is.Equal(reply.Unknown, []view.Incarnation{3})
			is.Equal(upstream.calls, 1)
		})
	})

	// Guards against a lost reply that delays later batches, and against a lost
	// reply that an instance takes to mean that it is unknown.
	t.Run("lost replies", func(t *testing.T) {
		upstream := &fakeControllers{lost: func(call int) bool { return call%2 == 1 }, unknown: 99}
		runRelay(t, upstream, func(t *testing.T, r *relay) {
			is := is.New(t)

			var group conc.WaitGroup

			for incarnation := range view.Incarnation(20) {
				group.Go(func() {
					time.Sleep(time.Duration(incarnation) * 50 * time.Millisecond)

					for range 10 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						started := time.Now()
						reply, err := renewAll(ctx, r, incarnation)
						is.True(err != nil || len(reply.Unknown) == 0)
						is.NoErr(ctx.Err()) // the reply or error arrives before the next renewal is due
						cancel()
						upstream.mutex.Lock()
						last := upstream.renewed[incarnation]
						upstream.mutex.Unlock()
						is.True(!last.Before(started)) // every renewal reaches the controllers
						time.Sleep(time.Until(started.Add(time.Second)))
					}
				})
			}

			group.Wait()
		})
	})

	// Guards against a relay that accepts renewals of another environment.
	t.Run("environment", func(t *testing.T) {
		upstream := &fakeControllers{lost: never}
		runRelay(t, upstream, func(t *testing.T, r *relay) {
			r.environment = "production"
			_, err := renewAll(t.Context(), r, 1)
			is.New(t).Equal(link.KindOf(err), link.KindInvalid)
		})
	})
}
