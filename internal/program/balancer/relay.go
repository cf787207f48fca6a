package balancer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

const (
	relayShutdownTimeout = time.Second
	// batchInterval is how long renewals are collected, so that the controllers get
	// one message for all instances of an availability zone. It stays well below the
	// second after which an instance renews again.
	batchInterval = 300 * time.Millisecond
	// renewTimeout and batchInterval together stay below the second after which an
	// instance renews again, so that the instance learns of a lost reply before its
	// next renewal.
	renewTimeout = 600 * time.Millisecond
)

// relay serves views and membership calls to the instances of an availability
// zone, so that the load on controllers does not grow with the number of
// instances.
type relay struct {
	environment string
	publisher   *rollout.Publisher
	server      *link.Server
	upstream    upstreamClient
	renewals    chan waitingRenewal
	logger      *slog.Logger
}

// upstreamClient is a client of the controllers.
type upstreamClient interface {
	Call(ctx context.Context, method string, request, reply any) error
	Close()
}

// waitingRenewal is a renewal that waits for its batch.
type waitingRenewal struct {
	control.Renewal
	result chan renewalResult
}

type renewalResult struct {
	unknown bool
	err     error
}

func newRelay(config Settings, store *identity.Store, logger *slog.Logger) (*relay, error) {
	environment := config.Instance.Environment

	server, err := link.Listen(config.Relay, link.ServerOptions{
		Identity: store,
		PeerPolicy: identity.Policy{
			Roles:       []identity.Role{identity.RoleAgent, identity.RoleBalancer},
			Environment: environment,
		},
		Logger: logger,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}

	r := &relay{
		environment: environment,
		publisher:   rollout.New(environment),
		server:      server,
		upstream: link.Dial(link.ClientOptions{
			Addresses: config.Upstreams,
			Identity:  store,
			PeerPolicy: identity.Policy{
				Roles:       []identity.Role{identity.RoleController},
				Environment: environment,
			},
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		renewals: make(chan waitingRenewal, control.MaxRenewals),
		logger:   logger,
	}

	server.HandleStream(control.MethodWatch, rollout.Handler(r.publisher))
	server.Handle(control.MethodRenew, r.handleRenew)
	server.Handle(control.MethodAnnounce, func(ctx context.Context, request *link.Request) (any, error) {
		return forwardCall[control.Announce, control.AnnounceReply](ctx, r.upstream, request)
	})
	server.Handle(control.MethodLeave, func(ctx context.Context, request *link.Request) (any, error) {
		return forwardCall[control.Leave, control.LeaveReply](ctx, r.upstream, request)
	})

	return r, nil
}

// forwardCall forwards a call to the controllers and returns their reply.
func forwardCall[Q, A any](ctx context.Context, upstream upstreamClient, request *link.Request) (any, error) {
	var (
		message Q
		reply   A
	)

	if err := request.Decode(&message); err != nil {
		return nil, err
	}

	if err := upstream.Call(ctx, request.Method(), &message, &reply); err != nil {
		return nil, err
	}

	return &reply, nil
}

func (r *relay) run(ctx context.Context) {
	var group conc.WaitGroup

	group.Go(func() { r.batchRenewals(ctx) })
	group.Go(func() { r.publishViews(ctx) })

	if err := r.server.Serve(ctx, relayShutdownTimeout); err != nil {
		r.logger.Error("relay server failed", "error", err)
	}

	group.Wait()
	r.upstream.Close()
}

// publishViews lets the publisher send coalesced views until ctx ends.
func (r *relay) publishViews(ctx context.Context) {
	ticker := time.NewTicker(rollout.CoalesceInterval)
	defer ticker.Stop()

	for {
		select {
		case now := <-ticker.C:
			r.publisher.Tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// handleRenew handles control.MethodRenew.
func (r *relay) handleRenew(ctx context.Context, request *link.Request) (any, error) {
	var message control.Renew
	if err := request.Decode(&message); err != nil {
		return nil, err
	}

	return r.enqueueRenewals(ctx, message)
}

// enqueueRenewals adds the renewals of a message to the next batch and waits for
// the reply.
func (r *relay) enqueueRenewals(ctx context.Context, message control.Renew) (*control.RenewReply, error) {
	if message.Environment != r.environment {
		return nil, link.Errorf(link.KindInvalid, "the relay serves %q, not %q", r.environment, message.Environment)
	}

	// All renewals are queued before the first result is awaited, so that they share
	// one batch instead of taking one batch each.
	waiting := make([]waitingRenewal, 0, len(message.Renewals))

	for _, item := range message.Renewals {
		next := waitingRenewal{Renewal: item, result: make(chan renewalResult, 1)}

		select {
		case r.renewals <- next:
			waiting = append(waiting, next)
		default:
			return nil, link.Errorf(link.KindBusy, "too many renewals wait")
		}
	}

	var reply control.RenewReply

	for _, item := range waiting {
		select {
		case result := <-item.result:
			if result.err != nil {
				return nil, result.err
			}

			if result.unknown {
				reply.Unknown = append(reply.Unknown, item.Incarnation)
			}
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}

	return &reply, nil
}

// batchRenewals collects renewals and sends them to the controllers in batches. A
// batch does not wait for the reply to the previous one: otherwise one lost reply
// would block the renewals of the whole availability zone.
func (r *relay) batchRenewals(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()

	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()

	var waiting []waitingRenewal

	for {
		select {
		case next := <-r.renewals:
			waiting = append(waiting, next)
			if len(waiting) < control.MaxRenewals {
				continue
			}
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		if batch := waiting; len(batch) > 0 {
			sends.Go(func() { r.sendBatch(ctx, batch) })

			waiting = nil
		}
	}
}

func (r *relay) sendBatch(ctx context.Context, waiting []waitingRenewal) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()

	request := control.Renew{Environment: r.environment}
	for _, item := range waiting {
		request.Renewals = append(request.Renewals, item.Renewal)
	}

	var reply control.RenewReply

	err := r.upstream.Call(ctx, control.MethodRenew, &request, &reply)

	unknown := make(map[view.Incarnation]bool, len(reply.Unknown))
	for _, incarnation := range reply.Unknown {
		unknown[incarnation] = true
	}

	for _, item := range waiting {
		item.result <- renewalResult{unknown: unknown[item.Incarnation], err: err}
	}
}
