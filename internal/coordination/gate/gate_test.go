package gate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

var (
	start     = time.UnixMilli(1_700_000_000_000)
	forwarder = flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7000}
	key       = flow.Key{
		Client:  flow.Endpoint{IP: [4]byte{192, 0, 2, 1}, Port: 40_000},
		Service: flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443},
	}
)

// noPredecessor and restarted are what the controllers tell an agent that is the first at its
// address, and one that has just been restarted.
var (
	noPredecessor = roster.Predecessor{Listening: roster.Memory}
	restarted     = roster.Predecessor{Listening: roster.Memory, SinceHeard: 300 * time.Millisecond}
)

const (
	predecessorDelay = 150 * time.Millisecond
	reportInterval   = 770 * time.Millisecond
	minCheckpointAge = time.Second // from which a flow is stored
)

// backendFixture is a gate with a document, and passes it the packets of one flow.
type backendFixture struct {
	*testing.T
	is   *is.I
	now  time.Time
	gate *gate.Gate
}

func table(t *testing.T, version uint64, service string) *route.Table {
	t.Helper()

	built, err := route.New(&route.Document{
		Version: version, Services: []string{"desk", "link"},
		Routes: []route.Route{{
			Address: key.Service.AddrPort(), Timeout: time.Second, Targets: []route.Target{{Service: service, Weight: 1}},
		}},
	})
	is.New(t).NoErr(err)

	return built
}

func newBackendFixture(t *testing.T) *backendFixture {
	t.Helper()

	return newFixtureWith(t, noPredecessor)
}

// newFixtureWith returns a gate that has just started, with what a controller tells about
// earlier agents at its address.
func newFixtureWith(t *testing.T, found roster.Predecessor) *backendFixture {
	t.Helper()

	g := gate.New(gate.Config{Service: "desk", Boot: start, ReportInterval: reportInterval}, func(time.Duration) {})
	g.SetTable(table(t, 1, "desk"))

	// All controllers have had the time to answer.
	g.ObservePredecessor(start.Add(-predecessorDelay), found)
	g.ObservePredecessor(start, found)

	return &backendFixture{T: t, is: is.New(t), now: start, gate: g}
}

func report(born time.Time, sequence uint64) gate.Report {
	return gate.Report{ID: "a", Service: "desk", StartMillis: born.UnixMilli(), Sequence: sequence, Slots: 3}
}

func (b *backendFixture) report(r gate.Report) gate.Outcome {
	b.Helper()

	outcome, err := b.gate.Report(b.now, r)
	b.is.NoErr(err)

	return outcome
}

func (b *backendFixture) markEnded(id string, startMillis int64) gate.Outcome {
	b.Helper()

	outcome, err := b.gate.MarkEnded(b.now, id, startMillis)
	b.is.NoErr(err)

	return outcome
}

// fromClient passes a packet from the client and checks the kind of the decision.
func (b *backendFixture) fromClient(header flow.Header, want gate.Kind) gate.Decision {
	b.Helper()
	b.is.Helper()

	header.Source, header.Destination = key.Client, key.Service
	decision := b.gate.FromClient(b.now, forwarder, header, []byte("packet"))
	b.is.Equal(decision.Kind, want)

	return decision
}

// fromBackend passes a packet from the backend server and checks the kind of the
// decision.
func (b *backendFixture) fromBackend(header flow.Header, want gate.Kind) gate.Decision {
	b.Helper()
	b.is.Helper()

	if header.Returned {
		header.Source, header.Destination = key.Client, key.Service
	} else {
		header.Source, header.Destination = key.Service, key.Client
	}

	decision := b.gate.FromBackend(b.now, header)
	b.is.Equal(decision.Kind, want)

	return decision
}

var (
	openHeader    = flow.Header{Open: true}
	acceptHeader  = flow.Header{Open: true, Acks: true}
	requestHeader = flow.Header{Acks: true, Acknowledged: 5, Length: 100}
	answerHeader  = flow.Header{Acks: true, Length: 200}
)

// openFlow opens the flow and runs one request on it.
func (b *backendFixture) openFlow() {
	b.Helper()
	b.fromClient(openHeader, gate.Deliver)
	b.is.True(b.fromBackend(acceptHeader, gate.ToClient).Accepted)
	b.fromClient(requestHeader, gate.Deliver)
	b.fromBackend(answerHeader, gate.ToClient)
}

