package gate

import (
	"fmt"
	"time"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/roster"
)

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of errors of this package.
const (
	KindForeign ErrorKind = "foreign" // the report is of another service
	KindInvalid ErrorKind = "invalid" // the report contradicts itself
)

// Error is the error type of this package.
type Error = failure.Error[ErrorKind]

func newError(operation string, kind ErrorKind, err error) *Error {
	return failure.New("gate", operation, kind, err)
}

// Report is what a backend server says of itself.
type Report struct {
	ID       string
	Service  string
	Born     int64  // Unix milliseconds of its start; a later start has a higher one
	Sequence uint64 // rises with each report of one start
	Slots    uint16 // requests that it runs at a time
	Leaving  bool
	Cold     time.Duration // how much longer it is slow after its start
}

// Outcome tells what a report changed.
type Outcome uint8

// The outcomes of a report.
const (
	Unchanged Outcome = iota + 1
	Changed           // followers have to be told
	Late              // a later report or start was heard before
)

type lifeState uint8

const (
	unheard lifeState = iota
	serving
	quiet // was serving, and missed several reports
	leaving
	ended
)

// backend is what a gate knows of its backend server.
type backend struct {
	state    lifeState
	id       string
	born     int64
	sequence uint64
	slots    uint16
	coldTill time.Time
	heard    time.Time
	watched  bool // the gate has seen every flow of this start
}

// Report applies what the backend server says of itself.
func (g *Gate) Report(now time.Time, report Report) (Outcome, error) {
	if report.Service != g.config.Service {
		return 0, newError("report", KindForeign,
			fmt.Errorf("found service %q, this agent serves %q", report.Service, g.config.Service))
	}

	if report.Slots == 0 || report.Born <= 0 {
		return 0, newError("report", KindInvalid, fmt.Errorf("found %d slots and start %d", report.Slots, report.Born))
	}

	b := &g.backend

	switch {
	case b.state != unheard && report.Born < b.born:
		return Late, nil
	case b.state != unheard && report.Born == b.born && report.Sequence <= b.sequence:
		return Late, nil
	}

	before := *b

	// Flows that were seen before the first report belong to the backend server
	// that now makes itself known.
	if b.born == 0 {
		for _, h := range g.flows {
			h.born = report.Born
		}
	}

	if b.state == unheard || report.Born > b.born {
		b.watched = b.state != unheard || g.sawStart(now, report)
		g.health = health{}
	}

	b.id, b.born, b.sequence, b.slots, b.heard = report.ID, report.Born, report.Sequence, report.Slots, now
	b.coldTill = now.Add(report.Cold)
	b.state = serving

	// A backend server that has announced its end does not come back; only
	// another start does.
	if report.Leaving || (before.state == leaving && before.born == b.born) {
		b.state = leaving
	}

	if b.state != before.state || b.born != before.born || b.slots != before.slots {
		return Changed, nil
	}

	return Unchanged, nil
}

// sawStart reports whether no flow can have begun before the gate was there to
// see it: the report is the first one, or the backend server has started at the
// same time as the gate. Its age comes from the time of day, which may be wrong,
// so it counts only if the backend server is still cold.
func (g *Gate) sawStart(now time.Time, report Report) bool {
	if report.Sequence <= 1 {
		return true
	}

	age := now.Sub(time.UnixMilli(report.Born))

	return report.Cold > 0 && age <= now.Sub(g.config.Boot)+startSlack
}

// Leave notes that the backend server has ended its work. Sequence and start
// may be missing (0).
func (g *Gate) Leave(id string, born int64) Outcome {
	b := &g.backend
	if (id != b.id && b.state != unheard) || (born != 0 && born < b.born) {
		return Late
	}

	if b.state == ended {
		return Unchanged
	}

	b.state = ended

	return Changed
}

// expire notes that a serving backend server was not heard for a while. A later
// report of the same start revives it.
func (b *backend) expire(now time.Time, silence time.Duration) bool {
	if b.state != serving || now.Sub(b.heard) <= silence {
		return false
	}

	b.state = quiet

	return true
}

// Record describes the agent for the list of agents.
func (g *Gate) Record(now time.Time) roster.Record {
	b := &g.backend
	load := g.Load(now)
	record := roster.Record{
		Service: g.config.Service, Slots: b.slots, Cold: b.state == serving && now.Before(b.coldTill),
		Flows: load.Flows, Waiting: load.Waiting, Failing: load.Failing,
	}

	switch b.state {
	case unheard, quiet:
		record.State = roster.Starting
	case serving:
		record.State = roster.Ready
	case leaving:
		record.State = roster.Draining
	case ended:
		record.State = roster.Ended
	}

	return record
}
