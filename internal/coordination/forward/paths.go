package forward

import (
	"net/netip"
	"time"

	"jayspindle/internal/state/view"
)

const (
	// activeTimeout is how long a balancer gets replies after its last datagram.
	activeTimeout = time.Second

	// callerSlots is the size of the table with the last balancer of each caller.
	// Callers with the same slot share an entry, which only affects the choice of
	// a balancer.
	callerSlots = 4096
)

// path is a balancer that replies can take.
type path struct {
	incarnation  view.Incarnation
	address      netip.AddrPort
	lastReceived int64 // Unix nanoseconds; 0 for never
	active       bool  // in the list of active paths
	draining     bool
}

// paths selects a balancer for each reply. It is not safe for concurrent use.
type paths struct {
	all            []path
	indexes        map[view.Incarnation]int32
	active         []int32 // indexes of the paths with a recent datagram
	cursor         int
	fallbacks      []int32 // indexes of the paths used while none is active
	fallbackCursor int
	lastBalancers  [callerSlots]view.Incarnation
}

func newPaths() *paths { return &paths{indexes: make(map[view.Incarnation]int32)} }

// apply replaces the paths by the balancers of a view. Balancers that stay keep
// the time of their last datagram.
func (p *paths) apply(next *view.View) {
	old, indexes := p.all, p.indexes
	*p = paths{indexes: make(map[view.Incarnation]int32, len(next.Balancers())), lastBalancers: p.lastBalancers}

	for _, balancer := range next.Balancers() {
		updated := path{
			incarnation: balancer.Incarnation, address: balancer.Data,
			draining: balancer.State == view.Draining,
		}
		if index, ok := indexes[balancer.Incarnation]; ok {
			updated.lastReceived = old[index].lastReceived
		}

		p.add(updated)
	}

	p.listFallbacks()
}

// listFallbacks selects the paths used while none is active. Draining balancers
// are used only if there are no others.
func (p *paths) listFallbacks() {
	for _, draining := range []bool{false, true} {
		for index := range p.all {
			if p.all[index].draining == draining {
				p.fallbacks = append(p.fallbacks, int32(index))
			}
		}

		if len(p.fallbacks) > 0 {
			return
		}
	}
}

func (p *paths) add(added path) {
	index := int32(len(p.all))
	p.all = append(p.all, added)
	p.indexes[added.incarnation] = index

	if added.lastReceived != 0 {
		p.activate(index)
	}
}

func (p *paths) activate(index int32) {
	entry := &p.all[index]
	if !entry.active && !entry.draining {
		entry.active = true
		p.active = append(p.active, index)
	}
}

// recordReceived records a datagram from a balancer. A balancer that is not in the
// view gets no replies: its address would come from the source of the datagram,
// and whoever replays a datagram chooses its source.
func (p *paths) recordReceived(now time.Time, balancer view.Incarnation) {
	if index, ok := p.indexes[balancer]; ok {
		p.all[index].lastReceived = now.UnixNano()
		p.activate(index)
	}
}

// next returns the path of a reply: of the next two paths in rotation, the one
// with the more recent datagram, and not the path of the last reply to the caller
// unless there is no other. A balancer that stops sending is thus avoided well
// before activeTimeout.
func (p *paths) next(now time.Time, caller uint64) (path, bool) {
	lastBalancer := &p.lastBalancers[caller%callerSlots]

	first, ok := p.rotate(now, *lastBalancer)
	if !ok {
		return p.fallback(lastBalancer)
	}

	// The second path is the first of the next reply. Advancing by two would
	// always compare the same pairs.
	position := p.cursor
	second, ok := p.rotate(now, *lastBalancer)
	p.cursor = position

	if ok && p.all[second].lastReceived > p.all[first].lastReceived {
		first = second
	}

	*lastBalancer = p.all[first].incarnation

	return p.all[first], true
}

// rotate returns the index of the next active path, other than the avoided one
// if there are several. It removes paths whose balancer is silent.
func (p *paths) rotate(now time.Time, avoided view.Incarnation) (int32, bool) {
	oldest := now.Add(-activeTimeout).UnixNano()

	for skipped := false; len(p.active) > 0; {
		p.cursor++
		if p.cursor >= len(p.active) {
			p.cursor = 0
		}

		index := p.active[p.cursor]
		entry := &p.all[index]

		if entry.lastReceived < oldest {
			p.deactivate(p.cursor)

			continue
		}

		if entry.incarnation == avoided && len(p.active) > 1 && !skipped {
			skipped = true

			continue
		}

		return index, true
	}

	return 0, false
}

func (p *paths) deactivate(position int) {
	last := len(p.active) - 1

	p.all[p.active[position]].active = false
	p.active[position] = p.active[last]
	p.active = p.active[:last]
}

// fallback returns the next fallback path, and not the last one of the caller
// unless there is no other.
func (p *paths) fallback(lastBalancer *view.Incarnation) (path, bool) {
	if len(p.fallbacks) == 0 {
		return path{}, false
	}

	for range 2 {
		p.fallbackCursor = (p.fallbackCursor + 1) % len(p.fallbacks)

		if p.all[p.fallbacks[p.fallbackCursor]].incarnation != *lastBalancer {
			break
		}
	}

	chosen := p.all[p.fallbacks[p.fallbackCursor]]
	*lastBalancer = chosen.incarnation

	return chosen, true
}
