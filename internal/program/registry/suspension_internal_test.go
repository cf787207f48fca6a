package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReadyAfterSuspension guards against a controller that presents an old document and
// an old list of agents as current after its machine was suspended: its clock stood
// still, and its Raft node has not missed its leader yet.
func TestReadyAfterSuspension(t *testing.T) {
	is := is.New(t)
	total := time.Duration(0)
	r := &Registry{started: startTime, suspension: newSuspension(func() time.Duration { return total })}
	now := startTime.Add(time.Hour)
	current := &publishedState{publishedAt: now, hasLeader: true}

	is.True(r.ready(now, current))

	total = 8 * time.Second
	is.True(!r.ready(now, current))

	later := now.Add(resumeDelay + 1)
	current.publishedAt = later
	is.True(r.ready(later, current))
}
