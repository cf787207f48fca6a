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
	methodPast     = "claim-past"     // pastRequest, pastReply
	methodTransfer = "claim-transfer" // transferPart, empty
	methodMoved    = "claim-moved"    // movedSeat, empty
)

const (
	// partSize is the part of a transfer in one call, well below link.MaxFrame.
	partSize = 1 << 20
	// maxTransfer bounds a transfer: every claim at its largest size.
	maxTransfer  = 512 << 20
	pastTimeout  = time.Second
	transferCall = 10 * time.Second
)

// pastRequest asks a sibling for its history. One that has not claimed yet
// promises not to begin under an older view than the sender's.
type pastRequest struct {
	Position view.Position `cbor:"1,keyasint"`
}

// pastReply is the history of an agent. An agent that has only started does
// not know the past.
type pastReply struct {
	Complete bool       `cbor:"1,keyasint"`
	Past     claim.Past `cbor:"2,keyasint"`
	// Established agents have run for long enough to have claimed, even if their
	// history is not complete at the moment.
	Established bool `cbor:"3,keyasint,omitempty"`
}

// Check reports the first field that is not allowed.
func (p *pastReply) Check() error { return p.Past.Check() }

// covers reports whether the reply leads up to the newest membership of own.
func (p *pastReply) covers(own claim.Past) bool {
	if len(p.Past.Eras) == 0 || len(own.Eras) == 0 {
		return false
	}

	theirs, newest := p.Past.Eras[len(p.Past.Eras)-1], own.Eras[len(own.Eras)-1]

	return !theirs.Position.Less(newest.Position) || slices.Equal(theirs.Members, newest.Members)
}

// incoming is a transfer of which parts have arrived.
type incoming struct {
	bytes []byte
	last  time.Time // of the newest part
}

// transferPart is a part of the claims of a seat that moves.
type transferPart struct {
	Seat   view.Incarnation `cbor:"1,keyasint"`
	Offset int              `cbor:"2,keyasint"`
	Bytes  []byte           `cbor:"3,keyasint"`
	Last   bool             `cbor:"4,keyasint"`
}

// movedSeat tells that another agent answers for the seat of a leaving one.
type movedSeat struct {
	Seat      view.Incarnation `cbor:"1,keyasint"`
	Successor view.Incarnation `cbor:"2,keyasint"`
}

type empty struct{}

func (c *claims) handlePast(ctx context.Context, request *link.Request) (any, error) {
	if err := c.checkPeer(ctx); err != nil {
		return nil, err
	}

	var asked pastRequest
	if err := request.Decode(&asked); err != nil {
		return nil, err
	}

	return c.answerPast(ctx, asked), nil
}

func (c *claims) answerPast(ctx context.Context, asked pastRequest) *pastReply {
	var reply pastReply

	c.do(ctx, func(now time.Time) {
		if c.promised.Less(asked.Position) {
			c.promised = asked.Position
		}

		reply = pastReply{
			Complete: c.history.Complete(now) && !c.gap, Past: c.history.Past(now), Established: c.established,
		}
		// The history goes on changing its map while the reply is encoded.
		reply.Past.Moved = maps.Clone(reply.Past.Moved)
	})

	return &reply
}

// askPast asks all siblings which memberships there were. One with a complete
// history is enough. If all of them answer and none has run for long, no claim
// exists: the service has just started. If all have missed a part, as after an
// outage of the controllers, what they know together is what there was.
func (c *claims) askPast(ctx context.Context) {
	siblings := make([]view.Agent, 0, len(c.agents))

	for incarnation, agent := range c.agents {
		if incarnation != c.self() {
			siblings = append(siblings, agent)
		}
	}

	// The own view must contain the agent, or the others may not know of it.
	if _, ok := c.agents[c.self()]; !ok {
		return
	}

	if c.asking {
		return
	}

	c.asking = true
	position := c.position

	c.background.Go(func() {
		defer c.post(ctx, func(time.Time) { c.asking = false })

		replies := make([]pastReply, 0, len(siblings))

		for _, sibling := range siblings {
			reply, err := c.pastOf(ctx, sibling, position)
			if err != nil {
				continue
			}

			replies = append(replies, reply)

			if reply.Complete {
				break
			}
		}

		c.post(ctx, func(now time.Time) { c.learn(now, position, replies, len(replies) == len(siblings)) })
	})
}

// learn takes the replies of siblings into account, which were asked while the
// view at the position was in force.
func (c *claims) learn(now time.Time, position view.Position, replies []pastReply, all bool) {
	own := c.history.Past(now)
	complete := slices.ContainsFunc(replies, func(reply pastReply) bool { return reply.Complete && reply.covers(own) })
	established := slices.ContainsFunc(replies, func(reply pastReply) bool { return reply.Complete || reply.Established })

	for _, reply := range replies {
		if reply.Complete || reply.Established {
			c.history.Merge(now, reply.Past)
		}
	}

	if c.gap && (complete || all) {
		c.gap = false
		c.confirm(now)
	}

	if all && !established && !c.established && c.founds(now, position) {
		c.history.AssumeFirst(now)
	}
}

// founds reports whether the agent may begin to claim for a new service, as far
// as its own view tells: it is not older than what a sibling has told, and has
// enough agents, or has had time to get them.
func (c *claims) founds(now time.Time, position view.Position) bool {
	if c.position != position || c.position.Less(c.promised) {
		return false
	}

	return c.history.Members() >= claim.Holders || now.Sub(c.seen) >= foundingTime
}

