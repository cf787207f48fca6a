package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
)

// threeZones returns agents 1 to 4, of which 1 and 4 share an availability zone.
func threeZones(states map[view.Incarnation]view.State) []view.Agent {
	agents := activeAgents(1, 4)
	for i := range agents {
		if state, ok := states[agents[i].Incarnation]; ok {
			agents[i].State = state
		}
	}

	return agents
}

// newChangedHistory returns a history in which agent 2 has left in the given state.
func newChangedHistory(state view.State) *claim.History {
	history := newHistory(4)
	history.Observe(start.Add(time.Second), view.Position{Index: 2}, threeZones(map[view.Incarnation]view.State{2: state}))

	return history
}

// newSeal returns the seal of the membership without agent 2.
func newSeal(t *testing.T) claim.Seal {
	t.Helper()

	seal, _, lost := newChangedHistory(view.Suspended).LostHolder()
	is.New(t).True(lost)

	return seal
}

// TestLostHolder guards against memberships that are closed although nothing is
// lost, and against a lost holder that is not noticed.
func TestLostHolder(t *testing.T) {
	for name, c := range map[string]struct {
		state  view.State
		change func(*claim.History)
		want   bool
	}{
		"suspended": {view.Suspended, func(*claim.History) {}, true},
		"draining":  {view.Draining, func(*claim.History) {}, false},
		"moved":     {view.Suspended, func(h *claim.History) { h.Move(2, 4) }, false},
		"closed": {view.Suspended, func(h *claim.History) {
			h.Close(start, claim.Closing{Seal: newSeal(t), Seats: []view.Incarnation{1, 3, 4}})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			history := newChangedHistory(c.state)
			c.change(history)

			_, _, lost := history.LostHolder()
			is.New(t).Equal(lost, c.want)
		})
	}
}

// TestClosedSets guards against a closed membership that is still asked, and
// against a membership that is no longer asked although too many of its holders
// were lost before the closing.
func TestClosedSets(t *testing.T) {
	for name, c := range map[string]struct {
		seats []view.Incarnation
		want  int
	}{
		"not closed":         {nil, 2},
		"one holder lost":    {[]view.Incarnation{1, 3, 4}, 1},
		"two holders lost":   {[]view.Incarnation{1, 4}, 2},
		"the seat has moved": {[]view.Incarnation{1, 2, 3, 4}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			history := newChangedHistory(view.Suspended)
			changed := 0

			if c.seats != nil {
				history.Close(start, claim.Closing{Seal: newSeal(t), Seats: c.seats})
			}

			for i := range 100 {
				sets := history.HolderSets(start.Add(2*time.Second), claim.Key{Service: 1, Token: fmt.Sprint(i)})
				changed = max(changed, len(sets))
			}

			is.Equal(changed, c.want)

			fresh := claim.NewHistory(start, retention, maxUnconfirmed)
			agents := threeZones(map[view.Incarnation]view.State{2: view.Suspended})
			fresh.Observe(start.Add(2*time.Second), view.Position{Index: 3}, agents)
			fresh.Merge(start.Add(2*time.Second), history.Snapshot(start.Add(2*time.Second)))
			is.Equal(fresh.HolderSets(start.Add(2*time.Second), key), history.HolderSets(start.Add(2*time.Second), key))
		})
	}
}

// TestSealedStore guards against a claim under earlier memberships alone, after
// the claims of these memberships have been carried over.
func TestSealedStore(t *testing.T) {
	is := is.New(t)
	h := newHolder(t, 10)
	h.expect(start, claim.Grant, firstExecution, claim.Granted)
	h.Seal(start, newSeal(t))

	h.expect(start, claim.Grant, firstExecution, claim.Granted) // granted before
	h.expect(start, claim.Grant, secondExecution, claim.Held)
	h.expect(start, claim.Release, firstExecution, claim.Released)
	is.Equal(*h.expect(start, claim.Grant, secondExecution, claim.Sealed).Seal, newSeal(t))

	request := claim.Request{
		Verb: claim.Grant, Seat: 9, Key: key, Execution: secondExecution, Sealed: newSeal(t).Position,
	}
	is.Equal(h.Handle(start, request).Status, claim.Granted)

	transfer, err := h.Export(start, 9, 8)
	is.NoErr(err)

	to := claim.NewStore(8, retention, maxUnconfirmed, 10)
	is.NoErr(to.Import(start, transfer))

	other := claim.Key{Service: 1, Token: "other"}
	moved := claim.Request{Verb: claim.Grant, Seat: 9, Key: other, Execution: firstExecution}
	is.Equal(to.Handle(start, moved).Status, claim.Sealed) // the seal moves with the seat
	is.Equal(to.Handle(start.Add(time.Hour), moved).Status, claim.Granted)
}

