package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/flow"
)

var (
	startTime = time.Unix(1_000_000, 0)
	instance1 = flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7}
	instance2 = flow.Endpoint{IP: [4]byte{10, 0, 0, 2}, Port: 7}
)

// TestContacts guards against notifying instances that still poll, notifying
// silent ones more often than the interval allows, and never forgetting them.
func TestContacts(t *testing.T) {
	is := is.New(t)
	c := newKnownInstances()
	c.recordPoll(startTime, instance1)
	is.Equal(len(c.dueNotifications(startTime.Add(silenceTimeout))), 0)

	later := startTime.Add(silenceTimeout + 1)
	is.Equal(c.dueNotifications(later), []flow.Endpoint{instance1})
	is.Equal(len(c.dueNotifications(later.Add(notifyInterval-1))), 0)
	is.Equal(c.dueNotifications(later.Add(notifyInterval)), []flow.Endpoint{instance1})

	c.recordPoll(later.Add(time.Second), instance1)
	is.Equal(len(c.dueNotifications(later.Add(time.Second+notifyInterval))), 0)

	is.Equal(len(c.dueNotifications(later.Add(time.Second+knownInstanceTTL+1))), 0)
	is.Equal(len(c.known), 0)
}

// TestContactsSaved guards against a write for every poll, and against a
// restarted controller that does not notify the instances it knew before.
func TestContactsSaved(t *testing.T) {
	is := is.New(t)
	c := newKnownInstances()
	c.recordPoll(startTime, instance1)
	c.recordPoll(startTime, instance2)

	saved, changed := c.encodeIfChanged(startTime)
	is.True(changed)

	c.recordPoll(startTime.Add(time.Minute), instance1)
	_, changed = c.encodeIfChanged(startTime.Add(time.Minute))
	is.True(!changed)

	restarted := newKnownInstances()
	restarted.recordPoll(startTime, instance2)
	restarted.restore(startTime, saved)
	is.Equal(restarted.dueNotifications(startTime), []flow.Endpoint{instance1}) // instance2 has polled already
	is.Equal(len(restarted.known), 2)

	// instance1 may start after the controller. instance2 keeps polling.
	late := startTime.Add(startupWindow)
	restarted.recordPoll(late, instance2)
	is.Equal(restarted.dueNotifications(startTime.Add(startupNotifyInterval)), []flow.Endpoint{instance1})
	is.Equal(restarted.dueNotifications(late), []flow.Endpoint{instance1})
	is.Equal(len(restarted.dueNotifications(late.Add(notifyInterval-1))), 0)
}
