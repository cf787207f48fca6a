package registry

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/wal"
)

const (
	// joinRequestInterval is how often a replica without a group asks to be added.
	joinRequestInterval = 100 * time.Millisecond

	// rejoinDelay is how long a member may be without a leader before it asks to
	// be added again: it may have been removed while it was unreachable.
	rejoinDelay = 1500 * time.Millisecond

	// replaceDelay is how long a member may be silent before it is removed. A
	// voter stays until there are enough others.
	replaceDelay = 2500 * time.Millisecond

	// membershipInterval is the minimum time between two attempts to change the
	// membership.
	membershipInterval = 50 * time.Millisecond
)

// membershipState is what a leader tracks about the members.
type membershipState struct {
	lastCheck   time.Time
	lastChange  uint64                      // index of the last change that was proposed
	silentSince map[wal.ReplicaID]time.Time // since when a member has not answered
	leavingAt   map[wal.ReplicaID]time.Time // when a member has last said that it stops
}

func newMembershipState(leavingAt map[wal.ReplicaID]time.Time) membershipState {
	return membershipState{silentSince: make(map[wal.ReplicaID]time.Time), leavingAt: leavingAt}
}

// minVoters is the number of voters that still leaves a majority after the
// largest tolerated loss of disks. No document is accepted with fewer.
func (o *owner) minVoters() int { return 2*o.settings.MaxLostDisks + 1 }

func countVoters(members []raft.MemberStatus) int {
	count := 0

	for _, member := range members {
		if !member.Learner {
			count++
		}
	}

	return count
}

// manageMembership promotes learners that have caught up, and removes members
// that were replaced. One change is in progress at a time.
func (o *owner) manageMembership(now time.Time) {
	status := o.node.Status()

	if leading := status.Role == raft.Leader; leading != o.leading {
		o.leading = leading
		o.membership = newMembershipState(o.membership.keepLeaving(now))
		o.logger.Info("leadership changed", "leads", leading, "term", status.Term, "leader", status.Leader.String())
	}

	if !o.leading || !status.CanServe || now.Sub(o.membership.lastCheck) < membershipInterval {
		return
	}

	o.membership.lastCheck = now
	o.membership.updateSilent(now, status.Members)

	if change, ok := o.nextChange(now, status); ok {
		o.proposeChange(change)
	}
}

// updateSilent records since when each unresponsive member has not answered.
func (m *membershipState) updateSilent(now time.Time, members []raft.MemberStatus) {
	silentSince := make(map[wal.ReplicaID]time.Time, len(members))

	for _, member := range members {
		since, ok := m.silentSince[member.ID]

		if member.Responsive {
			if ok {
				delete(m.leavingAt, member.ID) // it has started again
			}

			continue
		}

		if !ok {
			since = now
		}

		silentSince[member.ID] = since
	}

	m.silentSince = silentSince
}

// nextChange returns the next membership change, and false if none is due.
func (o *owner) nextChange(now time.Time, status raft.Status) (raft.Change, bool) {
	for _, member := range status.Members {
		if member.Learner && member.Responsive && member.Match > 0 && !o.membership.isLeaving(now, member.ID) {
			return raft.Change{Kind: raft.ChangePromote, Member: member.Member}, true
		}
	}

	for _, member := range status.Members {
		if member.ID != status.Replica && o.isReplaceable(now, member, status.Members) {
			return raft.Change{Kind: raft.ChangeRemove, Member: member.Member}, true
		}
	}

	return raft.Change{}, false
}

// isReplaceable reports whether a member can be removed. A voter stays until
// there are enough others, so that an accepted document never loses copies. One that
// has announced its stop is removed before it stops: it may not come back, and a voter
// that is gone still counts towards the majority.
func (o *owner) isReplaceable(now time.Time, member raft.MemberStatus, members []raft.MemberStatus) bool {
	since, silent := o.membership.silentSince[member.ID]
	leaving := o.membership.isLeaving(now, member.ID)

	if !silent && !leaving {
		return false
	}

	if member.Learner {
		return leaving || now.Sub(since) > replaceDelay
	}

	if countVoters(members) <= o.minVoters() {
		return false
	}

	if leaving {
		return true
	}

	for _, other := range members {
		// An instance runs one replica: the older one at this address has lost its disk.
		if other.ID != member.ID && other.Address == member.Address && !other.Learner && other.Responsive {
			return true
		}
	}

	return now.Sub(since) > replaceDelay
}

func (o *owner) proposeChange(change raft.Change) {
	index, _, err := o.node.ChangeMembership(change)

	var failed *raft.Error
	if errors.As(err, &failed) {
		o.logger.Debug("a membership change has to wait", "replica", change.Member.ID.String(), "error", err)

		return
	}

	o.membership.lastChange = index
	o.logger.Info("changes the membership", "kind", change.Kind, "replica", change.Member.ID.String(),
		"address", change.Member.Address)
}

func (o *owner) logMembers(index uint64) {
	status := o.node.Status()
	o.logger.Info("the membership changed", "index", index, "members", len(status.Members),
		"voters", countVoters(status.Members))
}

