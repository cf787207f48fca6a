package registry

import (
	"net/netip"
	"slices"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
)

// formerMembers holds the addresses at which members of the group were removed. A controller
// that has lost its disk may start there again with seeds that no longer exist, so that it
// cannot ask to be added. As knownInstances does for instances, the leader tells it for a
// while whom it can ask. Members that were not removed hear their leader anyway.
type formerMembers struct {
	current      map[netip.AddrPort]bool
	removedAt    map[netip.AddrPort]time.Time
	lastReminder time.Time
}

func newFormerMembers() formerMembers {
	return formerMembers{removedAt: make(map[netip.AddrPort]time.Time)}
}

// update records the addresses of the current members.
func (f *formerMembers) update(now time.Time, current map[netip.AddrPort]bool) {
	for address := range f.current {
		if !current[address] {
			f.removedAt[address] = now
		}
	}

	for address := range current {
		delete(f.removedAt, address)
	}

	f.current = current
}

// due returns the addresses to remind now.
func (f *formerMembers) due(now time.Time) []netip.AddrPort {
	if now.Sub(f.lastReminder) < notifyInterval {
		return nil
	}

	f.lastReminder = now

	var found []netip.AddrPort

	for address, removedAt := range f.removedAt {
		if now.Sub(removedAt) > knownInstanceTTL {
			delete(f.removedAt, address)

			continue
		}

		found = append(found, address)
	}

	return found
}

// remindFormer tells former members which controllers they can ask to be added, if this
// replica leads.
func (o *owner) remindFormer(now time.Time) {
	if o.node == nil || o.node.Status().Role != raft.Leader {
		return
	}

	for _, address := range o.former.due(now) {
		message, err := wire.Encode(wire.KindJoinReply, wire.JoinReply{Controllers: endpoints(o.node.Status().Members)})
		if err == nil {
			err = o.conn.Send(address, message)
		}

		if err != nil {
			o.logger.Debug("could not remind a former member", "to", address, "error", err)
		}
	}
}

// addController records a controller whose message has reached this replica, which belongs to
// no group: its leader goes on sending heartbeats to the replica that was lost here.
func (o *owner) addController(from netip.AddrPort) {
	controller, ok := flow.NewEndpoint(from)
	current := *o.published.Load()

	if !ok || len(current.controllers) >= raft.MaxMembers || slices.Contains(current.controllers, controller) {
		return
	}

	o.logger.Info("heard of a group", "controller", controller.String())

	current.controllers = append(slices.Clone(current.controllers), controller)
	o.published.Store(&current)
}
