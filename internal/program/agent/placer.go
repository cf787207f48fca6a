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
	// retryRatio limits the additional load by retries to a tenth.
	retryRatio = 0.1
	retryBurst = 20
)

// placer picks the backend server for each request and retries requests that
// are idempotent or are proven not to have run.
type placer struct {
	mutex  sync.Mutex // guards picker, budget, random and agents
	picker *placement.Picker
	budget *retry.Budget
	random *rand.Rand
	agents map[view.Incarnation]view.Agent

	self          func() view.Incarnation
	local         runner
	siblingRunner func(agent view.Agent) runner
	tracer        trace.Tracer
}

func newPlacer(
	self func() view.Incarnation, own runner, sibling func(agent view.Agent) runner, random *rand.Rand,
	tracer trace.Tracer,
) *placer {
	return &placer{
		picker:        placement.New(placement.DefaultPolicy(), random.Uint64()),
		budget:        retry.New(retryRatio, retryBurst),
		random:        random,
		agents:        make(map[view.Incarnation]view.Agent),
		self:          self,
		local:         own,
		siblingRunner: sibling,
		tracer:        tracer,
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
		tried     []view.Incarnation
		uncertain *result // of the latest attempt that may have run
	)

	for number := 1; ; number++ {
		incarnation, chosen, ok := p.pick(tried)
		if !ok {
			return combineOutcomes(uncertain, notRun(causeNoBackend, "no backend server takes new work"))
		}

		tried = append(tried, incarnation)
		outcome := combineOutcomes(uncertain, p.attempt(ctx, c, incarnation, chosen))

		if outcome.state == peer.Unknown {
			uncertain = outcome
		}

		if decision := p.decideRetry(c, number, outcome); !decision.Retry || !sleep(ctx, decision.Delay) {
			return outcome
		}
	}
}

// combineOutcomes combines the result of an earlier attempt that may have run, or
// nil, with that of the last attempt: a call that may have run is never reported
// as not run.
func combineOutcomes(uncertain, last *result) *result {
	if uncertain != nil && last.state == peer.NotRun {
		return uncertain
	}

	return last
}

// placeLocalFirst runs a feed on the agent's own backend server if that accepts it,
// and on another one otherwise. A feed lasts so long that an extra hop costs more
// than an even distribution gains, and flows already distribute feeds evenly.
func (p *placer) placeLocalFirst(ctx context.Context, c *call) *result {
	localOutcome := p.local.run(ctx, c)

	switch localOutcome.state {
	case peer.Answered:
		return localOutcome
	case peer.Unknown:
		return combineOutcomes(localOutcome, p.place(ctx, c))
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

	incarnation, ok := p.picker.Pick(now, tried...)
	if !ok {
		incarnation, ok = p.picker.Pick(now)
	}

	if !ok {
		return 0, nil, false
	}

	if incarnation == p.self() {
		return incarnation, p.local, true
	}

	return incarnation, p.siblingRunner(p.agents[incarnation]), true
}

func (p *placer) attempt(ctx context.Context, c *call, target view.Incarnation, destination runner) *result {
	ctx, span := p.tracer.Start(ctx, "agent.attempt", trace.WithAttributes(
		attribute.Int64("agent", int64(target)), attribute.Bool("sibling", target != p.self())))
	defer span.End()

	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(c.header))

	outcome := destination.run(ctx, c)
	if target != p.self() {
		siblingRequests.Add(outcome.state.String(), 1)
	}

	span.SetAttributes(attribute.String("outcome", outcome.state.String()), attribute.String("reason", outcome.reason))

	if outcome.state != peer.Answered {
		p.recordOutcome(target, placementOutcome(ctx, outcome))

		return outcome
	}

	outcome.body = &observedBody{ReadCloser: outcome.body, onClose: func(complete bool) {
		finalOutcome := placement.Answered
		if !complete {
			finalOutcome = placement.Cancelled
		}

		p.recordOutcome(target, finalOutcome)
	}}

	return outcome
}

func placementOutcome(ctx context.Context, outcome *result) placement.Outcome {
	switch {
	case ctx.Err() != nil:
		return placement.Cancelled
	case outcome.state == peer.NotRun && outcome.cause != causeSiblingUnreachable:
		return placement.Refused
	default:
		return placement.Failed
	}
}

func (p *placer) recordOutcome(target view.Incarnation, outcome placement.Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.picker.Observe(time.Now(), target, outcome)
}

func (p *placer) decideRetry(c *call, number int, outcome *result) retry.Decision {
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

// sleep waits for the duration and reports false if the context ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
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
	onClose  func(complete bool)
	complete bool
	once     sync.Once
}

// Read reads the body and records whether its end was reached.
func (b *observedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		b.complete = true
	}

	return n, err
}

// Close closes the body and reports once whether it was complete.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onClose(b.complete) })

	return err
}
