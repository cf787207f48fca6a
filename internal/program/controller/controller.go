// Package controller is the controller process: one replica of the control
// plane. It replicates the catalog, keeps the leases while it leads, and
// publishes views.
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
// lease tables. Links feed it through one bounded channel of events and get a
// typed answer. Commands and reads are answered by the leader only; every
// other controller answers with a redirect. Subscribers are served from the
// publishers without the owner.
//
// # Founding and joining
//
// A controller with a new data directory never guesses. With bootstrap set it
// founds a group only after every configured peer has answered that it belongs
// to no group. Without, it asks the group to add it as a learner, and to
// promote it once it has caught up. A controller that lost its disk therefore
// joins under a new replica identity, which replaces the one at its address.
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

	// tickInterval drives the log, the leases and the publishers.
	tickInterval = 50 * time.Millisecond

	// inboxSize bounds the events that wait for the owner. A full inbox
	// refuses calls with KindBusy.
	inboxSize = 1024

	// shutdownGrace bounds the wait for running calls and for the transfer of
	// leadership.
	shutdownGrace = 2 * time.Second
)

var environments = []string{catalog.Trial, catalog.Production}

// Controller is one controller process.
type Controller struct {
	settings   Settings
	logger     *slog.Logger
	store      *identity.Store
	server     *link.Server
	log        *wal.Log     // used by the owner only
	origin     wal.Identity // of the data directory at the start
	inbox      chan event
	publishers map[string]*rollout.Publisher
	network    *network
	random     *rand.Rand
	leading    *atomic.Bool
}

// New opens the data directory and binds the listen address. The controller
// draws election timeouts and jitter from random, which it then owns.
func New(settings Settings, logger *slog.Logger, random *rand.Rand) (*Controller, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}

	logger = logger.With("controller", settings.Name)

	store, err := identity.Open(settings.Identity, logger)
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
		settings:   settings,
		logger:     logger,
		store:      store,
		server:     server,
		log:        log,
		origin:     log.Identity(),
		inbox:      make(chan event, inboxSize),
		publishers: make(map[string]*rollout.Publisher),
		network:    newNetwork(store, random, logger),
		random:     random,
		leading:    new(atomic.Bool),
	}

	for _, environment := range environments {
		controller.publishers[environment] = rollout.New(environment)
	}

	controller.register()

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

// Run runs the controller until ctx ends or the log cannot continue. It hands
// leadership to another controller before it stops.
func (c *Controller) Run(ctx context.Context) error {
	owner, err := c.newOwner()
	if err != nil {
		c.log.Close() //nolint:errcheck // the first error counts

		return err
	}

	// Links, and then the owner, go on while the controller hands over.
	serving, stopServing := context.WithCancelCause(context.WithoutCancel(ctx))
	owning, stopOwning := context.WithCancel(context.WithoutCancel(ctx))

	defer stopOwning()

	var (
		parts   = group.New(stopServing)
		owners  conc.WaitGroup
		closing error
	)

	// A panic, such as a violated invariant, stops the controller too; waiting
	// for the goroutine raises it again.
	owners.Go(func() {
		defer stopServing(nil)

		if err := owner.run(owning); err != nil {
			stopServing(err)
		}
	})
	parts.Go(func() {
		defer stopServing(nil)

		closing = c.server.Serve(serving, shutdownGrace)
	})
	parts.Go(func() { c.enter(serving, owner, stopServing) })
	parts.Go(func() { c.followReads(serving) })
	parts.Go(func() { c.serveDebug(serving) })

	select {
	case <-ctx.Done():
		c.handOver(owning)
	case <-serving.Done():
	}

	stopServing(nil)
	parts.Wait()
	stopOwning()
	c.network.close()
	owners.Wait()

	if err := c.log.Close(); err != nil && closing == nil {
		closing = newError("close", KindStorage, err)
	}

	if cause := context.Cause(serving); !errors.Is(cause, context.Canceled) {
		return cause
	}

	return closing
}

// handOver transfers leadership and waits until the transfer has ended.
func (c *Controller) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()

	done := make(chan struct{})

	select {
	case c.inbox <- &handOver{done: done}:
	case <-ctx.Done():
		return
	}

	select {
	case <-done:
	case <-ctx.Done():
		c.logger.Warn("no other controller took over the leadership in time")
	}
}

func (c *Controller) newOwner() (*owner, error) {
	owner := &owner{
		name:         c.settings.Name,
		address:      c.server.Address(),
		founding:     c.settings.Bootstrap,
		published:    c.leading,
		captureEvery: cmp.Or(c.settings.SnapshotEntries, defaultSnapshotEntries),
		logger:       c.logger,
		log:          c.log,
		random:       rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64())),
		state:        &catalog.Catalog{},
		leases:       make(map[string]*lease.Table),
		publishers:   c.publishers,
		network:      c.network,
		inbox:        c.inbox,
		proposals:    make(map[uint64]*proposal),
		reads:        make(map[uint64]*readIndex),
	}

	for _, environment := range environments {
		owner.leases[environment] = lease.New(LeaseTTL)
	}

	if c.origin.Cluster == 0 {
		return owner, nil
	}

	return owner, owner.start(time.Now(), c.log.Stored())
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
		c.logger.Warn("the debug address cannot be served", "error", err)
	}
}

// redirect returns the error that sends a caller to the leader.
func redirect(leader raft.ReplicaID, network *network) error {
	address, _ := network.address(leader)

	return link.Redirect(address)
}
