package link

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/transport/identity"
)

// maxRedirects is the number of redirects that a call follows without a backoff.
// Controllers that disagree about the leader could otherwise redirect a call to
// each other in a tight loop.
const maxRedirects = 3

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses lists the servers in order of preference.
	Addresses  []netip.AddrPort
	Identity   *identity.Store
	PeerPolicy identity.Policy
	// Random is the source of the backoff jitter. The caller must not use it
	// after Dial.
	Random *rand.Rand
}

// Client calls one of several servers. It is safe for concurrent use, and its
// calls share one connection.
type Client struct {
	options ClientOptions
	backoff backoff
	// dialSemaphore allows one dial at a time.
	dialSemaphore chan struct{}

	mutex     sync.Mutex
	addresses []netip.AddrPort // the first one is tried next
	current   *session
	closed    bool
}

// Dial returns a client, which connects on first use.
func Dial(options ClientOptions) *Client {
	return &Client{
		options:       options,
		backoff:       backoff{random: options.Random},
		dialSemaphore: make(chan struct{}, 1),
		addresses:     slices.Clone(options.Addresses),
	}
}

// Call sends a request and decodes the reply into reply, a pointer or nil. It
// waits for a connection and follows redirects until ctx ends. A request that
// may have reached a server is never sent twice: KindPathTimeout, KindConnectionLost and
// KindDeadline mean that the outcome is unknown.
func (c *Client) Call(ctx context.Context, method string, request, reply any) error {
	for redirects := 0; ; redirects++ {
		session, err := c.connect(ctx)
		if err != nil {
			return err
		}

		err = session.call(ctx, method, request, reply)
		if err == nil {
			return nil
		}

		err = c.handleFailure(ctx, session, err)
		if kind := KindOf(err); kind != KindRedirect && kind != KindClosing {
			return err
		}

		if _, known := redirectOf(err); !known || redirects >= maxRedirects {
			if waitErr := c.waitBackoff(ctx); waitErr != nil {
				return err
			}
		}
	}
}

// Stream starts a server stream, whose items Stream.Next returns. The stream
// is cancelled when ctx ends.
func (c *Client) Stream(ctx context.Context, method string, request any) (*Stream, error) {
	session, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}

	stream, err := session.open(ctx, method, request)
	if err != nil {
		return nil, c.handleFailure(ctx, session, err)
	}

	return &Stream{client: c, session: session, callStream: stream, ctx: ctx}, nil
}

// Connected returns the identity and the address of the server in use, and false
// if there is no connection.
func (c *Client) Connected() (identity.Identity, netip.AddrPort, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.current == nil || !c.current.alive() {
		return identity.Identity{}, netip.AddrPort{}, false
	}

	return c.current.peer, c.current.address, true
}

// Close closes the connection. Calls in progress fail with KindConnectionLost.
func (c *Client) Close() {
	c.mutex.Lock()
	session := c.current
	c.current, c.closed = nil, true
	c.mutex.Unlock()

	if session != nil {
		session.close()
	}
}

// connect returns the session in use or dials the addresses in turn, with a
// backoff after each round, until ctx ends.
func (c *Client) connect(ctx context.Context) (*session, error) {
	select {
	case c.dialSemaphore <- struct{}{}:
		defer func() { <-c.dialSemaphore }()
	case <-ctx.Done():
		return nil, &Error{operation: operationDial, kind: KindUnreachable, err: context.Cause(ctx)}
	}

	for {
		session, addresses, err := c.sessionOrAddresses()
		if session != nil || err != nil {
			return session, err
		}

		for _, address := range addresses {
			if session, err = c.dial(ctx, address); err == nil {
				return session, nil
			}

			c.demoteAddress(address)

			if ctx.Err() != nil {
				break // the other addresses were not tried, so they keep their order
			}
		}

		if c.waitBackoff(ctx) != nil {
			if err == nil {
				err = context.Cause(ctx)
			}

			return nil, &Error{operation: operationDial, kind: KindUnreachable, err: err}
		}
	}
}

func (c *Client) sessionOrAddresses() (*session, []netip.AddrPort, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return nil, nil, &Error{operation: operationDial, kind: KindUnreachable, err: errors.New("the client is closed")}
	}

	if c.current != nil && c.current.alive() {
		return c.current, nil, nil
	}

	return nil, slices.Clone(c.addresses), nil
}

