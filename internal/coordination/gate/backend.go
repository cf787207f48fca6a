package gate

import (
	"fmt"
	"strconv"
	"time"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/roster"
)

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of errors of this package.
const (
	KindWrongService ErrorKind = "foreign" // the report is of another service
	KindInvalid      ErrorKind = "invalid" // the report has a value that cannot be true
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
	reports       int  // of this start
	seenFromStart bool // the gate has seen every flow since this start
	replaced      replacedStart
}

// replacedStart is the start before the current one while it may still run. The report
// that replaced it may have a wrong start time, so its flows are kept for the time being.
type replacedStart struct {
	startMillis   int64 // zero if there is none
	lastReport    time.Time
	seenFromStart bool
	leaving       bool
}

// maxReportDelay is how old a report can be when it arrives: the backend server waits a
// second for the answer.
const maxReportDelay = time.Second

// The bounds of what a report can truthfully say. They only exclude what has no
// explanation: a wrong value within them is outlived by later reports.
const (
	// maxClockError is how far in the future a start may be. The largest common error
	// is a hardware clock that keeps local time, up to 14 hours ahead of UTC.
	maxClockError = 14 * time.Hour

	// maxSequence is reached after 34 years by a backend server that reports every
	// millisecond.
	maxSequence = 1 << 40

	// maxWarmUp is far above the warm-up of backend servers, which takes seconds.
	maxWarmUp = time.Hour

	// maxIDBytes is an order of magnitude above the longest ID in use.
	maxIDBytes = 256
)

// check refuses a report that cannot be true. It may come from another writer, so it
// must not replace what the backend server has reported.
func (g *Gate) check(now time.Time, report Report) error {
	refuse := func(kind ErrorKind, field string, value any, allowed string) error {
		return newError("report", kind, fmt.Errorf("%s: found %v, allowed: %s", field, value, allowed))
	}

	latest := now.Add(maxClockError)

	switch {
	case report.Service != g.config.Service:
		return refuse(KindWrongService, "service", strconv.Quote(report.Service), strconv.Quote(g.config.Service))
	case report.ID == "" || len(report.ID) > maxIDBytes:
		return refuse(KindInvalid, "id", fmt.Sprintf("%d bytes", len(report.ID)), fmt.Sprintf("1 to %d bytes", maxIDBytes))
	case report.Slots == 0:
		return refuse(KindInvalid, "slots", report.Slots, "1 or more")
	case report.StartMillis <= 0 || report.StartMillis > latest.UnixMilli():
		return refuse(KindInvalid, "start", report.StartMillis, fmt.Sprintf("1 to %d ms", latest.UnixMilli()))
	case report.Sequence > maxSequence:
		return refuse(KindInvalid, "sequence", report.Sequence, fmt.Sprintf("0 to %d", uint64(maxSequence)))
	case report.WarmUpRemaining < 0 || report.WarmUpRemaining > maxWarmUp:
		return refuse(KindInvalid, "warm-up", report.WarmUpRemaining, fmt.Sprintf("0 to %v", maxWarmUp))
	}

	return nil
}

// Report applies a status report of the backend server. It refuses a report that cannot
// be true with an error, which changes nothing.
func (g *Gate) Report(now time.Time, report Report) (Outcome, error) {
	if err := g.check(now, report); err != nil {
		return 0, err
	}

	b := &g.backend

	switch {
	case b.state == unreported || report.StartMillis > b.startMillis:
		g.beginStart(now, report)

		return Changed, nil
	case report.StartMillis == b.startMillis && report.Sequence > b.sequence && b.state != ended:
		g.outdated.Reset()

		return g.refresh(now, report), nil
	default:
		return g.handleOutdated(now, report), nil
	}
}

// handleOutdated handles a report that is older than an earlier one, or of a start that has
// announced its end. It is ignored until there are so many that the earlier report, or
// the announcement, must have been wrong.
func (g *Gate) handleOutdated(now time.Time, report Report) Outcome {
	b := &g.backend
	repeated := report.StartMillis == b.startMillis && report.Sequence == b.sequence

	if report.StartMillis == b.replaced.startMillis {
		b.replaced.lastReport = now
	}

	// Leaving is final, so the order of the reports that say so does not matter.
	if report.StartMillis == b.startMillis && report.Leaving && (b.state == serving || b.state == silent) {
		b.state = leaving

		return Changed
	}

	if repeated || !g.outdated.Observe(now, report.StartMillis, report.Sequence) {
		return Outdated
	}

	switch report.StartMillis {
	case b.startMillis:
		if b.state == ended {
			b.state = silent
		}

		g.refresh(now, report)
	case b.replaced.startMillis:
		g.resumeStart(now, report)
	default:
		g.beginStart(now, report)
	}

	return Changed
}

