package forward

import (
	"net/netip"
	"time"

	"jayspindle/internal/state/view"
)

const (
	// heardTime is how long a balancer that was heard from gets replies.
	heardTime = time.Second

	// callerSlots is the number of callers whose last path is remembered, as a
	// table without collision handling: a collision costs one choice.
	callerSlots = 4096
)

// path is a balancer that replies can take.
type path struct {
	incarnation view.Incarnation
	address     netip.AddrPort
	heard       int64 // Unix nanoseconds; 0 for never
	active      bool  // in the list of active paths
	draining    bool
}

// paths selects a balancer for each reply. It belongs to one goroutine.
type paths struct {
	all            []path
	places         map[view.Incarnation]int32
	active         []int32 // places of the paths heard from lately
	cursor         int
	fallbacks      []int32 // places of the paths used while none is active
	fallbackCursor int
	last           [callerSlots]view.Incarnation
}

func newPaths() *paths { return &paths{places: make(map[view.Incarnation]int32)} }

// apply takes the balancers of a view. What was heard from those that stay is
// kept.
func (p *paths) apply(next *view.View) {
	old, places := p.all, p.places
	*p = paths{places: make(map[view.Incarnation]int32, len(next.Balancers())), last: p.last}

	for _, balancer := range next.Balancers() {
		made := path{
			incarnation: balancer.Incarnation, address: balancer.Data,
			draining: balancer.State == view.Draining,
		}
		if place, ok := places[balancer.Incarnation]; ok {
			made.heard = old[place].heard
		}

		p.add(made)
	}

	p.listFallbacks()
}

// listFallbacks selects the paths for times when no balancer was heard from.
func (p *paths) listFallbacks() {
	for _, draining := range []bool{false, true} {
		for place := range p.all {
			if p.all[place].draining == draining {
				p.fallbacks = append(p.fallbacks, int32(place))
			}
		}

		if len(p.fallbacks) > 0 {
			return
		}
	}
}

func (p *paths) add(made path) {
	place := int32(len(p.all))
	p.all = append(p.all, made)
	p.places[made.incarnation] = place

	if made.heard != 0 {
		p.activate(place)
	}
}

func (p *paths) activate(place int32) {
	path := &p.all[place]
	if !path.active && !path.draining {
		path.active = true
		p.active = append(p.active, place)
	}
}

// hear records a datagram from a balancer. One that the view does not have gets
// no reply: its address would come from the source of the datagram, and a
// replayed datagram has the source that its sender chose.
func (p *paths) hear(now time.Time, balancer view.Incarnation) {
	if place, ok := p.places[balancer]; ok {
		p.all[place].heard = now.UnixNano()
		p.activate(place)
	}
}

// next returns the path of a reply: of the next two paths in rotation, the one
// heard from more recently, and not the one that the last reply to the caller
// took, unless there is no other. A silent path soon loses every comparison.
func (p *paths) next(now time.Time, caller uint64) (path, bool) {
	last := &p.last[caller%callerSlots]

	first, ok := p.rotate(now, *last)
	if !ok {
		return p.fallback(last)
	}

	// The second path is the first of the next reply. Moving on by two would pair
	// the same paths for ever.
	position := p.cursor
	second, ok := p.rotate(now, *last)
	p.cursor = position

	if ok && p.all[second].heard > p.all[first].heard {
		first = second
	}

	*last = p.all[first].incarnation

	return p.all[first], true
}

// rotate returns the place of the next active path, other than the avoided one
// if there are several. Paths that fell silent leave the rotation.
func (p *paths) rotate(now time.Time, avoided view.Incarnation) (int32, bool) {
	oldest := now.Add(-heardTime).UnixNano()

	for skipped := false; len(p.active) > 0; {
		p.cursor++
		if p.cursor >= len(p.active) {
			p.cursor = 0
		}

		place := p.active[p.cursor]
		path := &p.all[place]

		if path.heard < oldest {
			p.deactivate(p.cursor)

			continue
		}

		if path.incarnation == avoided && len(p.active) > 1 && !skipped {
			skipped = true

			continue
		}

		return place, true
	}

	return 0, false
}

func (p *paths) deactivate(position int) {
	final := len(p.active) - 1

	p.all[p.active[position]].active = false
	p.active[position] = p.active[final]
	p.active = p.active[:final]
}

// fallback rotates over the balancers of the view.
func (p *paths) fallback(last *view.Incarnation) (path, bool) {
	if len(p.fallbacks) == 0 {
		return path{}, false
	}

	for range 2 {
		p.fallbackCursor = (p.fallbackCursor + 1) % len(p.fallbacks)

		if p.all[p.fallbacks[p.fallbackCursor]].incarnation != *last {
			break
		}
	}

	chosen := p.all[p.fallbacks[p.fallbackCursor]]
	*last = chosen.incarnation

	return chosen, true
}
