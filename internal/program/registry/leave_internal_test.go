package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/raft"
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
