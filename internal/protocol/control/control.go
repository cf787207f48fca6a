// Package control defines the messages of the control links and their size
// limits. Each message has its own Go type.
//
// # Usage
//
// A message is a plain struct that is encoded as CBOR with integer keys. The
// link decodes it and calls Check; other users call Decode, which does both:
//
//	announce, err := control.Decode[control.Announce](encoded)
//
// The Method constants are the names of the calls. Watch returns a server stream
// of Update messages, all other calls are unary. A receiver ignores fields that
// it does not know, so instances of different releases are compatible.
package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// The methods of the control links, each with its request and reply messages.
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

// The limits of the messages.
const (
	MaxName      = 63      // bytes of a name of an environment, zone, service, instance or owner
	MaxDocument  = 1 << 20 // bytes of a document
	MaxChangeID  = 64      // bytes of a change ID
	MaxReason    = 1024    // bytes of a reason or message
	MaxRenewals  = 4096    // renewals in one batch
	MaxHistory   = 256     // versions in one reply
	MaxSigners   = 2       // signatures of one change, since there are two owners
	MaxMembers   = 20      // controllers in a group, including their replacements
	MaxInstances = 4096    // instances in one status reply, about 400 KB
	MaxTopic     = 1024    // bytes of the change ID or version in an Explain
	MaxLines     = 1024    // lines of an explanation
	MaxChunk     = 1 << 18 // bytes of a view in one Update
	MaxChunks    = 256     // chunks of one view, 64 MiB in total
	MaxReplicate = 3 << 19 // bytes of messages between replicas; holds a document and fits into a frame

	signatureBytes = 64
	publicKeyBytes = 32
	digestBytes    = 32
	bootIDBytes    = 16
)

const (
	// maxElements limits the lists and maps of a message. The longest lists are
	// the renewals of a batch and the instances of a status reply.
	maxElements = 1 << 13
	maxNesting  = 8
)

// Message is implemented by every message of this package.
type Message interface{ Check() error }

var decMode = func() cbor.DecMode {
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

// Decode decodes a message and checks its limits. Errors have KindEncoding or
// KindBounds.
func Decode[T any, P interface {
	*T
	Message
}](encoded []byte) (T, error) {
	var message T
	if err := decMode.Unmarshal(encoded, &message); err != nil {
		return message, newError("decode", KindEncoding, err)
	}

	if err := P(&message).Check(); err != nil {
		var zero T

		return zero, err
	}

	return message, nil
}

// Encode checks the limits of a message and encodes it.
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

// validator records the first field of a message that is out of bounds.
type validator struct {
	message string
	err     error
}

func newValidator(message string) *validator { return &validator{message: message} }

// require records an error if ok is false, unless an earlier one is recorded.
func (v *validator) require(ok bool, format string, arguments ...any) *validator {
	if v.err == nil && !ok {
		v.err = newError("check "+v.message, KindBounds, errors.Errorf(format, arguments...))
	}

	return v
}

func (v *validator) requiredName(field, value string) *validator {
	return v.require(value != "" && len(value) <= MaxName,
		"%s has %d bytes, 1 to %d are allowed", field, len(value), MaxName)
}

func (v *validator) maxBytes(field, value string, limit int) *validator {
	return v.require(len(value) <= limit, "%s has %d bytes, at most %d are allowed", field, len(value), limit)
}

func (v *validator) requiredChangeID(value string) *validator {
	return v.require(value != "", "change ID is empty").maxBytes("change ID", value, MaxChangeID)
}

// optionalDigest accepts a missing digest: there is none before the first
// document.
func (v *validator) optionalDigest(value []byte) *validator {
	return v.require(len(value) == 0 || len(value) == digestBytes, "digest has %d bytes", len(value))
}

func (v *validator) exactBytes(field string, value []byte, size int) *validator {
	return v.require(len(value) == size, "%s has %d bytes instead of %d", field, len(value), size)
}

func (v *validator) maxItems(field string, count, limit int) *validator {
	return v.require(count <= limit, "%s has %d items, at most %d are allowed", field, count, limit)
}
