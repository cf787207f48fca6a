package measure

import (
	"math/rand/v2"
	"time"

	"jayspindle/internal/coordination/admission"
)

// floodFactor is the rate of a flood relative to the fleet's capacity.
const floodFactor = 10

// warmUp is the time before a flood starts. Figures count from the flood on.
const warmUp = 10 * time.Second

// Admitter is the part of an admission policy that a scenario uses.
type Admitter interface {
	Offer(now time.Time, request admission.Request) admission.Decision
	Next(now time.Time) []admission.Decision
	Finish(now time.Time, id uint64, outcome admission.Outcome) bool
	NextWakeup() (time.Time, bool)
	Waiting() int
}

// Scenario is a flood on one deployment.
type Scenario struct {
	Deployment Deployment
	Flooder    Flooder
	Duration   time.Duration // of the flood
}

// Flooded returns the scenario in which the given class floods for 60 s.
func (d Deployment) Flooded(flooder Flooder) Scenario {
	return Scenario{Deployment: d, Flooder: flooder, Duration: time.Minute}
}

// ClassResult holds the figures of one class during the flood.
type ClassResult struct {
	Offered   int
	OnTime    int // answered within the deadline
	Late      int // answered after the deadline
	Refused   int // "not run"
	SlotShare float64
	MinShare  float64       // as configured
	Demand    float64       // work that arrived during the flood, as a fraction of the capacity
	Slowest   time.Duration // longest time to an answer
}

// InTime returns the fraction of offered requests answered within the deadline.
func (c ClassResult) InTime() float64 {
	if c.Offered == 0 {
		return 1
	}

	return float64(c.OnTime) / float64(c.Offered)
}

// ShareKept returns the received slot time relative to what the minimum share
// promises: the configured share, or the demand if that is lower.
func (c ClassResult) ShareKept() float64 {
	promised := min(c.MinShare, c.Demand)
	if promised == 0 {
		return 1
	}

	return c.SlotShare / promised
}

// FloodResult holds the figures of one run.
type FloodResult struct {
	Scenario   Scenario
	Classes    map[string]*ClassResult
	MaxWaiting int // longest queue of one backend server, all classes
	Busy       float64
}

// Class returns the figures of a class.
func (r FloodResult) Class(name string) ClassResult { return *r.Classes[name] }

type floodRun struct {
	*simulation
	scenario  Scenario
	admitters []Admitter
	random    *rand.Rand
	result    FloodResult
	requests  map[uint64]*floodRequest
	wakes     []time.Time
	nextID    uint64
}

type floodRequest struct {
	work    Work
	agent   int
	arrived time.Time
	taken   time.Duration
}

// Flood runs the scenario with one admitter per backend server. Requests are
// spread evenly over the backend servers.
func Flood(scenario Scenario, newAdmitter func(admission.Policy) Admitter, seed uint64) FloodResult {
	d := scenario.Deployment
	run := &floodRun{
		simulation: newSimulation(warmUp + scenario.Duration),
		scenario:   scenario,
		random:     rand.New(rand.NewPCG(seed, 1)),
		result:     FloodResult{Scenario: scenario, Classes: make(map[string]*ClassResult)},
		requests:   make(map[uint64]*floodRequest),
		wakes:      make([]time.Time, d.Agents),
	}

	policy := admission.Policy{Classes: d.Classes(), Slots: d.Slots, QueueLength: admission.DefaultQueueLength}
	for range d.Agents {
		run.admitters = append(run.admitters, newAdmitter(policy))
	}

	for i, w := range d.Work {
		run.addClass(i, w, rand.New(rand.NewPCG(seed, uint64(2+i))))
	}

	run.run()

	for _, c := range run.result.Classes {
		run.result.Busy += c.SlotShare
	}

	return run.result
}

