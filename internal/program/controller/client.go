package controller

import (
	"context"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/transport/link"
)

// Client calls a controller group: the operator's commands and the membership
// calls of instances. It follows redirects to the leader. All calls except
// RotateKey are idempotent. If their outcome is unknown, because the controller
// stopped or the path no longer delivers packets, the client retries them until
// ctx ends. A repeated RotateKey draws a new secret and, if the first one was
// applied, is refused with KindConflict, so the client does not retry it.
type Client struct{ link *link.Client }

// NewClient returns a client of the group at the other end of a link.
func NewClient(link *link.Client) *Client { return &Client{link: link} }

func call[R any](ctx context.Context, c *Client, method string, request any) (R, error) {
	for {
		reply, err := callOnce[R](ctx, c, method, request)

		unknown := link.KindOf(err) == link.KindConnectionLost || link.KindOf(err) == link.KindPathTimeout
		if err == nil || !unknown || ctx.Err() != nil {
			return reply, err
		}
	}
}

func callOnce[R any](ctx context.Context, c *Client, method string, request any) (R, error) {
	var reply R

	err := c.link.Call(ctx, method, request, &reply)

	return reply, err
}

// Submit proposes a document.
func (c *Client) Submit(ctx context.Context, request control.Submit) (control.ChangeReply, error) {
	return call[control.ChangeReply](ctx, c, control.MethodSubmit, request)
}

// Sign accepts the pending change.
func (c *Client) Sign(ctx context.Context, request control.Sign) (control.ChangeReply, error) {
	return call[control.ChangeReply](ctx, c, control.MethodSign, request)
}

// Reject rejects the pending change.
func (c *Client) Reject(ctx context.Context, request control.Reject) (control.ChangeReply, error) {
	return call[control.ChangeReply](ctx, c, control.MethodReject, request)
}

// Promote submits a document accepted in trial to production.
func (c *Client) Promote(ctx context.Context, request control.Promote) (control.ChangeReply, error) {
	return call[control.ChangeReply](ctx, c, control.MethodPromote, request)
}

// ReplaceOwner proposes a new name or key for an owner.
func (c *Client) ReplaceOwner(ctx context.Context, request control.ReplaceOwner) (control.ChangeReply, error) {
	return call[control.ChangeReply](ctx, c, control.MethodReplaceOwner, request)
}

// Status describes an environment and all of its instances.
func (c *Client) Status(ctx context.Context, environment string) (control.StatusReply, error) {
	request := control.Status{Environment: environment}

	reply, err := call[control.StatusReply](ctx, c, control.MethodStatus, request)

	for page := reply; err == nil && len(page.Instances) == control.MaxInstances; {
		request.After = page.Instances[len(page.Instances)-1].Incarnation

		page, err = call[control.StatusReply](ctx, c, control.MethodStatus, request)
		reply.Instances = append(reply.Instances, page.Instances...)
	}

	return reply, err
}

// History lists the newest changes of an environment.
func (c *Client) History(ctx context.Context, environment string, limit uint16) (control.HistoryReply, error) {
	return call[control.HistoryReply](ctx, c, control.MethodHistory,
		control.History{Environment: environment, Limit: limit})
}

// Explain describes a change, named by its ID or its version.
func (c *Client) Explain(ctx context.Context, environment, topic string) (control.ExplainReply, error) {
	return call[control.ExplainReply](ctx, c, control.MethodExplain,
		control.Explain{Environment: environment, Topic: topic})
}

// Members lists the controllers.
func (c *Client) Members(ctx context.Context) (control.MembersReply, error) {
	return c.members(ctx, control.MembersList, control.Member{})
}

// AddMember adds a replica as a learner.
func (c *Client) AddMember(ctx context.Context, member control.Member) (control.MembersReply, error) {
	return c.members(ctx, control.MembersAdd, member)
}

// PromoteMember promotes a learner that has caught up to a voter.
func (c *Client) PromoteMember(ctx context.Context, replica uint64) (control.MembersReply, error) {
	return c.members(ctx, control.MembersPromote, control.Member{Replica: replica})
}

// RemoveMember removes a replica.
func (c *Client) RemoveMember(ctx context.Context, replica uint64) (control.MembersReply, error) {
	return c.members(ctx, control.MembersRemove, control.Member{Replica: replica})
}

func (c *Client) members(
	ctx context.Context, action control.MembersAction, member control.Member,
) (control.MembersReply, error) {
	return call[control.MembersReply](ctx, c, control.MethodMembers, control.Members{Action: action, Member: member})
}

// RotateKey adds a new fabric key. Rotation is the number of rotations so far,
// as Status reports it.
func (c *Client) RotateKey(ctx context.Context, environment string, rotation uint64) (control.RotateKeyReply, error) {
	return callOnce[control.RotateKeyReply](ctx, c, control.MethodRotateKey,
		control.RotateKey{Environment: environment, Rotation: rotation})
}

// Announce registers an instance with the group.
func (c *Client) Announce(ctx context.Context, request control.Announce) (control.AnnounceReply, error) {
	return call[control.AnnounceReply](ctx, c, control.MethodAnnounce, request)
}

// Renew extends leases.
func (c *Client) Renew(ctx context.Context, request control.Renew) (control.RenewReply, error) {
	return call[control.RenewReply](ctx, c, control.MethodRenew, request)
}

// Leave reports that an instance is draining before a planned stop, or that it
// has stopped.
func (c *Client) Leave(ctx context.Context, request control.Leave) (control.LeaveReply, error) {
	return call[control.LeaveReply](ctx, c, control.MethodLeave, request)
}
