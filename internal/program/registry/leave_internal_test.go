package registry

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/wal"
)

// TestLeaving guards against a voter that has announced its stop and still counts towards
// the majority after it is gone, and against the removal of one that is needed or has
// started again.
func TestLeaving(t *testing.T) {
	const leaver = wal.ReplicaID(6)

	start := time.Unix(1_700_000_000, 0)

	// newGroup returns a leader of so many voters, of which the last one has announced its stop.
	newGroup := func(voters int) (*owner, raft.Status) {
		o := newOwner(&Registry{settings: Settings{MaxLostDisks: 2}})
		o.membership.leavingAt[leaver] = start

		status := raft.Status{Replica: 1}
		for number := range voters {
			id := leaver - wal.ReplicaID(number)
			status.Members = append(status.Members, raft.MemberStatus{Member: raft.Member{ID: id}, Responsive: true, Match: 9})
		}

		return o, status
	}

	t.Run("is removed while it still answers", func(t *testing.T) {
		o, status := newGroup(6)
		change, ok := o.nextChange(start, status)
		is.New(t).True(ok)
		is.New(t).Equal(change, raft.Change{Kind: raft.ChangeRemove, Member: status.Members[0].Member})
	})

	t.Run("stays until there are enough others", func(t *testing.T) {
		o, status := newGroup(5)
		_, ok := o.nextChange(start, status)
		is.New(t).True(!ok)

		status.Members[0].Responsive = false
		status.Members = append(status.Members, raft.MemberStatus{Member: raft.Member{ID: 7}, Responsive: true})
		o.membership.updateSilent(start, status.Members)

		change, ok := o.nextChange(start.Add(time.Second), status)
		is.New(t).True(ok)
		is.New(t).Equal(change.Member.ID, leaver)
	})

	t.Run("stays if it has started again", func(t *testing.T) {
		o, status := newGroup(6)

		for _, responsive := range []bool{false, true} {
			status.Members[0].Responsive = responsive
			o.membership.updateSilent(start.Add(time.Second), status.Members)
		}

		_, ok := o.nextChange(start.Add(time.Second), status)
		is.New(t).True(!ok)
	})

	t.Run("stays if it still answers long after", func(t *testing.T) {
		o, status := newGroup(6)
		_, ok := o.nextChange(start.Add(replaceDelay+time.Millisecond), status)
		is.New(t).True(!ok)
	})

	t.Run("is not promoted", func(t *testing.T) {
		o, status := newGroup(6)
		status.Members[0].Learner = true

		change, ok := o.nextChange(start, status)
		is.New(t).True(ok)
		is.New(t).Equal(change.Kind, raft.ChangeRemove)
	})
}

// newLeaving returns the owner of replica 1 of six, which is leaving the group, and the
// channel that it closes when it has left.
func newLeaving(t *testing.T, start time.Time) (*owner, chan struct{}) {
	t.Helper()

	var members []raft.Member
	for id := range wal.ReplicaID(6) {
		members = append(members, raft.Member{ID: id + 1})
	}

	node, err := raft.New(raft.Config{
		Replica: 1, Cluster: 1, Generation: 1, Random: rand.New(rand.NewPCG(1, 1)), Now: start,
	}, raft.Stored{Snapshot: raft.Bootstrap(members, nil)})
	is.New(t).NoErr(err)

	o := newOwner(&Registry{logger: slog.New(slog.DiscardHandler), settings: Settings{
		MaxLostDisks: 2, Seeds: func() []flow.Endpoint { return nil },
	}})
	o.published.Store(&publishedState{})
	o.node, o.leaveDone = node, make(chan struct{})

	return o, o.leaveDone
}

// exchange completes the storage work of the replica and passes it the answers of the others
// to its messages of a kind.
func exchange(t *testing.T, node *raft.Node, kind, answer raft.MessageKind) {
	t.Helper()

	var received []raft.Message

	for ready, ok := node.Ready(); ok; ready, ok = node.Ready() {
		received = append(received, ready.Messages...)
		node.Advance(ready)
	}

	for _, message := range received {
		if message.Kind == kind {
			is.New(t).NoErr(node.Receive(raft.Message{
				Kind: answer, From: message.To, To: message.From, Term: message.Term, Cluster: message.Cluster,
				Generation: message.Generation, LogIndex: message.LogIndex, Round: message.Round,
			}))
		}
	}
}

// TestElectedWhileLeaving guards against a controller that is elected while it leaves, and
// exits as a voter: with two lost disks no leader can be elected any more.
func TestElectedWhileLeaving(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	o, left := newLeaving(t, start)

	// Replica 2 stops as well and has said so.
	body, err := wire.Encode(wire.KindLeave, wire.Leave{Replica: 2})
	is.NoErr(err)
	is.NoErr(o.handleLeave(start.Add(900*time.Millisecond), netip.AddrPort{}, body[1:]))

	now := start.Add(time.Second)
	o.node.Tick(now)
	exchange(t, o.node, raft.MessagePreVote, raft.MessagePreVoteReply)
	exchange(t, o.node, raft.MessageVote, raft.MessageVoteReply)
	is.Equal(o.node.Status().Role, raft.Leader)
	o.manageMembership(now)
	exchange(t, o.node, raft.MessageAppend, raft.MessageAppendReply)

	o.requestLeave(now)

	select {
	case <-left:
		t.Fatal("left the group while it leads")
	default:
	}

	is.True(o.node.Status().TransferTarget > 2)
}

// TestLeavesByAnswer guards against a controller that leaves without an answer because it
// does not know all voters yet.
func TestLeavesByAnswer(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	o, left := newLeaving(t, start)
	o.settings.MaxLostDisks = 3 // by its own view the group cannot spare it
	o.requestLeave(start)

	select {
	case <-left:
		t.Fatal("left the group without an answer")
	default:
	}

	o.receive(start, netip.AddrPort{}, wire.KindLeaveReply, nil)
	<-left
}
