package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
)

var start = time.Unix(1000, 0)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

// policy has an urgent class, a bulk class with a minimum share, and a feed.
func policy() admission.Policy {
	return admission.Policy{
		Classes: []view.Class{
			{Name: "bulk", Urgency: 3, Deadline: 30 * time.Second, MinSharePercent: 20},
			{Name: "urgent", Urgency: 0, Deadline: time.Second},
			{Name: "feed", Urgency: 0, Deadline: time.Second, Feed: true},
		},
		Slots: 3, Connections: 2, QueueLength: 4,
	}
}

// bench drives a scheduler and checks every decision.
type bench struct {
	is        *is.I
	scheduler *admission.Scheduler
	nextID    uint64
}

func newBench(t *testing.T) *bench {
	t.Helper()

	return &bench{is: is.New(t), scheduler: admission.New(policy())}
}

// offer presents a request and returns its ID.
func (b *bench) offer(now time.Time, class string, want admission.Action, reason admission.Reason) uint64 {
	b.is.Helper()
	b.nextID++

	got := b.scheduler.Offer(now, admission.Request{ID: b.nextID, Class: class})
	b.is.Equal(got, admission.Decision{ID: b.nextID, Action: want, Reason: reason})

	return b.nextID
}

func (b *bench) run(now time.Time, class string) uint64 {
	b.is.Helper()

	return b.offer(now, class, admission.Run, admission.ReasonNone)
}

func (b *bench) wait(now time.Time, class string) uint64 {
	b.is.Helper()

	return b.offer(now, class, admission.Wait, admission.ReasonNone)
}

func (b *bench) refuse(now time.Time, class string, reason admission.Reason) {
	b.is.Helper()
	b.offer(now, class, admission.Refuse, reason)
}

// next expects the decisions for the IDs, all with the same action and reason.
func (b *bench) next(now time.Time, action admission.Action, reason admission.Reason, ids ...uint64) {
	b.is.Helper()
	b.expect(b.scheduler.Next(now), action, reason, ids...)
}

func (b *bench) expect(
	got []admission.Decision, action admission.Action, reason admission.Reason, ids ...uint64,
) {
	b.is.Helper()
	b.is.Equal(len(got), len(ids))

	for i, id := range ids {
		b.is.Equal(got[i], admission.Decision{ID: id, Action: action, Reason: reason})
	}
}

func (b *bench) finish(now time.Time, id uint64) {
	b.is.Helper()
	b.is.True(b.scheduler.Finish(now, id, admission.Completed))
}

// TestReserve guards against long requests of a bulk class that take every slot.
func TestReserve(t *testing.T) {
	b := newBench(t)
	first := b.run(at(0), "bulk")
	b.run(at(0), "bulk")
	waiting := b.wait(at(0), "bulk")

	b.run(at(1), "urgent")
	urgent := b.wait(at(1), "urgent")
	b.finish(at(2), first)
	b.next(at(2), admission.Run, admission.ReasonNone, urgent) // urgent work before older bulk work
	b.finish(at(3), urgent)
	b.next(at(3), admission.Run, admission.ReasonNone, waiting)
}

// TestMinimumShare guards against a flood of urgent requests that denies another
// class its minimum share.
func TestMinimumShare(t *testing.T) {
	b := newBench(t)
	running := []uint64{b.run(at(0), "urgent"), b.run(at(0), "urgent"), b.run(at(0), "urgent")}
	b.wait(at(0), "urgent")
	bulk := b.wait(at(0), "bulk")

	b.finish(at(100), running[0])
	b.next(at(100), admission.Run, admission.ReasonNone, bulk)
}

// TestDeadline guards against running requests that cannot meet their deadline,
// and against refusing a request that already runs.
func TestDeadline(t *testing.T) {
	b := newBench(t)

	for range 3 {
		b.finish(at(400), b.run(at(0), "urgent"))
	}

	running := b.run(at(400), "urgent")
	b.run(at(400), "urgent")
	b.run(at(400), "urgent")
	waiting := b.wait(at(400), "urgent")

	b.wait(at(400), "urgent")
	b.wait(at(400), "urgent")
	b.refuse(at(400), "urgent", admission.ReasonDeadline)

	wake, ok := b.scheduler.NextWakeup()
	b.is.True(ok)
	b.is.True(wake.Before(at(1400))) // early enough to run before the deadline

	expired := b.scheduler.Next(wake)
	b.is.Equal(len(expired), 3)
	b.is.Equal(expired[0], admission.Decision{ID: waiting, Action: admission.Refuse, Reason: admission.ReasonDeadline})

	b.is.Equal(len(b.scheduler.Next(at(60_000))), 0) // running requests are never refused
	b.finish(at(60_000), running)
}

// TestEstimate guards against too high an estimate that refuses every request,
// and against queueing requests that cannot meet their deadline.
func TestEstimate(t *testing.T) {
	b := newBench(t)

	for range 20 {
		b.finish(at(20_000), b.run(at(0), "urgent"))
	}

	b.run(at(20_000), "urgent") // a free slot is always used
	b.run(at(20_000), "urgent")
	b.run(at(20_000), "urgent")
	b.refuse(at(20_000), "urgent", admission.ReasonDeadline)
}

