// Package sidecar implements the agent of a pass-through service. The agent
// relays packets between the entry instances and the backend server on its own
// instance. Package gate makes the decisions; this package does the network
// I/O. Pass-through services don't terminate QUIC: package agent implements the
// agent of the other services.
//
// # Usage
//
//	process, err := sidecar.New(settings, codec, logger)
//	outcome, err := process.Report(report) // status report of the backend server
//	err = process.Run(ctx)
//
// The agent stops without a delay when ctx ends: either its backend server has
// ended, or the agent is being restarted and a delay would prolong the
// interruption.
package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"jayspindle/internal/coordination/gate"
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
	// sweepInterval is shorter than the time between two reports of a backend
	// server, so that missing reports are noticed in time.
	sweepInterval = 250 * time.Millisecond

	// endedGracePeriod is how long after its announcement a backend server may still
	// send. It exits at once if its announcement is acknowledged, which it waits for
	// for a second.
	endedGracePeriod = 1200 * time.Millisecond

	// refusedLogInterval is the time between two log lines about refused reports. Their
	// writer may send them without a pause.
	refusedLogInterval = time.Second

	// slowSlotWait is the wait for a slot from which a request is logged. Added to
	// the service time, it makes a client miss the shortest latency target in use,
	// 120 ms.
	slowSlotWait = 50 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// KindListen means that a socket could not be opened.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("sidecar", operation, kind, err)
}

// Settings configures an agent.
type Settings struct {
	Zone           string
	Service        string
	Data           netip.AddrPort // receives packets from entry instances
	Outbound       netip.AddrPort // receives packets from the backend server
	Backend        netip.AddrPort // the backend server
	ControlAddress netip.AddrPort // receives control messages from other processes
	ClientPort     uint16         // UDP port at which clients receive packets
	Seeds          func() []flow.Endpoint
	// ReportInterval is the time between two reports of the backend server.
	ReportInterval time.Duration
}

// Sidecar relays the packets of one backend server.
type Sidecar struct {
	settings     Settings
	codec        flow.Codec
	logger       *slog.Logger
	data         *socket.Socket
	outbound     *socket.Socket
	control      *frag.Conn
	follower     *follower.Follower
	checkpointer *checkpointer
	answerTimes  *latency.Histogram // time to the first packet of an answer

	started   time.Time
	malformed atomic.Uint64 // datagrams that could not be decoded
	refused   atomic.Uint64 // reports that were refused

	refusedLog rate.Sometimes

	mutex    sync.Mutex // guards everything below
	gate     *gate.Gate
	endedAt  time.Time         // when the backend server announced its end; zero if it is expected to send
	notified map[flow.Key]bool // restored flows that were lost and whose clients got a reset
	stopping bool
	buffer   []byte
}

// New returns an agent with open sockets.
func New(settings Settings, codec flow.Codec, logger *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings: settings, codec: codec, logger: logger, answerTimes: latency.New(),
		notified: make(map[flow.Key]bool), started: time.Now(),
		refusedLog: rate.Sometimes{Interval: refusedLogInterval},
	}
	if err := s.listen(); err != nil {
		return nil, errors.Join(newError("listen", KindListen, err), s.close())
	}

	s.gate = gate.New(gate.Config{
		Service: settings.Service, Boot: s.started, ReportInterval: settings.ReportInterval,
	}, s.answerTimes.Observe)
	s.follower = follower.New(follower.Config{
		Conn: s.control, BootID: rand.Uint64(), Seeds: settings.Seeds, Events: events{s}, Announce: s.announce,
		Predecessor: s.observePredecessor, Logger: logger,
	})
	s.checkpointer = newCheckpointer(s)

	return s, nil
}

// announce returns the record that the agent publishes through the controllers.
func (s *Sidecar) announce(now time.Time) roster.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	record := s.gate.Record(now)

	// An agent that stops after its backend server does not come back, so entry
	// instances need not wait for its replies. With a running one it is only being
	// restarted, and its flows stay open.
	if s.stopping {
		if s.gate.BackendLost(now) {
			record.State = roster.Gone
		} else {
			record.Away = true
		}
	}

	record.Zone = s.settings.Zone
	record.Address, _ = flow.NewEndpoint(s.settings.Data) // it was opened as IPv4

	return record
}

