package raft

// pendingRead waits for a heartbeat round and for the log to be applied.
type pendingRead struct {
	id    uint64
	round uint64
	index uint64 // 0 until an entry of the own term is committed
}

// Read is the outcome of a read request.
type Read struct {
	ID    uint64
	Index uint64 // the read sees all entries up to here
	Lost  bool   // the replica no longer leads; ask the new leader
}

// ReadIndex asks for a linearizable read (section 6.4 of the dissertation). The
// read may be served when a Ready lists its ID, after the committed entries of
// that Ready are applied. The error kinds are KindNotLeader and KindBusy.
func (n *Node) ReadIndex(id uint64) error {
	if err := n.refuseUnlessLeader("read"); err != nil {
		return err
	}

	if len(n.reads) >= n.config.MaxReads {
		return newError("read", KindBusy, "%d reads wait for confirmation", len(n.reads))
	}

	read := pendingRead{id: id, round: n.round + 1}
	if n.committedOwnTerm() {
		read.index = n.log.commit
	}

	n.reads = append(n.reads, read)
	n.roundDue = true

	return nil
}

// confirmReads moves the reads that are confirmed and applied to the results.
// Rounds and indexes ascend, so the first read that waits ends the loop.
func (n *Node) confirmReads() {
	for len(n.reads) > 0 {
		read := &n.reads[0]

		if read.index == 0 && n.committedOwnTerm() {
			read.index = n.log.commit
		}

		confirmed := quorum(n.members.current(), func(id ReplicaID) bool {
			return id == n.config.Replica || n.progress[id].round >= read.round
		})

		if read.index == 0 || read.index > n.log.handed || !confirmed {
			return
		}

		n.readsDone = append(n.readsDone, Read{ID: read.id, Index: read.index})
		n.reads = n.reads[1:]
	}
}

// dropReads ends all reads of a replica that no longer leads.
func (n *Node) dropReads() {
	for _, read := range n.reads {
		n.readsDone = append(n.readsDone, Read{ID: read.id, Lost: true})
	}

	n.reads, n.roundDue = nil, false
}
