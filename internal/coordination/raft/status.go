package raft

// Status is the state of a replica for operators.
type Status struct {
	Replica        ReplicaID
	Cluster        ClusterID
	Generation     uint64
	Role           Role
	Leader         ReplicaID // 0 if unknown
	Term           uint64
	First          uint64 // first entry that is not compacted
	Last           uint64
	Commit         uint64
	Applied        uint64
	SnapshotIndex  uint64
	Dropped        uint64 // foreign and malformed messages
	TransferTarget ReplicaID
	CanServe       bool // this replica leads and has committed an entry of its term
	Members        []MemberStatus
}

// MemberStatus is the state of a member. Other members' Match, Responsive and Snapshot are
// known to the leader only.
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
		Commit: n.log.commit, Applied: n.log.delivered, SnapshotIndex: n.log.snapshot.Index,
		Dropped: n.droppedMessages, TransferTarget: n.transferTarget, CanServe: n.role == Leader && n.hasCommittedOwnTerm(),
	}

	for _, member := range n.memberships.current() {
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
