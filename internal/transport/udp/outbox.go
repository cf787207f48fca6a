package udp

import (
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxTries bounds the tries to send one datagram. Each refusal of an earlier
// datagram that arrives in between costs one.
const maxTries = 4

// Outbox collects datagrams for any number of sockets and sends those of each
// socket together. It belongs to one goroutine.
type Outbox struct {
	count   int
	sockets []*Socket
	headers []unix.Mmsghdr
	iovecs  []unix.Iovec
	names   []sockaddr
	group   []unix.Mmsghdr // the datagrams of one socket, contiguous

	pending []unix.Mmsghdr
	current *Socket
	failed  int
	tries   int // of the first pending datagram
	write   func(uintptr) bool
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
	outbox.write = outbox.writeSome

	return outbox
}

// Len returns the number of datagrams that wait for Flush.
func (o *Outbox) Len() int { return o.count }

// Add puts a datagram into the outbox, which flushes when it is full. The
// bytes must not change before Flush. It reports false if the datagram is
// empty or the socket cannot send to the family of the address.
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

// Flush sends everything in the outbox, in order for each socket. It returns
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

// collect takes the datagrams of a socket out of the outbox. It copies their
// headers only if other sockets have datagrams among them.
func (o *Outbox) collect(socket *Socket, first int) []unix.Mmsghdr {
	last := first
	for last < o.count && o.sockets[last] == socket {
		o.sockets[last] = nil
		last++
	}

	rest := last
	for rest < o.count && o.sockets[rest] != socket {
		rest++
	}

	if rest == o.count {
		return o.headers[first:last]
	}

	o.group = append(o.group[:0], o.headers[first:last]...)

	for i := rest; i < o.count; i++ {
		if o.sockets[i] == socket {
			o.group = append(o.group, o.headers[i])
			o.sockets[i] = nil
		}
	}

	return o.group
}

func (o *Outbox) send(socket *Socket, headers []unix.Mmsghdr) {
	o.current, o.pending, o.tries = socket, headers, 0

	// The only errors are those of a closed socket.
	if err := socket.raw.Write(o.write); err != nil {
		o.failed += len(o.pending)
	}
}

// writeSome sends until nothing is pending. It reports false to wait until the
// socket is writable.
func (o *Outbox) writeSome(fd uintptr) bool {
	for len(o.pending) > 0 {
		n, errno := sendBatch(fd, o.pending)
		o.pending = o.pending[n:]

		if errno == 0 {
			o.tries = 0

			// A short count hides an error that the system call consumed.
			if len(o.pending) > 0 {
				o.current.refused.drain(fd)
			}

			continue
		}

		if errno == unix.EAGAIN {
			return false
		}

		o.recover(fd, errno)
	}

	return true
}

// recover handles an error of the first pending datagram. The error may belong
// to an earlier one, so the datagram is tried again before it is dropped.
func (o *Outbox) recover(fd uintptr, errno syscall.Errno) {
	if unreachable(errno) {
		o.current.refused.drain(fd)
	}

	o.tries++

	if o.tries == maxTries {
		o.pending = o.pending[1:]
		o.failed++
		o.tries = 0
	}
}
