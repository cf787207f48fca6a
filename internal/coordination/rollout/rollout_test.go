package rollout_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
)

const environment = "production"

var address = netip.MustParseAddrPort("127.0.0.1:7001")

// newView returns a view with agents whose weights depend on the index, so
// that views at different positions have different digests.
func newView(index uint64, agents int) *view.View {
	contents := view.Contents{Environment: environment, Position: view.Position{Generation: 1, Index: index}}

	for i := range agents {
		contents.Agents = append(contents.Agents, view.Agent{
			Incarnation: view.Incarnation(i + 1), Service: 1, Zone: "kokura", Data: address, Peer: address,
			Weight: uint8(1 + (index*7+uint64(i))%100), State: view.Active,
		})
	}

	return view.New(contents)
}

// change returns the view with another weight of one agent.
func change(current *view.View, index uint64) *view.View {
	agents := append([]view.Agent(nil), current.Agents()...)
	agents[index%uint64(len(agents))].Weight = uint8(index%100) + 1

	return view.New(view.Contents{
		Environment: environment, Position: view.Position{Generation: 1, Index: index}, Agents: agents,
	})
}

// path is a simulated subscription: updates in flight from publisher to
// follower, which can be lost, reordered, delayed or cut.
type path struct {
	publisher *rollout.Publisher
	follower  *rollout.Follower
	sink      rollout.Sink
	cursor    *rollout.Cursor
	flight    [][]byte
	highest   view.Position
	cutUntil  time.Time
}

func (p *path) subscribe() {
	p.cursor, p.flight = rollout.NewCursor(p.follower.Watch()), nil
}

// step moves updates into and out of the flight, with faults if random is not nil.
func (p *path) step(t *testing.T, now time.Time, random *rand.Rand) {
	t.Helper()

	if now.Before(p.cutUntil) {
		return
	}

	if p.cursor == nil {
		p.subscribe()
	}

	snapshot, _ := p.publisher.Snapshot()
	p.flight = append(p.flight, p.cursor.Next(now, snapshot)...)

	if random != nil {
		p.disturb(now, random)
	}

	for len(p.flight) > 0 && (random == nil || random.IntN(3) > 0) {
		update, err := control.Decode[control.Update](p.flight[0])
		is.New(t).NoErr(err)

		p.flight = p.flight[1:]
		p.handle(t, now, update)
	}
}

func (p *path) handle(t *testing.T, now time.Time, update control.Update) {
	t.Helper()

	changed, err := p.follower.Handle(now, update)
	if err != nil {
		p.subscribe()

		return
	}

	if !changed {
		return
	}

	if p.follower.View().Position().Less(p.highest) {
		t.Fatalf("position fell from %s to %s", p.highest, p.follower.View().Position())
	}

	p.highest = p.follower.View().Position()

	if p.sink != nil {
		p.sink.Apply(now, p.follower.View())
	}
}

func (p *path) disturb(now time.Time, random *rand.Rand) {
	if len(p.flight) == 0 {
		return
	}

	i, j := random.IntN(len(p.flight)), random.IntN(len(p.flight))

	switch random.IntN(12) {
	case 0:
		p.flight = append(p.flight[:i], p.flight[i+1:]...)
	case 1:
		p.flight[i], p.flight[j] = p.flight[j], p.flight[i]
	case 2:
		p.flight = append(p.flight, p.flight[i])
	case 3:
		p.subscribe()
		p.cutUntil = now.Add(time.Duration(random.IntN(20)) * time.Second)
	}
}

// Guards against subscribers that stay behind after a fault, or go back to an
// older view, behind relays that lose, reorder, repeat and delay updates.
func TestConverge(t *testing.T) {
	soak.Run(t, 20, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		root := rollout.New(environment)
		now := time.Unix(1_000_000, 0)

		var (
			paths  []*path
			relays []*rollout.Publisher
		)

		for range 2 {
			relay := rollout.New(environment)
			relays = append(relays, relay)
			paths = append(paths, &path{publisher: root, follower: rollout.NewFollower(environment, nil), sink: relay})
		}

		for range 4 {
			paths = append(paths, &path{follower: rollout.NewFollower(environment, nil)})
		}

		index, newest := uint64(1), newView(1, 1+random.IntN(60))
		root.Apply(now, newest)

		run := func(steps int, faults *rand.Rand) {
			for range steps {
				now = now.Add(100 * time.Millisecond)
				root.Tick(now)

				for i, path := range paths {
					if i >= len(relays) && (path.publisher == nil || faults != nil && faults.IntN(50) == 0) {
						path.publisher, path.cursor = relays[random.IntN(len(relays))], nil
					}

					path.step(t, now, faults)
				}

				for _, relay := range relays {
					relay.Tick(now)
				}

				if faults != nil && faults.IntN(3) == 0 {
					index += 1 + faults.Uint64N(3)
					newest = change(newest, index)
					root.Apply(now, newest)
				}
			}
		}

		run(300, random)
		run(300, nil)

		for i, path := range paths {
			if path.follower.View() == nil || path.follower.View().Digest() != newest.Digest() ||
				path.follower.View().Position() != newest.Position() {
				t.Fatalf("subscriber %d did not converge", i)
			}
		}
	})
}

