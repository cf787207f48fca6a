// Package admission decides for one backend server with few slots which
// request runs, which waits and which is refused early.
//
// # Usage
//
//	scheduler := admission.New(admission.PolicyOf(service))
//	decision := scheduler.Offer(now, request)
//	// Run: hand over. Wait: a later Next decides. Refuse: answer "not run".
//	scheduler.Finish(now, id, admission.Completed)
//	for _, decision := range scheduler.Next(now) {
//		// ...
//	}
//
// Call Next after Offer, Finish, Cancel and Reconfigure, and at the time that
// NextWakeup returns. A request is never refused after a Run: cancelling a running
// request yields Abort, and its slot stays taken until Finish.
//
// # Policy
//
// A running request cannot be preempted, so a long one keeps its slot. Therefore:
//
//   - Classes whose service time is long compared with the deadline of the most
//     urgent class never hold the last slot.
//   - A class with waiting requests that has received less slot time than its
//     minimum share goes first. The share is a credit of slot time, as in deficit
//     round robin (Shreedhar and Varghese, 1995).
//   - All other slots go to the most urgent class with waiting requests.
//
// Queues are bounded per class, so one class cannot fill the queue of another.
//
// A feed is a long-lived response stream. It takes no slot but counts as a
// connection.
//
// A Scheduler is not safe for concurrent use: one goroutine owns it.
package admission

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// Scheduler is the admission state of one backend server.
type Scheduler struct {
	policy    Policy
	classes   []*class // most urgent first
	byName    map[string]*class
	entries   map[uint64]*entry
	running   int // slots taken
	feeds     int // connections taken by feeds
	draining  bool
	lastEvent time.Time // zero before the first event
}

// New returns a scheduler without requests.
func New(policy Policy) *Scheduler {
	s := &Scheduler{byName: make(map[string]*class), entries: make(map[uint64]*entry)}
	s.configure(policy)

	return s
}

// configure replaces the policy and keeps the state of classes with the same name.
func (s *Scheduler) configure(policy Policy) {
	policy.Slots = max(policy.Slots, 1)
	policy.QueueLength = max(policy.QueueLength, 1)
	s.policy = policy

	known := s.byName
	s.byName = make(map[string]*class, len(policy.Classes))
	s.classes = s.classes[:0]

	for _, settings := range policy.Classes {
		c, ok := known[settings.Name]
		if !ok || c.settings.Feed != settings.Feed {
			c = &class{}
		}

		c.settings = settings
		s.byName[settings.Name] = c
		s.classes = append(s.classes, c)
	}

	slices.SortStableFunc(s.classes, func(a, b *class) int {
		return cmp.Compare(a.settings.Urgency, b.settings.Urgency)
	})
}

// Reconfigure applies a changed policy. Running requests go on; waiting
// requests of classes that no longer exist are refused.
func (s *Scheduler) Reconfigure(now time.Time, policy Policy) []Decision {
	s.advance(now)

	old := slices.Clone(s.classes)
	s.configure(policy)

	var refused []Decision

	for _, c := range old {
		if s.byName[c.settings.Name] != c {
			refused = s.refuseQueue(refused, c, ReasonClass)
		}
	}

	return refused
}

// Offer presents a new request and returns Run, Wait or Refuse.
func (s *Scheduler) Offer(now time.Time, request Request) Decision {
	s.advance(now)

	c, ok := s.byName[request.Class]

	switch {
	case s.draining:
		return refusal(request.ID, ReasonDraining)
	case !ok:
		return refusal(request.ID, ReasonClass)
	case s.entries[request.ID] != nil:
		return refusal(request.ID, ReasonDuplicate)
	}

	e := &entry{id: request.ID, class: c, deadline: now.Add(c.settings.Deadline)}
	if !request.Deadline.IsZero() && request.Deadline.Before(e.deadline) {
		e.deadline = request.Deadline
	}

	if c.settings.Feed {
		return s.offerFeed(now, e)
	}

	return s.offerSlot(now, e)
}

func (s *Scheduler) offerFeed(now time.Time, e *entry) Decision {
	if s.feeds >= s.policy.Connections {
		return refusal(e.id, ReasonConnections)
	}

	s.feeds++
	s.start(now, e)

	return Decision{ID: e.id, Action: Run}
}

func (s *Scheduler) offerSlot(now time.Time, e *entry) Decision {
	c := e.class

	switch {
	case !now.Before(e.deadline):
		return refusal(e.id, ReasonDeadline)
	case len(c.queue) >= s.policy.QueueLength:
		return refusal(e.id, ReasonQueue)
	}

	c.add(e)

	if len(c.queue) == 1 && s.choose() == c {
		return s.startHead(now, c)
	}

	if now.Add(s.expectedWait(c)).After(c.latestStart(e.deadline)) {
		c.remove(e)

		return refusal(e.id, ReasonDeadline)
	}

	s.entries[e.id] = e

	return Decision{ID: e.id, Action: Wait}
}

