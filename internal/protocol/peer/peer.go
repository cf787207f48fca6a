// Package peer is the messages between the agents of one service: a request
// that one agent places on another, and the frames of its response.
//
// # Usage
//
//	stream, err := client.Stream(ctx, peer.MethodRun, &peer.Run{Class: "pass-report", Method: "POST", ...})
//	var frame peer.Frame
//	more, err := stream.Next(&frame)
//
// The first frame says whether the request ran. Frames with parts of the body
// follow until the stream ends.
package peer

import (
	"net/http"
	"time"
)

// MethodRun is the server stream that runs a request: Run, then Frames.
const MethodRun = "run"

// The bounds of the messages, in bytes.
const (
	MaxBody  = 1 << 20  // of a request
	MaxChunk = 32 << 10 // of a part of a response
	MaxText  = 8 << 10  // of a target or a key
)

// State is what is known about a request.
type State uint8

// The states.
const (
	NotRun   State = iota + 1 // it was not handed over and will not be
	Unknown                   // it may have run
	Answered                  // the backend server answered
)

// String returns the state as it appears in logs and spans.
func (s State) String() string {
	switch s {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Answered:
		return "answered"
	default:
		return "invalid"
	}
}

// Run asks a sibling to run a request on its backend server.
type Run struct {
	Class   string        `cbor:"1,keyasint"`
	Method  string        `cbor:"2,keyasint"`
	Target  string        `cbor:"3,keyasint"` // path and query
	Header  http.Header   `cbor:"4,keyasint"`
	Body    []byte        `cbor:"5,keyasint,omitempty"`
	Timeout time.Duration `cbor:"6,keyasint"` // time left until the deadline
	Key     string        `cbor:"7,keyasint,omitempty"`
	Start   time.Duration `cbor:"8,keyasint"` // time left for the hand-over
}

// Check reports the first field out of bounds.
func (r *Run) Check() error {
	switch {
	case len(r.Body) > MaxBody:
		return newError("check run", "the body exceeds 1 MiB")
	case len(r.Target) > MaxText || len(r.Key) > MaxText:
		return newError("check run", "target or key exceeds 8 KiB")
	case r.Timeout <= 0:
		return newError("check run", "no time is left")
	default:
		return nil
	}
}

// Frame is a part of a response.
type Frame struct {
	State  State       `cbor:"1,keyasint,omitempty"` // first frame only
	Reason string      `cbor:"2,keyasint,omitempty"` // why it was not run or is unknown
	Status int         `cbor:"3,keyasint,omitempty"` // first frame only
	Header http.Header `cbor:"4,keyasint,omitempty"` // first frame only
	Body   []byte      `cbor:"5,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (f *Frame) Check() error {
	if len(f.Body) > MaxChunk {
		return newError("check frame", "the part exceeds 32 KiB")
	}

	return nil
}
