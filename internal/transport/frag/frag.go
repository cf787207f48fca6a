// Package frag carries messages between processes over UDP. A message that
// does not fit into one datagram is sent in fragments. Messages may be lost,
// repeated or reordered; the protocols above tolerate that, so there is no
// connection whose silence would have to be noticed.
//
// # Usage
//
//	conn, err := frag.Listen(address, logger)
//	go conn.Serve(func(from netip.AddrPort, message []byte) { ... })
//	conn.Send(destination, message)
//
// The message passed to the handler is valid until the handler returns. There
// is no encryption: the network between the instances has to be private.
package frag

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/transport/socket"
)

const (
	// MaxMessageBytes bounds a message, and so what a sender can make a
	// receiver store.
	MaxMessageBytes = maxFragments * fragmentBytes

	// fragmentBytes is the payload of a datagram. With the headers it stays
	// below the 1,280 bytes that every IP network carries unfragmented.
	fragmentBytes = 1200

	maxFragments = 1024

	// maxPartial bounds the messages of which only a part has arrived.
	maxPartial = 64

	// partialLifetime is several round trips between regions; later fragments
	// belong to a message that its sender has given up.
	partialLifetime = 2 * time.Second

	// The first byte of a datagram.
	whole    = 0
	fragment = 1

	// kind, message ID, fragment number, number of fragments.
	fragmentHeader = 1 + 4 + 2 + 2
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen   Kind = "listen"    // the address cannot be opened
	KindTooLarge Kind = "too large" // the message exceeds MaxMessageBytes
	KindSend     Kind = "send"      // the system refused a datagram
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("frag", operation, kind, err)
}

// Handler handles a message from another process.
type Handler func(from netip.AddrPort, message []byte)

// Conn sends and receives messages. Send is safe for concurrent use.
type Conn struct {
	socket  *socket.Socket
	nextID  atomic.Uint32
	dropped atomic.Uint64
	buffers sync.Pool

	partial map[partialKey]*partial // used by Serve only
}

// buffer holds one datagram that is sent.
type buffer [fragmentHeader + fragmentBytes]byte

type partialKey struct {
	from netip.AddrPort
	id   uint32
}

type partial struct {
	parts   [][]byte
	missing int
	size    int
	begun   time.Time
}

// Listen opens a UDP address.
func Listen(address netip.AddrPort, logger *slog.Logger) (*Conn, error) {
	opened, err := socket.Listen(address, logger)
	if err != nil {
		return nil, newError("listen", KindListen, err)
	}

	return &Conn{
		socket: opened, partial: make(map[partialKey]*partial),
		buffers: sync.Pool{New: func() any { return new(buffer) }},
	}, nil
}

// Address returns the local address.
func (c *Conn) Address() netip.AddrPort { return c.socket.Address() }

// Dropped returns the number of datagrams that were no part of a message.
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
	case len(datagram) > 1 && datagram[0] == whole:
		return datagram[1:]
	case len(datagram) > fragmentHeader && datagram[0] == fragment:
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

	known := c.partial[key]
	if known == nil && count <= maxFragments {
		c.expire()

		known = &partial{parts: make([][]byte, count), missing: count, begun: time.Now()}
		c.partial[key] = known
	}

	if known == nil || count != len(known.parts) || number >= count || len(data) > fragmentBytes {
		c.dropped.Add(1)

		return nil
	}

	if known.parts[number] != nil {
		return nil
	}

	known.parts[number] = append(make([]byte, 0, len(data)), data...)
	known.missing--
	known.size += len(data)

	if known.missing > 0 {
		return nil
	}

	delete(c.partial, key)

	message := make([]byte, 0, known.size)
	for _, part := range known.parts {
		message = append(message, part...)
	}

	return message
}

// expire makes room for one more partial message.
func (c *Conn) expire() {
	now := time.Now()

	var (
		oldest partialKey
		begun  time.Time
	)

	for key, known := range c.partial {
		if now.Sub(known.begun) > partialLifetime {
			delete(c.partial, key)

			continue
		}

		if begun.IsZero() || known.begun.Before(begun) {
			oldest, begun = key, known.begun
		}
	}

	if len(c.partial) >= maxPartial {
		delete(c.partial, oldest)
	}
}

// Send sends a message. An error means that the message did not leave; that it
// left does not mean that it arrives.
func (c *Conn) Send(to netip.AddrPort, message []byte) error {
	if len(message) > MaxMessageBytes {
		return newError("send", KindTooLarge, fmt.Errorf("%d bytes, at most %d are allowed", len(message), MaxMessageBytes))
	}

	datagram := c.buffers.Get().(*buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer c.buffers.Put(datagram)

	if len(message) <= fragmentBytes {
		return c.write(to, append(append(datagram[:0], whole), message...))
	}

	id := c.nextID.Add(1)
	count := (len(message) + fragmentBytes - 1) / fragmentBytes

	for number := range count {
		part := append(datagram[:0], fragment) //nolint:gocritic // the buffer is used again
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
