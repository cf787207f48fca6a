package gate

import (
	"fmt"
	"time"

	"jayspindle/internal/state/roster"
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
	state       backendState
	id          string
	startMillis int64
	sequence    uint64
	slots       uint16
	coldUntil   time.Time
	lastReport  time.Time
	reports     int // of this start
	origin      origin
	replaced    replacedStart
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
		g.outdated.Reset()
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
			b.state = silent // the announcement was wrong
		}

		g.refresh(now, report)
	case b.replaced.startMillis:
		g.resumeStart(now, report)
	default:
		g.beginStart(now, report)
	}

	return Changed
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
