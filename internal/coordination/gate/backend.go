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
	KindWrongService ErrorKind = "foreign" // the report is of another service
	KindInvalid      ErrorKind = "invalid" // the report contradicts itself
)

// Error is the error type of this package.
type Error = failure.Error[ErrorKind]

func newError(operation string, kind ErrorKind, err error) *Error {
	return failure.New("gate", operation, kind, err)
}

// Report is a status report of a backend server.
type Report struct {
	ID              string
	Service         string
	StartMillis     int64  // start time in Unix milliseconds; higher for a later start
	Sequence        uint64 // increases with each report of the same start
	Slots           uint16 // maximum number of concurrent requests
	Leaving         bool
	WarmUpRemaining time.Duration // how much longer it is slow because it has just started
}

// Outcome tells what a report changed.
type Outcome uint8

// The outcomes of a report.
const (
	Unchanged Outcome = iota + 1
	Changed           // the agent's record has to be published again
	Outdated          // a newer report or start was received before
)

type backendState uint8

const (
	unreported backendState = iota
	serving
	silent // was serving, and missed more than maxMissedReports reports
	leaving
	ended
)

// backend is the last known state of the backend server.
type backend struct {
	state         backendState
	id            string
	startMillis   int64
	sequence      uint64
	slots         uint16
	coldUntil     time.Time
	lastReport    time.Time
	seenFromStart bool // the gate has seen every flow since this start
}

// Report applies a status report of the backend server.
func (g *Gate) Report(now time.Time, report Report) (Outcome, error) {
	if report.Service != g.config.Service {
		return 0, newError("report", KindWrongService,
			fmt.Errorf("found service %q, this agent serves %q", report.Service, g.config.Service))
	}

	if report.Slots == 0 || report.StartMillis <= 0 {
		return 0, newError("report", KindInvalid, fmt.Errorf("found %d slots and start %d", report.Slots, report.StartMillis))
	}

	b := &g.backend

	switch {
	case b.state != unreported && report.StartMillis < b.startMillis:
		return Outdated, nil
	case b.state != unreported && report.StartMillis == b.startMillis && report.Sequence <= b.sequence:
		return Outdated, nil
	}

	previous := *b

	// Flows that were seen before the first report belong to the backend server
	// that now reports for the first time.
	if b.startMillis == 0 {
		for _, h := range g.flows {
			h.backendStart = report.StartMillis
		}
	}

	if b.state == unreported || report.StartMillis > b.startMillis {
		b.seenFromStart = g.sawStart(now, report)
		g.health = health{}
	}

	b.id, b.startMillis, b.sequence, b.slots, b.lastReport =
		report.ID, report.StartMillis, report.Sequence, report.Slots, now
	b.coldUntil = now.Add(report.WarmUpRemaining)
	b.state = serving

	// Leaving is final for a start of the backend server: it serves again only
	// after a restart.
	if report.Leaving || (previous.state == leaving && previous.startMillis == b.startMillis) {
		b.state = leaving
	}

	if b.state != previous.state || b.startMillis != previous.startMillis || b.slots != previous.slots {
		return Changed, nil
	}

	return Unchanged, nil
}

// SeenFromStart reports whether the gate has seen every flow of the current start of the
// backend server.
func (g *Gate) SeenFromStart() bool { return g.backend.seenFromStart }

// sawStart reports whether the gate has seen every flow of the start that is reported:
// the backend server started after the gate. There are two proofs.
//
// Sequence numbers begin at 0 or later and increase with each call, and at most
// maxReportGap passes between two calls. So the number limits the age, whatever the
// clocks say.
//
// Where the gate is younger than that limit, the start time has to show it. The wall
// clock may have been set back in between, so this counts only for the first calls, or
// while the backend server is still cold.
func (g *Gate) sawStart(now time.Time, report Report) bool {
	uptime := now.Sub(g.config.Boot)
	if report.Sequence < uint64(max(0, uptime)/g.maxReportGap()) {
		return true
	}

	age := now.Sub(time.UnixMilli(report.StartMillis))

	return (report.Sequence <= 1 || report.WarmUpRemaining > 0) && age >= -startTolerance && age <= uptime+startTolerance
}

// maxReportGap is the longest time between two calls of a running backend server: it
// reports at an interval that varies, and retries a failed report.
func (g *Gate) maxReportGap() time.Duration { return g.config.ReportInterval * 3 / 2 }

// MarkEnded records that the backend server has ended. A startMillis of 0 means
// that its start is not known.
func (g *Gate) MarkEnded(id string, startMillis int64) Outcome {
	b := &g.backend
	if (id != b.id && b.state != unreported) || (startMillis != 0 && startMillis < b.startMillis) {
		return Outdated
	}

	if b.state == ended {
		return Unchanged
	}

	b.state = ended

	return Changed
}

// BackendLost reports whether the backend server has ended, as far as the gate can
// know: it has announced its end, or missed maxMissedReports reports. A gate that has
// just started may not have received the next report of a running backend server yet.
func (g *Gate) BackendLost(now time.Time) bool {
	switch g.backend.state {
	case ended, silent:
		return true
	case unreported:
		return now.Sub(g.config.Boot) > maxMissedReports*g.config.ReportInterval
	case serving, leaving:
	}

	return false
}

// expire marks a serving backend server as silent if its last report is older than
// the timeout. A later report of the same start makes it serve again.
func (b *backend) expire(now time.Time, timeout time.Duration) bool {
	if b.state != serving || now.Sub(b.lastReport) <= timeout {
		return false
	}

	b.state = silent

	return true
}

// Record returns the entry of this agent for the list of agents.
func (g *Gate) Record(now time.Time) roster.Record {
	b := &g.backend
	load := g.Load(now)
	record := roster.Record{
		Service: g.config.Service, Slots: b.slots, Cold: b.state == serving && now.Before(b.coldUntil),
		Flows: load.Flows, Waiting: load.Waiting, Failing: load.Failing,
	}

	switch b.state {
	case unreported, silent:
		// roster.Silent is for agents that have not announced themselves recently.
		// This agent has, and its backend server takes no new flows.
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
