// Package raft implements a replicated log as a deterministic state machine: it has
// no goroutine, socket, clock or global random source. It implements Raft (D. Ongaro
// and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014)
// with these parts of Ongaro's dissertation ("Consensus: Bridging Theory and
// Practice", 2014): membership changes of one replica at a time (4.1), learners
// that catch up without a vote (4.2.1), refusal of votes while a leader is active
// (4.2.3), leadership transfer (3.10), chunked snapshots (5), read index (6.4),
// a leader that steps down without a quorum (6.2) and pre-vote (9.6).
//
// A replica is identified by the random ID of its data directory. A replica that
// lost its disk gets a new ID and joins as a learner; the old ID is removed. The
// initial members of a group all start from the same snapshot, see Bootstrap. A
// replica with empty storage waits until a leader sends it a snapshot.
//
// # Usage
//
//	node, err := raft.New(config, log.Stored())
//
// The owner calls Tick, Receive, Propose, ReadIndex, ChangeMembership and
// TransferLeadership, and after every few calls handles what Ready returns:
//
//	for ready, ok := node.Ready(); ok; ready, ok = node.Ready() {
//		if ready.Snapshot != nil {
//			err = log.SaveSnapshot(ready.Snapshot)   // then restore the application from it
//		}
//		err = log.Save(ready.HardState, ready.Entries) // durable before any message is sent
//		send(ready.Messages)
//		apply(ready.Committed)
//		answer(ready.Reads)
//		node.Advance(ready)
//	}
//
// The owner periodically calls Compact with the application's state and saves the
// returned snapshot. If a save fails, the process must stop.
//
// Invariants are asserted inside the state machine with package invariant.
package raft

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/wal"
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota + 1
	PreCandidate
	Candidate
	Leader
)

// String returns the role as it appears in logs and tables.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return fmt.Sprintf("role(%d)", uint8(r))
	}
}

// Config holds the dependencies and limits of a Node. A limit of zero means the
// default given in its comment.
type Config struct {
	Replica    ReplicaID
	Cluster    ClusterID
	Generation uint64
	Random     *rand.Rand // seeded, for election timeouts
	Now        time.Time  // start time

	ElectionTimeout     time.Duration // 500 ms; the actual timeout is random, 1 to 2 times this
	HeartbeatInterval   time.Duration // 100 ms; five per election timeout, so that a lost one starts no election
	MaxProposalBytes    int           // 2 MiB; fits a document of 1 MiB and its signatures
	MaxAppendBytes      int           // 512 KiB of entries in one message; a single larger entry is still sent
	MaxAppendEntries    int           // 512
	MaxInflightAppends  int           // 16 unanswered messages with entries per replica
	MaxUncommittedBytes int           // 8 MiB of entries that are not committed
	MaxLogEntries       uint64        // 100,000 entries since the last snapshot
	MaxApplyEntries     int           // 1,024 committed entries in one Ready
	MaxPendingReads     int           // 4,096 unconfirmed reads
	TrailingEntries     uint64        // 1,000 entries kept before a snapshot, for replicas that lag slightly
	MaxPromotionLag     uint64        // 64 entries that a learner may lag behind when it is promoted
	MaxChunkBytes       int           // 256 KiB of snapshot data in one message
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, 500*time.Millisecond)
	setDefault(&c.HeartbeatInterval, 100*time.Millisecond)
	setDefault(&c.MaxProposalBytes, 2<<20)
	setDefault(&c.MaxAppendBytes, 512<<10)
	setDefault(&c.MaxAppendEntries, 512)
	setDefault(&c.MaxInflightAppends, 16)
	setDefault(&c.MaxUncommittedBytes, 8<<20)
	setDefault(&c.MaxLogEntries, 100_000)
	setDefault(&c.MaxApplyEntries, 1024)
	setDefault(&c.MaxPendingReads, 4096)
	setDefault(&c.TrailingEntries, 1000)
	setDefault(&c.MaxPromotionLag, 64)
	setDefault(&c.MaxChunkBytes, 256<<10)

	// Receivers reject larger messages regardless of the sender's configuration.
	c.MaxAppendEntries = min(c.MaxAppendEntries, MaxMessageEntries)
	c.MaxProposalBytes = min(c.MaxProposalBytes, MaxMessageBytes/2)
	c.MaxAppendBytes = min(c.MaxAppendBytes, MaxMessageBytes/2)
	c.MaxChunkBytes = min(c.MaxChunkBytes, MaxMessageBytes/2)

	return c
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	config      Config
	log         *entryLog
	memberships membershipHistory

	term          uint64
	vote          ReplicaID
	lastHardState HardState // last one returned by Ready
	role          Role
	leader        ReplicaID // presumed leader or 0, for redirects and the leader lease
	termLeader    ReplicaID // leader of the current term once known, even after it stepped down

	now               time.Time
	electionDue       time.Time
	heartbeatDue      time.Time
	lastLeaderContact time.Time

	votes    map[ReplicaID]bool
	progress map[ReplicaID]*progress

	transferTarget   ReplicaID
	transferDeadline time.Time

	round          uint64 // number of the last heartbeat round
	needsHeartbeat bool   // a pending read needs a heartbeat round
	reads          []pendingRead
	readsDone      []Read

	incoming          *incomingSnapshot
	installedSnapshot *Snapshot
	messages          []Message
	readyPending      bool // the last Ready has not been passed to Advance yet
	droppedMessages   uint64
}