// TestIncludeSeal guards against a claimant that runs a request without having
// asked the holders in the membership of a seal.
func TestIncludeSeal(t *testing.T) {
	is := is.New(t)
	claimant := claim.Begin(start, key, secondExecution, newHistory(4))
	seal := newSeal(t)
	reply := claim.Reply{Key: key, Execution: secondExecution, Verb: claim.Grant, Status: claim.Sealed, Seal: &seal}

	for _, message := range claimant.Messages(start) {
		reply.Seat = message.Request.Seat
		claimant.Reply(start, reply)
	}

	asked := make(map[view.Incarnation]bool)

	for _, message := range claimant.Messages(start) {
		is.Equal(message.Request.Sealed, seal.Position)

		asked[message.To] = true
	}

	is.True(asked[1] && asked[3] && asked[4])

	for seat := range asked {
		if seat != 2 && seat != 4 {
			claimant.Reply(start, claim.Reply{
				Key: key, Execution: secondExecution, Verb: claim.Grant, Status: claim.Granted, Seat: seat,
			})
		}
	}

	is.Equal(claimant.Decision().Verdict, claim.Run) // two of three holders in both memberships
}

// TestNotRunWithUnknownClosing guards against "not run" by a claimant that knows a
// seal but not its closing, while the request ran with the holders of the new
// membership alone (found by TestFaults, seed 118).
func TestNotRunWithUnknownClosing(t *testing.T) {
	is := is.New(t)
	history := newHistory(4)
	grown := append(threeZones(map[view.Incarnation]view.State{1: view.Suspended, 2: view.Suspended}), view.Agent{
		Incarnation: 5, Zone: "zone-2", State: view.Active,
	})
	history.Observe(start.Add(time.Second), view.Position{Index: 2}, grown)
	seal, _, lost := history.LostHolder()
	is.True(lost)
	is.True(history.AcceptSeal(seal))

	claimant := claim.Begin(start.Add(2*time.Second), key, secondExecution, history)
	for _, seat := range []view.Incarnation{1, 2} {
		claimant.Reply(start.Add(2*time.Second), claim.Reply{
			Key: key, Execution: secondExecution, Verb: claim.Grant, Status: claim.Granted, Seat: seat,
		})
	}

	claimant.Tick(start.Add(2*time.Second + claim.ClaimTimeout))
	is.Equal(claimant.Decision().Verdict, claim.Unknown)
}

// TestAdopt guards against a carried claim that is lost or freed, and against a
// claim of the new membership that a carried one replaces.
func TestAdopt(t *testing.T) {
	answer := claim.NewAnswer([]byte("done"))

	for name, c := range map[string]struct {
		before []claim.Verb // of firstExecution
		record claim.Record
		want   claim.Status
		owner  claim.Execution
		answer claim.Answer
	}{
		"free": {
			nil, claim.Record{Execution: firstExecution, Status: claim.Granted}, claim.Held, firstExecution, claim.Answer{},
		},
		"answer": {
			nil,
			claim.Record{Execution: firstExecution, Status: claim.Completed, Answer: answer},
			claim.Completed, firstExecution, answer,
		},
		"answer to a known grant": {
			[]claim.Verb{claim.Grant},
			claim.Record{Execution: firstExecution, Status: claim.Completed, Answer: answer},
			claim.Completed, firstExecution, answer,
		},
		"known answer": {
			[]claim.Verb{claim.Grant, claim.Complete},
			claim.Record{Execution: firstExecution, Status: claim.Granted},
			claim.Completed, firstExecution, answer,
		},
		"released before": {
			[]claim.Verb{claim.Release},
			claim.Record{Execution: firstExecution, Status: claim.Granted},
			claim.Granted,
			claim.Execution{},
			claim.Answer{},
		},
		"two executions": {
			[]claim.Verb{claim.Grant},
			claim.Record{Execution: claim.Execution{Agent: 3}, Status: claim.Granted},
			claim.Completed,
			claim.Execution{Agent: 3},
			claim.Answer{Unknown: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHolder(t, 10)

			for _, verb := range c.before {
				h.Handle(start, claim.Request{Verb: verb, Seat: 9, Key: key, Execution: firstExecution, Answer: answer})
			}

			c.record.Key = key
			is.NoErr(h.Adopt(start, 9, []claim.Record{c.record}))
			is.Equal(h.Len(), 1)

			reply := h.Handle(start, claim.Request{Verb: claim.Grant, Seat: 9, Key: key, Execution: secondExecution})
			is.Equal(reply.Status, c.want)
			is.Equal(reply.Owner, c.owner)
			is.Equal(reply.Answer, c.answer)
		})
	}

	full := newHolder(t, 1)
	full.expect(start, claim.Grant, firstExecution, claim.Granted)

	other := claim.Record{Key: claim.Key{Service: 1, Token: "other"}, Status: claim.Granted}
	is.New(t).True(full.Adopt(start, 9, []claim.Record{other}) != nil)
}
