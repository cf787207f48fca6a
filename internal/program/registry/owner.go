package registry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
	"jayspindle/internal/state/wal"
)

const (
	// tickInterval is the resolution of the election and heartbeat timers.
	tickInterval = 20 * time.Millisecond

	// electionTimeout is five heartbeat intervals. A leader that is frozen or
	// whose disk hangs is replaced within two election timeouts.
	electionTimeout = 400 * time.Millisecond

	heartbeatInterval = 80 * time.Millisecond

	// maxMessageBytes limits the entries and the snapshot data of one message, so
	// that a lost fragment costs little.
	maxMessageBytes = 64 << 10

	// entriesPerSnapshot is the number of entries between two snapshots. Documents
	// are a few kilobytes, so the log stays at a few megabytes.
	entriesPerSnapshot = 256

	// reopenInterval is how often opening a failed data directory is retried.
	reopenInterval = 250 * time.Millisecond

	// maxBatchEvents limits the events handled before their entries share one
	// sync.
	maxBatchEvents = 64

	firstGeneration = 1

	// replicaDirectory is a subdirectory of the data directory, so that the log
	// can create it and sync its directory entry.
	replicaDirectory = "replica"
)

// owner is the event loop that holds the replicated log. Only its own goroutine
// uses it, and may block on the disk.
type owner struct {
	*Registry

	log           *wal.Log   // nil while the data directory cannot be used
	node          *raft.Node // nil until the replica belongs to a group
	state         *catalog.Catalog
	appliedIndex  uint64
	snapshotIndex uint64
	lastOpen      time.Time // last attempt to open the data directory

	addresses       map[wal.ReplicaID]netip.AddrPort
	proposals       map[uint64]*proposal
	reads           map[uint64]chan<- outcome
	lastReadID      uint64
	membership      membershipState
	former          formerMembers
	transferDone    chan struct{}
	leaveDone       chan struct{} // not nil while the replica is leaving the group
	lastLeave       time.Time     // last message that it is leaving
	leading         bool
	lastJoinRequest time.Time // last request to be added to the group
	lastLeaderSeen  time.Time // last time that a leader was known
}

func newOwner(r *Registry) *owner {
	return &owner{
		Registry: r, state: &catalog.Catalog{},
		addresses: make(map[wal.ReplicaID]netip.AddrPort),
		proposals: make(map[uint64]*proposal), reads: make(map[uint64]chan<- outcome),
		membership: newMembershipState(make(map[wal.ReplicaID]time.Time)), lastLeaderSeen: time.Now(),
		former: newFormerMembers(),
	}
}

// run handles events until ctx ends.
func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()

	o.reopen(time.Now())

	for {
		select {
		case next := <-o.events:
			o.handleBatch(time.Now(), next)
		case <-ticker.C:
			o.tick(time.Now())
		case <-ctx.Done():
			if o.log != nil {
				if err := o.log.Close(); err != nil {
					o.logger.Warn("could not close the data directory", "error", err)
				}
			}

			return
		}

		o.process(time.Now())
	}
}

// handleBatch handles the waiting events, so that their entries share one sync.
func (o *owner) handleBatch(now time.Time, first event) {
	first(o, now)

	for range maxBatchEvents {
		select {
		case next := <-o.events:
			next(o, now)
		default:
			return
		}
	}
}

func (o *owner) tick(now time.Time) {
	if o.log == nil && now.Sub(o.lastOpen) >= reopenInterval {
		o.reopen(now)
	}

	if o.node != nil {
		o.node.Tick(now)
	}

	o.requestJoin(now)
	o.remindFormer(now)
	o.requestLeave(now)
	o.finishTransfer()
	o.expireProposals(now)
}

// process carries out what the Raft node asks for and publishes the result.
func (o *owner) process(now time.Time) {
	if o.node != nil {
		err := o.handleReady()
		if err == nil {
			o.manageMembership(now)

			err = o.handleReady()
		}

		if err == nil {
			err = o.takeSnapshot()
		}

		if err != nil {
			o.leaveGroup(now, err)
		}
	}

	o.publish(time.Now())
}

// leaveGroup closes the data directory after a failed write, until tick opens it again. A
// replica whose disk refuses writes must stop answering, so that another one takes the
// lead.
func (o *owner) leaveGroup(now time.Time, cause error) {
	o.logger.Error("left the group until the data directory can be written", "error", cause)
	o.closeStorage()

	o.lastOpen = now
}

