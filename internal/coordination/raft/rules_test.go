package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/wal"
)

// scripted is replica 1 of 3 whose peers are played by the test.
type scripted struct {
	*is.I
	node *raft.Node
	now  time.Time
}

func newScripted(t *testing.T, stored raft.Stored) *scripted {
	members := []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	stored.Snapshot = raft.Bootstrap(members, nil)
	s := &scripted{I: is.New(t), now: time.Unix(0, 0)}

	var err error

	s.node, err = raft.New(raft.Config{
		Replica: 1, Cluster: cluster, Generation: generation, Random: rand.New(rand.NewPCG(1, 1)), Now: s.now,
		ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 5, MaxUncommitted: 1000, MaxLogEntries: 20,
	}, stored)
	s.NoErr(err)

	return s
}

// drain does what is ready and returns the messages and the last hard state.
func (s *scripted) drain() (messages []raft.Message, hardState raft.HardState) {
	for ready, ok := s.node.Ready(); ok; ready, ok = s.node.Ready() {
		messages = append(messages, ready.Messages...)

		if ready.HardState != nil {
			hardState = *ready.HardState
		}

		s.node.Advance(ready)
	}

	return messages, hardState
}

// receive delivers a message of a peer and returns the answers.
func (s *scripted) receive(m raft.Message) ([]raft.Message, raft.HardState) {
	m.Cluster, m.Generation, m.To = cluster, generation, 1
	s.NoErr(s.node.Receive(m))

	return s.drain()
}

func (s *scripted) tick(duration time.Duration) {
	s.now = s.now.Add(duration)
	s.node.Tick(s.now)
}

// lead makes the replica leader of the next term, with replica 2's votes. Its own
// entry is saved but not committed.
func (s *scripted) lead() uint64 {
	s.tick(2 * electionTimeout)
	s.drain()

	term := s.node.Status().Term + 1
	s.receive(raft.Message{Kind: raft.MessagePreVoteReply, From: 2, Term: term})
	s.receive(raft.Message{Kind: raft.MessageVoteReply, From: 2, Term: term})
	s.Equal(s.node.Status().Role, raft.Leader)

	return term
}

func (s *scripted) acknowledge(from raft.ReplicaID, index uint64) {
	s.receive(raft.Message{
		Kind: raft.MessageAppendReply, From: from, Term: s.node.Status().Term, LogIndex: index,
	})
}

func command(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: wal.EntryCommand, Data: []byte("command")}
}

func voteOf(from raft.ReplicaID, term, logIndex, logTerm uint64) raft.Message {
	return raft.Message{Kind: raft.MessageVote, From: from, Term: term, LogIndex: logIndex, LogTerm: logTerm}
}

// Guards against a second vote in a term, also after a restart, and against a
// leader that lacks committed entries.
func TestVotes(t *testing.T) {
	stored := raft.Stored{HardState: raft.HardState{Term: 3}, Entries: []raft.Entry{command(2, 2), command(3, 3)}}

	for name, candidate := range map[string]raft.Message{
		"shorter log": voteOf(2, 4, 2, 3),
		"older term":  voteOf(2, 4, 9, 2),
	} {
		t.Run(name, func(t *testing.T) {
			s := newScripted(t, stored)
			answers, _ := s.receive(candidate)
			s.True(answers[0].Reject)

			candidate.Kind = raft.MessagePreVote
			candidate.Term++
			answers, _ = s.receive(candidate)
			s.True(answers[0].Reject)
		})
	}

	t.Run("twice", func(t *testing.T) {
		s := newScripted(t, stored)
		answers, hardState := s.receive(voteOf(2, 4, 3, 3))
		s.True(!answers[0].Reject)
		s.Equal(hardState.Vote, raft.ReplicaID(2)) // saved before the answer leaves
		s.Equal(hardState.Term, uint64(4))

		stored.HardState = hardState
		answers, _ = newScripted(t, stored).receive(voteOf(3, 4, 3, 3))
		s.True(answers[0].Reject)
	})
}

// Guards against a removed or isolated replica that disrupts a healthy leader.
func TestVotesAreRefusedWhileALeaderIsHeard(t *testing.T) {
	s := newScripted(t, raft.Stored{})
	s.receive(raft.Message{Kind: raft.MessageHeartbeat, From: 2, Term: 1, Round: 1})

	answers, _ := s.receive(voteOf(3, 5, 1, 1))
	s.Equal(len(answers), 0)
	s.Equal(s.node.Status().Term, uint64(1))

	s.tick(electionTimeout)
	answers, _ = s.receive(voteOf(3, 5, 1, 1))
	s.True(!answers[0].Reject)
}

