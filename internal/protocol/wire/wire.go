// Package wire defines the messages between the processes of pass-through
// services. An entry instance is one that receives the packets of clients and forwards
// them to agents. The first byte of a message is its Kind. Messages about single flows
// have a fixed binary layout, because one is sent for each new flow; all others
// are CBOR.
//
// # Usage
//
//	message := wire.Accepted{Key: key, Load: load}.Append(buffer[:0])
//	kind, body, ok := wire.Split(message)
//	accepted, err := wire.ParseAccepted(body)
//
//	message, err = wire.Encode(wire.KindPoll, wire.Poll{...})
//	poll, err := wire.Decode[wire.Poll](body)
package wire

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	KindReplicate    Kind = iota + 1 // a Raft message, between controllers
	KindPoll                         // Poll, to a controller
	KindPollReply                    // PollReply
	KindFetch                        // Fetch, to a controller
	KindDocument                     // an encoded route.Document
	KindJoin                         // Join, to a controller
	KindJoinReply                    // JoinReply
	KindPollNow                      // no body: asks the receiver to poll now
	KindAccepted                     // Accepted, to an entry instance
	KindReturned                     // Returned, to an entry instance
	KindLocate                       // Locate, to an agent
	KindLocated                      // Located, to an entry instance
	KindFound                        // Found, to an entry instance
	KindCheckpoint                   // a checkpoint.Batch, to a controller
	KindCheckpointed                 // a checkpoint.Acknowledgement, to an agent
	KindRestore                      // Restore, to a controller
	KindRestoreReply                 // the checkpoint batches of the agent, concatenated
	KindDeclined                     // Declined, to an entry instance
	KindPointer                      // Pointer, between entry instances and agents
	KindLeave                        // Leave, to a controller
	KindLeaveReply                   // no body: the sender of a Leave can stop
)

// ErrorKind classifies an Error.
type ErrorKind string

// KindMalformed is the kind of all errors: the message cannot be encoded or
// decoded.
const KindMalformed ErrorKind = "malformed"

// Error is the error type of this package.
type Error = failure.Error[ErrorKind]

func newError(operation string, err error) *Error {
	return failure.New("wire", operation, KindMalformed, err)
}

// Split returns the kind and the body of a message. It reports false if the
// message is empty.
func Split(message []byte) (kind Kind, body []byte, ok bool) {
	if len(message) == 0 {
		return 0, nil, false
	}

	return Kind(message[0]), message[1:], true
}

// Encode returns a message with a CBOR body.
func Encode[T any](kind Kind, body T) ([]byte, error) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return nil, newError("encode", err)
	}

	return append([]byte{byte(kind)}, encoded...), nil
}

// Decode decodes a CBOR body.
func Decode[T any](body []byte) (T, error) {
	var decoded T
	if err := cbor.Unmarshal(body, &decoded); err != nil {
		return decoded, newError("decode", err)
	}

	return decoded, nil
}

// Poll reports the state of an instance to a controller, several times a second.
type Poll struct {
	Boot        uint64         `cbor:"1,keyasint"` // random for each start of the sender
	Sequence    uint64         `cbor:"2,keyasint"` // increases with each poll
	Version     uint64         `cbor:"3,keyasint"` // of the document that the sender has
	Agent       *roster.Record `cbor:"4,keyasint,omitempty"`
	WantsAgents bool           `cbor:"5,keyasint,omitempty"` // the sender wants the list of agents
	Epoch       uint64         `cbor:"6,keyasint,omitempty"` // of the list that the sender has
	Position    uint64         `cbor:"7,keyasint,omitempty"` // of the list that the sender has
	// OnlyIfNewer asks for a reply only if the controller has a newer document. It is
	// set if the sender follows another controller.
	OnlyIfNewer bool `cbor:"8,keyasint,omitempty"`
}

// PollReply answers a Poll.
type PollReply struct {
	Sequence    uint64          `cbor:"1,keyasint"`
	Version     uint64          `cbor:"2,keyasint"` // of the newest document that the controller has
	Controllers []flow.Endpoint `cbor:"3,keyasint"` // all controllers of the group
	// Ready reports whether the controller is in contact with the group and its
	// document and list are complete.
	Ready    bool            `cbor:"4,keyasint,omitempty"`
	Epoch    uint64          `cbor:"5,keyasint,omitempty"`
	Position uint64          `cbor:"6,keyasint,omitempty"`
	Complete bool            `cbor:"7,keyasint,omitempty"` // Agents is the complete list, not only the changes
	Agents   []roster.Record `cbor:"8,keyasint,omitempty"`
	// Predecessor answers agents only.
	Predecessor *roster.Predecessor `cbor:"9,keyasint,omitempty"`
}

// Fetch asks a controller for its newest document, if it is newer than Above.
type Fetch struct {
	Above uint64 `cbor:"1,keyasint"` // the version that the sender has
}

// Join asks a controller to add the sender to the group.
type Join struct {
	Replica uint64 `cbor:"1,keyasint"`
}

// JoinReply tells the sender of a Join about the group.
type JoinReply struct {
	Cluster     uint64          `cbor:"1,keyasint"` // 0 if the reply only lists the controllers
	Generation  uint64          `cbor:"2,keyasint"`
	Controllers []flow.Endpoint `cbor:"3,keyasint"`
}

// Leave tells a controller that the sender stops, perhaps for good.
type Leave struct {
	Replica uint64 `cbor:"1,keyasint"`
}

const (
	loadBytes = 5
	idBytes   = 4
)

