// Package registry is the controller of pass-through deployments: it holds a replica
// of the document in force and the list of live agents.
//
// # Usage
//
//	process, err := registry.New(settings, decodeDocument, logger)
//	version, err := process.Submit(ctx, version, document)
//	version, document, err := process.Newest(ctx)
//	err = process.Run(ctx)
//
// # Structure
//
// One goroutine, the owner, runs the event loop and holds the replicated log and the
// catalog. It may block on the disk. Polls of instances are answered from the state
// that the owner has published, so they don't wait for it. The list of agents is
// soft state that each controller builds from the polls.
//
// Unlike package controller, a registry needs no keys, forms a group from
// addresses alone, and replaces members by itself: deployments of
// pass-through services, which don't terminate QUIC, have no operator who does
// that.
package registry

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"jayspindle/internal/program/group"
	"jayspindle/internal/program/latency"
	"jayspindle/internal/program/uptime"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
	"jayspindle/internal/state/wal"
	"jayspindle/internal/transport/frag"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen      Kind = "listen"      // a socket cannot be opened
	KindNotLeader   Kind = "not leader"  // another controller answers; Leader names it if it is known
	KindUnavailable Kind = "unavailable" // no reliable answer; the caller may try again
	KindInvalid     Kind = "invalid"     // the document breaks a rule
	KindTooLarge    Kind = "too large"   // the document exceeds MaxDocumentBytes
	KindStorage     Kind = "storage"     // the data directory cannot be read or written
)

// MaxDocumentBytes limits the size of a document as its operator sends it.
const MaxDocumentBytes = 1 << 20

// Error is the error type of this package. It may name the leader.
type Error struct {
	cause  *failure.Error[Kind]
	leader flow.Endpoint
}

func newError(operation string, kind Kind, err error) *Error {
	return &Error{cause: failure.New("registry", operation, kind, err)}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.cause.Kind() }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.cause.Operation() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause.Unwrap() }

// Leader returns the address of the leader with KindNotLeader, and false if it
// is not known.
func (e *Error) Leader() (flow.Endpoint, bool) { return e.leader, e.leader != flow.Endpoint{} }

// Settings configures a controller.
type Settings struct {
	ControlAddress netip.AddrPort // address for messages between processes
	Directory      string         // data directory, created if it does not exist
	Files          wal.Files      // file operations on it
	Seeds          func() []flow.Endpoint
	// Bootstrap is set when the whole deployment starts for the first time, with
	// empty disks. The seeds then form the group.
	Bootstrap bool
	// MaxLostDisks is the number of disks that may be lost at once.
	MaxLostDisks int
	// StopTime is how long the process may take to stop before it is killed; 0 for
	// defaultStopTime.
	StopTime time.Duration
}

// leaveTimeout returns how long a controller that stops waits until the group no longer
// needs it.
func (s Settings) leaveTimeout() time.Duration {
	return max(minLeaveTimeout, cmp.Or(s.StopTime, defaultStopTime)-transferTimeout-stopReserve)
}

// Interpret decodes a document in the format of its source.
type Interpret func(document []byte) (*route.Document, error)

// Registry is one controller.
type Registry struct {
	settings        Settings
	decodeDocument  Interpret
	logger          *slog.Logger
	self            flow.Endpoint
	conn            *frag.Conn
	started         time.Time
	suspension      suspension
	events          chan event
	published       atomic.Pointer[publishedState]
	acceptLatency   *latency.Histogram // time until a document was accepted
	droppedMessages atomic.Uint64      // messages dropped because the owner was too slow
	checkpoints     *checkpointService

	mutex           sync.Mutex // guards the list of agents and the pollers
	stopping        bool
	agents          *roster.List
	pollers         map[netip.AddrPort]*poller
	notifiedVersion uint64 // newest version that the pollers were notified of
	// listeningSince is since when this controller has heard of every agent that polled it.
	listeningSince time.Time
}

// publishedState is what the owner shares with the other goroutines.
type publishedState struct {
	publishedAt time.Time
	version     uint64
	encoded     []byte // route.Document
	controllers []flow.Endpoint
	voters      int  // of the controllers
	hasLeader   bool // a leader is known
}

// event is an input of the owner.
type event func(o *owner, now time.Time)

const (
	// maxPendingEvents limits the events that wait for the owner. Messages beyond
	// it are dropped, and their senders repeat them.
	maxPendingEvents = 512

	// settleDelay is two polls of each agent: after it the list of agents is
	// complete.
	settleDelay = time.Second

	// maxPublishedAge is the age beyond which the published state says nothing
	// about the group: the owner is blocked on its disk.
	maxPublishedAge = 500 * time.Millisecond
)

