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
	batchSize        = 64
	maxDatagramBytes = 1500
	payloadBytes     = 1200
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// datagrams measures the worker thread of a balancer at the target size:
// receive, classify, route, seal and send. Nothing reads the destination socket.
var datagrams = probe{
	name: "datagrams", per: "datagram", sizes: []int{8192, 16_384, 24_576, 32_768},
	labels: []label{
		{FirstPacket, "forwarding first packets", unitSeconds},
		{EstablishedPacket, "forwarding packets of established flows", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		setup, err := sharedSetup()
		if err != nil {
			return nil, err
		}

		first, err := measureForwarding(setup.balancer, size, makeFirstPacket)
		if err != nil {
			return nil, err
		}

		keys, err := connid.New(setup.full.Keys())
		if err != nil {
			return nil, err
		}

		established, err := measureForwarding(setup.balancer, size, func(number int) (view.ServiceID, []byte) {
			agent := setup.full.Agents()[number*7919%targetAgents]
			packet := make([]byte, payloadBytes)
			packet[0] = 0x40
			keys.Seal(packet[1:], agent.Service, agent.Incarnation, uint64(number))

			return agent.Service, packet
		})

		return []float64{first, established}, err
	},
}

// forwardingSetup is a view and a balancer that has applied it.
type forwardingSetup struct {
	full     *view.View
	balancer *forward.Balancer
}

// sharedSetup returns a setup of the target size. All agents have the address of
// one socket, which nothing reads. It is built only once, because building takes
// longer than a measurement.
var sharedSetup = sync.OnceValues(func() (forwardingSetup, error) {
	contents := makeContents(targetAgents)

	sink, err := udp.Listen(loopback, udp.Options{})
	if err != nil {
		return forwardingSetup{}, err
	}

	for i := range contents.Agents {
		contents.Agents[i].Data = sink[0].Address()
	}

	for i := range contents.Services {
		contents.Services[i].Limits = view.Limits{FirstPackets: 1 << 30, FirstPacketsPerSource: 1 << 29}
	}

	full := view.New(contents)

	return forwardingSetup{full: full, balancer: newBalancer(full)}, nil
})

// makeFirstPacket returns a packet that opens a flow.
func makeFirstPacket(number int) (view.ServiceID, []byte) {
	packet := make([]byte, payloadBytes)
	copy(packet, []byte{0xc0, 0, 0, 0, 1, 8, byte(number), byte(number >> 8), byte(number >> 16)})

	return view.ServiceID(number%targetServices + 1), packet
}

// distinctPackets is the number of different packets, which are sent in rotation.
const distinctPackets = 4096

// forwarder forwards the datagrams that it receives and measures the processor
// time of its thread.
type forwarder struct {
	worker          *forward.Worker
	outbox          *udp.Outbox
	outSocket       *udp.Socket
	services        []view.ServiceID
	startThreadTime float64
	endThreadTime   float64
	handled         atomic.Int64
	sent            int
}

func (f *forwarder) handle(batch *udp.Batch) {
	if f.startThreadTime == 0 {
		// Receiving the first batch is not measured. measureForwarding locks the
		// goroutine to its thread.
		f.startThreadTime = threadTime()
	}

	now := time.Now()

	for i := range batch.Len() {
		payload := batch.Payload(i)
		number := int(payload[len(payload)-2])<<8 | int(payload[len(payload)-1])

		decision := f.worker.FromCaller(now, f.services[number], payload, batch.Source(i))
		if decision.Action == forward.Send {
			framed := batch.WithHeadroom(i)
			f.worker.Seal(framed, &decision.Header)
			f.outbox.Add(f.outSocket, framed, decision.To)
			f.sent++
		}
	}

	f.outbox.Flush()
	f.endThreadTime = threadTime()
	f.handled.Add(int64(batch.Len()))
}

// measureForwarding returns the processor time of a balancer's thread for
// forwarding count datagrams. The sender waits until each batch has been handled,
// so that no datagram is lost.
func measureForwarding(
	balancer *forward.Balancer, count int, packet func(int) (view.ServiceID, []byte),
) (float64, error) {
	f := &forwarder{worker: balancer.Worker(), outbox: udp.NewOutbox(batchSize)}
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

	receiver, sender := sockets[0], sockets[1]
	f.outSocket = sockets[2]

	var (
		group    conc.WaitGroup
		serveErr error
	)

	group.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()

		pool := udp.NewPool(1, udp.BatchConfig{Size: batchSize, Length: maxDatagramBytes, Headroom: datagram.HeaderLength})
		serveErr = receiver.Serve(pool, f.handle)
	})

	f.send(sender, receiver.Address(), packets, count)
	stopErr := receiver.Stop()
	group.Wait()

	if err := firstError(serveErr, stopErr); err != nil {
		return 0, err
	}

	// Dropping is cheaper than forwarding, so drops would make the figure too low.
	if f.sent != count {
		return 0, fmt.Errorf("%d of %d datagrams were forwarded", f.sent, count)
	}

	return f.endThreadTime - f.startThreadTime, nil
}

func (f *forwarder) send(sender *udp.Socket, to netip.AddrPort, packets [][]byte, count int) {
	outbox := udp.NewOutbox(batchSize)

	for sent := 0; sent < count; {
		for range batchSize {
			outbox.Add(sender, packets[sent%len(packets)], to)
			sent++
		}

		outbox.Flush()

		for deadline := time.Now().Add(time.Second); f.handled.Load() < int64(sent) && time.Now().Before(deadline); {
			runtime.Gosched()
		}
	}
}

// serviceSockets measures the memory of each service address at a balancer with
// one worker: a socket, its goroutine and its outbox.
var serviceSockets = probe{
	name: "service sockets", per: "service address", sizes: []int{50, 100, 200, 400},
	labels: []label{{SocketMemory, "live memory of the sockets of services", unitBytes}},
	run: func(_ context.Context, size int) ([]float64, error) {
		var (
			group       conc.WaitGroup
			openSockets []*udp.Socket
			err         error
		)

		pool := udp.NewPool(8, udp.BatchConfig{Size: batchSize, Length: maxDatagramBytes, Headroom: datagram.HeaderLength})
		balancer := newBalancer(view.New(makeContents(100)))
		before := liveMemory()

		for range size {
			sockets, listenErr := udp.Listen(loopback, udp.Options{ReceiveBuffer: 4 << 20})
			if listenErr != nil {
				err = listenErr

				break
			}

			openSockets = append(openSockets, sockets...)
			f := &forwarder{worker: balancer.Worker(), outbox: udp.NewOutbox(batchSize), outSocket: sockets[0]}
			group.Go(func() { _ = sockets[0].Serve(pool, f.handle) }) // ends with the socket
		}

		memory := liveMemory() - before

		for _, socket := range openSockets {
			err = firstError(err, socket.Stop())
		}

		group.Wait()

		for _, socket := range openSockets {
			err = firstError(err, socket.Close())
		}

		return []float64{memory}, err
	},
}
