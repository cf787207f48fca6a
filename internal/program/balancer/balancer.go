// Package balancer is the process on entry instances. It forwards datagrams
// between callers and agents and holds no flow state. It also relays views to
// the instances of its availability zone.
//
// # Usage
//
//	balancer, err := balancer.New(config, telemetry)
//	err = balancer.Run(ctx)
//
// When the context ends, the balancer reports that it is not ready and
// forwards until the fabric has had time to stop sending to it.
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
	batchSize     = 64
	maxDatagram   = 1500
	receiveBuffer = 4 << 20 // bytes per socket
	idleBatches   = 8       // batches in the pool beyond one for each data socket
	leaveTimeout  = 3 * time.Second
)

// Balancer forwards datagrams.
type Balancer struct {
	config   Settings
	observed *telemetry.Telemetry
	logger   *slog.Logger
	member   *member.Member
	relay    *relay
	pool     *udp.Pool
	data     []*udp.Socket
	engine   atomic.Pointer[forward.Balancer]
	applying sync.Mutex // held while a view is put into force
	services *listeners
}

// New returns a balancer and binds its data address.
func New(config Settings, observed *telemetry.Telemetry) (*Balancer, error) {
	store, err := identity.Open(config.Identity, observed.Logger())
	if err != nil {
		return nil, errors.Trace(err)
	}

	b := &Balancer{
		config:   config,
		observed: observed,
		logger:   observed.Logger(),
		pool: udp.NewPool(config.Workers+idleBatches, udp.BatchConfig{
			Size: batchSize, Length: maxDatagram, Headroom: datagram.HeaderLength,
		}),
	}

	if b.data, err = udp.Listen(config.Data, b.socketOptions()); err != nil {
		return nil, errors.Trace(err)
	}

	b.services = newListeners(b)

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
		ReceiveBuffer: receiveBuffer,
		Refused: func(destination netip.AddrPort, _ syscall.Errno) {
			if engine := b.engine.Load(); engine != nil {
				engine.Refused(time.Now(), destination)
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

// apply puts a view into force. The member calls it for one view at a time, and
// Run for the view that came before the engine.
func (b *Balancer) apply(current *view.View) {
	b.applying.Lock()
	defer b.applying.Unlock()

	engine := b.engine.Load()
	if engine == nil {
		return
	}

	if err := engine.Apply(current); err != nil {
		b.logger.Error("view not applied", "position", current.Position().String(), "error", err)

		return
	}

	b.services.update(current)
}

// Run forwards until the context ends and the linger time has passed.
func (b *Balancer) Run(ctx context.Context) error {
	living, stop := context.WithCancel(context.WithoutCancel(ctx))
	ctx, fail := context.WithCancelCause(ctx)
	parts := group.New(fail)

	defer parts.Wait()
	defer stop()

	parts.Go(func() { b.member.Run(living) })
	parts.Go(func() { b.relay.run(living) })

	if err := b.member.Wait(ctx); err != nil {
		for _, socket := range b.data {
			_ = socket.Close() // nothing was served
		}

		return errors.Trace(err)
	}

	engine := forward.NewBalancer(b.member.Incarnation(), rand.Uint64())
	b.engine.Store(engine)
	b.publishCounters(engine)

	for _, socket := range b.data {
		parts.Go(func() { b.serve(socket, b.fromAgents()) })
	}

	b.apply(b.member.View())
	b.observed.SetReady(true)
	b.logger.Info("serving", "incarnation", b.member.Incarnation(), "data", b.config.Data.String())

	select {
	case <-ctx.Done():
		b.leave(living)

		return errors.Trace(b.close())
	case <-b.member.Replaced():
		// Agents do not reply through the former incarnation.
		b.observed.SetReady(false)

		if err := b.close(); err != nil {
			b.logger.Debug("sockets not closed", "error", err)
		}

		return errors.New("the controllers have forgotten the balancer, it must start anew")
	}
}

// leave lets the fabric take the balancer out before it stops forwarding.
func (b *Balancer) leave(ctx context.Context) {
	b.logger.Info("leaving", "linger", b.config.Linger)
	b.observed.SetReady(false)
	b.tell(ctx, control.PhaseDraining)

	timer := time.NewTimer(b.config.Linger)
	defer timer.Stop()

	<-timer.C
	b.tell(ctx, control.PhaseGone)
	b.member.Close()
}

func (b *Balancer) tell(ctx context.Context, phase control.Phase) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	if err := b.member.Leave(ctx, phase); err != nil {
		b.logger.Warn("controllers not told, the lease will expire", "phase", phase, "error", err)
	}
}

func (b *Balancer) close() error {
	b.services.close()

	var failed error

	// A socket that has failed cannot be stopped, which must not keep the others.
	for _, socket := range b.data {
		if err := socket.Stop(); err != nil {
			failed = errors.Trace(err)
		}
	}

	return failed
}

func (b *Balancer) serve(socket *udp.Socket, handle func(*udp.Batch)) {
	if err := socket.Serve(b.pool, handle); err != nil {
		b.logger.Error("socket failed", "address", socket.Address().String(), "error", err)
	}

	if err := socket.Close(); err != nil {
		b.logger.Debug("socket not closed", "address", socket.Address().String(), "error", err)
	}
}

// fromCallers returns the handler of one socket of a service.
func (b *Balancer) fromCallers(service view.ServiceID) func(*udp.Batch) {
	worker := b.engine.Load().Worker()
	outbox := udp.NewOutbox(batchSize)
	data := b.data[int(service)%len(b.data)]

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

			if decision.Reason == forward.First || decision.Reason == forward.FirstFurther {
				b.traceFirst(batch.Payload(i), &decision)
			}

			framed := batch.Framed(i)
			worker.Seal(framed, &decision.Header)
			outbox.Add(data, framed, decision.To)
		}

		outbox.Flush()
	}
}

// traceFirst records the hop of a first packet in the trace of its session.
func (b *Balancer) traceFirst(payload []byte, decision *forward.Decision) {
	dcid := connid.Parse(payload).DCID
	if !b.observed.SamplesSession(dcid) {
		return
	}

	_, span := b.observed.Tracer().Start(telemetry.WithSession(context.Background(), dcid), "balancer.first_packet",
		trace.WithAttributes(
			attribute.Int64("service", int64(decision.Header.Service)),
			attribute.Int64("agent", int64(decision.Header.Agent)),
			attribute.String("caller", decision.Header.Caller.String()),
			attribute.String("reason", decision.Reason.String())))
	span.End()
}

// fromAgents returns the handler of one data socket.
func (b *Balancer) fromAgents() func(*udp.Batch) {
	worker := b.engine.Load().Worker()
	outbox := udp.NewOutbox(batchSize)
	data := b.data[0]

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
				if socket := b.services.socket(decision.Header.Service); socket != nil {
					outbox.Add(socket, payload[datagram.HeaderLength:], decision.Header.Caller)
				}
			case forward.Answer:
				worker.Seal(answers[i][:], &decision.Header)
				outbox.Add(data, answers[i][:], decision.To)
			default:
			}
		}

		outbox.Flush()
	}
}

// publishCounters shows the decisions by reason under /debug/vars.
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
