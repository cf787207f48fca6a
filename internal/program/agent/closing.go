package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

const (
	// closingDelay is how long a membership is in force before earlier ones are
	// closed, so that views and moved seats have reached all agents.
	closingDelay = time.Second
	// closingStagger is the additional delay of each further member. The member
	// with the lowest incarnation coordinates unless it fails to.
	closingStagger = 5 * time.Second
	// closingRetryInterval is the pause after a closing that failed.
	closingRetryInterval = 3 * time.Second
	// sealSettleTime is how long claims that began before the seal may still be
	// released. What is carried earlier stays reserved until it expires.
	sealSettleTime = claim.ClaimTimeout + 500*time.Millisecond
	// carryTimeout bounds the time in which one agent sends its claims to the
	// holders of the new membership.
	carryTimeout = 10 * time.Second
	// maxCarriedRecords limits the claims of one message: with answers of the
	// maximum size they take half of link.MaxFrameBytes.
	maxCarriedRecords = 200
)

// sealReply reports whether a sibling has the membership of the seal in force.
type sealReply struct {
	Accepted bool           `cbor:"1,keyasint"`
	Closing  *claim.Closing `cbor:"2,keyasint,omitempty"` // if the sibling knows one for this seal
}

// Check returns an error if the closing is not valid.
func (r *sealReply) Check() error {
	if r.Closing == nil {
		return nil
	}

	return r.Closing.Check()
}

// carryReply lists the seats whose claims the holders of the new membership know.
type carryReply struct {
	Seats []view.Incarnation `cbor:"1,keyasint"`
}

// carriedClaims are claims of keys that the recipient holds in a new membership.
type carriedClaims struct {
	Records []claim.Record `cbor:"1,keyasint"`
}

// Check returns an error for the first invalid record.
func (c *carriedClaims) Check() error { return claim.CheckRecords(c.Records) }

// closeMemberships starts to close the memberships before the one in force, if one
// of them has lost a holder. Otherwise a second loss within the time for which
// claims are kept could leave keys without a majority of their holders.
//
//  1. All members seal their seats: from then on they grant keys only to claimants
//     that ask the holders of the membership in force too.
//  2. All members carry their claims to these holders.
//  3. All members learn that the earlier memberships need not be asked any more.
//
// A closing that fails at any point leaves claims as safe as before, and is tried
// again with the membership that is in force by then.
func (c *claims) closeMemberships(ctx context.Context, now time.Time) {
	seal, since, lost := c.history.LostHolder()
	if !lost || c.closing || now.Before(c.nextClosing) || c.position.Less(seal.Position) {
		return
	}

	rank := slices.IndexFunc(seal.Members, func(m claim.Member) bool { return m.Incarnation == c.self() })
	if rank < 0 || now.Sub(since) < closingDelay+time.Duration(rank)*closingStagger {
		return
	}

	members := make([]view.Agent, 0, len(seal.Members))

	for _, member := range seal.Members {
		agent, ok := c.agents[member.Incarnation]
		if !ok {
			return
		}

		members = append(members, agent)
	}

	c.closing = true

	c.background.Go(func() {
		began := time.Now()

		closing, err := c.coordinateClosing(ctx, seal, members)
		if err != nil {
			c.logger.Warn("memberships not closed", "position", seal.Position, "error", err)
		} else {
			c.logger.Info("memberships closed", "position", seal.Position, "seats", len(closing.Seats),
				"duration", time.Since(began))
		}

		c.post(ctx, func(now time.Time) {
			c.closing = false
			c.nextClosing = now.Add(closingRetryInterval)

			if err == nil {
				c.history.Close(now, closing)
			}
		})
	})
}

// coordinateClosing runs the three steps of a closing.
func (c *claims) coordinateClosing(ctx context.Context, seal claim.Seal, members []view.Agent) (claim.Closing, error) {
	seals, err := callMembers(ctx, members, claimCallTimeout,
		func(ctx context.Context, member view.Agent) (sealReply, error) { return c.seal(ctx, member, seal) })
	if err != nil {
		return claim.Closing{}, err
	}

	if done := slices.IndexFunc(seals, func(r sealReply) bool { return r.Closing != nil }); done >= 0 {
		return *seals[done].Closing, nil
	}

	if slices.ContainsFunc(seals, func(r sealReply) bool { return !r.Accepted }) {
		return claim.Closing{}, newError("close memberships", KindSibling,
			errors.New("a member has another membership in force"))
	}

	if !sleep(ctx, sealSettleTime) {
		return claim.Closing{}, errors.Trace(ctx.Err())
	}

	carried, err := callMembers(ctx, members, carryTimeout,
		func(ctx context.Context, member view.Agent) (carryReply, error) { return c.carry(ctx, member, seal) })
	if err != nil {
		return claim.Closing{}, err
	}

	closing := claim.Closing{Seal: seal}
	for _, reply := range carried {
		closing.Seats = append(closing.Seats, reply.Seats...)
	}

	_, err = callMembers(ctx, members, claimCallTimeout,
		func(ctx context.Context, member view.Agent) (emptyReply, error) {
			if member.Incarnation == c.self() {
				return emptyReply{}, nil // by the caller
			}

			return callSibling[emptyReply](ctx, c.siblingClient(member), methodClosed, &closing)
		})
	if err != nil {
		// The members that missed it ask for it when it is their turn to coordinate.
		c.logger.Info("a member has not learned the closing yet", "error", err)
	}

	return closing, nil
}