// Run relays packets until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancelCause(ctx)
	tasks := group.New(stop)

	tasks.Go(func() { s.data.Serve(s.packetHandler(s.handleFromForwarder)) })
	tasks.Go(func() { s.outbound.Serve(s.packetHandler(s.handleFromBackend)) })
	tasks.Go(func() { s.control.Serve(s.handleMessage) })
	tasks.Go(func() { s.follower.Run(runCtx) })
	tasks.Go(func() { s.sweep(runCtx) })
	tasks.Go(func() { s.checkpointer.run(runCtx) })

	<-runCtx.Done()

	s.mutex.Lock()
	s.stopping = true
	s.resetLost(time.Now())
	s.deliver(s.gate.ReleaseQueued(time.Now()))
	s.mutex.Unlock()
	s.follower.SendFinalPoll()

	announced := s.announce(time.Now())
	s.logger.Info("announced the stop", "state", announced.State.String(), "away", announced.Away)

	closeErr := s.close()

	tasks.Wait()

	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closeErr
}

// packetHandler returns a datagram handler that decodes packets, calls handle with
// the mutex held, and counts the datagrams that cannot be decoded.
func (s *Sidecar) packetHandler(
	handle func(from netip.AddrPort, header flow.Header, packet []byte),
) func(from netip.AddrPort, datagram []byte) {
	return func(from netip.AddrPort, datagram []byte) {
		header, err := s.codec.Decode(datagram)
		if err != nil {
			s.malformed.Add(1)
			s.logger.Debug("dropped a packet", "from", from, "error", err)

			return
		}

		s.mutex.Lock()
		defer s.mutex.Unlock()

		handle(from, header, datagram)
	}
}

// handleFromForwarder handles a packet of a client.
func (s *Sidecar) handleFromForwarder(from netip.AddrPort, header flow.Header, packet []byte) {
	forwarder, ok := flow.NewEndpoint(from)
	if !ok {
		return
	}

	if header.Declinable {
		s.codec.SetDeclinable(packet, false) // only agents know the mark
	}

	s.execute(header.Key(), header, s.gate.FromClient(time.Now(), forwarder, header, packet), packet)
	s.startRequests()

	if s.gate.CheckpointDue() {
		s.checkpointer.requestCheckpoint()
	}
}

// handleFromBackend handles a packet that the backend server sent, or a client's
// packet that it returned.
func (s *Sidecar) handleFromBackend(_ netip.AddrPort, header flow.Header, packet []byte) {
	key := header.ReplyKey()

	if header.Returned {
		key = header.Key()

		s.codec.Restore(packet)
	}

	s.execute(key, header, s.gate.FromBackend(time.Now(), header), packet)
	s.startRequests()
}

// execute carries out a decision of the gate. The caller holds the mutex.
func (s *Sidecar) execute(key flow.Key, header flow.Header, decision gate.Decision, packet []byte) {
	var err error

	switch decision.Kind {
	case gate.Deliver:
		err = s.outbound.Send(packet, s.settings.Backend)
	case gate.ToClient:
		err = s.sendToClient(key, packet)
	case gate.Return:
		err = s.sendToForwarder(decision.Forwarder,
			wire.Returned{Load: s.gate.Load(time.Now()), Packet: packet}.Append(s.buffer[:0]))
	case gate.Decline:
		declined := wire.Declined{Returned: wire.Returned{Load: s.gate.Load(time.Now()), Packet: packet}}
		err = s.sendToForwarder(decision.Forwarder, declined.Append(s.buffer[:0]))
	case gate.Reset:
		err = s.sendToClient(key, s.codec.AppendReset(s.buffer[:0], key, header.Acknowledged))
	case gate.Drop, gate.Hold:
	}

	switch {
	case decision.Accepted:
		err = errors.Join(err, s.sendToForwarder(decision.Forwarder,
			wire.Accepted{Key: key, Load: s.gate.Load(time.Now())}.Append(s.buffer[:0])))
	case decision.Found:
		err = errors.Join(err, s.sendToForwarder(decision.Forwarder,
			wire.Found{Key: key}.Append(s.buffer[:0])))
	}

	if err != nil {
		s.logger.Debug("could not send a packet", "flow", key.String(), "error", err)
	}

	if decision.Reason != gate.ReasonNone {
		s.logger.Info("did not deliver a packet", "flow", key.String(), "reason", string(decision.Reason),
			"opens", header.Opens(), "reset", decision.Kind == gate.Reset, "in_use", decision.InUse,
			"version", s.gate.Version())
	}
}

