package catalog

import (
	"net/netip"
	"time"
)

// Limits of the detection of flapping.
const (
	// maxRecentStarts limits the starts that are remembered over all addresses.
	maxRecentStarts = 65_536

	// An address that announces flapStarts incarnations within flapWindow is
	// flapping. The new incarnation starts with flapWeight, and the leader doubles
	// its weight step by step with SetWeight, because a backend server that crashes
	// under load must not get its full share of new flows at once.
	flapStarts = 3
	flapWindow = 30 * time.Second
	flapWeight = 1
)

// start is the time at which a data address announced an incarnation.
type start struct {
	Data netip.AddrPort `cbor:"1,keyasint"`
	Time int64          `cbor:"2,keyasint"`
}

// starts holds the recent starts, oldest first.
type starts struct {
	order  []start
	byData map[netip.AddrPort][]int64 // times, oldest first
}

func (s *starts) add(added start) {
	s.order = append(s.order, added)
	s.byData[added.Data] = append(s.byData[added.Data], added.Time)
}

func (s *starts) dropOldest() {
	data := s.order[0].Data
	s.order = s.order[1:]

	if s.byData[data] = s.byData[data][1:]; len(s.byData[data]) == 0 {
		delete(s.byData, data)
	}
}

// detectFlapping records a start and reports whether the address started too
// often. It compares absolute differences, because times of different leaders can
// be out of order.
func (s *starts) detectFlapping(now int64, data netip.AddrPort) bool {
	for len(s.order) > 0 && (len(s.order) >= maxRecentStarts || distance(s.order[0].Time, now) >= uint64(flapWindow)) {
		s.dropOldest()
	}

	count := 1

	for _, earlier := range s.byData[data] {
		if distance(earlier, now) < uint64(flapWindow) {
			count++
		}
	}

	s.add(start{Data: data, Time: now})

	return count >= flapStarts
}

// distance returns the time between a and b. The difference is unsigned, because
// times come from outside and a signed one could overflow.
func distance(a, b int64) uint64 {
	return uint64(max(a, b)) - uint64(min(a, b))
}
