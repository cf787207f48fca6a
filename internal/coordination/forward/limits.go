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
	// burstWindow is the time whose share of packets may arrive at once.
	burstWindow = 100 * time.Millisecond

	// sourceSets and sourceWays give the size of the table of sources of a
	// service: 256 entries, 4 KB. Only sources near their limit need one, and
	// at 500 a second each, 40 of them use up a service limit of 20,000.
	sourceSets = 64
	sourceWays = 4
)

// limiter bounds the first packets of one service. It is safe for concurrent
// use. Services share no part of it, so a flood on one leaves the others their
// whole limit.
type limiter struct {
	limits  view.Limits
	service *rate.Limiter // nil: unlimited
	sources *sources      // nil: unlimited
}

func newLimiter(limits view.Limits, seed [2]uint64) *limiter {
	made := &limiter{limits: limits}

	if limits.FirstPackets > 0 {
		made.service = rate.NewLimiter(rate.Limit(limits.FirstPackets), burst(limits.FirstPackets))
	}

	if limits.FirstPacketsPerSource > 0 {
		made.sources = newSources(limits.FirstPacketsPerSource, seed)
	}

	return made
}

// burst returns the packets that may arrive at once, at least 1.
func burst(perSecond uint32) int {
	return max(1, int(time.Duration(perSecond)*burstWindow/time.Second))
}

// admit returns First if the packet is within both limits. The source is
// tested first, so that packets above its limit cost the service nothing.
func (l *limiter) admit(now time.Time, source netip.Addr) Reason {
	if l.sources != nil && !l.sources.admit(now, source) {
		return SourceLimited
	}

	if l.service != nil && !l.service.AllowN(now, 1) {
		return ServiceLimited
	}

	return First
}

// sources is a set-associative table of token buckets. The library's limiters
// would need one allocation for each spoofed source. When a set is full, the
// bucket that is nearest to full is given up: a full one equals none.
type sources struct {
	interval int64 // nanoseconds for each packet
	slack    int64 // nanoseconds of packets that may arrive at once
	seed     [2]uint64

	mutex sync.Mutex
	sets  [sourceSets][sourceWays]bucket
}

// bucket is a token bucket in the form of the generic cell rate algorithm
// (ITU-T I.371): one time instead of a level and the time of its last change.
type bucket struct {
	source uint64 // keyed hash; a caller cannot aim for the set of another
	full   int64  // when the bucket is full again, in Unix nanoseconds
}

func newSources(perSecond uint32, seed [2]uint64) *sources {
	interval := int64(time.Second) / int64(perSecond)

	return &sources{interval: interval, slack: interval * int64(burst(perSecond)), seed: seed}
}

func (s *sources) admit(now time.Time, source netip.Addr) bool {
	hash := s.hash(source)
	time := now.UnixNano()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	set := &s.sets[hash%sourceSets]
	chosen := &set[0]

	for i := range set {
		if set[i].source == hash {
			chosen = &set[i]

			break
		}

		if set[i].full < chosen.full {
			chosen = &set[i]
		}
	}

	if chosen.source != hash {
		*chosen = bucket{source: hash}
	}

	full := max(chosen.full, time) + s.interval
	if full-time > s.slack {
		return false
	}

	chosen.full = full

	return true
}

// hash identifies a source: an IPv4 address, or the /64 network of an IPv6
// address, which is what one caller is usually given.
func (s *sources) hash(source netip.Addr) uint64 {
	source = source.Unmap()

	bytes := source.As16()
	if source.Is4() {
		return siphash.Hash(s.seed[0], s.seed[1], bytes[:])
	}

	binary.NativeEndian.PutUint64(bytes[8:], 0)

	return siphash.Hash(s.seed[0], s.seed[1], bytes[:])
}
