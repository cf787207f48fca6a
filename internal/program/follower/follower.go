// Package follower keeps an instance of a pass-through deployment up to date:
// it polls the controllers, and hands over new documents and changes of the
// list of agents. An agent announces itself with the same polls.
//
// # Usage
//
//	f := follower.New(follower.Config{Conn: conn, Seeds: seeds, Events: events, Logger: logger})
//	go f.Run(ctx)
//	if f.Handle(from, kind, body) { ... } // messages of the shared connection
//	f.Poll()                              // after a change that cannot wait
//
// Every controller is polled, so that each of them knows all agents and can
// take over. The list of agents comes from one of them, the source. An instance
// that has no answer for a while reads its seeds again, because the settings
// may have changed without a signal.
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
	"jayspindle/internal/transport/frag"
)

const (
	// pollInterval leaves four polls within roster.SilentAfter.
	pollInterval = 400 * time.Millisecond

	// eagerInterval is the interval until the instance has a confirmed view, and
	// bounds how often news lead to a poll.
	eagerInterval = 50 * time.Millisecond

	// spacing is the least time between two polls. News of many agents arrive
	// together when a deployment starts.
	spacing = 30 * time.Millisecond

	// fetchInterval is how long a fetched document may take before it is
	// fetched again: 256 KB take 0.5 s on the slowest link in use.
	fetchInterval = 250 * time.Millisecond

	// sourceTimeout is two polls that were not answered. The list then comes
	// from another controller.
	sourceTimeout = 2*pollInterval + 100*time.Millisecond
)

// Events is what an instance wants to know. The methods are called by one
// goroutine at a time.
type Events interface {
	// Document is called with each newer document.
	Document(now time.Time, table *route.Table)
	// Agents is called with changes of the list of agents. With whole set the
	// records are the whole list.
	Agents(now time.Time, records []roster.Record, whole bool)
	// Confirmed is called when a controller in touch with its group has
	// confirmed that document and agents are current.
	Confirmed(now time.Time)
}

// Config holds the dependencies of a Follower.
type Config struct {
	Conn   *frag.Conn
	Boot   uint64 // random for each start of the process
	Seeds  func() []flow.Endpoint
	Events Events
	// Follows is set by instances that need the list of agents.
	Follows bool
	// Announce returns what an agent tells of itself; nil for other instances.
	Announce func(now time.Time) roster.Record
	Logger   *slog.Logger
}

// Follower polls controllers. It is safe for concurrent use.
type Follower struct {
	config Config
	kick   chan struct{}

	mutex       sync.Mutex
	controllers []flow.Endpoint
	sequence    uint64
	version     uint64
	source      flow.Endpoint
	settled     bool // the source was in touch with its group at its last answer
	epoch       uint64
	position    uint64
	complete    bool      // the list of the source was complete when it was fetched as a whole
	answered    time.Time // last answer of the source
	heard       time.Time // last answer of any controller
	fetched     time.Time // last Fetch
}

// New returns a follower that knows only its seeds.
func New(config Config) *Follower {
	return &Follower{config: config, kick: make(chan struct{}, 1), controllers: config.Seeds()}
}

// Poll polls all controllers soon.
func (f *Follower) Poll() {
	select {
	case f.kick <- struct{}{}:
	default: // a poll is due already
	}
}

// Controllers returns the controllers that the instance knows.
func (f *Follower) Controllers() []flow.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return slices.Clone(f.controllers)
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		polled := time.Now()
		f.sleep(ctx, f.pollAll(polled), f.kick)
		f.sleep(ctx, spacing-time.Since(polled), nil)
	}
}

// sleep waits until the time has passed, the signal arrives or ctx ends.
func (*Follower) sleep(ctx context.Context, wait time.Duration, signal <-chan struct{}) {
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-signal:
	case <-ctx.Done():
	}
}

// Farewell polls once more, so that controllers learn at once how an agent
// stops.
func (f *Follower) Farewell() { f.pollAll(time.Now()) }

// pollAll polls every controller and returns the time until the next poll.
func (f *Follower) pollAll(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	if f.heard.IsZero() || now.Sub(f.heard) > sourceTimeout {
		f.reseed()
	}

	if f.source != (flow.Endpoint{}) && now.Sub(f.answered) > sourceTimeout {
		f.config.Logger.Warn("a controller no longer answers",
			"controller", f.source.String(), "silent_ms", now.Sub(f.answered).Milliseconds())

		f.source, f.settled = flow.Endpoint{}, false
	}

	f.sequence++

	poll := wire.Poll{Boot: f.config.Boot, Sequence: f.sequence, Version: f.version}
	if f.config.Announce != nil {
		record := f.config.Announce(now)
		record.Boot = f.config.Boot
		poll.Agent = &record
	}

	for _, controller := range f.controllers {
		f.pollOne(poll, controller)
	}

	if !f.settled || f.version == 0 {
		return eagerInterval
	}

	// The spread keeps instances that started together from polling together.
	return pollInterval - time.Duration(rand.Int64N(int64(pollInterval/8)))
}