// pastOf bounds each call by itself: one silent sibling must not use up the
// time for the others.
func (c *claims) pastOf(ctx context.Context, sibling view.Agent, position view.Position) (pastReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimCall)
	defer cancel()

	var reply pastReply

	err := c.sibling(sibling).Call(ctx, methodPast, &pastRequest{Position: position}, &reply)

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
// took it over. Once one may have it, no other gets it.
func (c *claims) handOffSeat(
	ctx context.Context, seat view.Incarnation, successors []view.Agent,
) (view.Incarnation, bool) {
	for _, successor := range successors {
		moved, err := c.moveSeat(ctx, seat, successor)
		if err == nil {
			return successor.Incarnation, true
		}

		c.logger.Warn("claims not handed off", "seat", seat, "successor", successor.Incarnation, "error", err)

		if moved {
			return 0, false
		}
	}

	return 0, false
}

// announceMove tells all siblings who answers for the seat. One that misses it
// counts it as a lost holder, which a majority of the others makes up for.
func (c *claims) announceMove(ctx context.Context, moved movedSeat) {
	var siblings []view.Agent

	c.do(ctx, func(time.Time) {
		for incarnation, agent := range c.agents {
			if incarnation != c.self() {
				siblings = append(siblings, agent)
			}
		}
	})

	ctx, cancel := context.WithTimeout(ctx, pastTimeout)
	defer cancel()

	var group conc.WaitGroup

	for _, sibling := range siblings {
		group.Go(func() {
			if err := c.sibling(sibling).Call(ctx, methodMoved, &moved, &empty{}); err != nil {
				c.logger.Warn("sibling not told of moved claims", "sibling", sibling.Incarnation, "error", err)
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

	c.answerMoved(ctx, moved)

	return &empty{}, nil
}

func (c *claims) answerMoved(ctx context.Context, moved movedSeat) {
	c.do(ctx, func(time.Time) { c.history.Move(moved.Seat, moved.Successor) })
}

// successors returns the active siblings, those in the same availability zone
// first, where the leaving agent counted too.
func (c *claims) successors() []view.Agent {
	found := make([]view.Agent, 0, len(c.agents))

	for incarnation, agent := range c.agents {
		if incarnation != c.self() && agent.State == view.Active {
			found = append(found, agent)
		}
	}

	slices.SortFunc(found, func(a, b view.Agent) int {
		if near := a.Zone == c.zone; near != (b.Zone == c.zone) {
			if near {
				return -1
			}

			return 1
		}

		return cmp.Compare(a.Incarnation, b.Incarnation)
	})

	return found
}

// moveSeat transfers the claims of a seat. With an error it reports whether the
// successor may have taken the seat over; if not, the seat is here again.
func (c *claims) moveSeat(ctx context.Context, seat view.Incarnation, successor view.Agent) (moved bool, err error) {
	var transfer claim.Transfer

	c.do(ctx, func(now time.Time) { transfer, err = c.store.Export(now, seat, successor.Incarnation) })

	if err != nil {
		return false, errors.Trace(err)
	}

	if moved, err = c.sendSeat(ctx, transfer, successor); err == nil || moved {
		return moved, err
	}

	cause := err

	c.do(ctx, func(now time.Time) { err = c.store.Restore(now, transfer) })

	return err != nil, cause
}

// sendSeat sends a transfer in parts. The successor takes it over with the last.
func (c *claims) sendSeat(ctx context.Context, transfer claim.Transfer, successor view.Agent) (moved bool, err error) {
	encoded, err := claim.Encode(transfer)
	if err != nil {
		return false, errors.Trace(err)
	}

	ctx, cancel := context.WithTimeout(ctx, transferCall)
	defer cancel()

	client := c.sibling(successor)

	for offset := 0; ; offset += partSize {
		end := min(offset+partSize, len(encoded))
		part := transferPart{Seat: transfer.Seat, Offset: offset, Bytes: encoded[offset:end], Last: end == len(encoded)}

		if err := client.Call(ctx, methodTransfer, &part, &empty{}); err != nil {
			refused := link.KindOf(err) == link.KindInvalid || linkFailure(err).state == peer.NotRun

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

func (c *claims) answerTransfer(ctx context.Context, part transferPart) (*empty, error) {
	var err error

	if !c.do(ctx, func(now time.Time) { err = c.receivePart(now, part) }) {
		return nil, link.Errorf(link.KindBusy, "the agent is stopping")
	}

	if err != nil {
		return nil, link.NewError(link.KindInvalid, err)
	}

	return &empty{}, nil
}

// dropTransfers forgets transfers whose sender has given up.
func (c *claims) dropTransfers(now time.Time) {
	maps.DeleteFunc(c.incoming, func(_ view.Incarnation, received *incoming) bool {
		return now.Sub(received.last) > transferCall
	})
}

// receivePart collects the parts of a transfer in order and imports the whole.
func (c *claims) receivePart(now time.Time, part transferPart) error {
	if c.store == nil {
		return errors.New("the agent has no incarnation yet")
	}

	received := c.incoming[part.Seat]
	if received == nil || part.Offset == 0 {
		received = &incoming{}
		c.incoming[part.Seat] = received
	}

	if part.Offset != len(received.bytes) || len(received.bytes)+len(part.Bytes) > maxTransfer {
		delete(c.incoming, part.Seat)

		return errors.Errorf("part at %d does not follow %d bytes", part.Offset, len(received.bytes))
	}

	received.bytes = append(received.bytes, part.Bytes...)
	received.last = now

	if !part.Last {
		return nil
	}

	defer delete(c.incoming, part.Seat)

	transfer, err := claim.DecodeTransfer(received.bytes)
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(c.store.Import(now, transfer))
}
