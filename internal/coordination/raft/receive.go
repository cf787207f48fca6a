package raft

// Receive handles a message. It returns an error of KindForeign for a message to
// another replica, cluster or generation and of KindInvalid for a malformed one;
// both are dropped.
func (n *Node) Receive(message Message) error {
	m := &message

	if m.To != n.config.Replica || m.Cluster != n.config.Cluster || m.Generation != n.config.Generation {
		n.dropped++

		return newError("receive", KindForeign, "message to replica %v of cluster %v generation %d",
			m.To, m.Cluster, m.Generation)
	}

	if err := m.check(); err != nil {
		n.dropped++

		return newError("receive", KindInvalid, "%v", err)
	}

	if !n.enterTerm(m) {
		return nil
	}

	n.dispatch(m)

	return nil
}

// enterTerm compares the terms and reports whether the message is to be handled.
func (n *Node) enterTerm(m *Message) bool {
	prospective := m.Kind == MessagePreVote || (m.Kind == MessagePreVoteReply && !m.Reject)

	switch {
	case m.Term > n.term && prospective:
		return true
	case m.Term > n.term && m.Kind == MessageVote && !m.Transfer && n.leased():
		return false
	case m.Term > n.term:
		n.becomeFollower(m.Term, 0)
	case m.Term < n.term:
		n.answerStale(m)

		return false
	}

	return true
}

// answerStale tells a replica with an old term about the new one. Without an
// answer, a leader could not reach a replica that has a higher term than the
// rest of the group.
func (n *Node) answerStale(m *Message) {
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

// dispatchReply handles what only a leader expects, from members.
func (n *Node) dispatchReply(m *Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}

	p.lastHeard = n.now

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
