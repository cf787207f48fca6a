// Package balancer implements the process on entry instances. It forwards
// datagrams between callers and agents without flow state, and relays views to
// the instances of its availability zone.
//
// # Usage
//
//	balancer, err := balancer.New(config, telemetry)
//	err = balancer.Run(ctx)
//
// When the context ends, the balancer reports that it is not ready and keeps
// forwarding until the fabric has had time to take it out of rotation.
package balancer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/program/group"
	"jayspindle/internal/program/member"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/udp"
)

const (
	batchSize          = 64
	maxDatagramBytes   = 1500
	receiveBufferBytes = 4 << 20 // bytes per socket
	spareBatches       = 8       // batches in the pool in addition to one for each data socket
	leaveTimeout       = 3 * time.Second
)

// Balancer forwards datagrams and relays views.
type Balancer struct {
	config      Settings
	telemetry   *telemetry.Telemetry
	logger      *slog.Logger
	member      *member.Member
	relay       *relay
	pool        *udp.Pool
	dataSockets []*udp.Socket
	forwarder   atomic.Pointer[forward.Balancer]
	applyMutex  sync.Mutex // held while a view is applied
	listeners   *listeners
}

// New returns a balancer and binds its data address.
func New(config Settings, tel *telemetry.Telemetry) (*Balancer, error) {
	store, err := identity.OpenStore(config.Identity, tel.Logger())
	if err != nil {
		return nil, errors.Trace(err)
	}

	b := &Balancer{
		config:    config,
		telemetry: tel,
		logger:    tel.Logger(),
		pool: udp.NewPool(config.Workers+spareBatches, udp.BatchConfig{
			Size: batchSize, Length: maxDatagramBytes, Headroom: datagram.HeaderLength,
		}),
	}

	if b.dataSockets, err = udp.Listen(config.Data, b.socketOptions()); err != nil {
		return nil, errors.Trace(err)
	}

	b.listeners = newListeners(b)

	if b.relay, err = newRelay(config, store, b.logger); err != nil {
		return nil, err
	}

	b.member = member.New(member.Options{
		Environment: config.Instance.Environment,
		Upstreams:   config.Upstreams,
		Identity:    store,
		Announce:    b.announcement,
		Load:        func() uint8 { return 0 },
		Sink:        b.relay.publisher,
		OnView:      b.apply,
		Logger:      b.logger,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})

	return b, nil
}

func (b *Balancer) socketOptions() udp.Options {
	return udp.Options{
		Sockets:       b.config.Workers,
		ReceiveBuffer: receiveBufferBytes,
		OnUnreachable: func(destination netip.AddrPort, _ syscall.Errno) {
			if engine := b.forwarder.Load(); engine != nil {
				engine.RecordRefusal(time.Now(), destination)
			}
		},
	}
}

func (b *Balancer) announcement(bootID []byte) control.Announce {
	return control.Announce{
		Environment: b.config.Instance.Environment,
		Role:        control.RoleBalancer,
		Zone:        b.config.Instance.Zone,
		Data:        b.config.Data,
		Peer:        b.config.Relay,
		BootID:      bootID,
	}
}

// apply passes a view to the forwarder and the listeners. The member calls it for
// each new view, one at a time. Run calls it for the view that arrived before
// forwarding started.
func (b *Balancer) apply(current *view.View) {
	b.applyMutex.Lock()
	defer b.applyMutex.Unlock()

	engine := b.forwarder.Load()
	if engine == nil {
		return
	}

	if err := engine.Apply(current); err != nil {
		b.logger.Error("view not applied", "position", current.Position().String(), "error", err)

		return
	}

	b.listeners.update(current)
}

// Run forwards datagrams until the context ends and the linger time has passed.
func (b *Balancer) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ctx, fail := context.WithCancelCause(ctx)
	tasks := group.New(fail)

	defer tasks.Wait()
	defer stop()

	tasks.Go(func() { b.member.Run(runCtx) })
	tasks.Go(func() { b.relay.run(runCtx) })

	if err := b.member.WaitReady(ctx); err != nil {
		for _, socket := range b.dataSockets {
			_ = socket.Close() // no datagram was served yet
		}

		return errors.Trace(err)
	}

	engine := forward.NewBalancer(b.member.Incarnation(), rand.Uint64())
	b.forwarder.Store(engine)
	b.publishCounters(engine)

	for _, socket := range b.dataSockets {
		tasks.Go(func() { b.serve(socket, b.agentHandler()) })
	}

	b.apply(b.member.View())
	b.telemetry.SetReady(true)
	b.logger.Info("serving", "incarnation", b.member.Incarnation(), "data", b.config.Data.String())

	select {
	case <-ctx.Done():
		b.drain(runCtx)

		return errors.Trace(b.close())
	case <-b.member.Replaced():
		// The controllers have assigned another incarnation. Agents no longer send replies
		// through the former one, so this process stops.
		b.telemetry.SetReady(false)

		if err := b.close(); err != nil {
			b.logger.Debug("sockets not closed", "error", err)
		}

		return errors.New("the controllers no longer know this incarnation, the balancer must be restarted")
	}
}

