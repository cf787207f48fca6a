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
	dialTimeout          = 500 * time.Millisecond
	healthInterval       = time.Second
	healthTimeout        = 800 * time.Millisecond
	maxHealthReportBytes = 4 << 10
	// unhealthyThreshold tolerates single lost health checks, because reports can
	// be late or wrong.
	unhealthyThreshold = 3

	// deadConnectionTimeout is the time after which a connection to the backend
	// server without any acknowledgement counts as dead, with or without data in
	// flight. The kernel checks it with TCP keep-alives, so that a feed without
	// events is not mistaken for a dead connection.
	deadConnectionTimeout = 3 * time.Second
	keepAliveIdle         = time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = int(deadConnectionTimeout/keepAliveInterval) - 1
)

// errShed means that the backend server rejected the request without running it.
var errShed = errors.New("the backend server sheds load")

// backendServer is the HTTP client for the agent's backend server.
type backendServer struct {
	address    string
	healthPath string // path, empty for none
	// pooledTransport reuses connections. It retries an idempotent request on a new
	// connection if a reused one turns out to be closed.
	pooledTransport http.RoundTripper
	// singleUseTransport opens a connection for each request, because a request
	// on a reused connection that breaks may or may not have run. Health checks
	// use it too: an unresponsive reused connection says nothing about the
	// backend server.
	singleUseTransport http.RoundTripper
	failedChecks       atomic.Int32
	loadPercent        atomic.Uint32 // percent, as reported
	healthy            atomic.Bool
}

func newBackendServer(address netip.AddrPort, healthPath string, responseHeaderTimeout time.Duration) *backendServer {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}

	pooled := &http.Transport{
		DialContext: dialer.DialContext,
		// The caller gets the bytes that the backend server has sent.
		DisableCompression:    true,
		MaxIdleConnsPerHost:   16,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: responseHeaderTimeout,
	}

	singleUse := pooled.Clone()
	singleUse.DisableKeepAlives = true

	server := &backendServer{
		address: address.String(), healthPath: healthPath, pooledTransport: pooled, singleUseTransport: singleUse,
	}
	server.healthy.Store(healthPath == "")

	return server
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds the wait for the
// acknowledgement of sent data. Without it, keep-alives pause while data is in
// flight, and the kernel retransmits the data for a quarter of an hour.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error

	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(
			int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadConnectionTimeout.Milliseconds()),
		)
	})
	if err != nil {
		return err
	}

	return os.NewSyscallError("setsockopt", sockoptErr)
}

// send sends a call to the backend server. mayHaveRun is false only if it is
// certain that the backend server has not run it.
func (b *backendServer) send(ctx context.Context, c *call) (response *http.Response, mayHaveRun bool, err error) {
	request, err := c.request(b.address)
	if err != nil {
		return nil, false, err
	}

	transport := b.pooledTransport
	if c.key != "" {
		transport = b.singleUseTransport
	}

	// The request can only have run if it got a connection. The last error alone
	// does not show that: the transport retries an idempotent request whose
	// reused connection broke, and the second connection may be refused.
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
func (b *backendServer) watchHealth(ctx context.Context, onChange func(healthy bool)) {
	if b.healthPath == "" {
		return
	}

	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()

	for {
		before := b.healthy.Load()
		b.check(ctx)

		if after := b.healthy.Load(); after != before {
			onChange(after)
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
		if b.failedChecks.Add(1) >= unhealthyThreshold {
			b.healthy.Store(false)
		}

		return
	}

	b.failedChecks.Store(0)
	b.healthy.Store(true)
}

// probe fetches the health report. Its load figure is only a hint, so a report
// that cannot be parsed does not make the backend server unhealthy.
func (b *backendServer) probe(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.address+b.healthPath, nil)
	if err != nil {
		return errors.Trace(err)
	}

	response, err := b.singleUseTransport.RoundTrip(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return errors.Errorf("health check answered %s", response.Status)
	}

	var report struct{ Slots, Busy int }

	decoder := json.NewDecoder(io.LimitReader(response.Body, maxHealthReportBytes))
	if decoder.Decode(&report) == nil && report.Slots > 0 {
		b.loadPercent.Store(uint32(min(max(report.Busy*100/report.Slots, 0), 100)))
	}

	return nil
}
