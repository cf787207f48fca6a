package telemetry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// sessionKey is the context key of a trace ID.
type sessionKey struct{}

// SessionID returns the trace ID of the session whose first packet has the
// given destination connection ID. Balancer and agent both know it, so neither
// has to tell the other which trace a session belongs to.
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
// not allocate, so that a balancer can ask for each first packet.
func (t *Telemetry) SamplesSession(dcid []byte) bool {
	if t.file == nil || t.sampler == nil {
		return false
	}

	result := t.sampler.ShouldSample(sdktrace.SamplingParameters{TraceID: SessionID(dcid)})

	return result.Decision == sdktrace.RecordAndSample
}

// spanIDs makes random IDs, except for the trace IDs of sessions.
type spanIDs struct{}

// NewIDs returns the IDs of a span without a parent.
func (s spanIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	id, ok := ctx.Value(sessionKey{}).(trace.TraceID)
	if !ok {
		_, _ = rand.Read(id[:]) // never fails: crypto/rand aborts the process instead
	}

	return id, s.NewSpanID(ctx, id)
}

// NewSpanID returns the ID of a span of a trace.
func (spanIDs) NewSpanID(context.Context, trace.TraceID) trace.SpanID {
	var id trace.SpanID

	_, _ = rand.Read(id[:]) // never fails: crypto/rand aborts the process instead

	return id
}
