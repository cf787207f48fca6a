package forward

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/dchest/siphash"
	"golang.org/x/time/rate"

	"jayspindle/internal/state/view"
)

const (
	// burstWindow is the time whose allowed packets may arrive at once.
	burstWindow = 100 * time.Millisecond

	// sourceSets and sourceWays give the size of the table of sources of a
	// service: 256 entries, 4 KB. Only sources near their limit need an entry,
	// and at 500 packets a second each, 40 of them use up a service limit of
	// 20,000.
	sourceSets = 64
	sourceWays = 4
)

// limiter bounds the first packets of one service. It is safe for concurrent
// use. Services share no limiter, so a flood on one does not reduce the limit of
// another.
type limiter struct {
	limits  view.Limits
	service *rate.Limiter // nil: unlimited
	sources *sources      // nil: unlimited
}

func newLimiter(limits view.Limits, seed [2]uint64) *limiter {
	result := &limiter{limits: limits}

	if limits.FirstPackets > 0 {
		result.service = rate.NewLimiter(rate.Limit(limits.FirstPackets), burst(limits.FirstPackets))
	}

	if limits.FirstPacketsPerSource > 0 {
		result.sources = newSources(limits.FirstPacketsPerSource, seed)
	}

	return result
}

// burst returns the number of packets that may arrive at once, at least 1.
func burst(perSecond uint32) int {
	return max(1, int(time.Duration(perSecond)*burstWindow/time.Second))
}

// admit returns First if the packet is within both limits. The source is
// tested first, so that packets above its limit do not count for the service.
func (l *limiter) admit(now time.Time, source netip.Addr) Reason {
	if l.sources != nil && !l.sources.admit(now, source) {
		return SourceLimited
	}

	if l.service != nil && !l.service.AllowN(now, 1) {
		return ServiceLimited
	}

	return First
}

// sources is a set-associative table of token buckets. Limiters of package rate
// would need one allocation for each spoofed source. A source without a bucket
// replaces the one of its set that will be full first: a full bucket limits nothing.
type sources struct {
	interval  int64 // nanoseconds for each packet
	tolerance int64 // burst, in nanoseconds
	seed      [2]uint64

	mutex sync.Mutex
	sets  [sourceSets][sourceWays]bucket
}

// bucket is a token bucket in the form of the generic cell rate algorithm
// (ITU-T I.371): one time instead of a level and the time of its last change.
type bucket struct {
	source uint64 // keyed hash, so that a caller cannot aim for the set of another
	fullAt int64  // when the bucket is full again, in Unix nanoseconds
}

func newSources(perSecond uint32, seed [2]uint64) *sources {
	interval := int64(time.Second) / int64(perSecond)

	return &sources{interval: interval, tolerance: interval * int64(burst(perSecond)), seed: seed}
}

func (s *sources) admit(now time.Time, source netip.Addr) bool {
	hash := s.hash(source)
	nowNanos := now.UnixNano()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	set := &s.sets[hash%sourceSets]
	chosen := &set[0]

	for i := range set {
		if set[i].source == hash {
			chosen = &set[i]

			break
		}

		if set[i].fullAt < chosen.fullAt {
			chosen = &set[i]
		}
	}

	if chosen.source != hash {
		*chosen = bucket{source: hash}
	}

	fullAt := max(chosen.fullAt, nowNanos) + s.interval
	if fullAt-nowNanos > s.tolerance {
		return false
	}

	chosen.fullAt = fullAt

	return true
}

// hash identifies a source: an IPv4 address, or the /64 network of an IPv6
// address, which is usually assigned to one caller.
func (s *sources) hash(source netip.Addr) uint64 {
	source = source.Unmap()

	bytes := source.As16()
	if source.Is4() {
		return siphash.Hash(s.seed[0], s.seed[1], bytes[:])
	}

	binary.NativeEndian.PutUint64(bytes[8:], 0)

	return siphash.Hash(s.seed[0], s.seed[1], bytes[:])
}
