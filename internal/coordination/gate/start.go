package gate

import "time"

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
