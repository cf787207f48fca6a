// Package frag sends messages between processes over UDP. A message that does
// not fit into one datagram is sent in fragments. Messages may be lost,
// duplicated or reordered; the protocols above tolerate that, so there are no
// connections that would have to be checked for liveness.
//
// # Usage
//
//	conn, err := frag.Listen(address, logger)
//	go conn.Serve(func(from netip.AddrPort, message []byte) { ... })
//	conn.Send(destination, message)
//
// The message passed to the handler is valid until the handler returns. There
// is no encryption, so the network between the instances has to be private.
package frag

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/transport/socket"
)

const (
	// MaxMessageBytes is the maximum size of a message. It limits the memory
	// that a sender can make a receiver allocate for one message.
	MaxMessageBytes = maxFragments * fragmentBytes

	// fragmentBytes is the maximum payload of a datagram. With the headers it
	// stays below 1,280 bytes, the size that every IP network carries
	// unfragmented.
	fragmentBytes = 1200

	maxFragments = 1024

	// maxPartialMessages limits the messages that wait for missing fragments.
	maxPartialMessages = 64

	// partialTimeout is several round trips between regions. By then, the
	// protocols above have given up the message.
	partialTimeout = 2 * time.Second

	// The types of datagrams, in the first byte.
	typeWhole    = 0
	typeFragment = 1

	// Type, message ID, fragment number, number of fragments.
	fragmentHeaderBytes = 1 + 4 + 2 + 2
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen   Kind = "listen"    // the socket cannot be opened
	KindTooLarge Kind = "too large" // the message exceeds MaxMessageBytes
	KindSend     Kind = "send"      // the system call for a datagram failed
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("frag", operation, kind, err)
}

// Handler handles a message that another process sent. The message is valid until the
// handler returns.
type Handler func(from netip.AddrPort, message []byte)

// Conn sends and receives messages. Send is safe for concurrent use.
type Conn struct {
	socket  *socket.Socket
	nextID  atomic.Uint32
	dropped atomic.Uint64
	buffers sync.Pool

	partials map[partialKey]*partialMessage // used by Serve only
}

// buffer holds one outgoing datagram.
type buffer [fragmentHeaderBytes + fragmentBytes]byte

type partialKey struct {
	from netip.AddrPort
	id   uint32
}

type partialMessage struct {
	parts     [][]byte
	missing   int
	size      int
	startedAt time.Time
}

// Listen opens a socket on a UDP address.
func Listen(address netip.AddrPort, logger *slog.Logger) (*Conn, error) {
	opened, err := socket.Listen(address, logger)
	if err != nil {
		return nil, newError("listen", KindListen, err)
	}

	c := &Conn{
		socket: opened, partials: make(map[partialKey]*partialMessage),
		buffers: sync.Pool{New: func() any { return new(buffer) }},
	}

	// A receiver may still hold fragments of a message from an earlier start of this
	// process, and must not mix them with those of a new message.
	c.nextID.Store(rand.Uint32())

	return c, nil
}

// Address returns the local address.
func (c *Conn) Address() netip.AddrPort { return c.socket.Address() }

// Dropped returns the number of received datagrams that do not belong to a valid
// message.
func (c *Conn) Dropped() uint64 { return c.dropped.Load() }

// Close ends Serve.
func (c *Conn) Close() error { return c.socket.Close() }

// Serve calls the handler with every message until the connection is closed.
func (c *Conn) Serve(handle Handler) {
	c.socket.Serve(func(from netip.AddrPort, datagram []byte) {
		if message := c.receive(from, datagram); message != nil {
			handle(from, message)
		}
	})
}

// receive returns the message that a datagram completes, or nil.
func (c *Conn) receive(from netip.AddrPort, datagram []byte) []byte {
	switch {
	case len(datagram) > 1 && datagram[0] == typeWhole:
		return datagram[1:]
	case len(datagram) > fragmentHeaderBytes && datagram[0] == typeFragment:
		return c.assemble(from, datagram[1:])
	default:
		c.dropped.Add(1)

		return nil
	}
}

func (c *Conn) assemble(from netip.AddrPort, datagram []byte) []byte {
	key := partialKey{from: from, id: binary.LittleEndian.Uint32(datagram)}
	number := int(binary.LittleEndian.Uint16(datagram[4:]))
	count := int(binary.LittleEndian.Uint16(datagram[6:]))
	data := datagram[8:]

	if count > maxFragments || number >= count || len(data) > fragmentBytes {
		c.dropped.Add(1)

		return nil
	}

	pending := c.partials[key]
	if pending == nil || time.Since(pending.startedAt) > partialTimeout {
		c.evictPartials()

		pending = &partialMessage{parts: make([][]byte, count), missing: count, startedAt: time.Now()}
		c.partials[key] = pending
	}

	if count != len(pending.parts) {
		c.dropped.Add(1)

		return nil
	}

	if pending.parts[number] != nil {
		return nil
	}

	pending.parts[number] = append(make([]byte, 0, len(data)), data...)
	pending.missing--
	pending.size += len(data)

	if pending.missing > 0 {
		return nil
	}

	delete(c.partials, key)

	message := make([]byte, 0, pending.size)
	for _, part := range pending.parts {
		message = append(message, part...)
	}

	return message
}

// evictPartials makes room for one more partial message. It deletes those that
// have timed out, and the oldest if there are still too many.
func (c *Conn) evictPartials() {
	now := time.Now()

	var (
		oldestKey   partialKey
		oldestStart time.Time
	)

	for key, pending := range c.partials {
		if now.Sub(pending.startedAt) > partialTimeout {
			delete(c.partials, key)

			continue
		}

		if oldestStart.IsZero() || pending.startedAt.Before(oldestStart) {
			oldestKey, oldestStart = key, pending.startedAt
		}
	}

	if len(c.partials) >= maxPartialMessages {
		delete(c.partials, oldestKey)
	}
}

// Send sends a message. An error means that it was not sent completely. Without
// an error it may still be lost.
func (c *Conn) Send(to netip.AddrPort, message []byte) error {
	if len(message) > MaxMessageBytes {
		return newError("send", KindTooLarge, fmt.Errorf("%d bytes, at most %d are allowed", len(message), MaxMessageBytes))
	}

	datagram := c.buffers.Get().(*buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer c.buffers.Put(datagram)

	if len(message) <= fragmentBytes {
		return c.write(to, append(append(datagram[:0], typeWhole), message...))
	}

	id := c.nextID.Add(1)
	count := (len(message) + fragmentBytes - 1) / fragmentBytes

	for number := range count {
		part := append(datagram[:0], typeFragment) //nolint:gocritic // the buffer is reused
		part = binary.LittleEndian.AppendUint32(part, id)
		part = binary.LittleEndian.AppendUint16(part, uint16(number))
		part = binary.LittleEndian.AppendUint16(part, uint16(count))
		part = append(part, message[number*fragmentBytes:min((number+1)*fragmentBytes, len(message))]...)

		if err := c.write(to, part); err != nil {
			return err
		}
	}

	return nil
}

func (c *Conn) write(to netip.AddrPort, datagram []byte) error {
	if err := c.socket.Send(datagram, to); err != nil {
		return newError("send", KindSend, err)
	}

	return nil
}
