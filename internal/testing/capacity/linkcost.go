package capacity

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/program/member"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

// The figures of control links. Both ends run in one process, so processor
// time and memory are those of both ends together.
const (
	LinkMemory ID = "link memory"
	LinkStart  ID = "link start"
	LinkIdle   ID = "link idle"
	LinkChange ID = "link change"

	TrafficStart  ID = "traffic start"
	TrafficIdle   ID = "traffic idle"
	TrafficChange ID = "traffic change"
	TrafficLink   ID = "traffic link"
)

const (
	settleTime = 500 * time.Millisecond
	// searchTime is how long the links search for their path MTU after they
	// were opened. Within 1 s the large probes were most of the bytes.
	searchTime = 6 * time.Second
	idleTime   = 2 * time.Second // one heartbeat and two renewals
	waitLimit  = 20 * time.Second
)

// controlLinks measures what instances cost that renew and follow views.
var controlLinks = probe{
	name: "control links", per: "instance", sizes: []int{16, 32, 64, 128},
	labels: []label{
		{LinkMemory, "live memory of the links, both ends", unitBytes},
		{LinkStart, "connecting, announcing and the first small view, both ends", unitSeconds},
		{LinkIdle, "a second without changes, both ends", unitSeconds},
		{LinkChange, "a change of a small view, both ends", unitSeconds},
	},
	run: func(ctx context.Context, size int) (values []float64, err error) {
		err = inGroup(ctx, false, func(g *group) error {
			before, began := liveMemory(), processorTime()
			if err := g.join(size); err != nil {
				return err
			}

			starting := processorTime() - began
			memory := liveMemory() - before

			time.Sleep(settleTime)

			idle, changing, err := g.phases(processorTime, dense)
			values = []float64{memory, starting, idle, changing}

			return err
		})

		return values, err
	},
}

// controlTraffic measures the bytes of the same instances in both directions,
// with 28 bytes of IPv4 and UDP headers for each datagram.
var controlTraffic = probe{
	name: "control traffic", per: "instance", sizes: []int{4, 8, 12, 16}, concurrent: true,
	labels: []label{
		{TrafficStart, "connecting, announcing and the first small view", unitBytes},
		{TrafficIdle, "a second without changes", unitBytes},
		{TrafficChange, "a change of one agent", unitBytes},
		{TrafficLink, "a second of a link that is only kept alive", unitBytes},
	},
	run: func(ctx context.Context, size int) ([]float64, error) {
		var (
			values []float64
			kept   float64
		)

		both := pool.New().WithErrors().WithFirstError()
		both.Go(func() error {
			return inGroup(ctx, true, func(g *group) error {
				if err := g.join(size); err != nil {
					return err
				}

				starting := g.proxy.total()

				time.Sleep(searchTime)

				idle, changing, err := g.phases(g.proxy.total, sparse)
				values = []float64{starting, idle, changing}

				return err
			})
		})
		both.Go(func() error {
			return inGroup(ctx, true, func(g *group) (err error) {
				kept, err = g.keepAlive(size)

				return err
			})
		})

		err := both.Wait()

		return append(values, kept), err
	},
}

