// Package registry is the controller of pass-through deployments: one replica
// of the document in force, and a list of the live agents.
//
// # Usage
//
//	process, err := registry.New(settings, interpret, logger)
//	version, err := process.Submit(ctx, version, document)
//	version, document, err := process.Newest(ctx)
//	err = process.Run(ctx)
//
// # Structure
//
// One goroutine, the owner, holds the replicated log and the catalog. It may
// wait for the disk. Polls of instances are answered from what the owner has
// published, so they don't wait for it. The list of agents is soft state that
// each controller builds from the polls.
//
// Unlike package controller, a registry needs no keys, founds a group from
// addresses alone, and replaces members by itself: the deployments of
// pass-through services have no operator who would do that.
package registry

import (
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
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
	"jayspindle/internal/transport/frag"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen      Kind = "listen"      // a socket cannot be opened
	KindNotLeader   Kind = "not leader"  // another controller answers; Leader names it if it is known
	KindUnavailable Kind = "unavailable" // no answer that is certain to be right; the caller may try again
	KindInvalid     Kind = "invalid"     // the document breaks a rule
	KindTooLarge    Kind = "too large"   // the document exceeds MaxDocumentBytes
	KindStorage     Kind = "storage"     // the data directory cannot be read or written
)

// MaxDocumentBytes bounds a document as its operator sends it.
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
	Inner     netip.AddrPort // messages of the other processes
	Directory string         // data directory, created if it does not exist
	Seeds     func() []flow.Endpoint
	// First is set when the whole deployment starts for the first time, with
	// empty disks. The seeds then found the group.
	First bool
	// Losses is the number of disks that may be lost at once.
	Losses int
}

// Interpret reads a document in the format of its source.
type Interpret func(document []byte) (*route.Document, error)

// Registry is one controller.
type Registry struct {
	settings  Settings
	interpret Interpret
	logger    *slog.Logger
	self      flow.Endpoint
	inner     *frag.Conn
	started   time.Time
	events    chan event
	published atomic.Pointer[published]
	accepts   *latency.Histogram // time until a document was accepted
	overflow  atomic.Uint64      // messages dropped because the owner was too slow
	keeper    *keeper

	mutex    sync.Mutex // guards the list of agents and the pollers
	list     *roster.List
	pollers  map[netip.AddrPort]*poller
	notified uint64 // version that the pollers were told of
}

// published is what the owner tells all other goroutines.
type published struct {
	at          time.Time
	version     uint64
	encoded     []byte // route.Document
	controllers []flow.Endpoint
	led         bool // a leader is known
}

// event is an input of the owner.
type event func(o *owner, now time.Time)

const (
	// inboxSize bounds the events that wait for the owner. Messages beyond it
	// are dropped, and their senders repeat them.
	inboxSize = 512

	// settleTime is two polls of each agent: from then on a list is complete.
	settleTime = time.Second

	// ownerTimeout is the age from which what the owner has published says
	// nothing about the group: the owner waits for its disk.
	ownerTimeout = 500 * time.Millisecond
)

// New opens the socket. The data directory is opened by Run, because a disk may
// hang.
func New(settings Settings, interpret Interpret, logger *slog.Logger) (*Registry, error) {
	self, ok := flow.NewEndpoint(settings.Inner)
	if !ok {
		return nil, newError("listen", KindListen, errors.New("the address is not IPv4"))
	}

	inner, err := frag.Listen(settings.Inner, logger)
	if err != nil {
		return nil, newError("listen", KindListen, err)
	}

	r := &Registry{
		settings: settings, interpret: interpret, logger: logger, self: self, inner: inner, started: time.Now(),
		events: make(chan event, inboxSize), accepts: latency.New(),
		list: roster.New(rand.Uint64() | 1), pollers: make(map[netip.AddrPort]*poller),
	}
	r.published.Store(&published{})
	r.keeper = newKeeper(filepath.Join(settings.Directory, flowsDirectory), inner, logger)

	return r, nil
}

// Run runs the controller until ctx ends. A leader hands over first.
func (r *Registry) Run(ctx context.Context) error {
	running, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	parts := group.New(stop)
	o := newOwner(r)

	parts.Go(func() { o.run(running) })
	parts.Go(func() { r.inner.Serve(r.handle) })
	parts.Go(func() { r.watch(running) })
	parts.Go(func() { r.keeper.run(running) })

	select {
	case <-ctx.Done():
		r.handOver()
	case <-running.Done():
	}

	stop(nil)

	closing := r.inner.Close()

	parts.Wait()

	if cause := context.Cause(running); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closing
}

// Metrics is what a controller counts.
type Metrics struct {
	Version     uint64          `json:"version"` // of the document in force
	Agents      int             `json:"agents"`
	Controllers int             `json:"controllers"` // members of the group
	Led         bool            `json:"led"`         // a leader is known
	Accepted    latency.Summary `json:"accepted"`    // time until a document was accepted
	Malformed   uint64          `json:"malformed"`
	Overflow    uint64          `json:"overflow"`   // messages dropped while the disk was slow
	Remembered  int             `json:"remembered"` // bytes of the checkpoints of agents
}

// Metrics returns the counts since the start.
func (r *Registry) Metrics() Metrics {
	current := r.published.Load()

	return Metrics{
		Version: current.version, Agents: r.Agents(), Controllers: len(current.controllers), Led: current.led,
		Accepted: r.accepts.Summary(), Malformed: r.inner.Dropped(),
		Overflow: r.overflow.Load() + r.keeper.overflow.Load(), Remembered: r.keeper.bytes(),
	}
}

// handOverTimeout is the time in which a leader that stops looks for another
// one: two elections.
const handOverTimeout = 800 * time.Millisecond

func (r *Registry) handOver() {
	done := make(chan struct{})

	select {
	case r.events <- func(o *owner, now time.Time) { o.handOver(now, done) }:
	default:
		return // the owner is stuck, so it does not lead any more
	}

	select {
	case <-done:
	case <-time.After(handOverTimeout):
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
		err = r.polled(from, body)
	case wire.KindFetch:
		err = r.fetched(from, body)
	case wire.KindReplicate, wire.KindEnter, wire.KindEnterReply:
		r.pass(from, kind, append([]byte(nil), body...))
	case wire.KindCheckpoint:
		r.keeper.receive(from, body)
	case wire.KindRecall:
		err = r.keeper.recall(from, body)
	default:
		err = errors.New("nobody waits for this kind")
	}

	if err != nil {
		r.logger.Warn("dropped a message", "from", from, "kind", kind, "error", err)
	}
}

// pass hands a message to the owner, or drops it if the owner is too slow.
func (r *Registry) pass(from netip.AddrPort, kind wire.Kind, body []byte) {
	select {
	case r.events <- func(o *owner, now time.Time) { o.receive(now, from, kind, body) }:
	default:
		r.overflow.Add(1)
	}
}
