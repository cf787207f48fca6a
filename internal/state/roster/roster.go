// Package roster maintains the list of agents of pass-through services and their
// availability. It is soft state: agents announce themselves periodically to every
// controller, and a restarted controller knows all of them after one interval. It is
// never written to disk.
//
// # Usage
//
//	list := roster.New(epoch)
//	changed := list.Announce(now, record, sequence)
//	changed = list.Expire(now)
//	records, position := list.Since(known)
//
// A position orders the changes of one list; the epoch distinguishes the lists of
// two controllers, or of two starts of one controller. An instance that follows a
// list passes its last position and gets the records that changed since.
package roster

import (
	"slices"
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/newest"
)

const (
	// SilentTimeout is the time without announcements after which an agent receives no
	// new flows. It corresponds to four consecutive lost announcements.
	SilentTimeout = 1600 * time.Millisecond

	// GoneTimeout is the time without announcements after which an agent is considered
	// lost. It is longer than the restart of an instance, so that a restarting agent
	// is not considered lost.
	GoneTimeout = 5 * time.Second

	// Memory is how long after its last announcement an agent is remembered.
	Memory = 2 * GoneTimeout

	// maxEarlierBoots limits the earlier starts of an agent whose delayed
	// announcements can be distinguished from current ones.
	maxEarlierBoots = 8

	// minFlowsChangeFraction is the smallest change in the number of flows that is
	// published to followers, as a fraction of the new number and at least 2 flows. A
	// change of the waiting flows is published if it reaches the number of slots.
	minFlowsChangeFraction = 0.125
)

// State is the availability of an agent for new flows.
type State uint8

// The states of an agent.
const (
	Starting State = iota + 1 // the backend server has not reported yet
	Ready
	Draining // the backend server is shutting down and keeps its flows
	Ended    // the backend server has stopped
	Silent   // the agent has not announced itself recently
	Gone     // the agent is lost; followers drop the record
)

// String returns the state as it appears in logs.
func (s State) String() string {
	names := [...]string{"unknown", "starting", "ready", "draining", "ended", "silent", "gone"}
	if int(s) >= len(names) {
		return names[0]
	}

	return names[s]
}

// Load is the load that an agent reports in answers about single flows.
type Load struct {
	Flows   uint16 // open flows
	Waiting uint16 // flows that wait for an answer
	Failing bool   // requests fail, so other agents should receive new flows
}

// Record describes one agent.
type Record struct {
	Address flow.Endpoint `cbor:"1,keyasint"` // receives the packets of clients
	Boot    uint64        `cbor:"2,keyasint"` // random for each start of the agent
	Service string        `cbor:"3,keyasint"`
	Zone    string        `cbor:"4,keyasint"`
	State   State         `cbor:"5,keyasint"`
	Slots   uint16        `cbor:"6,keyasint"`            // maximum concurrent requests of the backend server
	Cold    bool          `cbor:"7,keyasint,omitempty"`  // the backend server has just started
	Flows   uint16        `cbor:"8,keyasint,omitempty"`  // open flows
	Waiting uint16        `cbor:"9,keyasint,omitempty"`  // flows that wait for an answer
	Changed uint64        `cbor:"10,keyasint,omitempty"` // position of the last change
	Failing bool          `cbor:"11,keyasint,omitempty"` // requests fail, so other agents should receive new flows
	// Away is announced by an agent that is stopped beside a running backend server, which
	// keeps its flows until the agent is back. Its silence does not mean that it is lost.
	Away bool `cbor:"12,keyasint,omitempty"`
}

// needsUpdate reports whether followers that have the record other need r.
func (r Record) needsUpdate(other Record) bool {
	flowsDelta := int(r.Flows) - int(other.Flows)
	minFlowsDelta := max(2, int(minFlowsChangeFraction*float64(r.Flows)))

	waitingDelta := int(r.Waiting) - int(other.Waiting)
	slots := max(1, int(r.Slots))

	if flowsDelta >= minFlowsDelta || -flowsDelta >= minFlowsDelta || waitingDelta >= slots || -waitingDelta >= slots {
		return true
	}

	other.Flows, other.Waiting, other.Changed = r.Flows, r.Waiting, r.Changed

	return r != other
}

// Predecessor is what a controller tells an agent about those that had its address
// before it started.
type Predecessor struct {
	// Listening is for how long the controller has heard of every agent; 0 if it may have
	// missed some.
	Listening time.Duration `cbor:"1,keyasint,omitempty"`
	// SinceHeard is how long ago the controller last heard of a predecessor; 0 if it
	// remembers none.
	SinceHeard time.Duration `cbor:"2,keyasint,omitempty"`
}

