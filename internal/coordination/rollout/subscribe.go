package rollout

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

const (
	// minRetryDelay and maxRetryDelay limit the random delay before a subscription
	// is retried: its upper bound doubles from the one to the other.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Sink receives the views that a follower puts into force, and their
// confirmations. A relay uses a Publisher as its Sink.
type Sink interface {
	Apply(now time.Time, next *view.View)
	Confirm(at time.Time)
}

// Upstream is a controller or a relay from which views are received.
type Upstream interface {
	Watch(ctx context.Context, watch control.Watch) (Updates, error)
}

// Updates is the stream of updates of one subscription.
type Updates interface {
	// Next waits for the next update. It returns false after the last one.
	Next(update *control.Update) (bool, error)
	Close()
}

// Subscribe subscribes to the first upstream that works and passes views and
// confirmations to the sink, until ctx ends. It changes to the next upstream if
// one fails, sends nothing for silenceTimeout, or has not been confirmed by a
// leader for confirmationTimeout.
func Subscribe(
	ctx context.Context, upstreams []Upstream, follower *Follower, sink Sink, random *rand.Rand,
) error {
	maxDelay := minRetryDelay

	for i := 0; ctx.Err() == nil; {
		started := time.Now()
		err := followUpstream(ctx, upstreams[i%len(upstreams)], follower, sink)

		// A gap or a wrong digest is repaired by a new subscription to the same upstream.
		var rolloutErr *Error
		if !errors.As(err, &rolloutErr) || (rolloutErr.Kind() != KindGap && rolloutErr.Kind() != KindDigest) {
			i++
		}

		if time.Since(started) > maxRetryDelay {
			maxDelay = minRetryDelay
		}

		sleep(ctx, time.Duration(random.Int64N(int64(maxDelay))))
		maxDelay = min(2*maxDelay, maxRetryDelay)
	}

	return context.Cause(ctx)
}

// followUpstream runs one subscription until it ends and returns the reason.
func followUpstream(ctx context.Context, upstream Upstream, follower *Follower, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	// The link detects a broken connection, and this timer a publisher that sends nothing.
	silenceTimer := time.AfterFunc(silenceTimeout, cancel)
	defer silenceTimer.Stop()

	updates, err := upstream.Watch(ctx, follower.Watch())
	if err != nil {
		return newError("subscribe", KindUpstream, err)
	}
	defer updates.Close()

	started := time.Now()

	for {
		var update control.Update

		more, err := updates.Next(&update)
		if err != nil {
			return newError("follow", KindUpstream, err)
		}

		if !more {
			return newError("follow", KindUpstream, errors.New("the stream ended"))
		}

		silenceTimer.Reset(silenceTimeout)

		if err := applyUpdate(time.Now(), follower, update, sink); err != nil {
			return err
		}

		if lastConfirmed := latest(started, follower.ConfirmedAt()); time.Since(lastConfirmed) > confirmationTimeout {
			return newError("follow", KindStale, errors.Errorf("no leader has confirmed a view for %s", confirmationTimeout))
		}
	}
}

// applyUpdate passes one update to the follower and its result to the sink.
func applyUpdate(now time.Time, follower *Follower, update control.Update, sink Sink) error {
	changed, err := follower.Handle(now, update)
	if err != nil {
		return err
	}

	if changed {
		sink.Apply(now, follower.View())
	}

	if !follower.ConfirmedAt().IsZero() {
		sink.Confirm(follower.ConfirmedAt())
	}

	return nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// FromClient returns an Upstream for the server that the client is connected to.
func FromClient(client *link.Client) Upstream { return linkUpstream{client: client} }

type linkUpstream struct{ client *link.Client }

func (l linkUpstream) Watch(ctx context.Context, watch control.Watch) (Updates, error) {
	stream, err := l.client.Stream(ctx, control.MethodWatch, watch)
	if err != nil {
		return nil, err
	}

	return linkUpdates{stream: stream}, nil
}

type linkUpdates struct{ stream *link.Stream }

func (l linkUpdates) Next(update *control.Update) (bool, error) { return l.stream.Next(update) }
func (l linkUpdates) Close()                                    { l.stream.Close() }
