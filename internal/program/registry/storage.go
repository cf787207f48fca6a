package registry

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/wal"
)

// reopen opens the data directory and continues from what it holds.
func (o *owner) reopen(now time.Time) {
	o.lastOpen = now

	if err := o.open(now); err != nil {
		o.logger.Warn("could not open the data directory", "error", err)
		o.closeStorage()
	}
}

func (o *owner) open(now time.Time) error {
	options := []wal.Option{wal.WithFiles(o.settings.Files)}
	if o.isInitialMember() {
		options = append(options, wal.WithReplica(initialReplicaID(o.self)))
	}

	log, err := wal.Open(filepath.Join(o.settings.Directory, replicaDirectory), options...)
	if err != nil {
		return err
	}

	o.log = log
	stored := log.TakeStored()

	if log.Identity().Cluster == 0 {
		if !o.isInitialMember() {
			return nil // the group adds the replica
		}

		if err := o.bootstrap(&stored); err != nil {
			return err
		}
	}

	return o.start(now, stored)
}

// closeStorage stops using the data directory. The applied state is kept.
func (o *owner) closeStorage() {
	if o.log != nil {
		if err := o.log.Close(); err != nil {
			o.logger.Debug("could not close the data directory", "error", err)
		}
	}

	o.log, o.node, o.leading = nil, nil, false
	o.failCallers(errors.New("the data directory failed"))
}

// isInitialMember reports whether the replica is an initial member of the group.
func (o *owner) isInitialMember() bool {
	return o.settings.Bootstrap && slices.Contains(o.settings.Seeds(), o.self)
}

// initialReplicaID derives the identity of an initial member from its address, so
// that all others can compute it.
func initialReplicaID(address flow.Endpoint) wal.ReplicaID {
	ip := uint64(binary.BigEndian.Uint32(address.IP[:]))

	return wal.ReplicaID(flow.Mix(ip<<16|uint64(address.Port)) | 1)
}

// bootstrap stores the state that all initial members start from. They compute it
// from the seeds, so none has to wait for another.
func (o *owner) bootstrap(stored *raft.Stored) error {
	var (
		members []raft.Member
		id      uint64
	)

	for _, seed := range o.settings.Seeds() {
		members = append(members, raft.Member{ID: initialReplicaID(seed), Address: seed.String()})
		id ^= flow.Mix(uint64(initialReplicaID(seed)))
	}

	initial := catalog.GroupConfig{Generation: firstGeneration, Preapproved: true}
	binary.BigEndian.PutUint64(initial.Cluster[:], id|1)

	state, err := catalog.New(initial)
	if err != nil {
		return err
	}

	data, err := state.Snapshot()
	if err != nil {
		return err
	}

	// The snapshot is saved before the group is joined: after a crash in between,
	// bootstrap runs again with the same snapshot.
	if stored.Snapshot.Index == 0 {
		o.listenSinceFoundation()

		stored.Snapshot = raft.Bootstrap(members, data)
		if err := o.log.SaveSnapshot(&stored.Snapshot); err != nil {
			return err
		}
	}

	o.logger.Info("bootstraps a group", "cluster", wal.ClusterID(id|1).String(), "members", len(members))

	return o.log.Join(wal.ClusterID(id|1), firstGeneration)
}

// start continues from what the data directory holds.
func (o *owner) start(now time.Time, stored raft.Stored) error {
	state := &catalog.Catalog{}

	if stored.Snapshot.Index > 0 {
		if err := state.Restore(stored.Snapshot.Data); err != nil {
			return err
		}
	}

	identity := o.log.Identity()

	node, err := raft.New(raft.Config{
		Replica: identity.Replica, Cluster: identity.Cluster, Generation: identity.Generation,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Now: now,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxProposalBytes: MaxDocumentBytes, MaxAppendBytes: maxMessageBytes, MaxChunkBytes: maxMessageBytes,
	}, stored)
	if err != nil {
		return err
	}

	o.state, o.node = state, node
	o.appliedIndex, o.snapshotIndex = stored.Snapshot.Index, stored.Snapshot.Index
	o.updateAddresses()
	o.logger.Info("continues as a replica", "replica", identity.Replica.String(),
		"snapshot", stored.Snapshot.Index, "entries", len(stored.Entries), "members", len(node.Status().Members))

	return nil
}
