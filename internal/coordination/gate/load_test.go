package gate_test

import (
	"container/heap"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

const (
	networkDelay   = 1500 * time.Microsecond // one way, between instances
	clientDelay    = time.Millisecond        // one way
	handshakeTime  = 300 * time.Microsecond  // of a backend server
	rosterInterval = 400 * time.Millisecond  // between two reports of an agent
)

// load is a traffic pattern of a service whose clients open a flow for each request.
type load struct {
	routers, agents int
	slots           int
	work            time.Duration // mean time that a request takes
	utilization     float64       // of all slots
	duration        time.Duration
	burst           float64 // factor
	burstFrom       time.Duration
	burstTo         time.Duration
	aim             time.Duration
	timeout         time.Duration // of a client for all tries of a request
	retries         int           // of a client whose flow is reset
	retryDelay      time.Duration
}

// outcomes counts the requests that were sent within a period.
type outcomes struct{ sent, inAim, late, refused, expired int }

func (o *outcomes) add(other *outcomes) {
	o.sent += other.sent
	o.inAim += other.inAim
	o.late += other.late
	o.refused += other.refused
	o.expired += other.expired
}

// simulatedEvent is something that happens at a time.
type simulatedEvent struct {
	at    time.Time
	order int // of scheduling, to run events of the same time in order
	do    func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].order < q[j].order)
}
func (q *eventQueue) Push(event any) { *q = append(*q, event.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]

	return event
}

// simulatedClient is one request and its current flow.
type simulatedClient struct {
	key     flow.Key
	router  int
	sentAt  time.Time
	tries   int
	ended   bool
	request bool // the flow is open and the request was sent
}

// simulatedAgent is an agent with its backend server.
type simulatedAgent struct {
	gate    *gate.Gate
	address flow.Endpoint
	running int
	backlog []flow.Key
}

// loadReplay runs routers, gates, backend servers and clients in simulated time.
type loadReplay struct {
	load    load
	start   time.Time
	now     time.Time
	order   int
	events  eventQueue
	random  *rand.Rand
	routers []*steering.Router
	agents  map[flow.Endpoint]*simulatedAgent
	clients map[flow.Key]*simulatedClient
	next    int // number of the next flow
	seconds map[int]*outcomes
}

func replay(t *testing.T, pattern load) *loadReplay {
	t.Helper()

	r := &loadReplay{
		load: pattern, start: start, now: start, random: rand.New(rand.NewPCG(1, 1)),
		agents: make(map[flow.Endpoint]*simulatedAgent), clients: make(map[flow.Key]*simulatedClient),
		seconds: make(map[int]*outcomes),
	}

	document, err := route.New(&route.Document{
		Version: 1, Services: []string{"desk"}, Routes: []route.Route{{
			Address: key.Service.AddrPort(), Timeout: pattern.timeout, TargetLatency: pattern.aim,
			Targets: []route.Target{{Service: "desk", Weight: 1}},
		}},
	})
	is.New(t).NoErr(err)

	for range pattern.routers {
		router := steering.New(steering.Config{Boot: start})
		router.SetTable(document)
		r.routers = append(r.routers, router)
	}

	for number := range pattern.agents {
		g := gate.New(gate.Config{Service: "desk", Boot: start, ReportInterval: time.Hour}, func(time.Duration) {})
		g.SetTable(document)

		_, err := g.Report(start, gate.Report{
			ID: "a", Service: "desk", StartMillis: start.UnixMilli(), Sequence: 1, Slots: uint16(pattern.slots),
		})
		is.New(t).NoErr(err)

		address := flow.Endpoint{IP: [4]byte{10, 1, byte(number >> 8), byte(number)}, Port: 7000}
		r.agents[address] = &simulatedAgent{gate: g, address: address}
	}

	r.report()
	r.arrive()
	r.run()

	return r
}

func (r *loadReplay) after(delay time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, simulatedEvent{at: r.now.Add(delay), order: r.order, do: do})
}

func (r *loadReplay) run() {
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(simulatedEvent)
		r.now = event.at
		event.do()
	}
}

// report sends the records of all agents to all routers, again and again.
func (r *loadReplay) report() {
	records := make([]roster.Record, 0, len(r.agents))

	for _, a := range r.agents {
		record := a.gate.Record(r.now)
		record.Address, record.Boot = a.address, 1
		records = append(records, record)
	}

	for _, router := range r.routers {
		router.Apply(r.now, records, true)
		router.Confirm(r.now, r.now)
	}

	if r.now.Sub(r.start) < r.load.duration+r.load.timeout {
		r.after(rosterInterval, r.report)
	}
}