// drain announces that the balancer drains, and forwards for the linger time so
// that the fabric can take it out of rotation.
func (b *Balancer) drain(ctx context.Context) {
	b.logger.Info("leaving", "linger", b.config.Linger)
	b.telemetry.SetReady(false)
	b.reportPhase(ctx, control.PhaseDraining)

	timer := time.NewTimer(b.config.Linger)
	defer timer.Stop()

	<-timer.C
	b.reportPhase(ctx, control.PhaseRemoved)
	b.member.Close()
}

func (b *Balancer) reportPhase(ctx context.Context, phase control.Phase) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	if err := b.member.Leave(ctx, phase); err != nil {
		b.logger.Warn("could not notify the controllers, the lease will expire", "phase", phase, "error", err)
	}
}

func (b *Balancer) close() error {
	b.listeners.close()

	var closeErr error

	// Stopping a socket that has failed returns an error. The others must be stopped
	// all the same.
	for _, socket := range b.dataSockets {
		if err := socket.Stop(); err != nil {
			closeErr = errors.Trace(err)
		}
	}

	return closeErr
}

func (b *Balancer) serve(socket *udp.Socket, handle func(*udp.Batch)) {
	if err := socket.Serve(b.pool, handle); err != nil {
		b.logger.Error("socket failed", "address", socket.Address().String(), "error", err)
	}

	if err := socket.Close(); err != nil {
		b.logger.Debug("socket not closed", "address", socket.Address().String(), "error", err)
	}
}

// callerHandler returns the batch handler of one socket of a service.
func (b *Balancer) callerHandler(service view.ServiceID) func(*udp.Batch) {
	worker := b.forwarder.Load().Worker()
	outbox := udp.NewOutbox(batchSize)
	agentSocket := b.dataSockets[int(service)%len(b.dataSockets)]

	return func(batch *udp.Batch) {
		now := time.Now()

		for i := range batch.Len() {
			if batch.Truncated(i) {
				continue
			}

			decision := worker.FromCaller(now, service, batch.Payload(i), batch.Source(i))
			if decision.Action != forward.Send {
				continue
			}

			if decision.Reason == forward.First || decision.Reason == forward.FirstFallback {
				b.traceFirstPacket(batch.Payload(i), &decision)
			}

			framed := batch.WithHeadroom(i)
			worker.Seal(framed, &decision.Header)
			outbox.Add(agentSocket, framed, decision.To)
		}

		outbox.Flush()
	}
}

// traceFirstPacket adds a span for the forwarding of a first packet to the trace of
// its session.
func (b *Balancer) traceFirstPacket(payload []byte, decision *forward.Decision) {
	dcid := connid.Parse(payload).DCID
	if !b.telemetry.SamplesSession(dcid) {
		return
	}

	_, span := b.telemetry.Tracer().Start(telemetry.WithSession(context.Background(), dcid), "balancer.first_packet",
		trace.WithAttributes(
			attribute.Int64("service", int64(decision.Header.Service)),
			attribute.Int64("agent", int64(decision.Header.Agent)),
			attribute.String("caller", decision.Header.Caller.String()),
			attribute.String("reason", decision.Reason.String())))
	span.End()
}

// agentHandler returns the batch handler of one data socket.
func (b *Balancer) agentHandler() func(*udp.Batch) {
	worker := b.forwarder.Load().Worker()
	outbox := udp.NewOutbox(batchSize)
	agentSocket := b.dataSockets[0]

	var answers [batchSize][datagram.HeaderLength]byte

	return func(batch *udp.Batch) {
		now := time.Now()

		for i := range batch.Len() {
			if batch.Truncated(i) {
				continue
			}

			payload := batch.Payload(i)
			decision := worker.FromAgent(now, payload, batch.Source(i))

			switch decision.Action {
			case forward.Deliver:
				if socket := b.listeners.socket(decision.Header.Service); socket != nil {
					outbox.Add(socket, payload[datagram.HeaderLength:], decision.Header.Caller)
				}
			case forward.Answer:
				worker.Seal(answers[i][:], &decision.Header)
				outbox.Add(agentSocket, answers[i][:], decision.To)
			default:
			}
		}

		outbox.Flush()
	}
}

// publishCounters publishes the number of decisions by reason in /debug/vars.
func (b *Balancer) publishCounters(engine *forward.Balancer) {
	telemetry.Publish("balancer_datagrams", func() any {
		counts := engine.Counts()
		byReason := make(map[string]uint64, len(counts))

		for reason, count := range counts {
			byReason[forward.Reason(reason).String()] = count
		}

		return byReason
	})
}
