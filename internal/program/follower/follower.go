// Package follower keeps an instance of a pass-through deployment up to date. It
// polls the controllers and passes on new documents and changes to the list of
// agents. An agent announces itself with the same polls.
//
// # Usage
//
//	f := follower.New(follower.Config{Conn: conn, Seeds: seeds, Events: events, Logger: logger})
//	go f.Run(ctx)
//	if f.Handle(from, kind, body) { ... } // messages of the shared connection
//	f.Poll()                              // after a change that controllers must learn at once
//
// Every controller is polled, so that each of them knows all agents and can
// take over. The list of agents comes from one of them, the source. If no
// controller answers for a while, the seeds are read again, because the settings
// may have changed without a notification.
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
	// pollInterval allows four polls within roster.SilentTimeout.
	pollInterval = 400 * time.Millisecond

	// eagerPollInterval is the poll interval while the instance has no document or
	// no ready source.
	eagerPollInterval = 50 * time.Millisecond

	// minPollInterval is the minimum time between two polls. It limits the polls when
	// a deployment starts and notifications about many agents arrive together.
	minPollInterval = 30 * time.Millisecond

	// introductionTime is how long after its start an agent is answered by all controllers,
	// which tell whether an earlier agent had its address. A backend server whose first
	// report comes later is known to be younger than the agent without them.
	introductionTime = 3 * time.Second

	// fetchRetryInterval is how long a requested document may take to arrive before
	// it is requested again. 256 KB take 0.5 s on the slowest link in use.
	fetchRetryInterval = 250 * time.Millisecond

	// sourceTimeout is the time of two unanswered polls. After it another controller
	// becomes the source.
	sourceTimeout = 2*pollInterval + 100*time.Millisecond

	// rememberedPolls is the number of polls whose replies can confirm something: those of
	// more than a second at the minimum interval.
	rememberedPolls = 64
)

// Events receives the updates of a follower. Its methods are called by one
// goroutine at a time.
type Events interface {
	// Document is called with each newer document.
	Document(now time.Time, table *route.Table)
	// Agents is called with changes to the list of agents. If whole is set, the
	// records are the complete list.
	Agents(now time.Time, records []roster.Record, whole bool)
	// Confirmed is called when a controller that is in contact with its group has
	// confirmed that document and agents were current after the time polled.
	Confirmed(now, polled time.Time)
}

// Config holds the dependencies of a Follower.
type Config struct {
	Conn   *frag.Conn
	BootID uint64 // random for each start of the process
	Seeds  func() []flow.Endpoint
	Events Events
	// WantsAgents is set for instances that need the list of agents.
	WantsAgents bool
	// Announce returns the record that an agent publishes; nil for other instances.
	Announce func(now time.Time) roster.Record
	// Predecessor is called with what a controller tells about earlier agents at the
	// address of the announced one; nil if nothing is announced.
	Predecessor func(now time.Time, found roster.Predecessor)
	Logger      *slog.Logger
}

// Follower polls controllers. It is safe for concurrent use.
type Follower struct {
	config  Config
	started time.Time
	pollNow chan struct{}

	mutex          sync.Mutex
	controllers    []flow.Endpoint
	sequence       uint64
	sent           [rememberedPolls]time.Time // when the last polls were sent, by their sequence
	version        uint64
	source         flow.Endpoint
	sourceReady    bool      // at its last answer the source was in contact with its group and had a complete list
	epoch          uint64    // of the list of agents, 0 to fetch the whole list
	position       uint64    // of the last applied change within the epoch
	listComplete   bool      // the source was ready when the whole list was fetched
	sourceAnswered time.Time // last answer of the source
	lastAnswer     time.Time // last answer of any controller
	lastFetch      time.Time // last time a document was requested; zero once one has arrived
}

// New returns a follower that knows only its seeds.
func New(config Config) *Follower {
	return &Follower{
		config: config, started: time.Now(), pollNow: make(chan struct{}, 1), controllers: config.Seeds(),
	}
}

