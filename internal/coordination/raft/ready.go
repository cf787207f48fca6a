package raft

import "math"

// Ready lists the work of the owner, in this order: save and restore the
// snapshot, save hard state and entries, send the messages, apply the committed
// entries, answer the reads.
type Ready struct {
	Snapshot  *Snapshot  // to save, then to restore the application from
	HardState *HardState // to save together with Entries; nil if unchanged
	Entries   []Entry    // to save
	Messages  []Message  // to send after everything is saved
	Committed []Entry    // to apply; only those of kind EntryCommand are for the application
	Reads     []Read     // to answer after Committed is applied
}

// maxApplyBytes limits the size of the committed entries in one Ready, in addition to
// Config.MaxApplyEntries.
const maxApplyBytes = 8 << 20

// Ready returns the pending work; ok is false if there is none or if the last Ready
// was not passed to Advance yet. The caller must not modify the entries.
func (n *Node) Ready() (ready Ready, ok bool) {
	if n.readyPending {
		return Ready{}, false
	}

	n.replicateToAll()

	ready.Snapshot = n.installedSnapshot
	ready.Entries = n.log.slice(n.log.stable+1, n.log.last(), len(n.log.entries)+1, math.MaxInt)
	ready.Committed = n.log.slice(n.log.delivered+1, n.log.commit, n.config.MaxApplyEntries, maxApplyBytes)
	n.log.delivered += uint64(len(ready.Committed))
	n.confirmReads()

	ready.Messages, ready.Reads = n.messages, n.readsDone
	n.installedSnapshot, n.messages, n.readsDone = nil, nil, nil

	hardState := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	termOrVoteChanged := hardState.Term != n.lastHardState.Term || hardState.Vote != n.lastHardState.Vote

	// A change of the commit index alone is not saved, to avoid an fsync: a restarted
	// replica learns it again from the leader.
	if termOrVoteChanged || len(ready.Entries) > 0 || ready.Snapshot != nil {
		ready.HardState = &hardState
		n.lastHardState = hardState
	}

	ok = ready.HardState != nil || len(ready.Messages) > 0 || len(ready.Committed) > 0 || len(ready.Reads) > 0
	n.readyPending = ok

	return ready, ok
}

// Advance confirms that everything in a Ready was done. Other methods may be called
// between Ready and Advance.
func (n *Node) Advance(ready Ready) {
	n.readyPending = false

	if count := len(ready.Entries); count > 0 {
		// Entries that were overwritten in the meantime are not stable: the next Ready
		// contains their replacements.
		if last := ready.Entries[count-1]; n.log.matches(last.Index, last.Term) {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}

	if n.role == Leader {
		n.advanceCommit()
	}
}