// TestLimits guards against unbounded queues, too many feeds, repeated IDs and
// classes that do not exist.
func TestLimits(t *testing.T) {
	b := newBench(t)
	feed := b.run(at(0), "feed")
	b.run(at(0), "feed")
	b.refuse(at(0), "feed", admission.ReasonConnections)
	b.finish(at(1), feed)
	b.run(at(1), "feed")
	b.refuse(at(1), "none", admission.ReasonClass)

	for range 2 {
		b.run(at(1), "bulk")
	}

	for range 4 {
		b.wait(at(1), "bulk")
	}

	b.refuse(at(1), "bulk", admission.ReasonQueue)
	b.run(at(1), "urgent") // a full queue does not affect another class

	duplicate := b.scheduler.Offer(at(1), admission.Request{ID: b.nextID, Class: "urgent"})
	b.is.Equal(duplicate.Reason, admission.ReasonDuplicate)
	b.is.Equal(b.scheduler.Finish(at(2), 9999, admission.Completed), false)
}

// TestCancel guards against a slot that is freed while its request still runs.
func TestCancel(t *testing.T) {
	b := newBench(t)
	ids := []uint64{b.run(at(0), "urgent"), b.run(at(0), "urgent"), b.run(at(0), "urgent")}
	waiting := b.wait(at(0), "urgent")

	b.is.Equal(b.scheduler.Cancel(at(1), ids[0]).Action, admission.Abort)
	b.next(at(1), admission.Run, admission.ReasonNone)
	b.is.Equal(b.scheduler.Cancel(at(1), waiting).Action, admission.Refuse)
	b.is.Equal(b.scheduler.Cancel(at(1), waiting).Action, admission.Ignore)
	b.finish(at(2), ids[0])
	b.run(at(2), "urgent")
}

// TestDrain guards against new work after a drain, and against a drain that ends
// running requests.
func TestDrain(t *testing.T) {
	b := newBench(t)
	ids := []uint64{b.run(at(0), "bulk"), b.run(at(0), "bulk")}
	waiting := b.wait(at(0), "bulk")

	b.expect(b.scheduler.Drain(at(1)), admission.Refuse, admission.ReasonDraining, waiting)
	b.refuse(at(1), "urgent", admission.ReasonDraining)
	b.is.Equal(b.scheduler.Running(), 2)
	b.finish(at(5000), ids[0])
	b.finish(at(5000), ids[1])
}

// TestReconfigure guards against lost waiting requests, and against too many
// running requests, when a new policy changes classes and slots.
func TestReconfigure(t *testing.T) {
	b := newBench(t)
	running := []uint64{b.run(at(0), "bulk"), b.run(at(0), "bulk"), b.run(at(0), "urgent")}
	refused := b.wait(at(0), "bulk")
	kept := b.wait(at(0), "urgent")

	changed := policy()
	changed.Classes = changed.Classes[1:]
	changed.Slots = 1
	b.expect(b.scheduler.Reconfigure(at(1), changed), admission.Refuse, admission.ReasonClass, refused)

	b.finish(at(2), running[0])
	b.finish(at(2), running[1])
	b.next(at(2), admission.Run, admission.ReasonNone)
	b.finish(at(2), running[2])
	b.next(at(2), admission.Run, admission.ReasonNone, kept)
}

// TestRandom guards against leaked slots, unbounded queues and contradictory
// decisions, with many classes and random events. The scheduler asserts its own
// invariants meanwhile.
func TestRandom(t *testing.T) {
	soak.Run(t, 20, func(t *testing.T, seed uint64) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		config := admission.Policy{Slots: 1 + random.IntN(200), Connections: 5, QueueLength: 1 + random.IntN(100)}

		for i := range 10 {
			config.Classes = append(config.Classes, view.Class{
				Name: fmt.Sprint(i), Urgency: uint8(random.IntN(10)), Feed: i == 9, MinSharePercent: uint8(random.IntN(11)),
				Deadline: time.Duration(1+random.IntN(5000)) * time.Millisecond,
			})
		}

		s := admission.New(config)
		states := make(map[uint64]admission.Action)
		apply := func(decisions ...admission.Decision) {
			for _, d := range decisions {
				is.True(states[d.ID] == 0 || states[d.ID] == admission.Wait) // no request is decided twice
				states[d.ID] = d.Action
			}
		}

		now := start
		for id := uint64(1); id <= 5000; id++ {
			now = now.Add(time.Duration(random.IntN(3_000_000)))
			apply(s.Offer(now, admission.Request{ID: id, Class: fmt.Sprint(random.IntN(10))}))
			apply(s.Next(now)...)

			if other := 1 + random.Uint64N(id); states[other] == admission.Run && s.Finish(now, other, admission.Completed) {
				states[other] = admission.Abort
			} else if states[other] == admission.Wait {
				apply(s.Cancel(now, other))
			}

			is.True(s.Running() <= config.Slots && s.Feeds() <= 5 && s.Waiting() <= 9*config.QueueLength)
		}

		apply(s.Drain(now)...)

		for id, state := range states {
			is.True(state != admission.Wait)
			is.Equal(s.Finish(now, id, admission.Abandoned), state == admission.Run)
		}

		is.Equal(s.Running()+s.Feeds()+s.Waiting(), 0)
	})
}
