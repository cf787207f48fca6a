package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/coordination/lease"
	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/wal"
	"jayspindle/internal/transport/link"
)

const (
	// maxBatchEvents limits the events that are handled before their log entries
	// are saved together, with one fsync.
	maxBatchEvents = 256

	// defaultSnapshotEntries is the number of applied entries between two
	// snapshots. The log holds at most 100,000 entries.
	defaultSnapshotEntries = 10_000

	// proposalTTL is the time after which a proposal without a result is dropped,
	// because its caller no longer waits.
	proposalTTL = time.Minute

	// maxProposalBytes is 1.25 MiB: a document of control.MaxDocument and its envelope
	// fit, and a message with the entry stays below control.MaxReplicate.
	maxProposalBytes = 5 << 18
)

// event is a request that the owner handles in its goroutine.
type event interface{ handle(o *owner, now time.Time) }

// owner is the event loop that holds the control state. Only its goroutine uses
// it. It is unrelated to catalog.Owner, a person.
type owner struct {
	name       string
	address    netip.AddrPort
	bootstrap  bool
	logger     *slog.Logger
	log        *wal.Log
	random     *rand.Rand
	node       *raft.Node // nil until the controller belongs to a group
	state      *catalog.Catalog
	leases     map[string]*lease.Table
	publishers map[string]*rollout.Publisher
	network    *network
	events     <-chan event

	proposals     map[uint64]*proposal // by log index
	reads         map[uint64]*readIndex
	lastReadID    uint64
	appliedIndex  uint64
	snapshotIndex uint64 // index of the last snapshot
	// entriesPerSnapshot is the number of entries between two snapshots.
	entriesPerSnapshot uint64

	leading      bool
	leadingFlag  *atomic.Bool // copy of leading for other goroutines
	confirmedAt  time.Time    // last time a quorum confirmed this leader
	tasks        leaderTasks
	transferDone chan struct{}
	fatalErr     error
}

// run handles events and ticks until ctx ends or an unrecoverable error occurs.
func (o *owner) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()

	for {
		select {
		case next := <-o.events:
			o.handleBatch(time.Now(), next)
		case now := <-ticker.C:
			o.tick(now)
		case <-ctx.Done():
			return nil
		}

		//nolint:contextcheck // the senders of the network outlive a single event
		if err := o.process(time.Now()); err != nil {
			return err
		}
	}
}

// handleBatch handles the first event and the waiting ones, so that their log
// entries share one fsync.
func (o *owner) handleBatch(now time.Time, first event) {
	first.handle(o, now)

	for range maxBatchEvents {
		select {
		case next := <-o.events:
			next.handle(o, now)
		default:
			return
		}
	}
}

// start restores the state from the data directory and starts the log.
func (o *owner) start(now time.Time, stored raft.Stored) error {
	if stored.Snapshot.Index > 0 {
		if err := o.state.Restore(stored.Snapshot.Data); err != nil {
			return newError("restore", KindStorage, err)
		}

		o.appliedIndex, o.snapshotIndex = stored.Snapshot.Index, stored.Snapshot.Index
		o.publish(now)
	}

	identity := o.log.Identity()

	node, err := raft.New(raft.Config{
		Replica:          identity.Replica,
		Cluster:          identity.Cluster,
		Generation:       identity.Generation,
		Random:           o.random,
		Now:              now,
		MaxProposalBytes: maxProposalBytes,
	}, stored)
	if err != nil {
		return newError("start", KindLog, err)
	}

	o.node = node
	o.updateAddresses()

	return nil
}

// process processes the output of the log, runs the tasks of the leader,
// publishes the views and takes a snapshot if one is due.
func (o *owner) process(now time.Time) error {
	if o.fatalErr != nil || o.node == nil {
		return o.fatalErr
	}

	if err := o.processReady(now); err != nil {
		return err
	}

	o.runLeaderTasks(now)

	// Send the leader's own proposals without waiting for the next event.
	if err := o.processReady(now); err != nil {
		return err
	}

	o.publish(now)

	return o.takeSnapshot()
}

// processReady processes the output of the log in the order that raft requires:
// save, send, apply, answer reads.
func (o *owner) processReady(now time.Time) error {
	for ready, ok := o.node.Ready(); ok; ready, ok = o.node.Ready() {
		if err := o.save(ready); err != nil {
			return err
		}

		o.network.send(o.node.Status().Replica, o.address, ready.Messages)
		o.apply(now, ready.Committed)
		o.answerReads(now, ready.Reads)
		o.node.Advance(ready)
	}

	return nil
}

func (o *owner) save(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := o.log.SaveSnapshot(ready.Snapshot); err != nil {
			return newError("save snapshot", KindStorage, err)
		}

		if err := o.state.Restore(ready.Snapshot.Data); err != nil {
			return newError("restore", KindStorage, err)
		}

		o.appliedIndex, o.snapshotIndex = ready.Snapshot.Index, ready.Snapshot.Index
		o.updateAddresses()
		o.dropProposals()
	}

	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}

	if err := o.log.Save(ready.HardState, ready.Entries); err != nil {
		return newError("save", KindStorage, err)
	}

	return nil
}