func appendLoad(buffer []byte, load roster.Load) []byte {
	buffer = binary.LittleEndian.AppendUint16(buffer, load.Flows)

	buffer = binary.LittleEndian.AppendUint16(buffer, load.Waiting)

	if load.Failing {
		return append(buffer, 1)
	}

	return append(buffer, 0)
}

func parseLoad(body []byte) roster.Load {
	return roster.Load{
		Flows: binary.LittleEndian.Uint16(body), Waiting: binary.LittleEndian.Uint16(body[2:]), Failing: body[4] != 0,
	}
}

func checkLength(operation string, body []byte, length int) error {
	if len(body) < length {
		return newError(operation, fmt.Errorf("%d bytes, at least %d are needed", len(body), length))
	}

	return nil
}

// Accepted reports that the sender's backend server accepted a flow.
type Accepted struct {
	Key  flow.Key
	Load roster.Load
}

// Append appends the message to the buffer.
func (a Accepted) Append(buffer []byte) []byte {
	return appendLoad(a.Key.Append(append(buffer, byte(KindAccepted))), a.Load)
}

// ParseAccepted reads the body of an Accepted.
func ParseAccepted(body []byte) (Accepted, error) {
	if err := checkLength("parse accepted", body, flow.KeyBytes+loadBytes); err != nil {
		return Accepted{}, err
	}

	return Accepted{Key: flow.ParseKey(body), Load: parseLoad(body[flow.KeyBytes:])}, nil
}

// Returned hands a packet that the sender cannot deliver back to the entry
// instance. Packet is as the client sent it.
type Returned struct {
	Load   roster.Load
	Packet []byte
}

// Append appends the message to the buffer.
func (r Returned) Append(buffer []byte) []byte {
	return append(appendLoad(append(buffer, byte(KindReturned)), r.Load), r.Packet...)
}

// ParseReturned reads the body of a Returned. The packet aliases the body.
func ParseReturned(body []byte) (Returned, error) {
	if err := checkLength("parse returned", body, loadBytes); err != nil {
		return Returned{}, err
	}

	return Returned{Load: parseLoad(body), Packet: body[loadBytes:]}, nil
}

// Declined hands back a declinable packet, because all slots of the sender's backend
// server are taken.
type Declined struct{ Returned }

// Append appends the message to the buffer.
func (d Declined) Append(buffer []byte) []byte {
	start := len(buffer)
	buffer = d.Returned.Append(buffer)
	buffer[start] = byte(KindDeclined)

	return buffer
}

// Found reports that the sender's backend server holds a flow for which the sender
// answered Unsure to an earlier Locate.
type Found struct{ Key flow.Key }

// Append appends the message to the buffer.
func (f Found) Append(buffer []byte) []byte {
	return f.Key.Append(append(buffer, byte(KindFound)))
}

// ParseFound reads the body of a Found.
func ParseFound(body []byte) (Found, error) {
	if err := checkLength("parse found", body, flow.KeyBytes); err != nil {
		return Found{}, err
	}

	return Found{Key: flow.ParseKey(body)}, nil
}

// Pointer tells which agent holds a flow: an entry instance leaves it with another
// agent, which returns it before its Located.
type Pointer struct {
	Key    flow.Key
	Holder flow.Endpoint
}

// Append appends the message to the buffer.
func (p Pointer) Append(buffer []byte) []byte {
	return p.Holder.Append(p.Key.Append(append(buffer, byte(KindPointer))))
}

// ParsePointer reads the body of a Pointer.
func ParsePointer(body []byte) (Pointer, error) {
	if err := checkLength("parse pointer", body, flow.KeyBytes+flow.EndpointBytes); err != nil {
		return Pointer{}, err
	}

	return Pointer{Key: flow.ParseKey(body), Holder: flow.ParseEndpoint(body[flow.KeyBytes:])}, nil
}

// Restore asks a controller for the checkpointed flows that the sender had before
// it restarted.
type Restore struct {
	Agent flow.Endpoint `cbor:"1,keyasint"` // address at which the sender receives the packets of clients
}

// Locate asks an agent which of the flows its backend server holds.
type Locate struct {
	ID   uint32 // copied to the Located
	Keys []flow.Key
}

// Append appends the message to the buffer.
func (l Locate) Append(buffer []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(append(buffer, byte(KindLocate)), l.ID)
	for _, key := range l.Keys {
		buffer = key.Append(buffer)
	}

	return buffer
}

// ParseLocate reads the body of a Locate.
func ParseLocate(body []byte) (Locate, error) {
	if err := checkLength("parse locate", body, idBytes+flow.KeyBytes); err != nil {
		return Locate{}, err
	}

	locate := Locate{ID: binary.LittleEndian.Uint32(body)}
	for body = body[idBytes:]; len(body) >= flow.KeyBytes; body = body[flow.KeyBytes:] {
		locate.Keys = append(locate.Keys, flow.ParseKey(body))
	}

	return locate, nil
}

// Located answers a Locate. Answers are in the order of its keys.
type Located struct {
	ID      uint32
	Answers []flow.Answer
}

// Append appends the message to the buffer.
func (l Located) Append(buffer []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(append(buffer, byte(KindLocated)), l.ID)
	for _, answer := range l.Answers {
		buffer = append(buffer, byte(answer))
	}

	return buffer
}

// ParseLocated reads the body of a Located.
func ParseLocated(body []byte) (Located, error) {
	if err := checkLength("parse located", body, idBytes); err != nil {
		return Located{}, err
	}

	located := Located{ID: binary.LittleEndian.Uint32(body)}
	for _, answer := range body[idBytes:] {
		located.Answers = append(located.Answers, flow.Answer(answer))
	}

	return located, nil
}
