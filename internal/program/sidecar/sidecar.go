// Package sidecar is the agent of a pass-through service: it stands between
// entry instances and the backend server on its own instance. Package gate
// decides; this package holds the sockets.
//
// # Usage
//
//	process, err := sidecar.New(settings, codec, logger)
//	outcome, err := process.Report(report) // what the backend server says of itself
//	err = process.Run(ctx)
//
// The agent stops at once when ctx ends: the backend server beside it has
// ended, or the agent is restarted, and then every moment counts.
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
	// sweepInterval is a fraction of the time between two reports of a backend
	// server.
	sweepInterval = 250 * time.Millisecond

	// longWait is the wait for a slot from which a request is logged: together
	// with the work it makes a client miss the shortest aim in use, 120 ms.
	longWait = 50 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// KindListen is the kind of errors of sockets that cannot be opened.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("sidecar", operation, kind, err)
}

// Settings configures an agent.
type Settings struct {
	Zone       string
	Service    string
	Data       netip.AddrPort // receives packets from entry instances
	Outbound   netip.AddrPort // receives packets from the backend server
	Backend    netip.AddrPort // the backend server
	Inner      netip.AddrPort // messages of the other processes
	ClientPort uint16         // UDP port at which clients receive packets
	Seeds      func() []flow.Endpoint
	// ReportInterval is the time between two reports of the backend server.
	ReportInterval time.Duration
}

// Sidecar is one agent.
type Sidecar struct {
	settings Settings
	codec    flow.Codec
	logger   *slog.Logger
	data     *socket.Socket
	outbound *socket.Socket
	inner    *frag.Conn
	follower *follower.Follower
	keeper   *keeper
	answers  *latency.Histogram // time to the first packet of an answer

	malformed atomic.Uint64 // datagrams that are no packets

	mutex    sync.Mutex // guards everything below
	gate     *gate.Gate
	told     map[flow.Key]bool // clients that learned that a flow of an earlier start is lost
	stopping bool
	buffer   []byte
}

// New opens the sockets.
func New(settings Settings, codec flow.Codec, logger *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings: settings, codec: codec, logger: logger, answers: latency.New(), told: make(map[flow.Key]bool),
	}
	if err := s.listen(); err != nil {
		return nil, errors.Join(newError("listen", KindListen, err), s.close())
	}

	s.gate = gate.New(gate.Config{
		Service: settings.Service, Boot: time.Now(), ReportInterval: settings.ReportInterval,
	}, s.answers.Observe)
	s.follower = follower.New(follower.Config{
		Conn: s.inner, Boot: rand.Uint64(), Seeds: settings.Seeds, Events: events{s}, Announce: s.announce, Logger: logger,
	})
	s.keeper = newKeeper(s)

	return s, nil
}

// announce describes the agent to controllers.
func (s *Sidecar) announce(now time.Time) roster.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	record := s.gate.Record(now)

	// Without its backend server the agent is not coming back: nobody has to
	// wait for its answers. Otherwise it is only restarted.
	if s.stopping && (record.State == roster.Ended || record.State == roster.Starting) {
		record.State = roster.Gone
	}

	record.Zone = s.settings.Zone
	record.Address, _ = flow.NewEndpoint(s.settings.Data) // it was opened as IPv4

	return record
}

// Report applies what the backend server says of itself. When it returns, a
// backend server that is leaving gets no new flows.
func (s *Sidecar) Report(report gate.Report) (gate.Outcome, error) {
	s.mutex.Lock()
	outcome, err := s.gate.Report(time.Now(), report)

	if outcome == gate.Changed {
		s.reset(s.gate.Orphans())
	}
	s.mutex.Unlock()

	switch {
	case err != nil:
		s.logger.Warn("refused a report", "id", report.ID, "error", err)
	case outcome == gate.Late:
		s.logger.Info("ignored a late report", "id", report.ID, "born", report.Born, "sequence", report.Sequence)
	case outcome == gate.Changed:
		s.logger.Info("the backend server changed", "id", report.ID, "born", report.Born, "sequence", report.Sequence,
			"leaving", report.Leaving, "slots", report.Slots, "cold_ms", report.Cold.Milliseconds())
		s.follower.Poll()
	}

	return outcome, err
}

// Leave notes that the backend server has ended its work.
func (s *Sidecar) Leave(id string, born int64) {
	s.mutex.Lock()
	outcome := s.gate.Leave(id, born)
	s.mutex.Unlock()

	s.logger.Info("the backend server says that it ends", "id", id, "born", born, "late", outcome == gate.Late)

	if outcome == gate.Changed {
		s.follower.Poll()
	}
}

// reset tells clients that the backend server of their flow has ended. The
// caller holds the mutex.
func (s *Sidecar) reset(orphans []gate.Orphan) {
	if len(orphans) == 0 {
		return
	}

	for _, orphan := range orphans {
		s.buffer = s.codec.AppendReset(s.buffer[:0], orphan.Key, orphan.Sequence)
		if err := s.toClient(orphan.Key, s.buffer); err != nil {
			s.logger.Debug("a reset did not leave", "flow", orphan.Key.String(), "error", err)
		}
	}

	s.logger.Info("reset the flows of a backend server that has ended", "flows", len(orphans))
}

