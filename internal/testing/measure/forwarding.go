package measure

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"time"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/udp"
)

// ForwardingConfig describes a run of datagrams of established flows over
// loopback. It is the only scenario in real time.
type ForwardingConfig struct {
	Services int
	Agents   int // in total
	Batches  int // of each kind; they take turns
}

// ForwardingResult holds the cost of a datagram from its arrival to the end of
// the call that sends it on.
type ForwardingResult struct {
	Bare        float64 // of a bare batched receive-and-send loop, in ns
	Path        float64 // of the path of a balancer, in ns
	Allocations float64 // per datagram of the whole run
	Dropped     int     // datagrams that the path did not send on; 0 in a valid run
}

const (
	forwardBatch   = 64
	forwardPayload = 1200
	forwardWarmUp  = 64 // batches of both kinds together

	// forwardFlows is the number of established flows, each with a packet of its own.
	forwardFlows = 4096
	// agentStride is a prime, so that consecutive packets go to agents far apart
	// in the tables.
	agentStride = 7919
)

// forwardRun takes turns between bare forwarding and the path of a balancer,
// so that both meet the same conditions.
type forwardRun struct {
	worker        *forward.Worker
	in, out, feed *udp.Socket
	sink          netip.AddrPort
	outbox        *udp.Outbox
	feeder        *udp.Outbox
	packets       [][]byte
	turn, turns   int
	began         time.Time
	spent         [2]time.Duration
	count         [2]int
	dropped       int
	before        runtime.MemStats
	after         runtime.MemStats
}

// Forwarding measures the cost of forwarding. The sink is not read: its full
// buffer makes sending cheaper for both kinds.
func Forwarding(config ForwardingConfig) (ForwardingResult, error) {
	sockets := make([]*udp.Socket, 0, 4)
	for range 4 {
		opened, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"), udp.Options{ReceiveBuffer: 1 << 20})
		if err != nil {
			return ForwardingResult{}, err
		}
		defer func() { _ = opened[0].Close() }()

		sockets = append(sockets, opened[0])
	}

	r := &forwardRun{
		in: sockets[0], out: sockets[1], feed: sockets[2], sink: sockets[3].Address(),
		outbox: udp.NewOutbox(forwardBatch), feeder: udp.NewOutbox(forwardBatch),
		turns: forwardWarmUp + 2*config.Batches,
	}
	if err := r.fill(config); err != nil {
		return ForwardingResult{}, err
	}

	pool := udp.NewPool(1, udp.BatchConfig{Size: forwardBatch, Length: 1500, Headroom: datagram.HeaderLength})

	r.next()

	if err := r.in.Serve(pool, r.serve); err != nil {
		return ForwardingResult{}, err
	}

	datagrams := float64(r.count[0] + r.count[1])

	return ForwardingResult{
		Bare:        float64(r.spent[0].Nanoseconds()) / float64(max(r.count[0], 1)),
		Path:        float64(r.spent[1].Nanoseconds()) / float64(max(r.count[1], 1)),
		Allocations: float64(r.after.Mallocs-r.before.Mallocs) / max(datagrams, 1),
		Dropped:     r.dropped,
	}, nil
}

// fill prepares the view and packets of established flows to different agents.
// The last two bytes of each packet name its service, in place of a socket for
// each service.
func (r *forwardRun) fill(config ForwardingConfig) error {
	contents := view.Contents{Position: view.Position{Index: 1}, Keys: []view.Key{{ID: 1, Secret: [32]byte{1}}}}
	for i := range config.Services {
		contents.Services = append(contents.Services, view.Service{ID: view.ServiceID(i + 1), Buckets: defaultBuckets})
	}

	for i := range config.Agents {
		contents.Agents = append(contents.Agents, view.Agent{
			Incarnation: view.Incarnation(i + 1), Service: view.ServiceID(i%config.Services + 1), Data: r.sink,
			Weight: view.MaxWeight, State: view.Active,
		})
	}

	balancer := forward.NewBalancer(view.Incarnation(config.Agents+1), 1)
	if err := balancer.Apply(view.New(contents)); err != nil {
		return err
	}

	ids, err := connid.New(contents.Keys)
	if err != nil {
		return err
	}

	r.worker = balancer.Worker()
	r.packets = make([][]byte, forwardFlows)

	for i := range r.packets {
		agent := i * agentStride % config.Agents
		service := view.ServiceID(agent%config.Services + 1)
		packet := make([]byte, forwardPayload)
		packet[0] = shortHeader
		ids.Seal(packet[1:], service, view.Incarnation(agent+1), uint64(i))
		binary.BigEndian.PutUint16(packet[forwardPayload-2:], uint16(service))
		r.packets[i] = packet
	}

	return nil
}

// next sends the datagrams of the next turn to the loop.
func (r *forwardRun) next() {
	for i := range forwardBatch {
		r.feeder.Add(r.feed, r.packets[(r.turn*forwardBatch+i)%len(r.packets)], r.in.Address())
	}

	r.feeder.Flush()
	r.began = time.Now()
}

// serve handles a batch and starts the next turn until the last is over.
func (r *forwardRun) serve(batch *udp.Batch) {
	r.forward(batch)

	switch r.turn {
	case forwardWarmUp:
		r.spent, r.count = [2]time.Duration{}, [2]int{}
		runtime.ReadMemStats(&r.before)
	case r.turns:
		runtime.ReadMemStats(&r.after)

		_ = r.in.Stop()

		return
	}

	r.next()
}

func (r *forwardRun) forward(batch *udp.Batch) {
	kind := r.turn % 2

	for i := range batch.Len() {
		if kind == 0 {
			r.outbox.Add(r.out, batch.Payload(i), r.sink)

			continue
		}

		payload := batch.Payload(i)
		service := view.ServiceID(binary.BigEndian.Uint16(payload[len(payload)-2:]))

		decision := r.worker.FromCaller(r.began, service, payload, batch.Source(i))
		if decision.Action != forward.Send {
			r.dropped++

			continue
		}

		framed := batch.WithHeadroom(i)
		r.worker.Seal(framed, &decision.Header)
		r.outbox.Add(r.out, framed, decision.To)
	}

	r.outbox.Flush()

	r.spent[kind] += time.Since(r.began)
	r.count[kind] += batch.Len()
	r.turn++
}
