package forward_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/udp"
)

const (
	batchSize     = 64
	payloadLength = 1200
)

// largeContents returns a view with the given agents behind services 1 to n, all of
// them with the same address.
func largeContents(services, agents int, data netip.AddrPort) view.Contents {
	result := view.Contents{Position: view.Position{Index: 1}, Keys: secret}
	for i := range services {
		result.Services = append(result.Services, view.Service{ID: view.ServiceID(i + 1), Buckets: 1024})
	}

	for i := range agents {
		result.Agents = append(result.Agents, view.Agent{
			Incarnation: view.Incarnation(i + 1), Service: view.ServiceID(i%services + 1), Data: data,
			Weight: view.MaxWeight, State: view.Active,
		})
	}

	return result
}

// establishedPackets returns packets of established flows to different agents. The
// last two bytes of each hold the service ID, in place of a socket for each service.
func establishedPackets(f fixture, services, agents int) [][]byte {
	packets := make([][]byte, 4096)
	for i := range packets {
		agent := i * 7919 % agents
		service := view.ServiceID(agent%services + 1)

		packets[i] = append(f.establishedPacket(service, view.Incarnation(agent+1)), make([]byte, payloadLength)...)
		packets[i] = packets[i][:payloadLength]
		binary.BigEndian.PutUint16(packets[i][payloadLength-2:], uint16(service))
	}

	return packets
}

// loop is a batched receive-and-send loop that alternates between bare forwarding
// and the whole path, so that both are measured under the same conditions.
type loop struct {
	f          fixture
	out, feed  *udp.Socket
	in         *udp.Socket
	sink       netip.AddrPort
	outbox     *udp.Outbox
	feeder     *udp.Outbox
	packets    [][]byte
	batches    int
	batchStart time.Time
	elapsed    [2]time.Duration
	count      [2]int
}

func (l *loop) sendBatch() {
	for i := range batchSize {
		l.feeder.Add(l.feed, l.packets[(l.batches*batchSize+i)%len(l.packets)], l.in.Address())
	}

	l.feeder.Flush()
	l.batchStart = time.Now()
}

func (l *loop) handle(batch *udp.Batch) {
	path := l.batches % 2

	for i := range batch.Len() {
		if path == 0 {
			l.outbox.Add(l.out, batch.Payload(i), l.sink)

			continue
		}

		payload := batch.Payload(i)
		service := view.ServiceID(binary.BigEndian.Uint16(payload[len(payload)-2:]))

		decision := l.f.FromCaller(l.batchStart, service, payload, batch.Source(i))
		if decision.Action == forward.Send {
			framed := batch.WithHeadroom(i)
			l.f.Seal(framed, &decision.Header)
			l.outbox.Add(l.out, framed, decision.To)
		}
	}

	l.outbox.Flush()

	l.elapsed[path] += time.Since(l.batchStart)
	l.count[path] += batch.Len()
	l.batches++
}

// BenchmarkPath compares the path of a datagram of an established flow
// (receive, classify, route, seal, send) with bare receive and send. The sink
// is not read: its full buffer makes sending cheaper for both.
func BenchmarkPath(b *testing.B) {
	for _, size := range [][2]int{{2, 10}, {6700, 26000}} {
		b.Run(fmt.Sprintf("%d-services-%d-agents", size[0], size[1]), func(b *testing.B) {
			benchmarkPath(b, size[0], size[1])
		})
	}
}

