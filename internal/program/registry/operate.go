package registry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
)

// answerTimeout is how long a caller waits for an answer: callers ask another
// controller after a second.
const answerTimeout = 850 * time.Millisecond

// outcome is the answer to a caller.
type outcome struct {
	version  uint64
	document []byte
	err      *Error
}

// proposal is a proposed entry whose caller waits until it is applied.
type proposal struct {
	term       uint64
	proposedAt time.Time
	reply      chan<- outcome
}

// complete answers the caller once the entry at its index has been applied.
func (p *proposal) complete(term uint64, result catalog.Result) {
	switch {
	case term != p.term:
		p.reply <- outcome{err: newError("submit", KindUnavailable, errors.New("another entry replaced this one"))}
	case result.Err() != nil:
		p.reply <- outcome{err: newError("submit", KindInvalid, result.Err())}
	default:
		p.reply <- outcome{version: result.Version}
	}
}

// request passes an event to the owner and waits for the answer.
func (r *Registry) request(
	ctx context.Context, operation string, handler func(o *owner, now time.Time, reply chan<- outcome),
) outcome {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()

	reply := make(chan outcome, 1)

	select {
	case r.events <- func(o *owner, now time.Time) { handler(o, now, reply) }:
	case <-ctx.Done():
		return outcome{err: newError(operation, KindUnavailable, ctx.Err())}
	}

	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return outcome{err: newError(operation, KindUnavailable, ctx.Err())}
	}
}

// Submit puts a document in force and returns the version in force afterwards. A
// version that is not higher than the one in force changes nothing and is not an
// error. After an error of KindUnavailable the document may or may not be in
// force.
func (r *Registry) Submit(ctx context.Context, version uint64, document []byte) (uint64, error) {
	if len(document) > MaxDocumentBytes {
		return 0, newError("submit", KindTooLarge,
			fmt.Errorf("%d bytes, at most %d are allowed", len(document), MaxDocumentBytes))
	}

	decoded, err := r.decodeDocument(document)
	if err == nil {
		err = decoded.Check()
	}

	if err != nil {
		return 0, newError("submit", KindInvalid, err)
	}

	compressed, err := route.Compress(document)
	if err != nil {
		return 0, newError("submit", KindInvalid, err)
	}

	started := time.Now()
	answer := r.request(ctx, "submit", func(o *owner, now time.Time, reply chan<- outcome) {
		o.submit(now, catalog.Approve{Version: version, Document: compressed}, reply)
	})
	if answer.err != nil {
		r.logger.Info("did not accept a document", "version", version, "error", answer.err)

		return 0, answer.err
	}

	r.acceptLatency.Observe(time.Since(started))
	r.logger.Info("accepted a document", "version", version, "in_force", answer.version)

	return answer.version, nil
}

// Refuse logs that a document was refused before it could be submitted.
func (r *Registry) Refuse(cause error) {
	r.logger.Info("refused a document", "error", cause)
}

// Newest returns the newest document as its operator sent it, or version 0 if
// there is none. The answer is confirmed by a majority.
func (r *Registry) Newest(ctx context.Context) (uint64, []byte, error) {
	answer := r.request(ctx, "read", func(o *owner, _ time.Time, reply chan<- outcome) { o.read(reply) })
	if answer.err != nil {
		return 0, nil, answer.err
	}

	if answer.version == 0 {
		return 0, nil, nil
	}

	document, err := route.Decompress(answer.document)
	if err != nil {
		return 0, nil, newError("read", KindStorage, err)
	}

	return answer.version, document, nil
}

// submit proposes a document.
func (o *owner) submit(now time.Time, command catalog.Approve, reply chan<- outcome) {
	// An applied document is stored by a majority, whichever replica leads now.
	if current, _ := o.state.Approved(); current >= command.Version {
		reply <- outcome{version: current}

		return
	}

	if err := o.requireLeader("submit"); err != nil {
		reply <- outcome{err: err}

		return
	}

	if count := countVoters(o.node.Status().Members); count < o.minVoters() {
		reply <- outcome{err: newError("submit", KindUnavailable,
			fmt.Errorf("%d controllers store documents, %d are needed", count, o.minVoters()))}

		return
	}

	encoded, err := catalog.Command{Approve: &command}.Encode(now)
	if err != nil {
		reply <- outcome{err: newError("submit", KindInvalid, err)}

		return
	}

	index, term, err := o.node.Propose(encoded)
	if err != nil {
		reply <- outcome{err: newError("submit", KindUnavailable, err)}

		return
	}

	// An entry at this index that was never committed has been overwritten.
	if overwritten, ok := o.proposals[index]; ok {
		overwritten.complete(0, catalog.Result{})
	}

	o.proposals[index] = &proposal{term: term, proposedAt: now, reply: reply}
}

// read answers with the document in force once a majority has confirmed that this
// replica leads.
func (o *owner) read(reply chan<- outcome) {
	if err := o.requireLeader("read"); err != nil {
		reply <- outcome{err: err}

		return
	}

	o.lastReadID++

	if err := o.node.ReadIndex(o.lastReadID); err != nil {
		reply <- outcome{err: newError("read", KindUnavailable, err)}

		return
	}

	o.reads[o.lastReadID] = reply
}

func (o *owner) answerReads(reads []raft.Read) {
	for _, read := range reads {
		reply, ok := o.reads[read.ID]
		if !ok {
			continue
		}

		delete(o.reads, read.ID)

		if read.LeadershipLost {
			reply <- outcome{err: newError("read", KindUnavailable, errors.New("the leadership was lost"))}

			continue
		}

		version, document := o.state.Approved()
		reply <- outcome{version: version, document: document}
	}
}

// requireLeader returns an error unless this replica leads. The error names the
// leader if it is known.
func (o *owner) requireLeader(operation string) *Error {
	if o.node == nil {
		return newError(operation, KindUnavailable, errors.New("the replica does not belong to a group"))
	}

	status := o.node.Status()
	if status.Role == raft.Leader {
		return nil
	}

	err := newError(operation, KindNotLeader, errors.New("this controller does not lead the group"))
	if address, ok := o.addresses[status.Leader]; ok && status.Leader != 0 {
		err.leader, _ = flow.NewEndpoint(address)
	}

	return err
}

// failCallers answers all waiting callers with an error, because their outcome is
// no longer known.
func (o *owner) failCallers(cause error) {
	for index, waiting := range o.proposals {
		waiting.reply <- outcome{err: newError("submit", KindUnavailable, cause)}

		delete(o.proposals, index)
	}

	for id, reply := range o.reads {
		reply <- outcome{err: newError("read", KindUnavailable, cause)}

		delete(o.reads, id)
	}
}

// expireProposals removes proposals whose callers have timed out.
func (o *owner) expireProposals(now time.Time) {
	for index, waiting := range o.proposals {
		if now.Sub(waiting.proposedAt) > 2*answerTimeout {
			delete(o.proposals, index)
		}
	}
}
