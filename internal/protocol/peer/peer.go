// Package peer defines the messages between the agents of one service: a request
// that one agent forwards to another, and the frames of its response.
//
// # Usage
//
//	stream, err := client.Stream(ctx, peer.MethodRun, &peer.Run{Class: "pass-report", Method: "POST", ...})
//	var frame peer.Frame
//	more, err := stream.Next(&frame)
//
// The first frame has the State of the request. Frames with parts of the response
// body follow until the stream ends.
package peer

import (
	"net/http"
	"time"
)

// MethodRun is the call that runs a request. It takes a Run and returns a server
// stream of Frames.
const MethodRun = "run"

// The limits of the messages, in bytes.
const (
	MaxBody  = 1 << 20  // of a request
	MaxChunk = 32 << 10 // of the body part in a Frame
	MaxText  = 8 << 10  // of a target or a key
)

// State tells whether a request was run.
type State uint8

// The states of a request.
const (
	NotRun   State = iota + 1 // it was not sent to a backend server and will not be
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

// Run asks another agent to run a request on its backend server.
type Run struct {
	Class        string        `cbor:"1,keyasint"`
	Method       string        `cbor:"2,keyasint"`
	Target       string        `cbor:"3,keyasint"` // path and query
	Header       http.Header   `cbor:"4,keyasint"`
	Body         []byte        `cbor:"5,keyasint,omitempty"`
	Timeout      time.Duration `cbor:"6,keyasint"` // time left until the deadline
	Key          string        `cbor:"7,keyasint,omitempty"`
	StartTimeout time.Duration `cbor:"8,keyasint"` // time left until it has to be handed to the backend server
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

// Frame is one message of a response stream.
type Frame struct {
	State  State       `cbor:"1,keyasint,omitempty"` // first frame only
	Reason string      `cbor:"2,keyasint,omitempty"` // why State is NotRun or Unknown
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
