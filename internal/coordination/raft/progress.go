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
