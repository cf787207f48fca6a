package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/placement"
	"jayspindle/internal/state/view"
)

const (
	reportInterval = 3 * time.Second        // between the load reports of a backend server
	siblingLatency = 500 * time.Microsecond // one way between agents
	handOverLimit  = 5 * time.Second        // after which an agent gives up a request
)

// Placer is the part of a placement policy that a scenario uses.
type Placer interface {
	Update(now time.Time, agents []view.Agent)
	Pick(now time.Time, excluded ...view.Incarnation) (view.Incarnation, bool)
	Observe(now time.Time, incarnation view.Incarnation, outcome placement.Outcome)
}

// Reporter is implemented by placers that use load reports. Load is the number
// of requests at the backend server.
type Reporter interface {
	Report(now time.Time, incarnation view.Incarnation, load float64)
}

// Timer is implemented by placers that use measured completion times.
type Timer interface {
	Took(now time.Time, incarnation view.Incarnation, taken time.Duration)
}

// Imbalance describes a scenario of uneven connections.
type Imbalance struct {
	Agents      int
	Slots       int
	Duration    time.Duration
	Utilization float64       // offered work as a fraction of the capacity
	Mean        time.Duration // service time at speed 1
	Sigma       float64
	Speeds      []float64 // of the backend servers, in turn; nil for all 1
	Connections int       // long-lived; their request rates are log-normal
	Misleading  bool      // the first backend server always reports no load
	Failing     int       // the first backend servers fail every request between a third and two thirds of the run
	Hung        bool      // the failing ones do not answer instead of failing at once
}

// ImbalanceResult holds the figures of one run.
type ImbalanceResult struct {
	Requests  []int   // completed per backend server
	Ingress   float64 // busiest over mean of the agents' own connections
	Imbalance float64 // busiest over mean of Requests
	Relative  float64 // busiest over mean of Requests per speed
	Mean      time.Duration
	Median    time.Duration
	P99       time.Duration
	Failed    float64 // fraction of requests that failed
	Peak      float64 // highest share of a recovered backend server in a second, relative to an even share
}

// server is a simulated backend server with slots and a queue.
type server struct {
	speed   float64
	running int
	queue   []func(now time.Time)
	failing bool
}

type imbalanceRun struct {
	*simulation
	scenario  Imbalance
	servers   []*server
	placers   []Placer
	random    *rand.Rand
	completed []int
	ingress   []int
	taken     []time.Duration
	offered   int
	failed    int
	seconds   []int // placed on server 0 in each second
	perSecond []int // placed in each second
}

// Unbalanced runs the scenario with one placer per agent. The incarnation of
// agent i is i+1.
func Unbalanced(scenario Imbalance, newPlacer func(seed uint64) Placer, seed uint64) ImbalanceResult {
	run := &imbalanceRun{
		simulation: newSimulation(scenario.Duration),
		scenario:   scenario,
		random:     rand.New(rand.NewPCG(seed, 3)),
		completed:  make([]int, scenario.Agents),
		ingress:    make([]int, scenario.Agents),
		seconds:    make([]int, int(scenario.Duration.Seconds())+1),
		perSecond:  make([]int, int(scenario.Duration.Seconds())+1),
	}

	agents := make([]view.Agent, scenario.Agents)
	for i := range agents {
		agents[i] = view.Agent{Incarnation: view.Incarnation(i + 1), Weight: view.MaxWeight, State: view.Active}
	}

	for i := range scenario.Agents {
		speed := 1.0
		if len(scenario.Speeds) > 0 {
			speed = scenario.Speeds[i%len(scenario.Speeds)]
		}

		placer := newPlacer(seed*1000 + uint64(i))
		placer.Update(epoch, agents)
		run.servers = append(run.servers, &server{speed: speed})
		run.placers = append(run.placers, placer)
	}

	run.connect()
	run.fail()
	run.reports()
	run.run()

	return run.result()
}

// connect schedules the arrivals. Each connection belongs to one agent for the
// whole run and has its own rate.
func (r *imbalanceRun) connect() {
	speed := 0.0
	for _, s := range r.servers {
		speed += s.speed
	}

	total := r.scenario.Utilization * speed * float64(r.scenario.Slots) / r.scenario.Mean.Seconds()
	weights := make([]float64, r.scenario.Connections)
	sum := 0.0

	for i := range weights {
		weights[i] = serviceTime(r.random, time.Second, 1.5).Seconds()
		sum += weights[i]
	}

	for _, weight := range weights {
		agent := r.random.IntN(r.scenario.Agents)
		random := rand.New(rand.NewPCG(r.random.Uint64(), 4))
		r.arrivals(random, epoch, total*weight/sum, func(now time.Time) {
			r.ingress[agent]++
			r.place(now, agent, serviceTime(random, r.scenario.Mean, r.scenario.Sigma))
		})
	}
}

