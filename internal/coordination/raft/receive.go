package raft

// Receive handles a message. It drops a message to another replica, cluster or
// generation with an error of KindForeign and a malformed one with KindInvalid.
func (n *Node) Receive(message Message) error {
	m := &message

	if m.To != n.config.Replica || m.Cluster != n.config.Cluster || m.Generation != n.config.Generation {
		n.droppedMessages++

		return newError("receive", KindForeign, "message to replica %v of cluster %v generation %d",
			m.To, m.Cluster, m.Generation)
	}

	if err := m.check(); err != nil {
		n.droppedMessages++

		return newError("receive", KindInvalid, "%v", err)
	}

	if !n.reconcileTerm(m) {
		return nil
	}

	n.dispatch(m)

	return nil
}

// reconcileTerm compares the message's term with the current one, moves to a higher term
// and reports whether the message should be handled. The proposed term of a pre-vote is
// not entered.
func (n *Node) reconcileTerm(m *Message) bool {
	proposesTerm := m.Kind == MessagePreVote || (m.Kind == MessagePreVoteReply && !m.Reject)

	switch {
	case m.Term > n.term && proposesTerm:
		return true
	case m.Term > n.term && m.Kind == MessageVote && !m.Transfer && n.hasLeaderLease():
		return false
	case m.Term > n.term:
		n.becomeFollower(m.Term, 0)
	case m.Term < n.term:
		n.replyToStaleTerm(m)

		return false
	}

	return true
}

// replyToStaleTerm sends the current term to a replica with a lower one. Without this
// reply, a leader could never replicate to a replica whose term is higher than that of
// the rest of the group.
func (n *Node) replyToStaleTerm(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageHeartbeatReply, To: m.From})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	default:
	}
}

func (n *Node) dispatch(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		n.handlePreVote(m)
	case MessagePreVoteReply:
		n.handlePreVoteReply(m)
	case MessageVote:
		n.handleVote(m)
	case MessageVoteReply:
		n.handleVoteReply(m)
	case MessageAppend:
		n.followLeader(m.From)
		n.handleAppend(m)
	case MessageHeartbeat:
		n.followLeader(m.From)
		n.handleHeartbeat(m)
	case MessageSnapshot:
		n.followLeader(m.From)
		n.handleChunk(m)
	case MessageTimeoutNow:
		if m.From == n.leader {
			n.campaign(true)
		}
	default:
		n.dispatchReply(m)
	}
}

// dispatchReply handles replies that only a leader expects. Others and those of non-members are ignored.
func (n *Node) dispatchReply(m *Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}

	p.lastContact = n.now

	switch m.Kind {
	case MessageAppendReply:
		n.handleAppendReply(m, p)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m, p)
	case MessageSnapshotReply:
		n.handleChunkReply(m, p)
	default:
	}
}
