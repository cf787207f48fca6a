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

// changeWeight returns a view at the index in which one agent has another weight.
func changeWeight(current *view.View, index uint64) *view.View {
	agents := append([]view.Agent(nil), current.Agents()...)
	agents[index%uint64(len(agents))].Weight = uint8(index%100) + 1

	return view.New(view.Contents{
		Environment: environment, Position: view.Position{Generation: 1, Index: index}, Agents: agents,
	})
}

// subscription simulates a subscription over a network. Updates in flight from
// the publisher to the follower can be lost, reordered, repeated or delayed, and
// the connection can break.
type subscription struct {
	publisher         *rollout.Publisher
	follower          *rollout.Follower
	sink              rollout.Sink
	cursor            *rollout.Cursor
	inFlight          [][]byte
	highestPosition   view.Position
	disconnectedUntil time.Time
}

func (s *subscription) subscribe() {
	s.cursor, s.inFlight = rollout.NewCursor(s.follower.Watch()), nil
}

// step sends and delivers updates, with injected faults if random is not nil.
func (s *subscription) step(t *testing.T, now time.Time, random *rand.Rand) {
	t.Helper()

	if now.Before(s.disconnectedUntil) {
		return
	}

	if s.cursor == nil {
		s.subscribe()
	}

	snapshot, _ := s.publisher.Snapshot()
	s.inFlight = append(s.inFlight, s.cursor.Next(now, snapshot)...)

	if random != nil {
		s.injectFault(now, random)
	}

	for len(s.inFlight) > 0 && (random == nil || random.IntN(3) > 0) {
		update, err := control.Decode[control.Update](s.inFlight[0])
		is.New(t).NoErr(err)

		s.inFlight = s.inFlight[1:]
		s.handle(t, now, update)
	}
}

func (s *subscription) handle(t *testing.T, now time.Time, update control.Update) {
	t.Helper()

	changed, err := s.follower.Handle(now, update)
	if err != nil {
		s.subscribe()

		return
	}

	if !changed {
		return
	}

	if s.follower.View().Position().Less(s.highestPosition) {
		t.Fatalf("position fell from %s to %s", s.highestPosition, s.follower.View().Position())
	}

	s.highestPosition = s.follower.View().Position()

	if s.sink != nil {
		s.sink.Apply(now, s.follower.View())
	}
}

func (s *subscription) injectFault(now time.Time, random *rand.Rand) {
	if len(s.inFlight) == 0 {
		return
	}

	i, j := random.IntN(len(s.inFlight)), random.IntN(len(s.inFlight))

	switch random.IntN(12) {
	case 0:
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	case 1:
		s.inFlight[i], s.inFlight[j] = s.inFlight[j], s.inFlight[i]
	case 2:
		s.inFlight = append(s.inFlight, s.inFlight[i])
	case 3:
		s.subscribe()
		s.disconnectedUntil = now.Add(time.Duration(random.IntN(20)) * time.Second)
	}
}

// TestConverge guards against subscribers that stay behind after a fault or go
// back to an older view, when relays and subscribers lose, reorder, repeat and
// delay updates.
func TestConverge(t *testing.T) {
	soak.Run(t, 20, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		root := rollout.New(environment)
		now := time.Unix(1_000_000, 0)

		var (
			subscribers []*subscription
			relays      []*rollout.Publisher
		)

		for range 2 {
			relay := rollout.New(environment)
			relays = append(relays, relay)
			subscribers = append(subscribers, &subscription{
				publisher: root, follower: rollout.NewFollower(environment, nil), sink: relay,
			})
		}

		for range 4 {
			subscribers = append(subscribers, &subscription{follower: rollout.NewFollower(environment, nil)})
		}

		index, newest := uint64(1), newView(1, 1+random.IntN(60))
		root.Apply(now, newest)

		simulate := func(steps int, faults *rand.Rand) {
			for range steps {
				now = now.Add(100 * time.Millisecond)
				root.Tick(now)

				for i, subscriber := range subscribers {
					if i >= len(relays) && (subscriber.publisher == nil || faults != nil && faults.IntN(50) == 0) {
						subscriber.publisher, subscriber.cursor = relays[random.IntN(len(relays))], nil
					}

					subscriber.step(t, now, faults)
				}

				for _, relay := range relays {
					relay.Tick(now)
				}

				if faults != nil && faults.IntN(3) == 0 {
					index += 1 + faults.Uint64N(3)
					newest = changeWeight(newest, index)
					root.Apply(now, newest)
				}
			}
		}

		simulate(300, random)
		simulate(300, nil)

		for i, subscriber := range subscribers {
			if subscriber.follower.View() == nil || subscriber.follower.View().Digest() != newest.Digest() ||
				subscriber.follower.View().Position() != newest.Position() {
				t.Fatalf("subscriber %d did not converge", i)
			}
		}
	})
}

