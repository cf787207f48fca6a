package raft

import (
	"slices"
	"time"
)

// progress is the leader's view of another replica's log.
type progress struct {
	match          uint64   // highest entry known to be on the replica's disk
	next           uint64   // next entry to send
	streaming      bool     // pipeline messages; otherwise one at a time until the logs match
	awaitingReply  bool     // a probe, chunk or TimeoutNow is unanswered
	inflight       []uint64 // last index of each unanswered message with entries
	sentCommit     uint64   // highest commit index sent in an Append
	lastContact    time.Time
	answeredRound  uint64    // highest heartbeat round answered
	lastLossCheck  time.Time // time of the last check for lost messages
	lossCheckMatch uint64    // match at that check

	snapshot *Snapshot // being sent
	offset   uint64
}

// acknowledge records that the replica has stored the log up to index.
func (p *progress) acknowledge(index uint64) {
	p.awaitingReply = false

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

// probe resumes at an entry and sends one message at a time until the replica acknowledges it.
func (p *progress) probe(next uint64) {
	p.next = max(next, p.match+1)
	p.streaming = false
	p.awaitingReply = false
	p.inflight = nil
}

// syncProgress adds the progress of new members and removes that of former members.
func (n *Node) syncProgress() {
	members := n.memberships.current()

	for id := range n.progress {
		if _, ok := findMember(members, id); !ok {
			delete(n.progress, id)
		}
	}

	for _, member := range members {
		if member.ID != n.config.Replica && n.progress[member.ID] == nil {
			n.progress[member.ID] = &progress{next: n.log.last() + 1, lastContact: n.now}
		}
	}
}

// responsive reports whether a replica replied within the last election timeout.
func (n *Node) responsive(id ReplicaID) bool {
	if id == n.config.Replica {
		return true
	}

	p := n.progress[id]

	return p != nil && n.now.Before(p.lastContact.Add(n.config.ElectionTimeout))
}