// TestReopened guards against a flow that is forgotten while it is open, because its
// client uses the address and port of an earlier flow that both sides have closed.
func TestReopened(t *testing.T) {
	for name, closing := range map[string]func(*backendFixture){
		"closed by both": func(b *backendFixture) {
			b.fromClient(flow.Header{Acks: true, Close: true}, gate.Deliver)
			b.fromBackend(flow.Header{Acks: true, Close: true}, gate.ToClient)
		},
		"closed by the client": func(b *backendFixture) {
			b.fromClient(flow.Header{Acks: true, Close: true}, gate.Deliver)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackendFixture(t)
			b.report(report(start, 1))
			b.openFlow()
			closing(b)

			b.now = b.now.Add(3 * time.Second)
			b.openFlow()
			b.is.Equal(b.gate.Load(b.now).Flows, uint16(1))

			b.now = b.now.Add(12 * time.Second)
			b.gate.Sweep(b.now)
			b.is.Equal(b.gate.Locate(b.now, key), flow.Held)
		})
	}
}

// TestOpen guards against new flows at a backend server that must not get any.
func TestOpen(t *testing.T) {
	t.Run("before the first report", func(t *testing.T) {
		newBackendFixture(t).checkRefused(gate.ReasonUnknown)
	})

	t.Run("leaving", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))

		leaving := report(start, 2)
		leaving.Leaving = true
		b.is.Equal(b.report(leaving), gate.Changed)
		b.checkRefused(gate.ReasonLeaving)

		// Leaving is final for this start, even if a later report contradicts it.
		b.report(report(start, 3))
		b.checkRefused(gate.ReasonLeaving)
	})

	t.Run("ended", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.markEnded("a", 0)
		b.checkRefused(gate.ReasonEnded)
	})

	t.Run("silent", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.advance(3 * reportInterval)
		b.fromClient(openHeader, gate.Deliver)
		b.is.True(b.gate.Sweep(b.now.Add(1)))

		b = newBackendFixture(t)
		b.report(report(start, 1))
		b.advance(4 * reportInterval)
		b.checkRefused(gate.ReasonUnknown)

		b.report(report(start, 2))
		b.fromClient(openHeader, gate.Deliver)
	})

	t.Run("route of another service", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.gate.SetTable(table(t, 2, "link"))
		b.gate.SetTable(table(t, 1, "desk")) // older
		b.checkRefused(gate.ReasonNoRoute)
	})

	t.Run("full", func(t *testing.T) {
		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.fromClient(openHeader, gate.Deliver)

		returned := openHeader
		returned.Returned = true
		b.is.Equal(b.fromBackend(returned, gate.Return).Reason, gate.ReasonFull)
		b.is.Equal(b.gate.Load(b.now), roster.Load{})
	})
}

func (b *backendFixture) checkRefused(reason gate.Reason) {
	b.Helper()
	b.is.Helper()
	b.is.Equal(b.fromClient(openHeader, gate.Return).Reason, reason)
}

// TestReport guards against applying reports that arrive out of order or that
// come from another service.
func TestReport(t *testing.T) {
	b := newBackendFixture(t)
	later := start.Add(time.Second)
	b.is.Equal(b.report(report(later, 4)), gate.Changed)
	b.is.Equal(b.report(report(later, 5)), gate.Unchanged)
	b.is.Equal(b.report(report(later, 5)), gate.Outdated)
	b.is.Equal(b.report(report(start, 99)), gate.Outdated) // of the previous start
	b.is.Equal(b.markEnded("a", start.UnixMilli()), gate.Outdated)
	b.is.Equal(b.markEnded("other", 0), gate.Outdated)

	// Sequence numbers restart with each start.
	b.is.Equal(b.report(report(later.Add(time.Second), 1)), gate.Changed)

	foreign := report(later.Add(time.Hour), 1)
	foreign.Service = "link"
	_, err := b.gate.Report(b.now, foreign)
	b.is.True(err != nil)

	_, err = b.gate.Report(b.now, gate.Report{Service: "desk"})
	b.is.True(err != nil)
}

// TestLoad guards against flows that are counted twice or never subtracted:
// placement and draining depend on the reported load.
func TestLoad(t *testing.T) {
	b := newBackendFixture(t)
	b.report(report(start, 1))
	b.openFlow()
	b.is.Equal(b.gate.Load(b.now), roster.Load{Flows: 1})

	next := requestHeader
	next.Sequence = requestHeader.End()

	b.fromClient(next, gate.Deliver)
	b.is.Equal(b.gate.Load(b.now), roster.Load{Flows: 1, Waiting: 1})

	closes := flow.Header{Acks: true, Close: true, Length: 10}
	b.fromBackend(closes, gate.ToClient)
	b.fromClient(flow.Header{Acks: true, Close: true}, gate.Deliver)
	b.fromClient(flow.Header{Acks: true, Close: true}, gate.Deliver) // retransmitted
	b.is.Equal(b.gate.Load(b.now), roster.Load{})

	b.gate.Sweep(b.now.Add(time.Minute))
	b.is.Equal(b.gate.Load(b.now), roster.Load{})
}

