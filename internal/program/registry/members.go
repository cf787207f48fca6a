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
	// enterInterval is how often a replica without a group asks to be added.
	enterInterval = 100 * time.Millisecond

	// lonelyAfter is how long a member may be without a leader before it asks
	// to be added again: it may have been removed while it was away.
	lonelyAfter = 1500 * time.Millisecond

	// replaceAfter is how long a voter may be silent before a newcomer takes
	// its place.
	replaceAfter = 2500 * time.Millisecond

	// dutyInterval bounds how often membership changes are tried.
	dutyInterval = 50 * time.Millisecond
)

// duties is what a leader remembers of the members.
type duties struct {
	last   time.Time
	silent map[wal.ReplicaID]time.Time // since when a member has not answered
}

func newDuties() duties { return duties{silent: make(map[wal.ReplicaID]time.Time)} }

// minVoters is the number of voters from which the loss of as many disks as may
// be lost at once leaves a majority. Nothing is acknowledged before.
func (o *owner) minVoters() int { return 2*o.settings.Losses + 1 }

func voters(members []raft.MemberStatus) int {
	count := 0

	for _, member := range members {
		if !member.Learner {
			count++
		}
	}

	return count
}

// lead changes the membership: learners that have caught up become voters, and
// members that were replaced leave. One change is in progress at a time.
func (o *owner) lead(now time.Time) {
	status := o.node.Status()

	if leading := status.Role == raft.Leader; leading != o.leading {
		o.leading = leading
		o.duties = newDuties()
		o.logger.Info("leadership changed", "leads", leading, "term", status.Term, "leader", status.Leader.String())
	}

	if !o.leading || !status.Ready || now.Sub(o.duties.last) < dutyInterval {
		return
	}

	o.duties.last = now
	o.duties.hear(now, status.Members)

	if change, ok := o.nextChange(now, status); ok {
		o.change(change)
	}
}

// hear notes which members answer.
func (d *duties) hear(now time.Time, members []raft.MemberStatus) {
	known := make(map[wal.ReplicaID]time.Time, len(members))

	for _, member := range members {
		if member.Responsive {
			continue
		}

		since, ok := d.silent[member.ID]
		if !ok {
			since = now
		}

		known[member.ID] = since
	}

	d.silent = known
}

// nextChange returns the next membership change, and false if none is due.
func (o *owner) nextChange(now time.Time, status raft.Status) (raft.Change, bool) {
	for _, member := range status.Members {
		if member.Learner && member.Responsive && member.Match > 0 {
			return raft.Change{Kind: raft.ChangePromote, Member: member.Member}, true
		}
	}

	for _, member := range status.Members {
		if member.ID != status.Replica && o.replaced(now, member, status.Members) {
			return raft.Change{Kind: raft.ChangeRemove, Member: member.Member}, true
		}
	}

	return raft.Change{}, false
}

// replaced reports whether a member has left for good. A voter stays until
// there are enough others, so that an acknowledged document never loses copies.
func (o *owner) replaced(now time.Time, member raft.MemberStatus, members []raft.MemberStatus) bool {
	since, silent := o.duties.silent[member.ID]
	if !silent {
		return false
	}

	if member.Learner {
		return now.Sub(since) > replaceAfter
	}

	if voters(members) <= o.minVoters() {
		return false
	}

	for _, other := range members {
		// An instance has one replica: the older one has lost its disk.
		if other.ID != member.ID && other.Address == member.Address && !other.Learner && other.Responsive {
			return true
		}
	}

	return now.Sub(since) > replaceAfter
}

func (o *owner) change(change raft.Change) {
	_, _, err := o.node.ChangeMembership(change)

	var failed *raft.Error
	if errors.As(err, &failed) {
		o.logger.Debug("a membership change has to wait", "replica", change.Member.ID.String(), "error", err)

		return
	}

	o.logger.Info("changes the membership", "kind", change.Kind, "replica", change.Member.ID.String(),
		"address", change.Member.Address)
}

func (o *owner) logMembers(index uint64) {
	status := o.node.Status()
	o.logger.Info("the membership changed", "index", index, "members", len(status.Members),
		"voters", voters(status.Members))
}

