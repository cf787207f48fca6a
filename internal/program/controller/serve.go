package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

// registerMethods registers the handlers of the control methods.
func (c *Controller) registerMethods() {
	publishers := make([]*rollout.Publisher, 0, len(c.publishers))
	for _, publisher := range c.publishers {
		publishers = append(publishers, publisher)
	}

	c.server.HandleStream(control.MethodWatch, rollout.Handler(publishers...))

	instances := []identity.Role{identity.RoleAgent, identity.RoleBalancer}
	operators := []identity.Role{identity.RoleOperator}
	controllers := []identity.Role{identity.RoleController}

	c.server.Handle(control.MethodAnnounce, newHandler(instances, c.announce))
	c.server.Handle(control.MethodRenew, newHandler(instances, c.renew))
	c.server.Handle(control.MethodLeave, newHandler(instances, c.leave))
	c.server.Handle(control.MethodSubmit, newHandler(operators, c.submit))
	c.server.Handle(control.MethodSign, newHandler(operators, c.sign))
	c.server.Handle(control.MethodReject, newHandler(operators, c.reject))
	c.server.Handle(control.MethodPromote, newHandler(operators, c.promote))
	c.server.Handle(control.MethodReplaceOwner, newHandler(operators, c.replaceOwner))
	c.server.Handle(control.MethodRotateKey, newHandler(operators, c.rotateKey))
	c.server.Handle(control.MethodStatus, newHandler(operators, c.status))
	c.server.Handle(control.MethodHistory, newHandler(operators, c.history))
	c.server.Handle(control.MethodExplain, newHandler(operators, c.explain))
	c.server.Handle(control.MethodMembers, newHandler(append(operators, controllers...), c.changeMembers))
	c.server.Handle(control.MethodReadIndex, newHandler(controllers, c.readIndex))
	c.server.Handle(control.MethodReplicate, newHandler(controllers, c.replicate))
}

// newHandler returns a link handler that checks the caller's role and decodes the
// request.
func newHandler[Q any](roles []identity.Role, handler func(ctx context.Context, request Q) (any, error)) link.Handler {
	accept := identity.Policy{Roles: roles}

	return func(ctx context.Context, request *link.Request) (any, error) {
		if err := accept.Check(link.Peer(ctx)); err != nil {
			return nil, link.NewError(link.KindDenied, err)
		}

		var message Q
		if err := request.Decode(&message); err != nil {
			return nil, err
		}

		return handler(ctx, message)
	}
}

// sendEvent sends an event to the owner and waits for the reply. It fails at once
// if the channel of events is full.
func sendEvent[A any](ctx context.Context, events chan<- event, next event, reply <-chan A) (A, error) {
	var zero A

	select {
	case events <- next:
	default:
		return zero, link.Errorf(link.KindBusy, "the inbox is full with %d events", maxPendingEvents)
	}

	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return zero, link.NewError(link.KindDeadline, context.Cause(ctx))
	}
}

// propose proposes a command and waits until it is applied or refused.
func (c *Controller) propose(ctx context.Context, proposed catalog.Command) (proposalResult, error) {
	reply := make(chan proposalResult, 1)

	outcome, err := sendEvent(ctx, c.events, &proposeCommand{command: proposed, reply: reply}, reply)
	if err != nil {
		return outcome, err
	}

	return outcome, outcome.err
}

// readLinearizable runs a query on the owner's state after a quorum has confirmed
// that this controller is the leader.
func readLinearizable[A any](ctx context.Context, c *Controller, query func(o *owner, index uint64) A) (A, error) {
	type outcome struct {
		value A
		err   error
	}

	reply := make(chan outcome, 1)
	request := &readIndex{onError: func(err error) { reply <- outcome{err: err} }}
	request.onConfirmed = func(o *owner, _ time.Time) { reply <- outcome{value: query(o, request.index)} }

	result, err := sendEvent(ctx, c.events, request, reply)
	if err != nil {
		return result.value, err
	}

	return result.value, result.err
}

// checkEnvironment returns an error if the caller belongs to another environment.
func checkEnvironment(ctx context.Context, environment string) error {
	if err := (identity.Policy{Environment: environment}).Check(link.Peer(ctx)); err != nil {
		return link.NewError(link.KindDenied, err)
	}

	return nil
}

func (c *Controller) announce(ctx context.Context, request control.Announce) (any, error) {
	if err := checkEnvironment(ctx, request.Environment); err != nil {
		return nil, err
	}

	peer := link.Peer(ctx)
	if string(peer.Role) != request.Role || peer.Service != request.Service {
		return nil, link.Errorf(link.KindDenied, "%s may not announce role %q and service %q",
			peer, request.Role, request.Service)
	}

	outcome, err := c.propose(ctx, catalog.Command{Announce: toAnnounce(request)})
	if err != nil {
		return nil, err
	}

	if err := outcome.result.Err(); err != nil {
		return nil, link.NewError(linkKind(outcome.result.Kind), err)
	}

	return control.AnnounceReply{
		Incarnation: outcome.result.Incarnation,
		Weight:      outcome.result.Weight,
		Position:    outcome.position,
		TTL:         LeaseTTL,
	}, nil
}

