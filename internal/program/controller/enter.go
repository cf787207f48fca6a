package controller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/wal"
)

const (
	// enterInterval is the time between two attempts to found or join.
	enterInterval = 250 * time.Millisecond

	// enterTimeout bounds one question to another controller.
	enterTimeout = 3 * time.Second

	// firstGeneration is the generation of a group that was never re-formed.
	firstGeneration = 1
)

// enter makes a new replica a member of a group, and a learner a voter.
func (c *Controller) enter(ctx context.Context, owner *owner, fail context.CancelCauseFunc) {
	if owner.founding && c.origin.Cluster == 0 {
		if err := c.mayFound(ctx); err != nil {
			fail(err)

			return
		}

		c.tell(ctx, &found{settings: c.settings})

		return
	}

	c.join(ctx)
}

// mayFound waits until every peer has answered that it belongs to no group.
// It returns an error if one of them does: this replica then has lost its disk
// or a second one has bootstrap set.
func (c *Controller) mayFound(ctx context.Context) error {
	peers, err := c.settings.peers()
	if err != nil {
		return err
	}

	for _, peer := range peers {
		for {
			reply, err := c.ask(ctx, peer)
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}

			if err != nil {
				c.logger.Info("founding waits for a peer", "peer", peer.String(), "error", err)
				sleep(ctx, enterInterval)

				continue
			}

			if reply.Cluster != 0 {
				return newError("found", KindGroup, errors.Errorf(
					"peer %s belongs to group %016x: start without bootstrap to join it", peer, reply.Cluster))
			}

			if reply.Founding {
				return newError("found", KindGroup, errors.Errorf(
					"peer %s has bootstrap set too: exactly one controller founds a group", peer))
			}

			break
		}
	}

	return nil
}

func (c *Controller) ask(ctx context.Context, peer netip.AddrPort) (control.MembersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()

	client := c.network.dial(peer)
	defer client.Close()

	var reply control.MembersReply

	err := client.Call(ctx, control.MethodMembers, control.Members{Action: control.MembersHere}, &reply)

	return reply, err
}

// join asks the group to add this replica as a learner and to promote it.
func (c *Controller) join(ctx context.Context) {
	peers, err := c.settings.peers()
	if err != nil || len(peers) == 0 {
		return
	}

	client := c.network.dial(peers...)
	defer client.Close()

	self := control.Member{
		Replica: uint64(c.origin.Replica), Name: c.settings.Name, Address: c.server.Address(),
	}
	belongs := c.origin.Cluster != 0

	for ; ctx.Err() == nil; sleep(ctx, enterInterval) {
		action := control.MembersList
		if !belongs {
			action = control.MembersAdd
		}

		reply, err := c.members(ctx, client.Call, control.Members{Action: action, Member: self})
		if err != nil {
			c.logger.Info("joining waits for the group", "error", err)

			continue
		}

		if !belongs {
			belongs = true

			c.tell(ctx, &joined{cluster: wal.ClusterID(reply.Cluster), generation: reply.Generation})
		}

		listed, voter := membership(reply, self.Replica)
		if voter || !listed {
			c.logger.Info("membership is settled", "voter", voter)

			return
		}

		// The group refuses until the learner has caught up.
		if _, err := c.members(ctx, client.Call, control.Members{Action: control.MembersPromote, Member: self}); err != nil {
			c.logger.Debug("the promotion is not possible yet", "error", err)
		}
	}
}

type caller func(ctx context.Context, method string, request, reply any) error

func (c *Controller) members(ctx context.Context, call caller, request control.Members) (control.MembersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()

	var reply control.MembersReply

	err := call(ctx, control.MethodMembers, request, &reply)

	return reply, err
}

func membership(reply control.MembersReply, replica uint64) (listed, voter bool) {
	for _, member := range reply.Members {
		if member.Replica == replica {
			return true, member.Voter
		}
	}

	return false, false
}

// tell sends an event to the owner.
func (c *Controller) tell(ctx context.Context, next event) {
	select {
	case c.inbox <- next:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// found creates a group with this replica as its only voter.
type found struct{ settings Settings }

func (f *found) handle(o *owner, now time.Time) {
	if err := f.found(o, now); err != nil {
		o.failure = err
	}
}

func (f *found) found(o *owner, now time.Time) error {
	owners, err := f.settings.founders()
	if err != nil {
		return err
	}

	// The snapshot is saved before the group: a crash in between leaves a
	// replica without a group, which goes on with the same snapshot.
	stored := o.log.Stored()
	if stored.Snapshot.Index == 0 {
		if stored.Snapshot, err = f.first(o, owners); err != nil {
			return err
		}
	}

	state := &catalog.Catalog{}
	if err := state.Restore(stored.Snapshot.Data); err != nil {
		return newError("found", KindStorage, err)
	}

	id := state.Cluster()
	cluster := wal.ClusterID(binary.BigEndian.Uint64(id[:]))

	if err := o.log.Join(cluster, firstGeneration); err != nil {
		return newError("found", KindStorage, err)
	}

	o.logger.Info("founded a controller group", "cluster", cluster.String())

	return o.start(now, stored)
}

// first saves and returns the snapshot that a new group starts from.
func (f *found) first(o *owner, owners [2]catalog.Owner) (raft.Snapshot, error) {
	founding := catalog.Founding{Generation: firstGeneration, Owners: owners}
	rand.Read(founding.Cluster[:])

	state, err := catalog.New(founding)
	if err != nil {
		return raft.Snapshot{}, newError("found", KindSettings, err)
	}

	data, err := state.Snapshot()
	if err != nil {
		return raft.Snapshot{}, newError("found", KindLog, err)
	}

	self := raft.Member{ID: o.log.Identity().Replica, Address: o.address.String()}
	snapshot := raft.Bootstrap([]raft.Member{self}, data)

	if err := o.log.SaveSnapshot(&snapshot); err != nil {
		return raft.Snapshot{}, newError("found", KindStorage, err)
	}

	return snapshot, nil
}

// joined makes this replica a member of the group that has added it.
type joined struct {
	cluster    wal.ClusterID
	generation uint64
}

func (j *joined) handle(o *owner, now time.Time) {
	if o.node != nil {
		return
	}

	if err := o.log.Join(j.cluster, j.generation); err != nil {
		o.failure = newError("join", KindStorage, err)

		return
	}

	o.logger.Info("joined a controller group", "cluster", j.cluster.String())
	o.failure = o.start(now, o.log.Stored())
}
