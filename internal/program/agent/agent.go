// Package agent implements the process that runs beside each backend server. It
// terminates the QUIC connections of callers, admits their requests, and forwards
// them to its backend server or to a sibling agent. A flow is the QUIC connection
// of a caller.
//
// # Usage
//
//	agent, err := agent.New(config, telemetry)
//	err = agent.Run(ctx)
//
// When the context ends, the agent drains: it takes no new work, feeds move to
// other agents, and requests in progress finish.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/program/group"
	"jayspindle/internal/program/member"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/protocol/keyring"
	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/document"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

const (
	quicKeepAliveInterval = 5 * time.Second
	idleTimeout           = 30 * time.Second
	// drainPropagationDelay is the time that balancers need to apply the view in
	// which the agent is draining.
	drainPropagationDelay = time.Second
	// leaveTimeout bounds the attempts to notify the controllers.
	leaveTimeout = 3 * time.Second
	// peerShutdownTimeout bounds the wait for calls of siblings that are in
	// progress when the agent stops.
	peerShutdownTimeout = 5 * time.Second
)

// Agent serves the requests of callers on behalf of one backend server.
type Agent struct {
	config     Settings
	telemetry  *telemetry.Telemetry
	logger     *slog.Logger
	member     *member.Member
	serviceKey *identity.PrivateKey
	admitter   *admitter
	backend    *backendServer
	local      *localRunner
	siblings   *siblings
	placer     *placer
	feeds      *feeds
	claims     *claims
	peers      *link.Server
	server     *http3.Server
	matcher    atomic.Pointer[document.Matcher]
	classes    atomic.Pointer[map[string]view.Class]
	conn       atomic.Pointer[packetConn]
	connIDs    atomic.Pointer[connid.Generator]
	serviceID  atomic.Uint32
	applyMutex sync.Mutex // held while fabric keys are installed
}

// New returns an agent. Run announces it to the controllers.
func New(config Settings, observed *telemetry.Telemetry) (*Agent, error) {
	store, err := identity.OpenStore(config.Identity, observed.Logger())
	if err != nil {
		return nil, errors.Trace(err)
	}

	key, err := identity.LoadKey(config.ServiceKey)
	if err != nil {
		return nil, errors.Trace(err)
	}

	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))

	a := &Agent{
		config:     config,
		telemetry:  observed,
		logger:     observed.Logger(),
		serviceKey: key,
		admitter:   newAdmitter(admission.Policy{Slots: 1}),
		backend:    newBackendServer(config.Backend, config.HealthPath, config.BackendResponseTimeout),
		siblings:   newSiblings(store, config.Instance.Environment, rand.New(rand.NewPCG(random.Uint64(), 0))),
	}
	a.matcher.Store(document.NewMatcher(nil))
	a.classes.Store(&map[string]view.Class{})
	a.local = &localRunner{admitter: a.admitter, backend: a.backend}

	a.member = member.New(member.Options{
		Environment: config.Instance.Environment,
		Upstreams:   config.Upstreams,
		Identity:    store,
		Announce:    a.announcement,
		Load:        func() uint8 { return uint8(a.backend.loadPercent.Load()) },
		OnView:      a.apply,
		Logger:      a.logger,
		Random:      rand.New(rand.NewPCG(random.Uint64(), 1)),
	})

	sibling := func(agent view.Agent) runner { return &remoteRunner{client: a.siblings.client(agent)} }
	a.placer = newPlacer(a.member.Incarnation, a.local, sibling, random, observed.Tracer())
	a.feeds = newFeeds(a.placer, a.logger)
	a.claims = newClaims(claimOptions{
		service:       config.Service,
		zone:          config.Instance.Zone,
		capacity:      config.MaxClaims,
		self:          a.member.Incarnation,
		serviceID:     func() view.ServiceID { return view.ServiceID(a.serviceID.Load()) },
		viewConfirmed: a.member.Confirmed,
		siblingClient: func(agent view.Agent) rpcClient { return a.siblings.client(agent) },
		logger:        a.logger,
	})

	if err := a.listenPeers(store); err != nil {
		return nil, err
	}

	return a, nil
}

