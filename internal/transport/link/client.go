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

// maxRedirects is the number of redirects that a call follows without a wait.
// Controllers that disagree about the leader could otherwise pass a call around.
const maxRedirects = 3

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses lists the servers in order of preference.
	Addresses []netip.AddrPort
	Identity  *identity.Store
	Accept    identity.Policy
	// Random is the source of the jitter between dials. The client owns it.
	Random *rand.Rand
}

// Client calls one of several servers. It is safe for concurrent use, and its
// calls share one connection.
type Client struct {
	options ClientOptions
	backoff backoff
	// dialing admits one dialer at a time.
	dialing chan struct{}

	mutex     sync.Mutex
	addresses []netip.AddrPort // the first one is tried next
	current   *session
	closed    bool
}

// Dial returns a client. It connects on first use.
func Dial(options ClientOptions) *Client {
	return &Client{
		options:   options,
		backoff:   backoff{random: options.Random},
		dialing:   make(chan struct{}, 1),
		addresses: slices.Clone(options.Addresses),
	}
}

// Call sends a request and decodes the reply into reply, a pointer or nil. It
// waits for a connection and follows redirects until ctx ends. A request that
// may have reached a server is never sent twice: KindSilent, KindGone and
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

		err = c.afterFailure(ctx, session, err)
		if kind := KindOf(err); kind != KindRedirect && kind != KindClosing {
			return err
		}

		if _, known := redirectOf(err); !known || redirects >= maxRedirects {
			if waitErr := c.wait(ctx); waitErr != nil {
				return err
			}
		}
	}
}

// Stream starts a server stream. Its items come from Stream.Next; ctx bounds
// the whole stream.
func (c *Client) Stream(ctx context.Context, method string, request any) (*Stream, error) {
	session, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}

	stream, err := session.open(ctx, method, request)
	if err != nil {
		return nil, c.afterFailure(ctx, session, err)
	}

	return &Stream{client: c, session: session, exchange: stream, ctx: ctx}, nil
}

// Connected returns the server that calls go to at present.
func (c *Client) Connected() (identity.Identity, netip.AddrPort, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.current == nil || !c.current.alive() {
		return identity.Identity{}, netip.AddrPort{}, false
	}

	return c.current.peer, c.current.address, true
}

// Close closes the connection. Calls in progress fail with KindGone.
func (c *Client) Close() {
	c.mutex.Lock()
	session := c.current
	c.current, c.closed = nil, true
	c.mutex.Unlock()

	if session != nil {
		session.close()
	}
}

// connect returns the connection in use or dials the addresses in turn, with
// a wait after each round, until ctx ends.
func (c *Client) connect(ctx context.Context) (*session, error) {
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, &Error{operation: operationDial, kind: KindUnreachable, err: context.Cause(ctx)}
	}

	for {
		session, addresses, err := c.state()
		if session != nil || err != nil {
			return session, err
		}

		for _, address := range addresses {
			if session, err = c.dial(ctx, address); err == nil {
				return session, nil
			}

			c.demote(address)

			if ctx.Err() != nil {
				break // the other addresses were not tried, so they keep their order
			}
		}

		if c.wait(ctx) != nil {
			if err == nil {
				err = context.Cause(ctx)
			}

			return nil, &Error{operation: operationDial, kind: KindUnreachable, err: err}
		}
	}
}

func (c *Client) state() (*session, []netip.AddrPort, error) {
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

	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	next, err := dialSession(limited, address, c.options.Identity.ClientTLS(c.options.Accept))
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

// afterFailure decides where the next call goes and returns the error with
// its final kind.
func (c *Client) afterFailure(ctx context.Context, failed *session, err error) error {
	typed := classify("call", err)

	switch typed.kind {
	case KindRedirect:
		metrics.Add(metricRedirects, 1)

		if address, ok := typed.Redirect(); ok {
			c.prefer(address, failed)
		} else {
			c.avoid(failed)
		}
	case KindClosing:
		c.avoid(failed)
	case KindSilent:
		return c.probe(ctx, failed, typed)
	case KindGone:
		metrics.Add(metricGone, 1)
		c.avoid(failed)
	}

	return typed
}

// probe tries a new socket to the address of a silent connection. Only when
// that fails too does the peer count as gone.
func (c *Client) probe(ctx context.Context, failed *session, cause *Error) error {
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return cause
	}

	// Another call may have replaced the connection already. The failed one can
	// still look alive here: its streams fail before its context ends.
	if session, _, err := c.state(); err != nil || (session != nil && session != failed) {
		return cause
	}

	if _, err := c.dial(ctx, failed.address); err == nil {
		metrics.Add(metricSilent, 1)

		return cause
	} else if ctx.Err() != nil {
		return cause
	}

	metrics.Add(metricGone, 1)
	c.avoid(failed)

	return &Error{operation: cause.operation, kind: KindGone, err: cause.err}
}

// demote makes later dials try the other addresses first, also those of calls
// whose time has run out during this one.
func (c *Client) demote(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if i := slices.Index(c.addresses, address); i >= 0 {
		c.addresses = append(slices.Delete(c.addresses, i, i+1), address)
	}
}

// prefer makes the next call go to an address, which need not be in the list.
func (c *Client) prefer(address netip.AddrPort, from *session) {
	c.leave(from, func() {
		c.addresses = slices.DeleteFunc(c.addresses, func(other netip.AddrPort) bool { return other == address })
		c.addresses = append([]netip.AddrPort{address}, c.addresses...)
		// A redirect to an address outside the list replaces the last such one.
		c.addresses = c.addresses[:min(len(c.addresses), len(c.options.Addresses)+1)]
	})
}

// avoid makes the next call try the other addresses first.
func (c *Client) avoid(from *session) {
	c.leave(from, func() {
		before := len(c.addresses)
		c.addresses = slices.DeleteFunc(c.addresses, func(other netip.AddrPort) bool { return other == from.address })

		if len(c.addresses) < before {
			c.addresses = append(c.addresses, from.address)
		}
	})
}

// leave reorders the addresses unless another call has already left the
// session. Other calls finish on it; it closes when the last one has ended.
func (c *Client) leave(from *session, reorder func()) {
	c.mutex.Lock()
	current := c.current == from

	if current {
		c.current = nil
		reorder()
	}
	c.mutex.Unlock()

	if current {
		from.retire()
	}
}

// wait waits for the backoff and returns an error if ctx ends first.
func (c *Client) wait(ctx context.Context) error {
	timer := time.NewTimer(c.backoff.next())
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
