// Package forwarder implements the entry instance of pass-through services. It
// forwards the packets of clients to agents. Package steering makes the
// decisions; this package does the network I/O. Pass-through services don't
// terminate QUIC.
//
// # Usage
//
//	process, err := forwarder.New(settings, codec, logger)
//	err = process.Run(ctx)
//
// After ctx ends the instance reports that it is not ready and goes on
// forwarding until the network in front of the entry instances has taken it out
// of rotation.
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
	"jayspindle/internal/program/uptime"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
	"jayspindle/internal/transport/frag"
	"jayspindle/internal/transport/socket"
)

const (
	// maxTickInterval bounds the time between two ticks of the router, which takes twice as
	// much for a pause.
	maxTickInterval = steering.MinPause / 2
)

// Kind classifies an Error.
type Kind string

// KindListen means that a socket could not be opened.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("forwarder", operation, kind, err)
}

// Settings configures an entry instance.
type Settings struct {
	Zone           string
	Data           netip.AddrPort // receives the packets of clients
	ControlAddress netip.AddrPort // receives control messages from other processes
	ClientPort     uint16         // UDP port at which clients receive packets
	Seeds          func() []flow.Endpoint
	// Linger is how long the instance forwards after it reports that it is not
	// ready: the network in front of the entry instances needs several health
	// checks to take it out of rotation.
	Linger time.Duration
	// LinkBytesPerSecond is the bandwidth of the instance in bytes per second; 0 if unknown.
	LinkBytesPerSecond float64
}

// Forwarder forwards the packets that arrive at one entry instance.
type Forwarder struct {
	settings  Settings
	codec     flow.Codec
	logger    *slog.Logger
	data      *socket.Socket
	control   *frag.Conn
	follower  *follower.Follower
	openTimes *latency.Histogram // time until a new flow was accepted
	stopping  atomic.Bool

	malformed atomic.Uint64 // datagrams that could not be decoded
	wake      chan struct{} // signals that the router may have an earlier due time

	mutex  sync.Mutex // guards everything below
	router *steering.Router
	buffer []byte
}