// Poll requests a poll of all controllers without waiting for the poll interval.
func (f *Follower) Poll() {
	select {
	case f.pollNow <- struct{}{}:
	default: // a poll is already requested
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
		f.sleep(ctx, f.pollAll(polled), f.pollNow)
		f.sleep(ctx, minPollInterval-time.Since(polled), nil)
	}
}

// sleep waits until the time has passed, a signal arrives or ctx ends.
func (*Follower) sleep(ctx context.Context, wait time.Duration, signal <-chan struct{}) {
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-signal:
	case <-ctx.Done():
	}
}

// SendFinalPoll sends a last poll, so that controllers learn at once that an agent stops
// and in which state. It goes out twice, because no later one replaces a lost datagram.
func (f *Follower) SendFinalPoll() {
	for range 2 {
		f.pollAll(time.Now())
	}
}

// pollAll polls every controller and returns the time until the next poll. While the source
// is ready, the other controllers are asked to reply only if they have a newer document:
// with five controllers their replies would be a third of the control traffic in bytes.
func (f *Follower) pollAll(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	if f.lastAnswer.IsZero() || now.Sub(f.lastAnswer) > sourceTimeout {
		f.addSeeds()
	}

	if f.source != (flow.Endpoint{}) && now.Sub(f.sourceAnswered) > sourceTimeout {
		f.config.Logger.Warn("a controller no longer answers",
			"controller", f.source.String(), "silent_ms", now.Sub(f.sourceAnswered).Milliseconds())

		f.source, f.sourceReady = flow.Endpoint{}, false
	}

	f.sequence++
	f.sent[f.sequence%rememberedPolls] = now

	poll := wire.Poll{Boot: f.config.BootID, Sequence: f.sequence, Version: f.version}
	if f.config.Announce != nil {
		record := f.config.Announce(now)
		record.Boot = f.config.BootID
		poll.Agent = &record
	}

	introduced := f.config.Announce == nil || now.Sub(f.started) > introductionTime

	for _, controller := range f.controllers {
		poll.OnlyIfNewer = introduced && f.sourceReady && controller != f.source
		f.pollOne(poll, controller)
	}

	if !f.sourceReady || f.version == 0 {
		return eagerPollInterval
	}

	// The jitter keeps instances that started together from polling in step.
	return pollInterval - time.Duration(rand.Int64N(int64(pollInterval/8)))
}

// pollOne polls a controller.
func (f *Follower) pollOne(poll wire.Poll, controller flow.Endpoint) {
	if f.config.WantsAgents && controller == f.source {
		poll.WantsAgents, poll.Epoch, poll.Position = true, f.epoch, f.position
	}

	f.send(controller.AddrPort(), wire.KindPoll, poll)
}

func (f *Follower) send(to netip.AddrPort, kind wire.Kind, body any) {
	message, err := wire.Encode(kind, body)
	if err == nil {
		err = f.config.Conn.Send(to, message)
	}

	// An unreachable controller is detected by missing answers.
	if err != nil {
		f.config.Logger.Debug("could not send a message", "to", to, "error", err)
	}
}

// addSeeds reads the seeds again and adds them to the known controllers.
func (f *Follower) addSeeds() {
	f.addControllers(f.config.Seeds())
}

// addControllers adds those controllers that are not yet known.
func (f *Follower) addControllers(controllers []flow.Endpoint) {
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
	case wire.KindPollNow:
		f.handleNews(from)
	case wire.KindPollReply:
		reply, err := wire.Decode[wire.PollReply](body)
		if err != nil {
			f.config.Logger.Warn("dropped a message", "from", from, "error", err)

			break
		}

		f.handleReply(now, from, reply)
	case wire.KindDocument:
		f.handleDocument(now, from, body)
	default:
		return false
	}

	return true
}

