package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minBackoff is the bound of the first wait, maxBackoff that of all
	// later ones. The wait is uniform between zero and the bound ("full
	// jitter", Brooker, 2015), so that instances do not redial in step.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff yields the waits between rounds of failed dials.
type backoff struct {
	mutex  sync.Mutex
	random *rand.Rand
	bound  time.Duration
}

// next returns the wait before the next round.
func (b *backoff) next() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.bound = min(max(2*b.bound, minBackoff), maxBackoff)

	return time.Duration(b.random.Int64N(int64(b.bound))) + time.Millisecond
}

// reset starts anew after a success.
func (b *backoff) reset() {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.bound = 0
}
