package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/coordination/placement"
	"jayspindle/internal/state/view"
)

// waitingRequest is a request in the queue of a boundedQueue.
type waitingRequest struct {
	id      uint64
	expires time.Time
	urgency uint8
}

// boundedQueue is a baseline that admits requests from one bounded queue,
// without estimates, reserved slots or minimum shares.
type boundedQueue struct {
	policy  admission.Policy
	strict  bool // most urgent first; otherwise first come, first served
	queue   []waitingRequest
	running int
}

// NewFirstCome returns a baseline that serves requests in order of arrival.
func NewFirstCome(policy admission.Policy) Admitter { return &boundedQueue{policy: policy} }

// NewStrictPriority returns a baseline that serves the most urgent requests first.
func NewStrictPriority(policy admission.Policy) Admitter {
	return &boundedQueue{policy: policy, strict: true}
}

// NewScheduler returns the scheduler used in production.
func NewScheduler(policy admission.Policy) Admitter { return admission.New(policy) }

// Offer queues the request and refuses the last request in the queue if the
// queue is full.
func (b *boundedQueue) Offer(now time.Time, request admission.Request) admission.Decision {
	for _, class := range b.policy.Classes {
		if class.Name == request.Class {
			b.insert(waitingRequest{id: request.ID, expires: now.Add(class.Deadline), urgency: class.Urgency})
		}
	}

	limit := b.policy.QueueLength * len(b.policy.Classes)
	if len(b.queue) <= limit {
		return admission.Decision{ID: request.ID, Action: admission.Wait}
	}

	last := b.queue[limit]
	b.queue = b.queue[:limit]

	return admission.Decision{ID: last.id, Action: admission.Refuse, Reason: admission.ReasonQueue}
}

func (b *boundedQueue) insert(request waitingRequest) {
	index := len(b.queue)
	for b.strict && index > 0 && b.queue[index-1].urgency > request.urgency {
		index--
	}

	b.queue = slices.Insert(b.queue, index, request)
}

// Next refuses expired requests and starts requests while slots are free.
func (b *boundedQueue) Next(now time.Time) []admission.Decision {
	var decisions []admission.Decision

	for len(b.queue) > 0 {
		head := b.queue[0]

		switch {
		case now.After(head.expires):
			decisions = append(decisions, admission.Decision{ID: head.id, Action: admission.Refuse})
		case b.running < b.policy.Slots:
			decisions = append(decisions, admission.Decision{ID: head.id, Action: admission.Run})
			b.running++
		default:
			return decisions
		}

		b.queue = b.queue[1:]
	}

	return decisions
}

// Finish frees a slot.
func (b *boundedQueue) Finish(time.Time, uint64, admission.Outcome) bool {
	b.running--

	return true
}

// NextWakeup reports false: the queue needs no timer.
func (b *boundedQueue) NextWakeup() (time.Time, bool) { return time.Time{}, false }

// Waiting returns the number of queued requests.
func (b *boundedQueue) Waiting() int { return len(b.queue) }

// simplePlacer is a baseline placer. Its choose function returns the index of a
// sibling.
type simplePlacer struct {
	random    *rand.Rand
	siblings  []view.Incarnation
	inFlight  []int
	reported  []float64
	lastIndex int
	choose    func(p *simplePlacer) int
}

func newSimplePlacer(seed uint64, choose func(p *simplePlacer) int) Placer {
	return &simplePlacer{random: rand.New(rand.NewPCG(seed, 0)), choose: choose}
}

// NewRandom returns a baseline that picks a sibling at random.
func NewRandom(seed uint64) Placer { return newSimplePlacer(seed, (*simplePlacer).randomIndex) }

// NewRoundRobin returns a baseline that picks the siblings in turn.
func NewRoundRobin(seed uint64) Placer {
	return newSimplePlacer(seed, func(p *simplePlacer) int {
		p.lastIndex = (p.lastIndex + 1) % len(p.siblings)

		return p.lastIndex
	})
}

// NewLeastReported returns a baseline that picks the sibling with the lowest
// reported load.
func NewLeastReported(seed uint64) Placer {
	return newSimplePlacer(seed, func(p *simplePlacer) int { return slices.Index(p.reported, slices.Min(p.reported)) })
}

// NewTwoChoices returns a baseline that picks two siblings at random and takes
// the one to which it has fewer requests in flight (Mitzenmacher, 2001).
func NewTwoChoices(seed uint64) Placer {
	return newSimplePlacer(seed, func(p *simplePlacer) int {
		a, b := p.randomIndex(), p.randomIndex()
		if p.inFlight[b] < p.inFlight[a] {
			return b
		}

		return a
	})
}

// NewPicker returns the picker used in production.
func NewPicker(seed uint64) Placer { return placement.New(placement.DefaultPolicy(), seed) }

func (p *simplePlacer) randomIndex() int { return p.random.IntN(len(p.siblings)) }

// Update replaces the agents to pick from.
func (p *simplePlacer) Update(_ time.Time, agents []view.Agent) {
	p.siblings = nil
	for _, agent := range agents {
		p.siblings = append(p.siblings, agent.Incarnation)
	}

	p.inFlight = make([]int, len(agents))
	p.reported = make([]float64, len(agents))
	p.lastIndex = p.random.IntN(len(agents))
}

// Pick returns the chosen sibling and counts a request in flight to it.
func (p *simplePlacer) Pick(time.Time, ...view.Incarnation) (view.Incarnation, bool) {
	i := p.choose(p)
	p.inFlight[i]++

	return p.siblings[i], true
}

// Observe counts a request as no longer in flight.
func (p *simplePlacer) Observe(_ time.Time, incarnation view.Incarnation, _ placement.Outcome) {
	p.inFlight[slices.Index(p.siblings, incarnation)]--
}

// Report stores the reported load.
func (p *simplePlacer) Report(_ time.Time, incarnation view.Incarnation, load float64) {
	p.reported[slices.Index(p.siblings, incarnation)] = load
}