// dial connects to one address through a new socket.
func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*session, error) {
	metrics.Add(metricDials, 1)

	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	next, err := dialSession(dialCtx, address, c.options.Identity.ClientTLS(c.options.PeerPolicy))
	if err != nil {
		return nil, err
	}

	c.mutex.Lock()
	previous, closed := c.current, c.closed
	if !closed {
		c.current = next
	}
	c.mutex.Unlock()

	if previous != nil {
		previous.close()
	}

	if closed {
		next.close()

		return nil, &Error{operation: operationDial, kind: KindUnreachable, err: errors.New("the client is closed")}
	}

	c.backoff.reset()

	return next, nil
}

// handleFailure selects the server of the next call and returns the error with
// its final kind.
func (c *Client) handleFailure(ctx context.Context, failed *session, err error) error {
	typed := classify("call", err)

	switch typed.kind {
	case KindRedirect:
		metrics.Add(metricRedirects, 1)

		if address, ok := typed.Redirect(); ok {
			c.preferAddress(address, failed)
		} else {
			c.abandonServer(failed)
		}
	case KindClosing:
		c.abandonServer(failed)
	case KindPathTimeout:
		return c.probe(ctx, failed, typed)
	case KindConnectionLost:
		metrics.Add(metricGone, 1)
		c.abandonServer(failed)
	}

	return typed
}

// probe dials, from a new socket, the address of a connection that timed out. The
// peer counts as gone only if this dial fails too.
func (c *Client) probe(ctx context.Context, failed *session, cause *Error) error {
	select {
	case c.dialSemaphore <- struct{}{}:
		defer func() { <-c.dialSemaphore }()
	case <-ctx.Done():
		return cause
	}

	// Another call may have replaced the session already. The failed session can
	// still appear alive, because its streams fail before its context ends.
	if session, _, err := c.sessionOrAddresses(); err != nil || (session != nil && session != failed) {
		return cause
	}

	if _, err := c.dial(ctx, failed.address); err == nil {
		metrics.Add(metricSilent, 1)

		return cause
	} else if ctx.Err() != nil {
		return cause
	}

	metrics.Add(metricGone, 1)
	c.abandonServer(failed)

	return &Error{operation: cause.operation, kind: KindConnectionLost, err: cause.err}
}

// demoteAddress moves an address to the end of the list after a failed dial, so
// that later calls try the other addresses first even if this call's context has
// ended.
func (c *Client) demoteAddress(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if i := slices.Index(c.addresses, address); i >= 0 {
		c.addresses = append(slices.Delete(c.addresses, i, i+1), address)
	}
}

// preferAddress makes the next call dial the given address first, which need not
// be in ClientOptions.Addresses.
func (c *Client) preferAddress(address netip.AddrPort, failed *session) {
	c.abandonSession(failed, func() {
		c.addresses = slices.DeleteFunc(c.addresses, func(other netip.AddrPort) bool { return other == address })
		c.addresses = append([]netip.AddrPort{address}, c.addresses...)
		// Limits the list to one address more than ClientOptions.Addresses, for
		// a redirect to an unlisted address.
		c.addresses = c.addresses[:min(len(c.addresses), len(c.options.Addresses)+1)]
	})
}

// abandonServer stops using a session for new calls and makes the next call try the
// addresses of other servers first.
func (c *Client) abandonServer(failed *session) {
	c.abandonSession(failed, func() {
		before := len(c.addresses)
		c.addresses = slices.DeleteFunc(c.addresses, func(other netip.AddrPort) bool { return other == failed.address })

		if len(c.addresses) < before {
			c.addresses = append(c.addresses, failed.address)
		}
	})
}

// abandonSession stops using a session for new calls and reorders the addresses,
// unless another call has already done so. Calls in progress continue; the
// session closes when the last of them has ended.
func (c *Client) abandonSession(failed *session, reorder func()) {
	c.mutex.Lock()
	isCurrent := c.current == failed

	if isCurrent {
		c.current = nil
		reorder()
	}
	c.mutex.Unlock()

	if isCurrent {
		failed.retire()
	}
}

// waitBackoff waits for the next backoff delay and returns an error if ctx ends
// first.
func (c *Client) waitBackoff(ctx context.Context) error {
	timer := time.NewTimer(c.backoff.nextDelay())
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func redirectOf(err error) (netip.AddrPort, bool) {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Redirect()
	}

	return netip.AddrPort{}, false
}
