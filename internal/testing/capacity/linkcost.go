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

// The figures of control links. Both ends run in this process, so processor time
// and memory include both.
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
	settleDelay = 500 * time.Millisecond
	// mtuDiscoveryTime is how long the links send path MTU probes after they were
	// opened. Within 1 s of that, the probes are most of the bytes.
	mtuDiscoveryTime = 6 * time.Second
	idleWindow       = 2 * time.Second // one heartbeat and two renewals
	waitTimeout      = 20 * time.Second
)

// controlLinks measures instances that renew their leases and watch the view.
var controlLinks = probe{
	name: "control links", per: "instance", sizes: []int{16, 32, 64, 128},
	labels: []label{
		{LinkMemory, "live memory of the links, both ends", unitBytes},
		{LinkStart, "connecting, announcing and the first small view, both ends", unitSeconds},
		{LinkIdle, "a second without changes, both ends", unitSeconds},
		{LinkChange, "a change of a small view, both ends", unitSeconds},
	},
	run: func(ctx context.Context, size int) (values []float64, err error) {
		err = withCluster(ctx, false, func(c *cluster) error {
			before, began := liveMemory(), processorTime()
			if err := c.startInstances(size); err != nil {
				return err
			}

			startTime := processorTime() - began
			memory := liveMemory() - before

			time.Sleep(settleDelay)

			idle, changing, err := c.measurePhases(processorTime, denseChanges)
			values = []float64{memory, startTime, idle, changing}

			return err
		})

		return values, err
	},
}

// controlTraffic measures the traffic of such instances in both directions,
// including 28 bytes of IPv4 and UDP headers for each datagram.
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
			values    []float64
			keepAlive float64
		)

		both := pool.New().WithErrors().WithFirstError()
		both.Go(func() error {
			return withCluster(ctx, true, func(c *cluster) error {
				if err := c.startInstances(size); err != nil {
					return err
				}

				startBytes := c.proxy.totalBytes()

				time.Sleep(mtuDiscoveryTime)

				idle, changing, err := c.measurePhases(c.proxy.totalBytes, sparseChanges)
				values = []float64{startBytes, idle, changing}

				return err
			})
		})
		both.Go(func() error {
			return withCluster(ctx, true, func(c *cluster) (err error) {
				keepAlive, err = c.measureKeepAlive(size)

				return err
			})
		})

		err := both.Wait()

		return append(values, keepAlive), err
	},
}

