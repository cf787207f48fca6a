package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/wal"
)

// testReplica is replica 1 of 3. The test sends the messages of the other two.
type testReplica struct {
	*is.I
	node *raft.Node
	now  time.Time
}

func newTestReplica(t *testing.T, stored raft.Stored) *testReplica {
	members := []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	stored.Snapshot = raft.Bootstrap(members, nil)
	s := &testReplica{I: is.New(t), now: time.Unix(0, 0)}

	var err error

	s.node, err = raft.New(raft.Config{
		Replica: 1, Cluster: cluster, Generation: generation, Random: rand.New(rand.NewPCG(1, 1)), Now: s.now,
		ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 5,
		MaxUncommittedBytes: 1000, MaxLogEntries: 20,
	}, stored)
	s.NoErr(err)

	return s
}

// processReady advances the node until nothing is ready and returns the messages and the
// last hard state.
func (s *testReplica) processReady() (messages []raft.Message, hardState raft.HardState) {
	for ready, ok := s.node.Ready(); ok; ready, ok = s.node.Ready() {
		messages = append(messages, ready.Messages...)

		if ready.HardState != nil {
			hardState = *ready.HardState
		}

		s.node.Advance(ready)
	}

	return messages, hardState
}

// receive delivers a message and returns the replies and the last hard state.
func (s *testReplica) receive(m raft.Message) ([]raft.Message, raft.HardState) {
	m.Cluster, m.Generation, m.To = cluster, generation, 1
	s.NoErr(s.node.Receive(m))

	return s.processReady()
}

func (s *testReplica) tick(duration time.Duration) {
	s.now = s.now.Add(duration)
	s.node.Tick(s.now)
}

// becomeLeader makes the replica leader of the next term, with the votes of replica 2, and
// returns the term. The leader's empty entry is saved but not committed.
func (s *testReplica) becomeLeader() uint64 {
	s.tick(2 * electionTimeout)
	s.processReady()

	term := s.node.Status().Term + 1
	s.receive(raft.Message{Kind: raft.MessagePreVoteReply, From: 2, Term: term})
	s.receive(raft.Message{Kind: raft.MessageVoteReply, From: 2, Term: term})
	s.Equal(s.node.Status().Role, raft.Leader)

	return term
}

func (s *testReplica) acknowledge(from raft.ReplicaID, index uint64) {
	s.receive(raft.Message{
		Kind: raft.MessageAppendReply, From: from, Term: s.node.Status().Term, LogIndex: index,
	})
}

func commandEntry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: wal.EntryCommand, Data: []byte("command")}
}

func voteRequest(from raft.ReplicaID, term, logIndex, logTerm uint64) raft.Message {
	return raft.Message{Kind: raft.MessageVote, From: from, Term: term, LogIndex: logIndex, LogTerm: logTerm}
}

// Guards against a second vote in the same term, also after a restart, and against
// electing a leader that lacks committed entries.
func TestVotes(t *testing.T) {
	stored := raft.Stored{
		HardState: raft.HardState{Term: 3}, Entries: []raft.Entry{commandEntry(2, 2), commandEntry(3, 3)},
	}

	for name, candidate := range map[string]raft.Message{
		"shorter log": voteRequest(2, 4, 2, 3),
		"older term":  voteRequest(2, 4, 9, 2),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestReplica(t, stored)
			answers, _ := s.receive(candidate)
			s.True(answers[0].Reject)

			candidate.Kind = raft.MessagePreVote
			candidate.Term++
			answers, _ = s.receive(candidate)
			s.True(answers[0].Reject)
		})
	}

	t.Run("twice", func(t *testing.T) {
		s := newTestReplica(t, stored)
		answers, hardState := s.receive(voteRequest(2, 4, 3, 3))
		s.True(!answers[0].Reject)
		s.Equal(hardState.Vote, raft.ReplicaID(2)) // saved before the reply is sent
		s.Equal(hardState.Term, uint64(4))

		stored.HardState = hardState
		answers, _ = newTestReplica(t, stored).receive(voteRequest(3, 4, 3, 3))
		s.True(answers[0].Reject)
	})
}

// Guards against a removed or isolated replica that disrupts a healthy leader by
// starting elections.
func TestVotesAreRefusedWhileALeaderIsHeard(t *testing.T) {
	s := newTestReplica(t, raft.Stored{})
	s.receive(raft.Message{Kind: raft.MessageHeartbeat, From: 2, Term: 1, Round: 1})

	answers, _ := s.receive(voteRequest(3, 5, 1, 1))
	s.Equal(len(answers), 0)
	s.Equal(s.node.Status().Term, uint64(1))

	s.tick(electionTimeout)
	answers, _ = s.receive(voteRequest(3, 5, 1, 1))
	s.True(!answers[0].Reject)
}

// Guards against the fault of figure 8 of the paper: an entry of an earlier term that
// is stored on a majority can still be overwritten, so it must not be committed by
// counting replicas. No membership change may start before an entry of the current
// term is committed.
func TestOnlyTheOwnTermCommits(t *testing.T) {
	s := newTestReplica(t, raft.Stored{HardState: raft.HardState{Term: 2}, Entries: []raft.Entry{commandEntry(2, 2)}})
	s.becomeLeader()
	s.acknowledge(2, 2)
	s.Equal(s.node.Status().Commit, uint64(1))

	_, _, err := s.node.ChangeMembership(raft.Change{Kind: raft.ChangeAddLearner, Member: raft.Member{ID: 9}})
	s.Equal(errorKind(err), raft.KindNotReady)

	s.acknowledge(2, 3)
	s.Equal(s.node.Status().Commit, uint64(3))
}