// Guards against a publication per change during a burst, which would exceed
// the control budget of a node, and against a burst that delays the last change.
func TestCoalesce(t *testing.T) {
	is := is.New(t)
	publisher := rollout.New(environment)
	now := time.Unix(1_000_000, 0)
	newest := newView(1, 100)
	publisher.Apply(now, newest)

	first, _ := publisher.Snapshot()
	cursor := rollout.NewCursor(control.Watch{})
	cursor.Next(now, first)

	for index := uint64(2); index < 50; index++ {
		now = now.Add(rollout.CoalesceInterval / 100)
		newest = change(newest, index)
		publisher.Apply(now, newest)
	}

	snapshot, _ := publisher.Snapshot()
	is.Equal(len(cursor.Next(now, snapshot)), 1) // the first heartbeat only

	publisher.Tick(now.Add(rollout.CoalesceInterval))
	snapshot, _ = publisher.Snapshot()
	is.Equal(snapshot.View().Position(), newest.Position())
	is.Equal(len(cursor.Next(now, snapshot)), 1)
	is.Equal(cursor.Deltas(), uint64(1))
	is.Equal(cursor.FullViews(), uint64(1))
}

// Guards against a slow subscriber that makes the publisher queue without
// bound: after more changes than the ring holds it gets one full view.
func TestSlowSubscriber(t *testing.T) {
	is := is.New(t)
	publisher := rollout.New(environment)
	now := time.Unix(1_000_000, 0)
	newest := newView(1, 200)
	publisher.Apply(now, newest)

	follower := rollout.NewFollower(environment, nil)
	subscriber := &path{publisher: publisher, follower: follower}
	subscriber.step(t, now, nil)
	is.Equal(follower.View().Digest(), newest.Digest())

	for index := uint64(2); index < 400; index++ {
		now = now.Add(rollout.CoalesceInterval)
		newest = change(newest, index)
		publisher.Apply(now, newest)
	}

	subscriber.step(t, now, nil)
	is.Equal(follower.View().Digest(), newest.Digest())
	is.Equal(subscriber.cursor.FullViews(), uint64(2))
	is.Equal(subscriber.cursor.Deltas(), uint64(0))
}

// Guards against a view that differs from the publisher's without anybody
// noticing, for example after a fault in an earlier release.
func TestRepair(t *testing.T) {
	is := is.New(t)
	publisher := rollout.New(environment)
	now := time.Unix(1_000_000, 0)
	publisher.Apply(now, newView(5, 10))
	publisher.Confirm(now)

	follower := rollout.NewFollower(environment, newView(5, 9))
	subscriber := &path{publisher: publisher, follower: follower}
	subscriber.step(t, now, nil)
	is.Equal(len(follower.View().Agents()), 10)

	// A wrong view behind an upstream that does not check the request.
	follower = rollout.NewFollower(environment, newView(5, 9))
	snapshot, _ := publisher.Snapshot()
	cursor := rollout.NewCursor(control.Watch{Position: newView(5, 10).Position(), Digest: newView(5, 10).Digest()})
	update, err := control.Decode[control.Update](cursor.Next(now, snapshot)[0])
	is.NoErr(err)
	_, err = follower.Handle(now, update)
	is.True(err != nil)
	is.Equal(follower.Watch().Position, view.Position{})
	is.True(!follower.Confirmed(now)) // the confirmation is of another view
}

// Guards against a stale relay that sends its whole view to every subscriber
// that is ahead of it.
func TestStaleRelay(t *testing.T) {
	is := is.New(t)
	publisher := rollout.New(environment)
	now := time.Unix(1_000_000, 0)
	publisher.Apply(now, newView(5, 10))

	follower := rollout.NewFollower(environment, newView(6, 10))
	subscriber := &path{publisher: publisher, follower: follower}
	subscriber.step(t, now, nil)
	is.Equal(follower.View().Position().Index, uint64(6))
	is.Equal(subscriber.cursor.FullViews(), uint64(0))
}

// Guards against a relay that passes off an old confirmation as a new one: the
// age adds up over two relays.
func TestConfirmationAges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	upstream := rollout.New(environment)
	upstream.Apply(now, newView(1, 1))
	upstream.Confirm(now)

	var follower *rollout.Follower

	for hop := range 3 {
		now = now.Add(2 * time.Second)
		follower = rollout.NewFollower(environment, nil)
		relay := rollout.New(environment)
		subscriber := &path{publisher: upstream, follower: follower, sink: relay}
		subscriber.step(t, now, nil)
		subscriber.step(t, now, nil)
		is.Equal(follower.Confirmed(now), hop < 2)
		relay.Confirm(follower.ConfirmedAt())

		upstream = relay
	}
}
