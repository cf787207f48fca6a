package raft

import "jayspindle/internal/state/wal"

// maxStateBytes limits the application's state in a snapshot. It leaves room for the
// membership within wal.MaxSnapshotBytes.
const maxStateBytes = wal.MaxSnapshotBytes - MaxMembers*(maxAddressBytes+entryOverheadBytes) - 1<<10

// incomingSnapshot is a snapshot whose chunks are being received.
type incomingSnapshot struct {
	term     uint64 // term of the sending leader
	snapshot Snapshot
}

// Compact creates a snapshot from the application's state after the entry at index and
// removes the log up to it, except the last TrailingEntries entries. The owner saves the
// returned snapshot and then compacts its write-ahead log. The error kinds are
// KindInvalid for an index that is not applied yet or already compacted, and
// KindTooLarge.
func (n *Node) Compact(index uint64, data []byte) (*Snapshot, error) {
	if len(data) > maxStateBytes {
		return nil, newError("compact", KindTooLarge, "state of %d bytes exceeds %d", len(data), maxStateBytes)
	}

	// Entries that are not on the local disk yet must stay in the log until they are saved.
	applied := min(n.log.delivered, n.log.stable)

	if index > applied || index <= n.log.snapshot.Index {
		return nil, newError("compact", KindInvalid, "index %d is outside of %d to %d",
			index, n.log.snapshot.Index+1, applied)
	}

	term, ok := n.log.term(index)
	if !ok {
		return nil, newError("compact", KindInvalid, "entry %d is not in the log", index)
	}

	snapshot := &Snapshot{Index: index, Term: term, Members: n.memberships.at(index), Data: data}
	n.log.compact(snapshot, n.config.TrailingEntries)
	n.memberships = n.memberships.compact(index)

	return snapshot, nil
}

// sendChunk sends the next chunk of the snapshot in transfer, or starts to transfer the
// newest one. Only one chunk is outstanding at a time.
func (n *Node) sendChunk(to ReplicaID, p *progress) {
	if p.snapshot == nil {
		snapshot := n.log.snapshot
		p.snapshot, p.offset = &snapshot, 0
		p.inflight = nil
		p.streaming = false
	}

	data := p.snapshot.Data
	end := min(p.offset+uint64(n.config.MaxChunkBytes), uint64(len(data)))
	p.awaitingReply = true

	n.send(Message{
		Kind: MessageSnapshot, To: to,
		Chunk: &Chunk{
			Index: p.snapshot.Index, Term: p.snapshot.Term, Members: p.snapshot.Members,
			Size: uint64(len(data)), Offset: p.offset, Data: data[p.offset:end],
		},
	})
}

func (n *Node) handleChunk(m *Message) {
	c := m.Chunk

	if c.Index <= n.log.commit || n.log.matches(c.Index, c.Term) {
		n.incoming = nil
		n.advanceFollowerCommit(c.Index)
		n.send(Message{Kind: MessageAppendReply, To: m.From, LogIndex: c.Index})

		return
	}

	partial := n.incoming
	if partial == nil || partial.term != m.Term || partial.snapshot.Index != c.Index || partial.snapshot.Term != c.Term {
		partial = &incomingSnapshot{
			term:     m.Term,
			snapshot: Snapshot{Index: c.Index, Term: c.Term, Members: c.Members},
		}
		n.incoming = partial
	}

	received := uint64(len(partial.snapshot.Data))
	if c.Offset == received {
		partial.snapshot.Data = append(partial.snapshot.Data, c.Data...)
		received += uint64(len(c.Data))
	}

	if received < c.Size {
		n.send(Message{Kind: MessageSnapshotReply, To: m.From, LogIndex: c.Index, Offset: received})

		return
	}

	n.installSnapshot(&partial.snapshot)
	n.send(Message{Kind: MessageAppendReply, To: m.From, LogIndex: c.Index})
}

// installSnapshot replaces the log and the membership; the next Ready hands the snapshot
// to the application.
func (n *Node) installSnapshot(snapshot *Snapshot) {
	n.incoming = nil
	n.log.restore(snapshot)
	n.memberships = membershipHistory{{index: snapshot.Index, members: snapshot.Members}}
	n.installedSnapshot = snapshot
}

func (n *Node) handleChunkReply(m *Message, p *progress) {
	if p.snapshot == nil || p.snapshot.Index != m.LogIndex || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}

	p.offset = m.Offset
	p.awaitingReply = false
}