// TestCoalesce guards against one publication per change during a burst, which
// would exceed the control traffic budget of a node, and against a burst that
// delays the last change.
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
		newest = changeWeight(newest, index)
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

// TestSlowSubscriber guards against unbounded memory for a slow subscriber: after
// more changes than the ring holds it gets one full view.
func TestSlowSubscriber(t *testing.T) {
	is := is.New(t)
	publisher := rollout.New(environment)
	now := time.Unix(1_000_000, 0)
	newest := newView(1, 200)
	publisher.Apply(now, newest)

	follower := rollout.NewFollower(environment, nil)
	subscriber := &subscription{publisher: publisher, follower: follower}
	subscriber.step(t, now, nil)
	is.Equal(follower.View().Digest(), newest.Digest())

	for index := uint64(2); index < 400; index++ {
		now = now.Add(rollout.CoalesceInterval)
		newest = changeWeight(newest, index)
		publisher.Apply(now, newest)
	}

	subscriber.step(t, now, nil)
	is.Equal(follower.View().Digest(), newest.Digest())
	is.Equal(subscriber.cursor.FullViews(), uint64(2))
	is.Equal(subscriber.cursor.Deltas(), uint64(0))
}

// TestRepair guards against a view that has the publisher's position but other
// contents, for example because of an error in an earlier release.
func TestRepair(t *testing.T) {
	is := is.New(t)
	publisher := rollout.New(environment)
	now := time.Unix(1_000_000, 0)
	publisher.Apply(now, newView(5, 10))
	publisher.Confirm(now)

	follower := rollout.NewFollower(environment, newView(5, 9))
	subscriber := &subscription{publisher: publisher, follower: follower}
	subscriber.step(t, now, nil)
	is.Equal(len(follower.View().Agents()), 10)

	// The follower must detect a wrong view even if the upstream does not compare
	// the digest in the request.
	follower = rollout.NewFollower(environment, newView(5, 9))
	snapshot, _ := publisher.Snapshot()
	cursor := rollout.NewCursor(control.Watch{Position: newView(5, 10).Position(), Digest: newView(5, 10).Digest()})
	update, err := control.Decode[control.Update](cursor.Next(now, snapshot)[0])
	is.NoErr(err)
	_, err = follower.Handle(now, update)
	is.True(err != nil)
	is.Equal(follower.Watch().Position, view.Position{})
	is.True(!follower.Confirmed(now)) // the confirmation applies to another view
}

// TestStaleRelay guards against a stale relay that sends a full view to every
// subscriber that is ahead of it.
func TestStaleRelay(t *testing.T) {
	is := is.New(t)
	publisher := rollout.New(environment)
	now := time.Unix(1_000_000, 0)
	publisher.Apply(now, newView(5, 10))

	follower := rollout.NewFollower(environment, newView(6, 10))
	subscriber := &subscription{publisher: publisher, follower: follower}
	subscriber.step(t, now, nil)
	is.Equal(follower.View().Position().Index, uint64(6))
	is.Equal(subscriber.cursor.FullViews(), uint64(0))
}

// TestConfirmationAges guards against a relay that reports an old confirmation
// as a new one. The age must add up over two relays.
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
		subscriber := &subscription{publisher: upstream, follower: follower, sink: relay}
		subscriber.step(t, now, nil)
		subscriber.step(t, now, nil)
		is.Equal(follower.Confirmed(now), hop < 2)
		relay.Confirm(follower.ConfirmedAt())

		upstream = relay
	}
}
