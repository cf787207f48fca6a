package raft

import (
	"log/slog"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/wal"
)

// campaign starts a pre-vote, or immediately an election if the leader requested it
// for a leadership transfer. A replica that isn't a voter only restarts its timer.
func (n *Node) campaign(transfer bool) {
	n.resetElectionTimer()

	if !n.isVoter(n.config.Replica) {
		return
	}

	n.leader = 0
	n.votes = map[ReplicaID]bool{n.config.Replica: true}

	if transfer {
		n.startElection(true)

		return
	}

	n.role = PreCandidate
	n.requestVotes(MessagePreVote, n.term+1, false)
	n.countVotes()
}

// startElection becomes a candidate in the next term and requests votes.
func (n *Node) startElection(transfer bool) {
	n.setTerm(n.term + 1)
	n.role = Candidate
	n.vote = n.config.Replica
	n.votes = map[ReplicaID]bool{n.config.Replica: true}
	n.resetElectionTimer()
	n.requestVotes(MessageVote, n.term, transfer)
	n.countVotes()
}

func (n *Node) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, member := range n.memberships.current() {
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
	members := n.memberships.current()
	granted := func(id ReplicaID) bool { return n.votes[id] }
	refused := func(id ReplicaID) bool { vote, ok := n.votes[id]; return ok && !vote }

	switch {
	case hasQuorum(members, granted) && n.role == PreCandidate:
		n.startElection(false)
	case hasQuorum(members, granted) && n.role == Candidate:
		n.becomeLeader()
	case hasQuorum(members, refused):
		n.becomeFollower(n.term, 0)
	}
}

// hasLeaderLease reports whether this replica leads or received a message from the
// leader within an election timeout. Vote requests are then rejected, except for a
// leadership transfer, so that a replica that can't reach the leader or was removed
// doesn't disrupt the group.
func (n *Node) hasLeaderLease() bool {
	if n.role == Leader {
		return true
	}

	return n.leader != 0 && n.now.Before(n.lastLeaderContact.Add(n.config.ElectionTimeout))
}

func (n *Node) handlePreVote(m *Message) {
	grant := m.Term > n.term && !n.hasLeaderLease() && n.log.upToDate(m.LogIndex, m.LogTerm)

	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: n.term, Reject: !grant}
	if grant {
		reply.Term = m.Term // the proposed term distinguishes the reply from one to an earlier pre-vote
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
	canVote := n.vote == m.From || (n.vote == 0 && n.termLeader == 0)
	grant := canVote && n.log.upToDate(m.LogIndex, m.LogTerm)

	if grant {
		n.vote = m.From
		n.resetElectionTimer()
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
	invariant.Assert(n.termLeader == 0, "raft: at most one leader per term",
		slog.Uint64("term", n.term), slog.Any("leader", n.termLeader), slog.Any("other", n.config.Replica))

	n.role = Leader
	n.leader, n.termLeader = n.config.Replica, n.config.Replica
	n.progress = make(map[ReplicaID]*progress)
	n.syncProgress()
	n.heartbeatDue = n.now
	n.appendEntry(wal.EntryEmpty, nil)
}

// tickLeader sends heartbeats when they are due. It steps down if no quorum responds,
// so that clients of an isolated leader soon learn that it can't commit.
func (n *Node) tickLeader() {
	if !hasQuorum(n.memberships.current(), n.responsive) {
		n.becomeFollower(n.term, 0)

		return
	}

	if n.transferTarget != 0 && !n.now.Before(n.transferDeadline) {
		n.transferTarget = 0
	}

	if !n.now.Before(n.heartbeatDue) {
		n.sendHeartbeats()
	}
}

// TransferLeadership transfers leadership to a voter; 0 selects the responsive voter
// with the most up-to-date log. Proposals are rejected until the transfer ends; it is
// aborted after an election timeout. The error kinds are KindNotLeader and KindInvalid.
func (n *Node) TransferLeadership(to ReplicaID) error {
	if err := n.checkLeader("transfer"); err != nil {
		return err
	}

	if to == 0 {
		to = n.successor()
	}

	if to == n.config.Replica || !n.isVoter(to) {
		return newError("transfer", KindInvalid, "replica %v is not another voter", to)
	}

	n.transferTarget = to
	n.transferDeadline = n.now.Add(n.config.ElectionTimeout)

	return nil
}

func (n *Node) successor() ReplicaID {
	var best ReplicaID

	for _, member := range n.memberships.current() {
		if member.Learner || member.ID == n.config.Replica || !n.responsive(member.ID) {
			continue
		}

		if best == 0 || n.progress[member.ID].match > n.progress[best].match {
			best = member.ID
		}
	}

	return best
}