// Next starts the queued requests that have a slot and refuses those that cannot
// meet their deadline.
func (s *Scheduler) Next(now time.Time) []Decision {
	s.advance(now)

	var decisions []Decision

	for _, c := range s.classes {
		for _, e := range c.expire(now) {
			delete(s.entries, e.id)
			decisions = append(decisions, refusal(e.id, ReasonDeadline))
		}
	}

	for c := s.choose(); c != nil; c = s.choose() {
		decisions = append(decisions, s.startHead(now, c))
	}

	return decisions
}

// NextWakeup returns the latest time at which Next must be called, and false if no
// request waits.
func (s *Scheduler) NextWakeup() (time.Time, bool) {
	var wake time.Time

	for _, c := range s.classes {
		if len(c.queue) == 0 {
			continue
		}

		if latest := c.latestStart(c.earliestDeadline).Add(time.Nanosecond); wake.IsZero() || latest.Before(wake) {
			wake = latest
		}
	}

	return wake, !wake.IsZero()
}

// Finish records that a running request or feed has ended. It reports whether
// the scheduler held it as running.
func (s *Scheduler) Finish(now time.Time, id uint64, outcome Outcome) bool {
	s.advance(now)

	e, ok := s.entries[id]
	if !ok || e.started.IsZero() {
		return false
	}

	delete(s.entries, id)
	e.class.running--

	if e.class.settings.Feed {
		s.feeds--
		invariant.Assert(s.feeds >= 0, "admission: no more feeds end than started")

		return true
	}

	s.running--
	invariant.Assert(s.running >= 0, "admission: no more requests end than started")

	if outcome == Completed {
		e.class.serviceTime.observe(now.Sub(e.started))
	} else {
		e.class.serviceTime.observeAtLeast(now.Sub(e.started))
	}

	return true
}

// Cancel cancels a request. It returns Refuse if the request waited and Abort if
// it runs.
func (s *Scheduler) Cancel(now time.Time, id uint64) Decision {
	s.advance(now)

	e, ok := s.entries[id]

	switch {
	case !ok:
		return Decision{ID: id, Action: Ignore}
	case !e.started.IsZero():
		return Decision{ID: id, Action: Abort, Reason: ReasonCancelled}
	}

	e.class.remove(e)
	delete(s.entries, id)

	return refusal(id, ReasonCancelled)
}

// Drain refuses new and waiting requests, so that the agent can place them on a
// sibling. Running requests and feeds go on.
func (s *Scheduler) Drain(now time.Time) []Decision {
	s.advance(now)
	s.draining = true

	var refused []Decision
	for _, c := range s.classes {
		refused = s.refuseQueue(refused, c, ReasonDraining)
	}

	return refused
}

// Running returns the number of slots taken.
func (s *Scheduler) Running() int { return s.running }

// Feeds returns the number of open feeds.
func (s *Scheduler) Feeds() int { return s.feeds }

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int {
	waiting := 0
	for _, c := range s.classes {
		waiting += len(c.queue)
	}

	return waiting
}

func (s *Scheduler) refuseQueue(refused []Decision, c *class, reason Reason) []Decision {
	for _, e := range c.queue {
		delete(s.entries, e.id)
		refused = append(refused, refusal(e.id, reason))
	}

	c.queue = nil

	return refused
}

// advance updates the credits for the time since the last event. If the clock
// stepped back, no time has passed.
func (s *Scheduler) advance(now time.Time) {
	if elapsed := now.Sub(s.lastEvent); elapsed > 0 {
		if !s.lastEvent.IsZero() {
			for _, c := range s.classes {
				c.advance(min(elapsed, maxCredit), s.policy.Slots)
			}
		}

		s.lastEvent = now
	}
}

// startHead starts the first waiting request of the class.
func (s *Scheduler) startHead(now time.Time, c *class) Decision {
	e := c.queue[0]
	c.queue[0] = nil
	c.queue = c.queue[1:]

	s.running++
	s.start(now, e)
	invariant.Assert(s.running <= s.policy.Slots, "admission: no more requests run than there are slots",
		slog.Int("running", s.running), slog.Int("slots", s.policy.Slots))

	return Decision{ID: e.id, Action: Run}
}

func (s *Scheduler) start(now time.Time, e *entry) {
	invariant.Assert(e.started.IsZero(), "admission: a request starts once", slog.Uint64("id", e.id))

	e.started = now
	e.class.running++
	s.entries[e.id] = e
}

func refusal(id uint64, reason Reason) Decision {
	return Decision{ID: id, Action: Refuse, Reason: reason}
}

// mostUrgent returns the most urgent class that takes slots.
func (s *Scheduler) mostUrgent() (view.Class, bool) {
	for _, c := range s.classes {
		if !c.settings.Feed {
			return c.settings, true
		}
	}

	return view.Class{}, false
}