func (a *Agent) listenPeers(store *identity.Store) error {
	server, err := link.Listen(a.config.Peer, link.ServerOptions{
		Identity: store,
		PeerPolicy: identity.Policy{
			Roles:       []identity.Role{identity.RoleAgent},
			Environment: a.config.Instance.Environment,
		},
		Logger: a.logger,
	})
	if err != nil {
		return errors.Trace(err)
	}

	requests := &peerServer{
		service: a.config.Service, local: a.local, classByName: a.classByName, drained: a.feeds.drained,
		tracer: a.telemetry.Tracer(),
	}
	server.HandleStream(peer.MethodRun, requests.run)
	a.claims.register(server)
	a.peers = server

	return nil
}

func (a *Agent) announcement(bootID []byte) control.Announce {
	announce := control.Announce{
		Environment: a.config.Instance.Environment,
		Role:        control.RoleAgent,
		Service:     a.config.Service,
		Zone:        a.config.Instance.Zone,
		Data:        a.config.Data,
		Peer:        a.config.Peer,
		BootID:      bootID,
	}
	announce.Signature = a.serviceKey.SignMessage(announce.SignedText())

	return announce
}

func (a *Agent) classByName(name string) (view.Class, bool) {
	class, ok := (*a.classes.Load())[name]

	return class, ok
}

// apply applies a view. The member calls it for one view at a time.
func (a *Agent) apply(current *view.View) {
	service, ok := current.ServiceByName(a.config.Service)
	if !ok {
		a.logger.Warn("the service is not in the document", "service", a.config.Service)

		return
	}

	classes := make(map[string]view.Class, len(service.Classes))
	for _, class := range service.Classes {
		classes[class.Name] = class
	}

	a.classes.Store(&classes)
	a.matcher.Store(document.NewMatcher(service.Classes))
	a.admitter.reconfigure(context.Background(), admission.PolicyOf(service))

	agents := current.AgentsOf(service.ID)
	a.placer.update(agents)
	a.claims.update(current.Position(), agents)
	a.serviceID.Store(uint32(service.ID))
	a.siblings.retain(agents)

	if conn := a.conn.Load(); conn != nil {
		a.applyKeys(conn, current)
	}
}

// applyKeys installs the fabric keys of a view. The view may be older than the
// one already applied: the connection then rejects it, and the connection IDs
// keep the newer keys too.
func (a *Agent) applyKeys(conn *packetConn, current *view.View) {
	a.applyMutex.Lock()
	defer a.applyMutex.Unlock()

	if err := conn.update(current); err != nil {
		a.logger.Warn("could not apply the fabric keys", "error", err)

		return
	}

	keys, err := connid.New(current.Keys())
	if err != nil {
		a.logger.Error("could not apply the fabric keys", "error", err)

		return
	}

	a.connIDs.Load().SetKeys(keys)
}

// Run serves until the context ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	// The components outlive the context because the drain needs them.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ctx, fail := context.WithCancelCause(ctx)

	components := group.New(fail)

	defer components.Wait()
	defer stop()

	for _, component := range []func(context.Context){
		a.admitter.run, a.member.Run, a.claims.run,
		func(ctx context.Context) { a.backend.watchHealth(ctx, a.logHealthChange) },
	} {
		components.Go(func() { component(componentsCtx) })
	}

	components.Go(func() {
		select {
		case <-a.member.Replaced():
			fail(errReplaced)
		case <-componentsCtx.Done():
		}
	})
	components.Go(func() {
		if err := a.peers.Serve(componentsCtx, peerShutdownTimeout); err != nil {
			a.logger.Error("could not serve peer links", "error", err)
		}
	})

	defer a.member.Close()
	defer a.siblings.close()

	if err := a.member.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}

	return a.serve(ctx)
}

// errReplaced stops an agent that has been assigned a new incarnation. Balancers
// no longer send to the old one.
var errReplaced = errors.New("the controllers no longer know this incarnation, the agent must be restarted")

