package claim_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

func activeAgents(from, to int) []view.Agent {
	var agents []view.Agent
	for i := from; i <= to; i++ {
		agents = append(agents, view.Agent{
			Incarnation: view.Incarnation(i), Zone: fmt.Sprintf("zone-%d", i%3), State: view.Active,
		})
	}

	return agents
}

func newHistory(agents int) *claim.History {
	history := claim.NewHistory(start, retention, maxUnconfirmed)
	history.Observe(start, view.Position{Index: 1}, activeAgents(1, agents))
	history.AssumeNoEarlierClaims(start)
	history.Confirm(start)

	return history
}

// newClaimant begins a claim of secondExecution with members 1 to agents.
func newClaimant(t *testing.T, key claim.Key, agents int) *claim.Claimant {
	t.Helper()

	return claim.Begin(start, key, secondExecution, newHistory(agents))
}

// deliverReplies delivers replies to a Grant from the seats 1, 2 and 3 in turn.
// Status 0 stands for no reply.
func deliverReplies(c *claim.Claimant, owner claim.Execution, statuses ...claim.Status) {
	for i, status := range statuses {
		if status != 0 {
			reply := claim.Reply{
				Status: status, Seat: view.Incarnation(i + 1), Key: key,
				Execution: secondExecution, Owner: owner, Verb: claim.Grant,
			}
			c.Reply(start, reply)
			c.Reply(start, reply) // duplicates change nothing
		}
	}
}

// TestVerdicts guards against a definite verdict where the outcome is unknown,
// against NotRun where an execution may have run, and against a run without a
// majority.
func TestVerdicts(t *testing.T) {
	departed := claim.Execution{Agent: 77, Sequence: 1}
	cases := map[string]struct {
		owner   claim.Execution
		replies []claim.Status
		want    claim.Verdict
	}{
		"all grant": {
			firstExecution, []claim.Status{claim.Granted, claim.Granted, claim.Granted}, claim.Run,
		},
		"one holder lost": {firstExecution, []claim.Status{claim.Granted, 0, claim.Granted}, claim.Run},
		"minority held by a departed agent": {
			departed, []claim.Status{claim.Held, claim.Granted, claim.Granted}, claim.Run,
		},
		"two holders lost": {firstExecution, []claim.Status{claim.Granted}, claim.Unknown},
		"running at another agent": {
			firstExecution, []claim.Status{claim.Held, claim.Held, claim.Granted}, claim.InProgress,
		},
		"one holder granted to another": {
			firstExecution, []claim.Status{claim.Granted, claim.Held}, claim.InProgress,
		},
		"majority held by a departed agent": {
			departed, []claim.Status{claim.Held, claim.Held, claim.Granted}, claim.Unknown,
		},
		"no room":                   {firstExecution, []claim.Status{claim.Full, claim.Full, claim.Granted}, claim.NotRun},
		"no room, two holders lost": {firstExecution, []claim.Status{claim.Full}, claim.Unknown},
		"no room, held by a departed agent": {
			departed, []claim.Status{claim.Full, claim.Held, claim.Held}, claim.Unknown,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			claimant := newClaimant(t, key, 3)
			deliverReplies(claimant, c.owner, c.replies...)
			claimant.Tick(start.Add(claim.ClaimTimeout))
			is.Equal(claimant.Decision().Verdict, c.want)

			for _, message := range claimant.Messages(start.Add(claim.ClaimTimeout)) {
				is.Equal(message.Request.Verb, claim.Release) // nothing stays reserved
			}
		})
	}
}

