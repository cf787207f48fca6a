package measure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// epoch is the simulated time at which every scenario starts.
var epoch = time.Unix(1_000_000, 0)

// event is a call scheduled for a simulated time. The sequence number orders
// events with equal times, so that a seed always gives the same run.
type event struct {
	at       time.Time
	sequence uint64
	run      func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}

	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]

	return last
}

// simulation runs events in order of their simulated times.
type simulation struct {
	events   eventHeap
	sequence uint64
	now      time.Time
	end      time.Time
}

func newSimulation(duration time.Duration) *simulation {
	return &simulation{now: epoch, end: epoch.Add(duration)}
}

// schedule schedules a call. Calls after the end of the simulation are dropped.
func (s *simulation) schedule(at time.Time, run func(now time.Time)) {
	if at.After(s.end) {
		return
	}

	s.sequence++
	heap.Push(&s.events, event{at: at, sequence: s.sequence, run: run})
}

func (s *simulation) run() {
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run(next.at)
	}
}

// scheduleArrivals schedules the calls of a Poisson process with the given rate
// per second, from the given time until the end of the simulation.
func (s *simulation) scheduleArrivals(random *rand.Rand, from time.Time, rate float64, run func(now time.Time)) {
	if rate <= 0 {
		return
	}

	var arrive func(now time.Time)

	next := func(now time.Time) {
		s.schedule(now.Add(seconds(random.ExpFloat64()/rate)), arrive)
	}

	arrive = func(now time.Time) {
		run(now)
		next(now)
	}

	next(from)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// drawServiceTime draws from a log-normal distribution with the given mean and
// shape sigma. Shape 0 is constant; 1 has a long tail.
func drawServiceTime(random *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	scale := math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)

	return max(time.Duration(float64(mean)*scale), time.Microsecond)
}

// Summary summarizes the values of one figure over several seeds.
type Summary struct {
	Median, Lowest, Highest float64
}

// Summarize returns the median and the spread of the values.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}

	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2

	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}

	return Summary{Median: median, Lowest: sorted[0], Highest: sorted[len(sorted)-1]}
}