// arrive sends a request and schedules the next one.
func (r *loadReplay) arrive() {
	elapsed := r.now.Sub(r.start)
	if elapsed >= r.load.duration {
		return
	}

	perSecond := r.load.utilization * float64(r.load.agents*r.load.slots) / r.load.work.Seconds()
	if elapsed >= r.load.burstFrom && elapsed < r.load.burstTo {
		perSecond *= r.load.burst
	}

	c := &simulatedClient{sentAt: r.now}
	r.period(c).sent++
	r.openFlow(c)
	r.after(r.load.timeout, func() { r.expire(c) })
	r.after(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), r.arrive)
}

func (r *loadReplay) period(c *simulatedClient) *outcomes {
	second := int(c.sentAt.Sub(r.start) / time.Second)
	if r.seconds[second] == nil {
		r.seconds[second] = &outcomes{}
	}

	return r.seconds[second]
}

// between adds up the outcomes of the requests that were sent from one second to
// another.
func (r *loadReplay) between(from, to int) outcomes {
	var total outcomes

	for second := from; second < to; second++ {
		total.add(r.seconds[second])
	}

	return total
}

func (r *loadReplay) openFlow(c *simulatedClient) {
	r.next++
	c.key = key
	c.key.Client.Port = uint16(r.next)
	c.key.Client.IP[3] = byte(r.next >> 16)
	c.router = r.random.IntN(len(r.routers))
	c.request = false
	r.clients[c.key] = c
	r.send(c, flow.Header{Open: true})
}

// send sends a packet of a client to its router.
func (r *loadReplay) send(c *simulatedClient, header flow.Header) {
	header.Source, header.Destination = c.key.Client, c.key.Service
	packet := encodePacket(header)

	r.after(clientDelay, func() { r.execute(c.router, r.routers[c.router].Packet(r.now, header, packet)) })
}

// encodePacket and decodePacket stand for the codec of a deployment.
func encodePacket(header flow.Header) []byte {
	packet := header.Key().Append(nil)
	packet = binary.LittleEndian.AppendUint16(packet, uint16(header.Length))

	for _, flag := range []bool{header.Open, header.Acks, header.Close, header.Reset} {
		if flag {
			packet = append(packet, 1)
		} else {
			packet = append(packet, 0)
		}
	}

	return packet
}

func decodePacket(packet []byte) flow.Header {
	decoded := flow.ParseKey(packet)
	flags := packet[flow.KeyBytes+2:]

	return flow.Header{
		Source: decoded.Client, Destination: decoded.Service, Length: int(binary.LittleEndian.Uint16(packet[flow.KeyBytes:])),
		Open: flags[0] != 0, Acks: flags[1] != 0, Close: flags[2] != 0, Reset: flags[3] != 0,
	}
}

func (r *loadReplay) execute(router int, actions []steering.Action) {
	for _, action := range actions {
		switch action.Kind {
		case steering.Forward:
			header := decodePacket(action.Packet)
			header.Declinable = action.Declinable
			packet := encodePacket(header)
			r.after(networkDelay, func() { r.toAgent(router, r.agents[action.To], header, packet) })
		case steering.Reset:
			r.after(clientDelay, func() { r.reset(action.Key) })
		case steering.Locate, steering.GiveUp, steering.Point:
		}
	}

	if due, waiting := r.routers[router].Due(); waiting {
		r.after(due.Sub(r.now), func() {
			if due, waiting := r.routers[router].Due(); waiting && !due.After(r.now) {
				r.execute(router, r.routers[router].Tick(r.now))
			}
		})
	}
}

func (r *loadReplay) toAgent(router int, a *simulatedAgent, header flow.Header, packet []byte) {
	from := flow.Endpoint{IP: [4]byte{10, 2, 0, byte(router)}, Port: 7000}

	switch a.gate.FromClient(r.now, from, header, packet).Kind {
	case gate.Deliver:
		r.toBackend(a, header)
	case gate.Return:
		r.after(networkDelay, func() {
			r.execute(router, r.routers[router].Returned(r.now, a.address, header, packet, a.gate.Load(r.now)))
		})
	case gate.Decline:
		declined := a.gate.Load(r.now)

		r.after(networkDelay, func() { r.execute(router, r.routers[router].Declined(r.now, a.address, header, declined)) })
	case gate.Reset:
		r.after(clientDelay, func() { r.reset(header.Key()) })
	case gate.Drop, gate.Hold, gate.ToClient:
	}

	r.startQueued(a)
}

func (r *loadReplay) startQueued(a *simulatedAgent) {
	for _, started := range a.gate.StartQueued(r.now) {
		for _, packet := range started.Packets {
			r.toBackend(a, decodePacket(packet))
		}
	}
}

// toBackend passes a packet to the backend server, which accepts each flow at once
// and runs as many requests as it has slots.
func (r *loadReplay) toBackend(a *simulatedAgent, header flow.Header) {
	switch {
	case header.Opens():
		r.after(handshakeTime, func() { r.fromBackend(a, header.Key(), flow.Header{Open: true, Acks: true}) })
	case header.Length > 0:
		a.backlog = append(a.backlog, header.Key())
		r.runBacklog(a)
	}
}

