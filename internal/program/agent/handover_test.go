package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/view"
)

// newLocal returns a local runner with one slot for a backend server.
func newLocal(t *testing.T, address string) *localRunner {
	t.Helper()

	g, stop := startAdmitter(1)
	t.Cleanup(stop)

	return &localRunner{admitter: g, backend: newBackendServer(netip.MustParseAddrPort(address), "", 0)}
}

func newTestCall(class view.Class, method string) *call {
	c := &call{class: class, method: method, target: "/x", header: http.Header{}, deadline: testDeadline()}
	if !class.Idempotent {
		c.key = "k"
	}

	return c
}

func assertState(t *testing.T, outcome *result, state peer.State) {
	t.Helper()
	is.New(t).Equal(outcome.state.String(), state.String())

	if outcome.body != nil {
		outcome.body.Close()
	}
}

func assertIdle(t *testing.T, l *localRunner) {
	t.Helper()
	is.New(t).Equal(l.admitter.occupancy(t.Context()), occupancy{})
}

// serveRaw passes each accepted connection to a handler, with its number.
func serveRaw(t *testing.T, handle func(number int, listener net.Listener, connection net.Conn)) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })

	go func() {
		for number := 1; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}

			t.Cleanup(func() { connection.Close() })

			go handle(number, listener, connection)
		}
	}()

	return listener.Addr().String()
}

// Guards against a request that is reported as "not run" although it ran, and
// against one that is reported as unknown although none of it was sent.
func TestHandOver(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		l := newLocal(t, "127.0.0.1:1")
		assertState(t, l.run(t.Context(), newTestCall(report, "POST")), peer.NotRun)
		assertIdle(t, l)
	})

	t.Run("cut after the request", func(t *testing.T) {
		l := newLocal(t, serveRaw(t, func(_ int, _ net.Listener, connection net.Conn) {
			http.ReadRequest(bufio.NewReader(connection))
			connection.Close()
		}))
		assertState(t, l.run(t.Context(), newTestCall(report, "POST")), peer.Unknown)
		assertIdle(t, l)
	})

	t.Run("shed", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			refuse(w, http.StatusServiceUnavailable, "busy")
		}))
		defer server.Close()

		l := newLocal(t, server.Listener.Addr().String())
		assertState(t, l.run(t.Context(), newTestCall(report, "POST")), peer.NotRun)
		assertIdle(t, l)
	})

	// The transport retries a GET whose reused connection breaks. The second
	// connection is refused, which says nothing about the first.
	t.Run("cut on a kept connection, then refused", func(t *testing.T) {
		l := newLocal(t, serveRaw(t, func(_ int, listener net.Listener, connection net.Conn) {
			reader := bufio.NewReader(connection)
			http.ReadRequest(reader)
			io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			http.ReadRequest(reader)
			listener.Close()
			connection.Close()
		}))
		first := l.run(t.Context(), newTestCall(alert, "GET"))
		_, err := io.Copy(io.Discard, first.body)
		is.New(t).NoErr(err)
		assertState(t, first, peer.Answered)
		assertState(t, l.run(t.Context(), newTestCall(alert, "GET")), peer.Unknown)
		assertIdle(t, l)
	})

	t.Run("cancelled before a connection", func(t *testing.T) {
		l := newLocal(t, "127.0.0.1:1")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()

		_, mayHaveRun, err := l.backend.send(ctx, newTestCall(report, "POST")) //nolint:bodyclose // the call fails
		is.New(t).True(err != nil && !mayHaveRun)
	})
}

// Guards against a backend server that accepts requests and never answers: it
// must not occupy a slot or a feed connection past the deadline.
func TestSilentBackend(t *testing.T) {
	for _, class := range []view.Class{alert, report, feed} {
		t.Run(class.Name, func(t *testing.T) {
			l := newLocal(t, serveRaw(t, func(int, net.Listener, net.Conn) {}))
			c := newTestCall(class, "POST")
			c.deadline = time.Now().Add(100 * time.Millisecond)
			assertState(t, l.run(t.Context(), c), peer.Unknown)
			assertIdle(t, l)
		})
	}
}

// dropIncoming makes the kernel drop everything that arrives for one connection,
// like a network device that has lost the state of the flow.
func dropIncoming(t *testing.T, connection net.Conn) {
	t.Helper()

	raw, err := connection.(*net.TCPConn).SyscallConn()
	is.New(t).NoErr(err)

	code := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(code)), Filter: (*unix.SockFilter)(unsafe.Pointer(&code[0]))}

	raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	is.New(t).NoErr(err)
}

// Guards against requests and feeds that hang on a connection to the backend
// server that has become unresponsive while new connections work.
func TestSilentConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

	// A feed without events detects it by keep-alives. The deadline of a feed no
	// longer applies once it has started, so nothing else can end it.
	t.Run("feed", func(t *testing.T) {
		t.Parallel()

		is := is.New(t)
		l := newLocal(t, serveRaw(t, func(_ int, _ net.Listener, connection net.Conn) {
			http.ReadRequest(bufio.NewReader(connection))
			io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
			dropIncoming(t, connection)
		}))
		outcome := l.run(t.Context(), newTestCall(feed, "GET"))
		_, err := io.ReadAll(outcome.body)
		is.True(err != nil) // a truncated answer is not taken for a complete one
		outcome.body.Close()
		assertIdle(t, l)
	})

	// A request on an unresponsive reused connection is answered on a new one,
	// long before its deadline.
	t.Run("request", func(t *testing.T) {
		t.Parallel()

		l := newLocal(t, serveRaw(t, func(number int, _ net.Listener, connection net.Conn) {
			http.ReadRequest(bufio.NewReader(connection))
			io.WriteString(connection, answer)

			if number == 1 {
				dropIncoming(t, connection)
			}
		}))
		c := newTestCall(alert, "GET")
		c.deadline = time.Now().Add(20 * time.Second)
		first := l.run(t.Context(), c)
		io.Copy(io.Discard, first.body)
		assertState(t, first, peer.Answered)
		assertState(t, l.run(t.Context(), c), peer.Answered)
		assertIdle(t, l)
	})
}
