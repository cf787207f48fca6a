package controller

import (
	"net/netip"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/transport/link"
)

// changeMembers is the event that changes the controller group, or checks that
// the leader can list it.
type changeMembers struct {
	request control.Members
	reply   chan proposalResult
}

// handle proposes the change. The reply is an empty result once the change is
// applied. The caller then reads the members from the log.
func (c *changeMembers) handle(o *owner, now time.Time) {
	if o.node == nil || o.node.Status().Role != raft.Leader {
		c.reply <- proposalResult{err: o.redirect()}

		return
	}

	change, needed, err := o.nextChange(c.request)
	if err != nil || !needed {
		c.reply <- proposalResult{err: err}

		return
	}

	index, term, err := o.node.ChangeMembership(change)
	if err != nil {
		c.reply <- proposalResult{err: o.linkError(err)}

		return
	}

	o.trackProposal(now, index, term, c.reply)
}

// nextChange returns the next change towards the requested membership. needed is
// false if the group already has that membership.
func (o *owner) nextChange(request control.Members) (change raft.Change, needed bool, err error) {
	member := raft.Member{ID: raft.ReplicaID(request.Member.Replica), Address: request.Member.Address.String()}
	current, listed := o.member(member.ID)

	switch request.Action {
	case control.MembersAdd:
		if listed {
			return change, false, nil
		}

		// A replica that lost its disk rejoins under a new identity. Its former
		// identity can never answer again, so it is removed first.
		if former, ok := o.memberAt(member.Address); ok {
			return raft.Change{Kind: raft.ChangeRemove, Member: former}, true, nil
		}

		return raft.Change{Kind: raft.ChangeAddLearner, Member: member}, true, nil
	case control.MembersPromote:
		if !listed {
			return change, false, link.Errorf(link.KindNotFound, "replica %v is not a member", member.ID)
		}

		return raft.Change{Kind: raft.ChangePromote, Member: current}, current.Learner, nil
	case control.MembersRemove:
		return raft.Change{Kind: raft.ChangeRemove, Member: current}, listed, nil
	default:
		return change, false, nil
	}
}

func (o *owner) member(replica raft.ReplicaID) (raft.Member, bool) {
	for _, member := range o.node.Status().Members {
		if member.ID == replica {
			return member.Member, true
		}
	}

	return raft.Member{}, false
}

func (o *owner) memberAt(address string) (raft.Member, bool) {
	for _, member := range o.node.Status().Members {
		if member.Address == address {
			return member.Member, true
		}
	}

	return raft.Member{}, false
}

// listMembers is the event that lists the group as this replica knows it.
type listMembers struct{ reply chan control.MembersReply }

func (l *listMembers) handle(o *owner, _ time.Time) { l.reply <- o.members() }

// members lists the group. Leader is the name of the controller that answers.
func (o *owner) members() control.MembersReply {
	reply := control.MembersReply{Leader: o.name, Founding: o.bootstrap && o.node == nil}
	if o.node == nil {
		return reply
	}

	status := o.node.Status()
	reply.Cluster, reply.Generation = uint64(status.Cluster), status.Generation

	for _, member := range status.Members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			o.logger.Warn("the address of a member is malformed", "replica", member.ID.String(), "error", err)
		}

		reply.Members = append(reply.Members, control.Member{
			Replica: uint64(member.ID), Address: address, Voter: !member.Learner, Match: member.Match,
		})
	}

	return reply
}