func (o *owner) updateAddresses() {
	if o.node == nil {
		return
	}

	current := make(map[netip.AddrPort]bool)

	for _, member := range o.node.Status().Members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			o.logger.Error("a member has no address", "replica", member.ID.String(), "error", err)

			continue
		}

		o.addresses[member.ID] = address
		current[address] = true
	}

	o.former.update(time.Now(), current)
}

// receive handles a message of another controller.
func (o *owner) receive(now time.Time, from netip.AddrPort, kind wire.Kind, body []byte) {
	var err error

	switch kind {
	case wire.KindReplicate:
		err = o.handleReplicate(from, body)
	case wire.KindJoin:
		err = o.handleJoinRequest(from, body)
	case wire.KindJoinReply:
		err = o.handleJoinReply(now, body)
	case wire.KindLeave:
		err = o.handleLeave(now, from, body)
	case wire.KindLeaveReply:
		o.finishLeave()
	}

	if err != nil {
		o.logger.Debug("dropped a message", "from", from, "kind", kind, "error", err)
	}
}

func (o *owner) handleReplicate(from netip.AddrPort, body []byte) error {
	message, err := raft.DecodeMessage(body)
	if err != nil {
		return err
	}

	if o.node == nil {
		o.addController(from)

		return nil
	}

	// A replica that lacks the log does not know the leader's address yet.
	if _, ok := o.addresses[message.From]; !ok {
		o.addresses[message.From] = from
	}

	return o.node.Receive(*message)
}

// requestJoin asks the group to add this replica if it belongs to none, or may
// have been removed.
func (o *owner) requestJoin(now time.Time) {
	if o.log == nil || o.leaveDone != nil || now.Sub(o.lastJoinRequest) < joinRequestInterval {
		return
	}

	if o.node != nil && now.Sub(o.lastLeaderSeen) < rejoinDelay {
		return
	}

	o.lastJoinRequest = now

	message, err := wire.Encode(wire.KindJoin, wire.Join{Replica: uint64(o.log.Identity().Replica)})
	if err != nil {
		o.logger.Error("could not encode a join request", "error", err)

		return
	}

	o.sendToControllers(message)
}

// sendToControllers sends a message to all controllers that this one knows.
func (o *owner) sendToControllers(message []byte) {
	for _, controller := range slices.Concat(o.settings.Seeds(), o.published.Load().controllers) {
		if controller == o.self {
			continue
		}

		if err := o.conn.Send(controller.AddrPort(), message); err != nil {
			o.logger.Debug("could not send a message", "to", controller.String(), "error", err)
		}
	}
}

// handleJoinRequest adds a replica to the group if this one leads, and tells it
// which controllers it can ask.
func (o *owner) handleJoinRequest(from netip.AddrPort, body []byte) error {
	request, err := wire.Decode[wire.Join](body)
	if err != nil || o.node == nil {
		return err
	}

	status := o.node.Status()
	reply := wire.JoinReply{Controllers: endpoints(status.Members)}

	if status.Role == raft.Leader {
		id := wal.ReplicaID(request.Replica)

		if !slices.ContainsFunc(status.Members, func(m raft.MemberStatus) bool { return m.ID == id }) {
			index, _, err := o.node.ChangeMembership(raft.Change{
				Kind: raft.ChangeAddLearner, Member: raft.Member{ID: id, Address: from.String()},
			})
			if err != nil {
				return err // the replica asks again
			}

			o.membership.lastChange = index
			delete(o.membership.leavingAt, id)
			o.logger.Info("adds a replica", "replica", id.String(), "address", from)
		}

		reply.Cluster, reply.Generation = uint64(status.Cluster), status.Generation
	}

	message, err := wire.Encode(wire.KindJoinReply, reply)
	if err != nil {
		return err
	}

	return o.conn.Send(from, message)
}

// handleJoinReply joins the group that has added this replica.
func (o *owner) handleJoinReply(now time.Time, body []byte) error {
	reply, err := wire.Decode[wire.JoinReply](body)
	if err != nil {
		return err
	}

	if o.node == nil && len(reply.Controllers) > 0 {
		current := *o.published.Load()
		current.controllers = reply.Controllers
		o.published.Store(&current)
	}

	if reply.Cluster == 0 || o.node != nil || o.log == nil {
		return nil
	}

	// A log that has failed to write refuses everything until it is opened again.
	if err := o.log.Join(wal.ClusterID(reply.Cluster), reply.Generation); err != nil {
		o.leaveGroup(now, err)

		return nil
	}

	o.logger.Info("joins a group", "cluster", wal.ClusterID(reply.Cluster).String())

	return o.start(now, raft.Stored{})
}

// transferLeadership transfers the leadership, and closes done once another
// replica leads.
func (o *owner) transferLeadership(done chan struct{}) {
	if o.node == nil || o.node.Status().Role != raft.Leader || !o.handOver(time.Now()) {
		close(done) // there is no leadership to transfer, or nobody to take it yet

		return
	}

	o.transferDone = done
}

func (o *owner) finishTransfer() {
	if o.transferDone == nil || (o.node != nil && o.node.Status().Role == raft.Leader) {
		return
	}

	close(o.transferDone)
	o.transferDone = nil
}
