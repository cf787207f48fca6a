// Package member maintains the membership of an agent or a balancer in its
// environment: it announces the instance, renews its lease and subscribes to the
// views of the environment.
//
// # Usage
//
//	member := member.New(options)
//	group.Go(func() { member.Run(ctx) })
//	if err := member.WaitReady(ctx); err != nil {
//		return err
//	}
//	current := member.View()
//
// A restarted instance without a disk has no view until a controller or a relay
// sends it one. While neither is reachable, the last view stays in force.
package member

import (
	"context"
	"crypto/rand"
	"log/slog"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
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
	// renewInterval allows three attempts to renew a lease of 3 s.
	renewInterval = time.Second
	// renewTimeout ends a renewal without a reply before the next one is due.
	renewTimeout = renewInterval
	callTimeout  = 2 * time.Second
	bootIDLength = 16
)

// Options holds the settings and dependencies of a member.
type Options struct {
	Environment string
	Upstreams   []netip.AddrPort // controllers or relays, in order of preference
	Identity    *identity.Store
	// Announce returns the announcement with the given boot ID, signed if the
	// role needs it.
	Announce func(bootID []byte) control.Announce
	Load     func() uint8     // percent of the slots in use
	Sink     rollout.Sink     // optional, such as the publisher of a relay
	OnView   func(*view.View) // called for each view that is applied
	Logger   *slog.Logger
	Random   *mathrand.Rand // seeds the jitter of links
}

// Member maintains the membership of one instance.
type Member struct {
	options     Options
	client      controlClient
	bootID      []byte
	current     atomic.Pointer[appliedView]
	confirmed   atomic.Int64 // Unix nanoseconds
	incarnation atomic.Uint32
	ready       chan struct{} // closed once a view contains the instance
	readyOnce   sync.Once
	replaced    chan struct{} // closed when another incarnation was assigned
}

// controlClient calls the methods of the controllers.
type controlClient interface {
	Call(ctx context.Context, method string, request, reply any) error
	Close()
}

// appliedView is a view and the time at which it was applied.
type appliedView struct {
	view      *view.View
	appliedAt time.Time
}

// New returns a member that is not announced yet.
func New(options Options) *Member {
	bootID := make([]byte, bootIDLength)
	_, _ = rand.Read(bootID) // never fails: crypto/rand aborts the process instead

	return &Member{
		options:  options,
		client:   newClient(options, options.Upstreams),
		bootID:   bootID,
		ready:    make(chan struct{}),
		replaced: make(chan struct{}),
	}
}

func newClient(options Options, addresses []netip.AddrPort) *link.Client {
	return link.Dial(link.ClientOptions{
		Addresses: addresses,
		Identity:  options.Identity,
		PeerPolicy: identity.Policy{
			Roles:       []identity.Role{identity.RoleController, identity.RoleBalancer},
			Environment: options.Environment,
		},
		Random: mathrand.New(mathrand.NewPCG(options.Random.Uint64(), options.Random.Uint64())),
	})
}

// Run announces the instance, renews its lease and subscribes to views until ctx
// ends.
func (m *Member) Run(ctx context.Context) {
	var group conc.WaitGroup

	clients := make([]*link.Client, 0, len(m.options.Upstreams))
	upstreams := make([]rollout.Upstream, 0, len(m.options.Upstreams))

	for _, address := range m.options.Upstreams {
		client := newClient(m.options, []netip.AddrPort{address})
		clients = append(clients, client)
		upstreams = append(upstreams, rollout.FromClient(client))
	}

	random := mathrand.New(mathrand.NewPCG(m.options.Random.Uint64(), m.options.Random.Uint64()))
	follower := rollout.NewFollower(m.options.Environment, nil)

	group.Go(func() {
		err := rollout.Subscribe(ctx, upstreams, follower, m, random)
		m.options.Logger.Debug("subscription ended", "cause", err)
	})
	group.Go(func() { m.keepLease(ctx) })
	group.Wait()

	for _, client := range clients {
		client.Close()
	}
}

// Close closes the link that Leave and the renewals use. Leave must not be called
// afterwards.
func (m *Member) Close() { m.client.Close() }

// Apply makes a view the one in force and passes it on. It implements rollout.Sink.
func (m *Member) Apply(now time.Time, next *view.View) {
	m.current.Store(&appliedView{view: next, appliedAt: now})
	m.options.Logger.Info("view in force", "position", next.Position().String(), "version", next.Version(),
		"services", len(next.Services()), "agents", len(next.Agents()), "balancers", len(next.Balancers()))

	if m.options.Sink != nil {
		m.options.Sink.Apply(now, next)
	}

	if m.options.OnView != nil {
		m.options.OnView(next)
	}

	m.checkReady()
}

