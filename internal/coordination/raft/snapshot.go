package raft

import "jayspindle/internal/state/wal"

// maxStateBytes bounds the application's state in a snapshot. The rest of the
// largest snapshot is left for the membership.
const maxStateBytes = wal.MaxSnapshotBytes - MaxMembers*(maxAddressBytes+entryOverhead) - 1<<10

// incomingSnapshot collects chunks.
type incomingSnapshot struct {
	term     uint64 // of the leader that sends it
	snapshot Snapshot
}

// Compact takes the application's state after applying the entry at index and
// drops the log before it, but for the last KeepEntries entries. The owner saves
// the returned snapshot and then compacts its write-ahead log. The error kinds are
// KindInvalid for an index that is not applied yet or already compacted, and
// KindTooLarge.
func (n *Node) Compact(index uint64, data []byte) (*Snapshot, error) {
	if len(data) > maxStateBytes {
		return nil, newError("compact", KindTooLarge, "state of %d bytes exceeds %d", len(data), maxStateBytes)
	}

	// Entries that are not on the own disk yet must still reach it.
	applied := min(n.log.handed, n.log.stable)

	if index > applied || index <= n.log.snapshot.Index {
		return nil, newError("compact", KindInvalid, "index %d is outside of %d to %d",
			index, n.log.snapshot.Index+1, applied)
	}

	term, ok := n.log.term(index)
	if !ok {
		return nil, newError("compact", KindInvalid, "entry %d is not in the log", index)
	}

	snapshot := &Snapshot{Index: index, Term: term, Members: n.members.at(index), Data: data}
	n.log.compact(snapshot, n.config.KeepEntries)
	n.members = n.members.compact(index)

	return snapshot, nil
}

// sendChunk sends the next part of the newest snapshot, one at a time.
func (n *Node) sendChunk(to ReplicaID, p *progress) {
	if p.snapshot == nil {
		snapshot := n.log.snapshot
		p.snapshot, p.offset = &snapshot, 0
		p.inflight = nil
		p.streaming = false
	}

	data := p.snapshot.Data
	end := min(p.offset+uint64(n.config.ChunkBytes), uint64(len(data)))
	p.paused = true

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
		n.commitFollower(c.Index)
		n.send(Message{Kind: MessageAppendReply, To: m.From, LogIndex: c.Index})

		return
	}

	in := n.incoming
	if in == nil || in.term != m.Term || in.snapshot.Index != c.Index || in.snapshot.Term != c.Term {
		in = &incomingSnapshot{
			term:     m.Term,
			snapshot: Snapshot{Index: c.Index, Term: c.Term, Members: c.Members},
		}
		n.incoming = in
	}

	received := uint64(len(in.snapshot.Data))
	if c.Offset == received {
		in.snapshot.Data = append(in.snapshot.Data, c.Data...)
		received += uint64(len(c.Data))
	}

	if received < c.Size {
		n.send(Message{Kind: MessageSnapshotReply, To: m.From, LogIndex: c.Index, Offset: received})

		return
	}

	n.installSnapshot(&in.snapshot)
	n.send(Message{Kind: MessageAppendReply, To: m.From, LogIndex: c.Index})
}

// installSnapshot replaces the log and the application's state.
func (n *Node) installSnapshot(snapshot *Snapshot) {
	n.incoming = nil
	n.log.restore(snapshot)
	n.members = membership{{index: snapshot.Index, members: snapshot.Members}}
	n.install = snapshot
}

func (n *Node) handleChunkReply(m *Message, p *progress) {
	if p.snapshot == nil || p.snapshot.Index != m.LogIndex || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}

	p.offset = m.Offset
	p.paused = false
}