func (r *loadReplay) runBacklog(a *simulatedAgent) {
	for a.running < r.load.slots && len(a.backlog) > 0 {
		next := a.backlog[0]
		a.backlog = a.backlog[1:]
		a.running++

		// Log-normal, like the work of the deployments: half of the mean as deviation.
		const sigma = 0.47

		work := time.Duration(float64(r.load.work) * math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2))
		r.after(work, func() {
			a.running--

			r.fromBackend(a, next, flow.Header{Acks: true, Length: 200, Close: true})
			r.runBacklog(a)
		})
	}
}

func (r *loadReplay) fromBackend(a *simulatedAgent, of flow.Key, header flow.Header) {
	header.Source, header.Destination = of.Service, of.Client
	decision := a.gate.FromBackend(r.now, header)

	if decision.Accepted {
		router, accepted := int(decision.Forwarder.IP[3]), a.gate.Load(r.now)

		r.after(networkDelay, func() {
			r.execute(router, r.routers[router].Accepted(r.now, a.address, of, accepted))
		})
	}

	if decision.Kind == gate.ToClient {
		r.after(clientDelay, func() { r.toClient(of, header) })
	}

	r.startQueued(a)
}

func (r *loadReplay) toClient(of flow.Key, header flow.Header) {
	c := r.clients[of]

	switch {
	case c == nil || c.key != of || c.ended:
	case header.Accepts() && !c.request:
		c.request = true
		r.send(c, flow.Header{Acks: true, Acknowledged: 1, Length: 500})
	case header.Length > 0:
		c.ended = true

		if r.now.Sub(c.sentAt) <= r.load.aim {
			r.period(c).inAim++
		} else {
			r.period(c).late++
		}

		r.send(c, flow.Header{Acks: true, Close: true})
	}
}

// reset ends the flow of a client, which tries again a few times.
func (r *loadReplay) reset(of flow.Key) {
	c := r.clients[of]
	if c == nil || c.key != of || c.ended {
		return
	}

	if c.tries++; c.tries > r.load.retries {
		c.ended = true
		r.period(c).refused++

		return
	}

	r.after(r.load.retryDelay, func() {
		if !c.ended {
			r.openFlow(c)
		}
	})
}

// expire ends a request whose client gives up.
func (r *loadReplay) expire(c *simulatedClient) {
	if !c.ended {
		c.ended = true
		r.period(c).expired++

		r.send(c, flow.Header{Acks: true, Reset: true})
	}
}

// terrain is a service of 35 backend servers behind 16 entry instances whose clients
// open a flow for each request.
func terrain() load {
	return load{
		routers: 16, agents: 35, slots: 3, work: 42 * time.Millisecond, utilization: 0.75, duration: 12 * time.Second,
		aim: 300 * time.Millisecond, timeout: 2500 * time.Millisecond, retries: 2, retryDelay: 50 * time.Millisecond,
	}
}

// TestPlacementNearSaturation guards against requests that wait behind others while
// other backend servers have free slots. Entry instances place by reports that are
// older than a request takes, and each of them sees only its own part of the flows:
// at 95% of all slots, 17% of the requests missed a target of seven times their work.
func TestPlacementNearSaturation(t *testing.T) {
	pattern := terrain()
	pattern.utilization = 0.95
	total := replay(t, pattern).between(1, 12)

	t.Logf("%+v", total)

	if share := float64(total.inAim) / float64(total.sent); share < 0.98 {
		t.Errorf("%.3f of the requests met their target", share)
	}
}

// TestBurst guards against a backlog that outlasts a burst: requests of clients that
// have given up, or that come back all at once, must not delay those that follow.
func TestBurst(t *testing.T) {
	for _, factor := range []float64{1.7, 2.5} {
		pattern := terrain()
		pattern.burst, pattern.burstFrom, pattern.burstTo = factor, 2*time.Second, 8*time.Second
		r := replay(t, pattern)
		during, following := r.between(2, 8), r.between(10, 12)

		t.Logf("burst of %.1f: during %+v, following %+v", factor, during, following)

		if share := float64(following.inAim) / float64(following.sent); share < 0.98 {
			t.Errorf("burst of %.1f: %.3f of the requests from 2 s after it met their target", factor, share)
		}

		// All slots are taken, so this is what the backend servers can do.
		possible := 1 / (factor * pattern.utilization)
		if share := float64(during.inAim) / float64(during.sent); share < 0.9*possible {
			t.Errorf("burst of %.1f: %.3f of the requests met their target, %.3f can", factor, share, possible)
		}
	}
}
