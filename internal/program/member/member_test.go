package member

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

// fakeControllers assigns the given incarnations in order, the last one
// repeatedly, and reports the instance as unknown once.
type fakeControllers struct {
	assigned    []view.Incarnation
	renewals    int
	lostReplies int // number of renewals, from the first on, whose replies are lost
	unknownAt   int // number of the renewal at which the instance is unknown
}

func (c *fakeControllers) Call(ctx context.Context, method string, _, reply any) error {
	if method == control.MethodAnnounce {
		reply.(*control.AnnounceReply).Incarnation = c.assigned[0]
		c.assigned = c.assigned[min(1, len(c.assigned)-1):]

		return nil
	}

	if c.renewals++; c.renewals <= c.lostReplies {
		<-ctx.Done()

		return link.Errorf(link.KindDeadline, "lost")
	}

	if c.renewals == c.unknownAt {
		reply.(*control.RenewReply).Unknown = []view.Incarnation{1}
	}

	return nil
}

func (*fakeControllers) Close() {}

// runKeepLease runs keepLease for ten seconds and returns the incarnation and
// whether it was replaced.
func runKeepLease(t *testing.T, upstream *fakeControllers) (incarnation view.Incarnation, replaced bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &Member{
			options: Options{
				Announce: func([]byte) control.Announce { return control.Announce{} },
				Load:     func() uint8 { return 0 }, Logger: slog.New(slog.DiscardHandler),
			},
			client: upstream, ready: make(chan struct{}), replaced: make(chan struct{}),
		}

		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()

		m.keepLease(ctx)

		select {
		case <-m.Replaced():
			replaced = true
		default:
		}

		incarnation = m.Incarnation()
	})

	return incarnation, replaced
}

func TestKeepLease(t *testing.T) {
	// Guards against a lease that ends after one lost reply, and against a lost
	// reply that counts as "unknown instance".
	t.Run("lost replies", func(t *testing.T) {
		is := is.New(t)
		upstream := &fakeControllers{assigned: []view.Incarnation{1, 2}, lostReplies: 2}
		incarnation, replaced := runKeepLease(t, upstream)
		is.Equal(incarnation, view.Incarnation(1))
		is.True(!replaced)
		is.True(upstream.renewals >= 9) // one each second, also after lost ones
	})

	// Guards against an instance that does not resume after a suspension.
	t.Run("resumed", func(t *testing.T) {
		incarnation, replaced := runKeepLease(t, &fakeControllers{assigned: []view.Incarnation{1, 1}, unknownAt: 3})
		is.New(t).True(incarnation == 1 && !replaced)
	})

	// Guards against an instance that continues with an incarnation that the
	// controllers have dropped: no packet would reach it, and its claims would
	// have another owner.
	t.Run("forgotten", func(t *testing.T) {
		incarnation, replaced := runKeepLease(t, &fakeControllers{assigned: []view.Incarnation{1, 2}, unknownAt: 3})
		is.New(t).True(incarnation == 1 && replaced)
	})
}
