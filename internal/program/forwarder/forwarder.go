// Package forwarder is the entry instance of pass-through services: it forwards
// the packets of clients to agents. Package steering decides; this package
// holds the sockets.
//
// # Usage
//
//	process, err := forwarder.New(settings, codec, logger)
//	err = process.Run(ctx)
//
// After ctx ends the instance reports that it is not ready and goes on
// forwarding until the fabric has taken it out of rotation.
package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/program/follower"
	"jayspindle/internal/program/group"
	"jayspindle/internal/program/latency"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
	"jayspindle/internal/transport/frag"
	"jayspindle/internal/transport/socket"
)

const (
	// idleTick bounds the wait for the next decision that depends on time.
	idleTick = time.Second
)

// Kind classifies an Error.
type Kind string

// KindListen is the kind of errors of sockets that cannot be opened.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("forwarder", operation, kind, err)
}

// Settings configures an entry instance.
type Settings struct {
	Zone       string
	Data       netip.AddrPort // receives the packets of clients
	Inner      netip.AddrPort // messages of the other processes
	ClientPort uint16         // UDP port at which clients receive packets
	Seeds      func() []flow.Endpoint
	// Linger is how long the instance forwards after it reports that it is not
	// ready: the fabric needs several health checks to take it out of rotation.
	Linger time.Duration
	// Link is the bandwidth of the instance in bytes a second; 0 if it is not
	// known.
	Link float64
}

// Forwarder is one entry instance.
type Forwarder struct {
	settings Settings
	codec    flow.Codec
	logger   *slog.Logger
	data     *socket.Socket
	inner    *frag.Conn
	follower *follower.Follower
	opened   *latency.Histogram // time until a new flow was accepted
	stopping atomic.Bool

	malformed atomic.Uint64 // datagrams that are no packets
	wake      chan struct{}

	mutex  sync.Mutex // guards everything below
	router *steering.Router
	buffer []byte
}

// New opens the sockets.
func New(settings Settings, codec flow.Codec, logger *slog.Logger) (*Forwarder, error) {
	data, err := socket.Listen(settings.Data, logger)
	if err != nil {
		return nil, newError("listen", KindListen, err)
	}

	inner, err := frag.Listen(settings.Inner, logger)
	if err != nil {
		return nil, errors.Join(newError("listen", KindListen, err), data.Close())
	}

	opened := latency.New()
	f := &Forwarder{
		settings: settings, codec: codec, logger: logger, data: data, inner: inner, opened: opened,
		wake: make(chan struct{}, 1),
		router: steering.New(steering.Config{
			Zone: settings.Zone, Boot: time.Now(), Link: settings.Link, Opened: opened.Observe,
		}),
	}
	f.follower = follower.New(follower.Config{
		Conn: inner, Boot: rand.Uint64(), Seeds: settings.Seeds, Events: events{f}, Follows: true, Logger: logger,
	})

	return f, nil
}