// handleNews polls after a notification of a controller, which may be one that the
// seeds do not name.
func (f *Follower) handleNews(from netip.AddrPort) {
	if controller, ok := flow.NewEndpoint(from); ok {
		f.mutex.Lock()
		f.addControllers([]flow.Endpoint{controller})
		f.mutex.Unlock()
	}

	f.Poll()
}

// handleReply handles the reply of a controller to a poll.
func (f *Follower) handleReply(now time.Time, from netip.AddrPort, reply wire.PollReply) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	controller, ok := flow.NewEndpoint(from)
	if !ok {
		return
	}

	f.lastAnswer = now
	if reply.Ready && len(reply.Controllers) > 0 {
		f.controllers = reply.Controllers
	} else {
		// The seeds may be the last controllers to start, so the others are polled as
		// well.
		f.addControllers(reply.Controllers)
	}

	if reply.Version > f.version && now.Sub(f.lastFetch) > fetchRetryInterval {
		f.lastFetch = now
		f.send(from, wire.KindFetch, wire.Fetch{Above: f.version})
	}

	if reply.Predecessor != nil && f.config.Predecessor != nil {
		f.config.Predecessor(now, *reply.Predecessor)
	}

	f.chooseSource(now, controller, reply.Ready)

	if controller == f.source {
		f.applySourceReply(now, reply)
	}
}

// chooseSource makes a controller the source of the list if there is none, or if
// the controller is ready and the current source is not.
func (f *Follower) chooseSource(now time.Time, controller flow.Endpoint, ready bool) {
	if controller == f.source {
		f.sourceAnswered = now

		if f.sourceReady && !ready {
			f.config.Logger.Info("the source stops or lost contact with its group", "controller", controller.String())
			f.Poll()
		}

		f.sourceReady = ready

		return
	}

	if f.source != (flow.Endpoint{}) && (f.sourceReady || !ready) {
		return
	}

	f.config.Logger.Info("chose a controller as source", "controller", controller.String(), "settled", ready)

	f.source, f.sourceReady, f.sourceAnswered = controller, ready, now
	f.epoch, f.position, f.listComplete = 0, 0, false

	if f.config.WantsAgents {
		f.Poll()
	}
}

// applySourceReply applies the list of agents, and reports a confirmation if the
// source is ready and the document and the list are up to date.
func (f *Follower) applySourceReply(now time.Time, reply wire.PollReply) {
	if f.config.WantsAgents && reply.Epoch != 0 {
		f.applyAgents(now, reply)
	}

	polled, ok := f.pollSentAt(reply.Sequence)
	if ok && reply.Ready && reply.Version <= f.version && (!f.config.WantsAgents || f.listComplete) {
		f.config.Events.Confirmed(now, polled)
	}
}

// pollSentAt returns when a recent poll was sent.
func (f *Follower) pollSentAt(sequence uint64) (time.Time, bool) {
	if sequence == 0 || sequence > f.sequence || f.sequence-sequence >= rememberedPolls {
		return time.Time{}, false
	}

	return f.sent[sequence%rememberedPolls], true
}

// applyAgents applies the list of the source. A controller that has just started
// may not know all agents yet, so its list is merged with the known agents. The
// whole list is fetched again once it is complete.
func (f *Follower) applyAgents(now time.Time, reply wire.PollReply) {
	if reply.Complete && reply.Ready {
		f.listComplete = true
	}

	if len(reply.Agents) > 0 || reply.Complete {
		f.config.Events.Agents(now, reply.Agents, reply.Complete && reply.Ready)
	}

	f.epoch, f.position = reply.Epoch, reply.Position

	if reply.Ready && !f.listComplete {
		f.epoch = 0
		f.Poll()
	}
}

func (f *Follower) handleDocument(now time.Time, from netip.AddrPort, body []byte) {
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

	f.lastFetch = time.Time{}

	if table.Version() <= f.version {
		return
	}

	f.config.Logger.Info("put a document in force",
		"version", table.Version(), "before", f.version, "routes", table.Routes(), "from", from)

	f.version = table.Version()
	f.config.Events.Document(now, table)
	f.Poll()
}
