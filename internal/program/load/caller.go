package load

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	keepAliveInterval = 2 * time.Second
	idleTimeout       = 10 * time.Second
	// minRetryDelay is the shortest delay before a caller sends a request again.
	minRetryDelay = 50 * time.Millisecond
)

// caller is one simulated caller with its own socket. Its requests and its feed
// share a connection, as those of a real caller do.
type caller struct {
	client     *Client
	name       string // in logs
	workload   Workload
	service    *net.UDPAddr
	transport  *http3.Transport
	mutex      sync.Mutex // guards random
	random     *rand.Rand
	flows      conc.WaitGroup
	closeFlows chan struct{} // closed once no request is in progress
	runCtx     context.Context
}

func newCaller(client *Client, name string, workload Workload, random *rand.Rand) *caller {
	c := &caller{
		client:     client,
		name:       name,
		workload:   workload,
		service:    &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(workload.Port)},
		random:     random,
		closeFlows: make(chan struct{}),
	}

	c.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: client.roots, ServerName: workload.Service, MinVersion: tls.VersionTLS13},
		QUICConfig: &quic.Config{
			KeepAlivePeriod:         keepAliveInterval,
			MaxIdleTimeout:          idleTimeout,
			DisablePathMTUDiscovery: true,
		},
		Dial: c.dial,
	}

	return c
}

func (c *caller) randomFloat() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.random.Float64()
}

func (c *caller) randomSeed() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.random.Uint64()
}

// dial opens a flow and watches how it ends.
func (c *caller) dial(ctx context.Context, _ string, config *tls.Config, quicConfig *quic.Config) (*quic.Conn, error) {
	spray, err := newSprayConn(c.client.fabric, c.service, c.workload.Port, c.randomSeed())
	if err != nil {
		return nil, errors.Trace(err)
	}

	transport := &quic.Transport{Conn: packetConn{PacketConn: spray, buffers: spray}}

	connection, err := transport.Dial(ctx, c.service, config, quicConfig)
	if err != nil {
		c.close(transport, spray)

		return nil, newError("dial service", KindNetwork, err)
	}

	c.client.result.add(&c.client.result.Flows)
	c.flows.Go(func() { c.watch(connection, transport, spray) })

	return connection, nil
}

// watch counts a flow as broken unless it was closed on purpose. At the end it
// closes the flow: the HTTP/3 transport drops its reference to a connection that
// the agent has shut down, and such a connection could stay open.
func (c *caller) watch(connection *quic.Conn, transport *quic.Transport, spray *sprayConn) {
	select {
	case <-connection.Context().Done():
	case <-c.closeFlows:
		// The transport forgets, but does not close, a connection on which a
		// request timed out. Keep-alives would keep it open forever.
		if err := connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), ""); err != nil {
			c.client.logger.Debug("flow not closed", "error", err)
		}

		<-connection.Context().Done()
	}

	var closed *quic.ApplicationError

	cause := context.Cause(connection.Context())
	intended := errors.As(cause, &closed) &&
		(closed.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError) || !closed.Remote)

	if !intended && c.runCtx.Err() == nil {
		c.client.result.add(&c.client.result.BrokenFlows)
		c.client.logger.Warn("flow broken", "caller", c.name, "cause", cause)
	}

	c.close(transport, spray)
}

func (c *caller) close(transport *quic.Transport, spray *sprayConn) {
	if err := transport.Close(); err != nil {
		c.client.logger.Debug("transport not closed", "error", err)
	}

	if err := spray.Close(); err != nil {
		c.client.logger.Debug("caller socket not closed", "error", err)
	}
}

// run sends the requests of the workload until the context ends. Requests in
// progress then end on their own.
func (c *caller) run(ctx context.Context) error {
	c.runCtx = ctx

	var group conc.WaitGroup

	if c.workload.Feed != "" {
		group.Go(func() { newFeed(c).run(ctx) })
	}

	for _, request := range c.workload.Requests {
		group.Go(func() { c.sendPeriodically(ctx, request) })
	}

	group.Wait()

	err := c.transport.Close()

	close(c.closeFlows)
	c.flows.Wait()

	return errors.Trace(err)
}