func (c *Controller) renew(ctx context.Context, request control.Renew) (any, error) {
	if err := checkEnvironment(ctx, request.Environment); err != nil {
		return nil, err
	}

	reply := make(chan renewResult, 1)

	outcome, err := sendEvent(ctx, c.events, &renew{request: request, reply: reply}, reply)
	if err != nil {
		return nil, err
	}

	return control.RenewReply{Unknown: outcome.unknown}, outcome.err
}

func (c *Controller) leave(ctx context.Context, request control.Leave) (any, error) {
	if err := checkEnvironment(ctx, request.Environment); err != nil {
		return nil, err
	}

	outcome, err := c.propose(ctx, catalog.Command{Leave: toLeave(request)})
	if err != nil {
		return nil, err
	}

	if err := outcome.result.Err(); err != nil {
		return nil, link.NewError(linkKind(outcome.result.Kind), err)
	}

	return control.LeaveReply{Position: outcome.position}, nil
}

func (c *Controller) replicate(ctx context.Context, request control.Replicate) (any, error) {
	if c.network.isolated() {
		return nil, link.Errorf(link.KindBusy, "the controller is isolated")
	}

	received := &receivedMessages{}

	for _, encoded := range request.Messages {
		message, err := raft.DecodeMessage(encoded)
		if err != nil {
			return nil, link.NewError(link.KindInvalid, err)
		}

		received.messages = append(received.messages, *message)
	}

	c.network.setAddress(raft.ReplicaID(request.Replica), request.Address)

	select {
	case c.events <- received:
		return nil, nil
	case <-ctx.Done():
		return nil, link.NewError(link.KindDeadline, context.Cause(ctx))
	}
}

func (c *Controller) readIndex(ctx context.Context, _ control.ReadIndex) (any, error) {
	if c.network.isolated() {
		return nil, link.Errorf(link.KindBusy, "the controller is isolated")
	}

	index, err := readLinearizable(ctx, c, func(_ *owner, index uint64) uint64 { return index })

	return control.ReadIndexReply{Index: index}, err
}

func (c *Controller) changeMembers(ctx context.Context, request control.Members) (any, error) {
	// Controllers add and promote themselves. Only operators may remove members.
	peer := link.Peer(ctx)
	if peer.Role == identity.RoleController && request.Action == control.MembersRemove {
		return nil, link.Errorf(link.KindDenied, "%s may not remove members", peer)
	}

	if request.Action == control.MembersLocal {
		reply := make(chan control.MembersReply, 1)

		return sendEvent(ctx, c.events, &listMembers{reply: reply}, reply)
	}

	reply := make(chan proposalResult, 1)

	outcome, err := sendEvent(ctx, c.events, &changeMembers{request: request, reply: reply}, reply)
	if err != nil {
		return nil, err
	}

	if outcome.err != nil {
		return nil, outcome.err
	}

	membersReply, err := readLinearizable(ctx, c, func(o *owner, _ uint64) control.MembersReply { return o.members() })
	if err != nil {
		return nil, err
	}

	if listed, _ := findMember(membersReply, request.Member.Replica); request.Action == control.MembersAdd && !listed {
		return nil, link.Errorf(link.KindBusy, "the former replica at %s was removed, retry to add the new one",
			request.Member.Address)
	}

	return membersReply, nil
}

// confirmViews periodically confirms the views of a follower: it asks the leader
// for its read index and waits until the follower has applied it. An isolated
// controller gets no reply, so its subscribers see that its views are
// unconfirmed.
func (c *Controller) confirmViews(ctx context.Context) {
	peers, err := c.settings.peers()
	if err != nil || len(peers) == 0 {
		return
	}

	client := c.network.dial(peers...)
	defer client.Close()

	for ; ctx.Err() == nil; sleep(ctx, confirmInterval) {
		if c.network.isolated() {
			continue
		}

		if err := c.confirmViewsOnce(ctx, client); err != nil {
			c.logger.Debug("could not confirm the views", "error", err)
		}
	}
}

func (c *Controller) confirmViewsOnce(ctx context.Context, client *link.Client) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()

	var reply control.ReadIndexReply

	requestedAt := time.Now()
	if err := client.Call(ctx, control.MethodReadIndex, control.ReadIndex{}, &reply); err != nil {
		return err
	}

	for ctx.Err() == nil {
		done := make(chan bool, 1)

		applied, err := sendEvent(ctx, c.events, &confirmApplied{index: reply.Index, at: requestedAt, reply: done}, done)
		if err != nil || applied {
			return err
		}

		sleep(ctx, tickInterval)
	}

	return errors.Errorf("index %d is not applied yet", reply.Index)
}
