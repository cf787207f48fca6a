package controller

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/link"
)

// proposeChange proposes a command that changes a document or an owner.
func (c *Controller) proposeChange(ctx context.Context, environment string, proposed catalog.Command) (any, error) {
	outcome, err := c.propose(ctx, proposed)
	if err != nil {
		return nil, err
	}

	return toChangeReply(c.settings.Name, environment, outcome.result), nil
}

// withChangeID adds the change ID of the request to its reply, because the
// operator needs it to resend the request. The reply to a conflict keeps the ID
// of the change that won.
func withChangeID(id string, result any, err error) (any, error) {
	reply, ok := result.(control.ChangeReply)
	if ok && reply.State != control.StateConflict {
		reply.Change.ChangeID = id
		result = reply
	}

	return result, err
}

func (c *Controller) submit(ctx context.Context, request control.Submit) (any, error) {
	result, err := c.proposeChange(ctx, request.Environment, catalog.Command{Submit: &catalog.Submit{
		Environment: request.Environment,
		Base:        request.Base,
		ChangeID:    request.ChangeID,
		Author:      request.Author,
		Reason:      request.Reason,
		Document:    request.Document,
	}})

	return withChangeID(request.ChangeID, result, err)
}

func (c *Controller) sign(ctx context.Context, request control.Sign) (any, error) {
	return c.proposeChange(ctx, request.Environment, catalog.Command{Sign: &catalog.Sign{
		Environment: request.Environment,
		Version:     request.Version,
		Digest:      [32]byte(request.Digest),
		Owner:       request.Owner,
		Signature:   request.Signature,
	}})
}

func (c *Controller) reject(ctx context.Context, request control.Reject) (any, error) {
	return c.proposeChange(ctx, request.Environment, catalog.Command{Reject: &catalog.Reject{
		Environment: request.Environment,
		Version:     request.Version,
		Digest:      [32]byte(request.Digest),
		Owner:       request.Owner,
		Signature:   request.Signature,
	}})
}

func (c *Controller) promote(ctx context.Context, request control.Promote) (any, error) {
	result, err := c.proposeChange(ctx, catalog.Production, catalog.Command{Promote: &catalog.Promote{
		Base:     request.Base,
		ChangeID: request.ChangeID,
		Author:   request.Author,
		Reason:   request.Reason,
		Digest:   [32]byte(request.Digest),
	}})

	return withChangeID(request.ChangeID, result, err)
}

func (c *Controller) replaceOwner(ctx context.Context, request control.ReplaceOwner) (any, error) {
	result, err := c.proposeChange(ctx, catalog.Owners, catalog.Command{ReplaceOwner: &catalog.ReplaceOwner{
		Base:     request.Base,
		ChangeID: request.ChangeID,
		Author:   request.Author,
		Reason:   request.Reason,
		Owner:    request.Owner,
		NewName:  request.NewName,
		NewKey:   request.PublicKey,
	}})

	return withChangeID(request.ChangeID, result, err)
}

func (c *Controller) rotateKey(ctx context.Context, request control.RotateKey) (any, error) {
	key := newKey(request.Environment, request.Rotation)

	outcome, err := c.propose(ctx, catalog.Command{RotateKey: key})
	if err != nil {
		return nil, err
	}

	if err := outcome.result.Err(); err != nil {
		return nil, link.NewError(linkKind(outcome.result.Kind), err)
	}

	return control.RotateKeyReply{
		KeyID: outcome.result.KeyID, Rotation: outcome.result.Rotation, Leader: c.settings.Name,
	}, nil
}

func (c *Controller) status(ctx context.Context, request control.Status) (any, error) {
	reply, err := readLinearizable(ctx, c, func(o *owner, _ uint64) *control.StatusReply { return o.status(request) })
	if err == nil && reply == nil {
		err = link.Errorf(link.KindNotFound, "environment %q does not exist", request.Environment)
	}

	return reply, err
}

func (o *owner) status(request control.Status) *control.StatusReply {
	environment := request.Environment

	current := o.state.View(environment)
	if current == nil {
		return nil
	}

	digest := current.DocumentDigest()
	inForce, _ := o.leases[environment].InForce(current.Position())
	reply := &control.StatusReply{
		Environment: environment,
		Leader:      o.name,
		Term:        o.node.Status().Term,
		Position:    current.Position(),
		Version:     current.Version(),
		Digest:      digest[:],
		Services:    uint32(len(current.Services())),
		Agents:      uint32(len(current.Agents())),
		Balancers:   uint32(len(current.Balancers())),
		InForce:     uint32(inForce),
		Rotation:    o.state.Rotations(environment),
		Instances:   o.instances(time.Now(), current, request.After),
	}

	if pending, ok := o.state.Pending(environment); ok {
		change := toChange(pending)
		reply.Pending = &change
	}

	return reply
}

