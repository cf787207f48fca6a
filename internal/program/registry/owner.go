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
	// tickInterval drives elections and heartbeats.
	tickInterval = 20 * time.Millisecond

	// electionTimeout is five heartbeats. A leader that is frozen or whose disk
	// hangs is replaced within two of it.
	electionTimeout = 400 * time.Millisecond

	heartbeatInterval = 80 * time.Millisecond

	// maxMessage bounds the entries and the snapshot data of one message, so
	// that a lost fragment costs little.
	maxMessage = 64 << 10

	// captureEvery is the number of entries between two snapshots. Documents
	// are a few kilobytes, so the log stays at a few megabytes.
	captureEvery = 256

	// reopenInterval is how often a data directory that failed is tried again.
	reopenInterval = 250 * time.Millisecond

	// maxBatch bounds the events handled before their entries share one sync.
	maxBatch = 64

	firstGeneration = 1

	// replicaDirectory is below the data directory, so that the log can create
	// it, and sync its name.
	replicaDirectory = "replica"
)

// owner holds the replicated log. Only its goroutine uses it, and it may wait
// for the disk.
type owner struct {
	*Registry

	log      *wal.Log   // nil while the data directory cannot be used
	node     *raft.Node // nil until the replica belongs to a group
	state    *catalog.Catalog
	applied  uint64
	captured uint64
	opened   time.Time // last attempt to open the data directory

	addresses map[wal.ReplicaID]netip.AddrPort
	proposals map[uint64]*proposal
	reads     map[uint64]chan<- outcome
	nextRead  uint64
	duties    duties
	handing   chan struct{}
	leading   bool
	entered   time.Time // last request to be added to the group
	led       time.Time // last time that a leader was known
}

func newOwner(r *Registry) *owner {
	return &owner{
		Registry: r, state: &catalog.Catalog{},
		addresses: make(map[wal.ReplicaID]netip.AddrPort),
		proposals: make(map[uint64]*proposal), reads: make(map[uint64]chan<- outcome),
		duties: newDuties(), led: time.Now(),
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
			o.batch(time.Now(), next)
		case <-ticker.C:
			o.tick(time.Now())
		case <-ctx.Done():
			if o.log != nil {
				if err := o.log.Close(); err != nil {
					o.logger.Warn("the data directory did not close", "error", err)
				}
			}

			return
		}

		o.process(time.Now())
	}
}

// batch handles the waiting events, so that their entries share one sync.
func (o *owner) batch(now time.Time, first event) {
	first(o, now)

	for range maxBatch {
		select {
		case next := <-o.events:
			next(o, now)
		default:
			return
		}
	}
}

func (o *owner) tick(now time.Time) {
	if o.log == nil && now.Sub(o.opened) >= reopenInterval {
		o.reopen(now)
	}

	if o.node != nil {
		o.node.Tick(now)
	}

	o.enter(now)
	o.finishHandOver()
	o.forget(now)
}

// process does what the log asks for and publishes the result.
func (o *owner) process(now time.Time) {
	if o.node != nil {
		err := o.drain()
		if err == nil {
			o.lead(now)

			err = o.drain()
		}

		if err == nil {
			err = o.capture()
		}

		// A replica whose disk refuses writes must not answer any more: another
		// one leads. It comes back once the disk takes writes again.
		if err != nil {
			o.logger.Error("left the group until the data directory can be written", "error", err)
			o.drop()

			o.opened = now
		}
	}

	o.publish(time.Now())
}

// drain does what the log asks for, in the order that it prescribes.
func (o *owner) drain() error {
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

		o.applied, o.captured = ready.Snapshot.Index, ready.Snapshot.Index
		o.learnAddresses()
		o.dropCallers(errors.New("a snapshot replaced the entry"))
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
		err = o.inner.Send(address, append([]byte{byte(wire.KindReplicate)}, encoded...))
	}

	if err != nil {
		o.logger.Debug("a message did not leave", "to", address, "error", err)
	}
}

// apply applies committed entries and answers the callers that wait for them.
func (o *owner) apply(entries []raft.Entry) {
	for _, entry := range entries {
		o.applied = entry.Index

		var result catalog.Result

		switch entry.Kind {
		case wal.EntryCommand:
			result = o.state.Apply(entry.Index, entry.Data)
		case wal.EntryMembership:
			o.learnAddresses()
			o.logMembers(entry.Index)
		}

		waiting, ok := o.proposals[entry.Index]
		if !ok {
			continue
		}

		delete(o.proposals, entry.Index)
		waiting.applied(entry.Term, result)
	}
}

// capture takes a snapshot when enough entries have been applied.
func (o *owner) capture() error {
	if o.applied-o.captured < captureEvery {
		return nil
	}

	data, err := o.state.Snapshot()
	if err != nil {
		return err
	}

	snapshot, err := o.node.Compact(o.applied, data)
	if err != nil {
		return err
	}

	if err := o.log.SaveSnapshot(snapshot); err != nil {
		return err
	}

	o.captured = o.applied

	return o.log.Compact()
}

// publish tells the other goroutines what is in force.
func (o *owner) publish(now time.Time) {
	before := o.published.Load()
	current := &published{
		at: now, version: before.version, encoded: before.encoded, controllers: before.controllers,
	}

	if o.node != nil {
		status := o.node.Status()
		current.led = status.Leader != 0
		current.controllers = endpoints(status.Members)

		if current.led {
			o.led = now
		}
	}

	version, document := o.state.Approved()
	if version > before.version {
		if err := o.publishDocument(current, version, document); err != nil {
			o.logger.Error("cannot publish a document", "version", version, "error", err)
		}
	}

	o.published.Store(current)

	if current.version > before.version {
		o.logger.Info("a document is in force", "version", current.version, "before", before.version)
		o.documentNews(now)
	}
}

// publishDocument adds the document in force to what is published.
func (o *owner) publishDocument(current *published, version uint64, compressed []byte) error {
	document, err := route.Expand(compressed)
	if err != nil {
		return err
	}

	interpreted, err := o.interpret(document)
	if err != nil {
		return err
	}

	encoded, err := interpreted.Encode()
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
