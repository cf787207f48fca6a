package registry

import (
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/wal"
)

const (
	instancesFile = "instances"

	// silenceTimeout is how long an instance must be silent before a
	// controller notifies it: two and a half poll intervals.
	silenceTimeout = time.Second

	// notifyInterval is how often a silent instance is notified.
	notifyInterval = time.Second

	// startupNotifyInterval replaces notifyInterval for a while after the
	// controller has started: after the loss of all instances they start within
	// half a second of each other.
	startupNotifyInterval = 100 * time.Millisecond

	// startupWindow is how long startupNotifyInterval applies.
	startupWindow = 3 * time.Second

	// knownInstanceTTL is how long a silent instance is remembered.
	knownInstanceTTL = 75 * time.Second

	// minSaveInterval limits how often the known instances are written to disk.
	minSaveInterval = time.Second
)

// knownInstance is an instance that polls this controller, or has polled it before.
type knownInstance struct {
	lastPoll     time.Time
	lastNotified time.Time
}

// knownInstances holds the instances that have polled a controller. Instances know only
// their seeds when they start, and these controllers may start last or be lost.
// So every controller remembers which instances have polled it, across its own
// restarts, and notifies those that fell silent.
type knownInstances struct {
	known        map[flow.Endpoint]*knownInstance
	changed      bool // since the last save
	lastSave     time.Time
	startupUntil time.Time // startupNotifyInterval applies until then
}

func newKnownInstances() *knownInstances {
	return &knownInstances{known: make(map[flow.Endpoint]*knownInstance)}
}

// recordPoll records that an instance has polled.
func (k *knownInstances) recordPoll(now time.Time, instance flow.Endpoint) {
	entry := k.known[instance]
	if entry == nil {
		entry = &knownInstance{}
		k.known[instance] = entry
		k.changed = true
	}

	entry.lastPoll = now
}

// dueNotifications returns the silent instances to notify now, and forgets those
// that exceed knownInstanceTTL.
func (k *knownInstances) dueNotifications(now time.Time) []flow.Endpoint {
	var found []flow.Endpoint

	interval := notifyInterval
	if now.Before(k.startupUntil) {
		interval = startupNotifyInterval
	}

	for instance, entry := range k.known {
		switch silence := now.Sub(entry.lastPoll); {
		case silence > knownInstanceTTL:
			delete(k.known, instance)

			k.changed = true
		case silence > silenceTimeout && now.Sub(entry.lastNotified) >= interval:
			entry.lastNotified = now
			found = append(found, instance)
		}
	}

	return found
}

// encodeIfChanged returns the new contents of the file if it has to be written
// now.
func (k *knownInstances) encodeIfChanged(now time.Time) ([]byte, bool) {
	if !k.changed || now.Sub(k.lastSave) < minSaveInterval {
		return nil, false
	}

	k.changed, k.lastSave = false, now

	var encoded []byte
	for instance := range k.known {
		encoded = instance.Append(encoded)
	}

	return encoded, true
}

// restore adds the instances of a file. They are notified at once, and often at
// first.
func (k *knownInstances) restore(now time.Time, encoded []byte) {
	k.startupUntil = now.Add(startupWindow)

	for ; len(encoded) >= flow.EndpointBytes; encoded = encoded[flow.EndpointBytes:] {
		instance := flow.ParseEndpoint(encoded)
		if k.known[instance] == nil {
			k.known[instance] = &knownInstance{lastPoll: now.Add(-silenceTimeout - 1)}
		}
	}
}

// readKnownInstances reads the file. A missing or torn file counts as empty: it is
// written again as instances poll.
func readKnownInstances(files wal.Files, path string) ([]byte, error) {
	data, err := wal.ReadIfExists(files, path)
	if err != nil || len(data) == 0 {
		return nil, err
	}

	encoded, _, err := wal.NextFrame(data, 0)

	return encoded, err
}