// Guards against a leader that counts its own copy of an entry before it is on disk,
// and against compacting entries that are not on disk yet.
func TestUnsavedEntriesDontCount(t *testing.T) {
	s := newTestReplica(t, raft.Stored{})
	term := s.becomeLeader()
	s.acknowledge(2, 2)

	index, _, err := s.node.Propose([]byte("command"))
	s.NoErr(err)

	ready, ok := s.node.Ready()
	s.True(ok)

	_, secondOK := s.node.Ready()
	s.True(!secondOK) // no second Ready before the first one is saved

	reply := raft.Message{Kind: raft.MessageAppendReply, From: 2, Term: term, LogIndex: index}
	reply.Cluster, reply.Generation, reply.To = cluster, generation, 1
	s.NoErr(s.node.Receive(reply))
	s.Equal(s.node.Status().Commit, index-1)

	s.node.Advance(ready)
	s.Equal(s.node.Status().Commit, index)

	index, _, err = s.node.Propose([]byte("command"))
	s.NoErr(err)

	reply.LogIndex = index
	s.NoErr(s.node.Receive(reply))

	reply.From = 3
	s.NoErr(s.node.Receive(reply))
	s.Equal(s.node.Status().Commit, index) // stored by the other two replicas

	ready, ok = s.node.Ready()
	s.True(ok)

	_, err = s.node.Compact(index, nil)
	s.Equal(errorKind(err), raft.KindInvalid)
	s.node.Advance(ready)

	_, err = s.node.Compact(index, nil)
	s.NoErr(err)
}

// Guards against a membership that stays effective after another leader has
// overwritten its entry.
func TestMembershipIsRolledBack(t *testing.T) {
	s := newTestReplica(t, raft.Stored{})
	other := newTestReplica(t, raft.Stored{})
	other.becomeLeader()
	other.acknowledge(2, 2)

	index, term, err := other.node.ChangeMembership(raft.Change{
		Kind: raft.ChangeAddLearner, Member: raft.Member{ID: 9},
	})
	s.NoErr(err)

	ready, _ := other.node.Ready()
	change := ready.Entries[len(ready.Entries)-1]

	message := raft.Message{
		Kind: raft.MessageAppend, From: 2, Term: term, LogIndex: 1, LogTerm: 1,
		Entries: []raft.Entry{commandEntry(2, term), change},
	}
	s.receive(message)
	s.Equal(len(s.node.Status().Members), 4)

	message.From, message.Term = 3, term+1
	message.LogIndex, message.LogTerm = 2, term
	message.Entries = []raft.Entry{commandEntry(index, term+1)}
	s.receive(message)
	s.Equal(len(s.node.Status().Members), 3)
}

// Guards against a change that leaves no responsive quorum, and against a leader
// that continues to lead after its own removal is committed.
func TestRemoval(t *testing.T) {
	s := newTestReplica(t, raft.Stored{})
	s.becomeLeader()
	s.acknowledge(2, 2)

	s.tick(electionTimeout * 3 / 4)
	s.acknowledge(2, 2)
	s.tick(electionTimeout * 3 / 4) // replica 3 is unresponsive

	remove := func(id raft.ReplicaID) error {
		_, _, err := s.node.ChangeMembership(raft.Change{Kind: raft.ChangeRemove, Member: raft.Member{ID: id}})

		return err
	}

	s.Equal(errorKind(remove(2)), raft.KindQuorum)

	s.acknowledge(3, 2)
	s.NoErr(remove(1))
	s.processReady()
	s.acknowledge(2, 3)
	s.Equal(s.node.Status().Role, raft.Leader) // the leader's own copy doesn't count
	s.acknowledge(3, 3)
	s.Equal(s.node.Status().Role, raft.Follower)

	s.tick(10 * electionTimeout)
	s.Equal(s.node.Status().Role, raft.Follower)
}

// Guards against a leader that never learns of a replica with a higher term, and so
// can't replicate to it.
func TestStaleLeaderLearnsHigherTerm(t *testing.T) {
	s := newTestReplica(t, raft.Stored{HardState: raft.HardState{Term: 5}})
	answers, _ := s.receive(raft.Message{Kind: raft.MessageHeartbeat, From: 2, Term: 4})
	s.Equal(len(answers), 1)
	s.Equal(answers[0].Term, uint64(5))
}

// Guards against unlimited growth of memory and log while no entry is committed or
// the application takes no snapshot.
func TestBounds(t *testing.T) {
	s := newTestReplica(t, raft.Stored{})
	s.becomeLeader()

	propose := func(size int) raft.Kind {
		_, _, err := s.node.Propose(make([]byte, size))

		return errorKind(err)
	}

	s.Equal(propose(3<<20), raft.KindTooLarge)
	s.Equal(propose(900), raft.Kind(""))
	s.Equal(propose(900), raft.KindBusy)
	s.processReady()

	for s.acknowledge(2, 3); s.node.Status().Last < 21; s.acknowledge(2, s.node.Status().Last) {
		s.Equal(propose(900), raft.Kind(""))
		s.processReady()
	}

	s.Equal(propose(1), raft.KindBusy)

	_, err := s.node.Compact(20, make([]byte, wal.MaxSnapshotBytes))
	s.Equal(errorKind(err), raft.KindTooLarge)

	_, err = s.node.Compact(20, nil)
	s.NoErr(err)
	s.Equal(propose(1), raft.Kind(""))
}
