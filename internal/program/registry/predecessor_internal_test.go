package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

// TestListening guards against a controller that vouches for a time in which it may have
// missed the polls of agents.
func TestListening(t *testing.T) {
	agent := flow.Endpoint{IP: [4]byte{10, 0, 0, 9}, Port: 7720}

	newRegistry := func(total *time.Duration) *Registry {
		return &Registry{
			started: startTime, listeningSince: startTime, agents: roster.New(1),
			suspension: newSuspension(func() time.Duration { return *total }),
		}
	}

	t.Run("grows up to what the list of agents remembers", func(t *testing.T) {
		r := newRegistry(new(time.Duration))
		is.New(t).Equal(r.predecessor(startTime.Add(3*time.Second), agent, true).Listening, 3*time.Second)
		is.New(t).Equal(r.predecessor(startTime.Add(time.Hour), agent, true).Listening, roster.Memory)
	})

	t.Run("not without contact with the group", func(t *testing.T) {
		r := newRegistry(new(time.Duration))
		is.New(t).Equal(*r.predecessor(startTime.Add(time.Hour), agent, false), roster.Predecessor{})
	})

	t.Run("begins anew after a suspension", func(t *testing.T) {
		total := time.Duration(0)
		r := newRegistry(&total)
		now := startTime.Add(time.Hour)
		total = 8 * time.Second
		is.New(t).Equal(r.predecessor(now, agent, true).Listening, time.Duration(0))
		is.New(t).Equal(r.predecessor(now.Add(time.Second), agent, true).Listening, time.Second)
	})
}
