package udp

import (
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// BatchConfig is the shape of the batches of a pool.
type BatchConfig struct {
	Size     int // datagrams in a batch
	Length   int // longest datagram, in bytes
	Headroom int // bytes kept free in front of each datagram, for a header
}

// Pool is a fixed set of batches that sockets share, so that memory does not
// grow with the number of idle sockets. It is safe for concurrent use.
type Pool struct {
	free chan *Batch
}

// NewPool returns a pool of count batches. A socket that finds the pool empty
// waits for a batch, and datagrams wait in the buffer of the socket.
func NewPool(count int, config BatchConfig) *Pool {
	pool := &Pool{free: make(chan *Batch, count)}
	for range count {
		pool.free <- newBatch(config)
	}

	return pool
}

func (p *Pool) get() *Batch      { return <-p.free }
func (p *Pool) put(batch *Batch) { p.free <- batch }

// Batch holds received datagrams. It belongs to one goroutine at a time.
type Batch struct {
	config  BatchConfig
	count   int
	memory  []byte
	headers []unix.Mmsghdr
	iovecs  []unix.Iovec
	names   []sockaddr
}

func newBatch(config BatchConfig) *Batch {
	batch := &Batch{
		config:  config,
		memory:  make([]byte, config.Size*(config.Headroom+config.Length)),
		headers: make([]unix.Mmsghdr, config.Size),
		iovecs:  make([]unix.Iovec, config.Size),
		names:   make([]sockaddr, config.Size),
	}

	for i := range batch.headers {
		batch.iovecs[i].Base = &batch.slot(i)[config.Headroom]
		batch.iovecs[i].SetLen(config.Length)
		batch.headers[i].Hdr.Name = &batch.names[i][0]
		batch.headers[i].Hdr.Namelen = uint32(len(batch.names[i]))
		batch.headers[i].Hdr.Iov = &batch.iovecs[i]
		batch.headers[i].Hdr.SetIovlen(1)
	}

	return batch
}

func (b *Batch) slot(i int) []byte {
	length := b.config.Headroom + b.config.Length

	return b.memory[i*length : (i+1)*length]
}

// Len returns the number of received datagrams.
func (b *Batch) Len() int { return b.count }

// Payload returns the i-th datagram.
func (b *Batch) Payload(i int) []byte { return b.Framed(i)[b.config.Headroom:] }

// Framed returns the i-th datagram with the headroom in front of it. Its
// capacity ends with its slot, so appending cannot reach another datagram.
func (b *Batch) Framed(i int) []byte {
	slot := b.slot(i)

	return slot[: b.config.Headroom+int(b.headers[i].Len) : len(slot)]
}

// Source returns the sender of the i-th datagram.
func (b *Batch) Source(i int) netip.AddrPort { return b.names[i].decode() }

// Truncated reports whether the i-th datagram was longer than the slot.
func (b *Batch) Truncated(i int) bool { return b.headers[i].Hdr.Flags&unix.MSG_TRUNC != 0 }

// receiver receives batches for one goroutine. The bound method is kept, since
// binding it for each call would allocate.
type receiver struct {
	socket *Socket
	pool   *Pool
	batch  *Batch
	errno  syscall.Errno
	woken  bool
	read   func(uintptr) bool
}

func newReceiver(socket *Socket, pool *Pool) *receiver {
	receiver := &receiver{socket: socket, pool: pool}
	receiver.read = receiver.readOnce

	return receiver
}

// receive waits for at least one datagram.
func (r *receiver) receive() (*Batch, error) {
	r.batch, r.errno, r.woken = nil, 0, false

	if err := r.socket.raw.Read(r.read); err != nil {
		return nil, err
	}

	if r.errno != 0 {
		return nil, os.NewSyscallError("recvmmsg", r.errno)
	}

	return r.batch, nil
}

// readOnce takes a batch only while it reads. It reports false to wait until
// the socket is readable.
func (r *receiver) readOnce(fd uintptr) bool {
	batch := r.pool.get()

	for {
		n, errno := receiveBatch(fd, batch.headers)
		if errno == 0 {
			batch.count = n
			r.batch = batch

			return true
		}

		if unreachable(errno) {
			r.socket.refused.drain(fd)

			continue
		}

		r.pool.put(batch)

		if errno != unix.EAGAIN {
			r.errno = errno

			return true
		}

		// A wake-up without a datagram can be an entry in the error queue
		// whose pending error a sender has consumed.
		if r.woken {
			r.socket.refused.drain(fd)
		}

		r.woken = true

		return false
	}
}

// unreachable reports whether the error concerns an earlier datagram to some
// destination and not the socket.
func unreachable(errno syscall.Errno) bool {
	switch errno {
	case unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EHOSTDOWN, unix.ENETDOWN,
		unix.EMSGSIZE, unix.EPROTO, unix.ENOPROTOOPT, unix.EACCES, unix.EOPNOTSUPP:
		return true
	default:
		return false
	}
}
