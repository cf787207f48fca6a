package raft

import (
	"slices"

	"jayspindle/internal/state/wal"
)

// Propose appends a command to the leader's log and returns its position. The
// command is committed once a Ready lists an entry with this index and term; an
// entry with this index and another term means that the command was lost. The
// error kinds are KindNotLeader, KindTransferring, KindTooLarge and KindBusy.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	const operation = "propose"

	if err := n.refuseUnlessLeader(operation); err != nil {
		return 0, 0, err
	}

	switch {
	case n.transfer != 0:
		return 0, 0, newError(operation, KindTransferring, "leadership moves to %v", n.transfer)
	case len(data) > n.config.MaxProposalBytes:
		return 0, 0, newError(operation, KindTooLarge, "%d bytes exceed %d", len(data), n.config.MaxProposalBytes)
	case n.log.last()-n.log.snapshot.Index >= n.config.MaxLogEntries:
		return 0, 0, newError(operation, KindBusy, "%d entries wait for a snapshot", n.config.MaxLogEntries)
	case n.log.uncommitted+len(data) > n.config.MaxUncommitted:
		return 0, 0, newError(operation, KindBusy, "%d bytes are not committed", n.log.uncommitted)
	}

	return n.appendOwn(wal.EntryCommand, data), n.term, nil
}

// appendOwn appends an entry of the leader.
func (n *Node) appendOwn(kind wal.EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(entry)

	// The leader encoded the membership itself.
	if err := n.noteMembership(entry); err != nil {
		panic(err)
	}

	return entry.Index
}

// flush sends what the replicas lack. It runs once per Ready, so that proposals
// between two Readys share a message.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}

	if n.roundDue {
		n.heartbeat()
	}

	for _, member := range n.members.current() {
		if p := n.progress[member.ID]; p != nil {
			n.sendMissing(member.ID, p)
		}
	}
}

func (n *Node) sendMissing(to ReplicaID, p *progress) {
	for !p.paused && len(p.inflight) < n.config.MaxInflight {
		if p.snapshot != nil || p.next <= n.log.base {
			n.sendChunk(to, p)

			return
		}

		entries := n.log.slice(p.next, n.log.last(), n.config.MaxAppendEntries, n.config.MaxAppendBytes)
		if len(entries) == 0 && p.streaming && p.commit >= n.log.commit {
			break
		}

		n.sendAppend(to, p, entries)

		if len(entries) == 0 {
			break
		}
	}

	if n.transfer == to && p.match == n.log.last() && !p.paused {
		p.paused = true // until the next heartbeat is answered
		n.send(Message{Kind: MessageTimeoutNow, To: to})
	}
}

func (n *Node) sendAppend(to ReplicaID, p *progress, entries []Entry) {
	previous := p.next - 1
	term, _ := n.log.term(previous)

	n.send(Message{
		Kind: MessageAppend, To: to, LogIndex: previous, LogTerm: term, Entries: entries, Commit: n.log.commit,
	})

	p.commit = n.log.commit
	p.paused = !p.streaming

	if len(entries) > 0 && p.streaming {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (n *Node) handleAppend(m *Message) {
	if m.LogIndex < n.log.commit {
		n.send(Message{Kind: MessageAppendReply, To: m.From, LogIndex: n.log.commit})

		return
	}

	if !n.log.matches(m.LogIndex, m.LogTerm) {
		hint, term := n.log.hint(m.LogIndex, m.LogTerm)
		n.send(Message{
			Kind: MessageAppendReply, To: m.From, LogIndex: m.LogIndex, Reject: true, Hint: hint, HintTerm: term,
		})

		return
	}

	for _, entry := range m.Entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}

		if entry.Index <= n.log.last() {
			n.log.truncate(entry.Index)
			n.members = n.members.truncate(entry.Index)
		}

		n.log.append(entry)

		// Receive has checked that the membership decodes.
		if err := n.noteMembership(entry); err != nil {
			panic(err)
		}
	}

	last := m.LogIndex + uint64(len(m.Entries))
	n.commitFollower(min(m.Commit, last))
	n.send(Message{Kind: MessageAppendReply, To: m.From, LogIndex: last})
}

func (n *Node) commitFollower(index uint64) {
	if index > n.log.commit {
		n.log.commitTo(index)
	}
}

func (n *Node) handleAppendReply(m *Message, p *progress) {
	if !m.Reject {
		if m.LogIndex <= n.log.last() {
			p.acknowledge(m.LogIndex)
			n.advanceCommit()
		}

		return
	}

	// A rejection of an entry that is known to match was overtaken by the match.
	if m.LogIndex <= p.match || (!p.streaming && m.LogIndex != p.next-1) {
		return
	}

	hint, term := n.log.hint(m.Hint, m.HintTerm)
	p.probe(hint + 1)

	// The logs differ up to the first entry that is left: a snapshot is needed.
	if hint == n.log.base && (m.Hint < hint || m.HintTerm < term) {
		p.probe(hint)
	}
}

// advanceCommit commits what a majority holds, if it is of the own term (section
// 5.4.2 of the paper).
func (n *Node) advanceCommit() {
	var held []uint64

	for _, member := range n.members.current() {
		switch {
		case member.Learner:
		case member.ID == n.config.Replica:
			held = append(held, n.log.stable)
		default:
			held = append(held, n.progress[member.ID].match)
		}
	}

	slices.Sort(held)

	index := held[(len(held)-1)/2]
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}

	n.log.commitTo(index)

	// A leader that was removed leads until its removal is committed.
	if _, member := find(n.members.at(n.log.commit), n.config.Replica); !member {
		n.heartbeat()
		n.flush()
		n.becomeFollower(n.term, 0)
	}
}

// committedOwnTerm reports whether the leader knows everything that is committed.
func (n *Node) committedOwnTerm() bool { return n.log.matches(n.log.commit, n.term) }

// heartbeat starts a round. Its answers confirm reads up to the round.
func (n *Node) heartbeat() {
	n.round++
	n.roundDue = false
	n.heartbeatDue = n.now.Add(n.config.HeartbeatInterval)

	for _, member := range n.members.current() {
		if p := n.progress[member.ID]; p != nil {
			n.send(Message{
				Kind: MessageHeartbeat, To: member.ID, Commit: min(p.match, n.log.commit), Round: n.round,
			})
		}
	}
}

func (n *Node) handleHeartbeat(m *Message) {
	n.commitFollower(min(m.Commit, n.log.last()))
	n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Round: m.Round})
}

// handleHeartbeatReply also finds messages that were lost: entries that are
// unanswered over a whole heartbeat are sent again.
func (n *Node) handleHeartbeatReply(m *Message, p *progress) {
	p.round = max(p.round, m.Round)

	// Reads cause extra rounds; resending at each would multiply the traffic.
	if n.now.Before(p.beat.Add(n.config.HeartbeatInterval)) {
		return
	}

	p.beat = n.now
	p.paused = false

	if len(p.inflight) > 0 && p.match == p.beatMatch {
		p.probe(p.match + 1)
	}

	p.beatMatch = p.match
}
