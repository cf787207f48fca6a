package gate

import (
	"time"

	"jayspindle/internal/state/roster"
)

const (
	// startTolerance is how much earlier than the gate a backend server may have
	// started and still count as started together with it. An agent that starts at the
	// same time needs some 30 ms to run; one that is restarted cannot have served the
	// backend server, ended and started again within the tolerance.
	startTolerance = 100 * time.Millisecond

	// predecessorDelay is how long after the first controller the others may answer: three
	// polls of an agent that has just started.
	predecessorDelay = 150 * time.Millisecond

	// maxCounted limits the sequence numbers that tell the age of a backend server. It
	// keeps the product with the interval within a Duration.
	maxCounted = 1 << 20
)

// replacedStart is the start before the current one while it may still run. The report
// that replaced it may have a wrong start time, so its flows are kept for the time being.
type replacedStart struct {
	startMillis int64 // zero if there is none
	lastReport  time.Time
	origin      origin
	leaving     bool
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
		startMillis: b.startMillis, lastReport: b.lastReport, origin: b.origin, leaving: b.state == leaving,
	}
	if b.state == ended {
		replaced = replacedStart{}
	}

	*b = backend{startMillis: report.StartMillis, origin: g.newOrigin(now, report), replaced: replaced}
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

	resumed := backend{startMillis: report.StartMillis, origin: b.replaced.origin}
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

// origin is what the first report of a start tells about its age.
type origin struct {
	earliest time.Time // when it may have started at the earliest
	seen     bool      // it started after the gate
	byClock  bool      // the wall clock says so, which may have been set meanwhile
}

// newOrigin limits the age of a start by the sequence number of its first report: numbers
// begin at 0 or later and increase with each call, and at most maxReportGap passes
// between two calls.
func (g *Gate) newOrigin(now time.Time, report Report) origin {
	calls, uptime := min(report.Sequence, maxCounted)+1, max(0, g.uptime(now))
	age := now.Sub(time.UnixMilli(report.StartMillis))

	return origin{
		earliest: now.Add(-time.Duration(calls) * g.maxReportGap()),
		seen:     calls <= uint64(uptime/g.maxReportGap()),
		byClock:  report.Sequence <= 1 && age >= -startTolerance && age <= uptime+startTolerance,
	}
}

// predecessors is what the controllers have told about agents that had the address of this
// one before it started.
type predecessors struct {
	heard       time.Time // last announcement of a predecessor; zero if none is known
	excluded    time.Time // a controller has heard of all agents since then
	firstAnswer time.Time // of a controller that would know of one by now; zero if none has answered
	lastAnswer  time.Time
}

// ObservePredecessor applies what a controller tells about earlier agents at the address of
// this one.
func (g *Gate) ObservePredecessor(now time.Time, found roster.Predecessor) {
	p := &g.predecessors

	if heard := now.Add(-found.SinceHeard); found.SinceHeard > 0 && heard.After(p.heard) {
		p.heard = heard
	}

	if found.Listening == 0 {
		return
	}

	since := now.Add(-found.Listening)
	if p.firstAnswer.IsZero() {
		p.firstAnswer, p.excluded = now, since
	}

	p.lastAnswer = now

	if since.Before(p.excluded) {
		p.excluded = since
	}
}

// answered reports whether all controllers have had the time to tell of a predecessor: one
// that was cut off from it may answer before those that have heard of it.
func (p *predecessors) answered() bool { return p.lastAnswer.Sub(p.firstAnswer) >= predecessorDelay }

// SeenFromStart reports whether the gate has seen every flow of the current start of the
// backend server. There are three proofs.
//
// The number of its first report shows that it started after the gate.
//
// The controllers have heard of no earlier agent at this address since it may have
// started, so nobody else has passed packets to it.
//
// Controllers that have started later than that, after a loss of power everywhere, cannot
// tell. Unless one of them knows better, the start time counts, for the first calls only:
// the wall clock may have been set in between.
func (g *Gate) SeenFromStart() bool {
	p, o := &g.predecessors, &g.backend.origin

	if o.seen {
		return true
	}

	if !p.answered() || !p.heard.Before(o.earliest) {
		return false
	}

	return !p.excluded.After(o.earliest) || o.byClock
}

// maxReportGap is the longest time between two calls of a running backend server: it
// reports at an interval that varies, and retries a failed report.
func (g *Gate) maxReportGap() time.Duration { return g.config.ReportInterval * 3 / 2 }