func benchmarkPath(b *testing.B, services, agents int) {
	socket := func() *udp.Socket {
		sockets, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"), udp.Options{ReceiveBuffer: 1 << 20})
		is.New(b).NoErr(err)
		b.Cleanup(func() { _ = sockets[0].Close() })

		return sockets[0]
	}

	l := &loop{
		in: socket(), out: socket(), feed: socket(), sink: socket().Address(),
		outbox: udp.NewOutbox(batchSize), feeder: udp.NewOutbox(batchSize),
	}
	l.f = newFixture(b, func(c *view.Contents) { *c = largeContents(services, agents, l.sink) })
	l.packets = establishedPackets(l.f, services, agents)

	pool := udp.NewPool(1, udp.BatchConfig{Size: batchSize, Length: 1500, Headroom: datagram.HeaderLength})

	b.ReportAllocs()
	b.ResetTimer()
	l.sendBatch()
	is.New(b).NoErr(l.in.Serve(pool, func(batch *udp.Batch) {
		l.handle(batch)

		if l.batches >= 2*b.N {
			_ = l.in.Stop()

			return
		}

		l.sendBatch()
	}))
	b.StopTimer()

	bare := float64(l.elapsed[0].Nanoseconds()) / float64(max(1, l.count[0]))
	path := float64(l.elapsed[1].Nanoseconds()) / float64(max(1, l.count[1]))

	b.ReportMetric(0, "ns/op")
	b.ReportMetric(bare, "bare-ns/datagram")
	b.ReportMetric(path, "path-ns/datagram")
	b.ReportMetric(path/bare, "ratio")
	is.New(b).Equal(l.f.balancer.Counts()[forward.Direct], uint64(l.count[1]))
}

// BenchmarkSteps measures the decisions without sockets at the target size.
func BenchmarkSteps(b *testing.B) {
	const services, agents = 6700, 26000

	f := newFixture(b, func(c *view.Contents) {
		*c = largeContents(services, agents, peer)
		for i := range c.Services {
			c.Services[i].Limits = view.Limits{FirstPackets: 1 << 30, FirstPacketsPerSource: 1 << 20}
		}
	})
	packets := establishedPackets(f, services, agents)
	reply := f.sealed(datagram.Header{Kind: datagram.Reply, Service: 1, Agent: 1, Caller: caller}, "reply")
	firsts := make([][]byte, 4096)
	agent := newAgent(b, nil)
	received := f.sealed(datagram.Header{
		Kind: datagram.Forward, Service: crew, Agent: 1, Balancer: self, Caller: caller,
	}, "x")

	for i := range firsts {
		firsts[i] = initialPacket(i)
	}

	steps := []struct {
		name string
		run  func(i int)
	}{
		{"established", func(i int) {
			packet := packets[i%len(packets)]
			f.FromCaller(start, view.ServiceID(binary.BigEndian.Uint16(packet[payloadLength-2:])), packet, caller)
		}},
		{"first", func(i int) {
			source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{9, byte(i >> 16), byte(i >> 8), byte(i)}), 4433)
			f.FromCaller(start.Add(time.Duration(i)), view.ServiceID(i%services+1), firsts[i%len(firsts)], source)
		}},
		{"reply", func(int) { f.FromAgent(start, reply, peer) }},
		{"agent-receive", func(int) { agent.Receive(start, received, peer) }},
		{"agent-reply", func(int) { agent.Reply(start, caller) }},
	}

	for _, step := range steps {
		b.Run(step.name, func(b *testing.B) {
			b.ReportAllocs()

			i := 0
			for b.Loop() {
				step.run(i)
				i++
			}
		})
	}
}

// Guards against an allocation in the decision on any datagram.
func TestAllocations(t *testing.T) {
	f, agent := newFixture(t, nil), newAgent(t, nil)
	packet, firstPacket := f.establishedPacket(crew, 1), initialPacket(1)
	buffer := make([]byte, 100)
	received := f.sealed(datagram.Header{
		Kind: datagram.Forward, Service: crew, Agent: 1, Balancer: self, Caller: caller,
	}, "x")

	is.New(t).Equal(len(packet), 1+connid.Length+20)
	is.New(t).Equal(testing.AllocsPerRun(100, func() {
		decision := f.FromCaller(start, crew, packet, caller)
		f.Seal(buffer, &decision.Header)
		f.FromCaller(start, crew, firstPacket, caller)
		f.FromAgent(start, received, peer)
		agent.Receive(start, received, peer)
		header, _, _ := agent.Reply(start, caller)
		agent.Seal(buffer, &header)
	}), 0.0)
}
