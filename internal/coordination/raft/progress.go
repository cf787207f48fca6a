package raft

import (
	"slices"
	"time"
)

// progress is what a leader knows about another replica.
type progress struct {
	match     uint64 // the replica's disk holds the log up to here
	next      uint64 // first entry to send
	streaming bool   // send ahead; otherwise one message at a time until a match is found
	paused    bool   // a probe or chunk is unanswered
	inflight  []uint64
	commit    uint64 // highest commit index sent with entries that match
	lastHeard time.Time
	round     uint64    // highest heartbeat round answered
	beat      time.Time // last check for lost messages
	beatMatch uint64    // match at that time

	snapshot *Snapshot // being sent
	offset   uint64
}

// acknowledge notes that the replica holds the log up to index.
func (p *progress) acknowledge(index uint64) {
	p.paused = false

	if index < p.match {
		return
	}

	p.match = index
	p.next = max(p.next, index+1)
	p.streaming = true
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= index })

	if p.snapshot != nil && index >= p.snapshot.Index {
		p.snapshot, p.offset = nil, 0
		p.next = index + 1
	}
}

// probe goes back to an entry and sends one message at a time.
func (p *progress) probe(next uint64) {
	p.next = max(next, p.match+1)
	p.streaming = false
	p.paused = false
	p.inflight = nil
}

// syncProgress adds and removes the progress of members.
func (n *Node) syncProgress() {
	members := n.members.current()

	for id := range n.progress {
		if _, ok := find(members, id); !ok {
			delete(n.progress, id)
		}
	}

	for _, member := range members {
		if member.ID != n.config.Replica && n.progress[member.ID] == nil {
			n.progress[member.ID] = &progress{next: n.log.last() + 1, lastHeard: n.now}
		}
	}
}

// responsive reports whether a replica was heard within an election timeout.
func (n *Node) responsive(id ReplicaID) bool {
	if id == n.config.Replica {
		return true
	}

	p := n.progress[id]

	return p != nil && n.now.Before(p.lastHeard.Add(n.config.ElectionTimeout))
}

// Status describes a replica to operators.
type Status struct {
	Replica       ReplicaID
	Cluster       ClusterID
	Generation    uint64
	Role          Role
	Leader        ReplicaID // 0 if unknown
	Term          uint64
	First         uint64 // first entry still in the log
	Last          uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Dropped       uint64 // foreign and malformed messages
	Transfer      ReplicaID
	Ready         bool // leader with a committed entry of its term
	Members       []MemberStatus
}

// MemberStatus describes a member; Match, Responsive and Snapshot are known to
// the leader only.
type MemberStatus struct {
	Member
	Match      uint64
	Responsive bool
	Snapshot   bool // a snapshot is being sent
}

// Status returns the state of the replica.
func (n *Node) Status() Status {
	s := Status{
		Replica: n.config.Replica, Cluster: n.config.Cluster, Generation: n.config.Generation,
		Role: n.role, Leader: n.leader, Term: n.term, First: n.log.base + 1, Last: n.log.last(),
		Commit: n.log.commit, Applied: n.log.handed, SnapshotIndex: n.log.snapshot.Index,
		Dropped: n.dropped, Transfer: n.transfer, Ready: n.role == Leader && n.committedOwnTerm(),
	}

	for _, member := range n.members.current() {
		status := MemberStatus{Member: member}

		if p := n.progress[member.ID]; p != nil {
			status.Match, status.Snapshot = p.match, p.snapshot != nil
			status.Responsive = n.responsive(member.ID)
		} else if member.ID == n.config.Replica {
			status.Match, status.Responsive = n.log.stable, true
		}

		s.Members = append(s.Members, status)
	}

	return s
}
