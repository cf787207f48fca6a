package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/flow"
)

var (
	begin = time.Unix(1_000_000, 0)
	first = flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7}
	other = flow.Endpoint{IP: [4]byte{10, 0, 0, 2}, Port: 7}
)

// TestContacts guards against instances that are called while they poll, that are
// called all the time, and that are never given up.
func TestContacts(t *testing.T) {
	is := is.New(t)
	c := newContacts()
	c.hear(begin, first)
	is.Equal(len(c.silent(begin.Add(silentContact))), 0)

	later := begin.Add(silentContact + 1)
	is.Equal(c.silent(later), []flow.Endpoint{first})
	is.Equal(len(c.silent(later.Add(callInterval-1))), 0)
	is.Equal(c.silent(later.Add(callInterval)), []flow.Endpoint{first})

	c.hear(later.Add(time.Second), first)
	is.Equal(len(c.silent(later.Add(time.Second+callInterval))), 0)

	is.Equal(len(c.silent(later.Add(time.Second+forgetContact+1))), 0)
	is.Equal(len(c.known), 0)
}

// TestContactsSaved guards against a write for every poll, and against instances
// that a controller does not call after its restart.
func TestContactsSaved(t *testing.T) {
	is := is.New(t)
	c := newContacts()
	c.hear(begin, first)
	c.hear(begin, other)

	saved, changed := c.unsaved(begin)
	is.True(changed)

	c.hear(begin.Add(time.Minute), first)
	_, changed = c.unsaved(begin.Add(time.Minute))
	is.True(!changed)

	restarted := newContacts()
	restarted.hear(begin, other)
	restarted.restore(begin, saved)
	is.Equal(restarted.silent(begin), []flow.Endpoint{first}) // the other one has polled already
	is.Equal(len(restarted.known), 2)

	// It may start after the controller. The other one goes on polling.
	late := begin.Add(eagerTime)
	restarted.hear(late, other)
	is.Equal(restarted.silent(begin.Add(eagerCalls)), []flow.Endpoint{first})
	is.Equal(restarted.silent(late), []flow.Endpoint{first})
	is.Equal(len(restarted.silent(late.Add(callInterval-1))), 0)
}
