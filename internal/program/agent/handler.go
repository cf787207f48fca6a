package agent

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/document"
)

// handler answers the requests of callers.
type handler struct {
	matcher func() *document.Matcher
	placer  *placer
	claims  *claims
	feeds   *feeds
	tracer  trace.Tracer
	logger  *slog.Logger
}

// ServeHTTP answers one request.
func (h *handler) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	class, ok := h.matcher().Match(request.Method, request.URL.Path)
	if !ok {
		refuse(response, http.StatusNotFound, "no class of the service matches method and path")

		return
	}

	ctx := propagation.TraceContext{}.Extract(request.Context(), propagation.HeaderCarrier(request.Header))

	ctx, span := startRequest(ctx, h.tracer, class.Name)
	defer span.End()

	// A body that arrives slowly occupies memory, so it has to arrive within the
	// deadline of the class.
	if err := http.NewResponseController(response).SetReadDeadline(time.Now().Add(class.Deadline)); err != nil {
		h.logger.Debug("could not set the read deadline of the body", "error", err)
	}

	c, err := newCall(request, *class, time.Now())
	if err != nil {
		span.SetAttributes(attribute.String("reason", err.Error()))
		refusals.Add(string(causeMalformedRequest), 1)
		refuse(response, http.StatusBadRequest, err.Error())

		return
	}

	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(c.header))

	if class.Feed {
		h.feeds.serve(ctx, response, c)

		return
	}

	h.serveRequest(ctx, response, c)
}

// serveRequest runs a request that is not a feed and writes its outcome.
func (h *handler) serveRequest(ctx context.Context, response http.ResponseWriter, c *call) {
	var outcome *result

	if c.class.Idempotent {
		outcome = h.placer.place(ctx, c)
	} else {
		outcome = h.claims.runOnce(ctx, c, h.placer)
	}

	outcomes.Add(c.class.Name+" "+outcome.state.String(), 1)

	if outcome.state != peer.Answered {
		countFailure(outcome)
	}

	trace.SpanFromContext(ctx).SetAttributes(
		attribute.String("outcome", outcome.state.String()), attribute.String("reason", outcome.reason))

	switch outcome.state {
	case peer.Answered:
		h.write(ctx, response, outcome)
	case peer.Unknown:
		response.Header().Set(headerOutcome, outcomeUnknown)
		response.Header().Set(headerReason, outcome.reason)
		http.Error(response, "the request may have run: "+outcome.reason, http.StatusGatewayTimeout)
	default:
		refuse(response, http.StatusServiceUnavailable, outcome.reason)
	}
}

// refuse says that the request was not run.
func refuse(response http.ResponseWriter, status int, reason string) {
	response.Header().Set(headerOutcome, outcomeNotRun)
	response.Header().Set(headerReason, reason)
	http.Error(response, "not run: "+reason, status)
}

// write copies an answer to the caller. If the answer is truncated, it resets
// the stream, so that the caller does not take the answer for a complete one.
func (h *handler) write(ctx context.Context, response http.ResponseWriter, outcome *result) {
	defer outcome.body.Close()

	for name, values := range outcome.header {
		response.Header()[name] = values
	}

	response.WriteHeader(outcome.status)

	if _, err := io.Copy(response, outcome.body); err != nil && ctx.Err() == nil {
		h.logger.Warn("answer truncated", "error", errors.Cause(err))
		panic(http.ErrAbortHandler)
	}
}