// startRequests sends the waiting requests that get a slot to the backend server.
// The caller holds the mutex.
func (s *Sidecar) startRequests() { s.deliver(s.gate.StartQueued(time.Now())) }

// deliver sends requests that have waited to the backend server. The caller holds the
// mutex.
func (s *Sidecar) deliver(requests []gate.StartedRequest) {
	for _, started := range requests {
		if started.Waited >= slowSlotWait {
			s.logger.Info("a request waited for a slot", "flow", started.Key.String(),
				"waited_ms", started.Waited.Milliseconds(), "waiting", s.gate.Load(time.Now()).Waiting)
		}

		for _, packet := range started.Packets {
			if err := s.outbound.Send(packet, s.settings.Backend); err != nil {
				s.logger.Debug("could not send a packet", "flow", started.Key.String(), "error", err)
			}
		}
	}
}

func (s *Sidecar) sendToClient(key flow.Key, packet []byte) error {
	return s.data.Send(packet, netip.AddrPortFrom(key.Client.Addr(), s.settings.ClientPort))
}

// sendToForwarder sends a control message to an entry instance.
func (s *Sidecar) sendToForwarder(forwarder flow.Endpoint, message []byte) error {
	s.buffer = message

	return s.control.Send(netip.AddrPortFrom(forwarder.Addr(), s.settings.ControlAddress.Port()), message)
}

// handleMessage handles a control message from another process.
func (s *Sidecar) handleMessage(from netip.AddrPort, message []byte) {
	kind, body, ok := wire.Split(message)
	if !ok || s.follower.Handle(from, kind, body) || s.checkpointer.handleMessage(from, kind, body) {
		return
	}

	var err error

	switch kind {
	case wire.KindLocate:
		err = s.handleLocate(from, body)
	case wire.KindPointer:
		err = s.handlePointer(body)
	default:
		s.logger.Debug("dropped a message", "from", from, "kind", kind)
	}

	if err != nil {
		s.logger.Warn("could not answer a message", "from", from, "kind", kind, "error", err)
	}
}

// handleLocate answers which flows the backend server holds, after the pointers to
// flows of other agents.
func (s *Sidecar) handleLocate(from netip.AddrPort, body []byte) error {
	locate, err := wire.ParseLocate(body)
	if err != nil {
		return err
	}

	located := wire.Located{ID: locate.ID}
	now := time.Now()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, key := range locate.Keys {
		answer := s.gate.Locate(now, key)
		located.Answers = append(located.Answers, answer)

		if holder, known := s.gate.Pointer(key); known && answer != flow.Held {
			err = errors.Join(err, s.control.Send(from, wire.Pointer{Key: key, Holder: holder}.Append(nil)))
		}
	}

	return errors.Join(err, s.control.Send(from, located.Append(nil)))
}

func (s *Sidecar) handlePointer(body []byte) error {
	pointer, err := wire.ParsePointer(body)
	if err != nil {
		return err
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.gate.Point(time.Now(), pointer.Key, pointer.Holder)

	return nil
}

// sweep periodically expires the state of the gate and starts waiting requests. It
// polls the controllers, which publishes the agent's new record, when the backend
// server stops reporting, or when its requests begin or cease to fail.
func (s *Sidecar) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()

	wasFailing := false

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		s.mutex.Lock()
		changed := s.gate.Sweep(time.Now())
		s.resetLost(time.Now())
		s.startRequests()
		failing := s.gate.Load(time.Now()).Failing
		s.mutex.Unlock()

		if changed {
			s.logger.Warn("the backend server no longer reports")
		}

		if failing != wasFailing {
			s.logger.Warn("the outcome of requests changed", "failing", failing)
		}

		if changed || failing != wasFailing {
			s.follower.Poll()
		}

		wasFailing = failing
	}
}

// events passes documents from the follower to the gate.
type events struct{ *Sidecar }

func (e events) Document(_ time.Time, table *route.Table) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.gate.SetTable(table)
}

func (events) Agents(time.Time, []roster.Record, bool) {}

func (events) Confirmed(_, _ time.Time) {}