// beginStart makes the reported start the current one. The flows of the one before are
// lost, but the report comes later than the start: it takes up to an interval, and the
// new start may have accepted flows by then. So only those flows are lost that the
// earlier start has certainly accepted. The others are left to their next packet: the
// backend server returns it if it does not hold the flow.
func (g *Gate) beginStart(now time.Time, report Report) {
	b := &g.backend
	lastAlive := b.lastReport.Add(-maxReportDelay)

	// A single report of the earlier start may have been wrong.
	certain := func(h *trackedFlow) bool { return b.state == ended || (b.reports > 1 && h.addedAt.Before(lastAlive)) }

	for _, h := range g.flows {
		if h.backendStart != b.startMillis || !certain(h) {
			h.backendStart = 0
		}
	}

	replaced := replacedStart{
		startMillis: b.startMillis, lastReport: b.lastReport, seenFromStart: b.seenFromStart, leaving: b.state == leaving,
	}
	if b.state == ended {
		replaced = replacedStart{}
	}

	*b = backend{startMillis: report.StartMillis, seenFromStart: g.sawStart(now, report), replaced: replaced}
	g.health = health{}
	g.refresh(now, report)
	g.expireReplaced(now)
	g.orphansDue = true
}

// resumeStart makes the replaced start the current one again, because it keeps reporting.
// What was taken for flows of the other start is its own.
func (g *Gate) resumeStart(now time.Time, report Report) {
	b := &g.backend

	for _, h := range g.flows {
		if h.backendStart == b.startMillis {
			h.backendStart = 0
		}
	}

	resumed := backend{startMillis: report.StartMillis, seenFromStart: b.replaced.seenFromStart}
	if b.replaced.leaving {
		resumed.state = leaving
	}

	*b = resumed
	g.refresh(now, report)
}

// expireReplaced gives up the flows of a replaced start once it has missed a report.
func (g *Gate) expireReplaced(now time.Time) {
	replaced := &g.backend.replaced
	if replaced.startMillis != 0 && now.Sub(replaced.lastReport) > g.maxReportGap() {
		*replaced = replacedStart{}
		g.orphansDue = true
	}
}

// refresh applies a report of the current start.
func (g *Gate) refresh(now time.Time, report Report) Outcome {
	b := &g.backend
	previous := *b

	b.id, b.sequence, b.slots, b.lastReport = report.ID, report.Sequence, report.Slots, now
	b.reports++
	b.coldUntil = now.Add(report.WarmUpRemaining)
	b.state = serving

	// Leaving is final for a start of the backend server.
	if report.Leaving || previous.state == leaving {
		b.state = leaving
	}

	if b.state != previous.state || b.slots != previous.slots {
		return Changed
	}

	return Unchanged
}

// Reported returns what the gate believes about the backend server: the ID, the start
// and the sequence number of the last report that it applied.
func (g *Gate) Reported() (id string, startMillis int64, sequence uint64) {
	return g.backend.id, g.backend.startMillis, g.backend.sequence
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
	uptime := g.uptime(now)
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
func (g *Gate) MarkEnded(now time.Time, id string, startMillis int64) (Outcome, error) {
	if latest := now.Add(maxClockError).UnixMilli(); startMillis < 0 || startMillis > latest {
		return 0, newError("end", KindInvalid, fmt.Errorf("start: found %d, allowed: 0 to %d ms", startMillis, latest))
	}

	b := &g.backend
	if b.state != unreported && (id != b.id || (startMillis != 0 && startMillis < b.startMillis)) {
		return Outdated, nil
	}

	if b.state == ended {
		return Unchanged, nil
	}

	// A delayed report of this start must not make it serve again.
	b.id, b.startMillis = id, max(b.startMillis, startMillis)
	b.state = ended
	g.orphansDue = true

	return Changed, nil
}

// BackendLost reports whether the backend server has ended, as far as the gate can
// know: it has announced its end, or missed maxMissedReports reports. A gate that has
// just started may not have received the next report of a running backend server yet.
func (g *Gate) BackendLost(now time.Time) bool {
	switch g.backend.state {
	case ended:
		return !g.mayHoldUnseenFlows(now)
	case silent:
		return true
	case unreported:
		return g.uptime(now) > maxMissedReports*g.config.ReportInterval
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

// postpone leaves out a time in which the gate did not run from the time since the last
// reports.
func (b *backend) postpone(now time.Time, pause time.Duration) {
	for _, last := range []*time.Time{&b.lastReport, &b.replaced.lastReport} {
		if *last = last.Add(pause); last.After(now) {
			*last = now
		}
	}
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
