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
	// joinRetryInterval is the time between two attempts to create or join a group.
	joinRetryInterval = 250 * time.Millisecond

	// peerCallTimeout limits one call to another controller.
	peerCallTimeout = 3 * time.Second

	// firstGeneration is the generation of a new group, until it is re-formed.
	firstGeneration = 1
)

// bootstrapOrJoin makes a new replica a member of a group, which it creates or
// joins, and gets a learner promoted to a voter.
func (c *Controller) bootstrapOrJoin(ctx context.Context, owner *owner, fail context.CancelCauseFunc) {
	if owner.bootstrap && c.initialIdentity.Cluster == 0 {
		if err := c.checkBootstrap(ctx); err != nil {
			fail(err)

			return
		}

		c.postEvent(ctx, &createGroup{settings: c.settings})

		return
	}

	c.join(ctx)
}

// checkBootstrap waits until every peer has answered that it belongs to no group.
// It returns an error if a peer belongs to one, because this replica has then
// lost its disk, or if a peer has bootstrap set too.
func (c *Controller) checkBootstrap(ctx context.Context) error {
	peers, err := c.settings.peers()
	if err != nil {
		return err
	}

	for _, peer := range peers {
		for {
			reply, err := c.queryPeer(ctx, peer)
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}

			if err != nil {
				c.logger.Info("waiting for a peer before creating the group", "peer", peer.String(), "error", err)
				sleep(ctx, joinRetryInterval)

				continue
			}

			if reply.Cluster != 0 {
				return newError("create group", KindGroup, errors.Errorf(
					"peer %s belongs to group %016x: start without bootstrap to join it", peer, reply.Cluster))
			}

			if reply.Founding {
				return newError("create group", KindGroup, errors.Errorf(
					"peer %s has bootstrap set too: set it on exactly one controller", peer))
			}

			break
		}
	}

	return nil
}

func (c *Controller) queryPeer(ctx context.Context, peer netip.AddrPort) (control.MembersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()

	client := c.network.dial(peer)
	defer client.Close()

	var reply control.MembersReply

	err := client.Call(ctx, control.MethodMembers, control.Members{Action: control.MembersLocal}, &reply)

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
		Replica: uint64(c.initialIdentity.Replica), Name: c.settings.Name, Address: c.server.Address(),
	}
	isMember := c.initialIdentity.Cluster != 0

	for ; ctx.Err() == nil; sleep(ctx, joinRetryInterval) {
		action := control.MembersList
		if !isMember {
			action = control.MembersAdd
		}

		reply, err := c.callMembers(ctx, client.Call, control.Members{Action: action, Member: self})
		if err != nil {
			c.logger.Info("membership call failed, retrying", "error", err)

			continue
		}

		if !isMember {
			isMember = true

			c.postEvent(ctx, &joinGroup{cluster: wal.ClusterID(reply.Cluster), generation: reply.Generation})
		}

		listed, voter := findMember(reply, self.Replica)
		if voter || !listed {
			c.logger.Info("no further membership change is needed", "voter", voter)

			return
		}

		// The group refuses the promotion until the learner has caught up.
		if _, err := c.callMembers(ctx, client.Call, control.Members{
			Action: control.MembersPromote, Member: self,
		}); err != nil {
			c.logger.Debug("this replica is not promoted yet, retrying", "error", err)
		}
	}
}

type callFunc func(ctx context.Context, method string, request, reply any) error

func (c *Controller) callMembers(
	ctx context.Context, call callFunc, request control.Members,
) (control.MembersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()

	var reply control.MembersReply

	err := call(ctx, control.MethodMembers, request, &reply)

	return reply, err
}

func findMember(reply control.MembersReply, replica uint64) (listed, voter bool) {
	for _, member := range reply.Members {
		if member.Replica == replica {
			return true, member.Voter
		}
	}

	return false, false
}

// postEvent sends an event to the owner. It waits while the channel of events is full.
func (c *Controller) postEvent(ctx context.Context, next event) {
	select {
	case c.events <- next:
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

// createGroup is the event that creates a group with this replica as its only
// voter.
type createGroup struct{ settings Settings }

func (c *createGroup) handle(o *owner, now time.Time) {
	if err := c.create(o, now); err != nil {
		o.fatalErr = err
	}
}

func (c *createGroup) create(o *owner, now time.Time) error {
	owners, err := c.settings.initialOwners()
	if err != nil {
		return err
	}

	// The snapshot is saved before the group identity. After a crash in between,
	// the replica belongs to no group and continues with the same snapshot.
	stored := o.log.TakeStored()
	if stored.Snapshot.Index == 0 {
		if stored.Snapshot, err = c.createSnapshot(o, owners); err != nil {
			return err
		}
	}

	state := &catalog.Catalog{}
	if err := state.Restore(stored.Snapshot.Data); err != nil {
		return newError("create group", KindStorage, err)
	}

	id := state.Cluster()
	cluster := wal.ClusterID(binary.BigEndian.Uint64(id[:]))

	if err := o.log.Join(cluster, firstGeneration); err != nil {
		return newError("create group", KindStorage, err)
	}

	o.logger.Info("created a controller group", "cluster", cluster.String())

	return o.start(now, stored)
}

// createSnapshot saves and returns the initial snapshot of a new group.
func (c *createGroup) createSnapshot(o *owner, owners [2]catalog.Owner) (raft.Snapshot, error) {
	initial := catalog.GroupConfig{Generation: firstGeneration, Owners: owners}
	rand.Read(initial.Cluster[:])

	state, err := catalog.New(initial)
	if err != nil {
		return raft.Snapshot{}, newError("create group", KindSettings, err)
	}

	data, err := state.Snapshot()
	if err != nil {
		return raft.Snapshot{}, newError("create group", KindLog, err)
	}

	self := raft.Member{ID: o.log.Identity().Replica, Address: o.address.String()}
	snapshot := raft.Bootstrap([]raft.Member{self}, data)

	if err := o.log.SaveSnapshot(&snapshot); err != nil {
		return raft.Snapshot{}, newError("create group", KindStorage, err)
	}

	return snapshot, nil
}

// joinGroup is the event that stores the identity of the group that has added
// this replica, and starts the log.
type joinGroup struct {
	cluster    wal.ClusterID
	generation uint64
}

func (j *joinGroup) handle(o *owner, now time.Time) {
	if o.node != nil {
		return
	}

	if err := o.log.Join(j.cluster, j.generation); err != nil {
		o.fatalErr = newError("join", KindStorage, err)

		return
	}

	o.logger.Info("joined a controller group", "cluster", j.cluster.String())
	o.fatalErr = o.start(now, o.log.TakeStored())
}