// Bootstrap returns the snapshot that every initial member of a group stores
// before its first call of New. The data is the application's initial state.
func Bootstrap(members []Member, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: members, Data: data}
}

// New returns a replica that resumes from its stored state. The error kinds
// are KindInvalid and KindCorrupt.
func New(config Config, stored Stored) (*Node, error) {
	if config.Replica == 0 || config.Random == nil {
		return nil, newError("new", KindInvalid, "the replica ID or the random source is missing")
	}

	log, err := newEntryLog(&stored)
	if err != nil {
		return nil, err
	}

	n := &Node{config: config.withDefaults(), log: log, role: Follower, now: config.Now}
	n.term, n.vote = stored.HardState.Term, stored.HardState.Vote
	n.lastHardState = stored.HardState

	// A crash after entries or a snapshot were saved and before the hard state was
	// leaves a higher term in the log. No message of that term was sent, so no vote
	// was cast in it.
	if n.term < log.lastTerm() {
		n.term, n.vote = log.lastTerm(), 0
	}

	if stored.Snapshot.Index > 0 {
		if err := checkMembers(stored.Snapshot.Members); err != nil {
			return nil, newError("new", KindCorrupt, "snapshot %d: %v", stored.Snapshot.Index, err)
		}

		n.memberships = membershipHistory{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	}

	for _, entry := range log.entries {
		if err := n.recordMembership(entry); err != nil {
			return nil, newError("new", KindCorrupt, "entry %d: %v", entry.Index, err)
		}
	}

	n.resetElectionTimer()

	return n, nil
}

// recordMembership makes a membership effective as soon as its entry is in the log.
func (n *Node) recordMembership(entry Entry) error {
	if entry.Kind != wal.EntryMembership {
		return nil
	}

	members, err := decodeMembers(entry.Data)
	if err != nil {
		return err
	}

	n.memberships = append(n.memberships, membershipVersion{index: entry.Index, members: members})

	if n.role == Leader {
		n.syncProgress()
	}

	return nil
}

// Tick advances the clock and runs timeouts. Times before the last one are ignored.
func (n *Node) Tick(now time.Time) {
	if now.Before(n.now) {
		return
	}

	n.now = now

	if n.role == Leader {
		n.tickLeader()

		return
	}

	if !n.now.Before(n.electionDue) {
		n.campaign(false)
	}
}

// setTerm moves to a term. A higher term clears the vote and the leader of the earlier one.
func (n *Node) setTerm(term uint64) {
	invariant.Assert(term >= n.term, "raft: the term never decreases",
		slog.Uint64("term", term), slog.Uint64("current", n.term))

	if term > n.term {
		n.term, n.vote, n.termLeader = term, 0, 0
	}
}

func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	n.setTerm(term)
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.transferTarget = 0
	n.dropReads()
	n.resetElectionTimer()
}

// followLeader accepts the sender of an Append, Heartbeat or Snapshot message as the
// leader of the current term.
func (n *Node) followLeader(id ReplicaID) {
	invariant.Assert(n.termLeader == 0 || n.termLeader == id, "raft: at most one leader per term",
		slog.Uint64("term", n.term), slog.Any("leader", n.termLeader), slog.Any("other", id))

	if n.role != Follower {
		n.becomeFollower(n.term, id)
	}

	n.leader, n.termLeader = id, id
	n.lastLeaderContact = n.now
	n.resetElectionTimer()
}

// resetElectionTimer restarts the election timer with a new random timeout.
func (n *Node) resetElectionTimer() {
	timeout := n.config.ElectionTimeout
	n.electionDue = n.now.Add(timeout + time.Duration(n.config.Random.Int64N(int64(timeout))))
}

func (n *Node) send(message Message) {
	message.Cluster, message.Generation = n.config.Cluster, n.config.Generation
	message.From = n.config.Replica

	if message.Term == 0 {
		message.Term = n.term
	}

	n.messages = append(n.messages, message)
}
