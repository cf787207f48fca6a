// Package agent is the process beside each backend server. It ends the QUIC
// sessions of callers, admits their requests, and hands them to its backend
// server or to a sibling.
//
// # Usage
//
//	agent, err := agent.New(config, telemetry)
//	err = agent.Run(ctx)
//
// When the context ends, the agent drains: no new work, feeds move to other
// agents, requests in progress finish.
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
	keepAlive   = 5 * time.Second
	idleTimeout = 30 * time.Second
	// drainSettle is the time that balancers need to apply a draining agent.
	drainSettle = time.Second
	// leaveTimeout bounds the attempts to tell the controllers.
	leaveTimeout = 3 * time.Second
	// peerGrace bounds the calls of siblings that run when the agent stops.
	peerGrace = 5 * time.Second
)

// Agent is the process beside a backend server.
type Agent struct {
	config     Settings
	observed   *telemetry.Telemetry
	logger     *slog.Logger
	member     *member.Member
	serviceKey *identity.PrivateKey
	gate       *gate
	backend    *backendServer
	local      *local
	siblings   *siblings
	placer     *placer
	feeds      *feeds
	claims     *claims
	peers      *link.Server
	server     *http3.Server
	matcher    atomic.Pointer[document.Matcher]
	classes    atomic.Pointer[map[string]view.Class]
	conn       atomic.Pointer[packetConn]
	ids        atomic.Pointer[connid.Generator]
	service    atomic.Uint32
	applying   sync.Mutex // held while fabric keys are put into force
}

// New returns an agent. It announces itself once Run is called.
func New(config Settings, observed *telemetry.Telemetry) (*Agent, error) {
	store, err := identity.Open(config.Identity, observed.Logger())
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
		observed:   observed,
		logger:     observed.Logger(),
		serviceKey: key,
		gate:       newGate(admission.Policy{Slots: 1}),
		backend:    newBackendServer(config.Backend, config.HealthPath, config.BackendSilent),
		siblings:   newSiblings(store, config.Instance.Environment, rand.New(rand.NewPCG(random.Uint64(), 0))),
	}
	a.matcher.Store(document.NewMatcher(nil))
	a.classes.Store(&map[string]view.Class{})
	a.local = &local{gate: a.gate, backend: a.backend}

	a.member = member.New(member.Options{
		Environment: config.Instance.Environment,
		Upstreams:   config.Upstreams,
		Identity:    store,
		Announce:    a.announcement,
		Load:        func() uint8 { return uint8(a.backend.load.Load()) },
		OnView:      a.apply,
		Logger:      a.logger,
		Random:      rand.New(rand.NewPCG(random.Uint64(), 1)),
	})

	sibling := func(agent view.Agent) runner { return &remote{client: a.siblings.client(agent)} }
	a.placer = newPlacer(a.member.Incarnation, a.local, sibling, random, observed.Tracer())
	a.feeds = newFeeds(a.placer, a.logger)
	a.claims = newClaims(claimOptions{
		service:   config.Service,
		zone:      config.Instance.Zone,
		capacity:  config.ClaimsAtMost,
		self:      a.member.Incarnation,
		serviceID: func() view.ServiceID { return view.ServiceID(a.service.Load()) },
		confirmed: a.member.Confirmed,
		sibling:   func(agent view.Agent) caller { return a.siblings.client(agent) },
		logger:    a.logger,
	})

	if err := a.listenPeers(store); err != nil {
		return nil, err
	}

	return a, nil
}

func (a *Agent) listenPeers(store *identity.Store) error {
	server, err := link.Listen(a.config.Peer, link.ServerOptions{
		Identity: store,
		Accept: identity.Policy{
			Roles:       []identity.Role{identity.RoleAgent},
			Environment: a.config.Instance.Environment,
		},
		Logger: a.logger,
	})
	if err != nil {
		return errors.Trace(err)
	}

	requests := &peerServer{
		service: a.config.Service, local: a.local, classes: a.class, drained: a.feeds.drained,
		tracer: a.observed.Tracer(),
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

func (a *Agent) class(name string) (view.Class, bool) {
	class, ok := (*a.classes.Load())[name]

	return class, ok
}

// apply puts a view into force. The member calls it for one view at a time.
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
	a.gate.reconfigure(context.Background(), admission.PolicyOf(service))

	agents := current.AgentsOf(service.ID)
	a.placer.update(agents)
	a.claims.update(current.Position(), agents)
	a.service.Store(uint32(service.ID))
	a.siblings.retain(agents)

	if conn := a.conn.Load(); conn != nil {
		a.applyKeys(conn, current)
	}
}

// applyKeys may be called with a view that is older than the one in force. The
// connection refuses it then, and connection IDs keep the newer keys too.
func (a *Agent) applyKeys(conn *packetConn, current *view.View) {
	a.applying.Lock()
	defer a.applying.Unlock()

	if err := conn.update(current); err != nil {
		a.logger.Warn("fabric keys not applied", "error", err)

		return
	}

	keys, err := connid.New(current.Keys())
	if err != nil {
		a.logger.Error("fabric keys not applied", "error", err)

		return
	}

	a.ids.Load().SetKeys(keys)
}

// Run serves until the context ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	// The parts outlive the context: they are needed to drain.
	living, stop := context.WithCancel(context.WithoutCancel(ctx))
	ctx, fail := context.WithCancelCause(ctx)

	parts := group.New(fail)

	defer parts.Wait()
	defer stop()

	for _, part := range []func(context.Context){
		a.gate.run, a.member.Run, a.claims.run,
		func(ctx context.Context) { a.backend.watchHealth(ctx, a.healthChanged) },
	} {
		parts.Go(func() { part(living) })
	}

	parts.Go(func() {
		select {
		case <-a.member.Replaced():
			fail(errReplaced)
		case <-living.Done():
		}
	})
	parts.Go(func() {
		if err := a.peers.Serve(living, peerGrace); err != nil {
			a.logger.Error("peer links ended", "error", err)
		}
	})

	defer a.member.Close()
	defer a.siblings.close()

	if err := a.member.Wait(ctx); err != nil {
		return errors.Trace(err)
	}

	return a.serve(ctx)
}