// pollOne polls a controller. Those that are not the source need not answer as
// long as the source does: with five controllers their answers would be a third
// of the bytes for control.
func (f *Follower) pollOne(poll wire.Poll, controller flow.Endpoint) {
	poll.Quiet = f.settled && controller != f.source

	if f.config.Follows && controller == f.source {
		poll.Follows, poll.Epoch, poll.Position = true, f.epoch, f.position
	}

	f.send(controller.AddrPort(), wire.KindPoll, poll)
}

func (f *Follower) send(to netip.AddrPort, kind wire.Kind, body any) {
	message, err := wire.Encode(kind, body)
	if err == nil {
		err = f.config.Conn.Send(to, message)
	}

	// An unreachable controller is noticed by its silence.
	if err != nil {
		f.config.Logger.Debug("a message did not leave", "to", to, "error", err)
	}
}

// reseed adds the seeds of the present settings to the known controllers.
func (f *Follower) reseed() {
	f.learn(f.config.Seeds())
}

// learn adds controllers to the known ones.
func (f *Follower) learn(controllers []flow.Endpoint) {
	for _, controller := range controllers {
		if !slices.Contains(f.controllers, controller) {
			f.controllers = append(f.controllers, controller)
		}
	}
}

// Handle handles a message from a controller. It returns false for messages
// that are not for the follower.
func (f *Follower) Handle(from netip.AddrPort, kind wire.Kind, body []byte) bool {
	now := time.Now()

	switch kind {
	case wire.KindNews:
		f.called(from)
	case wire.KindPollReply:
		reply, err := wire.Decode[wire.PollReply](body)
		if err != nil {
			f.config.Logger.Warn("dropped a message", "from", from, "error", err)

			break
		}

		f.reply(now, from, reply)
	case wire.KindDocument:
		f.document(now, from, body)
	default:
		return false
	}

	return true
}

// called handles a call of a controller, which may be one that the seeds do not
// name.
func (f *Follower) called(from netip.AddrPort) {
	if controller, ok := flow.NewEndpoint(from); ok {
		f.mutex.Lock()
		f.learn([]flow.Endpoint{controller})
		f.mutex.Unlock()
	}

	f.Poll()
}

// reply handles the answer of a controller.
func (f *Follower) reply(now time.Time, from netip.AddrPort, reply wire.PollReply) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	controller, ok := flow.NewEndpoint(from)
	if !ok {
		return
	}

	f.heard = now
	if reply.Settled && len(reply.Controllers) > 0 {
		f.controllers = reply.Controllers
	} else {
		// The seeds may be the last to start, so the others are asked as well.
		f.learn(reply.Controllers)
	}

	if reply.Version > f.version && now.Sub(f.fetched) > fetchInterval {
		f.fetched = now
		f.send(from, wire.KindFetch, wire.Fetch{Above: f.version})
	}

	f.chooseSource(now, controller, reply.Settled)

	if controller == f.source {
		f.fromSource(now, reply)
	}
}

// chooseSource takes a controller as the source of the list if there is none,
// or if it is in touch with its group and the present source is not.
func (f *Follower) chooseSource(now time.Time, controller flow.Endpoint, settled bool) {
	if controller == f.source {
		f.answered = now

		if f.settled && !settled {
			f.config.Logger.Info("a controller lost its group", "controller", controller.String())
		}

		f.settled = settled

		return
	}

	if f.source != (flow.Endpoint{}) && (f.settled || !settled) {
		return
	}

	f.config.Logger.Info("follows a controller", "controller", controller.String(), "settled", settled)

	f.source, f.settled, f.answered = controller, settled, now
	f.epoch, f.position, f.complete = 0, 0, false

	if f.config.Follows {
		f.Poll()
	}
}

func (f *Follower) fromSource(now time.Time, reply wire.PollReply) {
	if f.config.Follows && reply.Epoch != 0 {
		f.agents(now, reply)
	}

	if reply.Settled && reply.Version <= f.version && (!f.config.Follows || f.complete) {
		f.config.Events.Confirmed(now)
	}
}

// agents applies the list of the source. The list of a controller that has just
// started may lack agents, so it is added to what is known; the whole list is
// fetched again once it is complete.
func (f *Follower) agents(now time.Time, reply wire.PollReply) {
	if reply.Whole && reply.Settled {
		f.complete = true
	}

	if len(reply.Agents) > 0 || reply.Whole {
		f.config.Events.Agents(now, reply.Agents, reply.Whole && reply.Settled)
	}

	f.epoch, f.position = reply.Epoch, reply.Position

	if reply.Settled && !f.complete {
		f.epoch = 0
		f.Poll()
	}
}

func (f *Follower) document(now time.Time, from netip.AddrPort, body []byte) {
	document, err := route.Decode(body)
	if err != nil {
		f.config.Logger.Warn("dropped a document", "from", from, "error", err)

		return
	}

	table, err := route.New(document)
	if err != nil {
		f.config.Logger.Warn("dropped a document", "from", from, "error", err)

		return
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.fetched = time.Time{}

	if table.Version() <= f.version {
		return
	}

	f.config.Logger.Info("put a document in force",
		"version", table.Version(), "before", f.version, "routes", table.Routes(), "from", from)

	f.version = table.Version()
	f.config.Events.Document(now, table)
	f.Poll()
}
