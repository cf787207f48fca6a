package steering_test

import (
	"testing"
	"time"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

// searchUnconfirmed searches for a flow that no known agent holds, some time after the list
// of agents was confirmed.
func searchUnconfirmed(t *testing.T, key flow.Key) *fixture {
	t.Helper()

	f := newFixture(t, 1)
	f.now = f.now.Add(300 * time.Millisecond)
	f.askedAgents(key, f.router.Packet(f.now, requestHeader(key, 1), []byte("one")))
	f.checkOne(f.answer(address(1), flow.Absent), steering.Poll)

	return f
}

// TestNewAgent guards against the reset of a flow that another entry instance has opened at
// an agent which this one does not know yet, because its controller has stopped.
func TestNewAgent(t *testing.T) {
	key := client(1)
	added := agents(2, roster.Ready)[1]

	t.Run("in the confirmed list", func(t *testing.T) {
		f := searchUnconfirmed(t, key)
		f.router.Apply(f.now, agents(2, roster.Ready), true)

		asked := f.askedAgents(key, f.router.Confirm(f.now, f.now))
		f.is.Equal(asked, []flow.Endpoint{added.Address})

		found := f.checkOne(f.answer(added.Address, flow.Held), steering.Forward)
		f.is.Equal(found.To, added.Address)
		f.is.Equal(string(found.Packet), "one")
	})

	t.Run("does not hold the flow", func(t *testing.T) {
		f := searchUnconfirmed(t, key)
		f.router.Apply(f.now, []roster.Record{added}, false)
		f.askedAgents(key, f.router.Confirm(f.now, f.now))
		f.checkOne(f.answer(added.Address, flow.Absent), steering.Reset)
	})

	t.Run("none in the confirmed list", func(t *testing.T) {
		f := searchUnconfirmed(t, key)
		f.is.Equal(f.checkOne(f.router.Confirm(f.now, f.now), steering.Reset).Reason, steering.ReasonNotHeld)
	})

	t.Run("list of before the search", func(t *testing.T) {
		f := searchUnconfirmed(t, key)
		f.is.Equal(len(f.router.Confirm(f.now, start.Add(299*time.Millisecond))), 0)
		f.checkOne(f.router.Confirm(f.now, f.now), steering.Reset)
	})

	t.Run("never confirmed", func(t *testing.T) {
		f := searchUnconfirmed(t, key)
		began := f.now
		polls := 0

		for {
			due, waiting := f.router.Due()
			f.is.True(waiting)
			f.now = due

			action := f.checkOne(f.router.Tick(due), steering.Poll)
			if polls++; polls > 8 {
				f.now = began.Add(time.Second)
				action = f.checkOne(f.router.Tick(f.now), steering.GiveUp)
				f.is.Equal(action.Reason, steering.ReasonOutdated)

				return
			}
		}
	})
}

// TestNewRoute guards against the reset of a flow that another entry instance has opened on a
// route which this one does not know yet.
func TestNewRoute(t *testing.T) {
	key := client(1)
	key.Service.Port++

	newSearch := func(t *testing.T) *fixture {
		t.Helper()

		f := newFixture(t, 1)
		f.now = f.now.Add(300 * time.Millisecond)
		f.checkOne(f.router.Packet(f.now, requestHeader(key, 1), []byte("one")), steering.Poll)
		f.is.Equal(len(f.router.Packet(f.now, requestHeader(key, 2), []byte("two"))), 0)

		return f
	}

	t.Run("in the confirmed document", func(t *testing.T) {
		f := newSearch(t)
		added := toService("desk")
		added.Name, added.Address = "b", key.Service.AddrPort()
		f.router.SetTable(table(t, 2, toService("desk"), added))

		f.is.Equal(f.askedAgents(key, f.router.Confirm(f.now, f.now)), []flow.Endpoint{address(1)})
		f.is.Equal(len(f.answer(address(1), flow.Held)), 2)
	})

	t.Run("not in the confirmed document", func(t *testing.T) {
		f := newSearch(t)
		reset := f.checkOne(f.router.Confirm(f.now, f.now), steering.Reset)
		f.is.Equal(reset.Reason, steering.ReasonNoRoute)
		f.is.Equal(reset.Sequence, uint32(2))
	})

	t.Run("never confirmed", func(t *testing.T) {
		f := newSearch(t)
		f.now = f.now.Add(time.Second)
		f.is.Equal(f.checkOne(f.router.Tick(f.now), steering.GiveUp).Reason, steering.ReasonOutdated)

		_, waiting := f.router.Due()
		f.is.True(!waiting)
	})
}