// Run passes packets until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	running, stop := context.WithCancelCause(ctx)
	parts := group.New(stop)

	parts.Go(func() { s.data.Serve(s.packets(s.fromForwarder)) })
	parts.Go(func() { s.outbound.Serve(s.packets(s.fromBackend)) })
	parts.Go(func() { s.inner.Serve(s.handle) })
	parts.Go(func() { s.follower.Run(running) })
	parts.Go(func() { s.sweep(running) })
	parts.Go(func() { s.keeper.run(running) })

	<-running.Done()

	s.mutex.Lock()
	s.stopping = true
	s.mutex.Unlock()
	s.follower.Farewell()

	closing := s.close()

	parts.Wait()

	if cause := context.Cause(running); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closing
}

// packets returns a handler of datagrams that passes on the packets among them.
func (s *Sidecar) packets(
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

// fromForwarder handles a packet of a client.
func (s *Sidecar) fromForwarder(from netip.AddrPort, header flow.Header, packet []byte) {
	forwarder, ok := flow.NewEndpoint(from)
	if !ok {
		return
	}

	s.do(header.Key(), header, s.gate.FromClient(time.Now(), forwarder, header, packet), packet)
	s.start()
}

// fromBackend handles a packet of the backend server, or one that it returned.
func (s *Sidecar) fromBackend(_ netip.AddrPort, header flow.Header, packet []byte) {
	key := header.ReplyKey()

	if header.Returned {
		key = header.Key()

		s.codec.Restore(packet)
	}

	s.do(key, header, s.gate.FromBackend(time.Now(), header), packet)
	s.start()
}

// do carries out a decision. The caller holds the mutex.
func (s *Sidecar) do(key flow.Key, header flow.Header, decision gate.Decision, packet []byte) {
	var err error

	switch decision.Kind {
	case gate.Deliver:
		err = s.outbound.Send(packet, s.settings.Backend)
	case gate.ToClient:
		err = s.toClient(key, packet)
	case gate.Return:
		err = s.notify(decision.Forwarder, wire.Returned{Load: s.gate.Load(time.Now()), Packet: packet}.Append(s.buffer[:0]))
	case gate.Reset:
		err = s.toClient(key, s.codec.AppendReset(s.buffer[:0], key, header.Acknowledged))
	case gate.Drop, gate.Hold:
	}

	switch {
	case decision.Accepted:
		err = errors.Join(err, s.notify(decision.Forwarder,
			wire.Accepted{Key: key, Load: s.gate.Load(time.Now())}.Append(s.buffer[:0])))
	case decision.Found:
		err = errors.Join(err, s.notify(decision.Forwarder,
			wire.Found{Key: key}.Append(s.buffer[:0])))
	}

	if err != nil {
		s.logger.Debug("a packet did not leave", "flow", key.String(), "error", err)
	}

	if decision.Reason != gate.ReasonNone {
		s.logger.Info("did not deliver a packet", "flow", key.String(), "reason", string(decision.Reason),
			"opens", header.Opens(), "reset", decision.Kind == gate.Reset, "version", s.gate.Version())
	}
}

// start hands over the requests that get a slot. The caller holds the mutex.
func (s *Sidecar) start() {
	for _, started := range s.gate.Start(time.Now()) {
		if started.Waited >= longWait {
			s.logger.Info("a request waited for a slot", "flow", started.Key.String(),
				"waited_ms", started.Waited.Milliseconds(), "waiting", s.gate.Load(time.Now()).Waiting)
		}

		for _, packet := range started.Packets {
			if err := s.outbound.Send(packet, s.settings.Backend); err != nil {
				s.logger.Debug("a packet did not leave", "flow", started.Key.String(), "error", err)
			}
		}
	}
}

func (s *Sidecar) toClient(key flow.Key, packet []byte) error {
	return s.data.Send(packet, netip.AddrPortFrom(key.Client.Addr(), s.settings.ClientPort))
}

// notify sends a message to an entry instance.
func (s *Sidecar) notify(forwarder flow.Endpoint, message []byte) error {
	s.buffer = message

	return s.inner.Send(netip.AddrPortFrom(forwarder.Addr(), s.settings.Inner.Port()), message)
}

// handle handles a message from another process.
func (s *Sidecar) handle(from netip.AddrPort, message []byte) {
	kind, body, ok := wire.Split(message)
	if !ok || s.follower.Handle(from, kind, body) || s.keeper.handle(from, kind, body) {
		return
	}

	if kind != wire.KindLocate {
		s.logger.Debug("dropped a message", "from", from, "kind", kind)

		return
	}

	asked, err := wire.ParseLocate(body)
	if err != nil {
		s.logger.Warn("dropped a message", "from", from, "error", err)

		return
	}

	located := wire.Located{ID: asked.ID}
	now := time.Now()

	s.mutex.Lock()
	for _, key := range asked.Keys {
		located.Answers = append(located.Answers, s.gate.Locate(now, key))
	}
	s.mutex.Unlock()

	if err := s.inner.Send(from, located.Append(nil)); err != nil {
		s.logger.Debug("an answer did not leave", "to", from, "error", err)
	}
}

// sweep drives what depends on time.
func (s *Sidecar) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()

	failed := false

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		s.mutex.Lock()
		changed := s.gate.Sweep(time.Now())
		s.start()
		failing := s.gate.Load(time.Now()).Failing
		s.mutex.Unlock()

		if changed {
			s.logger.Warn("the backend server no longer reports")
		}

		if failing != failed {
			s.logger.Warn("the outcome of requests changed", "failing", failing)
		}

		if changed || failing != failed {
			s.follower.Poll()
		}

		failed = failing
	}
}

// events passes what the follower learns to the gate.
type events struct{ *Sidecar }

func (e events) Document(_ time.Time, table *route.Table) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	e.gate.Follow(table)
}

func (events) Agents(time.Time, []roster.Record, bool) {}

func (events) Confirmed(time.Time) {}