func (o *owner) learnAddresses() {
	if o.node == nil {
		return
	}

	for _, member := range o.node.Status().Members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			o.logger.Error("a member has no address", "replica", member.ID.String(), "error", err)

			continue
		}

		o.addresses[member.ID] = address
	}
}

// receive handles a message of another controller.
func (o *owner) receive(now time.Time, from netip.AddrPort, kind wire.Kind, body []byte) {
	var err error

	switch kind {
	case wire.KindReplicate:
		err = o.replicate(from, body)
	case wire.KindEnter:
		err = o.admit(from, body)
	case wire.KindEnterReply:
		err = o.admitted(now, body)
	}

	if err != nil {
		o.logger.Debug("dropped a message", "from", from, "kind", kind, "error", err)
	}
}

func (o *owner) replicate(from netip.AddrPort, body []byte) error {
	message, err := raft.DecodeMessage(body)
	if err != nil {
		return err
	}

	if o.node == nil {
		return nil
	}

	// A replica that lacks the log does not know the leader's address yet.
	if _, ok := o.addresses[message.From]; !ok {
		o.addresses[message.From] = from
	}

	return o.node.Receive(*message)
}

// enter asks the group to add this replica if it has none, or may have been
// removed.
func (o *owner) enter(now time.Time) {
	if o.log == nil || now.Sub(o.entered) < enterInterval {
		return
	}

	if o.node != nil && now.Sub(o.led) < lonelyAfter {
		return
	}

	o.entered = now

	message, err := wire.Encode(wire.KindEnter, wire.Enter{Replica: uint64(o.log.Identity().Replica)})
	if err != nil {
		o.logger.Error("cannot ask to be added", "error", err)

		return
	}

	for _, controller := range append(o.settings.Seeds(), o.published.Load().controllers...) {
		if controller == o.self {
			continue
		}

		if err := o.inner.Send(controller.AddrPort(), message); err != nil {
			o.logger.Debug("a message did not leave", "to", controller.String(), "error", err)
		}
	}
}

// admit adds a replica to the group, or tells it who else to ask.
func (o *owner) admit(from netip.AddrPort, body []byte) error {
	enter, err := wire.Decode[wire.Enter](body)
	if err != nil || o.node == nil {
		return err
	}

	status := o.node.Status()
	reply := wire.EnterReply{Controllers: endpoints(status.Members)}

	if status.Role == raft.Leader {
		id := wal.ReplicaID(enter.Replica)

		if !slices.ContainsFunc(status.Members, func(m raft.MemberStatus) bool { return m.ID == id }) {
			if _, _, err := o.node.ChangeMembership(raft.Change{
				Kind: raft.ChangeAddLearner, Member: raft.Member{ID: id, Address: from.String()},
			}); err != nil {
				return err // the replica asks again
			}

			o.logger.Info("adds a replica", "replica", id.String(), "address", from)
		}

		reply.Cluster, reply.Generation = uint64(status.Cluster), status.Generation
	}

	message, err := wire.Encode(wire.KindEnterReply, reply)
	if err != nil {
		return err
	}

	return o.inner.Send(from, message)
}

// admitted joins the group that has added this replica.
func (o *owner) admitted(now time.Time, body []byte) error {
	reply, err := wire.Decode[wire.EnterReply](body)
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

	if err := o.log.Join(wal.ClusterID(reply.Cluster), reply.Generation); err != nil {
		return err
	}

	o.logger.Info("joins a group", "cluster", wal.ClusterID(reply.Cluster).String())

	return o.start(now, raft.Stored{})
}

// handOver transfers the leadership, and closes done once it has moved.
func (o *owner) handOver(_ time.Time, done chan struct{}) {
	if o.node == nil || o.node.TransferLeadership(0) != nil {
		close(done) // nothing to hand over

		return
	}

	o.handing = done
}

func (o *owner) finishHandOver() {
	if o.handing == nil || (o.node != nil && o.node.Status().Role == raft.Leader) {
		return
	}

	close(o.handing)
	o.handing = nil
}
