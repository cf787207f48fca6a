package agent

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/qlogwriter"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/program/telemetry"
)

// session holds the trace data of a flow in the flow's context. It is filled
// before quic-go accepts the flow.
type session struct {
	began             time.Time
	firstConnectionID []byte // destination connection ID of the first packet
	span              trace.SpanContext
}

type sessionKey struct{}

func sessionOf(ctx context.Context) *session {
	found, _ := ctx.Value(sessionKey{}).(*session)

	return found
}

// withSession is the ConnContext of the QUIC transport.
func withSession(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	return context.WithValue(ctx, sessionKey{}, &session{began: time.Now()}), nil
}

// recordFirstConnectionID is the Tracer of the QUIC configuration. It traces
// nothing: quic-go exposes the first destination connection ID only there.
func recordFirstConnectionID(ctx context.Context, _ bool, dcid quic.ConnectionID) qlogwriter.Trace {
	if found := sessionOf(ctx); found != nil {
		found.firstConnectionID = dcid.Bytes()
	}

	return nil
}

// traceSession records the span of the handshake. The span ends with the handshake,
// because a span is written only at its end and a flow stays open for hours.
func traceSession(ctx context.Context, tracer trace.Tracer, caller string) {
	found := sessionOf(ctx)
	if found == nil {
		return
	}

	_, span := tracer.Start(telemetry.WithSession(ctx, found.firstConnectionID), "agent.session",
		trace.WithTimestamp(found.began), trace.WithAttributes(attribute.String("caller", caller)))
	found.span = span.SpanContext()
	span.End()
}

// startRequest starts the span of a request. The span belongs to the caller's
// trace, with a link to the session, or else to the session's trace.
func startRequest(ctx context.Context, tracer trace.Tracer, class string) (context.Context, trace.Span) {
	options := []trace.SpanStartOption{trace.WithAttributes(attribute.String("class", class))}

	if found := sessionOf(ctx); found != nil && found.span.IsValid() {
		if trace.SpanContextFromContext(ctx).IsValid() {
			options = append(options, trace.WithLinks(trace.Link{SpanContext: found.span}))
		} else {
			ctx = trace.ContextWithSpanContext(ctx, found.span)
		}
	}

	return tracer.Start(ctx, "agent.request", options...)
}
