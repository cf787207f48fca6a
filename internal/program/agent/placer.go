package agent

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/coordination/placement"
	"jayspindle/internal/coordination/retry"
	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/view"
)

const (
	// retryRatio lets retries add at most a tenth to the load.
	retryRatio = 0.1
	retryBurst = 20
)

// placer picks the backend server for each request and retries what is proven
// not to have run or is idempotent.
type placer struct {
	mutex  sync.Mutex // guards picker, budget, random and agents
	picker *placement.Picker
	budget *retry.Budget
	random *rand.Rand
	agents map[view.Incarnation]view.Agent

	self    func() view.Incarnation
	local   runner
	sibling func(agent view.Agent) runner
	tracer  trace.Tracer
}

func newPlacer(
	self func() view.Incarnation, own runner, sibling func(agent view.Agent) runner, random *rand.Rand,
	tracer trace.Tracer,
) *placer {
	return &placer{
		picker:  placement.New(placement.DefaultPolicy(), random.Uint64()),
		budget:  retry.New(retryRatio, retryBurst),
		random:  random,
		agents:  make(map[view.Incarnation]view.Agent),
		self:    self,
		local:   own,
		sibling: sibling,
		tracer:  tracer,
	}
}

// update applies the agents of the service from a view.
func (p *placer) update(agents []view.Agent) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.picker.Update(time.Now(), agents)
	clear(p.agents)

	for _, agent := range agents {
		p.agents[agent.Incarnation] = agent
	}
}

// place runs a call on a backend server of the service. The result is "not run"
// only if no attempt may have run.
func (p *placer) place(ctx context.Context, c *call) *result {
	p.mutex.Lock()
	p.budget.Deposit()
	p.mutex.Unlock()

	var (
		tried    []view.Incarnation
		possible *result // of the first attempt that may have run
	)

	for number := 1; ; number++ {
		target, place, ok := p.pick(tried)
		if !ok {
			return strongest(possible, notRun(causeNoBackend, "no backend server takes new work"))
		}

		tried = append(tried, target)
		outcome := strongest(possible, p.attempt(ctx, c, target, place))

		if outcome.state == peer.Unknown {
			possible = outcome
		}

		if decision := p.decide(c, number, outcome); !decision.Retry || !pause(ctx, decision.After) {
			return outcome
		}
	}
}

// strongest returns the outcome of a call from an earlier attempt that may have
// run, or nil, and the last one.
func strongest(possible, last *result) *result {
	if possible != nil && last.state == peer.NotRun {
		return possible
	}

	return last
}

// placeNear runs a feed on the agent's own backend server if that takes it, and
// elsewhere otherwise: a feed lasts so long that an extra hop costs more than
// an even spread gains, and the spread of flows already evens out feeds.
func (p *placer) placeNear(ctx context.Context, c *call) *result {
	near := p.local.run(ctx, c)

	switch near.state {
	case peer.Answered:
		return near
	case peer.Unknown:
		return strongest(near, p.place(ctx, c))
	default:
		return p.place(ctx, c)
	}
}

// pick returns the agent for the next attempt. Once all were tried, an agent
// may get the call again.
func (p *placer) pick(tried []view.Incarnation) (view.Incarnation, runner, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := time.Now()

	target, ok := p.picker.Pick(now, tried...)
	if !ok {
		target, ok = p.picker.Pick(now)
	}

	if !ok {
		return 0, nil, false
	}

	if target == p.self() {
		return target, p.local, true
	}

	return target, p.sibling(p.agents[target]), true
}

func (p *placer) attempt(ctx context.Context, c *call, target view.Incarnation, place runner) *result {
	ctx, span := p.tracer.Start(ctx, "agent.attempt", trace.WithAttributes(
		attribute.Int64("agent", int64(target)), attribute.Bool("sibling", target != p.self())))
	defer span.End()

	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(c.header))

	outcome := place.run(ctx, c)
	if target != p.self() {
		redirections.Add(outcome.state.String(), 1)
	}

	span.SetAttributes(attribute.String("outcome", outcome.state.String()), attribute.String("reason", outcome.reason))

	if outcome.state != peer.Answered {
		p.observe(target, observed(ctx, outcome))

		return outcome
	}

	outcome.body = &observedBody{ReadCloser: outcome.body, ended: func(complete bool) {
		seen := placement.Answered
		if !complete {
			seen = placement.Cancelled
		}

		p.observe(target, seen)
	}}

	return outcome
}

func observed(ctx context.Context, outcome *result) placement.Outcome {
	switch {
	case ctx.Err() != nil:
		return placement.Cancelled
	case outcome.state == peer.NotRun && outcome.cause != causeSiblingGet:
		return placement.Refused
	default:
		return placement.Failed
	}
}

func (p *placer) observe(target view.Incarnation, outcome placement.Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.picker.Observe(time.Now(), target, outcome)
}

func (p *placer) decide(c *call, number int, outcome *result) retry.Decision {
	attempt := retry.Attempt{Number: number, Idempotent: c.class.Idempotent, Deadline: c.deadline}

	switch outcome.state {
	case peer.NotRun:
		attempt.Outcome = retry.NotRun
	case peer.Unknown:
		attempt.Outcome = retry.Unknown
	default:
		attempt.Outcome = retry.Answered
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	decision := p.budget.Decide(time.Now(), attempt, p.random)

	switch {
	case outcome.state == peer.Answered:
	case decision.Retry:
		retries.Add("allowed: "+string(decision.Reason), 1)
	default:
		retries.Add("denied: "+string(decision.Reason), 1)
	}

	return decision
}

// pause waits before a retry and reports whether the caller still waits.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// observedBody reports once whether the body was read to its end.
type observedBody struct {
	io.ReadCloser
	ended    func(complete bool)
	complete bool
	once     sync.Once
}

// Read reads the body and notes its end.
func (b *observedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.complete = true
	}

	return n, err
}

// Close closes the body.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.ended(b.complete) })

	return err
}