// TestRestart guards against flows that are lost when the agent restarts while
// the backend server keeps running.
func TestRestart(t *testing.T) {
	b := newFixtureWith(t, restarted)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)

	b.report(report(start.Add(-time.Minute), 70))
	b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)

	// The backend server holds the flow.
	b.fromClient(requestHeader, gate.Deliver)
	b.is.True(b.fromBackend(answerHeader, gate.ToClient).Found)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Held)
}

// TestRestartBeforeReport guards against the reset of flows whose packets reach a
// restarted agent before the first report of the backend server (soak seed 2009).
func TestRestartBeforeReport(t *testing.T) {
	b := newFixtureWith(t, restarted)
	b.fromClient(requestHeader, gate.Deliver)
	b.fromBackend(answerHeader, gate.ToClient)

	b.is.Equal(b.report(report(start.Add(-time.Minute), 70)), gate.Changed)
	b.is.Equal(len(b.gate.Orphans()), 0)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Held)
	b.fromClient(requestHeader, gate.Deliver)
}

// TestRestartNotHeld guards against a flow that stays assigned to an agent whose
// backend server does not hold it, and against its reset while another backend
// server may hold it.
func TestRestartNotHeld(t *testing.T) {
	b := newFixtureWith(t, restarted)
	b.report(report(start.Add(-time.Minute), 70))
	b.fromClient(requestHeader, gate.Deliver)

	returned := requestHeader
	returned.Returned = true
	b.fromBackend(returned, gate.Return)
	b.is.Equal(b.gate.Load(b.now), roster.Load{})
}

// TestSecondAcceptance guards against the reset of a flow that two backend
// servers have accepted and whose client uses the other one.
func TestSecondAcceptance(t *testing.T) {
	b := newBackendFixture(t)
	b.report(report(start, 1))
	b.fromClient(openHeader, gate.Deliver)
	b.fromBackend(acceptHeader, gate.ToClient)
	b.fromClient(requestHeader, gate.Deliver)

	returned := requestHeader
	returned.Returned = true
	b.fromBackend(returned, gate.Return)
}

// TestKnows guards against needlessly inconclusive searches: an agent that is older than
// its backend server, or the first at its address, knows all of its flows. It also guards
// against the denial of flows that an earlier start of the agent has passed on, whatever the
// wall clocks say.
func TestKnows(t *testing.T) {
	const (
		yes = flow.Absent
		no  = flow.Unsure

		soon = 100 * time.Millisecond // uptime of the agent at the first report
	)

	var (
		longGone     = roster.Predecessor{Listening: roster.Memory, SinceHeard: 3 * time.Second}
		newListener  = roster.Predecessor{Listening: time.Second}
		notListening = roster.Predecessor{}
	)

	for name, test := range map[string]struct {
		uptime      time.Duration // of the agent
		age         time.Duration // of the backend server, by the wall clock
		sequence    uint64
		predecessor roster.Predecessor
		want        flow.Answer
	}{
		"first agent, counts from 0":                  {soon, soon, 0, noPredecessor, yes},
		"first agent, counts from 1":                  {soon, soon, 1, noPredecessor, yes},
		"first agent, called in vain before":          {soon, soon, 3, noPredecessor, yes},
		"first agent, clock ahead":                    {soon, time.Hour, 1, noPredecessor, yes},
		"first agent, clock set back":                 {soon, -2 * time.Second, 1, noPredecessor, yes},
		"first agent, but for how long is not known":  {soon, soon, 20, noPredecessor, no},
		"new controllers, clock shows an older start": {soon, 800 * time.Millisecond, 1, newListener, no},
		"new controllers, third report":               {soon, soon, 3, newListener, no},
		"new controllers, clock ahead":                {soon, time.Hour, 1, newListener, no},
		"new controllers, clock set back":             {soon, -2 * time.Second, 1, newListener, no},
		"first agent of a controller without a group": {soon, soon, 1, notListening, no},
		"address used again":                          {soon, soon, 1, longGone, yes},
		"address used again, older backend server":    {soon, soon, 3, longGone, no},
		"restarted, first report":                     {soon, 800 * time.Millisecond, 0, restarted, no},
		"restarted, second report":                    {soon, 800 * time.Millisecond, 1, restarted, no},
		"restarted, clock set back to its start":      {soon, 50 * time.Millisecond, 1, restarted, no},
		"restarted, third report":                     {soon, 50 * time.Millisecond, 3, restarted, no},
		"restarted, clock set back since":             {soon, -2 * time.Second, 1, restarted, no},
		"restarted, clock ahead":                      {soon, time.Hour, 1, restarted, no},
		"first reports to the agent were lost":        {9 * reportInterval, 5 * reportInterval, 5, restarted, yes},
		"older than the agent":                        {5 * reportInterval, 7 * reportInterval, 7, restarted, no},
		"reported long before the agent started":      {5 * reportInterval, time.Hour, 5000, restarted, no},
		"clock ahead, but called once at most":        {5 * reportInterval, time.Hour, 1, restarted, yes},
		"clock behind, but called once at most":       {5 * reportInterval, -time.Hour, 1, restarted, yes},
		"high sequence number":                        {50 * time.Second, time.Hour, 1 << 40, restarted, no},
		"high sequence number, first agent":           {50 * time.Second, time.Hour, 1 << 40, noPredecessor, no},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixtureWith(t, test.predecessor)
			b.advance(test.uptime)
			b.report(report(b.now.Add(-test.age), test.sequence))
			b.is.Equal(b.gate.Locate(b.now, key), test.want)
		})
	}

	t.Run("no backend server", func(t *testing.T) {
		b := newFixtureWith(t, restarted)
		b.advance(4 * reportInterval)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Absent)
	})
}

