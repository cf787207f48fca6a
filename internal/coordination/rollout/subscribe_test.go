package rollout_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
)

// upstream serves a publisher without a network.
type upstream struct {
	publisher     *rollout.Publisher
	subscriptions int
}

func (u *upstream) Watch(ctx context.Context, watch control.Watch) (rollout.Updates, error) {
	u.subscriptions++
	stream := &updates{items: make(chan cbor.RawMessage), ctx: ctx}

	go u.publisher.Serve(ctx, watch, func(item cbor.RawMessage) error {
		select {
		case stream.items <- item:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})

	return stream, nil
}

type updates struct {
	items chan cbor.RawMessage
	ctx   context.Context
}

func (u *updates) Next(update *control.Update) (bool, error) {
	select {
	case item := <-u.items:
		return true, cbor.Unmarshal(item, update)
	case <-u.ctx.Done():
		return false, u.ctx.Err()
	}
}

func (u *updates) Close() {}

// TestLeaveUpstream guards against a subscriber that stays with an upstream that
// sends nothing or that no leader has confirmed, while another one works.
func TestLeaveUpstream(t *testing.T) {
	for name, views := range map[string]int{"silent": 0, "unconfirmed": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				first, second, sink := rollout.New(environment), rollout.New(environment), rollout.New(environment)

				for range views {
					first.Apply(time.Now(), newView(1, 1))
				}

				second.Apply(time.Now(), newView(2, 1))

				upstreams := []*upstream{{publisher: first}, {publisher: second}}
				follower := rollout.NewFollower(environment, nil)

				go rollout.Subscribe(ctx, []rollout.Upstream{upstreams[0], upstreams[1]}, follower, sink,
					rand.New(rand.NewPCG(1, 1)))

				for range 30 {
					time.Sleep(time.Second)
					second.Confirm(time.Now())
					sink.Tick(time.Now())
				}

				snapshot, _ := sink.Snapshot()
				is.Equal(snapshot.View().Position(), view.Position{Generation: 1, Index: 2})
				is.True(snapshot.Confirmed(time.Now()))
				is.Equal(upstreams[1].subscriptions, 1) // it stays with the upstream that works

				cancel()
				synctest.Wait()
			})
		})
	}
}
