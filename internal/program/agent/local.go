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

// result is the outcome of a call. The body of an answer must be closed.
type result struct {
	state  peer.State
	cause  cause
	reason string
	status int
	header http.Header
	body   io.ReadCloser
}

func notRun(counterKey cause, reason string) *result {
	return &result{state: peer.NotRun, cause: counterKey, reason: reason}
}

func unknown(counterKey cause, reason string) *result {
	return &result{state: peer.Unknown, cause: counterKey, reason: reason}
}

func (r *result) mayHaveRun() bool { return r.state != peer.NotRun }

// runner runs a call on the agent's own backend server or on that of a sibling.
type runner interface {
	run(ctx context.Context, c *call) *result
}

// localRunner runs calls on the agent's own backend server.
type localRunner struct {
	admitter *admitter
	backend  *backendServer
}

// run waits for a slot and sends the call to the backend server. The slot is
// held until the body of the answer is closed.
func (l *localRunner) run(ctx context.Context, c *call) *result {
	if !l.backend.healthy.Load() {
		return notRun(causeUnhealthy, string(causeUnhealthy))
	}

	// A feed has a deadline for its first byte only.
	waitCtx, cancel := context.WithDeadline(ctx, c.startDeadline())
	defer cancel()

	granted, reason := l.admitter.acquire(waitCtx, c.class.Name, c.deadline)
	if granted == nil {
		return notRun(cause(reason), string(reason))
	}

	return l.handOver(ctx, c, granted)
}

// handOver sends the call to the backend server. The slot is freed even on a
// panic, which the HTTP server turns into a reset stream.
func (l *localRunner) handOver(ctx context.Context, c *call, granted *permit) *result {
	backendCtx, started, stop := handOverContext(ctx, c)

	bodyOwnsSlot := false

	defer func() {
		if !bodyOwnsSlot {
			stop()
			granted.release(admission.Abandoned)
		}
	}()

	response, mayHaveRun, err := l.backend.send(backendCtx, c) //nolint:bodyclose // closed with the body of the result

	switch {
	case err != nil && mayHaveRun:
		return unknown(causeNoResponse, err.Error())
	case errors.Is(err, errShed):
		return notRun(causeShed, err.Error())
	case err != nil:
		return notRun(causeConnect, err.Error())
	}

	started()

	bodyOwnsSlot = true

	return &result{
		state:  peer.Answered,
		status: response.StatusCode,
		header: endToEnd(response.Header),
		body:   &slotBody{ReadCloser: response.Body, granted: granted, stop: stop},
	}
}

// handOverContext derives the context of a call to a backend server from the
// caller's context and the deadline. The deadline of a feed applies only until
// the feed has started.
func handOverContext(ctx context.Context, c *call) (_ context.Context, started, stop func()) {
	if !c.class.Feed {
		ctx, cancel := context.WithDeadline(ctx, c.deadline)

		return ctx, func() {}, cancel
	}

	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancel(context.DeadlineExceeded) })

	return ctx, func() { timer.Stop() }, func() {
		timer.Stop()
		cancel(nil)
	}
}

// slotBody frees the slot when the body is closed.
type slotBody struct {
	io.ReadCloser
	granted  *permit
	stop     context.CancelFunc
	complete bool // the whole body was read
	once     sync.Once
}

// Read reads the body and records whether its end was reached.
func (b *slotBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.complete = true
	}

	return n, err
}

// Close frees the slot once.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()

	b.once.Do(func() {
		b.stop()

		outcome := admission.Abandoned
		if b.complete {
			outcome = admission.Completed
		}

		b.granted.release(outcome)
	})

	return err
}
