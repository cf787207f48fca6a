package agent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	dialTimeout    = 500 * time.Millisecond
	healthInterval = time.Second
	healthTimeout  = 800 * time.Millisecond
	maxHealthSize  = 4 << 10
	// unhealthyAfter tolerates a lost health check: reports lag and mislead.
	unhealthyAfter = 3
)

// backendServer is the HTTP side of the agent.
type backendServer struct {
	address string
	health  string // path, empty for none
	// shared keeps connections. Its transport repeats an idempotent request on
	// a new connection if a kept one turns out to be closed.
	shared http.RoundTripper
	// single opens a connection for each request, because a request on a kept
	// connection that breaks may or may not have run.
	single  http.RoundTripper
	failed  atomic.Int32
	load    atomic.Uint32 // percent, as reported
	healthy atomic.Bool
}

func newBackendServer(address netip.AddrPort, health string, silence time.Duration) *backendServer {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}

	shared := &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   16,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: silence,
	}

	single := shared.Clone()
	single.DisableKeepAlives = true

	server := &backendServer{address: address.String(), health: health, shared: shared, single: single}
	server.healthy.Store(health == "")

	return server
}

// send hands a call over. ran is false only if it is certain that the backend
// server has not run it.
func (b *backendServer) send(ctx context.Context, c *call) (response *http.Response, ran bool, err error) {
	request, err := c.request(b.address)
	if err != nil {
		return nil, false, err
	}

	transport := b.shared
	if c.key != "" {
		transport = b.single
	}

	response, err = transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, !isDialError(err), newError("hand over", KindBackend, err)
	}

	if response.Header.Get(headerOutcome) == outcomeNotRun {
		_ = response.Body.Close()

		return nil, false, newError("hand over", KindBackend, errors.New("the backend server sheds load"))
	}

	return response, true, nil
}

// isDialError reports whether no byte of the request was sent.
func isDialError(err error) bool {
	var operation *net.OpError

	return errors.As(err, &operation) && operation.Op == "dial"
}

// watchHealth polls the backend server until the context ends.
func (b *backendServer) watchHealth(ctx context.Context, changed func(healthy bool)) {
	if b.health == "" {
		return
	}

	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()

	for {
		before := b.healthy.Load()
		b.check(ctx)

		if after := b.healthy.Load(); after != before {
			changed(after)
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *backendServer) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()

	if err := b.probe(ctx); err != nil {
		if b.failed.Add(1) >= unhealthyAfter {
			b.healthy.Store(false)
		}

		return
	}

	b.failed.Store(0)
	b.healthy.Store(true)
}

// probe asks for the health report. Its load figure is only a hint, so a
// report that is nonsense does not make the backend server unhealthy.
func (b *backendServer) probe(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.address+b.health, nil)
	if err != nil {
		return errors.Trace(err)
	}

	response, err := b.shared.RoundTrip(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return errors.Errorf("health check answered %s", response.Status)
	}

	var report struct{ Slots, Busy int }

	decoder := json.NewDecoder(io.LimitReader(response.Body, maxHealthSize))
	if decoder.Decode(&report) == nil && report.Slots > 0 {
		b.load.Store(uint32(min(max(report.Busy*100/report.Slots, 0), 100)))
	}

	return nil
}
