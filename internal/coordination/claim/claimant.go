package claim

import (
	"log/slog"
	"slices"
	"time"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

const (
	// ClaimTimeout is how long a claimant waits for holders.
	ClaimTimeout = time.Second
	// HandOverLimit is how long after Begin a request may be handed over. A
	// process that was paused for longer gives the claim up, because the
	// holders' records end a retention after the grant.
	HandOverLimit = 5 * time.Second
	// closeTimeout is how long a claimant repeats its last messages.
	closeTimeout = 5 * time.Second
	// resendEvery is the time between two copies of a message, so that a holder
	// gets up to ten within ClaimTimeout.
	resendEvery = 100 * time.Millisecond
	// idleWake is far enough away for Wake to mean never.
	idleWake = time.Hour
)

// Verdict is what a claimant decided.
type Verdict uint8

// The verdicts of a claimant.
const (
	Pending    Verdict = iota
	Run                // hand the request over now
	Replay             // an execution has ended; its answer is known
	InProgress         // another execution holds the key and its agent is a member
	Unknown            // an earlier execution may have run
	NotRun             // no execution that began before has run, and this one will not
)

// Reason tells why a claimant decided so.
type Reason string

// The reasons of a Decision.
const (
	ReasonClaimed   Reason = "claimed"
	ReasonCompleted Reason = "completed before"
	ReasonTooLarge  Reason = "completed before, answer not kept"
	ReasonLost      Reason = "an earlier run has no known outcome"
	ReasonHeld      Reason = "claimed by another request"
	ReasonHolders   Reason = "too few holders answer"
	ReasonFull      Reason = "no room for claims"
	ReasonHistory   Reason = "earlier memberships are not known"
	ReasonReleased  Reason = "given up before hand-over"
)

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Owner   Execution // of Replay, InProgress and Unknown, if known
	Answer  Answer    // of Replay
}

// Message is a request and the agent to send it to.
type Message struct {
	To      view.Incarnation
	Request Request
}

// seatState is what a claimant knows from one seat.
type seatState struct {
	status  Status // 0 before the first reply
	owner   Execution
	settled bool // the last message was acknowledged
}

// Claimant claims a key for one execution. It sends nothing itself: Messages
// returns what to send.
type Claimant struct {
	key        Key
	execution  Execution
	history    *History
	sets       [][]view.Incarnation // of the oldest membership first
	seats      map[view.Incarnation]*seatState
	order      []view.Incarnation
	decision   Decision
	handedOver bool
	closing    *Request // repeated to every seat after the decision
	began      time.Time
	closedAt   time.Time
	nextSend   time.Time
}

// Begin starts a claim. The execution must be new.
func Begin(now time.Time, key Key, execution Execution, history *History) *Claimant {
	c := &Claimant{
		key: key, execution: execution, history: history, began: now, nextSend: now,
		seats: make(map[view.Incarnation]*seatState),
	}

	if !history.Complete(now) {
		c.decision = Decision{Verdict: Unknown, Reason: ReasonHistory}

		return c
	}

	c.sets = history.Sets(now, key)

	for _, set := range c.sets {
		for _, seat := range set {
			if c.seats[seat] == nil {
				c.seats[seat] = &seatState{}
				c.order = append(c.order, seat)
			}
		}
	}

	return c
}

// Decision returns the verdict, Pending before there is one.
func (c *Claimant) Decision() Decision { return c.decision }

// Execution returns the execution that claims.
func (c *Claimant) Execution() Execution { return c.execution }

// Messages returns what is to be sent now: claims that are not answered, or
// the last messages of a claim that is decided.
func (c *Claimant) Messages(now time.Time) []Message {
	if now.Before(c.nextSend) || c.Done(now) {
		return nil
	}

	request := Request{Verb: Grant, Key: c.key, Execution: c.execution}

	switch {
	case c.closing != nil:
		request = *c.closing
	case c.decision.Verdict != Pending:
		return nil
	}

	c.nextSend = now.Add(resendEvery)

	var messages []Message

	for _, seat := range c.order {
		if state := c.seats[seat]; state.settled || (c.closing == nil && state.status == Granted) {
			continue
		}

		request.Seat = seat
		messages = append(messages, Message{To: c.history.Holder(seat), Request: request})
	}

	return messages
}

