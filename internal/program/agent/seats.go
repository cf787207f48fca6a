package agent

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

// The methods between agents of one service.
const (
	methodClaim    = "claim"          // claim.Request, claim.Reply
	methodHistory  = "claim-past"     // historyRequest, historyReply
	methodTransfer = "claim-transfer" // transferPart, emptyReply
	methodMoved    = "claim-moved"    // movedSeat, emptyReply
	methodSeal     = "claim-seal"     // claim.Seal, sealReply
	methodCarry    = "claim-carry"    // claim.Seal, carryReply
	methodAdopt    = "claim-adopt"    // carriedClaims, emptyReply
	methodClosed   = "claim-closed"   // claim.Closing, emptyReply
)

const (
	// transferPartBytes is the size of the parts of a transfer, well below
	// link.MaxFrameBytes.
	transferPartBytes = 1 << 20
	// maxTransferBytes bounds a transfer in which every claim has its largest size.
	maxTransferBytes    = 512 << 20
	announceMoveTimeout = time.Second
	transferTimeout     = 10 * time.Second
)

// historyRequest asks a sibling for its membership history. A sibling that has not
// claimed yet must not start claiming under a view older than the sender's.
type historyRequest struct {
	Position view.Position `cbor:"1,keyasint"`
}

// historyReply is the membership history of an agent. The history of an agent that
// has just started is not complete.
type historyReply struct {
	Complete bool                  `cbor:"1,keyasint"`
	Snapshot claim.HistorySnapshot `cbor:"2,keyasint"`
	// Established agents have run for long enough to have claimed, even if their
	// history is not complete at the moment.
	Established bool `cbor:"3,keyasint,omitempty"`
}

// Check reports the first field that is not allowed.
func (p *historyReply) Check() error { return p.Snapshot.Check() }

// covers reports whether the reply reaches the newest membership of own.
func (p *historyReply) covers(own claim.HistorySnapshot) bool {
	if len(p.Snapshot.Memberships) == 0 || len(own.Memberships) == 0 {
		return false
	}

	theirs, newest := p.Snapshot.Memberships[len(p.Snapshot.Memberships)-1], own.Memberships[len(own.Memberships)-1]

	return !theirs.Position.Less(newest.Position) || slices.Equal(theirs.Members, newest.Members)
}

// incomingTransfer is a partly received transfer.
type incomingTransfer struct {
	bytes      []byte
	lastPartAt time.Time // of the newest part
}

// transferPart is a part of the claims of a seat that moves.
type transferPart struct {
	Seat   view.Incarnation `cbor:"1,keyasint"`
	Offset int              `cbor:"2,keyasint"`
	Bytes  []byte           `cbor:"3,keyasint"`
	Last   bool             `cbor:"4,keyasint"`
}

// movedSeat announces that a successor answers for the seat of a leaving agent.
type movedSeat struct {
	Seat      view.Incarnation `cbor:"1,keyasint"`
	Successor view.Incarnation `cbor:"2,keyasint"`
}

type emptyReply struct{}

func (c *claims) handleHistory(ctx context.Context, request *link.Request) (any, error) {
	if err := c.checkPeer(ctx); err != nil {
		return nil, err
	}

	var asked historyRequest
	if err := request.Decode(&asked); err != nil {
		return nil, err
	}

	return c.answerHistory(ctx, asked), nil
}

func (c *claims) answerHistory(ctx context.Context, asked historyRequest) *historyReply {
	var reply historyReply

	c.do(ctx, func(now time.Time) {
		if c.newestSeenPosition.Less(asked.Position) {
			c.newestSeenPosition = asked.Position
		}

		reply = historyReply{
			Complete: c.history.Complete(now) && !c.historyGap, Snapshot: c.history.Snapshot(now), Established: c.established,
		}
		// The history may change its map while the reply is being encoded.
		reply.Snapshot.Moved = maps.Clone(reply.Snapshot.Moved)
	})

	return &reply
}

// queryHistory asks all siblings for their membership history. One complete
// history is enough. If all of them answer and none is established, the service
// has just started and no claim exists. If all have missed some memberships, as
// after an outage of the controllers, their histories together are complete.
func (c *claims) queryHistory(ctx context.Context) {
	siblings := make([]view.Agent, 0, len(c.agents))

	for incarnation, agent := range c.agents {
		if incarnation != c.self() {
			siblings = append(siblings, agent)
		}
	}

	// Unless the agent's own view contains the agent, siblings may not know of it.
	if _, ok := c.agents[c.self()]; !ok {
		return
	}

	if c.queryingHistory {
		return
	}

	c.queryingHistory = true
	position := c.position

	c.background.Go(func() {
		defer c.post(ctx, func(time.Time) { c.queryingHistory = false })

		replies := make([]historyReply, 0, len(siblings))

		for _, sibling := range siblings {
			reply, err := c.fetchHistory(ctx, sibling, position)
			if err != nil {
				continue
			}

			replies = append(replies, reply)

			if reply.Complete {
				break
			}
		}

		c.post(ctx, func(now time.Time) { c.mergeReplies(now, position, replies, len(replies) == len(siblings)) })
	})
}