// apply applies committed entries and replies to the callers that wait for them.
func (o *owner) apply(now time.Time, entries []raft.Entry) {
	for _, entry := range entries {
		o.appliedIndex = entry.Index

		var outcome proposalResult

		switch entry.Kind {
		case wal.EntryCommand:
			outcome.result = o.state.Apply(entry.Index, entry.Data)
			countCommand(outcome.result)
			o.updateLeases(now, outcome.result)
		case wal.EntryMembership:
			o.updateAddresses()
		}

		waiting, ok := o.proposals[entry.Index]
		if !ok {
			continue
		}

		delete(o.proposals, entry.Index)

		// An entry of another term replaced the proposal, which will never be
		// applied.
		if waiting.term != entry.Term {
			outcome.err = o.redirect()
		}

		if current := o.state.View(outcome.result.Environment); current != nil {
			outcome.position = current.Position()
		}

		waiting.reply <- outcome
	}
}

// takeSnapshot saves a snapshot and compacts the log if enough entries have been
// applied since the last one.
func (o *owner) takeSnapshot() error {
	if o.appliedIndex-o.snapshotIndex < o.entriesPerSnapshot {
		return nil
	}

	data, err := o.state.Snapshot()
	if err != nil {
		return newError("take snapshot", KindLog, err)
	}

	snapshot, err := o.node.Compact(o.appliedIndex, data)
	if err != nil {
		return newError("take snapshot", KindLog, err)
	}

	if err := o.log.SaveSnapshot(snapshot); err != nil {
		return newError("save snapshot", KindStorage, err)
	}

	if err := o.log.Compact(); err != nil {
		return newError("compact", KindStorage, err)
	}

	o.snapshotIndex = o.appliedIndex

	return nil
}

// publish passes the current views to the publishers, which ignore positions that
// they already have.
func (o *owner) publish(now time.Time) {
	for environment, publisher := range o.publishers {
		if current := o.state.View(environment); current != nil {
			publisher.Apply(now, current)
		}
	}
}

// tick advances the publishers, the log and the timeouts of proposals.
func (o *owner) tick(now time.Time) {
	for _, publisher := range o.publishers {
		publisher.Tick(now)
	}

	if o.node != nil {
		o.node.Tick(now)
		o.expireProposals(now)
		o.finishTransfer()
	}
}

// propose appends a command to the log with the leader's time. The reply is sent
// when the entry is applied.
func (o *owner) propose(now time.Time, command catalog.Command, reply chan proposalResult) {
	if o.node == nil {
		reply <- proposalResult{err: o.redirect()}

		return
	}

	encoded, err := command.Encode(now)
	if err != nil {
		reply <- proposalResult{err: link.NewError(link.KindInvalid, err)}

		return
	}

	index, term, err := o.node.Propose(encoded)
	if err != nil {
		reply <- proposalResult{err: o.linkError(err)}

		return
	}

	o.trackProposal(now, index, term, reply)
}

func (o *owner) trackProposal(now time.Time, index, term uint64, reply chan proposalResult) {
	// An earlier proposal at this index was never committed and is overwritten.
	if overwritten, ok := o.proposals[index]; ok {
		overwritten.reply <- proposalResult{err: o.redirect()}
	}

	o.proposals[index] = &proposal{term: term, at: now, reply: reply}
}

// linkError converts an error of the log to a link error for the caller.
func (o *owner) linkError(err error) error {
	var typed *raft.Error
	if !errors.As(err, &typed) {
		return link.NewError(link.KindInternal, err)
	}

	switch typed.Kind() {
	case raft.KindNotLeader, raft.KindTransferring:
		return o.redirect()
	case raft.KindTooLarge, raft.KindInvalid:
		return link.NewError(link.KindInvalid, err)
	default:
		return link.NewError(link.KindBusy, err)
	}
}

// redirect returns an error that redirects the caller to the leader. A leader
// that cannot answer at the moment gives no address, so that the caller waits.
func (o *owner) redirect() error {
	if o.node == nil || o.node.Status().Leader == o.node.Status().Replica {
		return link.Redirect(netip.AddrPort{})
	}

	return redirect(o.node.Status().Leader, o.network)
}

// dropProposals redirects all waiting callers after a snapshot has replaced
// entries, because their results are then unknown. All commands but RotateKey
// are idempotent, and a second RotateKey with the same rotation number is refused,
// so the callers can retry.
func (o *owner) dropProposals() {
	for index, waiting := range o.proposals {
		waiting.reply <- proposalResult{err: o.redirect()}

		delete(o.proposals, index)
	}
}

// expireProposals redirects the callers of proposals older than proposalTTL and
// drops the proposals.
func (o *owner) expireProposals(now time.Time) {
	for index, waiting := range o.proposals {
		if now.Sub(waiting.at) > proposalTTL {
			waiting.reply <- proposalResult{err: o.redirect()}

			delete(o.proposals, index)
		}
	}
}

func (o *owner) updateAddresses() {
	if o.node == nil {
		return
	}

	for _, member := range o.node.Status().Members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			o.network.setAddress(member.ID, address)
		}
	}
}
