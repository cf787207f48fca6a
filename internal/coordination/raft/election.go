package raft

import (
	"log/slog"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/wal"
)

// campaign starts a pre-vote, or an election at once when the leader asked for
// it. A replica that is no voter only waits.
func (n *Node) campaign(transfer bool) {
	n.resetElection()

	if !n.isVoter(n.config.Replica) {
		return
	}

	n.leader = 0
	n.votes = map[ReplicaID]bool{n.config.Replica: true}

	if transfer {
		n.elect(true)

		return
	}

	n.role = PreCandidate
	n.askVotes(MessagePreVote, n.term+1, false)
	n.countVotes()
}

// elect starts an election in the next term.
func (n *Node) elect(transfer bool) {
	n.setTerm(n.term + 1)
	n.role = Candidate
	n.vote = n.config.Replica
	n.votes = map[ReplicaID]bool{n.config.Replica: true}
	n.resetElection()
	n.askVotes(MessageVote, n.term, transfer)
	n.countVotes()
}

func (n *Node) askVotes(kind MessageKind, term uint64, transfer bool) {
	for _, member := range n.members.current() {
		if member.Learner || member.ID == n.config.Replica {
			continue
		}

		n.send(Message{
			Kind: kind, To: member.ID, Term: term, Transfer: transfer,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) countVotes() {
	members := n.members.current()
	granted := func(id ReplicaID) bool { return n.votes[id] }
	refused := func(id ReplicaID) bool { vote, ok := n.votes[id]; return ok && !vote }

	switch {
	case quorum(members, granted) && n.role == PreCandidate:
		n.elect(false)
	case quorum(members, granted) && n.role == Candidate:
		n.becomeLeader()
	case quorum(members, refused):
		n.becomeFollower(n.term, 0)
	}
}

// leased reports whether a leader was heard recently. Votes that the leader
// didn't ask for are then refused, so that a replica that can't hear the leader
// or was removed doesn't disrupt the group.
func (n *Node) leased() bool {
	if n.role == Leader {
		return true
	}

	return n.leader != 0 && n.now.Before(n.leaderSeen.Add(n.config.ElectionTimeout))
}

func (n *Node) handlePreVote(m *Message) {
	grant := m.Term > n.term && !n.leased() && n.log.upToDate(m.LogIndex, m.LogTerm)

	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: n.term, Reject: !grant}
	if grant {
		reply.Term = m.Term // the term asked for tells the reply from an earlier one
	}

	n.send(reply)
}

func (n *Node) handlePreVoteReply(m *Message) {
	if n.role != PreCandidate || (!m.Reject && m.Term != n.term+1) {
		return
	}

	n.votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) handleVote(m *Message) {
	free := n.vote == m.From || (n.vote == 0 && n.termLeader == 0)
	grant := free && n.log.upToDate(m.LogIndex, m.LogTerm)

	if grant {
		n.vote = m.From
		n.resetElection()
	}

	n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(m *Message) {
	if n.role != Candidate {
		return
	}

	n.votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) becomeLeader() {
	invariant.Assert(n.termLeader == 0, "raft: one leader a term",
		slog.Uint64("term", n.term), slog.Any("leader", n.termLeader), slog.Any("other", n.config.Replica))

	n.role = Leader
	n.leader, n.termLeader = n.config.Replica, n.config.Replica
	n.progress = make(map[ReplicaID]*progress)
	n.syncProgress()
	n.heartbeatDue = n.now
	n.appendOwn(wal.EntryEmpty, nil)
}

// tickLeader steps down without a quorum, so that clients of an isolated leader
// learn soon that it can't commit, and sends heartbeats.
func (n *Node) tickLeader() {
	if !quorum(n.members.current(), n.responsive) {
		n.becomeFollower(n.term, 0)

		return
	}

	if n.transfer != 0 && !n.now.Before(n.transferDue) {
		n.transfer = 0
	}

	if !n.now.Before(n.heartbeatDue) {
		n.heartbeat()
	}
}

// TransferLeadership hands the leadership to a voter, or with 0 to the one whose
// log is closest to the leader's. Proposals are refused until the transfer ends;
// it is given up after an election timeout. The error kinds are KindNotLeader and
// KindInvalid.
func (n *Node) TransferLeadership(to ReplicaID) error {
	if err := n.refuseUnlessLeader("transfer"); err != nil {
		return err
	}

	if to == 0 {
		to = n.successor()
	}

	if to == n.config.Replica || !n.isVoter(to) {
		return newError("transfer", KindInvalid, "replica %v is no other voter", to)
	}

	n.transfer = to
	n.transferDue = n.now.Add(n.config.ElectionTimeout)

	return nil
}

func (n *Node) successor() ReplicaID {
	var best ReplicaID

	for _, member := range n.members.current() {
		if member.Learner || member.ID == n.config.Replica || !n.responsive(member.ID) {
			continue
		}

		if best == 0 || n.progress[member.ID].match > n.progress[best].match {
			best = member.ID
		}
	}

	return best
}
