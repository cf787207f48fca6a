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
	// claimPoll is the pause before a key is claimed again.
	claimPoll = 100 * time.Millisecond
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
			return replay(decision)
		case claim.NotRun:
			return notRun(causeClaim, string(decision.Reason))
		case claim.InProgress:
			if !pauseBefore(ctx, request.deadline) {
				return inProgress()
			}
		default:
			// An agent that has only started learns the past within moments.
			if decision.Reason != claim.ReasonHistory || !pauseBefore(ctx, request.deadline) {
				return unknown(causeClaim, string(decision.Reason))
			}
		}
	}
}

// pauseBefore waits before another claim and reports false if the deadline is
// too near or the caller gave up.
func pauseBefore(ctx context.Context, deadline time.Time) bool {
	return time.Until(deadline) > claimPoll && pause(ctx, claimPoll)
}

// execute hands over a call that was claimed. It goes on when the caller gives
// up: a resend then finds the answer.
func (c *claims) execute(ctx context.Context, active *activeClaim, request *call, placer *placer) *result {
	ctx = context.WithoutCancel(ctx)

	handed := false

	c.do(ctx, func(now time.Time) { handed = active.claimant.HandOver(now) })

	if !handed {
		return notRun(causeClaim, "claimed too long ago")
	}

	request.startBy = time.Now().Add(claim.HandOverLimit)
	outcome := placer.place(ctx, request)

	switch outcome.state {
	case peer.NotRun:
		c.do(ctx, func(now time.Time) { active.claimant.TakeBack(now) })

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
	head, err := io.ReadAll(io.LimitReader(outcome.body, claim.MaxAnswer+1))
	if err != nil {
		_ = outcome.body.Close()

		c.complete(ctx, active, claim.Answer{Unknown: true})

		return unknown(causeBroken, "the answer broke off: "+err.Error())
	}

	answer := claim.Answer{TooLarge: true}

	if len(head) <= claim.MaxAnswer {
		stored := storedAnswer{Status: outcome.status, Header: outcome.header, Body: head}
		if encoded, err := cbor.Marshal(stored); err == nil {
			answer = claim.NewAnswer(encoded)
		}
	}

	c.complete(ctx, active, answer)

	outcome.body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(head), outcome.body), Closer: outcome.body}

	return outcome
}

// complete tells the holders the outcome and waits for them for a short time.
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

// prefixedBody is a body of which a part was read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// replay returns the stored answer of an earlier run.
func replay(decision claim.Decision) *result {
	if decision.Answer.TooLarge {
		return answer(http.StatusGone, http.Header{
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

	return answer(stored.Status, stored.Header, stored.Body)
}

// inProgress tells the caller that the first run has not ended yet.
func inProgress() *result {
	return answer(http.StatusConflict, http.Header{
		headerReason: {"a request with this key is running"}, "Retry-After": {"1"},
	}, nil)
}

func answer(status int, header http.Header, body []byte) *result {
	return &result{
		state:  peer.Answered,
		status: status,
		header: header,
		body:   io.NopCloser(bytes.NewReader(body)),
	}
}