// errReplaced ends an agent that got another incarnation. No balancer sends to
// the former one any more.
var errReplaced = errors.New("the controllers have forgotten the agent, it must start anew")

// serve accepts flows until the context ends, then drains.
func (a *Agent) serve(ctx context.Context) error {
	listener, transport, err := a.listen(a.member.View())
	if err != nil {
		return err
	}

	var flows conc.WaitGroup

	flows.Go(func() { a.accept(listener) })
	a.observed.SetReady(true)
	a.logger.Info("serving", "service", a.config.Service, "incarnation", a.member.Incarnation(),
		"data", a.config.Data.String())

	<-ctx.Done()

	if cause := context.Cause(ctx); errors.Is(cause, group.ErrPanicked) || errors.Is(cause, errReplaced) {
		// Nothing can be finished without that part or from the former
		// incarnation. The flows are cut.
		_ = listener.Close()
		_ = transport.Close()
		flows.Wait()

		return cause
	}

	a.drain(context.WithoutCancel(ctx), listener)
	flows.Wait()

	return errors.Trace(transport.Close())
}

// listen opens the transport on which sessions end. Stateless resets and retry
// tokens use keys that all agents of the environment share.
func (a *Agent) listen(current *view.View) (*quic.Listener, *quic.Transport, error) {
	service, ok := current.ServiceByName(a.config.Service)
	if !ok {
		return nil, nil, newError("listen", KindSetup, errors.Errorf("service %q is not in the document", a.config.Service))
	}

	engine := forward.NewAgent(a.member.Incarnation(), service.ID)
	publishCounters(engine)

	conn, err := newPacketConn(a.config.Data, engine, a.logger)
	if err != nil {
		return nil, nil, err
	}

	keys, err := connid.New(current.Keys())
	if err != nil {
		return nil, nil, errors.Trace(err)
	}

	a.ids.Store(connid.NewGenerator(keys, service.ID, a.member.Incarnation()))
	a.applyKeys(conn, current)
	a.conn.Store(conn)
	// A view may have come between: apply the newest one again.
	a.applyKeys(conn, a.member.View())

	certificate, err := tls.LoadX509KeyPair(a.config.CallerTLS.Certificate, a.config.CallerTLS.Key)
	if err != nil {
		return nil, nil, newError("load caller certificate", KindSetup, err)
	}

	newest := current.Keys()[0]
	reset := quic.StatelessResetKey(keyring.Derive(newest, keyring.StatelessReset, len(quic.StatelessResetKey{})))
	token := quic.TokenGeneratorKey(keyring.Derive(newest, keyring.RetryToken, len(quic.TokenGeneratorKey{})))
	transport := &quic.Transport{
		Conn:                  quicConn{PacketConn: conn, buffers: conn},
		ConnectionIDGenerator: a.ids.Load(),
		ConnContext:           withSession,
		StatelessResetKey:     &reset,
		TokenGeneratorKey:     &token,
	}

	config := http3.ConfigureTLSConfig(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS13,
	})

	listener, err := transport.Listen(config, &quic.Config{
		KeepAlivePeriod:         keepAlive,
		MaxIdleTimeout:          idleTimeout,
		DisablePathMTUDiscovery: true,
		Tracer:                  noteFirst,
	})
	if err != nil {
		return nil, nil, newError("listen", KindSetup, err)
	}

	a.server = &http3.Server{Handler: &handler{
		matcher: a.matcher.Load,
		placer:  a.placer,
		claims:  a.claims,
		feeds:   a.feeds,
		tracer:  a.observed.Tracer(),
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
			traceSession(connection.Context(), a.observed.Tracer(), connection.RemoteAddr().String())

			if err := a.server.ServeQUICConn(connection); err != nil {
				a.logger.Debug("flow ended", "caller", connection.RemoteAddr().String(), "cause", err)
			}

			// A flow that is accepted after the shutdown has begun is not served:
			// its caller must not wait for the idle timeout.
			_ = connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		})
	}

	flows.Wait()
}

// healthChanged logs that the backend server became healthy or unhealthy.
func (a *Agent) healthChanged(healthy bool) {
	a.logger.Info("health of the backend server changed", "healthy", healthy)
}