// fail lets the first backend servers fail in the middle third of the run.
func (r *imbalanceRun) fail() {
	for _, s := range r.servers[:r.scenario.Failing] {
		r.at(epoch.Add(r.scenario.Duration/3), func(time.Time) { s.failing = true })
		r.at(epoch.Add(r.scenario.Duration*2/3), func(time.Time) { s.failing = false })
	}
}

// reports sends each backend server's load to all agents at an interval.
func (r *imbalanceRun) reports() {
	for i, s := range r.servers {
		var report func(now time.Time)

		report = func(now time.Time) {
			load := float64(s.running + len(s.queue))
			if i == 0 && r.scenario.Misleading {
				load = 0
			}

			for _, placer := range r.placers {
				if reporter, ok := placer.(Reporter); ok {
					reporter.Report(now, view.Incarnation(i+1), load)
				}
			}

			r.at(now.Add(reportInterval), report)
		}

		r.at(epoch.Add(time.Duration(r.random.Int64N(int64(reportInterval)))), report)
	}
}

func (r *imbalanceRun) place(now time.Time, agent int, work time.Duration) {
	r.offered++

	incarnation, ok := r.placers[agent].Pick(now)
	if !ok {
		r.failed++

		return
	}

	target := int(incarnation) - 1
	r.perSecond[int(now.Sub(epoch).Seconds())]++

	if target == 0 {
		r.seconds[int(now.Sub(epoch).Seconds())]++
	}

	hop := siblingLatency
	if target == agent {
		hop = 0
	}

	r.at(now.Add(hop), func(at time.Time) {
		r.arrive(at, target, work, func(done time.Time, outcome placement.Outcome) {
			r.at(done.Add(hop), func(end time.Time) { r.end(end, now, agent, incarnation, outcome) })
		})
	})
}

func (r *imbalanceRun) arrive(now time.Time, target int, work time.Duration, done func(time.Time, placement.Outcome)) {
	s := r.servers[target]

	switch {
	case s.failing && r.scenario.Hung:
		r.at(now.Add(handOverLimit), func(now time.Time) { done(now, placement.Failed) })

		return
	case s.failing:
		done(now, placement.Failed)

		return
	}

	start := func(now time.Time) {
		s.running++
		r.at(now.Add(time.Duration(float64(work)/s.speed)), func(now time.Time) {
			s.running--
			r.completed[target]++

			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next(now)
			}

			done(now, placement.Answered)
		})
	}

	if s.running < r.scenario.Slots {
		start(now)
	} else {
		s.queue = append(s.queue, start)
	}
}

func (r *imbalanceRun) end(now, begun time.Time, agent int, incarnation view.Incarnation, outcome placement.Outcome) {
	r.placers[agent].Observe(now, incarnation, outcome)

	if outcome == placement.Failed {
		r.failed++

		return
	}

	r.taken = append(r.taken, now.Sub(begun))

	if timer, ok := r.placers[agent].(Timer); ok {
		timer.Took(now, incarnation, now.Sub(begun))
	}
}

func (r *imbalanceRun) result() ImbalanceResult {
	perSpeed := make([]float64, len(r.servers))
	for i, s := range r.servers {
		perSpeed[i] = float64(r.completed[i]) / s.speed
	}

	result := ImbalanceResult{
		Requests:  r.completed,
		Ingress:   busiestOverMean(toFloats(r.ingress)),
		Imbalance: busiestOverMean(toFloats(r.completed)),
		Relative:  busiestOverMean(perSpeed),
		Failed:    float64(r.failed) / float64(max(r.offered, 1)),
		Peak:      r.peak(),
	}

	if len(r.taken) == 0 {
		return result
	}

	slices.Sort(r.taken)

	for _, taken := range r.taken {
		result.Mean += taken / time.Duration(len(r.taken))
	}

	result.Median = r.taken[len(r.taken)/2]
	result.P99 = r.taken[len(r.taken)*99/100]

	return result
}

// peak returns the highest share that the first backend server got in a second
// after its recovery.
func (r *imbalanceRun) peak() float64 {
	peak := 0.0

	for second := int(r.scenario.Duration.Seconds()*2/3) + 1; second < len(r.seconds)-1; second++ {
		if r.perSecond[second] > 0 {
			even := float64(r.perSecond[second]) / float64(r.scenario.Agents)
			peak = max(peak, float64(r.seconds[second])/even)
		}
	}

	return peak
}

func busiestOverMean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}

	if sum == 0 {
		return 0
	}

	return slices.Max(values) * float64(len(values)) / sum
}

func toFloats(values []int) []float64 {
	floats := make([]float64, len(values))
	for i, value := range values {
		floats[i] = float64(value)
	}

	return floats
}