// Ready reports whether the instance can serve new flows.
func (f *Forwarder) Ready() bool {
	if f.stopping.Load() {
		return false
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.router.Serving()
}

// Metrics is what an entry instance counts.
type Metrics struct {
	Decisions steering.Counters `json:"decisions"`
	Flows     int               `json:"flows"`   // whose place is known
	Version   uint64            `json:"version"` // of the document in force
	Opened    latency.Summary   `json:"opened"`  // time until a new flow was accepted
	Malformed uint64            `json:"malformed"`
}

// Metrics returns the counts since the start.
func (f *Forwarder) Metrics() Metrics {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return Metrics{
		Decisions: f.router.Counters(), Flows: f.router.Flows(), Version: f.router.Version(),
		Opened: f.opened.Summary(), Malformed: f.malformed.Load() + f.inner.Dropped(),
	}
}

// Run forwards packets until ctx ends and the linger time has passed.
func (f *Forwarder) Run(ctx context.Context) error {
	running, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	parts := group.New(stop)

	parts.Go(func() { f.data.Serve(f.packet) })
	parts.Go(func() { f.inner.Serve(f.handle) })
	parts.Go(func() { f.follower.Run(running) })
	parts.Go(func() { f.tick(running) })

	select {
	case <-ctx.Done():
		f.stopping.Store(true)
		f.logger.Info("stopping", "linger_ms", f.settings.Linger.Milliseconds())

		select {
		case <-time.After(f.settings.Linger):
		case <-running.Done():
		}
	case <-running.Done():
	}

	stop(nil)

	closing := errors.Join(f.data.Close(), f.inner.Close())

	parts.Wait()

	if cause := context.Cause(running); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closing
}

// packet handles a packet of a client.
func (f *Forwarder) packet(_ netip.AddrPort, packet []byte) {
	header, err := f.codec.Decode(packet)
	if err != nil {
		f.malformed.Add(1)
		f.logger.Debug("dropped a packet", "error", err)

		return
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.do(f.router.Packet(time.Now(), header, packet))
}

// handle handles a message from another process.
func (f *Forwarder) handle(from netip.AddrPort, message []byte) {
	kind, body, ok := wire.Split(message)
	if !ok || f.follower.Handle(from, kind, body) {
		return
	}

	// Agents are known by the address that receives packets, on the same port
	// everywhere.
	sender, ok := flow.NewEndpoint(netip.AddrPortFrom(from.Addr(), f.settings.Data.Port()))
	if !ok {
		return
	}

	if err := f.fromAgent(sender, kind, body); err != nil {
		f.logger.Warn("dropped a message", "from", from, "kind", kind, "error", err)
	}
}

func (f *Forwarder) fromAgent(sender flow.Endpoint, kind wire.Kind, body []byte) error {
	now := time.Now()

	f.mutex.Lock()
	defer f.mutex.Unlock()

	switch kind {
	case wire.KindAccepted:
		accepted, err := wire.ParseAccepted(body)
		if err != nil {
			return err
		}

		f.do(f.router.Accepted(now, sender, accepted.Key, accepted.Load))
	case wire.KindLocated:
		located, err := wire.ParseLocated(body)
		if err != nil {
			return err
		}

		f.do(f.router.Located(now, sender, located.ID, located.Answers))
	case wire.KindFound:
		found, err := wire.ParseFound(body)
		if err != nil {
			return err
		}

		f.do(f.router.Found(now, sender, found.Key))
	case wire.KindReturned:
		returned, err := wire.ParseReturned(body)
		if err != nil {
			return err
		}

		header, err := f.codec.Decode(returned.Packet)
		if err != nil {
			return err
		}

		f.do(f.router.Returned(now, sender, header, returned.Packet, returned.Load))
	default:
		return errors.New("nobody waits for this kind")
	}

	return nil
}

// do carries out actions. The caller holds the mutex.
func (f *Forwarder) do(actions []steering.Action) {
	for i := range actions {
		f.doOne(&actions[i])
	}

	if _, waiting := f.router.Due(); waiting {
		select {
		case f.wake <- struct{}{}:
		default: // the goroutine is awake already
		}
	}
}

func (f *Forwarder) doOne(action *steering.Action) {
	var err error

	switch action.Kind {
	case steering.Forward:
		err = f.data.Send(action.Packet, action.To.AddrPort())
	case steering.Reset:
		f.buffer = f.codec.AppendReset(f.buffer[:0], action.Key, action.Sequence)
		client := netip.AddrPortFrom(action.Key.Client.Addr(), f.settings.ClientPort)
		err = f.data.Send(f.buffer, client)
	case steering.Locate:
		f.buffer = wire.Locate{ID: action.Question.ID, Keys: action.Question.Keys}.Append(f.buffer[:0])
		agent := netip.AddrPortFrom(action.To.Addr(), f.settings.Inner.Port())
		err = f.inner.Send(agent, f.buffer)
	}

	if err != nil {
		f.logger.Debug("a packet did not leave", "flow", action.Key.String(), "error", err)
	}

	if action.Reason != steering.ReasonNone {
		f.logger.Info("moved or refused a flow", "flow", action.Key.String(), "reason", string(action.Reason),
			"agent", action.To.String(), "version", f.router.Version())
	}
}

// tick drives the decisions that depend on time.
func (f *Forwarder) tick(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(f.nextTick())

		select {
		case <-timer.C:
			f.mutex.Lock()
			f.do(f.router.Tick(time.Now()))
			f.mutex.Unlock()
		case <-f.wake:
		case <-ctx.Done():
		}

		timer.Stop()
	}
}

func (f *Forwarder) nextTick() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	due, ok := f.router.Due()
	if !ok {
		return idleTick
	}

	return min(idleTick, max(0, time.Until(due)))
}

// events passes what the follower learns to the router.
type events struct{ *Forwarder }

func (e events) Document(_ time.Time, table *route.Table) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.router.Follow(table)
}

func (e events) Agents(now time.Time, records []roster.Record, whole bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.router.Apply(now, records, whole)
}

func (e events) Confirmed(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.router.Confirm(now)
}