// keepAlive returns the bytes a second of links without calls.
func (g *group) keepAlive(count int) (float64, error) {
	for i := range count {
		client := link.Dial(link.ClientOptions{
			Addresses: []netip.AddrPort{g.upstream}, Identity: g.instance, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		defer client.Close()

		if err := client.Call(g.ctx, control.MethodRenew, &control.Renew{Environment: environment}, nil); err != nil {
			return 0, err
		}
	}

	time.Sleep(searchTime)

	began, before := time.Now(), g.proxy.total()

	time.Sleep(idleTime)

	return (g.proxy.total() - before) / time.Since(began).Seconds(), nil
}

// group is one upstream and the instances that follow it.
type group struct {
	ctx       context.Context
	publisher *rollout.Publisher
	instance  *identity.Store
	upstream  netip.AddrPort
	proxy     *proxy // nil if the bytes are not counted
	current   *view.View
	running   *conc.WaitGroup
	joined    atomic.Int64 // instances that are ready
	applied   atomic.Int64 // views put in force
	known     atomic.Uint32
}

// inGroup runs a function with an upstream and ends everything afterwards.
func inGroup(ctx context.Context, counted bool, use func(*group) error) error {
	return inDirectory(func(directory string) error {
		ctx, cancel := context.WithCancel(ctx)

		var running conc.WaitGroup
		defer running.Wait()
		defer cancel()

		g := &group{ctx: ctx, running: &running, publisher: rollout.New(environment), current: view.New(contentsOf(100))}
		if err := g.open(directory, counted); err != nil {
			return err
		}

		return use(g)
	})
}

func (g *group) open(directory string, counted bool) error {
	controller, instance, err := identitiesIn(directory)
	if err != nil {
		return err
	}

	g.instance = instance

	server, err := link.Listen(loopback, link.ServerOptions{Identity: controller, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}

	server.HandleStream(control.MethodWatch, rollout.Handler(g.publisher))
	server.HandleStream(methodChunks, sendChunks)
	server.Handle(control.MethodRenew, func(_ context.Context, request *link.Request) (any, error) {
		var message control.Renew

		return &control.RenewReply{}, request.Decode(&message)
	})
	// Instances are ready once the view contains their incarnation.
	members := g.current.Agents()

	server.Handle(control.MethodAnnounce, func(_ context.Context, request *link.Request) (any, error) {
		var message control.Announce

		member := members[int(g.known.Add(1))%len(members)]

		return &control.AnnounceReply{Incarnation: member.Incarnation, Weight: 100}, request.Decode(&message)
	})

	g.upstream = server.Address()
	g.publisher.Apply(time.Now(), g.current)
	g.running.Go(func() { _ = server.Serve(g.ctx, 0) }) // ends with the context
	g.running.Go(g.tick)

	if counted {
		if g.proxy, err = newProxy(g.upstream); err != nil {
			return err
		}

		g.upstream = g.proxy.address()
		g.running.Go(func() { g.proxy.run(g.ctx) })
	}

	return nil
}

func identitiesIn(directory string) (controller, instance *identity.Store, err error) {
	path := func(name string) string { return filepath.Join(directory, name) }

	authority, err := identity.CreateAuthority(path("ca.pem"), path("ca.key"), "ca", time.Now())
	if err != nil {
		return nil, nil, err
	}

	open := func(holder identity.Identity) (*identity.Store, error) {
		certificate, key := path(holder.Name+".pem"), path(holder.Name+".key")
		if err := authority.Issue(holder, certificate, key, time.Now()); err != nil {
			return nil, err
		}

		files := identity.Files{Certificate: certificate, Key: key, Authorities: []string{path("ca.pem")}}

		return identity.OpenStore(files, slog.New(slog.DiscardHandler))
	}

	controller, err = open(identity.Identity{
		Role: identity.RoleController, Environment: identity.AllEnvironments, Name: "controller",
	})
	if err != nil {
		return nil, nil, err
	}

	instance, err = open(identity.Identity{Role: identity.RoleBalancer, Environment: environment, Name: "balancer"})

	return controller, instance, err
}

// tick does what a controller does for its publisher.
func (g *group) tick() {
	ticker := time.NewTicker(rollout.CoalesceInterval)
	defer ticker.Stop()

	for {
		select {
		case now := <-ticker.C:
			g.publisher.Confirm(now)
			g.publisher.Tick(now)
		case <-g.ctx.Done():
			return
		}
	}
}

// join starts instances and waits until all of them are ready.
func (g *group) join(count int) error {
	for i := range count {
		instance := member.New(member.Options{
			Environment: environment, Upstreams: []netip.AddrPort{g.upstream}, Identity: g.instance,
			Announce: func(boot []byte) control.Announce {
				return control.Announce{
					Environment: environment, Role: control.RoleBalancer, Zone: zone(i),
					Data: address(i, 7000), Peer: address(i, 7001), BootID: boot,
				}
			},
			Load:   func() uint8 { return 50 },
			OnView: func(*view.View) { g.applied.Add(1) },
			Logger: slog.New(slog.DiscardHandler),
			Random: rand.New(rand.NewPCG(1, uint64(i))),
		})

		g.running.Go(func() {
			instance.Run(g.ctx)
			instance.Close()
		})
		g.running.Go(func() {
			if instance.WaitReady(g.ctx) == nil {
				g.joined.Add(1)
			}
		})
	}

	return g.wait(&g.joined, int64(count))
}

// pace is a number of changes and the time between two of them.
type pace struct {
	changes  int
	interval time.Duration
}

// Changes come closer together than a publisher allows where processor time is
// measured: that of five changes was lost in the noise of idle links. For
// bytes they do not, because acknowledgements would cover several changes.
var (
	dense  = pace{changes: 50, interval: 25 * time.Millisecond}
	sparse = pace{changes: 5, interval: rollout.CoalesceInterval + rollout.CoalesceInterval/10}
)

// phases returns how much a second without changes costs, and how much a
// change adds to it.
func (g *group) phases(cost func() float64, pace pace) (idle, change float64, err error) {
	began, start := time.Now(), cost()

	time.Sleep(idleTime)

	idle = (cost() - start) / time.Since(began).Seconds()
	began, start = time.Now(), cost()
	want := g.applied.Load() + int64(pace.changes)*g.joined.Load()

	for i := range pace.changes {
		g.current = applied(g.current, marshal(reweighted(g.current)))
		g.publisher.Apply(began.Add(time.Duration(i)*rollout.CoalesceInterval), g.current)
		time.Sleep(pace.interval)
	}

	if err := g.wait(&g.applied, want); err != nil {
		return 0, 0, err
	}

	change = (cost() - start - idle*time.Since(began).Seconds()) / float64(pace.changes)

	return idle, change, nil
}

func (g *group) wait(counter *atomic.Int64, want int64) error {
	deadline := time.NewTimer(waitLimit)
	defer deadline.Stop()

	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()

	for counter.Load() < want {
		select {
		case <-poll.C:
		case <-deadline.C:
			return newError("wait for instances", KindProbe, context.DeadlineExceeded)
		case <-g.ctx.Done():
			return context.Cause(g.ctx)
		}
	}

	return nil
}
