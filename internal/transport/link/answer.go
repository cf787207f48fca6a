package link

import (
	"context"
	"io"
	"runtime/debug"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"jayspindle/internal/state/invariant"
)

// requestTimeout bounds the wait for the request of an accepted stream, so
// that a caller that sends only part of a request does not keep the stream open
// forever.
const requestTimeout = 10 * time.Second

// lingerTimeout bounds the wait until the caller has read a reply. Without the
// wait, a closing server could drop a reply that is still in its send buffer.
const lingerTimeout = time.Second

// handleCall reads one request, runs its handler and writes the reply.
func (s *Server) handleCall(callsCtx, acceptCtx context.Context, stream *quic.Stream) {
	defer stream.CancelRead(codeCanceled)
	defer stream.Close() //nolint:errcheck // a cancelled stream is closed already

	var call header

	stream.SetReadDeadline(time.Now().Add(requestTimeout)) //nolint:errcheck // a closed stream fails the read too

	request, err := readRequest(stream, &call)
	if err != nil {
		stream.CancelWrite(codeCanceled)

		return
	}

	stream.SetReadDeadline(time.Time{}) //nolint:errcheck // a closed stream fails the read too

	ctx, cancel := context.WithCancel(callsCtx)
	defer cancel()

	if call.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}

	// The stream's context ends when the caller cancels or the link is lost.
	defer context.AfterFunc(stream.Context(), cancel)() //nolint:contextcheck // cancels ctx with the stream

	handler, unary := s.handlers[call.Method]
	streamer, streaming := s.streams[call.Method]

	switch {
	case !unary && !streaming:
		s.sendLast(stream, "unknown", errorEnvelope(Errorf(KindUnknownMethod, "method %q does not exist", call.Method)))
	case !s.calls.begin():
		s.sendLast(stream, call.Method, errorEnvelope(Errorf(KindClosing, "the server is shutting down")))
	case unary:
		defer s.calls.end()

		countFrame(call.Method, len(request.encoded), 0)
		s.handleUnary(ctx, stream, request, handler)
		linger(stream)
	default:
		// A server stream can run indefinitely, so a closing server cancels it
		// instead of waiting for it.
		s.calls.end()

		defer context.AfterFunc(acceptCtx, cancel)()

		countFrame(call.Method, len(request.encoded), 0)
		s.handleStream(ctx, acceptCtx, stream, request, streamer)
	}
}

// linger waits until the caller has closed its side of the stream, which it does
// after it has read the whole reply.
func linger(stream *quic.Stream) {
	stream.Close()                                        //nolint:errcheck // a cancelled stream is closed already
	stream.SetReadDeadline(time.Now().Add(lingerTimeout)) //nolint:errcheck // a closed stream fails the read too
	io.Copy(io.Discard, stream)                           //nolint:errcheck // the caller may be gone
}

func readRequest(reader io.Reader, call *header) (*Request, error) {
	encoded, err := readFrame(reader)
	if err != nil {
		return nil, err
	}

	if err := decode(encoded, call); err != nil {
		return nil, err
	}

	body, err := readFrame(reader)
	if err != nil {
		return nil, err
	}

	return &Request{method: call.Method, encoded: body}, nil
}

func (s *Server) handleUnary(ctx context.Context, stream *quic.Stream, request *Request, handler Handler) {
	var reply any

	err := s.contain(ctx, request, func() (err error) {
		reply, err = handler(ctx, request)

		return err
	})
	if err != nil {
		s.sendLast(stream, request.method, errorEnvelope(err))

		return
	}

	body, err := cbor.Marshal(reply)
	if err != nil {
		s.sendLast(stream, request.method, errorEnvelope(err))

		return
	}

	if err := s.write(stream, request.method, envelope{Body: body, End: true}); KindOf(err) == KindTooLarge {
		s.sendLast(stream, request.method, errorEnvelope(err))
	}
}

func (s *Server) handleStream(
	ctx, acceptCtx context.Context, stream *quic.Stream, request *Request, handler StreamHandler,
) {
	err := s.contain(ctx, request, func() error {
		return handler(ctx, request, func(item any) error {
			body, err := cbor.Marshal(item)
			if err != nil {
				return &Error{operation: "encode", kind: KindInvalid, err: err}
			}

			return s.write(stream, request.method, envelope{Body: body})
		})
	})

	last := envelope{End: true}

	switch {
	case acceptCtx.Err() != nil:
		last = errorEnvelope(Errorf(KindClosing, "the server is shutting down"))
	case err != nil:
		last = errorEnvelope(err)
	}

	s.sendLast(stream, request.method, last)
}

// contain turns the panic of a handler into an error, so that one request does not end
// the process. Violated invariants do end it.
func (s *Server) contain(ctx context.Context, request *Request, handle func() error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}

		invariant.Repanic(cause)

		s.logger.Error("a handler panicked", "method", request.method, "caller", Peer(ctx).String(),
			"bytes", request.Size(), "cause", cause, "stack", string(debug.Stack()))

		err = Errorf(KindInternal, "%s panicked", request.method)
	}()

	return handle()
}

// sendLast sends the last envelope. A failure is only logged, because the caller
// can no longer be reached.
func (s *Server) sendLast(stream *quic.Stream, method string, last envelope) {
	if err := s.write(stream, method, last); err != nil {
		s.logger.Debug("a reply could not be sent", "method", method, "error", err)
	}
}

// write sends an envelope and counts the bytes written.
func (s *Server) write(stream *quic.Stream, method string, reply envelope) error {
	written, err := writeFrame(stream, reply)
	countFrame(method, 0, written)

	if err != nil {
		return classify("write", err)
	}

	return nil
}
