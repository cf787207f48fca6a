package raft

import (
	"slices"

	"jayspindle/internal/state/wal"
)

// Propose appends a command to the leader's log and returns its index and term. The
// command is committed once a Ready lists an entry with this index and term; an
// entry with this index and another term means that the command was lost. The
// error kinds are KindNotLeader, KindTransferring, KindTooLarge and KindBusy.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	const operation = "propose"

	if err := n.checkLeader(operation); err != nil {
		return 0, 0, err
	}

	switch {
	case n.transferTarget != 0:
		return 0, 0, newError(operation, KindTransferring, "leadership is being transferred to %v", n.transferTarget)
	case len(data) > n.config.MaxProposalBytes:
		return 0, 0, newError(operation, KindTooLarge, "%d bytes exceed %d", len(data), n.config.MaxProposalBytes)
	case n.log.last()-n.log.snapshot.Index >= n.config.MaxLogEntries:
		return 0, 0, newError(operation, KindBusy, "%d entries since the last snapshot", n.config.MaxLogEntries)
	case n.log.uncommittedBytes+len(data) > n.config.MaxUncommittedBytes:
		return 0, 0, newError(operation, KindBusy, "%d bytes are uncommitted", n.log.uncommittedBytes)
	}

	return n.appendEntry(wal.EntryCommand, data), n.term, nil
}

// appendEntry appends an entry of the current term to the leader's log.
func (n *Node) appendEntry(kind wal.EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(entry)

	// Cannot fail: the leader encoded the membership itself.
	if err := n.recordMembership(entry); err != nil {
		panic(err)
	}

	return entry.Index
}

// replicateToAll sends each replica the entries that it lacks. It runs once per Ready, so
// that the proposals between two calls of Ready are sent in one message.
func (n *Node) replicateToAll() {
	if n.role != Leader {
		return
	}

	if n.needsHeartbeat {
		n.sendHeartbeats()
	}

	for _, member := range n.memberships.current() {
		if p := n.progress[member.ID]; p != nil {
			n.replicateTo(member.ID, p)
		}
	}
}

func (n *Node) replicateTo(to ReplicaID, p *progress) {
	for !p.awaitingReply && len(p.inflight) < n.config.MaxInflightAppends {
		if p.snapshot != nil || p.next <= n.log.base {
			n.sendChunk(to, p)

			return
		}

		entries := n.log.slice(p.next, n.log.last(), n.config.MaxAppendEntries, n.config.MaxAppendBytes)
		if len(entries) == 0 && p.streaming && p.sentCommit >= n.log.commit {
			break
		}

		n.sendAppend(to, p, entries)

		if len(entries) == 0 {
			break
		}
	}

	if n.transferTarget == to && p.match == n.log.last() && !p.awaitingReply {
		p.awaitingReply = true // until the next heartbeat is answered
		n.send(Message{Kind: MessageTimeoutNow, To: to})
	}
}

func (n *Node) sendAppend(to ReplicaID, p *progress, entries []Entry) {
	previous := p.next - 1
	term, _ := n.log.term(previous)

	n.send(Message{
		Kind: MessageAppend, To: to, LogIndex: previous, LogTerm: term, Entries: entries, Commit: n.log.commit,
	})

	p.sentCommit = n.log.commit
	p.awaitingReply = !p.streaming

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
		hint, term := n.log.findConflictByTerm(m.LogIndex, m.LogTerm)
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
			n.memberships = n.memberships.truncate(entry.Index)
		}

		n.log.append(entry)

		// Cannot fail: Receive has checked that the membership can be decoded.
		if err := n.recordMembership(entry); err != nil {
			panic(err)
		}
	}

	last := m.LogIndex + uint64(len(m.Entries))
	n.advanceFollowerCommit(min(m.Commit, last))
	n.send(Message{Kind: MessageAppendReply, To: m.From, LogIndex: last})
}

func (n *Node) advanceFollowerCommit(index uint64) {
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

	// The rejection is outdated: the entry is known to match by now, or an earlier probe was rejected.
	if m.LogIndex <= p.match || (!p.streaming && m.LogIndex != p.next-1) {
		return
	}

	hint, term := n.log.findConflictByTerm(m.Hint, m.HintTerm)
	p.probe(hint + 1)

	// The logs differ at the compaction point too, so a snapshot has to be sent.
	if hint == n.log.base && (m.Hint < hint || m.HintTerm < term) {
		p.probe(hint)
	}
}

// advanceCommit commits the entries that a majority of the voters has stored, if the
// last of them is of the current term (section 5.4.2 of the paper).
func (n *Node) advanceCommit() {
	var stored []uint64

	for _, member := range n.memberships.current() {
		switch {
		case member.Learner:
		case member.ID == n.config.Replica:
			stored = append(stored, n.log.stable)
		default:
			stored = append(stored, n.progress[member.ID].match)
		}
	}

	slices.Sort(stored)

	index := stored[(len(stored)-1)/2]
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}

	n.log.commitTo(index)

	// A leader that removes itself steps down once its removal is committed, after it
	// has sent the new commit index.
	if _, isMember := findMember(n.memberships.at(n.log.commit), n.config.Replica); !isMember {
		n.sendHeartbeats()
		n.replicateToAll()
		n.becomeFollower(n.term, 0)
	}
}

// hasCommittedOwnTerm reports whether an entry of the current term is committed. Only then
// does the leader know all committed entries.
func (n *Node) hasCommittedOwnTerm() bool { return n.log.matches(n.log.commit, n.term) }

// sendHeartbeats starts a heartbeat round. Replies of a quorum confirm that this replica
// still leads, and with that the reads up to the round.
func (n *Node) sendHeartbeats() {
	n.round++
	n.needsHeartbeat = false
	n.heartbeatDue = n.now.Add(n.config.HeartbeatInterval)

	for _, member := range n.memberships.current() {
		if p := n.progress[member.ID]; p != nil {
			n.send(Message{
				Kind: MessageHeartbeat, To: member.ID, Commit: min(p.match, n.log.commit), Round: n.round,
			})
		}
	}
}

func (n *Node) handleHeartbeat(m *Message) {
	n.advanceFollowerCommit(min(m.Commit, n.log.last()))
	n.send(Message{Kind: MessageHeartbeatReply, To: m.From, Round: m.Round})
}

// handleHeartbeatReply records the answered round and detects lost messages: if no entry
// was acknowledged for a whole heartbeat interval, unacknowledged ones are sent again.
func (n *Node) handleHeartbeatReply(m *Message, p *progress) {
	p.answeredRound = max(p.answeredRound, m.Round)

	// Reads start additional rounds; resending in each of them would multiply the traffic.
	if n.now.Before(p.lastLossCheck.Add(n.config.HeartbeatInterval)) {
		return
	}

	p.lastLossCheck = n.now
	p.awaitingReply = false

	if len(p.inflight) > 0 && p.match == p.lossCheckMatch {
		p.probe(p.match + 1)
	}

	p.lossCheckMatch = p.match
}
