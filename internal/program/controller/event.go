package controller

import (
	"time"

	"jayspindle/internal/coordination/lease"
	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

// proposalResult is the outcome of a proposal, after it was applied or refused.
type proposalResult struct {
	result   catalog.Result
	position view.Position // of the environment's view after the command
	err      error
}

// proposal is a command or membership change that waits to be applied. The
// reply channel is buffered for its one result, so that the owner never blocks.
type proposal struct {
	term  uint64
	at    time.Time
	reply chan proposalResult
}

// proposeCommand is the event that appends a command to the log.
type proposeCommand struct {
	command catalog.Command
	reply   chan proposalResult
}

func (c *proposeCommand) handle(o *owner, now time.Time) { o.propose(now, c.command, c.reply) }

// readIndex is the event that requests a linearizable read.
type readIndex struct {
	at          time.Time
	onConfirmed func(o *owner, now time.Time) // called after a quorum has confirmed the leader
	onError     func(err error)
	index       uint64 // set before onConfirmed is called
}

func (r *readIndex) handle(o *owner, now time.Time) {
	r.at = now
	if o.node == nil {
		r.onError(o.redirect())

		return
	}

	o.lastReadID++
	if err := o.node.ReadIndex(o.lastReadID); err != nil {
		r.onError(o.linkError(err))

		return
	}

	o.reads[o.lastReadID] = r
}

// answerReads completes the reads that the log has confirmed, and fails those
// that it has lost.
func (o *owner) answerReads(now time.Time, reads []raft.Read) {
	for _, read := range reads {
		waiting, ok := o.reads[read.ID]
		if !ok {
			continue
		}

		delete(o.reads, read.ID)

		if read.LeadershipLost {
			waiting.onError(o.redirect())

			continue
		}

		waiting.index = read.Index
		waiting.onConfirmed(o, now)
	}
}

// receivedMessages is the event for messages from another replica.
type receivedMessages struct{ messages []raft.Message }

func (m *receivedMessages) handle(o *owner, _ time.Time) {
	if o.node == nil {
		return
	}

	for _, message := range m.messages {
		// The node drops and counts malformed messages and those for another
		// replica, cluster or generation.
		if err := o.node.Receive(message); err != nil {
			o.logger.Debug("dropped a message from a replica", "error", err)
		}
	}
}

// confirmApplied is the event that confirms the views of a follower if it has
// applied the index that the leader confirmed. The confirmation is dated at the
// request for that index.
type confirmApplied struct {
	index uint64
	at    time.Time
	reply chan bool
}

func (c *confirmApplied) handle(o *owner, _ time.Time) {
	ok := o.appliedIndex >= c.index
	if ok {
		o.confirm(c.at)
	}

	c.reply <- ok
}

// renew is the event that extends leases at the leader.
type renew struct {
	request control.Renew
	reply   chan renewResult
}

type renewResult struct {
	unknown []view.Incarnation
	err     error
}

func (r *renew) handle(o *owner, now time.Time) {
	table, ok := o.leases[r.request.Environment]

	switch {
	case !ok:
		r.reply <- renewResult{err: link.Errorf(link.KindNotFound, "environment %q does not exist", r.request.Environment)}

		return
	// A leader without a recent quorum confirmation may have been replaced, so it
	// extends no leases.
	case !o.leading || now.Sub(o.confirmedAt) > maxConfirmationAge:
		r.reply <- renewResult{err: o.redirect()}

		return
	}

	renewals := make([]lease.Renewal, 0, len(r.request.Renewals))
	for _, renewal := range r.request.Renewals {
		renewals = append(renewals, lease.Renewal{
			Incarnation: renewal.Incarnation,
			Position:    renewal.Position,
			InForceFor:  renewal.InForceFor,
			Load:        renewal.Load,
		})
	}

	r.reply <- renewResult{unknown: table.Renew(now, renewals)}
}

// transferLeadership is the event that transfers leadership before a planned
// stop. The owner closes done when the transfer has ended.
type transferLeadership struct{ done chan struct{} }

func (t *transferLeadership) handle(o *owner, _ time.Time) {
	if o.node == nil || o.node.Status().Role != raft.Leader {
		close(t.done)

		return
	}

	if err := o.node.TransferLeadership(0); err != nil {
		o.logger.Warn("could not transfer leadership", "error", err)
		close(t.done)

		return
	}

	o.transferDone = t.done
}

func (o *owner) finishTransfer() {
	status := o.node.Status()
	if o.transferDone != nil && (status.Role != raft.Leader || status.TransferTarget == 0) {
		close(o.transferDone)
		o.transferDone = nil
	}
}
