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

// controllers assigns incarnations in turn and forgets the instance once.
type controllers struct {
	assigned []view.Incarnation
	renewals int
	lost     int // replies to renewals that are lost first
	forgets  int // the renewal at which the instance is not known
}

func (c *controllers) Call(ctx context.Context, method string, _, reply any) error {
	if method == control.MethodAnnounce {
		reply.(*control.AnnounceReply).Incarnation = c.assigned[0]
		c.assigned = c.assigned[min(1, len(c.assigned)-1):]

		return nil
	}

	if c.renewals++; c.renewals <= c.lost {
		<-ctx.Done()

		return link.Errorf(link.KindDeadline, "lost")
	}

	if c.renewals == c.forgets {
		reply.(*control.RenewReply).Unknown = []view.Incarnation{1}
	}

	return nil
}

func (*controllers) Close() {}

// keep keeps a lease for ten seconds and returns the incarnation and whether it
// was replaced.
func keep(t *testing.T, upstream *controllers) (incarnation view.Incarnation, replaced bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &Member{
			options: Options{
				Announce: func([]byte) control.Announce { return control.Announce{} },
				Load:     func() uint8 { return 0 }, Logger: slog.New(slog.DiscardHandler),
			},
			calls: upstream, ready: make(chan struct{}), replaced: make(chan struct{}),
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
	// reply that is taken for "not known".
	t.Run("lost replies", func(t *testing.T) {
		is := is.New(t)
		upstream := &controllers{assigned: []view.Incarnation{1, 2}, lost: 2}
		incarnation, replaced := keep(t, upstream)
		is.Equal(incarnation, view.Incarnation(1))
		is.True(!replaced)
		is.True(upstream.renewals >= 9) // one each second, also after lost ones
	})

	// Guards against an instance that does not resume after a suspension.
	t.Run("resumed", func(t *testing.T) {
		incarnation, replaced := keep(t, &controllers{assigned: []view.Incarnation{1, 1}, forgets: 3})
		is.New(t).True(incarnation == 1 && !replaced)
	})

	// Guards against an instance that goes on under an incarnation that was
	// forgotten: nothing would reach it, and its claims would have another owner.
	t.Run("forgotten", func(t *testing.T) {
		incarnation, replaced := keep(t, &controllers{assigned: []view.Incarnation{1, 2}, forgets: 3})
		is.New(t).True(incarnation == 1 && replaced)
	})
}
