package agent

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/protocol/peer"
)

// result is what became of a call. The body of an answer must be closed.
type result struct {
	state  peer.State
	cause  cause
	reason string
	status int
	header http.Header
	body   io.ReadCloser
}

func notRun(why cause, reason string) *result {
	return &result{state: peer.NotRun, cause: why, reason: reason}
}

func unknown(why cause, reason string) *result {
	return &result{state: peer.Unknown, cause: why, reason: reason}
}

func (r *result) mayHaveRun() bool { return r.state != peer.NotRun }

// runner runs a call somewhere.
type runner interface {
	run(ctx context.Context, c *call) *result
}

// local runs calls on the agent's own backend server.
type local struct {
	gate    *gate
	backend *backendServer
}

// run waits for a slot and hands the call over. The slot is held until the
// body of the answer is closed.
func (l *local) run(ctx context.Context, c *call) *result {
	if !l.backend.healthy.Load() {
		return notRun(causeUnhealthy, string(causeUnhealthy))
	}

	// A feed has a deadline for its first byte only.
	waiting, cancel := context.WithDeadline(ctx, c.startLimit())
	defer cancel()

	granted, reason := l.gate.enter(waiting, c.class.Name, c.deadline)
	if granted == nil {
		return notRun(cause(reason), string(reason))
	}

	return l.handOver(ctx, c, granted)
}

// handOver sends the call to the backend server. The slot is freed even if a
// panic passes through, which the HTTP server turns into a reset stream.
func (l *local) handOver(ctx context.Context, c *call, granted *pass) *result {
	handing, started, stop := handOverContext(ctx, c)

	held := false

	defer func() {
		if !held {
			stop()
			granted.close(admission.Abandoned)
		}
	}()

	response, ran, err := l.backend.send(handing, c) //nolint:bodyclose // closed with the body of the result

	switch {
	case err != nil && ran:
		return unknown(causeBroken, err.Error())
	case errors.Is(err, errShed):
		return notRun(causeShed, err.Error())
	case err != nil:
		return notRun(causeConnect, err.Error())
	}

	started()

	held = true

	return &result{
		state:  peer.Answered,
		status: response.StatusCode,
		header: endToEnd(response.Header),
		body:   &slotBody{ReadCloser: response.Body, granted: granted, stop: stop},
	}
}

// handOverContext carries the deadline and the caller's cancellation to the
// backend server. The deadline of a feed ends when the feed has started.
func handOverContext(ctx context.Context, c *call) (_ context.Context, started, stop func()) {
	if !c.class.Feed {
		ctx, cancel := context.WithDeadline(ctx, c.deadline)

		return ctx, func() {}, cancel
	}

	ctx, cancel := context.WithCancelCause(ctx)
	limit := time.AfterFunc(time.Until(c.deadline), func() { cancel(context.DeadlineExceeded) })

	return ctx, func() { limit.Stop() }, func() {
		limit.Stop()
		cancel(nil)
	}
}

// slotBody frees the slot when the body is closed.
type slotBody struct {
	io.ReadCloser
	granted *pass
	stop    context.CancelFunc
	ended   bool // the whole body was read
	once    sync.Once
}

// Read reads the body and notes its end.
func (b *slotBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.ended = true
	}

	return n, err
}

// Close frees the slot once.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()

	b.once.Do(func() {
		b.stop()

		outcome := admission.Abandoned
		if b.ended {
			outcome = admission.Completed
		}

		b.granted.close(outcome)
	})

	return err
}
