// Package control defines the messages of the control links, one Go type
// each, and their bounds.
//
// # Usage
//
// A message is a plain struct that CBOR encodes with integer keys. The link
// decodes it and calls Check; other users call Decode, which does both:
//
//	announce, err := control.Decode[control.Announce](encoded)
//
// The constants Method... name the calls. Watch is a server stream of Update
// messages, all others are unary. Fields that a receiver does not know are
// ignored, so that instances of two releases can talk to each other.
package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// The methods of the control links: request and reply.
const (
	MethodAnnounce     = "announce"      // Announce, AnnounceReply
	MethodRenew        = "renew"         // Renew, RenewReply
	MethodLeave        = "leave"         // Leave, LeaveReply
	MethodWatch        = "watch"         // Watch, stream of Update
	MethodSubmit       = "submit"        // Submit, ChangeReply
	MethodSign         = "sign"          // Sign, ChangeReply
	MethodReject       = "reject"        // Reject, ChangeReply
	MethodPromote      = "promote"       // Promote, ChangeReply
	MethodReplaceOwner = "replace-owner" // ReplaceOwner, ChangeReply
	MethodStatus       = "status"        // Status, StatusReply
	MethodHistory      = "history"       // History, HistoryReply
	MethodExplain      = "explain"       // Explain, ExplainReply
	MethodMembers      = "members"       // Members, MembersReply
	MethodRotateKey    = "rotate-key"    // RotateKey, RotateKeyReply
	MethodReadIndex    = "read-index"    // ReadIndex, ReadIndexReply, between controllers
	MethodReplicate    = "replicate"     // Replicate, between controllers
)

// The bounds of the messages.
const (
	MaxName      = 63      // bytes of a name of an environment, zone, service, instance or owner
	MaxDocument  = 1 << 20 // bytes of a document
	MaxChangeID  = 64      // bytes of a change ID
	MaxReason    = 1024    // bytes of a reason or message
	MaxRenewals  = 4096    // renewals in one batch
	MaxHistory   = 256     // versions in one reply
	MaxSigners   = 2       // signatures of one change: there are two owners
	MaxMembers   = 20      // controllers in a group and their replacements
	MaxInstances = 4096    // instances in one status reply, about 400 KB
	MaxTopic     = 1024    // bytes of a question to Explain
	MaxLines     = 1024    // lines of an explanation
	MaxChunk     = 1 << 18 // bytes of a view in one Update
	MaxChunks    = 256     // chunks of one view, that is 64 MiB
	MaxReplicate = 3 << 19 // bytes of messages between replicas; a document fits, and a frame holds the rest

	signatureBytes = 64
	publicKeyBytes = 32
	digestBytes    = 32
	bootIDBytes    = 16
)

const (
	// maxElements bounds the lists and maps of a message. The longest lists are
	// the renewals of a batch and the instances of a status reply.
	maxElements = 1 << 13
	maxNesting  = 8
)

// Message is implemented by every message of this package.
type Message interface{ Check() error }

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}()

// Decode decodes a message and checks its bounds. Errors have KindEncoding or
// KindBounds.
func Decode[T any, P interface {
	*T
	Message
}](encoded []byte) (T, error) {
	var message T
	if err := decoding.Unmarshal(encoded, &message); err != nil {
		return message, newError("decode", KindEncoding, err)
	}

	if err := P(&message).Check(); err != nil {
		var zero T

		return zero, err
	}

	return message, nil
}

// Encode encodes a message and checks its bounds.
func Encode(message Message) ([]byte, error) {
	if err := message.Check(); err != nil {
		return nil, err
	}

	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, newError("encode", KindEncoding, err)
	}

	return encoded, nil
}

// limits collects the first bound that a message exceeds.
type limits struct {
	message string
	err     error
}

func check(message string) *limits { return &limits{message: message} }

// that records an error unless ok holds or there is an error already.
func (l *limits) that(ok bool, format string, arguments ...any) *limits {
	if l.err == nil && !ok {
		l.err = newError("check "+l.message, KindBounds, errors.Errorf(format, arguments...))
	}

	return l
}

func (l *limits) name(field, value string) *limits {
	return l.that(value != "" && len(value) <= MaxName, "%s has %d bytes, 1 to %d are allowed", field, len(value), MaxName)
}

func (l *limits) optional(field, value string, limit int) *limits {
	return l.that(len(value) <= limit, "%s has %d bytes, at most %d are allowed", field, len(value), limit)
}

func (l *limits) changeID(value string) *limits {
	return l.that(value != "", "change ID is empty").optional("change ID", value, MaxChangeID)
}

// optionalDigest allows a digest to be absent, as before the first document.
func (l *limits) optionalDigest(value []byte) *limits {
	return l.that(len(value) == 0 || len(value) == digestBytes, "digest has %d bytes", len(value))
}

func (l *limits) exactly(field string, value []byte, size int) *limits {
	return l.that(len(value) == size, "%s has %d bytes instead of %d", field, len(value), size)
}

func (l *limits) atMost(field string, count, limit int) *limits {
	return l.that(count <= limit, "%s has %d items, at most %d are allowed", field, count, limit)
}