// handleReady saves, sends and applies what the Raft node returns, in the order
// that Raft requires, until nothing is left.
func (o *owner) handleReady() error {
	for ready, ok := o.node.Ready(); ok; ready, ok = o.node.Ready() {
		if err := o.save(ready); err != nil {
			return err
		}

		for i := range ready.Messages {
			o.send(&ready.Messages[i])
		}

		o.apply(ready.Committed)
		o.answerReads(ready.Reads)
		o.node.Advance(ready)
	}

	return nil
}

func (o *owner) save(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := o.log.SaveSnapshot(ready.Snapshot); err != nil {
			return err
		}

		if err := o.state.Restore(ready.Snapshot.Data); err != nil {
			return err
		}

		o.appliedIndex, o.snapshotIndex = ready.Snapshot.Index, ready.Snapshot.Index
		o.updateAddresses()
		o.failCallers(errors.New("a snapshot replaced the entry"))
	}

	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}

	return o.log.Save(ready.HardState, ready.Entries)
}

func (o *owner) send(message *raft.Message) {
	address, ok := o.addresses[message.To]
	if !ok {
		return
	}

	encoded, err := raft.EncodeMessage(message)
	if err == nil {
		err = o.conn.Send(address, append([]byte{byte(wire.KindReplicate)}, encoded...))
	}

	if err != nil {
		o.logger.Debug("could not send a message", "to", address, "error", err)
	}
}

// apply applies committed entries and answers the callers that wait for them.
func (o *owner) apply(entries []raft.Entry) {
	for _, entry := range entries {
		o.appliedIndex = entry.Index

		var result catalog.Result

		switch entry.Kind {
		case wal.EntryCommand:
			result = o.state.Apply(entry.Index, entry.Data)
		case wal.EntryMembership:
			o.updateAddresses()
			o.logMembers(entry.Index)
		}

		waiting, ok := o.proposals[entry.Index]
		if !ok {
			continue
		}

		delete(o.proposals, entry.Index)
		waiting.complete(entry.Term, result)
	}
}

// takeSnapshot takes a snapshot once enough entries have been applied.
func (o *owner) takeSnapshot() error {
	if o.appliedIndex-o.snapshotIndex < entriesPerSnapshot {
		return nil
	}

	data, err := o.state.Snapshot()
	if err != nil {
		return err
	}

	snapshot, err := o.node.Compact(o.appliedIndex, data)
	if err != nil {
		return err
	}

	if err := o.log.SaveSnapshot(snapshot); err != nil {
		return err
	}

	o.snapshotIndex = o.appliedIndex

	return o.log.Compact()
}

// publish shares the current state with the other goroutines.
func (o *owner) publish(now time.Time) {
	before := o.published.Load()
	current := &publishedState{
		publishedAt: now, version: before.version, encoded: before.encoded, controllers: before.controllers,
	}

	if o.node != nil {
		status := o.node.Status()
		current.hasLeader = status.Leader != 0
		current.controllers = endpoints(status.Members)
		current.voters = countVoters(status.Members)

		if current.hasLeader {
			o.lastLeaderSeen = now
		}
	}

	version, document := o.state.Approved()
	if version > before.version {
		if err := o.encodeDocument(current, version, document); err != nil {
			o.logger.Error("cannot publish a document", "version", version, "error", err)
		}
	}

	o.published.Store(current)

	if current.version > before.version {
		o.logger.Info("a document is in force", "version", current.version, "before", before.version)
		o.notifyDocument(now)
	}
}

// encodeDocument adds the document in force to the published state.
func (o *owner) encodeDocument(current *publishedState, version uint64, compressed []byte) error {
	document, err := route.Decompress(compressed)
	if err != nil {
		return err
	}

	decoded, err := o.decodeDocument(document)
	if err != nil {
		return err
	}

	encoded, err := decoded.Encode()
	if err != nil {
		return err
	}

	current.version, current.encoded = version, encoded

	return nil
}

func endpoints(members []raft.MemberStatus) []flow.Endpoint {
	found := make([]flow.Endpoint, 0, len(members))

	for _, member := range members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			continue // checked when the member was added
		}

		if endpoint, ok := flow.NewEndpoint(address); ok {
			found = append(found, endpoint)
		}
	}

	return found
}