// addClass schedules the ordinary arrivals of a class and its flood.
func (r *floodRun) addClass(i int, w Work, random *rand.Rand) {
	d := r.scenario.Deployment
	flood := (r.scenario.Flooder == LeastUrgent && i == len(d.Work)-1) || (r.scenario.Flooder == MostUrgent && i == 0)

	r.result.Classes[w.Class.Name] = &ClassResult{MinShare: float64(w.Class.MinSharePercent) / 100}

	arrive := func(now time.Time) {
		r.offer(now, &floodRequest{
			work: w, agent: random.IntN(d.Agents), arrived: now, taken: serviceTime(random, w.Mean, w.Sigma),
		})
	}

	r.arrivals(random, epoch, d.rate(w, w.Load), arrive)

	if flood {
		r.arrivals(random, epoch.Add(warmUp), d.rate(w, floodFactor), arrive)
	}
}

func (r *floodRun) measured(request *floodRequest) bool {
	counted := epoch.Add(warmUp)

	// A request whose deadline lies after the end cannot be judged.
	return !request.arrived.Before(counted) && !request.arrived.Add(request.work.Class.Deadline).After(r.end)
}

func (r *floodRun) offer(now time.Time, request *floodRequest) {
	r.nextID++
	r.requests[r.nextID] = request

	class := r.result.Classes[request.work.Class.Name]
	if r.measured(request) {
		class.Offered++
	}

	if !now.Before(epoch.Add(warmUp)) {
		class.Demand += min(request.taken, r.end.Sub(now)).Seconds() / r.capacity()
	}

	admitter := r.admitters[request.agent]
	r.apply(now, admitter.Offer(now, admission.Request{ID: r.nextID, Class: request.work.Class.Name}))
	r.next(now, request.agent)
}

func (r *floodRun) next(now time.Time, agent int) {
	admitter := r.admitters[agent]
	for _, decision := range admitter.Next(now) {
		r.apply(now, decision)
	}

	r.result.MaxWaiting = max(r.result.MaxWaiting, admitter.Waiting())

	wake, ok := admitter.NextWakeup()
	if !ok || (r.wakes[agent].After(now) && !wake.Before(r.wakes[agent])) {
		return
	}

	r.wakes[agent] = wake
	r.at(wake, func(now time.Time) { r.next(now, agent) })
}

func (r *floodRun) apply(now time.Time, decision admission.Decision) {
	request := r.requests[decision.ID]

	switch decision.Action {
	case admission.Run:
		r.accountSlot(now, request)
		r.at(now.Add(request.taken), func(now time.Time) { r.finish(now, decision.ID) })
	case admission.Refuse:
		delete(r.requests, decision.ID)

		if r.measured(request) {
			r.result.Classes[request.work.Class.Name].Refused++
		}
	case admission.Wait, admission.Abort, admission.Ignore:
	}
}

// accountSlot counts the part of a slot's occupation that lies in the flood.
func (r *floodRun) accountSlot(now time.Time, request *floodRequest) {
	from := epoch.Add(warmUp)
	if now.After(from) {
		from = now
	}

	to := now.Add(request.taken)
	if to.After(r.end) {
		to = r.end
	}

	if to.After(from) {
		r.result.Classes[request.work.Class.Name].SlotShare += to.Sub(from).Seconds() / r.capacity()
	}
}

// capacity returns the slot time of the fleet during the flood, in seconds.
func (r *floodRun) capacity() float64 {
	return r.scenario.Duration.Seconds() * float64(r.scenario.Deployment.Agents*r.scenario.Deployment.Slots)
}

func (r *floodRun) finish(now time.Time, id uint64) {
	request := r.requests[id]
	delete(r.requests, id)
	r.admitters[request.agent].Finish(now, id, admission.Completed)

	if r.measured(request) {
		class := r.result.Classes[request.work.Class.Name]
		taken := now.Sub(request.arrived)
		class.Slowest = max(class.Slowest, taken)

		if taken <= request.work.Class.Deadline {
			class.OnTime++
		} else {
			class.Late++
		}
	}

	r.next(now, request.agent)
}
