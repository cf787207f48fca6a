package agent

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
)

// maxBodyBytes bounds the body of a request in bytes. It is buffered in
// memory, so that a request that is proven not to have run can be retried on
// another backend server.
const maxBodyBytes = 1 << 20

// maxKeyBytes bounds an idempotency key in bytes.
const maxKeyBytes = claim.MaxToken

// Headers that callers and agents use in requests and responses.
const (
	headerKey       = "Idempotency-Key"
	headerTimeout   = "Jayspindle-Timeout"
	headerOutcome   = "Jayspindle-Outcome"
	headerReason    = "Jayspindle-Reason"
	headerLastEvent = "Last-Event-ID"
)

// The values of the outcome header.
const (
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeReplayed = "replayed"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
}

// call is one request of a caller, independent of the flow it arrived on.
type call struct {
	class    view.Class
	method   string
	target   string // path and query
	header   http.Header
	body     []byte
	deadline time.Time // zero for a feed that has started
	key      string    // idempotency key, empty for idempotent classes
	startBy  time.Time // latest time to hand over a claimed call, zero for others
}

// newCall reads a request. The deadline is that of the class, or the caller's
// timeout if that is shorter.
func newCall(request *http.Request, class view.Class, now time.Time) (*call, error) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes+1))
	if err != nil {
		return nil, newError("read request", KindCaller, err)
	}

	if len(body) > maxBodyBytes {
		return nil, newError("read request", KindCaller, errors.Errorf("the body exceeds %d bytes", maxBodyBytes))
	}

	deadline := now.Add(class.Deadline)
	if !class.Idempotent {
		// An execution must end long before its claim expires.
		deadline = now.Add(min(class.Deadline, claimRetention/2))
	}

	if text := request.Header.Get(headerTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return nil, newError("read request", KindCaller,
				errors.Errorf("%s %q is not a positive duration such as 1.5s", headerTimeout, text))
		}

		if limit := now.Add(timeout); limit.Before(deadline) {
			deadline = limit
		}
	}

	c := &call{
		class:    class,
		method:   request.Method,
		target:   request.URL.RequestURI(),
		header:   endToEnd(request.Header),
		body:     body,
		deadline: deadline,
	}

	if !class.Idempotent {
		c.key = request.Header.Get(headerKey)
		if c.key == "" || len(c.key) > maxKeyBytes {
			return nil, newError("read request", KindCaller,
				errors.Errorf("class %s needs an %s of 1 to %d bytes", class.Name, headerKey, maxKeyBytes))
		}
	}

	return c, nil
}

// endToEnd returns the headers without the hop-by-hop ones.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()

	for _, listed := range kept.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}

	return kept
}

// request returns the HTTP request for the backend server.
func (c *call) request(backend string) (*http.Request, error) {
	target, err := url.ParseRequestURI(c.target)
	if err != nil {
		return nil, newError("build request", KindCaller, err)
	}

	target.Scheme = "http"
	target.Host = backend

	request := &http.Request{
		Method:        c.method,
		URL:           target,
		Host:          backend,
		Header:        c.header.Clone(),
		Body:          io.NopCloser(bytes.NewReader(c.body)),
		ContentLength: int64(len(c.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(c.body) == 0 {
		request.Body = http.NoBody
	}

	return request, nil
}

// startDeadline is the latest time at which the call may be handed over.
func (c *call) startDeadline() time.Time {
	if !c.startBy.IsZero() && c.startBy.Before(c.deadline) {
		return c.startBy
	}

	return c.deadline
}
