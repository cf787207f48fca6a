package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/udp"
)

// The figures of datagrams and service sockets.
const (
	FirstPacket       ID = "first packet"
	EstablishedPacket ID = "established packet"
	SocketMemory      ID = "socket memory"
)

const (
	batchSize     = 64
	maxDatagram   = 1500
	payloadLength = 1200
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// datagrams measures a balancer's thread at the target size: receive,
// classify, route, seal and send. The sink does not read.
var datagrams = probe{
	name: "datagrams", per: "datagram", sizes: []int{8192, 16_384, 24_576, 32_768},
	labels: []label{
		{FirstPacket, "forwarding first packets", unitSeconds},
		{EstablishedPacket, "forwarding packets of established flows", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		made, err := fabric()
		if err != nil {
			return nil, err
		}

		first, err := forwarded(made.engine, size, firstPacket)
		if err != nil {
			return nil, err
		}

		keys, err := connid.New(made.whole.Keys())
		if err != nil {
			return nil, err
		}

		established, err := forwarded(made.engine, size, func(number int) (view.ServiceID, []byte) {
			agent := made.whole.Agents()[number*7919%targetAgents]
			packet := make([]byte, payloadLength)
			packet[0] = 0x40
			keys.Seal(packet[1:], agent.Service, agent.Incarnation, uint64(number))

			return agent.Service, packet
		})

		return []float64{first, established}, err
	},
}

// world is a view and the balancer with it in force.
type world struct {
	whole  *view.View
	engine *forward.Balancer
}

// fabric returns a view of the target size, whose agents all have the address
// of one socket that is not read. It is built once, because that takes longer
// than a measurement.
var fabric = sync.OnceValues(func() (world, error) {
	contents := contentsOf(targetAgents)

	sink, err := udp.Listen(loopback, udp.Options{})
	if err != nil {
		return world{}, err
	}

	for i := range contents.Agents {
		contents.Agents[i].Data = sink[0].Address()
	}

	for i := range contents.Services {
		contents.Services[i].Limits = view.Limits{FirstPackets: 1 << 30, FirstPacketsPerSource: 1 << 29}
	}

	whole := view.New(contents)

	return world{whole: whole, engine: engineOf(whole)}, nil
})

// firstPacket returns a packet that opens a flow.
func firstPacket(number int) (view.ServiceID, []byte) {
	packet := make([]byte, payloadLength)
	copy(packet, []byte{0xc0, 0, 0, 0, 1, 8, byte(number), byte(number >> 8), byte(number >> 16)})

	return view.ServiceID(number%targetServices + 1), packet
}

// distinctPackets is the number of packets that are sent in turn.
const distinctPackets = 4096

// forwarder receives and forwards datagrams and measures its own thread.
type forwarder struct {
	worker   *forward.Worker
	outbox   *udp.Outbox
	out      *udp.Socket
	services []view.ServiceID
	began    float64
	ended    float64
	handled  atomic.Int64
	sent     int
}

func (f *forwarder) handle(batch *udp.Batch) {
	if f.began == 0 {
		// The thread is locked in forwarded. The first batch is left out.
		f.began = threadTime()
	}

	now := time.Now()

	for i := range batch.Len() {
		payload := batch.Payload(i)
		number := int(payload[len(payload)-2])<<8 | int(payload[len(payload)-1])

		decision := f.worker.FromCaller(now, f.services[number], payload, batch.Source(i))
		if decision.Action == forward.Send {
			framed := batch.WithHeadroom(i)
			f.worker.Seal(framed, &decision.Header)
			f.outbox.Add(f.out, framed, decision.To)
			f.sent++
		}
	}

	f.outbox.Flush()
	f.ended = threadTime()
	f.handled.Add(int64(batch.Len()))
}

// forwarded returns the processor time of a balancer's thread for the
// datagrams. The sender waits for each batch, so that none is lost.
func forwarded(engine *forward.Balancer, count int, packet func(int) (view.ServiceID, []byte)) (float64, error) {
	f := &forwarder{worker: engine.Worker(), outbox: udp.NewOutbox(batchSize)}
	packets := make([][]byte, distinctPackets)

	for i := range packets {
		service, data := packet(i)
		data[len(data)-2], data[len(data)-1] = byte(i>>8), byte(i)
		packets[i], f.services = data, append(f.services, service)
	}

	sockets := make([]*udp.Socket, 3)
	for i := range sockets {
		opened, err := udp.Listen(loopback, udp.Options{ReceiveBuffer: 1 << 20})
		if err != nil {
			return 0, err
		}

		sockets[i] = opened[0]
		defer closeAll(opened[0])
	}

	in, feed := sockets[0], sockets[1]
	f.out = sockets[2]

	var (
		group  conc.WaitGroup
		served error
	)

	group.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()

		pool := udp.NewPool(1, udp.BatchConfig{Size: batchSize, Length: maxDatagram, Headroom: datagram.HeaderLength})
		served = in.Serve(pool, f.handle)
	})

	f.send(feed, in.Address(), packets, count)
	stopped := in.Stop()
	group.Wait()

	if err := firstError(served, stopped); err != nil {
		return 0, err
	}

	// Dropping is cheaper than forwarding, so a drop would spoil the figure.
	if f.sent != count {
		return 0, fmt.Errorf("%d of %d datagrams were forwarded", f.sent, count)
	}

	return f.ended - f.began, nil
}

func (f *forwarder) send(feed *udp.Socket, to netip.AddrPort, packets [][]byte, count int) {
	outbox := udp.NewOutbox(batchSize)

	for sent := 0; sent < count; {
		for range batchSize {
			outbox.Add(feed, packets[sent%len(packets)], to)
			sent++
		}

		outbox.Flush()

		for deadline := time.Now().Add(time.Second); f.handled.Load() < int64(sent) && time.Now().Before(deadline); {
			runtime.Gosched()
		}
	}
}

// serviceSockets measures what each service address costs a balancer with one
// worker: a socket, its goroutine and its outbox.
var serviceSockets = probe{
	name: "service sockets", per: "service address", sizes: []int{50, 100, 200, 400},
	labels: []label{{SocketMemory, "live memory of the sockets of services", unitBytes}},
	run: func(_ context.Context, size int) ([]float64, error) {
		var (
			group conc.WaitGroup
			open  []*udp.Socket
			err   error
		)

		pool := udp.NewPool(8, udp.BatchConfig{Size: batchSize, Length: maxDatagram, Headroom: datagram.HeaderLength})
		engine := engineOf(view.New(contentsOf(100)))
		memory := memoryOf(func() []*udp.Socket {
			for range size {
				sockets, failure := udp.Listen(loopback, udp.Options{ReceiveBuffer: 4 << 20})
				if failure != nil {
					err = failure

					break
				}

				open = append(open, sockets...)
				f := &forwarder{worker: engine.Worker(), outbox: udp.NewOutbox(batchSize), out: sockets[0]}
				group.Go(func() { _ = sockets[0].Serve(pool, f.handle) }) // ends with the socket
			}

			return open
		})

		for _, socket := range open {
			err = firstError(err, socket.Stop())
		}

		group.Wait()

		for _, socket := range open {
			err = firstError(err, socket.Close())
		}

		return []float64{memory}, err
	},
}
