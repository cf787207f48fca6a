// Package controller implements the controller process, one replica of the
// control plane. It replicates the catalog, manages the leases while it is the
// leader, and publishes views.
//
// # Usage
//
//	settings, err := controller.Parse(content)
//	process, err := controller.New(settings, logger, random)
//	err = process.Run(ctx)
//
// Operators call the group through a Client.
//
// # Structure
//
// One goroutine, the owner, holds the replicated log, the catalog and the
// lease tables. Link handlers send it events through one bounded channel and
// wait for the reply. Only the leader answers commands and reads; every
// other controller answers with a redirect. The publishers serve subscribers
// without involving the owner.
//
// # Bootstrapping and joining
//
// A controller with a new data directory and bootstrap set creates a group only
// after every configured peer has answered that it belongs to no group. Without
// bootstrap it asks the group to add it as a learner, and to promote it once it
// has caught up. A controller that lost its disk therefore joins under a new
// replica identity, which replaces the one at its address.
package controller

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/lease"
	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/program/group"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/wal"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

const (
	// LeaseTTL is the lifetime of a lease without renewal.
	LeaseTTL = 3 * time.Second

	// tickInterval is the time between two ticks of the log, the leases and the
	// publishers.
	tickInterval = 50 * time.Millisecond

	// maxPendingEvents limits the events that wait for the owner. While that many wait,
	// calls except control.MethodReplicate fail with link.KindBusy.
	maxPendingEvents = 1024

	// shutdownTimeout limits the wait for running calls and, separately, for the
	// transfer of leadership.
	shutdownTimeout = 2 * time.Second
)

var environments = []string{catalog.Trial, catalog.Production}

// Controller is one controller process.
type Controller struct {
	settings        Settings
	logger          *slog.Logger
	store           *identity.Store
	server          *link.Server
	log             *wal.Log     // used by the owner only
	initialIdentity wal.Identity // of the data directory when it was opened
	events          chan event
	publishers      map[string]*rollout.Publisher
	network         *network
	random          *rand.Rand
	leading         *atomic.Bool
}

// New opens the data directory and binds the listen address. The controller
// draws election timeouts and jitter from random, which it then owns.
func New(settings Settings, logger *slog.Logger, random *rand.Rand) (*Controller, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}

	logger = logger.With("controller", settings.Name)

	store, err := identity.OpenStore(settings.Identity, logger)
	if err != nil {
		return nil, newError("open identity", KindSettings, err)
	}

	log, err := wal.Open(settings.Data)
	if err != nil {
		return nil, newError("open data directory", KindStorage, err)
	}

	server, err := link.Listen(settings.Listen, link.ServerOptions{Identity: store, Logger: logger})
	if err != nil {
		log.Close() //nolint:errcheck // nothing was written

		return nil, newError("listen", KindNetwork, err)
	}

	controller := &Controller{
		settings:        settings,
		logger:          logger,
		store:           store,
		server:          server,
		log:             log,
		initialIdentity: log.Identity(),
		events:          make(chan event, maxPendingEvents),
		publishers:      make(map[string]*rollout.Publisher),
		network:         newNetwork(store, random, logger),
		random:          random,
		leading:         new(atomic.Bool),
	}

	for _, environment := range environments {
		controller.publishers[environment] = rollout.New(environment)
	}

	controller.registerMethods()

	return controller, nil
}

// Address returns the address of the control link.
func (c *Controller) Address() netip.AddrPort { return c.server.Address() }

// Leading reports whether this controller leads the group, or led it when it
// stopped.
func (c *Controller) Leading() bool { return c.leading.Load() }

// Publisher returns the publisher of an environment, nil if there is none.
func (c *Controller) Publisher(environment string) *rollout.Publisher {
	return c.publishers[environment]
}

// Run runs the controller until ctx ends or the log cannot continue. When ctx
// ends, a leader transfers its leadership before it stops.
func (c *Controller) Run(ctx context.Context) error {
	owner, err := c.newOwner()
	if err != nil {
		c.log.Close() //nolint:errcheck // the first error is returned

		return err
	}

	// The links and the owner keep running while leadership is transferred. The
	// links stop first, then the owner.
	serveCtx, stopServing := context.WithCancelCause(context.WithoutCancel(ctx))
	ownerCtx, stopOwner := context.WithCancel(context.WithoutCancel(ctx))

	defer stopOwner()

	var (
		goroutines = group.New(stopServing)
		ownerGroup conc.WaitGroup
		closeErr   error
	)

	// A panic in the owner, such as a violated invariant, also stops the
	// controller. ownerGroup.Wait raises it again.
	ownerGroup.Go(func() {
		defer stopServing(nil)

		if err := owner.run(ownerCtx); err != nil {
			stopServing(err)
		}
	})
	goroutines.Go(func() {
		defer stopServing(nil)

		closeErr = c.server.Serve(serveCtx, shutdownTimeout)
	})
	goroutines.Go(func() { c.bootstrapOrJoin(serveCtx, owner, stopServing) })
	goroutines.Go(func() { c.confirmViews(serveCtx) })
	goroutines.Go(func() { c.serveDebug(serveCtx) })

	select {
	case <-ctx.Done():
		c.transferLeadership(ownerCtx)
	case <-serveCtx.Done():
	}

	stopServing(nil)
	goroutines.Wait()
	stopOwner()
	c.network.close()
	ownerGroup.Wait()

	if err := c.log.Close(); err != nil && closeErr == nil {
		closeErr = newError("close", KindStorage, err)
	}

	if cause := context.Cause(serveCtx); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closeErr
}

// transferLeadership transfers leadership and waits until the transfer has ended.
func (c *Controller) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()

	done := make(chan struct{})

	select {
	case c.events <- &transferLeadership{done: done}:
	case <-ctx.Done():
		return
	}

	select {
	case <-done:
	case <-ctx.Done():
		c.logger.Warn("leadership was not transferred before the timeout")
	}
}

func (c *Controller) newOwner() (*owner, error) {
	owner := &owner{
		name:               c.settings.Name,
		address:            c.server.Address(),
		bootstrap:          c.settings.Bootstrap,
		leadingFlag:        c.leading,
		entriesPerSnapshot: cmp.Or(c.settings.SnapshotEntries, defaultSnapshotEntries),
		logger:             c.logger,
		log:                c.log,
		random:             rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64())),
		state:              &catalog.Catalog{},
		leases:             make(map[string]*lease.Table),
		publishers:         c.publishers,
		network:            c.network,
		events:             c.events,
		proposals:          make(map[uint64]*proposal),
		reads:              make(map[uint64]*readIndex),
	}

	for _, environment := range environments {
		owner.leases[environment] = lease.New(LeaseTTL)
	}

	if c.initialIdentity.Cluster == 0 {
		return owner, nil
	}

	return owner, owner.start(time.Now(), c.log.TakeStored())
}

// serveDebug serves expvar on loopback until ctx ends.
func (c *Controller) serveDebug(ctx context.Context) {
	if c.settings.Debug == "" {
		return
	}

	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())

	server := &http.Server{Addr: c.settings.Debug, Handler: mux, ReadHeaderTimeout: time.Second}
	defer context.AfterFunc(ctx, func() { server.Close() })() //nolint:errcheck // the process stops

	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		c.logger.Warn("could not serve the debug address", "error", err)
	}
}

// redirect returns an error that redirects the caller to the leader.
func redirect(leader raft.ReplicaID, network *network) error {
	address, _ := network.address(leader)

	return link.Redirect(address)
}