// New returns an entry instance with open sockets.
func New(settings Settings, codec flow.Codec, logger *slog.Logger) (*Forwarder, error) {
	data, err := socket.Listen(settings.Data, logger)
	if err != nil {
		return nil, newError("listen", KindListen, err)
	}

	control, err := frag.Listen(settings.ControlAddress, logger)
	if err != nil {
		return nil, errors.Join(newError("listen", KindListen, err), data.Close())
	}

	openTimes := latency.New()
	f := &Forwarder{
		settings: settings, codec: codec, logger: logger, data: data, control: control, openTimes: openTimes,
		wake: make(chan struct{}, 1),
		router: steering.New(steering.Config{
			Zone: settings.Zone, Boot: time.Now(), LinkBytesPerSecond: settings.LinkBytesPerSecond,
			ObserveOpen: openTimes.Observe, FirstQuestion: rand.Uint32(), Suspended: uptime.Suspended,
		}),
	}
	f.follower = follower.New(follower.Config{
		Conn: control, BootID: rand.Uint64(), Seeds: settings.Seeds, Events: events{f}, WantsAgents: true, Logger: logger,
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

// Metrics holds the counters and the state of an entry instance.
type Metrics struct {
	Decisions steering.Counters `json:"decisions"`
	Flows     int               `json:"flows"`   // entries of the flow table
	Version   uint64            `json:"version"` // of the document in force
	Opened    latency.Summary   `json:"opened"`  // time until a new flow was accepted
	Malformed uint64            `json:"malformed"`
}

// Metrics returns the current state, and the counts since the start.
func (f *Forwarder) Metrics() Metrics {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return Metrics{
		Decisions: f.router.Counters(), Flows: f.router.Flows(), Version: f.router.Version(),
		Opened: f.openTimes.Summary(), Malformed: f.malformed.Load() + f.control.Dropped(),
	}
}

// Run forwards packets until ctx ends and the linger time has passed.
func (f *Forwarder) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	tasks := group.New(stop)

	tasks.Go(func() { f.data.Serve(f.handlePacket) })
	tasks.Go(func() { f.control.Serve(f.handleMessage) })
	tasks.Go(func() { f.follower.Run(runCtx) })
	tasks.Go(func() { f.runTicks(runCtx) })

	select {
	case <-ctx.Done():
		f.stopping.Store(true)
		f.logger.Info("stopping", "linger_ms", f.settings.Linger.Milliseconds())

		select {
		case <-time.After(f.settings.Linger):
		case <-runCtx.Done():
		}
	case <-runCtx.Done():
	}

	stop(nil)

	closeErr := errors.Join(f.data.Close(), f.control.Close())

	tasks.Wait()

	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closeErr
}

// handlePacket handles a packet of a client.
func (f *Forwarder) handlePacket(_ netip.AddrPort, packet []byte) {
	header, err := f.codec.Decode(packet)
	if err != nil {
		f.malformed.Add(1)
		f.logger.Debug("dropped a packet", "error", err)

		return
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.execute(f.router.Packet(time.Now(), header, packet))
}

// handleMessage handles a control message from another process.
func (f *Forwarder) handleMessage(from netip.AddrPort, message []byte) {
	kind, body, ok := wire.Split(message)
	if !ok || f.follower.Handle(from, kind, body) {
		return
	}

	// An agent is identified by the address at which it receives packets. All
	// processes use the same data port.
	sender, ok := flow.NewEndpoint(netip.AddrPortFrom(from.Addr(), f.settings.Data.Port()))
	if !ok {
		return
	}

	if err := f.handleFromAgent(sender, kind, body); err != nil {
		f.logger.Warn("dropped a message", "from", from, "kind", kind, "error", err)
	}
}

func (f *Forwarder) handleFromAgent(sender flow.Endpoint, kind wire.Kind, body []byte) error {
	now := time.Now()

	f.mutex.Lock()
	defer f.mutex.Unlock()

	switch kind {
	case wire.KindAccepted:
		accepted, err := wire.ParseAccepted(body)
		if err != nil {
			return err
		}

		f.execute(f.router.Accepted(now, sender, accepted.Key, accepted.Load))
	case wire.KindLocated:
		located, err := wire.ParseLocated(body)
		if err != nil {
			return err
		}

		f.execute(f.router.Located(now, sender, located.ID, located.Answers))
	case wire.KindFound:
		found, err := wire.ParseFound(body)
		if err != nil {
			return err
		}

		f.execute(f.router.Found(now, sender, found.Key))
	case wire.KindPointer:
		pointer, err := wire.ParsePointer(body)
		if err != nil {
			return err
		}

		f.execute(f.router.Pointed(now, pointer.Key, pointer.Holder))
	case wire.KindReturned, wire.KindDeclined:
		returned, err := wire.ParseReturned(body)
		if err != nil {
			return err
		}

		header, err := f.codec.Decode(returned.Packet)
		if err != nil {
			return err
		}

		if kind == wire.KindDeclined {
			f.execute(f.router.Declined(now, sender, header, returned.Load))
		} else {
			f.execute(f.router.Returned(now, sender, header, returned.Packet, returned.Load))
		}
	default:
		return errors.New("unexpected message kind")
	}

	return nil
}

// execute carries out actions of the router. The caller holds the mutex.
func (f *Forwarder) execute(actions []steering.Action) {
	for i := range actions {
		f.executeOne(&actions[i])
	}

	if _, waiting := f.router.Due(); waiting {
		select {
		case f.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
}

func (f *Forwarder) executeOne(action *steering.Action) {
	var err error

	switch action.Kind {
	case steering.Forward:
		if action.Declinable {
			f.codec.SetDeclinable(action.Packet, true)
			defer f.codec.SetDeclinable(action.Packet, false)
		}

		err = f.data.Send(action.Packet, action.To.AddrPort())
	case steering.Reset:
		f.buffer = f.codec.AppendReset(f.buffer[:0], action.Key, action.Sequence)
		client := netip.AddrPortFrom(action.Key.Client.Addr(), f.settings.ClientPort)
		err = f.data.Send(f.buffer, client)
	case steering.Locate:
		f.buffer = wire.Locate{ID: action.Question.ID, Keys: action.Question.Keys}.Append(f.buffer[:0])
		agent := netip.AddrPortFrom(action.To.Addr(), f.settings.ControlAddress.Port())
		err = f.control.Send(agent, f.buffer)
	case steering.Point:
		f.buffer = wire.Pointer{Key: action.Key, Holder: action.Holder}.Append(f.buffer[:0])
		agent := netip.AddrPortFrom(action.To.Addr(), f.settings.ControlAddress.Port())
		err = f.control.Send(agent, f.buffer)
	case steering.Poll:
		f.follower.Poll()
	case steering.GiveUp:
	}

	if err != nil {
		f.logger.Debug("could not send a packet", "flow", action.Key.String(), "error", err)
	}

	message := "moved or refused a flow"
	switch {
	case action.Reason == steering.ReasonStale:
		message = "left the opening of a flow unanswered"
	case action.Kind == steering.GiveUp:
		message = "did not find the agent of a flow"
	}

	if action.Reason != steering.ReasonNone {
		f.logger.Info(message, "flow", action.Key.String(), "reason", string(action.Reason),
			"agent", action.To.String(), "version", f.router.Version())
	}
}

// runTicks calls the router whenever a decision that depends on time is due.
func (f *Forwarder) runTicks(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(f.untilNextTick())

		select {
		case <-timer.C:
			f.mutex.Lock()
			f.execute(f.router.Tick(time.Now()))
			f.mutex.Unlock()
		case <-f.wake:
		case <-ctx.Done():
		}

		timer.Stop()
	}
}

func (f *Forwarder) untilNextTick() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	due, ok := f.router.Due()
	if !ok {
		return maxTickInterval
	}

	return min(maxTickInterval, max(0, time.Until(due)))
}

// events passes documents and agent records from the follower to the router.
type events struct{ *Forwarder }

func (e events) Document(_ time.Time, table *route.Table) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.router.SetTable(table)
}

func (e events) Agents(now time.Time, records []roster.Record, complete bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.router.Apply(now, records, complete)
}

func (e events) Confirmed(now, polled time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.execute(e.router.Confirm(now, polled))
}
