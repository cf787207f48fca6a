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

// answer is the outcome of a proposal.
type answer struct {
	result   catalog.Result
	position view.Position // of the environment's view once the command is applied
	err      error
}

// proposal is a command or membership change that waits to be applied. The
// reply channel has room for the one answer.
type proposal struct {
	term  uint64
	at    time.Time
	reply chan answer
}

// command asks the leader to append a command.
type command struct {
	command catalog.Command
	reply   chan answer
}

func (c *command) handle(o *owner, now time.Time) { o.propose(now, c.command, c.reply) }

// readIndex asks the leader for a linearizable read.
type readIndex struct {
	at    time.Time
	run   func(o *owner, now time.Time) // after the quorum has confirmed the leader
	lost  func(err error)
	index uint64 // set before run
}

func (r *readIndex) handle(o *owner, now time.Time) {
	r.at = now
	if o.node == nil {
		r.lost(o.redirect())

		return
	}

	o.nextRead++
	if err := o.node.ReadIndex(o.nextRead); err != nil {
		r.lost(o.refusal(err))

		return
	}

	o.reads[o.nextRead] = r
}

// answerReads runs the reads that the log has confirmed or given up.
func (o *owner) answerReads(now time.Time, reads []raft.Read) {
	for _, read := range reads {
		waiting, ok := o.reads[read.ID]
		if !ok {
			continue
		}

		delete(o.reads, read.ID)

		if read.Lost {
			waiting.lost(o.redirect())

			continue
		}

		waiting.index = read.Index
		waiting.run(o, now)
	}
}

// messages are received from another replica.
type messages struct{ list []raft.Message }

func (m *messages) handle(o *owner, _ time.Time) {
	if o.node == nil {
		return
	}

	for _, message := range m.list {
		// Foreign and malformed messages are dropped and counted by the node.
		if err := o.node.Receive(message); err != nil {
			o.logger.Debug("a message of a replica is dropped", "error", err)
		}
	}
}

// caughtUp confirms the views of a follower once it has applied an index that
// the leader confirmed at the given time.
type caughtUp struct {
	index uint64
	at    time.Time
	reply chan bool
}

func (c *caughtUp) handle(o *owner, _ time.Time) {
	ok := o.applied >= c.index
	if ok {
		o.confirm(c.at)
	}

	c.reply <- ok
}

// renew extends leases at the leader.
type renew struct {
	request control.Renew
	reply   chan renewed
}

type renewed struct {
	unknown []view.Incarnation
	err     error
}

func (r *renew) handle(o *owner, now time.Time) {
	table, ok := o.leases[r.request.Environment]

	switch {
	case !ok:
		r.reply <- renewed{err: link.Errorf(link.KindNotFound, "environment %q does not exist", r.request.Environment)}

		return
	// A leader without a quorum may have been replaced and grants nothing.
	case !o.leading || now.Sub(o.confirmedAt) > confirmationLimit:
		r.reply <- renewed{err: o.redirect()}

		return
	}

	renewals := make([]lease.Renewal, 0, len(r.request.Renewals))
	for _, renewal := range r.request.Renewals {
		renewals = append(renewals, lease.Renewal{
			Incarnation: renewal.Incarnation,
			Position:    renewal.Position,
			InForce:     renewal.Since,
			Load:        renewal.Load,
		})
	}

	r.reply <- renewed{unknown: table.Renew(now, renewals)}
}

// handOver transfers leadership before a planned stop.
type handOver struct{ done chan struct{} }

func (h *handOver) handle(o *owner, _ time.Time) {
	if o.node == nil || o.node.Status().Role != raft.Leader {
		close(h.done)

		return
	}

	if err := o.node.TransferLeadership(0); err != nil {
		o.logger.Warn("the leadership cannot be transferred", "error", err)
		close(h.done)

		return
	}

	o.handOver = h.done
}

func (o *owner) finishHandOver() {
	status := o.node.Status()
	if o.handOver != nil && (status.Role != raft.Leader || status.Transfer == 0) {
		close(o.handOver)
		o.handOver = nil
	}
}