// entry is a record with the internal state of the list for its agent.
type entry struct {
	Record
	sequence     uint64
	lastSeen     time.Time
	earlierBoots []uint64              // Boot values of earlier starts of the agent
	earlierSeen  time.Time             // last announcement of the start before; zero if there was none
	outdated     newest.Series[uint64] // of announcements, by their Boot value
}

// outdatedPolicy is for agents that keep announcing themselves: a single announcement with
// a wrong Boot value or sequence shuts them out until they would be considered silent.
var outdatedPolicy = newest.Policy{Messages: 3, MinSpan: SilentTimeout / 4, MaxGap: SilentTimeout}

// List is the list of one controller. It is not safe for concurrent use.
type List struct {
	epoch    uint64
	position uint64
	entries  map[flow.Endpoint]*entry
}

// New returns an empty list. The epoch must be random for each start of the
// controller.
func New(epoch uint64) *List {
	return &List{epoch: epoch, entries: make(map[flow.Endpoint]*entry)}
}

// Epoch returns the epoch of the list.
func (l *List) Epoch() uint64 { return l.epoch }

// Position returns the position of the last change.
func (l *List) Position() uint64 { return l.position }

// Len returns the number of agents that are not gone.
func (l *List) Len() int {
	count := 0

	for _, e := range l.entries {
		if e.State != Gone {
			count++
		}
	}

	return count
}

// Announce applies the announcement of an agent. It reports whether the agent's
// state, service or one of its flags changed, in which case followers should be notified
// immediately. The sequence increases with each announcement of one start; delayed
// announcements are ignored.
func (l *List) Announce(now time.Time, record Record, sequence uint64) bool {
	known := l.entries[record.Address]
	if known == nil {
		known = &entry{outdated: newest.NewSeries[uint64](outdatedPolicy)}
		l.entries[record.Address] = known
	}

	if known.isOutdated(record.Boot, sequence) && !known.outdated.Observe(now, record.Boot, sequence) {
		return false
	}

	known.outdated.Reset()

	if known.Boot != record.Boot && !known.lastSeen.IsZero() {
		known.retireBoot(record.Boot)
		known.earlierSeen = known.lastSeen
	}

	notifyNow := record.State != known.State || record.Service != known.Service || record.Failing != known.Failing ||
		record.Away != known.Away
	if record.needsUpdate(known.Record) {
		l.position++
		record.Changed = l.position
		known.Record = record
	}

	known.sequence, known.lastSeen = sequence, now

	return notifyNow
}

// isOutdated reports whether an announcement is older than one that was applied.
func (e *entry) isOutdated(boot, sequence uint64) bool {
	if e.lastSeen.IsZero() {
		return false
	}

	return (e.Boot == boot && sequence <= e.sequence) || slices.Contains(e.earlierBoots, boot)
}

// retireBoot records that the agent has restarted with a new Boot value.
func (e *entry) retireBoot(next uint64) {
	e.earlierBoots = slices.DeleteFunc(e.earlierBoots, func(boot uint64) bool { return boot == next })
	e.earlierBoots = append(e.earlierBoots, e.Boot)

	if len(e.earlierBoots) > maxEarlierBoots {
		e.earlierBoots = e.earlierBoots[1:]
	}
}

// Expire marks agents without recent announcements as silent or gone and reports
// whether any state changed.
func (l *List) Expire(now time.Time) bool {
	changed := false

	for address, e := range l.entries {
		sinceSeen := now.Sub(e.lastSeen)
		next := e.State

		switch {
		// Followers poll several times a second and have had GoneTimeout to receive
		// the Gone record.
		case e.State == Gone && sinceSeen > Memory:
			delete(l.entries, address)
		case sinceSeen > GoneTimeout:
			next = Gone
		case sinceSeen > SilentTimeout && !e.Away:
			next = Silent
		}

		if next != e.State {
			l.position++
			e.State, e.Changed = next, l.position
			changed = true
		}
	}

	return changed
}

// SinceHeard returns how long ago the agent that had the address before the current one
// last announced itself, or 0 if none is remembered.
func (l *List) SinceHeard(now time.Time, address flow.Endpoint) time.Duration {
	e := l.entries[address]
	if e == nil || e.earlierSeen.IsZero() {
		return 0
	}

	return max(1, now.Sub(e.earlierSeen))
}

// Since returns the records that changed after a position, and the current
// position. For position 0 it returns all agents that are not gone.
func (l *List) Since(position uint64) ([]Record, uint64) {
	var records []Record

	for _, e := range l.entries {
		if e.Changed > position && (position > 0 || e.State != Gone) {
			records = append(records, e.Record)
		}
	}

	slices.SortFunc(records, func(a, b Record) int { return int(int64(a.Changed) - int64(b.Changed)) })

	return records, l.position
}
