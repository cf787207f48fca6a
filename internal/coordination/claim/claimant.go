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
	// process that was paused for longer abandons the claim, because the holders
	// drop its records a fixed time after the grant.
	HandOverLimit = 5 * time.Second
	// finalRequestTimeout is how long a claimant resends its final request.
	finalRequestTimeout = 5 * time.Second
	// resendInterval is the time between two copies of a request. A holder gets
	// up to ten copies within ClaimTimeout.
	resendInterval = 100 * time.Millisecond
	// idleWakeDelay is how long after the start Wake returns a time when no call is due.
	idleWakeDelay = time.Hour
)

// Verdict is what a claimant decided.
type Verdict uint8

// The verdicts of a claimant.
const (
	Pending    Verdict = iota
	Run                // hand the request over now
	Replay             // an execution has ended, and its answer is returned
	InProgress         // another execution holds the key and its agent is a member
	Unknown            // an earlier execution may have run
	NotRun             // no execution that began before has run, and this one will not
)

// Reason explains a verdict.
type Reason string

// The reasons of a Decision.
const (
	ReasonClaimed        Reason = "claimed"
	ReasonCompleted      Reason = "completed before"
	ReasonTooLarge       Reason = "completed before, answer not kept"
	ReasonUnknownOutcome Reason = "an earlier run has no known outcome"
	ReasonHeld           Reason = "claimed by another request"
	ReasonHolders        Reason = "too few holders answer"
	ReasonFull           Reason = "no room for claims"
	ReasonHistory        Reason = "earlier memberships are not known"
	ReasonReleased       Reason = "given up before hand-over"
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

// seatState is what the replies for one seat have told a claimant.
type seatState struct {
	status       Status // 0 before the first reply
	owner        Execution
	acknowledged bool // the final request was acknowledged
}

// Claimant claims a key for one execution. It sends nothing itself: Messages
// returns what to send.
type Claimant struct {
	key          Key
	execution    Execution
	history      *History
	holderSets   [][]view.Incarnation // that of the oldest membership first
	upToSeal     int                  // how many of holderSets come up to the newest seal
	sealed       view.Position        // of the newest seal that holderSets include
	seatStates   map[view.Incarnation]*seatState
	seatOrder    []view.Incarnation
	decision     Decision
	handedOver   bool
	finalRequest *Request // Complete or Release, nil before the claim ends
	startedAt    time.Time
	decidedAt    time.Time
	nextSendAt   time.Time
}

// Begin starts a claim. The execution must be new.
func Begin(now time.Time, key Key, execution Execution, history *History) *Claimant {
	c := &Claimant{
		key: key, execution: execution, history: history, startedAt: now, nextSendAt: now,
		seatStates: make(map[view.Incarnation]*seatState),
	}

	if !history.Complete(now) {
		c.decision = Decision{Verdict: Unknown, Reason: ReasonHistory}

		return c
	}

	c.computeSets(now)

	return c
}

func (c *Claimant) computeSets(now time.Time) {
	c.sealed = c.history.sealed
	c.holderSets, c.upToSeal = c.history.holderSets(now, c.key)
	c.addSeats(c.holderSets)
}

func (c *Claimant) addSeats(sets [][]view.Incarnation) {
	for _, set := range sets {
		for _, seat := range set {
			if c.seatStates[seat] == nil {
				c.seatStates[seat] = &seatState{}
				c.seatOrder = append(c.seatOrder, seat)
			}
		}
	}
}

// Decision returns the decision. Its verdict is Pending until the claim is decided.
func (c *Claimant) Decision() Decision { return c.decision }

// Execution returns the execution that claims.
func (c *Claimant) Execution() Execution { return c.execution }

// Messages returns the messages to send now: Grant requests to the seats that
// have not granted the key, or the final request to the seats that have not
// acknowledged it.
func (c *Claimant) Messages(now time.Time) []Message {
	if now.Before(c.nextSendAt) || c.Done(now) {
		return nil
	}

	request := Request{Verb: Grant, Key: c.key, Execution: c.execution, Sealed: c.sealed}

	switch {
	case c.finalRequest != nil:
		request = *c.finalRequest
	case c.decision.Verdict != Pending:
		return nil
	}

	c.nextSendAt = now.Add(resendInterval)

	var messages []Message

	for _, seat := range c.seatOrder {
		if state := c.seatStates[seat]; state.acknowledged || (c.finalRequest == nil && state.status == Granted) {
			continue
		}

		request.Seat = seat
		messages = append(messages, Message{To: c.history.Holder(seat), Request: request})
	}

	return messages
}

// Wake returns the time at which to call Tick and Messages next.
func (c *Claimant) Wake() time.Time {
	timeout := c.startedAt.Add(ClaimTimeout)

	switch {
	case c.decision.Verdict == Pending && timeout.Before(c.nextSendAt):
		return timeout
	case c.decision.Verdict == Run && c.finalRequest == nil:
		return c.startedAt.Add(idleWakeDelay) // nothing is due while the request runs
	default:
		return c.nextSendAt
	}
}

// Done reports whether the claimant can be dropped.
func (c *Claimant) Done(now time.Time) bool {
	switch {
	case c.decision.Verdict == Pending:
		return false
	case c.finalRequest == nil:
		return c.decision.Verdict != Run
	case now.Sub(c.decidedAt) >= finalRequestTimeout:
		return true
	}

	return !slices.ContainsFunc(c.seatOrder, func(seat view.Incarnation) bool {
		return !c.seatStates[seat].acknowledged
	})
}

// Recorded reports whether a majority of the holders of every membership has
// acknowledged the final request, so that a later claim finds the outcome.
func (c *Claimant) Recorded() bool {
	return c.finalRequest != nil && !slices.ContainsFunc(c.holderSets, func(set []view.Incarnation) bool {
		acknowledged := 0

		for _, seat := range set {
			if c.seatStates[seat].acknowledged {
				acknowledged++
			}
		}

		return acknowledged < majority(set)
	})
}

// Reply processes the reply of a holder. Late and duplicated replies, and those
// to other executions, change nothing.
func (c *Claimant) Reply(now time.Time, reply Reply) {
	state := c.seatStates[reply.Seat]
	if state == nil || reply.Key != c.key || reply.Execution != c.execution {
		return
	}

	if reply.Status == Moved {
		c.history.Move(reply.Seat, reply.Successor)
		c.nextSendAt = now

		return
	}

	if reply.Status == NotHolder {
		return
	}

	if c.finalRequest != nil {
		state.acknowledged = state.acknowledged || reply.Verb == c.finalRequest.Verb

		return
	}

	if c.decision.Verdict != Pending {
		return
	}

	if reply.Status == Sealed {
		c.includeSeal(now, *reply.Seal)

		return
	}

	// Replies to copies of a request may arrive out of order. A Granted status
	// stays, because a grant ends only by Release or expiry, and neither can
	// happen before the decision.
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

// includeSeal extends the claim to the membership of a seal, and asks again.
func (c *Claimant) includeSeal(now time.Time, seal Seal) {
	if !c.sealed.Less(seal.Position) {
		return
	}

	c.history.LearnSeal(now, seal)
	c.computeSets(now)
	c.nextSendAt = now
}

// Tick decides a claim that has reached ClaimTimeout.
func (c *Claimant) Tick(now time.Time) {
	if c.decision.Verdict == Pending && now.Sub(c.startedAt) >= ClaimTimeout {
		c.decideWithoutMajority(now)
	}
}

// HandOver must be called immediately before the request is handed over. If it
// returns false, the claim was too old and is abandoned: the request must not be
// handed over.
func (c *Claimant) HandOver(now time.Time) bool {
	invariant.Assert(c.decision.Verdict == Run && c.finalRequest == nil && !c.handedOver,
		"claim: a request is handed over once, after a claim", slog.String("key", c.key.Token))
	c.assertMajorities()

	if now.Sub(c.startedAt) > HandOverLimit {
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

	// The claim may have been carried to the holders of a later membership.
	c.addSeats(c.history.HolderSets(now, c.key))
	c.startFinalRequest(now, Request{Verb: Complete, Key: c.key, Execution: c.execution, Answer: answer})
}

// Abandon releases a claim whose request will not be handed over.
func (c *Claimant) Abandon(now time.Time) {
	invariant.Assert(!c.handedOver, "claim: a request that was handed over is not released",
		slog.String("key", c.key.Token))

	if c.decision.Verdict == Run || c.decision.Verdict == Pending {
		c.endWithoutRun(now, Decision{Verdict: NotRun, Reason: ReasonReleased})
	}
}

// RevertHandOver releases a claim after a hand-over that is known not to have run the
// request, for example because every backend server refused it before the
// start. The caller may then send the request again with the same key.
func (c *Claimant) RevertHandOver(now time.Time) {
	invariant.Assert(c.handedOver && c.finalRequest == nil, "claim: only an open hand-over is taken back",
		slog.String("key", c.key.Token))

	c.handedOver = false
	c.Abandon(now)
}

// replay ends the claim with the answer of an earlier execution and sends that
// answer to all holders, because some may have missed it.
func (c *Claimant) replay(now time.Time, reply Reply) {
	c.decision = Decision{Verdict: Replay, Reason: ReasonCompleted, Owner: reply.Owner, Answer: reply.Answer}

	switch {
	case reply.Answer.Unknown:
		c.decision.Verdict = Unknown
		c.decision.Reason = ReasonUnknownOutcome
	case reply.Answer.TooLarge:
		c.decision.Reason = ReasonTooLarge
	}

	c.startFinalRequest(now, Request{Verb: Complete, Key: c.key, Execution: reply.Owner, Answer: reply.Answer})
}

// evaluate decides the claim if further replies cannot change the outcome.
func (c *Claimant) evaluate(now time.Time) {
	if c.majorityInEverySet(Granted) {
		c.assertMajorities()
		c.decision = Decision{Verdict: Run, Reason: ReasonClaimed, Owner: c.execution}

		return
	}

	if c.majorityPossible() {
		return
	}

	// If the owner's agent is no longer a member, wait for the remaining holders:
	// one of them may know how its execution ended.
	if owner, held := c.conflictingOwner(); c.allReplied() || (held && c.history.IsMember(owner.Agent)) {
		c.decideWithoutMajority(now)
	}
}

// majorityPossible reports whether a majority of every holder set can still
// grant the key.
func (c *Claimant) majorityPossible() bool {
	return !slices.ContainsFunc(c.holderSets, func(set []view.Incarnation) bool {
		return len(set)-c.count(set, Held, Full, Released) < majority(set)
	})
}

func (c *Claimant) allReplied() bool {
	return !slices.ContainsFunc(c.seatOrder, func(seat view.Incarnation) bool { return c.seatStates[seat].status == 0 })
}

// decideWithoutMajority decides a claim that did not get a majority of every
// holder set, or no longer can.
func (c *Claimant) decideWithoutMajority(now time.Time) {
	owner, held := c.conflictingOwner()

	switch {
	case held && c.history.IsMember(owner.Agent):
		c.endWithoutRun(now, Decision{Verdict: InProgress, Reason: ReasonHeld, Owner: owner})
	case c.noneRanBefore():
		c.endWithoutRun(now, Decision{Verdict: NotRun, Reason: c.notRunReason()})
	case held:
		c.endWithoutRun(now, Decision{Verdict: Unknown, Reason: ReasonUnknownOutcome, Owner: owner})
	default:
		c.endWithoutRun(now, Decision{Verdict: Unknown, Reason: ReasonHolders})
	}
}

// noneRanBefore reports whether no earlier execution can have run. Every
// execution that the holders still have on record needed a majority of the
// oldest membership in the window, or of one with a seal if it knew a closing. A
// majority without a claim in all of these memberships rules all of them out.
func (c *Claimant) noneRanBefore() bool {
	return !slices.ContainsFunc(c.holderSets[:c.upToSeal], func(set []view.Incarnation) bool {
		return c.count(set, Granted, Full) < majority(set)
	})
}

func (c *Claimant) notRunReason() Reason {
	for _, state := range c.seatStates {
		if state.status == Full {
			return ReasonFull
		}
	}

	return ReasonHolders
}

// conflictingOwner returns the execution that holds the key at the first seat
// that refused it.
func (c *Claimant) conflictingOwner() (Execution, bool) {
	for _, seat := range c.seatOrder {
		if state := c.seatStates[seat]; state.status == Held {
			return state.owner, true
		}
	}

	return Execution{}, false
}

// endWithoutRun ends the claim without a run and releases the key at every
// seat, because Granted replies may still be in flight.
func (c *Claimant) endWithoutRun(now time.Time, decision Decision) {
	c.decision = decision
	c.startFinalRequest(now, Request{Verb: Release, Key: c.key, Execution: c.execution})
}

// startFinalRequest starts sending the request to every seat until it is
// acknowledged.
func (c *Claimant) startFinalRequest(now time.Time, request Request) {
	c.finalRequest = &request
	c.decidedAt = now
	c.nextSendAt = now

	for _, state := range c.seatStates {
		state.acknowledged = false
	}
}

func (c *Claimant) majorityInEverySet(status Status) bool {
	return !slices.ContainsFunc(c.holderSets, func(set []view.Incarnation) bool {
		return c.count(set, status) < majority(set)
	})
}

// count returns how many seats of the set have one of the statuses.
func (c *Claimant) count(set []view.Incarnation, statuses ...Status) int {
	count := 0

	for _, seat := range set {
		if slices.Contains(statuses, c.seatStates[seat].status) {
			count++
		}
	}

	return count
}

func (c *Claimant) assertMajorities() {
	invariant.Assert(c.majorityInEverySet(Granted), "claim: a run has a majority of every holder set",
		slog.String("key", c.key.Token))
}

func majority(set []view.Incarnation) int { return len(set)/2 + 1 }