// TestReplay guards against an answer that is lost although one holder has it.
// The claimant must send the answer to the other holders.
func TestReplay(t *testing.T) {
	for _, answer := range []claim.Answer{
		claim.NewAnswer([]byte("done")), claim.NewAnswer(make([]byte, claim.MaxAnswer+1)), {Unknown: true},
	} {
		is := is.New(t)
		claimant := newClaimant(t, key, 3)
		deliverReplies(claimant, claim.Execution{Agent: 77}, claim.Held, claim.Held)
		is.Equal(claimant.Decision().Verdict, claim.Pending) // the third holder may know the answer
		claimant.Reply(start, claim.Reply{
			Status: claim.Completed, Seat: 3, Key: key, Execution: secondExecution, Owner: firstExecution, Answer: answer,
		})

		is.Equal(claimant.Decision().Verdict == claim.Unknown, answer.Unknown)
		is.Equal(claimant.Decision().Answer, answer)

		messages := claimant.Messages(start)
		is.Equal(len(messages), 3)
		is.Equal(messages[0].Request.Verb, claim.Complete)
		is.Equal(messages[0].Request.Execution, firstExecution)
	}
}

// TestForeignReplies guards against a claim that counts replies to another claim: to an
// earlier execution of the same agent, or for another key.
func TestForeignReplies(t *testing.T) {
	is := is.New(t)
	claimant := newClaimant(t, key, 3)

	for seat := view.Incarnation(1); seat <= 3; seat++ {
		for _, reply := range []claim.Reply{
			{Key: key, Execution: firstExecution},
			{Key: claim.Key{Service: 1, Token: "another"}, Execution: secondExecution},
		} {
			reply.Seat, reply.Status, reply.Verb = seat, claim.Granted, claim.Grant
			claimant.Reply(start, reply)
		}
	}

	is.Equal(claimant.Decision().Verdict, claim.Pending)
}

// TestMoved guards against a claimant that continues to send requests to an
// agent whose seat has moved.
func TestMoved(t *testing.T) {
	is := is.New(t)
	claimant := newClaimant(t, key, 3)
	claimant.Messages(start)
	claimant.Reply(start, claim.Reply{Status: claim.Moved, Seat: 1, Key: key, Execution: secondExecution, Successor: 3})

	message := claimant.Messages(start)[0]
	is.Equal(message.Request.Seat, view.Incarnation(1))
	is.Equal(message.To, view.Incarnation(3))
}

// TestHandOver guards against a hand-over after a long pause, whose claim the
// holders may drop too early, and against a second hand-over.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	paused := newClaimant(t, key, 3)
	deliverReplies(paused, firstExecution, claim.Granted, claim.Granted)
	is.Equal(paused.HandOver(start.Add(claim.HandOverLimit+1)), false)
	is.Equal(paused.Decision().Verdict, claim.NotRun)
	is.Equal(paused.Messages(start.Add(claim.HandOverLimit + 1))[0].Request.Verb, claim.Release)

	running := newClaimant(t, key, 3)
	deliverReplies(running, firstExecution, claim.Granted, claim.Granted)
	is.True(running.HandOver(start))
	assertViolation(t, func() { running.HandOver(start) })
	assertViolation(t, func() { running.Abandon(start) })
	assertViolation(t, func() { newClaimant(t, key, 3).HandOver(start) })
	assertViolation(t, func() { newClaimant(t, key, 3).Complete(start, claim.Answer{}) })
}

func assertViolation(t *testing.T, do func()) {
	t.Helper()

	defer func() {
		var violation *invariant.ViolationError

		err, _ := recover().(error)
		is.New(t).True(errors.As(err, &violation))
	}()

	do()
}

// TestHistory guards against claims by an agent that does not know all
// memberships of the window, or knows only old ones.
func TestHistory(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Hour)
	fresh := claim.NewHistory(now, retention, maxUnconfirmed)
	fresh.Observe(now, view.Position{Index: 5}, activeAgents(1, 5))
	fresh.Confirm(now)
	is.Equal(claim.Begin(now, key, secondExecution, fresh).Decision().Reason, claim.ReasonHistory)

	behind := newHistory(4)
	fresh.Merge(now, behind.Snapshot(now))
	is.True(!fresh.Complete(now)) // memberships between the two are unknown

	behind.Observe(now, view.Position{Index: 5}, activeAgents(1, 5))
	fresh.Merge(now, behind.Snapshot(now))
	is.True(fresh.Complete(now))
	is.True(fresh.Complete(now.Add(maxUnconfirmed)))
	is.True(!fresh.Complete(now.Add(maxUnconfirmed + 1))) // isolated for too long
}

