package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"jayspindle/internal/state/view"
)

const (
	// skipDuration bounds how long first packets skip an agent. It equals the
	// lease TTL, after which a dead agent leaves the view anyway.
	skipDuration = 3 * time.Second

	// maxSkips bounds the memory of the set. Further agents are not skipped.
	maxSkips = 4096

	// maxRanks bounds the search for an agent that is not skipped.
	maxRanks = 8
)

// skips is the set of agents that first packets skip. It is safe for concurrent
// use.
type skips struct {
	count atomic.Int32 // lets readers avoid the lock while the set is empty
	mutex sync.Mutex
	until map[view.Incarnation]time.Time
}

func newSkips() *skips { return &skips{until: make(map[view.Incarnation]time.Time)} }

func (s *skips) add(now time.Time, agent view.Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if len(s.until) == maxSkips {
		s.expire(now)
	}

	if len(s.until) < maxSkips {
		s.until[agent] = now.Add(skipDuration)
		s.count.Store(int32(len(s.until)))
	}
}

func (s *skips) expire(now time.Time) {
	for agent, until := range s.until {
		if !now.Before(until) {
			delete(s.until, agent)
		}
	}
}

// clear removes all agents, since a new view has newer information about them.
func (s *skips) clear() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	clear(s.until)
	s.count.Store(0)
}

func (s *skips) contains(now time.Time, agent view.Incarnation) bool {
	if s.count.Load() == 0 {
		return false
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	until, ok := s.until[agent]

	return ok && now.Before(until)
}
