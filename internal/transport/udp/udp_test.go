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

var shape = udp.BatchConfig{Size: 16, Length: 1500, Headroom: 48}

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

// refusals collects what a socket reports.
type refusals struct {
	mutex sync.Mutex
	seen  []netip.AddrPort
}

func (r *refusals) add(destination netip.AddrPort, cause syscall.Errno) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if cause == syscall.ECONNREFUSED {
		r.seen = append(r.seen, destination)
	}
}

// echo serves until it has seen a datagram with the text "stop".
func echo(socket *udp.Socket) error {
	outbox := udp.NewOutbox(shape.Size)

	return socket.Serve(udp.NewPool(1, shape), func(batch *udp.Batch) {
		for i := range batch.Len() {
			outbox.Add(socket, batch.Payload(i), batch.Source(i))

			if string(batch.Payload(i)) == "stop" {
				_ = socket.Stop()
			}
		}

		outbox.Flush()
	})
}

// exchange sends texts to an echo server and returns what came back.
func exchange(t *testing.T, client *udp.Socket, server *udp.Socket, texts ...string) []string {
	t.Helper()

	var (
		group conc.WaitGroup
		got   []string
	)

	group.Go(func() { is.New(t).NoErr(echo(server)) })

	outbox := udp.NewOutbox(shape.Size)
	for _, text := range append(texts, "stop") {
		is.New(t).True(outbox.Add(client, []byte(text), server.Address()))
	}

	is.New(t).Equal(outbox.Flush(), 0)
	is.New(t).NoErr(client.Serve(udp.NewPool(1, shape), func(batch *udp.Batch) {
		for i := range batch.Len() {
			is.New(t).Equal(batch.Source(i), server.Address())
			is.New(t).Equal(len(batch.Framed(i)), shape.Headroom+len(batch.Payload(i)))

			got = append(got, string(batch.Payload(i)))
		}

		if slices.Contains(got, "stop") {
			_ = client.Stop()
		}
	}))
	group.Wait()

	return got
}

// Guards against datagrams that are mixed up, cut or sent to another address
// in either family, and against a stop that loses the batch in hand.
func TestEcho(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		client := open(t, address, udp.Options{})[0]
		server := open(t, address, udp.Options{ReceiveBuffer: 1 << 20, SendBuffer: 1 << 20})[0]

		is.New(t).Equal(exchange(t, client, server, "a", "bc"), []string{"a", "bc", "stop"})
	}
}

// Guards against a refused destination that ends the loop, goes unnoticed, or
// takes datagrams for other destinations with it. Which system call returns
// the error depends on the place of the datagram within its batch.
func TestRefused(t *testing.T) {
	t.Run("first of its batch", func(t *testing.T) { testRefused(t, 0) })
	t.Run("last of its batch", func(t *testing.T) { testRefused(t, 1) })
}

func testRefused(t *testing.T, place int) {
	var refused refusals

	gone := open(t, "127.0.0.1:0", udp.Options{})[0]
	is.New(t).NoErr(gone.Close())

	client := open(t, "127.0.0.1:0", udp.Options{Refused: refused.add})[0]
	server := open(t, "127.0.0.1:0", udp.Options{})[0]
	destinations := []netip.AddrPort{server.Address(), server.Address()}
	destinations[place] = gone.Address()

	outbox := udp.NewOutbox(len(destinations))
	for range 5 {
		for _, destination := range destinations {
			outbox.Add(client, []byte("x"), destination)
		}
	}

	is.New(t).Equal(outbox.Flush(), 0)
	is.New(t).Equal(len(exchange(t, client, server)), 5+1)
	is.New(t).True(slices.Contains(refused.seen, gone.Address()))
}

// Guards against an outbox that merges the datagrams of different sockets.
func TestSeveralSockets(t *testing.T) {
	sockets := open(t, "127.0.0.1:0", udp.Options{Sockets: 3})
	is.New(t).Equal(sockets[0].Address(), sockets[2].Address())

	others := open(t, "127.0.0.1:0", udp.Options{})
	server := open(t, "127.0.0.1:0", udp.Options{})[0]

	outbox := udp.NewOutbox(shape.Size)
	for range 3 {
		outbox.Add(sockets[0], []byte("a"), server.Address())
		outbox.Add(others[0], []byte("b"), server.Address())
	}

	is.New(t).Equal(outbox.Add(sockets[0], []byte("c"), netip.MustParseAddrPort("[::1]:9")), false)
	is.New(t).Equal(outbox.Flush(), 0)

	from := map[netip.AddrPort]string{}

	is.New(t).NoErr(server.Serve(udp.NewPool(1, shape), func(batch *udp.Batch) {
		for i := range batch.Len() {
			from[batch.Source(i)] += string(batch.Payload(i))
		}

		if len(from[sockets[0].Address()])+len(from[others[0].Address()]) == 6 {
			_ = server.Stop()
		}
	}))
	is.New(t).Equal(from[sockets[0].Address()], "aaa")
	is.New(t).Equal(from[others[0].Address()], "bbb")
}
