package gate

import (
	"time"

	"jayspindle/internal/state/route"
)

// expiryMemory is how long the gate refuses new flows that would have to wait after a
// client has given up on a request that waited.
const expiryMemory = time.Second

// overload decides whether a new flow is turned away.
//
// It answers sustained overload: a burst of more requests than the backend servers can
// run. A short burst is queued, because what waits can be served once it is over. But
// if clients give up on requests that wait, those that come later would do the same:
// they are refused at once, and their clients can try again or tell their users. A new
// flow whose request can still meet its target is never refused.
type overload struct {
	lastExpiry time.Time // when a client last gave up on a request that waited
}

// observeExpiry records that a client gave up on a waiting request.
func (o *overload) observeExpiry(now time.Time) { o.lastExpiry = now }

// refuses reports whether a request of the route that would have to wait for that long
// is refused.
func (o *overload) refuses(now time.Time, target *route.Route, wait time.Duration) bool {
	return now.Sub(o.lastExpiry) < expiryMemory && wait > target.TargetLatency
}

// expectedLatency returns how long a new request of the route takes, including the
// wait for a slot behind the requests that can still meet their target.
func (g *Gate) expectedLatency(now time.Time, target *route.Route) time.Duration {
	serviceTime := g.queue.serviceTime(target)
	ahead := g.runningRequests + g.reservations.count(now) + g.queue.inTime(now) - int(g.backend.slots) + 1

	return time.Duration(float64(max(0, ahead))/float64(max(1, g.backend.slots))*float64(serviceTime)) +
		time.Duration(serviceTimeMargin*float64(serviceTime))
}
