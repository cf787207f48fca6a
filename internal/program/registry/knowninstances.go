package registry

import (
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/wal"
)

const (
	contactsFile = "instances"

	// contactSilenceTimeout is how long an instance must be silent before a
	// controller notifies it: two and a half poll intervals.
	contactSilenceTimeout = time.Second

	// notifyInterval is how often a silent instance is notified.
	notifyInterval = time.Second

	// startupNotifyInterval replaces notifyInterval for a while after the
	// controller has started: after the loss of all instances they start within
	// half a second of each other.
	startupNotifyInterval = 100 * time.Millisecond

	// startupWindow is how long startupNotifyInterval applies.
	startupWindow = 3 * time.Second

	// contactTTL is how long a silent instance is remembered.
	contactTTL = 75 * time.Second

	// minSaveInterval limits how often the known instances are written to disk.
	minSaveInterval = time.Second
)

// contact is an instance that polls this controller, or has polled it before.
type contact struct {
	lastPoll     time.Time
	lastNotified time.Time
}

// contacts holds the instances that have polled a controller. Instances know only
// their seeds when they start, and these controllers may start last or be lost.
// So every controller remembers which instances have polled it, across its own
// restarts, and notifies those that fell silent.
type contacts struct {
	known        map[flow.Endpoint]*contact
	changed      bool // since the last save
	lastSave     time.Time
	startupUntil time.Time // startupNotifyInterval applies until then
}

func newContacts() *contacts { return &contacts{known: make(map[flow.Endpoint]*contact)} }

// recordPoll records that an instance has polled.
func (c *contacts) recordPoll(now time.Time, instance flow.Endpoint) {
	entry := c.known[instance]
	if entry == nil {
		entry = &contact{}
		c.known[instance] = entry
		c.changed = true
	}

	entry.lastPoll = now
}

// dueNotifications returns the silent instances to notify now, and forgets those
// that exceed contactTTL.
func (c *contacts) dueNotifications(now time.Time) []flow.Endpoint {
	var found []flow.Endpoint

	interval := notifyInterval
	if now.Before(c.startupUntil) {
		interval = startupNotifyInterval
	}

	for instance, entry := range c.known {
		switch silence := now.Sub(entry.lastPoll); {
		case silence > contactTTL:
			delete(c.known, instance)

			c.changed = true
		case silence > contactSilenceTimeout && now.Sub(entry.lastNotified) >= interval:
			entry.lastNotified = now
			found = append(found, instance)
		}
	}

	return found
}

// encodeIfChanged returns the new contents of the file if it has to be written
// now.
func (c *contacts) encodeIfChanged(now time.Time) ([]byte, bool) {
	if !c.changed || now.Sub(c.lastSave) < minSaveInterval {
		return nil, false
	}

	c.changed, c.lastSave = false, now

	var encoded []byte
	for instance := range c.known {
		encoded = instance.Append(encoded)
	}

	return encoded, true
}

// restore adds the instances of a file. They are notified at once, and often at
// first.
func (c *contacts) restore(now time.Time, encoded []byte) {
	c.startupUntil = now.Add(startupWindow)

	for ; len(encoded) >= flow.EndpointBytes; encoded = encoded[flow.EndpointBytes:] {
		instance := flow.ParseEndpoint(encoded)
		if c.known[instance] == nil {
			c.known[instance] = &contact{lastPoll: now.Add(-contactSilenceTimeout - 1)}
		}
	}
}

// readContacts reads the file. A missing or torn file counts as empty: it is
// written again as instances poll.
func readContacts(files wal.Files, path string) ([]byte, error) {
	data, err := wal.ReadIfExists(files, path)
	if err != nil || len(data) == 0 {
		return nil, err
	}

	encoded, _, err := wal.NextFrame(data, 0)

	return encoded, err
}
