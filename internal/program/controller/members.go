package controller

import (
	"net/netip"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/transport/link"
)

// changeMembers lists or changes the controller group.
type changeMembers struct {
	request control.Members
	reply   chan answer
}

// handle proposes the change. The reply is an empty answer once the change is
// in force; the members are then read from the log.
func (c *changeMembers) handle(o *owner, now time.Time) {
	if o.node == nil || o.node.Status().Role != raft.Leader {
		c.reply <- answer{err: o.redirect()}

		return
	}

	change, needed, err := o.change(c.request)
	if err != nil || !needed {
		c.reply <- answer{err: err}

		return
	}

	index, term, err := o.node.ChangeMembership(change)
	if err != nil {
		c.reply <- answer{err: o.refusal(err)}

		return
	}

	o.await(now, index, term, c.reply)
}

// change returns the next change that leads to what is asked for; needed is
// false if that is the case already.
func (o *owner) change(request control.Members) (change raft.Change, needed bool, err error) {
	member := raft.Member{ID: raft.ReplicaID(request.Member.Replica), Address: request.Member.Address.String()}
	current, listed := o.member(member.ID)

	switch request.Action {
	case control.MembersAdd:
		if listed {
			return change, false, nil
		}

		// A replica that lost its disk comes back under a new identity. The
		// former one can never answer again, so it goes first.
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

// listMembers describes the group as this replica knows it.
type listMembers struct{ reply chan control.MembersReply }

func (l *listMembers) handle(o *owner, _ time.Time) { l.reply <- o.members() }

func (o *owner) members() control.MembersReply {
	reply := control.MembersReply{Leader: o.name, Founding: o.founding && o.node == nil}
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
