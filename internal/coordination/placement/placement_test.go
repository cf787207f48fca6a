package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/placement"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
)

var start = time.Unix(1000, 0)

func siblings(count int) []view.Agent {
	agents := make([]view.Agent, count)
	for i := range agents {
		agents[i] = view.Agent{Incarnation: view.Incarnation(i + 1), Weight: view.MaxWeight, State: view.Active}
	}

	return agents
}

func newPicker(agents []view.Agent) *placement.Picker {
	picker := placement.New(placement.DefaultPolicy(), 1)
	picker.Update(start, agents)

	return picker
}

// spread places requests that end immediately and returns how many each sibling got.
func spread(
	p *placement.Picker, now time.Time, count int, outcomeOf func(view.Incarnation) placement.Outcome,
) map[view.Incarnation]int {
	placed := make(map[view.Incarnation]int)

	for range count {
		if incarnation, ok := p.Pick(now); ok {
			placed[incarnation]++
			p.Observe(now, incarnation, outcomeOf(incarnation))
		}
	}

	return placed
}

func alwaysAnswered(view.Incarnation) placement.Outcome { return placement.Answered }

func failing(from, to view.Incarnation) func(view.Incarnation) placement.Outcome {
	return func(incarnation view.Incarnation) placement.Outcome {
		if incarnation >= from && incarnation <= to {
			return placement.Failed
		}

		return placement.Answered
	}
}

// TestSpread guards against siblings that get more than their share, with up to
// as many siblings as the largest service may have.
func TestSpread(t *testing.T) {
	for _, count := range []int{1, 3, 7, 400} {
		is := is.New(t)
		placed := spread(newPicker(siblings(count)), start, 50*count, alwaysAnswered)
		is.Equal(len(placed), count)

		for _, requests := range placed {
			is.True(requests >= 48 && requests <= 52)
		}
	}
}

// TestMembership guards against new work for agents that drain, have weight
// zero, are excluded or have left.
func TestMembership(t *testing.T) {
	is := is.New(t)
	agents := siblings(5)
	agents[0].State = view.Draining
	agents[1].Weight = 0
	picker := newPicker(agents)
	placed := spread(picker, start, 100, alwaysAnswered)
	is.Equal(placed[1]+placed[2], 0)

	left, ok := picker.Pick(start, 3, 4)
	is.True(ok)
	is.Equal(left, view.Incarnation(5))
	picker.Update(start, agents[:4])
	picker.Observe(start, left, placement.Answered) // the sibling has left

	_, ok = picker.Pick(start, 3, 4)
	is.True(!ok)
}

// TestRamp guards against a newly started backend server that gets its full share
// at once, and against one that never gets it.
func TestRamp(t *testing.T) {
	is := is.New(t)
	picker := newPicker(siblings(4))
	spread(picker, start, 100, alwaysAnswered)
	picker.Update(start, siblings(5))

	early := spread(picker, start.Add(time.Second), 410, alwaysAnswered)[5]
	is.True(early >= 5 && early <= 15) // a tenth of a full share

	half := spread(picker, start.Add(5*time.Second), 450, alwaysAnswered)[5]
	is.True(half >= 45 && half <= 55)

	full := spread(picker, start.Add(11*time.Second), 500, alwaysAnswered)[5]
	is.True(full >= 95 && full <= 105)
}

// TestEjection guards against a failing backend server that still gets work, and
// against one that returns from its ejection with a full share at once.
func TestEjection(t *testing.T) {
	is := is.New(t)
	picker := newPicker(siblings(4))
	spread(picker, start, 100, failing(1, 1))
	is.Equal(picker.Ejected(start), 1)
	is.Equal(spread(picker, start.Add(4*time.Second), 100, alwaysAnswered)[1], 0)

	ramped := spread(picker, start.Add(5*time.Second), 310, alwaysAnswered)[1]
	is.True(ramped >= 5 && ramped <= 15)
}

// TestEjectionAgain guards against a backend server that keeps failing and must
// fail several times in a row after each ejection before it is ejected again.
func TestEjectionAgain(t *testing.T) {
	is := is.New(t)
	picker := newPicker(siblings(4))
	spread(picker, start, 100, failing(1, 1))

	readmission := start.Add(5 * time.Second)
	is.Equal(spread(picker, readmission, 100, failing(1, 1))[1], 1)
	is.Equal(spread(picker, readmission.Add(9*time.Second), 100, alwaysAnswered)[1], 0) // lasts twice as long
	is.True(spread(picker, readmission.Add(10*time.Second), 100, alwaysAnswered)[1] > 0)
}

// TestEjectionLimit guards against a service without backend servers when all
// of them seem to fail.
func TestEjectionLimit(t *testing.T) {
	for _, count := range []int{1, 2, 3, 7, 300} {
		is := is.New(t)
		picker := newPicker(siblings(count))
		spread(picker, start, 20*count, failing(1, view.Incarnation(count)))
		is.Equal(picker.Ejected(start), count/2)
		is.Equal(len(spread(picker, start, 20*count, alwaysAnswered)), count-count/2)
	}
}

// TestEjectionLimitAfterUpdate guards against a service without backend servers
// when the siblings that were not ejected leave.
func TestEjectionLimitAfterUpdate(t *testing.T) {
	is := is.New(t)
	agents := siblings(2)
	picker := newPicker(agents)
	spread(picker, start, 40, failing(1, 1))
	is.Equal(picker.Ejected(start), 1)

	picker.Update(start, agents[:1])
	is.Equal(picker.Ejected(start), 0)

	_, ok := picker.Pick(start)
	is.True(ok)
}

// TestHung guards against a backend server that never answers and goes on
// receiving requests.
func TestHung(t *testing.T) {
	is := is.New(t)
	picker := newPicker(siblings(4))
	hung := 0

	for range 1000 {
		incarnation, _ := picker.Pick(start)
		if incarnation == 1 {
			hung++
		} else {
			picker.Observe(start, incarnation, placement.Answered)
		}
	}

	is.True(hung > 0 && hung <= 8)
}

// TestRefusal guards against requests to a sibling that has just refused, and
// against placing no request at all when every sibling refuses.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	picker := newPicker(siblings(3))
	picked, _ := picker.Pick(start)
	picker.Observe(start, picked, placement.Refused)
	is.Equal(spread(picker, start, 50, alwaysAnswered)[picked], 0)
	is.True(spread(picker, start.Add(time.Second), 50, alwaysAnswered)[picked] > 0)

	refuse := func(view.Incarnation) placement.Outcome { return placement.Refused }
	is.Equal(len(spread(picker, start, 30, refuse)), 3)
}

// TestRandom guards against wrong counts of requests in flight while hundreds of
// siblings join, leave and fail. The picker asserts its invariants meanwhile.
func TestRandom(t *testing.T) {
	soak.Run(t, 3, func(t *testing.T, seed uint64) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		agents := siblings(300)
		picker := newPicker(agents)

		var inFlight []view.Incarnation

		for i := range 5000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)

			if random.IntN(50) == 0 {
				random.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
				picker.Update(now, agents[:1+random.IntN(len(agents))])
			}

			picked, ok := picker.Pick(now)
			is.True(ok) // never all active siblings are ejected
			inFlight = append(inFlight, picked)

			if random.IntN(3) > 0 {
				ended := random.IntN(len(inFlight))
				picker.Observe(now, inFlight[ended], placement.Outcome(1+random.IntN(4)))
				inFlight[ended] = inFlight[len(inFlight)-1]
				inFlight = inFlight[:len(inFlight)-1]
			}
		}
	})
}