// Wake returns when Tick and Messages must be called next.
func (c *Claimant) Wake() time.Time {
	timeout := c.began.Add(ClaimTimeout)

	switch {
	case c.decision.Verdict == Pending && timeout.Before(c.nextSend):
		return timeout
	case c.decision.Verdict == Run && c.closing == nil:
		return c.began.Add(idleWake) // nothing is due while the request runs
	default:
		return c.nextSend
	}
}

// Done reports whether the claimant can be dropped.
func (c *Claimant) Done(now time.Time) bool {
	switch {
	case c.decision.Verdict == Pending:
		return false
	case c.closing == nil:
		return c.decision.Verdict != Run
	case now.Sub(c.closedAt) >= closeTimeout:
		return true
	}

	return !slices.ContainsFunc(c.order, func(seat view.Incarnation) bool { return !c.seats[seat].settled })
}

// Recorded reports whether a majority of the holders of every membership has
// acknowledged the last messages, so that a later claim finds the outcome.
func (c *Claimant) Recorded() bool {
	return c.closing != nil && !slices.ContainsFunc(c.sets, func(set []view.Incarnation) bool {
		settled := 0

		for _, seat := range set {
			if c.seats[seat].settled {
				settled++
			}
		}

		return settled < majority(set)
	})
}

// Reply takes the reply of a holder into account. Late and duplicated replies
// and those to other executions are harmless.
func (c *Claimant) Reply(now time.Time, reply Reply) {
	state := c.seats[reply.Seat]
	if state == nil || reply.Key != c.key || reply.Execution != c.execution {
		return
	}

	if reply.Status == Moved {
		c.history.Move(reply.Seat, reply.Successor)
		c.nextSend = now

		return
	}

	if reply.Status == Unseated {
		return
	}

	if c.closing != nil {
		state.settled = state.settled || reply.Verb == c.closing.Verb

		return
	}

	if c.decision.Verdict != Pending {
		return
	}

	// A reply to an earlier copy may overtake, but a grant is only lost by
	// Release or expiry, neither of which can happen here.
	if state.status != Granted {
		state.status = reply.Status
		state.owner = reply.Owner
	}

	if reply.Status == Completed {
		c.replay(now, reply)

		return
	}

	c.evaluate(now)
}

// Tick ends a claim whose time is up.
func (c *Claimant) Tick(now time.Time) {
	if c.decision.Verdict == Pending && now.Sub(c.began) >= ClaimTimeout {
		c.giveUp(now)
	}
}

// HandOver must be called at the moment of the hand-over. If it reports false,
// the claim is too old and was given up: the request must not be handed over.
func (c *Claimant) HandOver(now time.Time) bool {
	invariant.Assert(c.decision.Verdict == Run && c.closing == nil && !c.handedOver,
		"claim: a request is handed over once, after a claim", slog.String("key", c.key.Token))
	c.assertMajorities()

	if now.Sub(c.began) > HandOverLimit {
		c.Abandon(now)

		return false
	}

	c.handedOver = true

	return true
}

// Complete records the outcome of the execution with the holders.
func (c *Claimant) Complete(now time.Time, answer Answer) {
	invariant.Assert(c.handedOver, "claim: only a request that was handed over completes",
		slog.String("key", c.key.Token))

	c.close(now, Request{Verb: Complete, Key: c.key, Execution: c.execution, Answer: answer})
}

// Abandon gives a claim up that was granted but will not be handed over.
func (c *Claimant) Abandon(now time.Time) {
	invariant.Assert(!c.handedOver, "claim: a request that was handed over is not released",
		slog.String("key", c.key.Token))

	if c.decision.Verdict == Run || c.decision.Verdict == Pending {
		c.decide(now, Decision{Verdict: NotRun, Reason: ReasonReleased})
	}
}

// TakeBack gives a claim up after a hand-over that is proven not to have run
// the request, for example because every backend server refused it before the
// start. The caller may then send the request again under the same key.
func (c *Claimant) TakeBack(now time.Time) {
	invariant.Assert(c.handedOver && c.closing == nil, "claim: only an open hand-over is taken back",
		slog.String("key", c.key.Token))

	c.handedOver = false
	c.Abandon(now)
}

