// Package roster is the list of live agents of pass-through services. It is
// soft state: agents announce themselves again and again to every controller,
// and a controller that starts knows all of them after one interval. Nothing of
// it is written to a disk.
//
// # Usage
//
//	list := roster.New(epoch)
//	changed := list.Announce(now, record, sequence)
//	changed = list.Expire(now)
//	records, position := list.Since(known)
//
// A position orders the changes of one list; the epoch tells the lists of two
// controllers, or of two starts of one, apart. An instance that follows a list
// passes the position that it has and gets the records that changed since.
package roster

import (
	"slices"
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// SilentAfter is four announcements that were lost in a row. No new flows
	// go to an agent that was not heard for so long.
	SilentAfter = 1600 * time.Millisecond

	// GoneAfter is when a silent agent counts as lost for good: the restart of
	// an instance takes less.
	GoneAfter = 5 * time.Second

	// maxPast bounds the earlier starts of an agent whose late announcements
	// are told from current ones.
	maxPast = 8

	// flowsStep is the change of the number of flows that followers are told
	// of, as a fraction of the number that they know.
	flowsStep = 0.125
)

// State is whether an agent takes new flows.
type State uint8

// The states of an agent.
const (
	Starting State = iota + 1 // the backend server was not heard yet
	Ready
	Draining // the backend server is leaving and keeps its flows
	Ended    // the backend server has ended
	Silent   // the agent was not heard recently
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

// Load is what an agent says of its load in answers about single flows.
type Load struct {
	Flows   uint16 // open flows
	Waiting uint16 // flows that wait for an answer
	Failing bool   // requests fail, so new flows should go elsewhere
}

// Record describes one agent.
type Record struct {
	Address flow.Endpoint `cbor:"1,keyasint"` // receives the packets of clients
	Boot    uint64        `cbor:"2,keyasint"` // random for each start of the agent
	Service string        `cbor:"3,keyasint"`
	Zone    string        `cbor:"4,keyasint"`
	State   State         `cbor:"5,keyasint"`
	Slots   uint16        `cbor:"6,keyasint"` // requests that the backend server runs at a time
	Cold    bool          `cbor:"7,keyasint,omitempty"`
	Flows   uint16        `cbor:"8,keyasint,omitempty"`  // open flows
	Waiting uint16        `cbor:"9,keyasint,omitempty"`  // flows that wait for an answer
	Changed uint64        `cbor:"10,keyasint,omitempty"` // position of the last change
	Failing bool          `cbor:"11,keyasint,omitempty"` // requests fail, so new flows should go elsewhere
}

// differs reports whether followers have to be told of a change.
func (r Record) differs(other Record) bool {
	load := int(r.Flows) - int(other.Flows)
	step := max(2, int(flowsStep*float64(r.Flows)))

	waiting := int(r.Waiting) - int(other.Waiting)
	slots := max(1, int(r.Slots))

	if load >= step || -load >= step || waiting >= slots || -waiting >= slots {
		return true
	}

	other.Flows, other.Waiting, other.Changed = r.Flows, r.Waiting, r.Changed

	return r != other
}

// member is a record with what only the list needs.
type member struct {
	Record
	sequence uint64
	heard    time.Time
	past     []uint64 // earlier starts of the agent
}

// List is the list of one controller. One goroutine at a time uses it.
type List struct {
	epoch    uint64
	position uint64
	members  map[flow.Endpoint]*member
}

// New returns an empty list. The epoch is random for each start.
func New(epoch uint64) *List {
	return &List{epoch: epoch, members: make(map[flow.Endpoint]*member)}
}

// Epoch returns the epoch of the list.
func (l *List) Epoch() uint64 { return l.epoch }

// Position returns the position of the last change.
func (l *List) Position() uint64 { return l.position }

// Len returns the number of agents that are not gone.
func (l *List) Len() int {
	count := 0

	for _, m := range l.members {
		if m.State != Gone {
			count++
		}
	}

	return count
}

// Announce applies what an agent says of itself and reports whether its state
// changed, so that followers should be told at once. The sequence rises with
// each announcement of one start, so that a late one is ignored.
func (l *List) Announce(now time.Time, record Record, sequence uint64) bool {
	known := l.members[record.Address]

	switch {
	case known == nil:
		known = &member{}
		l.members[record.Address] = known
	case known.Boot == record.Boot && sequence <= known.sequence:
		return false
	case slices.Contains(known.past, record.Boot):
		return false
	case known.Boot != record.Boot:
		known.past = append(known.past, known.Boot)
		if len(known.past) > maxPast {
			known.past = known.past[1:]
		}
	}

	urgent := record.State != known.State || record.Service != known.Service || record.Failing != known.Failing
	if record.differs(known.Record) {
		l.position++
		record.Changed = l.position
		known.Record = record
	}

	known.sequence, known.heard = sequence, now

	return urgent
}

// Expire marks agents that were not heard and reports whether there were any.
func (l *List) Expire(now time.Time) bool {
	changed := false

	for address, m := range l.members {
		silent := now.Sub(m.heard)
		next := m.State

		switch {
		case m.State == Gone && silent > 2*GoneAfter:
			delete(l.members, address)
		case silent > GoneAfter:
			next = Gone
		case silent > SilentAfter:
			next = Silent
		}

		if next != m.State {
			l.position++
			m.State, m.Changed = next, l.position
			changed = true
		}
	}

	return changed
}

// Since returns the records that changed after a position, and the position
// that they lead to. With position 0 it returns all.
func (l *List) Since(position uint64) ([]Record, uint64) {
	var records []Record

	for _, m := range l.members {
		if m.Changed > position && (position > 0 || m.State != Gone) {
			records = append(records, m.Record)
		}
	}

	slices.SortFunc(records, func(a, b Record) int { return int(int64(a.Changed) - int64(b.Changed)) })

	return records, l.position
}
