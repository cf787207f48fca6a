package agent

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
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

	self     func() view.Incarnation
	local    *local
	siblings *siblings
	tracer   trace.Tracer
}

func newPlacer(
	self func() view.Incarnation, own *local, others *siblings, random *rand.Rand, tracer trace.Tracer,
) *placer {
	return &placer{
		picker:   placement.New(placement.DefaultPolicy(), random.Uint64()),
		budget:   retry.New(retryRatio, retryBurst),
		random:   random,
		agents:   make(map[view.Incarnation]view.Agent),
		self:     self,
		local:    own,
		siblings: others,
		tracer:   tracer,
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

// place runs a call on a backend server of the service.
func (p *placer) place(ctx context.Context, c *call) *result {
	p.mutex.Lock()
	p.budget.Deposit()
	p.mutex.Unlock()

	var tried []view.Incarnation

	for number := 1; ; number++ {
		target, place, ok := p.pick(tried)
		if !ok {
			return notRun("no backend server takes new work")
		}

		tried = append(tried, target)
		outcome := p.attempt(ctx, c, target, place)

		decision := p.decide(c, number, outcome)
		if !decision.Retry {
			return outcome
		}

		if !pause(ctx, decision.After) {
			return outcome
		}
	}
}

// placeNear runs a feed on the agent's own backend server if that takes it, and
// elsewhere otherwise: a feed lasts so long that an extra hop costs more than
// an even spread gains, and the spread of flows already evens out feeds.
func (p *placer) placeNear(ctx context.Context, c *call) *result {
	if outcome := p.local.run(ctx, c); outcome.state == peer.Answered {
		return outcome
	}

	return p.place(ctx, c)
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

	return target, &remote{client: p.siblings.client(p.agents[target])}, true
}

func (p *placer) attempt(ctx context.Context, c *call, target view.Incarnation, place runner) *result {
	ctx, span := p.tracer.Start(ctx, "agent.attempt", trace.WithAttributes(
		attribute.Int64("agent", int64(target)), attribute.Bool("sibling", target != p.self())))
	defer span.End()

	outcome := place.run(ctx, c)
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
	case outcome.state == peer.NotRun:
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

	return p.budget.Decide(time.Now(), attempt, p.random)
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
