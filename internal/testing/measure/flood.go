package measure

import (
	"math/rand/v2"
	"time"

	"jayspindle/internal/coordination/admission"
)

// floodFactor is the offered load of a flood as a multiple of the capacity.
const floodFactor = 10

// floodWarmUp is the time before the flood starts. Only the flood is measured.
const floodWarmUp = 10 * time.Second

// Admitter is the part of an admission policy that a scenario uses.
type Admitter interface {
	Offer(now time.Time, request admission.Request) admission.Decision
	Next(now time.Time) []admission.Decision
	Finish(now time.Time, id uint64, outcome admission.Outcome) bool
	NextWakeup() (time.Time, bool)
	Waiting() int
}

// Scenario is a flood of one deployment.
type Scenario struct {
	Deployment Deployment
	Flooder    Flooder
	Duration   time.Duration // of the flood
}

// Flooded returns the scenario in which the given class floods for 60 s.
func (d Deployment) Flooded(flooder Flooder) Scenario {
	return Scenario{Deployment: d, Flooder: flooder, Duration: time.Minute}
}

// ClassResult holds the results of one class during the flood.
type ClassResult struct {
	Offered   int
	OnTime    int           // answered within the deadline
	Late      int           // answered after the deadline
	Refused   int           // "not run"
	SlotShare float64       // slot time received, as a fraction of the capacity
	MinShare  float64       // as configured
	Demand    float64       // slot time that the arrivals need, as a fraction of the capacity
	Slowest   time.Duration // longest time to an answer
}

// InTime returns the fraction of offered requests answered within the deadline.
func (c ClassResult) InTime() float64 {
	if c.Offered == 0 {
		return 1
	}

	return float64(c.OnTime) / float64(c.Offered)
}

// ShareKept returns the received slot time relative to the guaranteed slot time:
// the configured minimum share, or the demand if that is lower.
func (c ClassResult) ShareKept() float64 {
	promised := min(c.MinShare, c.Demand)
	if promised == 0 {
		return 1
	}

	return c.SlotShare / promised
}

// FloodResult holds the results of one run.
type FloodResult struct {
	Scenario   Scenario
	Classes    map[string]*ClassResult
	MaxWaiting int     // longest queue of one backend server, all classes
	Busy       float64 // fraction of the slot time in use
}

// Class returns the results of a class.
func (r FloodResult) Class(name string) ClassResult { return *r.Classes[name] }

// floodRun is the state of a Flood run.
type floodRun struct {
	*simulation
	scenario  Scenario
	admitters []Admitter
	random    *rand.Rand
	result    FloodResult
	requests  map[uint64]*floodRequest
	wakeTimes []time.Time
	nextID    uint64
}

type floodRequest struct {
	work        Work
	agent       int
	arrived     time.Time
	serviceTime time.Duration
}