// callMembers calls all members at once and returns their replies, or an error if
// one of them fails.
func callMembers[R any](
	ctx context.Context, members []view.Agent, timeout time.Duration, do func(context.Context, view.Agent) (R, error),
) ([]R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	group := pool.NewWithResults[R]().WithContext(ctx)

	for _, member := range members {
		group.Go(func(ctx context.Context) (R, error) { return do(ctx, member) })
	}

	return group.Wait()
}

// callSibling calls a sibling and returns its reply.
func callSibling[R any](ctx context.Context, client rpcClient, method string, request any) (R, error) {
	var reply R

	err := client.Call(ctx, method, request, &reply)

	return reply, errors.Trace(err)
}

func (c *claims) seal(ctx context.Context, member view.Agent, seal claim.Seal) (sealReply, error) {
	if member.Incarnation == c.self() {
		return c.answerSeal(ctx, seal), nil
	}

	return callSibling[sealReply](ctx, c.siblingClient(member), methodSeal, &seal)
}

func (c *claims) carry(ctx context.Context, member view.Agent, seal claim.Seal) (carryReply, error) {
	if member.Incarnation == c.self() {
		return c.answerCarry(ctx, seal)
	}

	return callSibling[carryReply](ctx, c.siblingClient(member), methodCarry, &seal)
}

func (c *claims) handleSeal(ctx context.Context, request *link.Request) (any, error) {
	seal, err := decodeFromSibling[claim.Seal](ctx, c, request)
	if err != nil {
		return nil, err
	}

	reply := c.answerSeal(ctx, seal)

	return &reply, nil
}

func (c *claims) answerSeal(ctx context.Context, seal claim.Seal) sealReply {
	var reply sealReply

	c.do(ctx, func(now time.Time) {
		if closing, known := c.history.ClosingAt(seal.Position); known {
			reply.Closing = &closing
		}

		if c.store != nil && c.history.AcceptSeal(seal) {
			c.store.Seal(now, seal)

			reply.Accepted = true
		}
	})

	return reply
}

func (c *claims) handleCarry(ctx context.Context, request *link.Request) (any, error) {
	seal, err := decodeFromSibling[claim.Seal](ctx, c, request)
	if err != nil {
		return nil, err
	}

	reply, err := c.answerCarry(ctx, seal)

	return &reply, err
}

// answerCarry sends the claims of all seats of this agent to the holders in the
// membership of the seal.
func (c *claims) answerCarry(ctx context.Context, seal claim.Seal) (carryReply, error) {
	var (
		reply   carryReply
		carried map[view.Incarnation][]claim.Record
		holders map[view.Incarnation]view.Agent
	)

	c.do(ctx, func(now time.Time) {
		if c.store == nil || !c.store.SealedBy(seal) {
			return
		}

		carried, reply.Seats = c.store.Carry(now, seal.Members)
		holders = maps.Clone(c.agents)
	})

	if reply.Seats == nil {
		return carryReply{}, link.Errorf(link.KindConflict, "the seal at %s is not in force", seal.Position)
	}

	for incarnation, records := range carried {
		holder, ok := holders[incarnation]
		if !ok {
			return carryReply{}, link.Errorf(link.KindConflict, "holder %d has left", incarnation)
		}

		for batch := range slices.Chunk(records, maxCarriedRecords) {
			if err := c.offer(ctx, holder, carriedClaims{Records: batch}); err != nil {
				return carryReply{}, err
			}
		}
	}

	return reply, nil
}

// offer gives claims to a holder.
func (c *claims) offer(ctx context.Context, holder view.Agent, claims carriedClaims) error {
	if holder.Incarnation == c.self() {
		_, err := c.answerAdopt(ctx, claims)

		return err
	}

	_, err := callSibling[emptyReply](ctx, c.siblingClient(holder), methodAdopt, &claims)

	return err
}

func (c *claims) handleAdopt(ctx context.Context, request *link.Request) (any, error) {
	carried, err := decodeFromSibling[carriedClaims](ctx, c, request)
	if err != nil {
		return nil, err
	}

	return c.answerAdopt(ctx, carried)
}

func (c *claims) answerAdopt(ctx context.Context, carried carriedClaims) (*emptyReply, error) {
	adopted, err := false, error(nil)

	c.do(ctx, func(now time.Time) {
		if c.store != nil {
			adopted = true
			err = c.store.Adopt(now, c.self(), carried.Records)
		}
	})

	if !adopted {
		return nil, link.Errorf(link.KindBusy, "the agent is starting or stopping")
	}

	if err != nil {
		return nil, link.NewError(link.KindInvalid, err)
	}

	return &emptyReply{}, nil
}

func (c *claims) handleClosed(ctx context.Context, request *link.Request) (any, error) {
	closing, err := decodeFromSibling[claim.Closing](ctx, c, request)
	if err != nil {
		return nil, err
	}

	c.answerClosed(ctx, closing)

	return &emptyReply{}, nil
}

func (c *claims) answerClosed(ctx context.Context, closing claim.Closing) {
	c.do(ctx, func(now time.Time) { c.history.Close(now, closing) })
}
