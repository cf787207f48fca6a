package admission

import (
	"time"

	"jayspindle/internal/state/view"
)

// maxCredit bounds the credit or debt of a class in slot time. Without a bound, a
// class that was idle for an hour could hold every slot for a long time, and one
// that used otherwise idle slots could lose its minimum share for as long.
const maxCredit = 10 * time.Second

// earnedSharePercent is the credit that a class earns, relative to its minimum
// share. Waiting requests of one class expire while another class holds the slots,
// so that with 100% a class received 0.965 to 1.05 of its share in a flood of the
// urgent class.
const earnedSharePercent = 110

// maxIdleCredit bounds the credit of a class without waiting requests. It lets
// the class send a burst that is within its share on average.
const maxIdleCredit = 2 * time.Second

// entry is a request, of a feed or another class, that waits or runs.
type entry struct {
	id       uint64
	class    *class
	deadline time.Time
	started  time.Time // zero while the request waits
}

// class is the state of one class of the service.
type class struct {
	settings         view.Class
	queue            []*entry  // first come first served
	earliestDeadline time.Time // lower bound of the deadlines in the queue
	running          int
	serviceTime      estimate
	credit           time.Duration // slot time earned by the minimum share and not used yet
}

// advance accounts for the slot time that the class earned and used.
func (c *class) advance(elapsed time.Duration, slots int) {
	earned := elapsed * time.Duration(slots*int(c.settings.MinSharePercent)*earnedSharePercent) / (100 * 100)
	c.credit += earned - elapsed*time.Duration(c.running)

	upper := maxCredit
	if len(c.queue) == 0 {
		upper = maxIdleCredit
	}

	c.credit = min(max(c.credit, -maxCredit), upper)
}

// add appends a request to the queue.
func (c *class) add(e *entry) {
	if len(c.queue) == 0 || e.deadline.Before(c.earliestDeadline) {
		c.earliestDeadline = e.deadline
	}

	c.queue = append(c.queue, e)
}

// latestStart returns the latest start at which a request can still meet its
// deadline. Requests may always wait for half of the deadline of the class:
// otherwise too high an estimate would refuse every request, and no request would
// correct it.
func (c *class) latestStart(deadline time.Time) time.Time {
	return deadline.Add(-min(c.serviceTime.likely(), c.settings.Deadline/2))
}

// expire removes the waiting requests that cannot meet their deadline.
func (c *class) expire(now time.Time) []*entry {
	if len(c.queue) == 0 || !now.After(c.latestStart(c.earliestDeadline)) {
		return nil
	}

	var expired []*entry

	waiting := c.queue
	c.queue = c.queue[:0]

	for _, e := range waiting {
		if now.After(c.latestStart(e.deadline)) {
			expired = append(expired, e)
		} else {
			c.add(e)
		}
	}

	clear(waiting[len(c.queue):])

	return expired
}

// remove takes one request out of the queue.
func (c *class) remove(e *entry) {
	for i := range c.queue {
		if c.queue[i] == e {
			copy(c.queue[i:], c.queue[i+1:])
			c.queue[len(c.queue)-1] = nil
			c.queue = c.queue[:len(c.queue)-1]

			return
		}
	}
}
