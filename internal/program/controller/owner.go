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
	// maxBatch bounds the events handled before their entries are saved
	// together, with one fsync.
	maxBatch = 256

	// defaultSnapshotEntries is the number of applied entries between two
	// snapshots. The log holds at most 100,000 entries.
	defaultSnapshotEntries = 10_000

	// forgetAfter is the time after which nobody waits for an answer any more.
	forgetAfter = time.Minute

	// maxProposal is 1.25 MiB: a document of control.MaxDocument and its envelope
	// fit, and a message with the entry stays below control.MaxReplicate.
	maxProposal = 5 << 18
)

// event is an input of the owner.
type event interface{ handle(o *owner, now time.Time) }

// owner holds the control state. Only its goroutine uses it.
type owner struct {
	name       string
	address    netip.AddrPort
	founding   bool
	logger     *slog.Logger
	log        *wal.Log
	random     *rand.Rand
	node       *raft.Node // nil until the controller belongs to a group
	state      *catalog.Catalog
	leases     map[string]*lease.Table
	publishers map[string]*rollout.Publisher
	network    *network
	inbox      <-chan event

	proposals map[uint64]*proposal // by log index
	reads     map[uint64]*readIndex
	nextRead  uint64
	applied   uint64
	captured  uint64 // index of the last snapshot
	// captureEvery is the number of entries between two snapshots.
	captureEvery uint64

	leading     bool
	published   *atomic.Bool // leading, for other goroutines
	confirmedAt time.Time    // last time a quorum confirmed this leader
	duties      duties
	handOver    chan struct{}
	failure     error
}

// run handles events until ctx ends or a save fails.
func (o *owner) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()

	for {
		select {
		case next := <-o.inbox:
			o.batch(time.Now(), next)
		case now := <-ticker.C:
			o.tick(now)
		case <-ctx.Done():
			return nil
		}

		//nolint:contextcheck // the senders of the network outlive one event
		if err := o.process(time.Now()); err != nil {
			return err
		}
	}
}

// batch handles the waiting events, so that their entries share one fsync.
func (o *owner) batch(now time.Time, first event) {
	first.handle(o, now)

	for range maxBatch {
		select {
		case next := <-o.inbox:
			next.handle(o, now)
		default:
			return
		}
	}
}

// start continues from what the data directory holds.
func (o *owner) start(now time.Time, stored raft.Stored) error {
	if stored.Snapshot.Index > 0 {
		if err := o.state.Restore(stored.Snapshot.Data); err != nil {
			return newError("restore", KindStorage, err)
		}

		o.applied, o.captured = stored.Snapshot.Index, stored.Snapshot.Index
		o.publish(now)
	}

	identity := o.log.Identity()

	node, err := raft.New(raft.Config{
		Replica:          identity.Replica,
		Cluster:          identity.Cluster,
		Generation:       identity.Generation,
		Random:           o.random,
		Now:              now,
		MaxProposalBytes: maxProposal,
	}, stored)
	if err != nil {
		return newError("start", KindLog, err)
	}

	o.node = node
	o.learnAddresses()

	return nil
}

// process does what the log asks for and publishes the result.
func (o *owner) process(now time.Time) error {
	if o.failure != nil || o.node == nil {
		return o.failure
	}

	if err := o.drain(now); err != nil {
		return err
	}

	o.lead(now)

	// The leader's own proposals go out at once.
	if err := o.drain(now); err != nil {
		return err
	}

	o.publish(now)

	return o.capture()
}

