package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/protocol/peer"
)

const (
	// claimRetryInterval is the delay before a key is claimed again.
	claimRetryInterval = 100 * time.Millisecond
	// recordTimeout bounds the wait until holders have recorded an answer. The
	// caller gets the answer afterwards, so that a resend finds it.
	recordTimeout = 250 * time.Millisecond
)

// storedAnswer is the response that a resend gets.
type storedAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// runOnce runs a call with an idempotency key at most once.
func (c *claims) runOnce(ctx context.Context, request *call, placer *placer) *result {
	for {
		active, decision := c.begin(ctx, request.key)
		claimResults.Add(verdictNames[decision.Verdict], 1)

		switch decision.Verdict {
		case claim.Run:
			return c.execute(ctx, active, request, placer)
		case claim.Replay:
			return replayedResult(decision)
		case claim.NotRun:
			return notRun(causeClaim, string(decision.Reason))
		case claim.InProgress:
			if !waitToRetry(ctx, request.deadline) {
				return inProgressResult()
			}
		default:
			// An agent that has just started soon gets the history of its siblings.
			if decision.Reason != claim.ReasonHistory || !waitToRetry(ctx, request.deadline) {
				return unknown(causeClaim, string(decision.Reason))
			}
		}
	}
}

// waitToRetry waits before another claim and reports false if the deadline is too
// close or the caller gave up.
func waitToRetry(ctx context.Context, deadline time.Time) bool {
	return time.Until(deadline) > claimRetryInterval && sleep(ctx, claimRetryInterval)
}

// execute sends a claimed call to a backend server. It continues after the caller
// gives up, so that a resend finds the answer.
func (c *claims) execute(ctx context.Context, active *activeClaim, request *call, placer *placer) *result {
	ctx = context.WithoutCancel(ctx)

	mayStart := false

	c.do(ctx, func(now time.Time) { mayStart = active.claimant.HandOver(now.Add(c.suspended() - active.suspended)) })

	if !mayStart {
		return notRun(causeClaim, "claimed too long ago")
	}

	request.startBy = time.Now().Add(claim.HandOverLimit)
	outcome := placer.place(ctx, request)

	switch outcome.state {
	case peer.NotRun:
		c.do(ctx, func(now time.Time) { active.claimant.RevertHandOver(now) })

		return outcome
	case peer.Unknown:
		c.complete(ctx, active, claim.Answer{Unknown: true})

		return outcome
	default:
		return c.record(ctx, active, outcome)
	}
}

// record stores the answer with the holders, if it is small enough.
func (c *claims) record(ctx context.Context, active *activeClaim, outcome *result) *result {
	prefix, err := io.ReadAll(io.LimitReader(outcome.body, claim.MaxAnswer+1))
	if err != nil {
		_ = outcome.body.Close()

		c.complete(ctx, active, claim.Answer{Unknown: true})

		return unknown(causeNoResponse, "the answer broke off: "+err.Error())
	}

	answer := claim.Answer{TooLarge: true}

	if len(prefix) <= claim.MaxAnswer {
		stored := storedAnswer{Status: outcome.status, Header: outcome.header, Body: prefix}
		if encoded, err := cbor.Marshal(stored); err == nil {
			answer = claim.NewAnswer(encoded)
		}
	}

	c.complete(ctx, active, answer)

	outcome.body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(prefix), outcome.body), Closer: outcome.body}

	return outcome
}

// complete sends the outcome to the holders and waits until they have recorded
// it, for at most recordTimeout.
func (c *claims) complete(ctx context.Context, active *activeClaim, answer claim.Answer) {
	c.do(ctx, func(now time.Time) { active.claimant.Complete(now, answer) })

	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()

	select {
	case <-active.recorded:
	case <-c.stopped:
	case <-timer.C:
	}
}

// prefixedBody is a body whose beginning has already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// replayedResult returns the stored answer of an earlier run.
func replayedResult(decision claim.Decision) *result {
	if decision.Answer.TooLarge {
		return answeredResult(http.StatusGone, http.Header{
			headerOutcome: {outcomeReplayed}, headerReason: {"the request has run, its answer was too large to keep"},
		}, nil)
	}

	var stored storedAnswer
	if err := cbor.Unmarshal(decision.Answer.Body, &stored); err != nil {
		return unknown(causeClaim, "the stored answer cannot be decoded: "+err.Error())
	}

	if stored.Header == nil {
		stored.Header = make(http.Header) // an answer without headers decodes to none
	}

	stored.Header.Set(headerOutcome, outcomeReplayed)

	return answeredResult(stored.Status, stored.Header, stored.Body)
}

// inProgressResult tells the caller that the first run has not ended yet.
func inProgressResult() *result {
	return answeredResult(http.StatusConflict, http.Header{
		headerReason: {"a request with this key is running"}, "Retry-After": {"1"},
	}, nil)
}

func answeredResult(status int, header http.Header, body []byte) *result {
	return &result{
		state:  peer.Answered,
		status: status,
		header: header,
		body:   io.NopCloser(bytes.NewReader(body)),
	}
}
