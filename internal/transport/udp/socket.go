// Package udp receives and sends UDP datagrams in batches, with recvmmsg and
// sendmmsg, without allocations per datagram.
//
// # Usage
//
//	pool := udp.NewPool(16, udp.BatchConfig{Size: 64, Length: 1500, Headroom: datagram.HeaderLength})
//	sockets, err := udp.Listen(address, udp.Options{Sockets: 4, Refused: skip})
//	// One goroutine for each socket:
//	outbox := udp.NewOutbox(64)
//	err = sockets[i].Serve(pool, func(batch *udp.Batch) {
//		for j := range batch.Len() {
//			outbox.Add(data, batch.WithHeadroom(j), destination)
//		}
//		outbox.Flush()
//	})
//	// To stop: sockets[i].Stop(), then Close after Serve has returned.
//
// The batch functions of golang.org/x/net allocate an address for each received
// datagram, so the package issues the system calls through syscall.RawConn.
// IPv6 zones are not supported.
package udp

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Options configures the sockets of an address.
type Options struct {
	Sockets       int // number of sockets, with SO_REUSEPORT if more than 1; 0 means 1
	ReceiveBuffer int // bytes; 0 keeps the system default
	SendBuffer    int // bytes; 0 keeps the system default

	// OnUnreachable is called with each unreachable destination of a datagram and the
	// cause, for example ECONNREFUSED. It is called by any goroutine that uses
	// the socket, but not concurrently for one socket.
	OnUnreachable func(destination netip.AddrPort, cause syscall.Errno)
}

// Socket is an unconnected UDP socket of one address family. It is safe for
// concurrent use.
type Socket struct {
	conn       *net.UDPConn
	raw        syscall.RawConn
	address    netip.AddrPort
	family     uint16
	errorQueue errorQueue
}

// Listen opens the sockets of an address. With port 0, all sockets share the
// port that the system assigned to the first.
func Listen(address netip.AddrPort, options Options) ([]*Socket, error) {
	count := max(options.Sockets, 1)
	sockets := make([]*Socket, 0, count)

	for range count {
		socket, err := listen(address, options, count > 1)
		if err != nil {
			for _, opened := range sockets {
				_ = opened.Close()
			}

			return nil, newError("listen on "+address.String(), KindListen, err)
		}

		address = socket.address
		sockets = append(sockets, socket)
	}

	return sockets, nil
}

func listen(address netip.AddrPort, options Options, shared bool) (*Socket, error) {
	network, family := "udp4", uint16(unix.AF_INET)
	if !address.Addr().Unmap().Is4() {
		network, family = "udp6", unix.AF_INET6
	}

	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setPreBindOptions(raw, family, shared)
	}}

	opened, err := config.ListenPacket(context.Background(), network, address.String())
	if err != nil {
		return nil, errors.Trace(err)
	}

	conn, ok := opened.(*net.UDPConn)
	if !ok {
		return nil, errors.Errorf("%T is not a UDP socket", opened)
	}

	socket := &Socket{conn: conn, family: family}
	if err := socket.configure(options); err != nil {
		_ = conn.Close()

		return nil, errors.Trace(err)
	}

	return socket, nil
}

// setPreBindOptions sets the options that have to be set before the socket is
// bound.
func setPreBindOptions(raw syscall.RawConn, family uint16, shared bool) error {
	level, option := unix.IPPROTO_IP, unix.IP_RECVERR
	if family == unix.AF_INET6 {
		level, option = unix.IPPROTO_IPV6, unix.IPV6_RECVERR
	}

	var setErr error

	err := raw.Control(func(fd uintptr) {
		// Without this option, the system reports unreachable destinations
		// only on connected sockets.
		setErr = unix.SetsockoptInt(int(fd), level, option, 1)
		if setErr == nil && shared {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}
	})
	if err != nil {
		return err
	}

	return os.NewSyscallError("setsockopt", setErr)
}

func (s *Socket) configure(options Options) error {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}

	s.raw = raw
	s.errorQueue.report = options.OnUnreachable
	s.errorQueue.family = s.family

	if options.ReceiveBuffer > 0 {
		if err := s.conn.SetReadBuffer(options.ReceiveBuffer); err != nil {
			return errors.Trace(err)
		}
	}

	if options.SendBuffer > 0 {
		if err := s.conn.SetWriteBuffer(options.SendBuffer); err != nil {
			return errors.Trace(err)
		}
	}

	local, ok := s.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return errors.Errorf("%T is not a UDP address", s.conn.LocalAddr())
	}

	s.address = netip.AddrPortFrom(local.AddrPort().Addr().Unmap(), local.AddrPort().Port())

	return nil
}

// Address returns the address that the socket is bound to.
func (s *Socket) Address() netip.AddrPort { return s.address }

// Serve receives batches from the pool and passes each to handle, until Stop
// is called. The batch is valid until handle returns. Unreachable destinations
// do not end the loop.
func (s *Socket) Serve(pool *Pool, handle func(*Batch)) error {
	receiver := newReceiver(s, pool)

	for {
		batch, err := receiver.receive()
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return nil
		}

		if err != nil {
			return newError("serve "+s.address.String(), KindReceive, err)
		}

		handle(batch)
		pool.put(batch)
	}
}

// Stop ends Serve after the batch that it is handling. The socket can still send.
func (s *Socket) Stop() error {
	if err := s.conn.SetReadDeadline(pastDeadline); err != nil {
		return newError("stop", KindClose, err)
	}

	return nil
}

// Close closes the socket.
func (s *Socket) Close() error {
	if err := s.conn.Close(); err != nil {
		return newError("close", KindClose, err)
	}

	return nil
}

// errorQueue reads the error queue of a socket into preallocated buffers.
type errorQueue struct {
	mutex   sync.Mutex
	report  func(netip.AddrPort, syscall.Errno)
	family  uint16
	header  unix.Msghdr
	iovec   unix.Iovec
	name    sockaddr
	payload [64]byte // start of the undelivered datagram, ignored
	control [256]byte
}

// drain reports every queued error. It does not wait for one.
func (q *errorQueue) drain(fd uintptr) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	for {
		q.iovec.Base = &q.payload[0]
		q.iovec.SetLen(len(q.payload))
		q.header = unix.Msghdr{Name: &q.name[0], Namelen: uint32(len(q.name)), Iov: &q.iovec, Control: &q.control[0]}
		q.header.SetIovlen(1)
		q.header.SetControllen(len(q.control))

		if errno := receiveError(fd, &q.header); errno != 0 {
			return
		}

		cause, ok := extendedError(q.control[:q.header.Controllen], q.family)
		if ok && q.report != nil {
			q.report(q.name.decode(), cause)
		}
	}
}