// TestControllersAnswer guards against the denial of flows before all controllers have told
// whether they have heard of an earlier agent, and against an agent that never knows its
// flows because the controllers have started with it.
func TestControllersAnswer(t *testing.T) {
	const uptime = 100 * time.Millisecond // of the agent at the first report

	t.Run("controllers have started with the agent", func(t *testing.T) {
		b := newFixtureWith(t, roster.Predecessor{Listening: time.Second})
		b.advance(uptime)
		b.report(report(b.now.Add(-130*time.Millisecond), 1))
		b.is.Equal(b.gate.Locate(b.now, key), flow.Absent)

		b.gate.ObservePredecessor(b.now, restarted)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
	})

	t.Run("controllers answer after the first report", func(t *testing.T) {
		b := newFixtureWith(t, roster.Predecessor{})
		b.advance(uptime)
		b.report(report(b.now, 1))
		b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)

		b.gate.ObservePredecessor(b.now, noPredecessor)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure) // another one may know better

		b.advance(predecessorDelay)
		b.gate.ObservePredecessor(b.now, noPredecessor)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Absent)

		// One controller that has heard of a predecessor outweighs those that have not.
		b.gate.ObservePredecessor(b.now, restarted)
		b.gate.ObservePredecessor(b.now, noPredecessor)
		b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
	})
}

// TestRestartBeforeSecondReport guards against the reset of open flows of a backend
// server that counts its reports from 0: a restarted agent took the second report for
// the first one, so it denied the flows from before its restart.
func TestRestartBeforeSecondReport(t *testing.T) {
	b := newBackendFixture(t)
	b.report(report(start, 0))
	b.openFlow()

	born := start
	b.gate = gate.New(gate.Config{
		Service: "desk", Boot: start.Add(reportInterval / 2), ReportInterval: reportInterval,
	}, func(time.Duration) {})
	b.now = start.Add(reportInterval)
	b.gate.ObservePredecessor(b.now, restarted)
	b.report(report(born, 1))
	b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
	b.fromClient(requestHeader, gate.Deliver)
	b.is.True(b.fromBackend(answerHeader, gate.ToClient).Found)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Held)
}

// TestClockSetBackBeforeRestart guards against the denial, and so the reset, of open flows by
// a restarted agent after its machine's clock was set back while the backend server was cold:
// the start time made the backend server look younger than the agent.
func TestClockSetBackBeforeRestart(t *testing.T) {
	b := newFixtureWith(t, restarted)
	b.advance(186 * time.Millisecond)

	third := report(b.now.Add(-43*time.Millisecond), 3)
	third.WarmUpRemaining = 457 * time.Millisecond
	b.report(third)
	b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
}

// TestLateReportAfterRestart guards against the denial of flows by a restarted agent that
// gets a delayed report of an ended backend server before the one of its successor.
func TestLateReportAfterRestart(t *testing.T) {
	b := newFixtureWith(t, restarted)
	b.now = start.Add(100 * time.Millisecond)
	b.report(report(start.Add(-time.Minute), 70))
	b.report(report(start.Add(-reportInterval/2), 1))
	b.is.Equal(b.gate.Locate(b.now, key), flow.Unsure)
}
