package agent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout    = 500 * time.Millisecond
	healthInterval = time.Second
	healthTimeout  = 800 * time.Millisecond
	maxHealthSize  = 4 << 10
	// unhealthyAfter tolerates a lost health check: reports lag and mislead.
	unhealthyAfter = 3

	// silenceLimit is the time within which a connection to the backend server
	// counts as silent, with or without data on the way. The system checks it
	// with keep-alives, so a feed without events is not mistaken for a silent one.
	silenceLimit      = 3 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = int(silenceLimit/keepAliveInterval) - 1
)

// errShed means that the backend server refused the request before the start.
var errShed = errors.New("the backend server sheds load")

// backendServer is the HTTP side of the agent.
type backendServer struct {
	address string
	health  string // path, empty for none
	// shared keeps connections. Its transport repeats an idempotent request on
	// a new connection if a kept one turns out to be closed.
	shared http.RoundTripper
	// single opens a connection for each request, because a request on a kept
	// connection that breaks may or may not have run. Health checks use it too:
	// kept connections that are silent say nothing about the backend server.
	single  http.RoundTripper
	failed  atomic.Int32
	load    atomic.Uint32 // percent, as reported
	healthy atomic.Bool
}

func newBackendServer(address netip.AddrPort, health string, silence time.Duration) *backendServer {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: limitSilence, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}

	shared := &http.Transport{
		DialContext: dialer.DialContext,
		// The caller gets the bytes that the backend server has sent.
		DisableCompression:    true,
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

// limitSilence bounds the wait for the acknowledgement of sent data. Without
// it, keep-alives pause while data is on the way, and the system repeats the
// data for a quarter of an hour.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var cause error

	err := raw.Control(func(fd uintptr) {
		cause = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}

	return os.NewSyscallError("setsockopt", cause)
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

	// The request can only have run if it got a connection. The last error does
	// not tell: the transport repeats an idempotent request whose kept
	// connection broke, and the second connection may be refused.
	var connections atomic.Int32

	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
	})

	response, err = transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, connections.Load() > 0, newError("hand over", KindBackend, err)
	}

	if response.Header.Get(headerOutcome) == outcomeNotRun {
		_ = response.Body.Close()

		return nil, connections.Load() > 1, newError("hand over", KindBackend, errShed)
	}

	return response, true, nil
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

	response, err := b.single.RoundTrip(request)
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