// serve accepts flows until the context ends, then drains.
func (a *Agent) serve(ctx context.Context) error {
	listener, transport, err := a.listen(a.member.View())
	if err != nil {
		return err
	}

	var flows conc.WaitGroup

	flows.Go(func() { a.accept(listener) })
	a.telemetry.SetReady(true)
	a.logger.Info("serving", "service", a.config.Service, "incarnation", a.member.Incarnation(),
		"data", a.config.Data.String())

	<-ctx.Done()

	if cause := context.Cause(ctx); errors.Is(cause, group.ErrPanicked) || errors.Is(cause, errReplaced) {
		// Requests can finish neither without the failed component nor under
		// the old incarnation, so the flows are closed at once.
		_ = listener.Close()
		_ = transport.Close()
		flows.Wait()

		return cause
	}

	a.drain(context.WithoutCancel(ctx), listener)
	flows.Wait()

	return errors.Trace(transport.Close())
}

// listen opens the transport that terminates flows. Stateless resets and retry
// tokens use keys that all agents of the environment share.
func (a *Agent) listen(current *view.View) (*quic.Listener, *quic.Transport, error) {
	service, ok := current.ServiceByName(a.config.Service)
	if !ok {
		return nil, nil, newError("listen", KindSetup, errors.Errorf("service %q is not in the document", a.config.Service))
	}

	dataPath := forward.NewAgent(a.member.Incarnation(), service.ID)
	publishCounters(dataPath)

	conn, err := newPacketConn(a.config.Data, dataPath, a.logger)
	if err != nil {
		return nil, nil, err
	}

	keys, err := connid.New(current.Keys())
	if err != nil {
		return nil, nil, errors.Trace(err)
	}

	a.connIDs.Store(connid.NewGenerator(keys, service.ID, a.member.Incarnation()))
	a.applyKeys(conn, current)
	a.conn.Store(conn)
	// A newer view may have arrived before the connection was stored, so apply
	// the newest one.
	a.applyKeys(conn, a.member.View())

	certificate, err := tls.LoadX509KeyPair(a.config.CallerTLS.Certificate, a.config.CallerTLS.Key)
	if err != nil {
		return nil, nil, newError("load caller certificate", KindSetup, err)
	}

	newestKey := current.Keys()[0]
	reset := quic.StatelessResetKey(keyring.Derive(newestKey, keyring.StatelessReset, len(quic.StatelessResetKey{})))
	token := quic.TokenGeneratorKey(keyring.Derive(newestKey, keyring.RetryToken, len(quic.TokenGeneratorKey{})))
	transport := &quic.Transport{
		Conn:                  quicConn{PacketConn: conn, buffers: conn},
		ConnectionIDGenerator: a.connIDs.Load(),
		ConnContext:           withSession,
		StatelessResetKey:     &reset,
		TokenGeneratorKey:     &token,
	}

	config := http3.ConfigureTLSConfig(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS13,
	})

	listener, err := transport.Listen(config, &quic.Config{
		KeepAlivePeriod:         quicKeepAliveInterval,
		MaxIdleTimeout:          idleTimeout,
		DisablePathMTUDiscovery: true,
		Tracer:                  recordFirstConnectionID,
	})
	if err != nil {
		return nil, nil, newError("listen", KindSetup, err)
	}

	a.server = &http3.Server{Handler: &handler{
		matcher: a.matcher.Load,
		placer:  a.placer,
		claims:  a.claims,
		feeds:   a.feeds,
		tracer:  a.telemetry.Tracer(),
		logger:  a.logger,
	}}

	return listener, transport, nil
}

// accept serves each flow until the listener is closed.
func (a *Agent) accept(listener *quic.Listener) {
	var flows conc.WaitGroup

	for {
		connection, err := listener.Accept(context.Background())
		if err != nil {
			break
		}

		flows.Go(func() {
			traceSession(connection.Context(), a.telemetry.Tracer(), connection.RemoteAddr().String())

			if err := a.server.ServeQUICConn(connection); err != nil {
				a.logger.Debug("flow ended", "caller", connection.RemoteAddr().String(), "cause", err)
			}

			// A flow accepted after the shutdown has begun is not served. Closing
			// it spares its caller the wait for the idle timeout.
			_ = connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		})
	}

	flows.Wait()
}

// logHealthChange logs that the backend server became healthy or unhealthy.
func (a *Agent) logHealthChange(healthy bool) {
	a.logger.Info("health of the backend server changed", "healthy", healthy)
}