// Flood runs the scenario with one admitter per backend server. Requests are
// spread evenly over the backend servers.
func Flood(scenario Scenario, newAdmitter func(admission.Policy) Admitter, seed uint64) FloodResult {
	d := scenario.Deployment
	run := &floodRun{
		simulation: newSimulation(floodWarmUp + scenario.Duration),
		scenario:   scenario,
		random:     rand.New(rand.NewPCG(seed, 1)),
		result:     FloodResult{Scenario: scenario, Classes: make(map[string]*ClassResult)},
		requests:   make(map[uint64]*floodRequest),
		wakeTimes:  make([]time.Time, d.Agents),
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

// addClass schedules the ordinary arrivals of a class and, if it floods, those of
// the flood.
func (r *floodRun) addClass(i int, w Work, random *rand.Rand) {
	d := r.scenario.Deployment
	flood := (r.scenario.Flooder == LeastUrgent && i == len(d.Work)-1) || (r.scenario.Flooder == MostUrgent && i == 0)

	r.result.Classes[w.Class.Name] = &ClassResult{MinShare: float64(w.Class.MinSharePercent) / 100}

	arrive := func(now time.Time) {
		r.offer(now, &floodRequest{
			work: w, agent: random.IntN(d.Agents), arrived: now, serviceTime: drawServiceTime(random, w.Mean, w.Sigma),
		})
	}

	r.scheduleArrivals(random, epoch, d.arrivalRate(w, w.Load), arrive)

	if flood {
		r.scheduleArrivals(random, epoch.Add(floodWarmUp), d.arrivalRate(w, floodFactor), arrive)
	}
}

// isMeasured reports whether a request counts in the result.
func (r *floodRun) isMeasured(request *floodRequest) bool {
	floodStart := epoch.Add(floodWarmUp)

	// If the deadline lies after the end, on time and late cannot be told apart.
	return !request.arrived.Before(floodStart) && !request.arrived.Add(request.work.Class.Deadline).After(r.end)
}

func (r *floodRun) offer(now time.Time, request *floodRequest) {
	r.nextID++
	r.requests[r.nextID] = request

	class := r.result.Classes[request.work.Class.Name]
	if r.isMeasured(request) {
		class.Offered++
	}

	if !now.Before(epoch.Add(floodWarmUp)) {
		class.Demand += min(request.serviceTime, r.end.Sub(now)).Seconds() / r.capacity()
	}

	admitter := r.admitters[request.agent]
	r.apply(now, admitter.Offer(now, admission.Request{ID: r.nextID, Class: request.work.Class.Name}))
	r.dispatch(now, request.agent)
}

// dispatch applies the decisions of an agent's admitter and schedules its next
// wake-up.
func (r *floodRun) dispatch(now time.Time, agent int) {
	admitter := r.admitters[agent]
	for _, decision := range admitter.Next(now) {
		r.apply(now, decision)
	}

	r.result.MaxWaiting = max(r.result.MaxWaiting, admitter.Waiting())

	wake, ok := admitter.NextWakeup()
	if !ok || (r.wakeTimes[agent].After(now) && !wake.Before(r.wakeTimes[agent])) {
		return
	}

	r.wakeTimes[agent] = wake
	r.schedule(wake, func(now time.Time) { r.dispatch(now, agent) })
}

func (r *floodRun) apply(now time.Time, decision admission.Decision) {
	request := r.requests[decision.ID]

	switch decision.Action {
	case admission.Run:
		r.addSlotTime(now, request)
		r.schedule(now.Add(request.serviceTime), func(now time.Time) { r.finish(now, decision.ID) })
	case admission.Refuse:
		delete(r.requests, decision.ID)

		if r.isMeasured(request) {
			r.result.Classes[request.work.Class.Name].Refused++
		}
	case admission.Wait, admission.Abort, admission.Ignore:
	}
}

// addSlotTime adds the time that a request occupies its slot during the flood.
func (r *floodRun) addSlotTime(now time.Time, request *floodRequest) {
	from := epoch.Add(floodWarmUp)
	if now.After(from) {
		from = now
	}

	to := now.Add(request.serviceTime)
	if to.After(r.end) {
		to = r.end
	}

	if to.After(from) {
		r.result.Classes[request.work.Class.Name].SlotShare += to.Sub(from).Seconds() / r.capacity()
	}
}

// capacity returns the slot time of all backend servers during the flood, in
// seconds.
func (r *floodRun) capacity() float64 {
	return r.scenario.Duration.Seconds() * float64(r.scenario.Deployment.Agents*r.scenario.Deployment.Slots)
}

func (r *floodRun) finish(now time.Time, id uint64) {
	request := r.requests[id]
	delete(r.requests, id)
	r.admitters[request.agent].Finish(now, id, admission.Completed)

	if r.isMeasured(request) {
		class := r.result.Classes[request.work.Class.Name]
		elapsed := now.Sub(request.arrived)
		class.Slowest = max(class.Slowest, elapsed)

		if elapsed <= request.work.Class.Deadline {
			class.OnTime++
		} else {
			class.Late++
		}
	}

	r.dispatch(now, request.agent)
}
