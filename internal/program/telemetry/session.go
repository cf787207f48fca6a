package telemetry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// sessionKey is the context key of the trace ID of a session.
type sessionKey struct{}

// SessionID returns the trace ID of the session whose first packet has the
// given destination connection ID. Balancer and agent both know that connection
// ID, so the trace ID need not be transmitted.
func SessionID(dcid []byte) trace.TraceID {
	sum := sha256.Sum256(dcid)

	return trace.TraceID(sum[:len(trace.TraceID{})])
}

// WithSession returns a context in which the next span without a parent belongs
// to the trace of a session.
func WithSession(ctx context.Context, dcid []byte) context.Context {
	return context.WithValue(ctx, sessionKey{}, SessionID(dcid))
}

// SamplesSession reports whether the spans of a session are recorded. It does
// not allocate, so that a balancer can call it for each first packet.
func (t *Telemetry) SamplesSession(dcid []byte) bool {
	if t.traceFile == nil || t.sampler == nil {
		return false
	}

	result := t.sampler.ShouldSample(sdktrace.SamplingParameters{TraceID: SessionID(dcid)})

	return result.Decision == sdktrace.RecordAndSample
}

// idGenerator generates random IDs. The trace ID of a session is derived from its
// connection ID instead.
type idGenerator struct{}

// NewIDs returns the trace ID and the span ID of a span without a parent.
func (s idGenerator) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	id, ok := ctx.Value(sessionKey{}).(trace.TraceID)
	if !ok {
		_, _ = rand.Read(id[:]) // never fails: crypto/rand aborts the process instead
	}

	return id, s.NewSpanID(ctx, id)
}

// NewSpanID returns a random span ID.
func (idGenerator) NewSpanID(context.Context, trace.TraceID) trace.SpanID {
	var id trace.SpanID

	_, _ = rand.Read(id[:]) // never fails: crypto/rand aborts the process instead

	return id
}
