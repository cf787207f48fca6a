package admission

import (
	"time"

	"jayspindle/internal/state/view"
)

// maxCredit bounds, in slot time, how much a class can save up or owe. Without
// a bound, a class that was idle for an hour could hold every slot afterwards,
// and one that used idle slots could lose its minimum share for as long.
const maxCredit = 10 * time.Second

// earnedPercent is how much of its minimum share a class earns. Waiting requests
// of one class expire while another class holds the slots, so that with 100% a
// class received 0.965 to 1.05 of its share in a flood of the urgent class.
const earnedPercent = 110

// savedCredit is what a class that does not wait can save up. It lets a burst
// pass that is within the share on average.
const savedCredit = 2 * time.Second

// entry is a request that waits or runs.
type entry struct {
	id       uint64
	class    *class
	deadline time.Time
	started  time.Time // zero while the request waits
}

// class is the state of one class of the service.
type class struct {
	settings view.Class
	queue    []*entry  // first come first served
	soonest  time.Time // no waiting request has an earlier deadline
	running  int
	service  estimate
	credit   time.Duration // slot time that the minimum share still grants
}

// advance accounts for the slot time that the class earned and used.
func (c *class) advance(elapsed time.Duration, slots int) {
	earned := elapsed * time.Duration(slots*int(c.settings.MinSharePercent)*earnedPercent) / (100 * 100)
	c.credit += earned - elapsed*time.Duration(c.running)

	upper := maxCredit
	if len(c.queue) == 0 {
		upper = savedCredit
	}

	c.credit = min(max(c.credit, -maxCredit), upper)
}

// add appends a request to the queue.
func (c *class) add(e *entry) {
	if len(c.queue) == 0 || e.deadline.Before(c.soonest) {
		c.soonest = e.deadline
	}

	c.queue = append(c.queue, e)
}

// startBy returns the latest start that leaves time for the service. Half of
// the deadline is always allowed for waiting, because an estimate that grew
// too high would otherwise refuse everything and never be corrected.
func (c *class) startBy(deadline time.Time) time.Time {
	return deadline.Add(-min(c.service.likely(), c.settings.Deadline/2))
}

// expire removes the waiting requests that cannot meet their deadline.
func (c *class) expire(now time.Time) []*entry {
	if len(c.queue) == 0 || !now.After(c.startBy(c.soonest)) {
		return nil
	}

	var expired []*entry

	waiting := c.queue
	c.queue = c.queue[:0]

	for _, e := range waiting {
		if now.After(c.startBy(e.deadline)) {
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
