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

// mayStart keeps the reserved slots free of long requests. It counts requests
// and not free slots, so that the urgent class, when it holds all slots
// itself, does not keep the others from their minimum share.
func (s *Scheduler) mayStart(c *class) bool {
	if !s.long(c) || s.policy.Slots <= reservedSlots {
		return true
	}

	running := 0
	for _, other := range s.classes {
		if s.long(other) {
			running += other.running
		}
	}

	return running < s.policy.Slots-reservedSlots
}

// long reports whether waiting for a request of the class could make the most
// urgent class miss its deadline.
func (s *Scheduler) long(c *class) bool {
	first, ok := s.mostUrgent()
	if !ok || c.settings.Feed || c.settings.Urgency == first.Urgency {
		return false
	}

	return !c.service.known || c.service.upper() > first.Deadline/4
}

// wait estimates how long a request at the end of the class's queue waits. Its
// turn comes by urgency or by minimum share, whichever is sooner.
func (s *Scheduler) wait(c *class) time.Duration {
	return min(s.waitByUrgency(c), s.waitByShare(c))
}

// waitByUrgency is the time in which the requests that are served before end,
// at the rate at which the running requests free their slots.
func (s *Scheduler) waitByUrgency(c *class) time.Duration {
	var (
		before int
		ends   float64 // per second
	)

	for _, other := range s.classes {
		if other.settings.Feed {
			continue
		}

		ends += float64(other.running) / other.service.expected().Seconds()

		if other.settings.Urgency <= c.settings.Urgency {
			before += len(other.queue)
		}
	}

	if ends == 0 {
		return 0
	}

	return time.Duration(float64(before) / ends * float64(time.Second))
}

// waitByShare is the time in which the class earns the slot time of its queue.
func (s *Scheduler) waitByShare(c *class) time.Duration {
	if c.settings.MinSharePercent == 0 {
		return math.MaxInt64
	}

	needed := c.service.expected()*time.Duration(len(c.queue)-1) - c.credit

	return max(needed, 0) * 100 / time.Duration(s.policy.Slots*int(c.settings.MinSharePercent))
}
