package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/program/uptime"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

const (
	// claimRetention is how long a claim and its stored answer are kept.
	claimRetention = 10 * time.Minute
	// maxUnconfirmed is how long an agent keeps claiming on a view that no leader
	// has confirmed, so that non-idempotent requests keep working during an
	// outage of the controllers. The membership history has to cover that much
	// more time, which makes it more likely that two holders of a key were lost
	// within it.
	maxUnconfirmed = 10 * time.Minute
	// defaultCapacity bounds the claims of one agent: 100 a second for the
	// retention, at most 250 MB if every answer has the largest size.
	defaultCapacity  = claim.MaxCapacity
	claimCallTimeout = 500 * time.Millisecond
	// maxCallsPerHolder bounds the calls in progress to one holder. Claimants retry
	// unanswered calls, so an unresponsive holder would otherwise accumulate
	// thousands.
	maxCallsPerHolder = 256
	expireInterval    = time.Second
	// bootstrapTimeout is how long the first agents of a service wait until
	// there are enough agents to hold their claims. Agents that are deployed
	// together announce themselves within this time.
	bootstrapTimeout = 2 * time.Second
	// housekeepingInterval is short because non-idempotent requests wait until
	// the membership history is complete.
	housekeepingInterval = 200 * time.Millisecond
)

// rpcClient is the part of link.Client that claims need to call methods of another
// agent.
type rpcClient interface {
	Call(ctx context.Context, method string, request, reply any) error
}

// claimOptions are the dependencies of claims.
type claimOptions struct {
	service   string // name
	zone      string
	capacity  int           // maximum number of claims, 0 means defaultCapacity
	retention time.Duration // 0 means claimRetention
	// maxUnconfirmed is how long the agent claims without a confirmation of its
	// view, 0 means the constant of the same name.
	maxUnconfirmed time.Duration
	self           func() view.Incarnation
	serviceID      func() view.ServiceID
	viewConfirmed  func(now time.Time) bool // whether a leader has confirmed the view recently
	siblingClient  func(agent view.Agent) rpcClient
	// suspended returns for how long the machine has been suspended so far, nil means
	// uptime.Suspended.
	suspended func() time.Duration
	logger    *slog.Logger
}

// claims runs non-idempotent requests at most once. One goroutine owns the
// store, the history of memberships and the claimants.
type claims struct {
	claimOptions
	events     chan func(now time.Time)
	stopped    chan struct{}  // closed when run has ended
	background conc.WaitGroup // calls to siblings in progress

	// Owned by the goroutine of run.
	store   *claim.Store
	history *claim.History
	agents  map[view.Incarnation]view.Agent
	// confirmedAt is when a leader last confirmed the view. After a gap of more
	// than maxUnconfirmed, the agent may have missed memberships under which
	// other agents claimed keys, so the history is not used until siblings have
	// sent theirs.
	confirmedAt time.Time
	historyGap  bool
	established bool          // the history has been complete at least once
	position    view.Position // of the current view
	// newestSeenPosition is the position of the newest view that a sibling has
	// reported. An agent that has not claimed yet does not start claiming under
	// an older view.
	newestSeenPosition view.Position
	firstAgentsAt      time.Time // when a view first contained agents of the service

	lastExpiry        time.Time               // when expired claims were last dropped
	queryingHistory   bool                    // a query for the history of siblings is in progress
	active            map[uint64]*activeClaim // by sequence of the execution
	sequence          uint64
	incomingTransfers map[view.Incarnation]*incomingTransfer // partly received transfers by seat
	callsInProgress   map[view.Incarnation]int               // calls in progress by holder
	closing           bool                                   // memberships are being closed
	nextClosing       time.Time                              // not before this time, after a failure
}

// activeClaim is a claimant and the request that waits for its decision.
type activeClaim struct {
	claimant  *claim.Claimant
	suspended time.Duration       // of the machine when the claim began
	decided   chan claim.Decision // buffered; closed after the decision
	recorded  chan struct{}       // closed when a majority of the holders has recorded the outcome
}

