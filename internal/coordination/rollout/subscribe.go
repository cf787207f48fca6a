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
	// minRetry and maxRetry bound the waits between failed subscriptions.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Sink takes what a follower puts into force. Publisher is a Sink, which makes
// a relay.
type Sink interface {
	Apply(now time.Time, next *view.View)
	Confirm(at time.Time)
}

// Upstream offers the views of a controller or of a relay.
type Upstream interface {
	Watch(ctx context.Context, watch control.Watch) (Updates, error)
}

// Updates is one subscription at an upstream.
type Updates interface {
	// Next waits for the next update. It returns false after the last one.
	Next(update *control.Update) (bool, error)
	Close()
}

// Subscribe follows the first upstream that works and passes views and
// confirmations to the sink, until ctx ends. It leaves an upstream that fails,
// is silent, or has not been confirmed by a leader for too long.
func Subscribe(
	ctx context.Context, upstreams []Upstream, follower *Follower, sink Sink, random *rand.Rand,
) error {
	wait := minRetry

	for i := 0; ctx.Err() == nil; {
		started := time.Now()
		err := follow(ctx, upstreams[i%len(upstreams)], follower, sink)

		// A gap or a wrong digest is repaired by a new subscription at the same place.
		var typed *Error
		if !errors.As(err, &typed) || (typed.Kind() != KindGap && typed.Kind() != KindDigest) {
			i++
		}

		if time.Since(started) > maxRetry {
			wait = minRetry
		}

		pause(ctx, time.Duration(random.Int64N(int64(wait))))
		wait = min(2*wait, maxRetry)
	}

	return context.Cause(ctx)
}

// follow handles one subscription and returns why it ended.
func follow(ctx context.Context, upstream Upstream, follower *Follower, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	// The link notices a silent path; this timer notices a silent publisher.
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()

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

		silence.Reset(silenceLimit)

		if err := take(time.Now(), follower, update, sink); err != nil {
			return err
		}

		if fresh := latest(started, follower.ConfirmedAt()); time.Since(fresh) > staleLimit {
			return newError("follow", KindStale, errors.Errorf("no leader has confirmed a view for %s", staleLimit))
		}
	}
}

// take passes one update to the follower and its result to the sink.
func take(now time.Time, follower *Follower, update control.Update, sink Sink) error {
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

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// FromClient returns the upstream at the other end of a link.
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
