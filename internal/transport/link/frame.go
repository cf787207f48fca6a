package link

import (
	"encoding/binary"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	lengthPrefixBytes = 4

	// maxElements limits the elements of one array or map in a frame. A view of
	// the target size lists 26,000 agents.
	maxElements = 1 << 17
	maxNesting  = 16
)

// header is the first frame of a call. The second frame is the request.
type header struct {
	Method  string        `cbor:"1,keyasint"`
	Timeout time.Duration `cbor:"2,keyasint,omitempty"` // until the caller's deadline, 0 for none
}

// envelope is the frame of a reply or of one item of a stream.
type envelope struct {
	Kind     Kind            `cbor:"1,keyasint,omitempty"` // empty if the call succeeded
	Message  string          `cbor:"2,keyasint,omitempty"`
	Redirect string          `cbor:"3,keyasint,omitempty"`
	End      bool            `cbor:"4,keyasint,omitempty"` // no item follows
	Body     cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// checker is implemented by messages that validate their fields.
type checker interface{ Check() error }

var decodeMode = func() cbor.DecMode {
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

// writeFrame encodes a value into one frame and returns the number of bytes
// written.
func writeFrame(writer io.Writer, value any) (int, error) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return 0, &Error{operation: "encode", kind: KindInvalid, err: err}
	}

	if len(encoded) > MaxFrameBytes {
		return 0, &Error{
			operation: "write", kind: KindTooLarge,
			err: errors.Errorf("a frame of %d bytes exceeds %d", len(encoded), MaxFrameBytes),
		}
	}

	frame := make([]byte, lengthPrefixBytes+len(encoded))
	binary.BigEndian.PutUint32(frame, uint32(len(encoded)))
	copy(frame[lengthPrefixBytes:], encoded)

	return writer.Write(frame)
}

// readFrame reads the content of one frame. The buffer grows with the bytes
// received, so a false length prefix cannot make the receiver allocate MaxFrameBytes.
func readFrame(reader io.Reader) ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, err
	}

	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrameBytes {
		return nil, &Error{
			operation: "read", kind: KindTooLarge,
			err: errors.Errorf("a frame of %d bytes exceeds %d", size, MaxFrameBytes),
		}
	}

	encoded, err := io.ReadAll(io.LimitReader(reader, int64(size)))
	if err != nil {
		return nil, err
	}

	if len(encoded) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}

	return encoded, nil
}

// decode decodes the content of a frame and validates a message that is a checker.
func decode(encoded []byte, message any) error {
	if err := decodeMode.Unmarshal(encoded, message); err != nil {
		return &Error{operation: "decode", kind: KindInvalid, err: err}
	}

	if bounded, ok := message.(checker); ok {
		if err := bounded.Check(); err != nil {
			return &Error{operation: "check", kind: KindInvalid, err: err}
		}
	}

	return nil
}

// errorEnvelope returns the envelope that carries a handler's error.
func errorEnvelope(err error) envelope {
	typed := &Error{kind: KindInternal, err: err}
	errors.As(err, &typed)

	result := envelope{Kind: typed.kind, Message: typed.err.Error(), End: true}
	if redirect, ok := typed.Redirect(); ok {
		result.Redirect = redirect.String()
	}

	return result
}

// toError returns the error that the envelope carries, or nil.
func (e envelope) toError(method string) error {
	if e.Kind == "" {
		return nil
	}

	redirect, err := netip.ParseAddrPort(e.Redirect)
	if err != nil {
		redirect = netip.AddrPort{}
	}

	return &Error{operation: method, kind: e.Kind, redirect: redirect, err: errors.New(e.Message)}
}
