package admission

import (
	"math"
	"time"
)

// reservedSlots is the number of slots that long requests of less urgent
// classes leave to the most urgent class.
const reservedSlots = 1

// choose returns the class that gets the next free slot, or nil.
func (s *Scheduler) choose() *class {
	if s.running >= s.policy.Slots {
		return nil
	}

	var urgent *class

	for _, c := range s.classes {
		if len(c.queue) == 0 || !s.mayStart(c) {
			continue
		}

		if c.credit > 0 && c.settings.MinSharePercent > 0 {
			return c
		}

		if urgent == nil {
			urgent = c
		}
	}

	return urgent
}

// mayStart reports whether a request of the class may take a slot. It keeps the
// reserved slots free of long requests. It counts running long requests and not
// free slots, so that the most urgent class cannot deny the others their minimum
// share by holding all slots itself.
func (s *Scheduler) mayStart(c *class) bool {
	if !s.isLong(c) || s.policy.Slots <= reservedSlots {
		return true
	}

	running := 0
	for _, other := range s.classes {
		if s.isLong(other) {
			running += other.running
		}
	}

	return running < s.policy.Slots-reservedSlots
}

// isLong reports whether waiting for a request of the class could make the most
// urgent class miss its deadline.
func (s *Scheduler) isLong(c *class) bool {
	first, ok := s.mostUrgent()
	if !ok || c.settings.Feed || c.settings.Urgency == first.Urgency {
		return false
	}

	return !c.serviceTime.known || c.serviceTime.upper() > first.Deadline/4
}

// expectedWait estimates how long a request at the end of the class's queue waits.
// The request starts by urgency or by minimum share, whichever is sooner.
func (s *Scheduler) expectedWait(c *class) time.Duration {
	return min(s.waitByUrgency(c), s.waitByShare(c))
}

// waitByUrgency estimates the wait from the number of requests queued in classes
// at least as urgent, and the rate at which running requests end.
func (s *Scheduler) waitByUrgency(c *class) time.Duration {
	var (
		queuedBefore   int
		completionRate float64 // per second
	)

	for _, other := range s.classes {
		if other.settings.Feed {
			continue
		}

		completionRate += float64(other.running) / other.serviceTime.expected().Seconds()

		if other.settings.Urgency <= c.settings.Urgency {
			queuedBefore += len(other.queue)
		}
	}

	if completionRate == 0 {
		return 0
	}

	return time.Duration(float64(queuedBefore) / completionRate * float64(time.Second))
}

// waitByShare returns the time in which the class earns enough credit for the
// requests queued before the last one.
func (s *Scheduler) waitByShare(c *class) time.Duration {
	if c.settings.MinSharePercent == 0 {
		return math.MaxInt64
	}

	needed := c.serviceTime.expected()*time.Duration(len(c.queue)-1) - c.credit

	return max(needed, 0) * 100 / time.Duration(s.policy.Slots*int(c.settings.MinSharePercent))
}
