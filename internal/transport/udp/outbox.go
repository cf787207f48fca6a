package udp

import (
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxSendAttempts limits the attempts to send one datagram. An asynchronous error
// of an earlier datagram that arrives in between uses up one attempt.
const maxSendAttempts = 4

// Outbox collects datagrams for any number of sockets and sends those of each
// socket together. It belongs to one goroutine.
type Outbox struct {
	count   int
	sockets []*Socket
	headers []unix.Mmsghdr
	iovecs  []unix.Iovec
	names   []sockaddr
	group   []unix.Mmsghdr // headers of the datagrams of one socket, copied to be contiguous

	pending  []unix.Mmsghdr
	current  *Socket
	failed   int
	attempts int // for the first pending datagram
	write    func(uintptr) bool
}

// NewOutbox returns an outbox for up to size datagrams between flushes.
func NewOutbox(size int) *Outbox {
	outbox := &Outbox{
		sockets: make([]*Socket, size),
		headers: make([]unix.Mmsghdr, size),
		iovecs:  make([]unix.Iovec, size),
		names:   make([]sockaddr, size),
		group:   make([]unix.Mmsghdr, 0, size),
	}
	outbox.write = outbox.writePending

	return outbox
}

// Len returns the number of datagrams that have not been flushed.
func (o *Outbox) Len() int { return o.count }

// Add adds a datagram to the outbox, and flushes the outbox first if it is full.
// The data must not change before Flush. Add reports false if the datagram is
// empty or the address is not of the socket's family.
func (o *Outbox) Add(socket *Socket, data []byte, to netip.AddrPort) bool {
	if o.count == len(o.sockets) {
		o.Flush()
	}

	i := o.count

	length := o.names[i].encode(to, socket.family)
	if length == 0 || len(data) == 0 {
		return false
	}

	o.sockets[i] = socket
	o.iovecs[i].Base = &data[0]
	o.iovecs[i].SetLen(len(data))
	o.headers[i].Hdr.Name = &o.names[i][0]
	o.headers[i].Hdr.Namelen = length
	o.headers[i].Hdr.Iov = &o.iovecs[i]
	o.headers[i].Hdr.SetIovlen(1)
	o.count++

	return true
}

// Flush sends all datagrams in the outbox, in order for each socket. It returns
// the number of datagrams that could not be sent since the last call.
func (o *Outbox) Flush() int {
	for first := 0; first < o.count; first++ {
		if socket := o.sockets[first]; socket != nil {
			o.send(socket, o.collect(socket, first))
		}
	}

	failed := o.failed
	o.count, o.failed, o.current, o.pending = 0, 0, nil, nil

	return failed
}

// collect removes the datagrams of a socket from the outbox. It copies their
// headers only if datagrams of other sockets are in between.
func (o *Outbox) collect(socket *Socket, first int) []unix.Mmsghdr {
	end := first
	for end < o.count && o.sockets[end] == socket {
		o.sockets[end] = nil
		end++
	}

	next := end
	for next < o.count && o.sockets[next] != socket {
		next++
	}

	if next == o.count {
		return o.headers[first:end]
	}

	o.group = append(o.group[:0], o.headers[first:end]...)

	for i := next; i < o.count; i++ {
		if o.sockets[i] == socket {
			o.group = append(o.group, o.headers[i])
			o.sockets[i] = nil
		}
	}

	return o.group
}

func (o *Outbox) send(socket *Socket, headers []unix.Mmsghdr) {
	o.current, o.pending, o.attempts = socket, headers, 0

	// Write fails only if the socket is closed.
	if err := socket.raw.Write(o.write); err != nil {
		o.failed += len(o.pending)
	}
}

// writePending sends all pending datagrams. It returns false to wait until the
// socket is writable.
func (o *Outbox) writePending(fd uintptr) bool {
	for len(o.pending) > 0 {
		n, errno := sendBatch(fd, o.pending)
		o.pending = o.pending[n:]

		if errno == 0 {
			o.attempts = 0

			// If sendmmsg sends fewer datagrams, it has consumed the error
			// that stopped it.
			if len(o.pending) > 0 {
				o.current.errorQueue.drain(fd)
			}

			continue
		}

		if errno == unix.EAGAIN {
			return false
		}

		o.handleSendError(fd, errno)
	}

	return true
}

// handleSendError handles an error of the first pending datagram. The error may
// belong to an earlier one, so the datagram is retried before it is dropped.
func (o *Outbox) handleSendError(fd uintptr, errno syscall.Errno) {
	if isDestinationError(errno) {
		o.current.errorQueue.drain(fd)
	}

	o.attempts++

	if o.attempts == maxSendAttempts {
		o.pending = o.pending[1:]
		o.failed++
		o.attempts = 0
	}
}
