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
	prefixBytes = 4

	// maxElements bounds the elements of one array or map in a frame: a view
	// of the target size lists 26,000 agents.
	maxElements = 1 << 17
	maxNesting  = 16
)

// header starts a call; the request follows in a frame of its own.
type header struct {
	Method  string        `cbor:"1,keyasint"`
	Timeout time.Duration `cbor:"2,keyasint,omitempty"` // until the caller's deadline, 0 for none
}

// envelope carries one reply, or one item of a stream.
type envelope struct {
	Kind     Kind            `cbor:"1,keyasint,omitempty"` // empty if the call succeeded
	Message  string          `cbor:"2,keyasint,omitempty"`
	Redirect string          `cbor:"3,keyasint,omitempty"`
	End      bool            `cbor:"4,keyasint,omitempty"` // no item follows
	Body     cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// checker is implemented by messages that bound their own fields.
type checker interface{ Check() error }

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

// writeFrame writes a value and returns the bytes written.
func writeFrame(writer io.Writer, value any) (int, error) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return 0, &Error{operation: "encode", kind: KindInvalid, err: err}
	}

	if len(encoded) > MaxFrame {
		return 0, &Error{
			operation: "write", kind: KindTooLarge,
			err: errors.Errorf("a frame of %d bytes exceeds %d", len(encoded), MaxFrame),
		}
	}

	frame := make([]byte, prefixBytes+len(encoded))
	binary.BigEndian.PutUint32(frame, uint32(len(encoded)))
	copy(frame[prefixBytes:], encoded)

	return writer.Write(frame)
}

// readFrame reads the bytes of one frame. The buffer grows with what arrives,
// so a false length cannot make the receiver allocate MaxFrame.
func readFrame(reader io.Reader) ([]byte, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, err
	}

	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrame {
		return nil, &Error{
			operation: "read", kind: KindTooLarge,
			err: errors.Errorf("a frame of %d bytes exceeds %d", size, MaxFrame),
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

// decode decodes a frame and checks the bounds of the message.
func decode(encoded []byte, message any) error {
	if err := decoding.Unmarshal(encoded, message); err != nil {
		return &Error{operation: "decode", kind: KindInvalid, err: err}
	}

	if bounded, ok := message.(checker); ok {
		if err := bounded.Check(); err != nil {
			return &Error{operation: "check", kind: KindInvalid, err: err}
		}
	}

	return nil
}

// failure returns the envelope of a handler's error.
func failure(err error) envelope {
	typed := &Error{kind: KindInternal, err: err}
	errors.As(err, &typed)

	result := envelope{Kind: typed.kind, Message: typed.err.Error(), End: true}
	if redirect, ok := typed.Redirect(); ok {
		result.Redirect = redirect.String()
	}

	return result
}

// failed returns the error that an envelope carries.
func (e envelope) failed(method string) error {
	if e.Kind == "" {
		return nil
	}

	redirect, err := netip.ParseAddrPort(e.Redirect)
	if err != nil {
		redirect = netip.AddrPort{}
	}

	return &Error{operation: method, kind: e.Kind, redirect: redirect, err: errors.New(e.Message)}
}
