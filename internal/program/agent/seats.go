package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

// The methods between agents of one service.
const (
	methodClaim    = "claim"          // claim.Request, claim.Reply
	methodPast     = "claim-past"     // empty, pastReply
	methodTransfer = "claim-transfer" // transferPart, empty
	methodMoved    = "claim-moved"    // movedSeats, empty
)

const (
	// partSize is the part of a transfer in one call, well below link.MaxFrame.
	partSize = 1 << 20
	// maxTransfer bounds a transfer: every claim at its largest size.
	maxTransfer  = 512 << 20
	pastTimeout  = time.Second
	transferCall = 10 * time.Second
)

// pastReply is the history of an agent. An agent that has only started does
// not know the past.
type pastReply struct {
	Complete bool       `cbor:"1,keyasint"`
	Past     claim.Past `cbor:"2,keyasint"`
}

// transferPart is a part of the claims of a seat that moves.
type transferPart struct {
	Seat   view.Incarnation `cbor:"1,keyasint"`
	Offset int              `cbor:"2,keyasint"`
	Bytes  []byte           `cbor:"3,keyasint"`
	Last   bool             `cbor:"4,keyasint"`
}

// movedSeats tells that another agent answers for the seats of a leaving one.
type movedSeats struct {
	Seats     []view.Incarnation `cbor:"1,keyasint"`
	Successor view.Incarnation   `cbor:"2,keyasint"`
}

type empty struct{}

func (c *claims) handlePast(ctx context.Context, _ *link.Request) (any, error) {
	if err := c.checkPeer(ctx); err != nil {
		return nil, err
	}

	var reply pastReply

	c.do(ctx, func(now time.Time) {
		reply = pastReply{Complete: c.history.Complete(now), Past: c.history.Past(now)}
	})

	return &reply, nil
}

// askPast asks all siblings which memberships there were. If all of them
// answer and none knows, no claim exists: the service has just started.
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

	c.background.Go(func() {
		defer c.post(ctx, func(time.Time) { c.asking = false })

		limited, cancel := context.WithTimeout(ctx, pastTimeout)
		defer cancel()

		fresh := 0

		for _, sibling := range siblings {
			var reply pastReply
			if err := c.sibling(sibling).Call(limited, methodPast, &empty{}, &reply); err != nil {
				continue
			}

			if reply.Complete {
				c.post(ctx, func(now time.Time) { c.history.Merge(now, reply.Past) })

				return
			}

			fresh++
		}

		if fresh == len(siblings) {
			c.post(ctx, func(now time.Time) { c.history.AssumeFirst(now) })
		}
	})
}

// handOff moves the seats of a leaving agent to a sibling, so that its claims
// are still known afterwards.
func (c *claims) handOff(ctx context.Context) {
	var (
		seats     []view.Incarnation
		successor view.Agent
		found     bool
	)

	c.do(ctx, func(time.Time) {
		if c.store != nil {
			seats = c.store.Seats()
		}

		successor, found = c.successor()
	})

	if !found {
		return
	}

	moved := movedSeats{Successor: successor.Incarnation}

	for _, seat := range seats {
		if err := c.moveSeat(ctx, seat, successor); err != nil {
			c.logger.Warn("claims not handed off", "seat", seat, "successor", successor.Incarnation, "error", err)

			continue
		}

		moved.Seats = append(moved.Seats, seat)
	}

	c.announceMove(ctx, moved)
}

// announceMove tells all siblings who answers for the seats. One that misses it
// counts the seats as lost holders, which a majority of the others makes up for.
func (c *claims) announceMove(ctx context.Context, moved movedSeats) {
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

	var moved movedSeats
	if err := request.Decode(&moved); err != nil {
		return nil, err
	}

	c.do(ctx, func(time.Time) {
		for _, seat := range moved.Seats {
			c.history.Move(seat, moved.Successor)
		}
	})

	return &empty{}, nil
}

// successor prefers an active agent in the same availability zone, where the
// leaving agent counted too.
func (c *claims) successor() (view.Agent, bool) {
	var (
		best  view.Agent
		found bool
	)

	for incarnation, agent := range c.agents {
		if incarnation == c.self() || agent.State != view.Active {
			continue
		}

		near := agent.Zone == c.zone
		if !found || (near && best.Zone != c.zone) {
			best, found = agent, true
		}
	}

	return best, found
}

func (c *claims) moveSeat(ctx context.Context, seat view.Incarnation, successor view.Agent) error {
	var (
		transfer claim.Transfer
		err      error
	)

	c.do(ctx, func(now time.Time) { transfer, err = c.store.Export(now, seat, successor.Incarnation) })

	if err != nil {
		return errors.Trace(err)
	}

	encoded, err := claim.Encode(transfer)
	if err != nil {
		return errors.Trace(err)
	}

	ctx, cancel := context.WithTimeout(ctx, transferCall)
	defer cancel()

	client := c.sibling(successor)

	for offset := 0; ; offset += partSize {
		end := min(offset+partSize, len(encoded))
		part := transferPart{Seat: seat, Offset: offset, Bytes: encoded[offset:end], Last: end == len(encoded)}

		if err := client.Call(ctx, methodTransfer, &part, &empty{}); err != nil {
			return errors.Trace(err)
		}

		if part.Last {
			return nil
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

	var err error

	c.do(ctx, func(now time.Time) { err = c.receivePart(now, part) })

	if err != nil {
		return nil, link.NewError(link.KindInvalid, err)
	}

	return &empty{}, nil
}

// receivePart collects the parts of a transfer in order and imports the whole.
func (c *claims) receivePart(now time.Time, part transferPart) error {
	received := c.incoming[part.Seat]
	if part.Offset == 0 {
		received = nil
	}

	if part.Offset != len(received) || len(received)+len(part.Bytes) > maxTransfer {
		delete(c.incoming, part.Seat)

		return errors.Errorf("part at %d does not follow %d bytes", part.Offset, len(received))
	}

	c.incoming[part.Seat] = append(received, part.Bytes...)
	if !part.Last {
		return nil
	}

	defer delete(c.incoming, part.Seat)

	var transfer claim.Transfer
	if err := cbor.Unmarshal(c.incoming[part.Seat], &transfer); err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(c.store.Import(now, transfer))
}