func newClaims(options claimOptions) *claims {
	if options.capacity == 0 {
		options.capacity = defaultCapacity
	}

	if options.retention == 0 {
		options.retention = claimRetention
	}

	if options.maxUnconfirmed == 0 {
		options.maxUnconfirmed = maxUnconfirmed
	}

	if options.suspended == nil {
		options.suspended = uptime.Suspended
	}

	return &claims{
		claimOptions:      options,
		events:            make(chan func(now time.Time), 64),
		stopped:           make(chan struct{}),
		history:           claim.NewHistory(time.Now(), options.retention, options.maxUnconfirmed),
		agents:            make(map[view.Incarnation]view.Agent),
		active:            make(map[uint64]*activeClaim),
		incomingTransfers: make(map[view.Incarnation]*incomingTransfer),
		callsInProgress:   make(map[view.Incarnation]int),
	}
}

// run owns the state until the context ends.
func (c *claims) run(ctx context.Context) {
	defer c.background.Wait()
	defer close(c.stopped) // before the wait, since calls in progress may wait for it

	timer := time.NewTimer(expireInterval)
	defer timer.Stop()

	housekeeping := time.NewTicker(housekeepingInterval)
	defer housekeeping.Stop()

	for {
		select {
		case event := <-c.events:
			event(time.Now())
		case <-housekeeping.C:
			c.housekeep(ctx, time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return
		}

		timer.Reset(c.advance(ctx, time.Now()))
	}
}

// do runs an event on the goroutine that owns the state; see runOnOwner.
func (c *claims) do(ctx context.Context, event func(now time.Time)) bool {
	return runOnOwner(ctx, c.events, c.stopped, event)
}

// post queues an event without waiting until it has run.
func (c *claims) post(ctx context.Context, event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.stopped:
	case <-ctx.Done():
	}
}

// update applies the agents of the service from a view.
func (c *claims) update(position view.Position, agents []view.Agent) {
	c.post(context.Background(), func(now time.Time) {
		c.ensureStore()
		c.history.Observe(now, position, agents)
		clear(c.agents)

		c.position = position

		if c.firstAgentsAt.IsZero() && len(agents) > 0 {
			c.firstAgentsAt = now
		}

		for _, agent := range agents {
			c.agents[agent.Incarnation] = agent
		}
	})
}

// ensureStore creates the store once the incarnation is known.
func (c *claims) ensureStore() {
	if own := c.self(); c.store == nil && own != 0 {
		c.store = claim.NewStore(own, c.retention, c.maxUnconfirmed, c.capacity)
	}
}

// housekeep drops expired claims and completes the history of an agent that
// has started recently.
func (c *claims) housekeep(ctx context.Context, now time.Time) {
	c.ensureStore()
	c.confirm(now)
	c.dropTransfers(now)

	if c.store == nil {
		return
	}

	if now.Sub(c.lastExpiry) >= expireInterval {
		c.store.Expire(now)
		c.lastExpiry = now
	}

	switch {
	case !c.viewConfirmed(now):
		// Nothing can be claimed on an unconfirmed view, whatever siblings report.
	case c.historyGap || !c.history.Complete(now):
		c.queryHistory(ctx)
	default:
		c.established = true
		c.closeMemberships(ctx, now)
	}
}

// confirm passes the confirmation of the view on to the history, unless there
// was a gap that the histories of siblings have not filled yet.
func (c *claims) confirm(now time.Time) {
	if !c.viewConfirmed(now) {
		return
	}

	if c.established && now.Sub(c.confirmedAt) > c.maxUnconfirmed {
		c.historyGap = true
		c.logger.Warn("memberships may have been missed, querying siblings", "unconfirmed_for", now.Sub(c.confirmedAt))
	}

	c.confirmedAt = now

	if !c.historyGap {
		c.history.Confirm(now)
	}
}

// advance advances all claimants and returns the time until the next call is due.
func (c *claims) advance(ctx context.Context, now time.Time) time.Duration {
	next := now.Add(expireInterval)

	for sequence, active := range c.active {
		claimant := active.claimant
		claimant.Tick(now)

		for _, message := range claimant.Messages(now) {
			c.send(ctx, now, message)
		}

		if claimant.Decision().Verdict != claim.Pending && active.decided != nil {
			active.decided <- claimant.Decision()
			close(active.decided)
			active.decided = nil
		}

		if claimant.Recorded() && !isClosed(active.recorded) {
			close(active.recorded)
		}

		if claimant.Done(now) {
			delete(c.active, sequence)

			continue
		}

		if wake := claimant.Wake(); wake.Before(next) {
			next = wake
		}
	}

	return max(time.Millisecond, next.Sub(now))
}

