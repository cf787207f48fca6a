package routing

import (
	"math/bits"
	"net/netip"

	"jayspindle/internal/state/view"
)

// entry is an agent in 24 bytes, so that a look-up at 26,000 agents usually
// costs one cache miss. Going through the maps of the view cost several.
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

// multiplier is 2^32 divided by the golden ratio (Knuth, "The Art of Computer
// Programming", volume 3, section 6.4), which spreads consecutive numbers.
const multiplier = 0x9e3779b1

// newIndex returns an index that is at most two thirds full.
func newIndex(agents []view.Agent) index {
	width := max(4, bits.Len(uint(len(agents)+len(agents)/2)))
	made := index{entries: make([]entry, 1<<width), shift: 32 - width}

	for i := range agents {
		agent := &agents[i]

		place := made.place(agent.Incarnation)
		for made.entries[place].incarnation != 0 {
			place = (place + 1) % len(made.entries)
		}

		made.entries[place] = entry{agent.Incarnation, agent.Service, agent.Data.Port(), as16(agent.Data.Addr())}
	}

	return made
}

func as16(address netip.Addr) [16]byte {
	if !address.IsValid() {
		return [16]byte{}
	}

	return address.As16()
}

func (x *index) place(incarnation view.Incarnation) int {
	return int(uint32(incarnation) * multiplier >> x.shift)
}

// find returns the entry of an agent, or nil.
func (x *index) find(incarnation view.Incarnation) *entry {
	if len(x.entries) == 0 || incarnation == 0 {
		return nil
	}

	mask := len(x.entries) - 1

	for place := x.place(incarnation) & mask; ; place = (place + 1) & mask {
		found := &x.entries[place]

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