// mergeReplies merges the replies of siblings into the history. The position is
// that of the view under which the siblings were asked.
func (c *claims) mergeReplies(now time.Time, position view.Position, replies []historyReply, all bool) {
	own := c.history.Snapshot(now)
	complete := slices.ContainsFunc(replies, func(reply historyReply) bool { return reply.Complete && reply.covers(own) })
	established := slices.ContainsFunc(replies, func(reply historyReply) bool {
		return reply.Complete || reply.Established
	})

	for _, reply := range replies {
		if reply.Complete || reply.Established {
			c.history.Merge(now, reply.Snapshot)
		}
	}

	if c.historyGap && (complete || all) {
		c.historyGap = false
		c.confirm(now)
	}

	if all && !established && !c.established && c.canBootstrap(now, position) {
		c.history.AssumeNoEarlierClaims(now)
	}
}

// canBootstrap reports whether the agent's own view allows it to start claiming for
// a new service: the view is not older than any that a sibling has reported, and
// it has enough agents, or bootstrapTimeout has passed.
func (c *claims) canBootstrap(now time.Time, position view.Position) bool {
	if c.position != position || c.position.Less(c.newestSeenPosition) {
		return false
	}

	return c.history.MemberCount() >= claim.Holders || now.Sub(c.firstAgentsAt) >= bootstrapTimeout
}

// fetchHistory fetches the history of a sibling. Each call has its own timeout, so
// that one unresponsive sibling does not use up the time for the others.
func (c *claims) fetchHistory(ctx context.Context, sibling view.Agent, position view.Position) (historyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()

	var reply historyReply

	err := c.siblingClient(sibling).Call(ctx, methodHistory, &historyRequest{Position: position}, &reply)

	return reply, errors.Trace(err)
}

// handOff moves the seats of a leaving agent to a sibling, so that its claims
// are still known afterwards.
func (c *claims) handOff(ctx context.Context) {
	var (
		seats      []view.Incarnation
		successors []view.Agent
	)

	c.do(ctx, func(time.Time) {
		if c.store != nil {
			seats = c.store.Seats()
		}

		successors = c.successors()
	})

	for _, seat := range seats {
		if successor, ok := c.handOffSeat(ctx, seat, successors); ok {
			c.announceMove(ctx, movedSeat{Seat: seat, Successor: successor})
		}
	}
}

// handOffSeat offers a seat to the successors in turn and returns the one that
// took it over. Once one of them may have taken it over, no other is tried.
func (c *claims) handOffSeat(
	ctx context.Context, seat view.Incarnation, successors []view.Agent,
) (view.Incarnation, bool) {
	for _, successor := range successors {
		mayHaveMoved, err := c.moveSeat(ctx, seat, successor)
		if err == nil {
			return successor.Incarnation, true
		}

		c.logger.Warn("could not hand off claims", "seat", seat, "successor", successor.Incarnation, "error", err)

		if mayHaveMoved {
			return 0, false
		}
	}

	return 0, false
}

// announceMove tells all siblings which agent answers for the seat. A sibling that
// misses the message counts the seat as a lost holder, for which a majority of the
// other holders compensates.
func (c *claims) announceMove(ctx context.Context, moved movedSeat) {
	var siblings []view.Agent

	c.do(ctx, func(time.Time) {
		for incarnation, agent := range c.agents {
			if incarnation != c.self() {
				siblings = append(siblings, agent)
			}
		}
	})

	ctx, cancel := context.WithTimeout(ctx, announceMoveTimeout)
	defer cancel()

	var group conc.WaitGroup

	for _, sibling := range siblings {
		group.Go(func() {
			if err := c.siblingClient(sibling).Call(ctx, methodMoved, &moved, &emptyReply{}); err != nil {
				c.logger.Warn("could not notify the sibling of moved claims", "sibling", sibling.Incarnation, "error", err)
			}
		})
	}

	group.Wait()
}

func (c *claims) handleMoved(ctx context.Context, request *link.Request) (any, error) {
	if err := c.checkPeer(ctx); err != nil {
		return nil, err
	}

	var moved movedSeat
	if err := request.Decode(&moved); err != nil {
		return nil, err
	}

	c.recordMove(ctx, moved)

	return &emptyReply{}, nil
}