// TestOrigin guards against an agent that asks the first agent of the service alone,
// because it has seen it alone before the service had enough agents to claim.
func TestOrigin(t *testing.T) {
	is := is.New(t)
	histories := make([]*claim.History, 2)

	for i := range histories {
		histories[i] = claim.NewHistory(start, retention, maxUnconfirmed)
		histories[i].Observe(start, view.Position{Index: 1}, activeAgents(1, 1))
		histories[i].Observe(start, view.Position{Index: 2}, activeAgents(1, 4))
		histories[i].Confirm(start)
	}

	histories[0].AssumeNoEarlierClaims(start)
	histories[1].Merge(start, histories[0].Snapshot(start))
	is.True(histories[1].Complete(start))
	is.Equal(histories[1].HolderSets(start, key), histories[0].HolderSets(start, key))
}

// TestSets guards against claims that ignore an earlier membership, against
// holders in the same availability zone, and against an uneven spread of keys
// over the agents, with hundreds of agents and thousands of keys.
func TestSets(t *testing.T) {
	const agents, keys = 300, 3000

	is := is.New(t)
	history := newHistory(agents)
	history.Observe(start.Add(time.Second), view.Position{Index: 2}, activeAgents(2, agents+1))

	keysPerSeat := make(map[view.Incarnation]int)
	changed := 0

	for i := range keys {
		sets := history.HolderSets(start.Add(2*time.Second), claim.Key{Service: 1, Token: fmt.Sprint(i)})
		changed += len(sets) - 1

		for _, seat := range sets[0] {
			keysPerSeat[seat]++
		}

		is.Equal(len(sets[0]), claim.Holders)
		is.True(sets[0][0]%3 != sets[0][1]%3 && sets[0][1]%3 != sets[0][2]%3 && sets[0][0]%3 != sets[0][2]%3)
	}

	is.True(changed > 30 && changed < 120) // 2 of 300 agents changed

	for _, count := range keysPerSeat {
		is.True(count > 8 && count < 70) // 30 on average
	}

	is.Equal(len(newHistory(2).HolderSets(start, key)[0]), 2) // fewer agents than holders
}

// TestClaimantDies guards against a second run, and against a key that stays
// blocked, when the claimant fails before or after its hand-over.
func TestClaimantDies(t *testing.T) {
	for granted := 0; granted <= 3; granted++ {
		for _, completed := range []bool{false, true} {
			is := is.New(t)
			stores := make([]*holder, 3)

			for i := range stores {
				stores[i] = &holder{Store: claim.NewStore(view.Incarnation(i+1), retention, maxUnconfirmed, 10), is: is}

				for _, verb := range []claim.Verb{claim.Grant, claim.Complete} {
					if i < granted && (verb == claim.Grant || completed) {
						stores[i].Handle(start, claim.Request{
							Verb: verb, Seat: view.Incarnation(i + 1), Key: key, Execution: claim.Execution{Agent: 77},
						})
					}
				}
			}

			claimant := newClaimant(t, key, 3)
			for _, message := range claimant.Messages(start) {
				claimant.Reply(start, stores[message.To-1].Handle(start, message.Request))
			}

			switch verdict := claimant.Decision().Verdict; {
			case completed && granted > 0:
				is.Equal(verdict, claim.Replay)
			case granted < 2:
				is.Equal(verdict, claim.Run) // it cannot have had a majority
			default:
				is.Equal(verdict, claim.Unknown) // it may have run
			}
		}
	}
}
