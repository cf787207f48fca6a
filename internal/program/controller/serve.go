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

// register offers the methods of the control links.
func (c *Controller) register() {
	publishers := make([]*rollout.Publisher, 0, len(c.publishers))
	for _, publisher := range c.publishers {
		publishers = append(publishers, publisher)
	}

	c.server.HandleStream(control.MethodWatch, rollout.Handler(publishers...))

	instances := []identity.Role{identity.RoleAgent, identity.RoleBalancer}
	operators := []identity.Role{identity.RoleOperator}
	controllers := []identity.Role{identity.RoleController}

	c.server.Handle(control.MethodAnnounce, method(instances, c.announce))
	c.server.Handle(control.MethodRenew, method(instances, c.renew))
	c.server.Handle(control.MethodLeave, method(instances, c.leave))
	c.server.Handle(control.MethodSubmit, method(operators, c.submit))
	c.server.Handle(control.MethodSign, method(operators, c.sign))
	c.server.Handle(control.MethodReject, method(operators, c.reject))
	c.server.Handle(control.MethodPromote, method(operators, c.promote))
	c.server.Handle(control.MethodReplaceOwner, method(operators, c.replaceOwner))
	c.server.Handle(control.MethodRotateKey, method(operators, c.rotateKey))
	c.server.Handle(control.MethodStatus, method(operators, c.status))
	c.server.Handle(control.MethodHistory, method(operators, c.history))
	c.server.Handle(control.MethodExplain, method(operators, c.explain))
	c.server.Handle(control.MethodMembers, method(append(operators, controllers...), c.changeMembers))
	c.server.Handle(control.MethodReadIndex, method(controllers, c.readIndex))
	c.server.Handle(control.MethodReplicate, method(controllers, c.replicate))
}

// method decodes a request and checks the caller's role.
func method[Q any](roles []identity.Role, handler func(ctx context.Context, request Q) (any, error)) link.Handler {
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

// send passes an event to the owner and waits for the answer on its channel.
func send[A any](ctx context.Context, inbox chan<- event, next event, reply <-chan A) (A, error) {
	var none A

	select {
	case inbox <- next:
	default:
		return none, link.Errorf(link.KindBusy, "%d events wait already", inboxSize)
	}

	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return none, link.NewError(link.KindDeadline, context.Cause(ctx))
	}
}

// propose runs a command through the log.
func (c *Controller) propose(ctx context.Context, proposed catalog.Command) (answer, error) {
	reply := make(chan answer, 1)

	outcome, err := send(ctx, c.inbox, &command{command: proposed, reply: reply}, reply)
	if err != nil {
		return outcome, err
	}

	return outcome, outcome.err
}

// read runs a function with the owner's state once a quorum has confirmed
// that this controller leads.
func read[A any](ctx context.Context, c *Controller, look func(o *owner, index uint64) A) (A, error) {
	type outcome struct {
		value A
		err   error
	}

	reply := make(chan outcome, 1)
	question := &readIndex{lost: func(err error) { reply <- outcome{err: err} }}
	question.run = func(o *owner, _ time.Time) { reply <- outcome{value: look(o, question.index)} }

	result, err := send(ctx, c.inbox, question, reply)
	if err != nil {
		return result.value, err
	}

	return result.value, result.err
}

// checkEnvironment refuses an instance of another environment.
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
		return nil, link.NewError(refusalKind(outcome.result.Kind), err)
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

	reply := make(chan renewed, 1)

	outcome, err := send(ctx, c.inbox, &renew{request: request, reply: reply}, reply)
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
		return nil, link.NewError(refusalKind(outcome.result.Kind), err)
	}

	return control.LeaveReply{Position: outcome.position}, nil
}

func (c *Controller) replicate(ctx context.Context, request control.Replicate) (any, error) {
	if c.network.isolated() {
		return nil, link.Errorf(link.KindBusy, "the controller is isolated")
	}

	received := &messages{}

	for _, encoded := range request.Messages {
		message, err := raft.DecodeMessage(encoded)
		if err != nil {
			return nil, link.NewError(link.KindInvalid, err)
		}

		received.list = append(received.list, *message)
	}

	c.network.learn(raft.ReplicaID(request.Replica), request.Address)

	select {
	case c.inbox <- received:
		return nil, nil
	case <-ctx.Done():
		return nil, link.NewError(link.KindDeadline, context.Cause(ctx))
	}
}

func (c *Controller) readIndex(ctx context.Context, _ control.ReadIndex) (any, error) {
	if c.network.isolated() {
		return nil, link.Errorf(link.KindBusy, "the controller is isolated")
	}

	index, err := read(ctx, c, func(_ *owner, index uint64) uint64 { return index })

	return control.ReadIndexReply{Index: index}, err
}

func (c *Controller) changeMembers(ctx context.Context, request control.Members) (any, error) {
	// A controller can add and promote itself; removal is up to the operators.
	peer := link.Peer(ctx)
	if peer.Role == identity.RoleController && request.Action == control.MembersRemove {
		return nil, link.Errorf(link.KindDenied, "%s may not remove members", peer)
	}

	if request.Action == control.MembersHere {
		reply := make(chan control.MembersReply, 1)

		return send(ctx, c.inbox, &listMembers{reply: reply}, reply)
	}

	reply := make(chan answer, 1)

	outcome, err := send(ctx, c.inbox, &changeMembers{request: request, reply: reply}, reply)
	if err != nil {
		return nil, err
	}

	if outcome.err != nil {
		return nil, outcome.err
	}

	listed, err := read(ctx, c, func(o *owner, _ uint64) control.MembersReply { return o.members() })
	if err != nil {
		return nil, err
	}

	if known, _ := membership(listed, request.Member.Replica); request.Action == control.MembersAdd && !known {
		return nil, link.Errorf(link.KindBusy, "the former replica at %s was removed, ask again", request.Member.Address)
	}

	return listed, nil
}

// followReads confirms the views of a follower: the leader's read index has
// been applied here. An isolated controller gets no answer, so its subscribers
// learn that its views are unconfirmed.
func (c *Controller) followReads(ctx context.Context) {
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

		if err := c.followRead(ctx, client); err != nil {
			c.logger.Debug("the views are not confirmed", "error", err)
		}
	}
}

func (c *Controller) followRead(ctx context.Context, client *link.Client) error {
	ctx, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()

	var reply control.ReadIndexReply

	asked := time.Now()
	if err := client.Call(ctx, control.MethodReadIndex, control.ReadIndex{}, &reply); err != nil {
		return err
	}

	for ctx.Err() == nil {
		done := make(chan bool, 1)

		applied, err := send(ctx, c.inbox, &caughtUp{index: reply.Index, at: asked, reply: done}, done)
		if err != nil || applied {
			return err
		}

		sleep(ctx, tickInterval)
	}

	return errors.Errorf("index %d is not applied yet", reply.Index)
}