// sendPeriodically sends requests with exponentially distributed pauses.
func (c *caller) sendPeriodically(ctx context.Context, request Request) {
	for number := 0; ; number++ {
		pause := time.Duration(c.randomExponential() * float64(request.Interval))
		if !sleep(ctx, pause) {
			return
		}

		c.send(request, number)
	}
}

func (c *caller) randomExponential() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.random.ExpFloat64()
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request with up to the configured number of attempts, all
// with the same idempotency key.
func (c *caller) send(request Request, number int) {
	echo := fmt.Sprintf("%016x-%d", c.randomSeed(), number)

	key := ""
	if !request.Idempotent {
		key = echo
	}

	ctx, span := c.client.tracer.Start(context.Background(), "caller.request", trace.WithAttributes(
		attribute.String("class", request.Class), attribute.String("service", c.workload.Service),
		attribute.String("request", echo)))
	defer span.End()

	started := time.Now()
	attempt := attemptResult{outcome: failed}
	resent := 0

	for tries := range request.Attempts {
		if tries > 0 {
			resent++

			time.Sleep(minRetryDelay + time.Duration(c.randomFloat()*float64(minRetryDelay)))
		}

		attempt = c.attempt(ctx, request, key, echo)
		if !attempt.retry {
			break
		}
	}

	span.SetAttributes(attribute.Int("attempts", resent+1), attribute.String("outcome", attempt.outcome.String()))
	c.client.result.record(c.workload.Service, request, key, attempt, resent, time.Since(started))
}

// attemptResult is the result of one attempt of a request.
type attemptResult struct {
	outcome       outcome
	retry         bool // sending the request again may help
	reason        string
	backendServer string
	mismatched    bool
}

func (c *caller) attempt(ctx context.Context, request Request, key, echo string) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()

	url := fmt.Sprintf("https://%s:%d%s", c.workload.Service, c.workload.Port, request.Path)

	message, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(make([]byte, request.BodySize)))
	if err != nil {
		return attemptResult{outcome: failed}
	}

	message.Header.Set("Request-Echo", echo)
	message.Header.Set("Jayspindle-Timeout", request.Timeout.String())
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(message.Header))

	if key != "" {
		message.Header.Set("Idempotency-Key", key)
	}

	response, err := c.transport.RoundTrip(message)
	if err != nil {
		// Whether the request ran is not known to the caller, so only the same
		// idempotency key makes another attempt safe.
		return attemptResult{outcome: failed, retry: true, reason: "no response"}
	}
	defer response.Body.Close()

	size, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return attemptResult{outcome: failed, retry: true, reason: "response broken off"}
	}

	return classify(response, echo, size)
}

// classify derives the result of an attempt from its response. A response that
// was truncated without an error counts as mismatched, like one to another
// request.
func classify(response *http.Response, echo string, size int64) attemptResult {
	reason := response.Header.Get("Jayspindle-Reason")

	switch outcome := response.Header.Get("Jayspindle-Outcome"); {
	case outcome == "not-run":
		return attemptResult{outcome: notRun, retry: true, reason: reason}
	case outcome == "unknown":
		return attemptResult{outcome: unknown, reason: reason}
	case outcome == "replayed" && response.StatusCode == http.StatusGone:
		// The request has run; its answer was too large to keep.
		return attemptResult{outcome: answered, backendServer: response.Header.Get("Backend-Server")}
	case response.StatusCode == http.StatusConflict:
		return attemptResult{outcome: unknown, retry: true, reason: reason}
	case response.StatusCode != http.StatusOK:
		return attemptResult{outcome: failed, reason: response.Status}
	}

	return attemptResult{
		outcome:       answered,
		backendServer: response.Header.Get("Backend-Server"),
		mismatched: response.Header.Get("Request-Echo") != echo ||
			response.Header.Get("Body-Size") != strconv.FormatInt(size, 10),
	}
}
