package registry

import (
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/wal"
)

const (
	contactsFile = "instances"

	// silentContact is how long an instance has to be silent before a controller
	// calls it: two polls and a half.
	silentContact = time.Second

	// callInterval is how often a silent instance is called.
	callInterval = time.Second

	// eagerCalls is the same for a while after the controller has started: after
	// the loss of all instances they start within half a second of each other.
	eagerCalls = 100 * time.Millisecond

	// eagerTime is that while.
	eagerTime = 3 * time.Second

	// forgetContact is when a silent instance is given up.
	forgetContact = 75 * time.Second

	// saveInterval bounds how often the instances are written.
	saveInterval = time.Second
)

// contact is an instance that polls, or has polled before.
type contact struct {
	heard  time.Time
	called time.Time
}

// contacts are the instances that a controller has heard of. Instances know only
// their seeds when they start, and these may be the last controllers to start, or
// be lost. So every controller remembers who has polled it, across its own
// restarts, and calls those that fell silent.
type contacts struct {
	known   map[flow.Endpoint]*contact
	changed bool // since the last save
	saved   time.Time
	eager   time.Time // until when instances are called often
}

func newContacts() *contacts { return &contacts{known: make(map[flow.Endpoint]*contact)} }

// hear notes that an instance polls.
func (c *contacts) hear(now time.Time, instance flow.Endpoint) {
	known := c.known[instance]
	if known == nil {
		known = &contact{}
		c.known[instance] = known
		c.changed = true
	}

	known.heard = now
}

// silent returns the instances to call now, and gives up old ones.
func (c *contacts) silent(now time.Time) []flow.Endpoint {
	var found []flow.Endpoint

	interval := callInterval
	if now.Before(c.eager) {
		interval = eagerCalls
	}

	for instance, known := range c.known {
		switch silence := now.Sub(known.heard); {
		case silence > forgetContact:
			delete(c.known, instance)

			c.changed = true
		case silence > silentContact && now.Sub(known.called) >= interval:
			known.called = now
			found = append(found, instance)
		}
	}

	return found
}

// unsaved returns the contents of the file if it has to be written now.
func (c *contacts) unsaved(now time.Time) ([]byte, bool) {
	if !c.changed || now.Sub(c.saved) < saveInterval {
		return nil, false
	}

	c.changed, c.saved = false, now

	var encoded []byte
	for instance := range c.known {
		encoded = instance.Append(encoded)
	}

	return encoded, true
}

// restore adds the instances of a file. They are called at once, and often.
func (c *contacts) restore(now time.Time, encoded []byte) {
	c.eager = now.Add(eagerTime)

	for ; len(encoded) >= flow.EndpointBytes; encoded = encoded[flow.EndpointBytes:] {
		instance := flow.ParseEndpoint(encoded)
		if c.known[instance] == nil {
			c.known[instance] = &contact{heard: now.Add(-silentContact - 1)}
		}
	}
}

// readContacts reads the file. One that is missing or torn is like an empty one:
// it is written anew as instances poll.
func readContacts(files wal.Files, path string) ([]byte, error) {
	data, err := wal.ReadIfExists(files, path)
	if err != nil || len(data) == 0 {
		return nil, err
	}

	encoded, _, err := wal.NextFrame(data, 0)

	return encoded, err
}
