package measure

import (
	"maps"
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
)

const (
	closingDelay    = time.Second // of a membership in force before earlier ones are closed
	closingPause    = time.Second // between the steps of a closing
	closingMaxDelay = 200 * time.Millisecond
)

// claimClosing is one attempt of an agent to close earlier memberships.
type claimClosing struct {
	simulation  *claimSimulation
	coordinator *claimNode
	closing     claim.Closing
	outstanding int // replies that the current step waits for
}

// stepClosing starts a closing if an earlier membership has lost a holder. Several
// agents may do so at once.
func (s *claimSimulation) stepClosing(n *claimNode) {
	seal, since, lost := n.history.LostHolder()
	if !lost || n.closing || n.draining || s.now.Sub(since) < closingDelay {
		return
	}

	n.closing = true
	c := &claimClosing{simulation: s, coordinator: n, closing: claim.Closing{Seal: seal}}

	c.step(c.seal, func() { c.step(c.carry, c.publish) })
	s.scheduleAfter(3*closingPause, func() { n.closing = false })
}

// step sends a message to all members and continues after a pause if all of them
// have handled it.
func (c *claimClosing) step(handle func(*claimNode) bool, next func()) {
	c.outstanding = len(c.closing.Seal.Members)

	for _, member := range c.closing.Seal.Members {
		c.send(c.coordinator, member.Incarnation, func(n *claimNode) {
			if handle(n) {
				c.outstanding--
			}
		})
	}

	c.simulation.scheduleAfter(closingPause, func() {
		if c.outstanding == 0 && c.coordinator.alive {
			next()
		}
	})
}

// send delivers a message late, or not at all.
func (c *claimClosing) send(from *claimNode, to view.Incarnation, handle func(*claimNode)) {
	s := c.simulation
	target := s.node(to)

	s.scheduleAfter(s.randomDuration(closingMaxDelay), func() {
		if s.connected(from, target) && s.random.Float64() >= s.scenario.Loss {
			handle(target)
		}
	})
}

func (c *claimClosing) seal(n *claimNode) bool {
	if !n.history.AcceptSeal(c.closing.Seal) {
		return false
	}

	n.store.Seal(c.simulation.now, c.closing.Seal)

	return true
}

// carry sends the claims of an agent to the holders. The agent has handled the
// message when the last holder has.
func (c *claimClosing) carry(n *claimNode) bool {
	if !n.store.SealedBy(c.closing.Seal) {
		return false
	}

	carried, seats := n.store.Carry(c.simulation.now, c.closing.Seal.Members)
	c.closing.Seats = append(c.closing.Seats, seats...)
	c.outstanding += len(carried)

	for _, incarnation := range slices.Sorted(maps.Keys(carried)) {
		c.send(n, incarnation, func(holder *claimNode) {
			if holder.store.Adopt(c.simulation.now, holder.incarnation, carried[incarnation]) == nil {
				c.outstanding--
			}
		})
	}

	return true
}

func (c *claimClosing) publish() {
	closing := claim.Closing{Seal: c.closing.Seal, Seats: slices.Clone(c.closing.Seats)}
	c.coordinator.history.Close(c.simulation.now, closing)
	c.simulation.result.Closings++

	for _, member := range closing.Seal.Members {
		c.send(c.coordinator, member.Incarnation, func(n *claimNode) { n.history.Close(c.simulation.now, closing) })
	}
}
