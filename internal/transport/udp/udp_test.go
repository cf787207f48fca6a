package udp_test

import (
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/transport/udp"
)

var batchConfig = udp.BatchConfig{Size: 16, Length: 1500, Headroom: 48}

func open(t testing.TB, address string, options udp.Options) []*udp.Socket {
	t.Helper()

	sockets, err := udp.Listen(netip.MustParseAddrPort(address), options)
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		for _, socket := range sockets {
			_ = socket.Close()
		}
	})

	return sockets
}

// unreachableRecorder collects the destinations that a socket reports as refused.
type unreachableRecorder struct {
	mutex        sync.Mutex
	destinations []netip.AddrPort
}

func (r *unreachableRecorder) record(destination netip.AddrPort, cause syscall.Errno) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if cause == syscall.ECONNREFUSED {
		r.destinations = append(r.destinations, destination)
	}
}

// echo returns each datagram to its sender until it has received "stop".
func echo(socket *udp.Socket) error {
	outbox := udp.NewOutbox(batchConfig.Size)

	return socket.Serve(udp.NewPool(1, batchConfig), func(batch *udp.Batch) {
		for i := range batch.Len() {
			outbox.Add(socket, batch.Payload(i), batch.Source(i))

			if string(batch.Payload(i)) == "stop" {
				_ = socket.Stop()
			}
		}

		outbox.Flush()
	})
}

// exchange sends texts to an echo server and returns the replies.
func exchange(t *testing.T, client *udp.Socket, server *udp.Socket, texts ...string) []string {
	t.Helper()

	var (
		group conc.WaitGroup
		got   []string
	)

	group.Go(func() { is.New(t).NoErr(echo(server)) })

	outbox := udp.NewOutbox(batchConfig.Size)
	for _, text := range append(texts, "stop") {
		is.New(t).True(outbox.Add(client, []byte(text), server.Address()))
	}

	is.New(t).Equal(outbox.Flush(), 0)
	is.New(t).NoErr(client.Serve(udp.NewPool(1, batchConfig), func(batch *udp.Batch) {
		for i := range batch.Len() {
			is.New(t).Equal(batch.Source(i), server.Address())
			is.New(t).Equal(len(batch.WithHeadroom(i)), batchConfig.Headroom+len(batch.Payload(i)))

			got = append(got, string(batch.Payload(i)))
		}

		if slices.Contains(got, "stop") {
			_ = client.Stop()
		}
	}))
	group.Wait()

	return got
}

// Guards against datagrams that are mixed up, truncated or sent to another address
// in either family, and against a Stop that loses the batch being handled.
func TestEcho(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		client := open(t, address, udp.Options{})[0]
		server := open(t, address, udp.Options{ReceiveBuffer: 1 << 20, SendBuffer: 1 << 20})[0]

		is.New(t).Equal(exchange(t, client, server, "a", "bc"), []string{"a", "bc", "stop"})
	}
}

// Guards against a refused destination that ends Serve, is not reported, or causes
// the loss of datagrams to other destinations. Which system call returns the
// error depends on the position of the datagram within its batch.
func TestRefused(t *testing.T) {
	t.Run("first of its batch", func(t *testing.T) { testRefused(t, 0) })
	t.Run("last of its batch", func(t *testing.T) { testRefused(t, 1) })
}

func testRefused(t *testing.T, position int) {
	var recorder unreachableRecorder

	closed := open(t, "127.0.0.1:0", udp.Options{})[0]
	is.New(t).NoErr(closed.Close())

	client := open(t, "127.0.0.1:0", udp.Options{OnUnreachable: recorder.record})[0]
	server := open(t, "127.0.0.1:0", udp.Options{})[0]
	destinations := []netip.AddrPort{server.Address(), server.Address()}
	destinations[position] = closed.Address()

	outbox := udp.NewOutbox(len(destinations))
	for range 5 {
		for _, destination := range destinations {
			outbox.Add(client, []byte("x"), destination)
		}
	}

	is.New(t).Equal(outbox.Flush(), 0)
	is.New(t).Equal(len(exchange(t, client, server)), 5+1)
	is.New(t).True(slices.Contains(recorder.destinations, closed.Address()))
}

// Guards against an outbox that sends datagrams from the wrong socket.
func TestSeveralSockets(t *testing.T) {
	sockets := open(t, "127.0.0.1:0", udp.Options{Sockets: 3})
	is.New(t).Equal(sockets[0].Address(), sockets[2].Address())

	other := open(t, "127.0.0.1:0", udp.Options{})
	server := open(t, "127.0.0.1:0", udp.Options{})[0]

	outbox := udp.NewOutbox(batchConfig.Size)
	for range 3 {
		outbox.Add(sockets[0], []byte("a"), server.Address())
		outbox.Add(other[0], []byte("b"), server.Address())
	}

	is.New(t).Equal(outbox.Add(sockets[0], []byte("c"), netip.MustParseAddrPort("[::1]:9")), false)
	is.New(t).Equal(outbox.Flush(), 0)

	received := map[netip.AddrPort]string{}

	is.New(t).NoErr(server.Serve(udp.NewPool(1, batchConfig), func(batch *udp.Batch) {
		for i := range batch.Len() {
			received[batch.Source(i)] += string(batch.Payload(i))
		}

		if len(received[sockets[0].Address()])+len(received[other[0].Address()]) == 6 {
			_ = server.Stop()
		}
	}))
	is.New(t).Equal(received[sockets[0].Address()], "aaa")
	is.New(t).Equal(received[other[0].Address()], "bbb")
}