// instances returns up to control.MaxInstances members with an incarnation above
// after, in the order of their incarnations.
func (o *owner) instances(now time.Time, current *view.View, after view.Incarnation) []control.Instance {
	var instances []control.Instance

	for _, agent := range current.Agents() {
		if agent.Incarnation > after {
			service, _ := current.Service(agent.Service)
			instances = append(instances, control.Instance{
				Incarnation: agent.Incarnation, Role: control.RoleAgent, Service: service.Name, Zone: agent.Zone,
				Data: agent.Data, State: agent.State, Weight: agent.Weight,
			})
		}
	}

	for _, balancer := range current.Balancers() {
		if balancer.Incarnation > after {
			instances = append(instances, control.Instance{
				Incarnation: balancer.Incarnation, Role: control.RoleBalancer, Zone: balancer.Zone,
				Data: balancer.Data, State: balancer.State,
			})
		}
	}

	slices.SortFunc(instances, func(a, b control.Instance) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	instances = instances[:min(len(instances), control.MaxInstances)]

	for i := range instances {
		o.addLeaseStatus(now, current.Environment(), &instances[i])
	}

	return instances
}

// addLeaseStatus adds the data of the last renewal that this leader received from
// the instance. Without one, Renewed is -1.
func (o *owner) addLeaseStatus(now time.Time, environment string, instance *control.Instance) {
	instance.Renewed = -1

	lease, ok := o.leases[environment].Status(instance.Incarnation)
	if !ok || lease.Renewed.IsZero() {
		return
	}

	instance.Load = lease.Load
	instance.Position = lease.Position
	instance.InForce = now.Sub(lease.Since)
	instance.Renewed = now.Sub(lease.Renewed)
}

func (c *Controller) history(ctx context.Context, request control.History) (any, error) {
	limit := int(request.Limit)
	if limit == 0 {
		limit = control.MaxHistory
	}

	records, err := readLinearizable(ctx, c, func(o *owner, _ uint64) []catalog.Record {
		return o.history(request.Environment, limit)
	})
	if err != nil {
		return nil, err
	}

	reply := control.HistoryReply{Leader: c.settings.Name}
	for _, record := range records {
		reply.Changes = append(reply.Changes, toChange(record))
	}

	return reply, nil
}

// history returns the pending change, if there is one, followed by the decided
// changes.
func (o *owner) history(environment string, limit int) []catalog.Record {
	decided := o.state.History(environment, limit)

	pending, ok := o.state.Pending(environment)
	if !ok || slices.ContainsFunc(decided, func(r catalog.Record) bool { return r.ChangeID == pending.ChangeID }) {
		return decided
	}

	records := append([]catalog.Record{pending}, decided...)

	return records[:min(len(records), limit)]
}

func (c *Controller) explain(ctx context.Context, request control.Explain) (any, error) {
	lines, err := readLinearizable(ctx, c, func(o *owner, _ uint64) []string { return o.explain(request) })
	if err == nil && len(lines) == 0 {
		err = link.Errorf(link.KindNotFound, "%q is neither a change ID nor a version of %q",
			request.Topic, request.Environment)
	}

	return control.ExplainReply{Lines: lines, Leader: c.settings.Name}, err
}

// explain describes a change, named by its ID or its version.
func (o *owner) explain(request control.Explain) []string {
	record, ok := o.state.Explain(request.Environment, request.Topic)
	if version, err := strconv.ParseUint(request.Topic, 10, 64); !ok && err == nil {
		record, ok = o.state.ExplainVersion(request.Environment, version)
	}

	if !ok {
		return nil
	}

	lines := []string{
		fmt.Sprintf("%s: version %d of %s is %s", record.ChangeID, record.Version, record.Environment, record.Status),
		fmt.Sprintf("submitted by %s at %s: %s", record.Author, formatTime(record.Submitted), record.Reason),
		fmt.Sprintf("digest %x", record.Digest),
	}

	for _, signature := range record.Signatures {
		lines = append(lines, fmt.Sprintf("%s by %s at %s", signature.Decision, signature.Owner, formatTime(signature.Time)))
	}

	if record.Decided != 0 {
		lines = append(lines, fmt.Sprintf("%s at %s", record.Status, formatTime(record.Decided)))
	}

	return append(lines, o.distribution(record)...)
}

// distribution describes at how many instances an accepted change is in force.
func (o *owner) distribution(record catalog.Record) []string {
	current := o.state.View(record.Environment)

	switch {
	case current == nil || record.Status != catalog.Accepted:
		return nil
	case current.Version() > record.Version:
		return []string{fmt.Sprintf("replaced by version %d", current.Version())}
	}

	inForce, total := o.leases[record.Environment].InForce(current.Position())

	return []string{fmt.Sprintf("in force at %d of %d instances, position %s", inForce, total, current.Position())}
}

func formatTime(nanoseconds int64) string {
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339Nano)
}
