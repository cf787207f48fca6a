package raft

// pendingRead is a read that waits for a heartbeat round to be confirmed by a quorum
// and for the entries up to its index to be applied.
type pendingRead struct {
	id    uint64
	round uint64
	index uint64 // 0 until an entry of the current term is committed
}

// Read is the outcome of a read request.
type Read struct {
	ID             uint64
	Index          uint64 // the read reflects all entries up to this index
	LeadershipLost bool   // the replica no longer leads; retry at the new leader
}

// ReadIndex requests a linearizable read (section 6.4 of the dissertation). The read
// may be served once a Ready lists its ID and the committed entries of that Ready
// are applied. The error kinds are KindNotLeader and KindBusy.
func (n *Node) ReadIndex(id uint64) error {
	if err := n.checkLeader("read"); err != nil {
		return err
	}

	if len(n.reads) >= n.config.MaxPendingReads {
		return newError("read", KindBusy, "%d reads are unconfirmed", len(n.reads))
	}

	read := pendingRead{id: id, round: n.round + 1}
	if n.hasCommittedOwnTerm() {
		read.index = n.log.commit
	}

	n.reads = append(n.reads, read)
	n.needsHeartbeat = true

	return nil
}

// confirmReads moves the reads that are confirmed and applied to readsDone. Rounds and
// indexes are in ascending order, so it stops at the first read that still waits.
func (n *Node) confirmReads() {
	for len(n.reads) > 0 {
		read := &n.reads[0]

		if read.index == 0 && n.hasCommittedOwnTerm() {
			read.index = n.log.commit
		}

		confirmed := hasQuorum(n.memberships.current(), func(id ReplicaID) bool {
			return id == n.config.Replica || n.progress[id].answeredRound >= read.round
		})

		if read.index == 0 || read.index > n.log.delivered || !confirmed {
			return
		}

		n.readsDone = append(n.readsDone, Read{ID: read.id, Index: read.index})
		n.reads = n.reads[1:]
	}
}

// dropReads reports all pending reads as lost when the replica stops leading.
func (n *Node) dropReads() {
	for _, read := range n.reads {
		n.readsDone = append(n.readsDone, Read{ID: read.id, LeadershipLost: true})
	}

	n.reads, n.needsHeartbeat = nil, false
}
