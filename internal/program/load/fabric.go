package load

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
)

const (
	healthCheckInterval = 200 * time.Millisecond
	healthCheckTimeout  = time.Second
)

// fabric simulates the network between callers and balancers: it sends each
// datagram to a balancer picked at random among those that report ready.
type fabric struct {
	balancers []FabricBalancer
	ready     atomic.Pointer[[]netip.Addr]
	logger    *slog.Logger
	client    *http.Client
}

func newFabric(balancers []FabricBalancer, logger *slog.Logger) *fabric {
	f := &fabric{balancers: balancers, logger: logger, client: &http.Client{Timeout: healthCheckTimeout}}

	all := make([]netip.Addr, 0, len(balancers))
	for _, balancer := range balancers {
		all = append(all, balancer.Host)
	}

	f.ready.Store(&all)

	return f
}

// poll updates the set of ready balancers until the context ends.
func (f *fabric) poll(ctx context.Context) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()

	for {
		f.refresh(ctx)

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *fabric) refresh(ctx context.Context) {
	healthy := make([]bool, len(f.balancers))

	var group conc.WaitGroup

	for i, balancer := range f.balancers {
		group.Go(func() { healthy[i] = f.isReady(ctx, balancer) })
	}

	group.Wait()

	ready := make([]netip.Addr, 0, len(f.balancers))

	for i, balancer := range f.balancers {
		if healthy[i] {
			ready = append(ready, balancer.Host)
		}
	}

	// If no balancer is ready, the last set stays in use: there is no better
	// destination.
	if len(ready) == 0 {
		return
	}

	if previous := f.ready.Load(); len(*previous) != len(ready) {
		f.logger.Info("ready balancers changed", "before", len(*previous), "now", len(ready))
	}

	f.ready.Store(&ready)
}

func (f *fabric) isReady(ctx context.Context, balancer FabricBalancer) bool {
	if !balancer.Health.IsValid() {
		return true
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+balancer.Health.String()+"/healthz", nil)
	if err != nil {
		return false
	}

	response, err := f.client.Do(request)
	if err != nil {
		return false
	}

	if err := response.Body.Close(); err != nil {
		f.logger.Debug("health answer not closed", "error", err)
	}

	return response.StatusCode == http.StatusOK
}

// sprayConn is the packet connection of one caller. To the caller all
// datagrams come from the address of the service, whichever balancer sent them.
type sprayConn struct {
	*net.UDPConn
	fabric  *fabric
	service *net.UDPAddr
	port    uint16
	mutex   sync.Mutex // guards random
	random  *rand.Rand
}

func newSprayConn(f *fabric, service *net.UDPAddr, port uint16, seed uint64) (*sprayConn, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, newError("open caller socket", KindNetwork, err)
	}

	return &sprayConn{
		UDPConn: socket,
		fabric:  f,
		service: service,
		port:    port,
		random:  rand.New(rand.NewPCG(seed, uint64(port))),
	}, nil
}

// WriteTo sends a datagram to a balancer picked at random.
func (c *sprayConn) WriteTo(datagram []byte, _ net.Addr) (int, error) {
	ready := *c.fabric.ready.Load()

	c.mutex.Lock()
	host := ready[c.random.IntN(len(ready))]
	c.mutex.Unlock()

	n, err := c.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(host, c.port))
	if err != nil {
		return n, errors.Trace(err)
	}

	return n, nil
}

// ReadFrom receives a datagram from any balancer. It also hides the methods of
// net.UDPConn through which quic-go would learn the balancer's address.
func (c *sprayConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, _, err := c.ReadFromUDPAddrPort(buffer)

	return n, c.service, err
}

// packetConn narrows a sprayConn to what quic-go may use: its buffer sizes, but
// not the batched methods of the embedded net.UDPConn, which bypass the fabric.
type packetConn struct {
	net.PacketConn
	buffers
}

// buffers sets the sizes of socket buffers in bytes.
type buffers interface {
	SetReadBuffer(size int) error
	SetWriteBuffer(size int) error
}
