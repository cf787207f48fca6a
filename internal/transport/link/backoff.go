package link

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minBackoff is the upper bound of the first delay. The bound doubles with
	// each further delay, up to maxBackoff. The delay is uniform between zero
	// and the bound ("full jitter", Brooker, 2015), so that instances do not
	// redial at the same time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff computes the delays between rounds of failed dials.
type backoff struct {
	mutex  sync.Mutex
	random *rand.Rand
	bound  time.Duration
}

// nextDelay returns the delay before the next round.
func (b *backoff) nextDelay() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.bound = min(max(2*b.bound, minBackoff), maxBackoff)

	return time.Duration(b.random.Int64N(int64(b.bound))) + time.Millisecond
}

// reset returns to the shortest delay after a successful dial.
func (b *backoff) reset() {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.bound = 0
}
