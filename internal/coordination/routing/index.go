package routing

import (
	"math/bits"
	"net/netip"

	"jayspindle/internal/state/view"
)

// entry holds an agent in 24 bytes, so that a lookup among 26,000 agents usually
// costs one cache miss. A lookup through the maps of the view cost several.
type entry struct {
	incarnation view.Incarnation // 0 for a free entry
	service     view.ServiceID
	port        uint16
	address     [16]byte // IPv4 as ::ffff:a.b.c.d
}

// index is an open-addressing hash table of agents with linear probing.
type index struct {
	entries []entry
	shift   int
}

// hashMultiplier is 2^32 divided by the golden ratio (Knuth, "The Art of Computer
// Programming", volume 3, section 6.4). It spreads consecutive incarnations over
// the table.
const hashMultiplier = 0x9e3779b1

// newIndex returns an index that is at most two thirds full.
func newIndex(agents []view.Agent) index {
	width := max(4, bits.Len(uint(len(agents)+len(agents)/2)))
	result := index{entries: make([]entry, 1<<width), shift: 32 - width}

	for i := range agents {
		agent := &agents[i]

		slot := result.slotOf(agent.Incarnation)
		for result.entries[slot].incarnation != 0 {
			slot = (slot + 1) % len(result.entries)
		}

		result.entries[slot] = entry{agent.Incarnation, agent.Service, agent.Data.Port(), as16(agent.Data.Addr())}
	}

	return result
}

// as16 returns the 16-byte form of an address, or zeros for an invalid address.
func as16(address netip.Addr) [16]byte {
	if !address.IsValid() {
		return [16]byte{}
	}

	return address.As16()
}

// slotOf returns the slot at which the search for an incarnation starts.
func (x *index) slotOf(incarnation view.Incarnation) int {
	return int(uint32(incarnation) * hashMultiplier >> x.shift)
}

// find returns the entry of an agent, or nil.
func (x *index) find(incarnation view.Incarnation) *entry {
	if len(x.entries) == 0 || incarnation == 0 {
		return nil
	}

	mask := len(x.entries) - 1

	for slot := x.slotOf(incarnation) & mask; ; slot = (slot + 1) & mask {
		found := &x.entries[slot]

		switch found.incarnation {
		case incarnation:
			return found
		case 0:
			return nil
		}
	}
}

// Agent returns the service and the data address of an agent. It reports false
// for an agent that is not in the view.
func (t *Table) Agent(incarnation view.Incarnation) (view.ServiceID, netip.AddrPort, bool) {
	found := t.index.find(incarnation)
	if found == nil {
		return 0, netip.AddrPort{}, false
	}

	return found.service, netip.AddrPortFrom(netip.AddrFrom16(found.address).Unmap(), found.port), true
}
