// Package connid generates and decodes the QUIC connection IDs that agents
// choose. Such an ID encodes its service and agent, so a balancer forwards a
// packet of an established flow without a lookup table, and a change of its
// tables cannot move the flow to another agent.
//
// # Usage
//
// An agent passes a generator to quic-go:
//
//	transport := &quic.Transport{Conn: conn, ConnectionIDGenerator: connid.NewGenerator(keys, service, incarnation)}
//
// A balancer reads the destination connection ID of each packet and opens it:
//
//	packet := connid.Parse(payload)
//	incarnation, ok := keys.Open(&scratch, packet.DCID, service)
//
// An ID consists of a marker byte (format and key ID) and one AES-128 block
// that holds the service, the incarnation, a nonce and 4 zero bytes as an
// integrity check. A forged block passes the check and matches a given service
// with a probability of 1 in 2^48.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"jayspindle/internal/protocol/keyring"
	"jayspindle/internal/state/view"
)

// Length is the length of a connection ID chosen by an agent, in bytes.
const Length = 1 + aes.BlockSize

const (
	offsetService     = 0
	offsetIncarnation = 2
	offsetNonce       = 6 // 6 bytes
	offsetCheck       = 12
	nonceMask         = 1<<48 - 1
)

// Scratch is the decryption buffer for Open, one for each goroutine. A local
// array would be allocated on the heap for each call through the cipher's
// interface.
type Scratch [aes.BlockSize]byte

// Keys seals connection IDs with the predecessor of the newest fabric key (see
// keyring) and opens them with every key of the view, so that an ID is valid
// for as long as the catalog keeps its key. It is immutable and safe for
// concurrent use.
type Keys struct {
	ring *keyring.Ring[cipher.Block]
}

// New returns the keys derived from the fabric keys, which are newest first.
// It fails with a *keyring.Error.
func New(keys []view.Key) (*Keys, error) {
	ring, err := keyring.New(keys, 0, func(key view.Key) (cipher.Block, error) {
		return aes.NewCipher(keyring.Derive(key, keyring.ConnectionID, aes.BlockSize))
	})
	if err != nil {
		return nil, err
	}

	return &Keys{ring: ring}, nil
}

// Seal writes a connection ID to the first Length bytes of buffer. Only the
// low 48 bits of the nonce are used.
func (k *Keys) Seal(buffer []byte, service view.ServiceID, incarnation view.Incarnation, nonce uint64) {
	marker, block := k.ring.Sealing()
	buffer = buffer[:Length]
	buffer[0] = marker

	plain := buffer[1:]
	binary.BigEndian.PutUint64(plain[offsetNonce-2:], nonce&nonceMask)
	binary.BigEndian.PutUint16(plain[offsetService:], uint16(service))
	binary.BigEndian.PutUint32(plain[offsetIncarnation:], uint32(incarnation))
	binary.BigEndian.PutUint32(plain[offsetCheck:], 0)
	(*block).Encrypt(plain, plain)
}

// Open decodes the incarnation of a connection ID. It reports false unless the
// ID is authentic and belongs to the given service.
func (k *Keys) Open(scratch *Scratch, dcid []byte, service view.ServiceID) (view.Incarnation, bool) {
	if len(dcid) != Length {
		return 0, false
	}

	block := k.ring.Find(dcid[0])
	if block == nil {
		return 0, false
	}

	(*block).Decrypt(scratch[:], dcid[1:])

	check := binary.BigEndian.Uint32(scratch[offsetCheck:])
	serviceID := view.ServiceID(binary.BigEndian.Uint16(scratch[offsetService:]))

	if check != 0 || serviceID != service {
		return 0, false
	}

	return view.Incarnation(binary.BigEndian.Uint32(scratch[offsetIncarnation:])), true
}

// Generator generates the connection IDs of one agent. It satisfies
// quic.ConnectionIDGenerator and is safe for concurrent use.
type Generator struct {
	keys        atomic.Pointer[Keys]
	service     view.ServiceID
	incarnation view.Incarnation
	nonce       atomic.Uint64
}

var _ quic.ConnectionIDGenerator = (*Generator)(nil)

// NewGenerator returns a generator for an agent. The nonce is a counter with a
// random initial value, so no ID repeats within an incarnation; encryption hides
// the counter.
func NewGenerator(keys *Keys, service view.ServiceID, incarnation view.Incarnation) *Generator {
	generator := &Generator{service: service, incarnation: incarnation}
	generator.keys.Store(keys)
	generator.nonce.Store(rand.Uint64())

	return generator
}

// SetKeys sets the keys that seal all further connection IDs.
func (g *Generator) SetKeys(keys *Keys) { g.keys.Store(keys) }

// GenerateConnectionID returns the next connection ID. It never fails.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	var buffer [Length]byte

	g.keys.Load().Seal(buffer[:], g.service, g.incarnation, g.nonce.Add(1))

	return quic.ConnectionIDFromBytes(buffer[:]), nil
}

// ConnectionIDLen returns Length.
func (g *Generator) ConnectionIDLen() int { return Length }
