package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/placement"
	"jayspindle/internal/state/view"
)

const (
	reportInterval  = 3 * time.Second        // between two load reports of a backend server
	siblingLatency  = 500 * time.Microsecond // one way between agents
	handOverTimeout = 5 * time.Second        // after which an agent gives up on a hung backend server
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

// Imbalance describes a scenario in which some connections and agents get far more
// requests than others.
type Imbalance struct {
	Agents      int
	Slots       int
	Duration    time.Duration
	Utilization float64       // offered load as a fraction of the capacity
	Mean        time.Duration // service time at speed 1
	Sigma       float64
	Speeds      []float64 // of the backend servers, repeated as needed; nil means 1 for all
	Connections int       // long-lived; their request rates are log-normal
	Misleading  bool      // the first backend server always reports no load
	Failing     int       // number of backend servers, from the first, that fail all requests in the middle third
	Hung        bool      // failing backend servers do not answer at all, instead of failing at once
}

// ImbalanceResult holds the results of one run.
type ImbalanceResult struct {
	Requests  []int         // completed by each backend server
	Ingress   float64       // busiest agent over mean, by requests that arrive on its own connections
	Imbalance float64       // busiest backend server over mean, by Requests
	Relative  float64       // busiest backend server over mean, by Requests divided by speed
	Mean      time.Duration // of completion times, as Median and P99
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

// imbalanceRun is the state of an Unbalanced run.
type imbalanceRun struct {
	*simulation
	scenario             Imbalance
	servers              []*server
	placers              []Placer
	random               *rand.Rand
	completed            []int
	ingress              []int
	completionTimes      []time.Duration
	offered              int
	failed               int
	firstServerPerSecond []int // requests placed on server 0 in each second
	placedPerSecond      []int // requests placed in each second
}

// Unbalanced runs the scenario with one placer per agent. The incarnation of
// agent i is i+1.
func Unbalanced(scenario Imbalance, newPlacer func(seed uint64) Placer, seed uint64) ImbalanceResult {
	run := &imbalanceRun{
		simulation:           newSimulation(scenario.Duration),
		scenario:             scenario,
		random:               rand.New(rand.NewPCG(seed, 3)),
		completed:            make([]int, scenario.Agents),
		ingress:              make([]int, scenario.Agents),
		firstServerPerSecond: make([]int, int(scenario.Duration.Seconds())+1),
		placedPerSecond:      make([]int, int(scenario.Duration.Seconds())+1),
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

	run.scheduleConnections()
	run.scheduleFailures()
	run.scheduleReports()
	run.run()

	return run.result()
}

// scheduleConnections schedules the arrivals. Each connection belongs to one agent
// for the whole run and has its own request rate.
func (r *imbalanceRun) scheduleConnections() {
	totalSpeed := 0.0
	for _, s := range r.servers {
		totalSpeed += s.speed
	}

	totalRate := r.scenario.Utilization * totalSpeed * float64(r.scenario.Slots) / r.scenario.Mean.Seconds()
	weights := make([]float64, r.scenario.Connections)
	sum := 0.0

	for i := range weights {
		weights[i] = drawServiceTime(r.random, time.Second, 1.5).Seconds()
		sum += weights[i]
	}

	for _, weight := range weights {
		agent := r.random.IntN(r.scenario.Agents)
		random := rand.New(rand.NewPCG(r.random.Uint64(), 4))
		r.scheduleArrivals(random, epoch, totalRate*weight/sum, func(now time.Time) {
			r.ingress[agent]++
			r.place(now, agent, drawServiceTime(random, r.scenario.Mean, r.scenario.Sigma))
		})
	}
}

// scheduleFailures schedules the failure and recovery of the first backend servers,
// which fail all requests in the middle third of the run.
func (r *imbalanceRun) scheduleFailures() {
	for _, s := range r.servers[:r.scenario.Failing] {
		r.schedule(epoch.Add(r.scenario.Duration/3), func(time.Time) { s.failing = true })
		r.schedule(epoch.Add(r.scenario.Duration*2/3), func(time.Time) { s.failing = false })
	}
}

// scheduleReports sends the load of each backend server to all agents
// periodically.
func (r *imbalanceRun) scheduleReports() {
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

			r.schedule(now.Add(reportInterval), report)
		}

		r.schedule(epoch.Add(time.Duration(r.random.Int64N(int64(reportInterval)))), report)
	}
}

// place sends a request that arrived at the agent to a backend server.
func (r *imbalanceRun) place(now time.Time, agent int, serviceTime time.Duration) {
	r.offered++

	incarnation, ok := r.placers[agent].Pick(now)
	if !ok {
		r.failed++

		return
	}

	target := int(incarnation) - 1
	r.placedPerSecond[int(now.Sub(epoch).Seconds())]++

	if target == 0 {
		r.firstServerPerSecond[int(now.Sub(epoch).Seconds())]++
	}

	latency := siblingLatency
	if target == agent {
		latency = 0
	}

	r.schedule(now.Add(latency), func(at time.Time) {
		r.enqueue(at, target, serviceTime, func(done time.Time, outcome placement.Outcome) {
			r.schedule(done.Add(latency), func(finished time.Time) { r.finish(finished, now, agent, incarnation, outcome) })
		})
	})
}

// enqueue starts a request at a backend server, or queues it while all slots are
// in use, and calls done with the outcome.
func (r *imbalanceRun) enqueue(
	now time.Time, target int, serviceTime time.Duration, done func(time.Time, placement.Outcome),
) {
	s := r.servers[target]

	switch {
	case s.failing && r.scenario.Hung:
		r.schedule(now.Add(handOverTimeout), func(now time.Time) { done(now, placement.Failed) })

		return
	case s.failing:
		done(now, placement.Failed)

		return
	}

	start := func(now time.Time) {
		s.running++
		r.schedule(now.Add(time.Duration(float64(serviceTime)/s.speed)), func(now time.Time) {
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

func (r *imbalanceRun) finish(
	now, started time.Time, agent int, incarnation view.Incarnation, outcome placement.Outcome,
) {
	r.placers[agent].Observe(now, incarnation, outcome)

	if outcome == placement.Failed {
		r.failed++

		return
	}

	r.completionTimes = append(r.completionTimes, now.Sub(started))

	if timer, ok := r.placers[agent].(Timer); ok {
		timer.Took(now, incarnation, now.Sub(started))
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
		Peak:      r.peakShare(),
	}

	if len(r.completionTimes) == 0 {
		return result
	}

	slices.Sort(r.completionTimes)

	for _, taken := range r.completionTimes {
		result.Mean += taken / time.Duration(len(r.completionTimes))
	}

	result.Median = r.completionTimes[len(r.completionTimes)/2]
	result.P99 = r.completionTimes[len(r.completionTimes)*99/100]

	return result
}

// peakShare returns the highest share of requests that the first backend server
// got in any second after its recovery, relative to an even share.
func (r *imbalanceRun) peakShare() float64 {
	highest := 0.0

	for second := int(r.scenario.Duration.Seconds()*2/3) + 1; second < len(r.firstServerPerSecond)-1; second++ {
		if r.placedPerSecond[second] > 0 {
			evenShare := float64(r.placedPerSecond[second]) / float64(r.scenario.Agents)
			highest = max(highest, float64(r.firstServerPerSecond[second])/evenShare)
		}
	}

	return highest
}

// busiestOverMean returns the highest value divided by the mean.
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
