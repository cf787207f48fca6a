package link

import (
	"context"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// requestTimeout bounds the wait for the request of an accepted stream, so
// that a caller that sends half a request does not hold a stream for ever.
const requestTimeout = 10 * time.Second

// lingerTimeout bounds the wait for the caller's acknowledgement of a reply.
// Without the wait, a closing server could drop a reply that is still in its
// send buffer.
const lingerTimeout = time.Second

// answer reads one request, runs its handler and writes the reply.
func (s *Server) answer(work, accepting context.Context, stream *quic.Stream) {
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

	ctx, cancel := context.WithCancel(work)
	defer cancel()

	if call.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}

	// The stream's context ends when the caller cancels or the link is lost.
	defer context.AfterFunc(stream.Context(), cancel)() //nolint:contextcheck // it joins two contexts

	handler, unary := s.handlers[call.Method]
	streamer, streaming := s.streams[call.Method]

	switch {
	case !unary && !streaming:
		s.finish(stream, "unknown", failure(Errorf(KindMethod, "method %q does not exist", call.Method)))
	case !s.calls.begin():
		s.finish(stream, call.Method, failure(Errorf(KindClosing, "the server shuts down")))
	case unary:
		defer s.calls.end()

		count(call.Method, len(request.encoded), 0)
		s.unary(ctx, stream, request, handler)
		linger(stream)
	default:
		// A stream has no end of its own, so a closing server ends it.
		s.calls.end()

		defer context.AfterFunc(accepting, cancel)()

		count(call.Method, len(request.encoded), 0)
		s.stream(ctx, accepting, stream, request, streamer)
	}
}

// linger waits until the caller has closed its side, which it does after it
// has read the whole reply.
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

func (s *Server) unary(ctx context.Context, stream *quic.Stream, request *Request, handler Handler) {
	reply, err := handler(ctx, request)
	if err != nil {
		s.finish(stream, request.method, failure(err))

		return
	}

	body, err := cbor.Marshal(reply)
	if err != nil {
		s.finish(stream, request.method, failure(err))

		return
	}

	if err := s.write(stream, request.method, envelope{Body: body, End: true}); KindOf(err) == KindTooLarge {
		s.finish(stream, request.method, failure(err))
	}
}

func (s *Server) stream(
	ctx, accepting context.Context, stream *quic.Stream, request *Request, handler StreamHandler,
) {
	err := handler(ctx, request, func(item any) error {
		body, err := cbor.Marshal(item)
		if err != nil {
			return &Error{operation: "encode", kind: KindInvalid, err: err}
		}

		return s.write(stream, request.method, envelope{Body: body})
	})

	last := envelope{End: true}

	switch {
	case accepting.Err() != nil:
		last = failure(Errorf(KindClosing, "the server shuts down"))
	case err != nil:
		last = failure(err)
	}

	s.finish(stream, request.method, last)
}

// finish sends the last envelope. If the link is lost there is nobody to tell.
func (s *Server) finish(stream *quic.Stream, method string, last envelope) {
	if err := s.write(stream, method, last); err != nil {
		s.logger.Debug("a reply could not be sent", "method", method, "error", err)
	}
}

// write sends an envelope.
func (s *Server) write(stream *quic.Stream, method string, reply envelope) error {
	written, err := writeFrame(stream, reply)
	count(method, 0, written)

	if err != nil {
		return classify("write", err)
	}

	return nil
}
