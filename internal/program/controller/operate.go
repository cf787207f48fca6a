package controller

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/transport/link"
)

// change runs a command on a document or on the owners.
func (c *Controller) change(ctx context.Context, environment string, proposed catalog.Command) (any, error) {
	outcome, err := c.propose(ctx, proposed)
	if err != nil {
		return nil, err
	}

	return toChangeReply(c.settings.Name, environment, outcome.result), nil
}

// named adds the change ID to the reply to the request that carried it: the
// operator needs it for a resend. A conflict names the winner instead.
func named(id string, result any, err error) (any, error) {
	reply, ok := result.(control.ChangeReply)
	if ok && reply.State != control.StateConflict {
		reply.Change.ChangeID = id
		result = reply
	}

	return result, err
}

func (c *Controller) submit(ctx context.Context, request control.Submit) (any, error) {
	result, err := c.change(ctx, request.Environment, catalog.Command{Submit: &catalog.Submit{
		Environment: request.Environment,
		Base:        request.Base,
		ChangeID:    request.ChangeID,
		Author:      request.Author,
		Reason:      request.Reason,
		Document:    request.Document,
	}})

	return named(request.ChangeID, result, err)
}

func (c *Controller) sign(ctx context.Context, request control.Sign) (any, error) {
	return c.change(ctx, request.Environment, catalog.Command{Sign: &catalog.Sign{
		Environment: request.Environment,
		Version:     request.Version,
		Digest:      [32]byte(request.Digest),
		Owner:       request.Owner,
		Signature:   request.Signature,
	}})
}

func (c *Controller) reject(ctx context.Context, request control.Reject) (any, error) {
	return c.change(ctx, request.Environment, catalog.Command{Reject: &catalog.Reject{
		Environment: request.Environment,
		Version:     request.Version,
		Digest:      [32]byte(request.Digest),
		Owner:       request.Owner,
		Signature:   request.Signature,
	}})
}

func (c *Controller) promote(ctx context.Context, request control.Promote) (any, error) {
	result, err := c.change(ctx, catalog.Production, catalog.Command{Promote: &catalog.Promote{
		Base:     request.Base,
		ChangeID: request.ChangeID,
		Author:   request.Author,
		Reason:   request.Reason,
		Digest:   [32]byte(request.Digest),
	}})

	return named(request.ChangeID, result, err)
}

func (c *Controller) replaceOwner(ctx context.Context, request control.ReplaceOwner) (any, error) {
	result, err := c.change(ctx, catalog.Owners, catalog.Command{ReplaceOwner: &catalog.ReplaceOwner{
		Base:     request.Base,
		ChangeID: request.ChangeID,
		Author:   request.Author,
		Reason:   request.Reason,
		Owner:    request.Owner,
		NewName:  request.NewName,
		NewKey:   request.PublicKey,
	}})

	return named(request.ChangeID, result, err)
}

func (c *Controller) rotateKey(ctx context.Context, request control.RotateKey) (any, error) {
	key := newKey(request.Environment, request.Rotation)

	outcome, err := c.propose(ctx, catalog.Command{RotateKey: key})
	if err != nil {
		return nil, err
	}

	if err := outcome.result.Err(); err != nil {
		return nil, link.NewError(refusalKind(outcome.result.Kind), err)
	}

	return control.RotateKeyReply{
		KeyID: outcome.result.KeyID, Rotation: outcome.result.Rotation, Leader: c.settings.Name,
	}, nil
}

func (c *Controller) status(ctx context.Context, request control.Status) (any, error) {
	reply, err := read(ctx, c, func(o *owner, _ uint64) *control.StatusReply { return o.status(request.Environment) })
	if err == nil && reply == nil {
		err = link.Errorf(link.KindNotFound, "environment %q does not exist", request.Environment)
	}

	return reply, err
}

func (o *owner) status(environment string) *control.StatusReply {
	current := o.state.View(environment)
	if current == nil {
		return nil
	}

	digest := current.DocumentDigest()
	holding, _ := o.leases[environment].InForce(current.Position())
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
		InForce:     uint32(holding),
		Rotation:    o.state.Rotations(environment),
	}

	if pending, ok := o.state.Pending(environment); ok {
		change := toChange(pending)
		reply.Pending = &change
	}

	return reply
}

func (c *Controller) history(ctx context.Context, request control.History) (any, error) {
	limit := int(request.Limit)
	if limit == 0 {
		limit = control.MaxHistory
	}

	records, err := read(ctx, c, func(o *owner, _ uint64) []catalog.Record {
		return o.state.History(request.Environment, limit)
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

func (c *Controller) explain(ctx context.Context, request control.Explain) (any, error) {
	lines, err := read(ctx, c, func(o *owner, _ uint64) []string { return o.explain(request) })
	if err == nil && len(lines) == 0 {
		err = link.Errorf(link.KindNotFound, "%q is neither a change ID nor a version of %q",
			request.Topic, request.Environment)
	}

	return control.ExplainReply{Lines: lines, Leader: c.settings.Name}, err
}

// explain tells the story of a change, named by its ID or its version.
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

	return lines
}

func formatTime(nanoseconds int64) string {
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339Nano)
}