// send sends a message to a holder. The reply comes back as an event.
func (c *claims) send(ctx context.Context, now time.Time, message claim.Message) {
	if message.To == c.self() {
		c.reply(now, c.store.Handle(now, message.Request))

		return
	}

	holder, ok := c.agents[message.To]
	if !ok {
		return
	}

	if c.callsInProgress[message.To] >= maxCallsPerHolder {
		return
	}

	c.callsInProgress[message.To]++
	client := c.siblingClient(holder)

	c.background.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, claimCallTimeout)
		defer cancel()

		var reply claim.Reply

		err := client.Call(callCtx, methodClaim, &message.Request, &reply)
		if err != nil {
			c.logger.Debug("holder did not answer", "holder", message.To, "error", err)
		}

		c.post(ctx, func(now time.Time) {
			if c.callsInProgress[message.To]--; c.callsInProgress[message.To] == 0 {
				delete(c.callsInProgress, message.To)
			}

			if err == nil {
				c.reply(now, reply)
			}
		})
	})
}

func (c *claims) reply(now time.Time, reply claim.Reply) {
	if active, ok := c.active[reply.Execution.Sequence]; ok {
		active.claimant.Reply(now, reply)
	}
}

// begin claims a key and waits for the decision.
func (c *claims) begin(ctx context.Context, token string) (*activeClaim, claim.Decision) {
	var (
		active  *activeClaim
		decided chan claim.Decision
	)

	began := c.do(ctx, func(now time.Time) {
		if c.store == nil {
			return
		}

		c.sequence++
		decided = make(chan claim.Decision, 1)
		execution := claim.Execution{Agent: c.self(), Sequence: c.sequence}
		key := claim.Key{Service: c.serviceID(), Token: token}
		active = &activeClaim{
			claimant:  claim.Begin(now, key, execution, c.history),
			suspended: c.suspended(),
			decided:   decided,
			recorded:  make(chan struct{}),
		}
		c.active[c.sequence] = active
	})
	if !began || active == nil {
		return nil, claim.Decision{Verdict: claim.Unknown, Reason: "the agent is starting or stopping"}
	}

	// The claim decides within claim.ClaimTimeout, so this wait is bounded.
	select {
	case decision := <-decided:
		return active, decision
	case <-c.stopped:
		return nil, claim.Decision{Verdict: claim.Unknown, Reason: "the agent is stopping"}
	}
}

// register adds the methods that siblings call.
func (c *claims) register(server *link.Server) {
	server.Handle(methodClaim, c.handleClaim)
	server.Handle(methodHistory, c.handleHistory)
	server.Handle(methodTransfer, c.handleTransfer)
	server.Handle(methodMoved, c.handleMoved)
	server.Handle(methodSeal, c.handleSeal)
	server.Handle(methodCarry, c.handleCarry)
	server.Handle(methodAdopt, c.handleAdopt)
	server.Handle(methodClosed, c.handleClosed)
}

func (c *claims) checkPeer(ctx context.Context) error {
	if caller := link.Peer(ctx); caller.Service != c.service {
		return link.Errorf(link.KindDenied, "%s may not claim for service %q", caller, c.service)
	}

	return nil
}

// decodeFromSibling decodes the request of an agent of the same service.
func decodeFromSibling[M any](ctx context.Context, c *claims, request *link.Request) (M, error) {
	var message M

	if err := c.checkPeer(ctx); err != nil {
		return message, err
	}

	err := request.Decode(&message)

	return message, err
}

func (c *claims) handleClaim(ctx context.Context, request *link.Request) (any, error) {
	if err := c.checkPeer(ctx); err != nil {
		return nil, err
	}

	var message claim.Request
	if err := request.Decode(&message); err != nil {
		return nil, err
	}

	return c.answerClaim(ctx, message)
}

func (c *claims) answerClaim(ctx context.Context, message claim.Request) (*claim.Reply, error) {
	var reply *claim.Reply

	c.do(ctx, func(now time.Time) {
		if c.store != nil {
			handled := c.store.Handle(now, message)
			reply = &handled
		}
	})

	if reply == nil {
		return nil, link.Errorf(link.KindBusy, "the agent is starting or stopping")
	}

	return reply, nil
}
