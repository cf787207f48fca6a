package raft

import "math"

// Ready lists what the owner has to do, in this order: save and restore the
// snapshot, save hard state and entries, send the messages, apply the committed
// entries, answer the reads.
type Ready struct {
	Snapshot  *Snapshot  // to save and to restore the application from
	HardState *HardState // to save together with Entries; nil if unchanged
	Entries   []Entry    // to save
	Messages  []Message  // to send after everything is saved
	Committed []Entry    // to apply; only those of kind EntryCommand concern the application
	Reads     []Read     // to answer after Committed is applied
}

// maxApplyBytes bounds the committed entries of one Ready besides their count.
const maxApplyBytes = 8 << 20

// Ready returns what is to be done; ok is false if that is nothing or if the
// last Ready was not advanced. Entries must not be changed.
func (n *Node) Ready() (ready Ready, ok bool) {
	if n.pending {
		return Ready{}, false
	}

	n.flush()

	ready.Snapshot = n.install
	ready.Entries = n.log.slice(n.log.stable+1, n.log.last(), len(n.log.entries)+1, math.MaxInt)
	ready.Committed = n.log.slice(n.log.handed+1, n.log.commit, n.config.MaxApplyEntries, maxApplyBytes)
	n.log.handed += uint64(len(ready.Committed))
	n.confirmReads()

	ready.Messages, ready.Reads = n.messages, n.readsDone
	n.install, n.messages, n.readsDone = nil, nil, nil

	hardState := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	voted := hardState.Term != n.saved.Term || hardState.Vote != n.saved.Vote

	// The commit index alone is not worth an fsync: it is learned again.
	if voted || len(ready.Entries) > 0 || ready.Snapshot != nil {
		ready.HardState = &hardState
		n.saved = hardState
	}

	ok = ready.HardState != nil || len(ready.Messages) > 0 || len(ready.Committed) > 0 || len(ready.Reads) > 0
	n.pending = ok

	return ready, ok
}

// Advance tells that everything in a Ready was done. Events may arrive between
// Ready and Advance.
func (n *Node) Advance(ready Ready) {
	n.pending = false

	if count := len(ready.Entries); count > 0 {
		// Entries that were replaced meanwhile are in the next Ready again.
		if last := ready.Entries[count-1]; n.log.matches(last.Index, last.Term) {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}

	if n.role == Leader {
		n.advanceCommit()
	}
}
