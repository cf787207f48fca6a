package registry

import (
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/wal"
)

// leaveInterval is how often a replica that stops repeats that it does.
const leaveInterval = 50 * time.Millisecond

// isLeaving reports whether a member has announced that it stops. Later its silence
// tells whether it has started again.
func (m *membershipState) isLeaving(now time.Time, id wal.ReplicaID) bool {
	at, ok := m.leavingAt[id]

	return ok && now.Sub(at) <= replaceDelay
}

// leave tells the group that this replica stops, and closes done once the group can do
// without it.
func (o *owner) leave(done chan struct{}) {
	o.leaveDone = done
	o.requestLeave(time.Now())
}

// requestLeave repeats that this replica stops until the leader has answered. If the group
// cannot spare it, the replica remains a member and stops at once.
func (o *owner) requestLeave(now time.Time) {
	if o.leaveDone == nil || now.Sub(o.lastLeave) < leaveInterval {
		return
	}

	if o.node == nil || o.log == nil || o.node.Status().Role == raft.Leader {
		o.finishLeave()

		return
	}

	o.lastLeave = now

	message, err := wire.Encode(wire.KindLeave, wire.Leave{Replica: uint64(o.log.Identity().Replica)})
	if err != nil {
		o.logger.Error("could not encode a leave request", "error", err)
		o.finishLeave()

		return
	}

	o.sendToControllers(message)

	if countVoters(o.node.Status().Members) <= o.minVoters() {
		o.finishLeave()
	}
}

// handleLeave answers a replica that stops if this one leads and the other has been
// removed, or cannot be removed because there are not enough other voters.
func (o *owner) handleLeave(now time.Time, from netip.AddrPort, body []byte) error {
	request, err := wire.Decode[wire.Leave](body)
	if err != nil || o.node == nil {
		return err
	}

	status := o.node.Status()
	if !status.CanServe {
		return nil
	}

	id, voters := wal.ReplicaID(request.Replica), countVoters(status.Members)

	if slices.ContainsFunc(status.Members, func(m raft.MemberStatus) bool { return m.ID == id }) {
		if !o.membership.isLeaving(now, id) {
			o.logger.Info("a member announced that it stops", "replica", id.String(), "address", from, "voters", voters)
		}

		o.membership.leavingAt[id] = now

		if voters > o.minVoters() {
			return nil // it is removed first
		}
	} else if o.appliedIndex < o.membership.lastChange {
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
