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

// ForwardingConfig describes a run that forwards datagrams of established flows
// over loopback. It is the only scenario in real time.
type ForwardingConfig struct {
	Services int
	Agents   int // in total
	Batches  int // of each kind, alternating
}

// ForwardingResult holds the cost per datagram, from its arrival until the call
// that forwards it returns.
type ForwardingResult struct {
	Bare        float64 // of a bare loop that receives and sends batches, in ns
	Path        float64 // of the forwarding path of a balancer, in ns
	Allocations float64 // per datagram of the whole run
	Dropped     int     // datagrams that the balancer's path did not forward; 0 in a valid run
}

const (
	forwardBatchSize     = 64
	forwardPayloadBytes  = 1200
	forwardWarmUpBatches = 64 // of both kinds together

	// forwardFlowCount is the number of established flows; each has its own packet.
	forwardFlowCount = 4096
	// agentStride is a prime, so that consecutive packets go to agents far apart
	// in the tables.
	agentStride = 7919
)

// forwardRun alternates between batches of the bare loop (even indexes) and of the
// path of a balancer (odd indexes), so that both run under the same conditions.
type forwardRun struct {
	worker                *forward.Worker
	in, out, feed         *udp.Socket
	sink                  netip.AddrPort
	outbox                *udp.Outbox
	feeder                *udp.Outbox
	packets               [][]byte
	batchIndex, lastBatch int
	startedAt             time.Time
	elapsed               [2]time.Duration
	forwarded             [2]int
	dropped               int
	memoryBefore          runtime.MemStats
	memoryAfter           runtime.MemStats
}

// Forwarding measures the cost of forwarding. Nothing reads from the sink socket:
// its full receive buffer makes sending cheaper for both kinds.
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
		outbox: udp.NewOutbox(forwardBatchSize), feeder: udp.NewOutbox(forwardBatchSize),
		lastBatch: forwardWarmUpBatches + 2*config.Batches,
	}
	if err := r.prepare(config); err != nil {
		return ForwardingResult{}, err
	}

	pool := udp.NewPool(1, udp.BatchConfig{Size: forwardBatchSize, Length: 1500, Headroom: datagram.HeaderLength})

	r.sendBatch()

	if err := r.in.Serve(pool, r.serve); err != nil {
		return ForwardingResult{}, err
	}

	datagrams := float64(r.forwarded[0] + r.forwarded[1])

	return ForwardingResult{
		Bare:        float64(r.elapsed[0].Nanoseconds()) / float64(max(r.forwarded[0], 1)),
		Path:        float64(r.elapsed[1].Nanoseconds()) / float64(max(r.forwarded[1], 1)),
		Allocations: float64(r.memoryAfter.Mallocs-r.memoryBefore.Mallocs) / max(datagrams, 1),
		Dropped:     r.dropped,
	}, nil
}

// prepare creates the view, the balancer's worker and the packets of established
// flows to different agents. The last two bytes of each packet hold its service
// ID, instead of a separate socket per service.
func (r *forwardRun) prepare(config ForwardingConfig) error {
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
	r.packets = make([][]byte, forwardFlowCount)

	for i := range r.packets {
		agent := i * agentStride % config.Agents
		service := view.ServiceID(agent%config.Services + 1)
		packet := make([]byte, forwardPayloadBytes)
		packet[0] = shortHeader
		ids.Seal(packet[1:], service, view.Incarnation(agent+1), uint64(i))
		binary.BigEndian.PutUint16(packet[forwardPayloadBytes-2:], uint16(service))
		r.packets[i] = packet
	}

	return nil
}

// sendBatch sends the next batch of datagrams to the loop.
func (r *forwardRun) sendBatch() {
	for i := range forwardBatchSize {
		r.feeder.Add(r.feed, r.packets[(r.batchIndex*forwardBatchSize+i)%len(r.packets)], r.in.Address())
	}

	r.feeder.Flush()
	r.startedAt = time.Now()
}

// serve forwards a batch and sends the next one until the last is done. Counters
// are reset after the warm-up.
func (r *forwardRun) serve(batch *udp.Batch) {
	r.forward(batch)

	switch r.batchIndex {
	case forwardWarmUpBatches:
		r.elapsed, r.forwarded = [2]time.Duration{}, [2]int{}
		runtime.ReadMemStats(&r.memoryBefore)
	case r.lastBatch:
		runtime.ReadMemStats(&r.memoryAfter)

		_ = r.in.Stop()

		return
	}

	r.sendBatch()
}

// forward forwards a received batch in the way of its kind and adds to the cost.
func (r *forwardRun) forward(batch *udp.Batch) {
	kind := r.batchIndex % 2

	for i := range batch.Len() {
		if kind == 0 {
			r.outbox.Add(r.out, batch.Payload(i), r.sink)

			continue
		}

		payload := batch.Payload(i)
		service := view.ServiceID(binary.BigEndian.Uint16(payload[len(payload)-2:]))

		decision := r.worker.FromCaller(r.startedAt, service, payload, batch.Source(i))
		if decision.Action != forward.Send {
			r.dropped++

			continue
		}

		framed := batch.WithHeadroom(i)
		r.worker.Seal(framed, &decision.Header)
		r.outbox.Add(r.out, framed, decision.To)
	}

	r.outbox.Flush()

	r.elapsed[kind] += time.Since(r.startedAt)
	r.forwarded[kind] += batch.Len()
	r.batchIndex++
}