// Guards against figure 8 of the paper: an entry of an earlier term that a
// majority holds can still be overwritten. No membership change may start then.
func TestOnlyTheOwnTermCommits(t *testing.T) {
	s := newScripted(t, raft.Stored{HardState: raft.HardState{Term: 2}, Entries: []raft.Entry{command(2, 2)}})
	s.lead()
	s.acknowledge(2, 2)
	s.Equal(s.node.Status().Commit, uint64(1))

	_, _, err := s.node.ChangeMembership(raft.Change{Kind: raft.ChangeAddLearner, Member: raft.Member{ID: 9}})
	s.Equal(errorKind(err), raft.KindNotReady)

	s.acknowledge(2, 3)
	s.Equal(s.node.Status().Commit, uint64(3))
}

// Guards against a leader that counts its own copy before it is on disk, and
// against compaction of entries that are not on disk yet.
func TestOwnEntriesCountOnceSaved(t *testing.T) {
	s := newScripted(t, raft.Stored{})
	term := s.lead()
	s.acknowledge(2, 2)

	index, _, err := s.node.Propose([]byte("command"))
	s.NoErr(err)

	ready, ok := s.node.Ready()
	s.True(ok)

	_, again := s.node.Ready()
	s.True(!again) // nothing leaves before the first Ready is saved

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
	s.Equal(s.node.Status().Commit, index) // held by the two others

	ready, ok = s.node.Ready()
	s.True(ok)

	_, err = s.node.Compact(index, nil)
	s.Equal(errorKind(err), raft.KindInvalid)
	s.node.Advance(ready)

	_, err = s.node.Compact(index, nil)
	s.NoErr(err)
}

// Guards against a membership that stays in force although its entry was
// overwritten by another leader.
func TestMembershipIsRolledBack(t *testing.T) {
	s := newScripted(t, raft.Stored{})
	other := newScripted(t, raft.Stored{})
	other.lead()
	other.acknowledge(2, 2)

	index, term, err := other.node.ChangeMembership(raft.Change{
		Kind: raft.ChangeAddLearner, Member: raft.Member{ID: 9},
	})
	s.NoErr(err)

	ready, _ := other.node.Ready()
	change := ready.Entries[len(ready.Entries)-1]

	message := raft.Message{
		Kind: raft.MessageAppend, From: 2, Term: term, LogIndex: 1, LogTerm: 1,
		Entries: []raft.Entry{command(2, term), change},
	}
	s.receive(message)
	s.Equal(len(s.node.Status().Members), 4)

	message.From, message.Term = 3, term+1
	message.LogIndex, message.LogTerm = 2, term
	message.Entries = []raft.Entry{command(index, term+1)}
	s.receive(message)
	s.Equal(len(s.node.Status().Members), 3)
}

// Guards against a change that leaves no responsive quorum, and against a leader
// that goes on after its own removal is committed.
func TestRemoval(t *testing.T) {
	s := newScripted(t, raft.Stored{})
	s.lead()
	s.acknowledge(2, 2)

	s.tick(electionTimeout * 3 / 4)
	s.acknowledge(2, 2)
	s.tick(electionTimeout * 3 / 4) // replica 3 is silent

	remove := func(id raft.ReplicaID) error {
		_, _, err := s.node.ChangeMembership(raft.Change{Kind: raft.ChangeRemove, Member: raft.Member{ID: id}})

		return err
	}

	s.Equal(errorKind(remove(2)), raft.KindQuorum)

	s.acknowledge(3, 2)
	s.NoErr(remove(1))
	s.drain()
	s.acknowledge(2, 3)
	s.Equal(s.node.Status().Role, raft.Leader) // the leader's own copy doesn't count
	s.acknowledge(3, 3)
	s.Equal(s.node.Status().Role, raft.Follower)

	s.tick(10 * electionTimeout)
	s.Equal(s.node.Status().Role, raft.Follower)
}

// Guards against a group that can't reach a replica with a higher term.
func TestStaleLeaderIsTold(t *testing.T) {
	s := newScripted(t, raft.Stored{HardState: raft.HardState{Term: 5}})
	answers, _ := s.receive(raft.Message{Kind: raft.MessageHeartbeat, From: 2, Term: 4})
	s.Equal(len(answers), 1)
	s.Equal(answers[0].Term, uint64(5))
}

// Guards against memory and log that grow without bound while nothing is
// committed or the application takes no snapshot.
func TestBounds(t *testing.T) {
	s := newScripted(t, raft.Stored{})
	s.lead()

	propose := func(size int) raft.Kind {
		_, _, err := s.node.Propose(make([]byte, size))

		return errorKind(err)
	}

	s.Equal(propose(3<<20), raft.KindTooLarge)
	s.Equal(propose(900), raft.Kind(""))
	s.Equal(propose(900), raft.KindBusy)
	s.drain()

	for s.acknowledge(2, 3); s.node.Status().Last < 21; s.acknowledge(2, s.node.Status().Last) {
		s.Equal(propose(900), raft.Kind(""))
		s.drain()
	}

	s.Equal(propose(1), raft.KindBusy)

	_, err := s.node.Compact(20, make([]byte, wal.MaxSnapshotBytes))
	s.Equal(errorKind(err), raft.KindTooLarge)

	_, err = s.node.Compact(20, nil)
	s.NoErr(err)
	s.Equal(propose(1), raft.Kind(""))
}
