// Package raft is the replicated log as a deterministic state machine: it has no
// goroutine, socket, clock or global random source. It implements Raft (D. Ongaro
// and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014)
// with these parts of Ongaro's dissertation ("Consensus: Bridging Theory and
// Practice", 2014): membership changes of one replica at a time (4.1), learners
// that catch up without a vote (4.2.1), refusal of votes while a leader is heard
// (4.2.3), leadership transfer (3.10), chunked snapshots (5), read index (6.4),
// a leader that steps down without a quorum (6.2) and pre-vote (9.6).
//
// A replica is identified by the random ID of its data directory. A replica that
// lost its disk has a new ID and joins as a learner; the old ID is removed. The
// first members of a group all start from the same snapshot, see Bootstrap. A
// replica with nothing stored waits until a leader sends it a snapshot.
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
//		err = log.Save(ready.HardState, ready.Entries) // durable before any message leaves
//		send(ready.Messages)
//		apply(ready.Committed)
//		answer(ready.Reads)
//		node.Advance(ready)
//	}
//
// From time to time the owner calls Compact with the application's state and
// saves the returned snapshot. A failed save is final: the process must stop.
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

// Role is the part that a replica plays in its term.
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

// Config holds the dependencies and bounds of a Node. Zero bounds get the
// defaults named beside them.
type Config struct {
	Replica    ReplicaID
	Cluster    ClusterID
	Generation uint64
	Random     *rand.Rand // seeded, for election timeouts
	Now        time.Time  // time of the start

	ElectionTimeout   time.Duration // 500 ms; each wait is 1 to 2 times as long
	HeartbeatInterval time.Duration // 100 ms; five fit into an election timeout, so one may be lost
	MaxProposalBytes  int           // 2 MiB: a document of 1 MiB and its signatures
	MaxAppendBytes    int           // 512 KiB of entries in one message, or a single entry
	MaxAppendEntries  int           // 512
	MaxInflight       int           // 16 unanswered messages with entries per replica
	MaxUncommitted    int           // 8 MiB of entries that are not committed
	MaxLogEntries     uint64        // 100,000 entries since the last snapshot
	MaxApplyEntries   int           // 1,024 committed entries in one Ready
	MaxReads          int           // 4,096 unconfirmed reads
	KeepEntries       uint64        // 1,000 entries before a snapshot, for replicas that are a little behind
	PromoteLag        uint64        // 64 entries a learner may lag when it is promoted
	ChunkBytes        int           // 256 KiB of snapshot data in one message
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, 500*time.Millisecond)
	setDefault(&c.HeartbeatInterval, 100*time.Millisecond)
	setDefault(&c.MaxProposalBytes, 2<<20)
	setDefault(&c.MaxAppendBytes, 512<<10)
	setDefault(&c.MaxAppendEntries, 512)
	setDefault(&c.MaxInflight, 16)
	setDefault(&c.MaxUncommitted, 8<<20)
	setDefault(&c.MaxLogEntries, 100_000)
	setDefault(&c.MaxApplyEntries, 1024)
	setDefault(&c.MaxReads, 4096)
	setDefault(&c.KeepEntries, 1000)
	setDefault(&c.PromoteLag, 64)
	setDefault(&c.ChunkBytes, 256<<10)

	// Receivers refuse more, whatever the sender is configured to.
	c.MaxAppendEntries = min(c.MaxAppendEntries, MaxMessageEntries)
	c.MaxProposalBytes = min(c.MaxProposalBytes, MaxMessageBytes/2)
	c.MaxAppendBytes = min(c.MaxAppendBytes, MaxMessageBytes/2)
	c.ChunkBytes = min(c.ChunkBytes, MaxMessageBytes/2)

	return c
}

// Node is one replica. It is used by one goroutine at a time.
type Node struct {
	config  Config
	log     *entryLog
	members membership

	term       uint64
	vote       ReplicaID
	saved      HardState // as handed out by the last Ready
	role       Role
	leader     ReplicaID // believed to lead, for hints and the lease
	termLeader ReplicaID // first leader seen in this term

	now          time.Time
	electionDue  time.Time
	heartbeatDue time.Time
	leaderSeen   time.Time

	votes    map[ReplicaID]bool
	progress map[ReplicaID]*progress

	transfer    ReplicaID
	transferDue time.Time

	round     uint64 // of the last heartbeat sent
	roundDue  bool   // a read waits for a heartbeat
	reads     []pendingRead
	readsDone []Read

	incoming *incomingSnapshot
	install  *Snapshot
	messages []Message
	pending  bool // a Ready was not advanced yet
	dropped  uint64
}

// Bootstrap returns the snapshot that every first member of a group stores
// before its first New. The data is the application's initial state.
func Bootstrap(members []Member, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: members, Data: data}
}

// New returns a replica that continues from its stored state. The error kinds
// are KindInvalid and KindStored.
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
	n.saved = stored.HardState

	// A crash between saving entries or a snapshot and saving the hard state
	// leaves a higher term in the log. Nothing was sent in that term.
	if n.term < log.lastTerm() {
		n.term, n.vote = log.lastTerm(), 0
	}

	if stored.Snapshot.Index > 0 {
		if err := checkMembers(stored.Snapshot.Members); err != nil {
			return nil, newError("new", KindStored, "snapshot %d: %v", stored.Snapshot.Index, err)
		}

		n.members = membership{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	}

	for _, entry := range log.entries {
		if err := n.noteMembership(entry); err != nil {
			return nil, newError("new", KindStored, "entry %d: %v", entry.Index, err)
		}
	}

	n.resetElection()

	return n, nil
}

// noteMembership puts a membership in force when its entry enters the log.
func (n *Node) noteMembership(entry Entry) error {
	if entry.Kind != wal.EntryMembership {
		return nil
	}

	members, err := decodeMembers(entry.Data)
	if err != nil {
		return err
	}

	n.members = append(n.members, version{index: entry.Index, members: members})

	if n.role == Leader {
		n.syncProgress()
	}

	return nil
}

// Tick tells the time. Times before the last one are ignored.
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

// setTerm enters a term. The vote of an earlier term is void.
func (n *Node) setTerm(term uint64) {
	invariant.Assert(term >= n.term, "raft: the term never falls",
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
	n.transfer = 0
	n.dropReads()
	n.resetElection()
}

// followLeader accepts the sender of an Append, Heartbeat or Snapshot message.
func (n *Node) followLeader(id ReplicaID) {
	invariant.Assert(n.termLeader == 0 || n.termLeader == id, "raft: one leader a term",
		slog.Uint64("term", n.term), slog.Any("leader", n.termLeader), slog.Any("other", id))

	if n.role != Follower {
		n.becomeFollower(n.term, id)
	}

	n.leader, n.termLeader = id, id
	n.leaderSeen = n.now
	n.resetElection()
}

// resetElection draws the next election timeout.
func (n *Node) resetElection() {
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