// Confirm records when a leader last confirmed the view in force. It implements
// rollout.Sink.
func (m *Member) Confirm(at time.Time) {
	m.confirmed.Store(at.UnixNano())

	if m.options.Sink != nil {
		m.options.Sink.Confirm(at)
	}
}

// Confirmed reports whether a leader has confirmed the view in force recently.
func (m *Member) Confirmed(now time.Time) bool {
	return now.Sub(time.Unix(0, m.confirmed.Load())) <= rollout.ConfirmationLimit
}

// checkReady closes ready, which ends WaitReady, once the view in force contains the
// instance. An older view may lack its service or its keys.
func (m *Member) checkReady() {
	current, own := m.View(), m.Incarnation()
	if current == nil || own == 0 {
		return
	}

	_, agent := current.Agent(own)
	_, balancer := current.Balancer(own)

	if agent || balancer {
		m.readyOnce.Do(func() { close(m.ready) })
	}
}

// WaitReady returns once a view that contains the instance is in force.
func (m *Member) WaitReady(ctx context.Context) error {
	select {
	case <-m.ready:
		return nil
	case <-ctx.Done():
		return newError("wait for a view", KindCancelled, context.Cause(ctx))
	}
}

// View returns the view in force, or nil if there is none yet. There is one once
// WaitReady has returned without an error.
func (m *Member) View() *view.View {
	current := m.current.Load()
	if current == nil {
		return nil
	}

	return current.view
}

// Incarnation returns the incarnation of the instance, or 0 if none is assigned
// yet. One is assigned once WaitReady has returned without an error.
func (m *Member) Incarnation() view.Incarnation { return view.Incarnation(m.incarnation.Load()) }

// Replaced returns a channel that is closed when the controllers have assigned
// another incarnation. This happens if the instance was without a lease for an hour
// and was dropped. Its flows and claims belong to the former incarnation, so the
// program must restart.
func (m *Member) Replaced() <-chan struct{} { return m.replaced }

// keepLease announces the instance and renews its lease. If the controllers no
// longer know the lease, for example after a network partition longer than the
// lease, it announces the instance again with the same boot ID, which keeps the
// incarnation.
func (m *Member) keepLease(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()

	announced := false

	for {
		var err error

		if announced {
			announced, err = m.renew(ctx)
		} else {
			announced, err = m.announce(ctx)
		}

		if err != nil && ctx.Err() == nil {
			m.options.Logger.Warn("lease not kept", "known", announced, "error", err)
		}

		select {
		case <-m.replaced:
			return
		default:
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce announces the instance and reports whether it now has a lease.
func (m *Member) announce(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	request := m.options.Announce(m.bootID)

	var reply control.AnnounceReply
	if err := m.client.Call(ctx, control.MethodAnnounce, &request, &reply); err != nil {
		return false, errors.Trace(err)
	}

	previous := m.Incarnation()
	if previous != 0 && previous != reply.Incarnation {
		close(m.replaced)

		return false, newError("announce", KindReplaced,
			errors.Errorf("incarnation %d was dropped, %d is assigned", previous, reply.Incarnation))
	}

	m.incarnation.Store(uint32(reply.Incarnation))
	m.options.Logger.Info("announced", "incarnation", reply.Incarnation, "previous", previous, "weight", reply.Weight)
	m.checkReady()

	return true, nil
}

// renew renews the lease and reports whether the controllers still know it. After
// a link error this is unknown, and renew returns true.
func (m *Member) renew(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()

	renewal := control.Renewal{Incarnation: m.Incarnation(), Load: m.options.Load()}
	if current := m.current.Load(); current != nil {
		renewal.Position = current.view.Position()
		renewal.InForceFor = time.Since(current.appliedAt)
	}

	var reply control.RenewReply

	request := control.Renew{Environment: m.options.Environment, Renewals: []control.Renewal{renewal}}
	if err := m.client.Call(ctx, control.MethodRenew, &request, &reply); err != nil {
		return true, errors.Trace(err)
	}

	return len(reply.Unknown) == 0, nil
}

// Leave tells the controllers that the instance is draining or has stopped.
func (m *Member) Leave(ctx context.Context, phase control.Phase) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	request := control.Leave{Environment: m.options.Environment, Incarnation: m.Incarnation(), Phase: phase}

	var reply control.LeaveReply

	return errors.Trace(m.client.Call(ctx, control.MethodLeave, &request, &reply))
}
