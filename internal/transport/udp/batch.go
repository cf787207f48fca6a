package udp

import (
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// BatchConfig configures the batches of a pool.
type BatchConfig struct {
	Size     int // datagrams in a batch
	Length   int // maximum length of a datagram, in bytes
	Headroom int // bytes reserved in front of each datagram, for a header
}

// Pool is a fixed set of batches that sockets share, so that memory does not
// grow with the number of idle sockets. It is safe for concurrent use.
type Pool struct {
	free chan *Batch
}

// NewPool returns a pool of count batches. If the pool is empty, a socket waits
// for a batch while datagrams queue in its receive buffer.
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
func (b *Batch) Payload(i int) []byte { return b.WithHeadroom(i)[b.config.Headroom:] }

// WithHeadroom returns the i-th datagram with the headroom in front of it. Its
// capacity ends with its slot, so appending cannot reach another datagram.
func (b *Batch) WithHeadroom(i int) []byte {
	slot := b.slot(i)

	return slot[: b.config.Headroom+int(b.headers[i].Len) : len(slot)]
}

// Source returns the sender of the i-th datagram.
func (b *Batch) Source(i int) netip.AddrPort { return b.names[i].decode() }

// Truncated reports whether the i-th datagram was longer than the slot.
func (b *Batch) Truncated(i int) bool { return b.headers[i].Hdr.Flags&unix.MSG_TRUNC != 0 }

// receiver receives batches for one goroutine. It stores the method value
// readOnce, because creating one for each call would allocate.
type receiver struct {
	socket *Socket
	pool   *Pool
	batch  *Batch
	errno  syscall.Errno
	waited bool
	read   func(uintptr) bool
}

func newReceiver(socket *Socket, pool *Pool) *receiver {
	receiver := &receiver{socket: socket, pool: pool}
	receiver.read = receiver.readOnce

	return receiver
}

// receive waits for at least one datagram and returns a batch of those available.
func (r *receiver) receive() (*Batch, error) {
	r.batch, r.errno, r.waited = nil, 0, false

	if err := r.socket.raw.Read(r.read); err != nil {
		return nil, err
	}

	if r.errno != 0 {
		return nil, os.NewSyscallError("recvmmsg", r.errno)
	}

	return r.batch, nil
}

// readOnce receives one batch. It returns false to wait until the socket is
// readable, and holds no batch of the pool while it waits.
func (r *receiver) readOnce(fd uintptr) bool {
	batch := r.pool.get()

	for {
		n, errno := receiveBatch(fd, batch.headers)
		if errno == 0 {
			batch.count = n
			r.batch = batch

			return true
		}

		if isDestinationError(errno) {
			r.socket.errorQueue.drain(fd)

			continue
		}

		r.pool.put(batch)

		if errno != unix.EAGAIN {
			r.errno = errno

			return true
		}

		// A wake-up without a datagram can be caused by an entry in the error
		// queue, if a sender has already consumed the socket's pending error.
		if r.waited {
			r.socket.errorQueue.drain(fd)
		}

		r.waited = true

		return false
	}
}

// isDestinationError reports whether an error concerns the destination of an
// earlier datagram and not the socket.
func isDestinationError(errno syscall.Errno) bool {
	switch errno {
	case unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EHOSTDOWN, unix.ENETDOWN,
		unix.EMSGSIZE, unix.EPROTO, unix.ENOPROTOOPT, unix.EACCES, unix.EOPNOTSUPP:
		return true
	default:
		return false
	}
}