// measureKeepAlive returns the bytes per second of links that are only kept alive.
func (c *cluster) measureKeepAlive(count int) (float64, error) {
	for i := range count {
		client := link.Dial(link.ClientOptions{
			Addresses: []netip.AddrPort{c.upstream}, Identity: c.instance, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		defer client.Close()

		if err := client.Call(c.ctx, control.MethodRenew, &control.Renew{Environment: environment}, nil); err != nil {
			return 0, err
		}
	}

	time.Sleep(mtuDiscoveryTime)

	began, before := time.Now(), c.proxy.totalBytes()

	time.Sleep(idleWindow)

	return (c.proxy.totalBytes() - before) / time.Since(began).Seconds(), nil
}

// cluster is a controller's link server and the instances that watch its view.
type cluster struct {
	ctx          context.Context
	publisher    *rollout.Publisher
	instance     *identity.Store
	upstream     netip.AddrPort
	proxy        *proxy // nil if bytes are not counted
	current      *view.View
	running      *conc.WaitGroup
	ready        atomic.Int64 // number of instances
	appliedViews atomic.Int64 // by all instances together
	announced    atomic.Uint32
}

// withCluster calls run with a cluster and stops the cluster afterwards.
func withCluster(ctx context.Context, countBytes bool, run func(*cluster) error) error {
	return withTempDirectory(func(directory string) error {
		ctx, cancel := context.WithCancel(ctx)

		var running conc.WaitGroup
		defer running.Wait()
		defer cancel()

		c := &cluster{ctx: ctx, running: &running, publisher: rollout.New(environment), current: view.New(makeContents(100))}
		if err := c.start(directory, countBytes); err != nil {
			return err
		}

		return run(c)
	})
}

func (c *cluster) start(directory string, countBytes bool) error {
	controller, instance, err := createIdentities(directory)
	if err != nil {
		return err
	}

	c.instance = instance

	server, err := link.Listen(loopback, link.ServerOptions{Identity: controller, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}

	server.HandleStream(control.MethodWatch, rollout.Handler(c.publisher))
	server.HandleStream(methodChunks, sendChunks)
	server.Handle(control.MethodRenew, func(_ context.Context, request *link.Request) (any, error) {
		var message control.Renew

		return &control.RenewReply{}, request.Decode(&message)
	})
	// Instances are ready once the view contains their incarnation.
	members := c.current.Agents()

	server.Handle(control.MethodAnnounce, func(_ context.Context, request *link.Request) (any, error) {
		var message control.Announce

		member := members[int(c.announced.Add(1))%len(members)]

		return &control.AnnounceReply{Incarnation: member.Incarnation, Weight: 100}, request.Decode(&message)
	})

	c.upstream = server.Address()
	c.publisher.Apply(time.Now(), c.current)
	c.running.Go(func() { _ = server.Serve(c.ctx, 0) }) // ends with the context
	c.running.Go(c.runPublisher)

	if countBytes {
		if c.proxy, err = newProxy(c.upstream); err != nil {
			return err
		}

		c.upstream = c.proxy.address()
		c.running.Go(func() { c.proxy.run(c.ctx) })
	}

	return nil
}

func createIdentities(directory string) (controller, instance *identity.Store, err error) {
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

// runPublisher drives the publisher as a controller does.
func (c *cluster) runPublisher() {
	ticker := time.NewTicker(rollout.CoalesceInterval)
	defer ticker.Stop()

	for {
		select {
		case now := <-ticker.C:
			c.publisher.Confirm(now)
			c.publisher.Tick(now)
		case <-c.ctx.Done():
			return
		}
	}
}

// startInstances starts instances and waits until all of them are ready.
func (c *cluster) startInstances(count int) error {
	for i := range count {
		instance := member.New(member.Options{
			Environment: environment, Upstreams: []netip.AddrPort{c.upstream}, Identity: c.instance,
			Announce: func(boot []byte) control.Announce {
				return control.Announce{
					Environment: environment, Role: control.RoleBalancer, Zone: zoneName(i),
					Data: address(i, 7000), Peer: address(i, 7001), BootID: boot,
				}
			},
			Load:   func() uint8 { return 50 },
			OnView: func(*view.View) { c.appliedViews.Add(1) },
			Logger: slog.New(slog.DiscardHandler),
			Random: rand.New(rand.NewPCG(1, uint64(i))),
		})

		c.running.Go(func() {
			instance.Run(c.ctx)
			instance.Close()
		})
		c.running.Go(func() {
			if instance.WaitReady(c.ctx) == nil {
				c.ready.Add(1)
			}
		})
	}

	return c.waitFor(&c.ready, int64(count))
}

// changeSchedule is a number of changes and the interval between them.
type changeSchedule struct {
	changes  int
	interval time.Duration
}

// Processor time is measured with denseChanges, which come faster than a
// publisher coalesces them: the processor time of five changes disappears in the
// noise of idle links. Bytes are measured with sparseChanges, because one
// acknowledgement would cover several dense changes.
var (
	denseChanges  = changeSchedule{changes: 50, interval: 25 * time.Millisecond}
	sparseChanges = changeSchedule{changes: 5, interval: rollout.CoalesceInterval + rollout.CoalesceInterval/10}
)

// measurePhases returns the cost of a second without changes, and the additional
// cost of a change.
func (c *cluster) measurePhases(cost func() float64, schedule changeSchedule) (idle, change float64, err error) {
	began, costBefore := time.Now(), cost()

	time.Sleep(idleWindow)

	idle = (cost() - costBefore) / time.Since(began).Seconds()
	began, costBefore = time.Now(), cost()
	want := c.appliedViews.Load() + int64(schedule.changes)*c.ready.Load()

	for i := range schedule.changes {
		c.current = mustApply(c.current, mustMarshal(reweightDelta(c.current)))
		c.publisher.Apply(began.Add(time.Duration(i)*rollout.CoalesceInterval), c.current)
		time.Sleep(schedule.interval)
	}

	if err := c.waitFor(&c.appliedViews, want); err != nil {
		return 0, 0, err
	}

	change = (cost() - costBefore - idle*time.Since(began).Seconds()) / float64(schedule.changes)

	return idle, change, nil
}

func (c *cluster) waitFor(counter *atomic.Int64, want int64) error {
	deadline := time.NewTimer(waitTimeout)
	defer deadline.Stop()

	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()

	for counter.Load() < want {
		select {
		case <-poll.C:
		case <-deadline.C:
			return newError("wait for instances", KindProbe, context.DeadlineExceeded)
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		}
	}

	return nil
}