// drain does what the log asks for, in the order that it prescribes.
func (o *owner) drain(now time.Time) error {
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

		o.applied, o.captured = ready.Snapshot.Index, ready.Snapshot.Index
		o.learnAddresses()
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

// apply applies committed entries and answers the callers that wait for them.
func (o *owner) apply(now time.Time, entries []raft.Entry) {
	for _, entry := range entries {
		o.applied = entry.Index

		var outcome answer

		switch entry.Kind {
		case wal.EntryCommand:
			outcome.result = o.state.Apply(entry.Index, entry.Data)
			countCommand(outcome.result)
			o.follow(now, outcome.result)
		case wal.EntryMembership:
			o.learnAddresses()
		}

		waiting, ok := o.proposals[entry.Index]
		if !ok {
			continue
		}

		delete(o.proposals, entry.Index)

		// Another entry took the place of the proposal, which is lost for good.
		if waiting.term != entry.Term {
			outcome.err = o.redirect()
		}

		if current := o.state.View(outcome.result.Environment); current != nil {
			outcome.position = current.Position()
		}

		waiting.reply <- outcome
	}
}

// capture takes a snapshot when enough entries have been applied.
func (o *owner) capture() error {
	if o.applied-o.captured < o.captureEvery {
		return nil
	}

	data, err := o.state.Snapshot()
	if err != nil {
		return newError("capture", KindLog, err)
	}

	snapshot, err := o.node.Compact(o.applied, data)
	if err != nil {
		return newError("capture", KindLog, err)
	}

	if err := o.log.SaveSnapshot(snapshot); err != nil {
		return newError("save snapshot", KindStorage, err)
	}

	if err := o.log.Compact(); err != nil {
		return newError("compact", KindStorage, err)
	}

	o.captured = o.applied

	return nil
}

// publish hands new views to the publishers, which ignore known positions.
func (o *owner) publish(now time.Time) {
	for environment, publisher := range o.publishers {
		if current := o.state.View(environment); current != nil {
			publisher.Apply(now, current)
		}
	}
}

// tick drives what depends on time.
func (o *owner) tick(now time.Time) {
	for _, publisher := range o.publishers {
		publisher.Tick(now)
	}

	if o.node != nil {
		o.node.Tick(now)
		o.forget(now)
		o.finishHandOver()
	}
}

// propose appends a command to the log with the leader's time. The answer
// arrives when the entry is applied.
func (o *owner) propose(now time.Time, command catalog.Command, reply chan answer) {
	if o.node == nil {
		reply <- answer{err: o.redirect()}

		return
	}

	encoded, err := command.Encode(now)
	if err != nil {
		reply <- answer{err: link.NewError(link.KindInvalid, err)}

		return
	}

	index, term, err := o.node.Propose(encoded)
	if err != nil {
		reply <- answer{err: o.refusal(err)}

		return
	}

	o.await(now, index, term, reply)
}

func (o *owner) await(now time.Time, index, term uint64, reply chan answer) {
	// An entry at this index that was never committed has been overwritten.
	if lost, ok := o.proposals[index]; ok {
		lost.reply <- answer{err: o.redirect()}
	}

	o.proposals[index] = &proposal{term: term, at: now, reply: reply}
}

// refusal translates an error of the log for callers.
func (o *owner) refusal(err error) error {
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

// redirect names the leader. A leader that cannot answer right now names
// nobody, so that the caller waits.
func (o *owner) redirect() error {
	if o.node == nil || o.node.Status().Leader == o.node.Status().Replica {
		return link.Redirect(netip.AddrPort{})
	}

	return redirect(o.node.Status().Leader, o.network)
}

// dropProposals answers all callers after a snapshot has replaced entries
// whose results are then unknown. All commands are idempotent, so the callers
// can ask again.
func (o *owner) dropProposals() {
	for index, waiting := range o.proposals {
		waiting.reply <- answer{err: o.redirect()}

		delete(o.proposals, index)
	}
}

// forget drops what nobody waits for any more.
func (o *owner) forget(now time.Time) {
	for index, waiting := range o.proposals {
		if now.Sub(waiting.at) > forgetAfter {
			waiting.reply <- answer{err: o.redirect()}

			delete(o.proposals, index)
		}
	}
}

func (o *owner) learnAddresses() {
	if o.node == nil {
		return
	}

	for _, member := range o.node.Status().Members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			o.network.learn(member.ID, address)
		}
	}
}
