package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/view"
)

// Guards against an announcement that adds two members, is accepted without the
// service key, or replaces a newer incarnation when it arrives late.
func TestAnnounce(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	l.mustAccept(Trial, newDocument(2, "one"))

	first := l.mustApply(announceCommand("s0", 1, 1))
	is.Equal(first.Incarnation, view.Incarnation(1))
	is.Equal(l.mustApply(announceCommand("s0", 1, 1)), first) // resend
	l.mustRefuse(KindReused, announceCommand("s0", 2, 1))

	forged := announceCommand("s0", 3, 3)
	forged.Announce.Service = "s1"
	l.mustRefuse(KindSignature, forged)

	second := l.mustApply(announceCommand("s0", 1, 2))
	is.Equal(second.Removed, []view.Incarnation{1})
	l.mustRefuse(KindSuperseded, announceCommand("s0", 1, 1)) // late duplicate of the replaced process

	l.mustApply(Command{Expire: &Expire{Environment: Trial, Incarnations: []view.Incarnation{1, 2}}})
	assertState(t, l.state, 2, view.Suspended)
	third := l.mustApply(announceCommand("s0", 1, 2)) // an expired process comes back under its incarnation
	is.Equal(third.Incarnation, view.Incarnation(2))
	is.Equal(len(assertView(t, l.state, Trial).Agents()), 1)
	assertState(t, l.state, 2, view.Active)
}

// Guards against flows that break because an agent lost only its control link,
// and against dead agents that stay in views forever.
func TestSuspension(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	l.mustAccept(Trial, newDocument(1, "one"))
	l.mustApply(announceCommand("s0", 1, 1))
	l.mustApply(announceCommand("s0", 2, 2))

	expire := func(incarnation view.Incarnation) Result {
		return l.mustApply(Command{Expire: &Expire{Environment: Trial, Incarnations: []view.Incarnation{incarnation}}})
	}

	is.Equal(expire(1).Removed, []view.Incarnation{1})
	is.Equal(len(expire(1).Removed), 0) // a resend changes nothing
	assertState(t, l.state, 1, view.Suspended)

	l.now = l.now.Add(suspensionTTL - time.Second)
	expire(2)
	assertState(t, l.state, 1, view.Suspended)

	l.now = l.now.Add(time.Second)
	expire(2)
	is.Equal(len(assertView(t, l.state, Trial).Agents()), 1) // the first is removed
	l.mustRefuse(KindSuperseded, announceCommand("s0", 1, 1))
}

func assertState(t *testing.T, state *Catalog, incarnation view.Incarnation, want view.State) {
	t.Helper()

	agent, ok := assertView(t, state, Trial).Agent(incarnation)
	is.New(t).True(ok)                 // the incarnation is in the view
	is.New(t).Equal(agent.State, want) // state in the view
}

// Guards against a crash loop that gets a full share of new flows.
func TestFlapping(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	l.mustAccept(Trial, newDocument(1, "one"))

	weights := func(step time.Duration, boot uint64) []uint8 {
		var all []uint8
		for i := range uint64(3) {
			all = append(all, l.mustApply(announceCommand("s0", 1, boot+i)).Weight)
			l.now = l.now.Add(step)
		}

		return all
	}

	is.Equal(weights(10*time.Second, 10), []uint8{100, 100, 1})
	l.now = l.now.Add(time.Minute)
	is.Equal(weights(16*time.Second, 20), []uint8{100, 100, 100})
}

// Guards against a draining agent that gets new flows again, and against a
// repeated leave that fails.
func TestLeave(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	l.mustAccept(Trial, newDocument(1, "one"))
	added := l.mustApply(announceCommand("s0", 1, 1)).Incarnation
	leave := func(phase Phase) Command {
		return Command{Leave: &Leave{Environment: Trial, Incarnation: added, Phase: phase}}
	}
	weight := func(weight uint8) Command {
		return Command{SetWeight: &SetWeight{Environment: Trial, Incarnation: added, Weight: weight}}
	}

	l.mustRefuse(KindInvalid, weight(101))
	is.Equal(l.mustApply(weight(40)).Weight, uint8(40))
	l.mustApply(leave(PhaseDraining))
	l.mustApply(leave(PhaseDraining))
	l.mustRefuse(KindDraining, weight(100))

	agent, _ := assertView(t, l.state, Trial).Agent(added)
	is.Equal(agent.State, view.Draining)
	is.Equal(agent.Weight, uint8(0))

	l.mustApply(leave(PhaseRemoved))
	l.mustApply(leave(PhaseRemoved))
	l.mustRefuse(KindUnknownMember, leave(PhaseDraining))
	l.mustRefuse(KindSuperseded, announceCommand("s0", 1, 1))
	is.Equal(len(assertView(t, l.state, Trial).Agents()), 0)
}

// Guards against a resend that rotates twice, which would drop a key that
// receivers still need.
func TestRotateKey(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	rotate := func(rotation uint64, secret byte) Command {
		return Command{RotateKey: &RotateKey{Environment: Trial, Rotation: rotation, Secret: [32]byte{secret}}}
	}

	for i := range uint8(10) {
		is.Equal(l.mustApply(rotate(uint64(i), i+1)).KeyID, i%keyIDCount)
		l.mustApply(rotate(uint64(i), i+1)) // resend
	}

	l.mustRefuse(KindInvalid, rotate(10, 0))
	l.mustRefuse(KindReused, rotate(10, 9))
	is.Equal(l.apply(rotate(3, 77)).Kind, KindConflict)

	fabricKeys := assertView(t, l.state, Trial).Keys()
	is.Equal(len(fabricKeys), maxKeys)

	for i, key := range fabricKeys {
		is.Equal(key.Secret[0], byte(10-i)) // newest first, without a gap
	}
}

// Guards against a holder of one service's key who removes agents of another
// service by announcing their addresses.
func TestAddressOfAnotherService(t *testing.T) {
	l := newCommandLog(t)
	l.mustAccept(Trial, newDocument(2, "one"))
	l.mustApply(announceCommand("s0", 1, 1))
	l.mustRefuse(KindInUse, announceCommand("s1", 1, 2))

	l.mustApply(Command{Expire: &Expire{Environment: Trial, Incarnations: []view.Incarnation{1}}})
	is.New(t).Equal(l.mustApply(announceCommand("s1", 1, 2)).Removed, []view.Incarnation{1}) // the address is free
}