// replay ends the claim with the answer of an earlier execution. The holders
// that did not know of it get the answer.
func (c *Claimant) replay(now time.Time, reply Reply) {
	c.decision = Decision{Verdict: Replay, Reason: ReasonCompleted, Owner: reply.Owner, Answer: reply.Answer}

	switch {
	case reply.Answer.Unknown:
		c.decision.Verdict = Unknown
		c.decision.Reason = ReasonLost
	case reply.Answer.TooLarge:
		c.decision.Reason = ReasonTooLarge
	}

	c.close(now, Request{Verb: Complete, Key: c.key, Execution: reply.Owner, Answer: reply.Answer})
}

// evaluate decides as soon as the outcome cannot change any more.
func (c *Claimant) evaluate(now time.Time) {
	if c.everySet(Granted) {
		c.assertMajorities()
		c.decision = Decision{Verdict: Run, Reason: ReasonClaimed, Owner: c.execution}

		return
	}

	if c.possible() {
		return
	}

	// If the owner is gone, a holder that has not answered may know how its
	// execution ended.
	if owner, held := c.heldBy(); c.allReplied() || (held && c.history.Member(owner.Agent)) {
		c.giveUp(now)
	}
}

// possible reports whether a majority of every set can still be granted.
func (c *Claimant) possible() bool {
	return !slices.ContainsFunc(c.sets, func(set []view.Incarnation) bool {
		return len(set)-c.count(set, Held, Full, Released) < majority(set)
	})
}

func (c *Claimant) allReplied() bool {
	return !slices.ContainsFunc(c.order, func(seat view.Incarnation) bool { return c.seats[seat].status == 0 })
}

// giveUp decides when the claim cannot or did not get a majority everywhere.
func (c *Claimant) giveUp(now time.Time) {
	owner, held := c.heldBy()

	switch {
	case held && c.history.Member(owner.Agent):
		c.decide(now, Decision{Verdict: InProgress, Reason: ReasonHeld, Owner: owner})
	case c.noneRanBefore():
		c.decide(now, Decision{Verdict: NotRun, Reason: c.shortage()})
	case held:
		c.decide(now, Decision{Verdict: Unknown, Reason: ReasonLost, Owner: owner})
	default:
		c.decide(now, Decision{Verdict: Unknown, Reason: ReasonHolders})
	}
}

// noneRanBefore reports whether no earlier execution can have run. The oldest
// membership in the window is in the list of every execution that the holders
// still remember, so a majority without a claim there rules all of them out.
func (c *Claimant) noneRanBefore() bool {
	oldest := c.sets[0]

	return c.count(oldest, Granted, Full) >= majority(oldest)
}

func (c *Claimant) shortage() Reason {
	for _, state := range c.seats {
		if state.status == Full {
			return ReasonFull
		}
	}

	return ReasonHolders
}

func (c *Claimant) heldBy() (Execution, bool) {
	for _, seat := range c.order {
		if state := c.seats[seat]; state.status == Held {
			return state.owner, true
		}
	}

	return Execution{}, false
}

// decide ends the claim without a run and frees what was granted, also by
// grants whose replies are still under way.
func (c *Claimant) decide(now time.Time, decision Decision) {
	c.decision = decision
	c.close(now, Request{Verb: Release, Key: c.key, Execution: c.execution})
}

func (c *Claimant) close(now time.Time, last Request) {
	c.closing = &last
	c.closedAt = now
	c.nextSend = now

	for _, state := range c.seats {
		state.settled = false
	}
}

func (c *Claimant) everySet(status Status) bool {
	return !slices.ContainsFunc(c.sets, func(set []view.Incarnation) bool {
		return c.count(set, status) < majority(set)
	})
}

// count returns how many seats of the set have one of the statuses.
func (c *Claimant) count(set []view.Incarnation, statuses ...Status) int {
	count := 0

	for _, seat := range set {
		if slices.Contains(statuses, c.seats[seat].status) {
			count++
		}
	}

	return count
}

func (c *Claimant) assertMajorities() {
	invariant.Assert(c.everySet(Granted), "claim: a run has a majority of every holder set",
		slog.String("key", c.key.Token))
}

func majority(set []view.Incarnation) int { return len(set)/2 + 1 }