func (c *claims) recordMove(ctx context.Context, moved movedSeat) {
	c.do(ctx, func(time.Time) { c.history.Move(moved.Seat, moved.Successor) })
}

// successors returns the active siblings, those in the same availability zone
// first: holders are counted by zone, and the leaving agent counted in that zone.
func (c *claims) successors() []view.Agent {
	candidates := make([]view.Agent, 0, len(c.agents))

	for incarnation, agent := range c.agents {
		if incarnation != c.self() && agent.State == view.Active {
			candidates = append(candidates, agent)
		}
	}

	slices.SortFunc(candidates, func(a, b view.Agent) int {
		if sameZone := a.Zone == c.zone; sameZone != (b.Zone == c.zone) {
			if sameZone {
				return -1
			}

			return 1
		}

		return cmp.Compare(a.Incarnation, b.Incarnation)
	})

	return candidates
}

// moveSeat transfers the claims of a seat. If it fails, mayHaveMoved reports
// whether the successor may have taken the seat over; if not, the seat has been
// restored.
func (c *claims) moveSeat(
	ctx context.Context, seat view.Incarnation, successor view.Agent,
) (mayHaveMoved bool, err error) {
	var transfer claim.Transfer

	c.do(ctx, func(now time.Time) { transfer, err = c.store.Export(now, seat, successor.Incarnation) })

	if err != nil {
		return false, errors.Trace(err)
	}

	if mayHaveMoved, err = c.sendSeat(ctx, transfer, successor); err == nil || mayHaveMoved {
		return mayHaveMoved, err
	}

	cause := err

	c.do(ctx, func(now time.Time) { err = c.store.Restore(now, transfer) })

	return err != nil, cause
}

// sendSeat sends a transfer in parts. The successor takes the seat over with
// the last part.
func (c *claims) sendSeat(
	ctx context.Context, transfer claim.Transfer, successor view.Agent,
) (mayHaveMoved bool, err error) {
	encoded, err := claim.Encode(transfer)
	if err != nil {
		return false, errors.Trace(err)
	}

	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()

	client := c.siblingClient(successor)

	for offset := 0; ; offset += transferPartBytes {
		end := min(offset+transferPartBytes, len(encoded))
		part := transferPart{Seat: transfer.Seat, Offset: offset, Bytes: encoded[offset:end], Last: end == len(encoded)}

		if err := client.Call(ctx, methodTransfer, &part, &emptyReply{}); err != nil {
			refused := link.KindOf(err) == link.KindInvalid || linkErrorResult(err).state == peer.NotRun

			return part.Last && !refused, errors.Trace(err)
		}

		if part.Last {
			return true, nil
		}
	}
}

func (c *claims) handleTransfer(ctx context.Context, request *link.Request) (any, error) {
	if err := c.checkPeer(ctx); err != nil {
		return nil, err
	}

	var part transferPart
	if err := request.Decode(&part); err != nil {
		return nil, err
	}

	return c.answerTransfer(ctx, part)
}

func (c *claims) answerTransfer(ctx context.Context, part transferPart) (*emptyReply, error) {
	var err error

	if !c.do(ctx, func(now time.Time) { err = c.receivePart(now, part) }) {
		return nil, link.Errorf(link.KindBusy, "the agent is stopping")
	}

	if err != nil {
		return nil, link.NewError(link.KindInvalid, err)
	}

	return &emptyReply{}, nil
}

// dropTransfers drops transfers whose sender has timed out.
func (c *claims) dropTransfers(now time.Time) {
	maps.DeleteFunc(c.incomingTransfers, func(_ view.Incarnation, received *incomingTransfer) bool {
		return now.Sub(received.lastPartAt) > transferTimeout
	})
}

// receivePart collects the parts of a transfer in order and imports the transfer
// after the last one.
func (c *claims) receivePart(now time.Time, part transferPart) error {
	if c.store == nil {
		return errors.New("the agent has no incarnation yet")
	}

	received := c.incomingTransfers[part.Seat]
	if received == nil || part.Offset == 0 {
		received = &incomingTransfer{}
		c.incomingTransfers[part.Seat] = received
	}

	if part.Offset != len(received.bytes) || len(received.bytes)+len(part.Bytes) > maxTransferBytes {
		delete(c.incomingTransfers, part.Seat)

		return errors.Errorf("part at %d does not follow %d bytes", part.Offset, len(received.bytes))
	}

	received.bytes = append(received.bytes, part.Bytes...)
	received.lastPartAt = now

	if !part.Last {
		return nil
	}

	defer delete(c.incomingTransfers, part.Seat)

	transfer, err := claim.DecodeTransfer(received.bytes)
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(c.store.Import(now, transfer))
}
