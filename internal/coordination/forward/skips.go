package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"jayspindle/internal/state/view"
)

const (
	// skipTime bounds how long first packets pass over an agent. It equals the
	// lease time, after which a dead agent leaves the view anyway.
	skipTime = 3 * time.Second

	// maxSkips bounds the memory. Further agents are not skipped.
	maxSkips = 4096

	// maxRanks bounds the search for an agent that is not skipped.
	maxRanks = 8
)

// skips is the set of agents that first packets pass over. It is safe for
// concurrent use.
type skips struct {
	count atomic.Int32 // spares readers the lock while nothing is skipped
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
		s.until[agent] = now.Add(skipTime)
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

// clear forgets all agents, since a changed view knows better.
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