// New opens the socket. The data directory is opened by Run, because a disk may
// hang.
func New(settings Settings, decodeDocument Interpret, logger *slog.Logger) (*Registry, error) {
	self, ok := flow.NewEndpoint(settings.ControlAddress)
	if !ok {
		return nil, newError("listen", KindListen, errors.New("the address is not IPv4"))
	}

	conn, err := frag.Listen(settings.ControlAddress, logger)
	if err != nil {
		return nil, newError("listen", KindListen, err)
	}

	r := &Registry{
		settings: settings, decodeDocument: decodeDocument, logger: logger, self: self, conn: conn, started: time.Now(),
		suspension: newSuspension(uptime.Suspended),
		events:     make(chan event, maxPendingEvents), acceptLatency: latency.New(),
		agents: roster.New(rand.Uint64() | 1), pollers: make(map[netip.AddrPort]*poller),
	}
	r.listeningSince = r.started
	r.published.Store(&publishedState{})
	r.checkpoints = newCheckpointService(settings.Files, filepath.Join(settings.Directory, flowsDirectory), conn, logger)

	return r, nil
}

// Run runs the controller until ctx ends. A leader transfers its leadership
// first, and a controller that the group can spare leaves it.
func (r *Registry) Run(ctx context.Context) error {
	running, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	tasks := group.New(stop)
	o := newOwner(r)

	tasks.Go(func() { o.run(running) })
	tasks.Go(func() { r.conn.Serve(r.handle) })
	tasks.Go(func() { r.expireSilent(running) })
	tasks.Go(func() { r.checkpoints.run(running) })

	select {
	case <-ctx.Done():
		r.announceStop()
		r.transferLeadership()
		r.leave()
	case <-running.Done():
	}

	stop(nil)

	closeErr := r.conn.Close()

	tasks.Wait()

	if cause := context.Cause(running); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closeErr
}

// Metrics holds the counters of a controller.
type Metrics struct {
	Version         uint64          `json:"version"` // of the document in force
	Agents          int             `json:"agents"`
	Controllers     int             `json:"controllers"` // members of the group
	Voters          int             `json:"voters"`      // of the members
	HasLeader       bool            `json:"led"`         // a leader is known
	Accepted        latency.Summary `json:"accepted"`    // time until a document was accepted
	Malformed       uint64          `json:"malformed"`
	Overflow        uint64          `json:"overflow"`   // messages dropped while the disk was slow
	CheckpointBytes int             `json:"remembered"` // bytes of the checkpoints of agents
}

// Metrics returns the counts since the start.
func (r *Registry) Metrics() Metrics {
	current := r.published.Load()

	return Metrics{
		Version: current.version, Agents: r.Agents(), Controllers: len(current.controllers),
		Voters: current.voters, HasLeader: current.hasLeader,
		Accepted: r.acceptLatency.Summary(), Malformed: r.conn.Dropped(),
		Overflow: r.droppedMessages.Load() + r.checkpoints.droppedBatches.Load(), CheckpointBytes: r.checkpoints.bytes(),
	}
}

// transferTimeout is how long a leader that stops waits for its successor: two
// election timeouts.
const transferTimeout = 800 * time.Millisecond

func (r *Registry) transferLeadership() {
	r.awaitOwner(transferTimeout, (*owner).transferLeadership)
}

const (
	// minLeaveTimeout covers an election, if the leader is lost at the same time, and a few
	// round trips.
	minLeaveTimeout = 1500 * time.Millisecond

	// defaultStopTime is below what supervisors of processes usually grant.
	defaultStopTime = 6 * time.Second

	// stopReserve is kept of the time to stop, to answer the last calls and close the disk.
	stopReserve = time.Second
)

func (r *Registry) leave() { r.awaitOwner(r.settings.leaveTimeout(), (*owner).leave) }

// awaitOwner lets the owner begin something that takes a while, and waits until it closes
// done.
func (r *Registry) awaitOwner(timeout time.Duration, begin func(o *owner, done chan struct{})) {
	done := make(chan struct{})

	select {
	case r.events <- func(o *owner, _ time.Time) { begin(o, done) }:
	default:
		return // the owner is blocked, so it neither leads nor answers
	}

	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// handle handles a message from another process.
func (r *Registry) handle(from netip.AddrPort, message []byte) {
	kind, body, ok := wire.Split(message)
	if !ok {
		return
	}

	var err error

	switch kind {
	case wire.KindPoll:
		err = r.handlePoll(from, body)
	case wire.KindFetch:
		err = r.handleFetch(from, body)
	case wire.KindReplicate, wire.KindJoin, wire.KindJoinReply, wire.KindLeave, wire.KindLeaveReply:
		r.enqueue(from, kind, append([]byte(nil), body...))
	case wire.KindCheckpoint:
		r.checkpoints.enqueue(from, body)
	case wire.KindRestore:
		err = r.checkpoints.restore(from, body)
	default:
		err = errors.New("unexpected message kind")
	}

	if err != nil {
		r.logger.Warn("dropped a message", "from", from, "kind", kind, "error", err)
	}
}

// enqueue hands a message to the owner, or drops it if the owner is too slow.
func (r *Registry) enqueue(from netip.AddrPort, kind wire.Kind, body []byte) {
	select {
	case r.events <- func(o *owner, now time.Time) { o.receive(now, from, kind, body) }:
	default:
		r.droppedMessages.Add(1)
	}
}
