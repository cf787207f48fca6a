package registry

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/wal"
)

const (
	// leaveInterval is how often a replica that stops repeats that it does.
	leaveInterval = 50 * time.Millisecond

	// leaveMemory is how long after its last message a replica counts as stopping when the
	// leadership changes: three of them may be lost.
	leaveMemory = 4 * leaveInterval
)

// isLeaving reports whether a member has announced that it stops. Later its silence
// tells whether it has started again.
func (m *membershipState) isLeaving(now time.Time, id wal.ReplicaID) bool {
	at, ok := m.leavingAt[id]

	return ok && now.Sub(at) <= replaceDelay
}

// keepLeaving returns the members that are still announcing their stop, after this replica
// became the leader or no longer is. The others have stopped, and may have started again.
func (m *membershipState) keepLeaving(now time.Time) map[wal.ReplicaID]time.Time {
	leaving := maps.Clone(m.leavingAt)
	maps.DeleteFunc(leaving, func(_ wal.ReplicaID, at time.Time) bool { return now.Sub(at) > leaveMemory })

	return leaving
}

// leave tells the group that this replica stops, and closes done once the group can do
// without it.
func (o *owner) leave(done chan struct{}) {
	o.leaveDone = done
	o.requestLeave(time.Now())
}

// requestLeave repeats that this replica stops until the leader has answered. Only the
// leader tells whether the group can spare it: this replica may not know of all members
// yet. If it is elected meanwhile, it hands the leadership over first, because it would
// count towards the majority after it is gone.
func (o *owner) requestLeave(now time.Time) {
	if o.leaveDone == nil || now.Sub(o.lastLeave) < leaveInterval {
		return
	}

	o.lastLeave = now

	if o.node == nil {
		o.finishLeave()

		return
	}

	status := o.node.Status()
	if status.Role == raft.Leader {
		if countVoters(status.Members) == 1 {
			o.finishLeave()
		} else {
			o.handOver(now)
		}

		return
	}

	message, err := wire.Encode(wire.KindLeave, wire.Leave{Replica: uint64(status.Replica)})
	if err != nil {
		o.logger.Error("could not encode a leave request", "error", err)
		o.finishLeave()

		return
	}

	o.sendToControllers(message)
}

// handOver transfers the leadership to the responsive voter with the most complete log that
// does not stop as well. It reports whether a transfer is in progress.
func (o *owner) handOver(now time.Time) bool {
	status := o.node.Status()
	if status.TransferTarget != 0 {
		return true
	}

	successor := raft.MemberStatus{}

	for _, member := range status.Members {
		if member.ID == status.Replica || member.Learner || !member.Responsive || o.membership.isLeaving(now, member.ID) {
			continue
		}

		if successor.ID == 0 || member.Match > successor.Match {
			successor = member
		}
	}

	if err := o.node.TransferLeadership(successor.ID); err != nil {
		o.logger.Debug("cannot hand over the leadership yet", "error", err)

		return false
	}

	o.logger.Info("hands over the leadership", "successor", successor.ID.String(), "leaves", o.leaveDone != nil)

	return true
}

// handleLeave answers a replica that stops if this one leads and the other has been
// removed, or cannot be removed because there are not enough other voters.
func (o *owner) handleLeave(now time.Time, from netip.AddrPort, body []byte) error {
	request, err := wire.Decode[wire.Leave](body)
	if err != nil || o.node == nil {
		return err
	}

	status := o.node.Status()
	id, voters := wal.ReplicaID(request.Replica), countVoters(status.Members)
	isMember := slices.ContainsFunc(status.Members, func(m raft.MemberStatus) bool { return m.ID == id })

	if isMember {
		if !o.membership.isLeaving(now, id) {
			o.logger.Info("a member announced that it stops", "replica", id.String(), "address", from, "voters", voters)
		}

		// Recorded by followers too: one that is elected hands over to none that stops.
		o.membership.leavingAt[id] = now
	}

	switch {
	case !status.CanServe:
		return nil
	case isMember && voters > o.minVoters():
		return nil // it is removed first
	case !isMember && o.appliedIndex < o.membership.lastChange:
		return nil // the removal is not committed
	}

	return o.conn.Send(from, []byte{byte(wire.KindLeaveReply)})
}

func (o *owner) finishLeave() {
	if o.leaveDone == nil {
		return
	}

	close(o.leaveDone)
	o.leaveDone = nil
}
