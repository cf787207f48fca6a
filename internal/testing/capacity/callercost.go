package capacity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/transport/identity"
)

// The figures of callers' connections.
const (
	CallerMemory    ID = "caller memory"
	CallerHandshake ID = "caller handshake"
	CallerRequest   ID = "caller request"
)

const (
	serviceName           = "service-00000"
	callerIdleTimeout     = 30 * time.Second
	requestsPerConnection = 4
)

// callers opens connections to an HTTP/3 server that is configured like an
// agent's. To measure the memory of the server alone, it closes the callers'
// sockets without closing the connections: the server keeps them until the idle
// timeout.
var callers = probe{
	name: "callers", per: "connection", sizes: []int{50, 100, 200, 400},
	labels: []label{
		{CallerMemory, "live memory of the connections at the agent", unitBytes},
		{CallerHandshake, "handshakes, both ends", unitSeconds},
		{CallerRequest, "requests without body, both ends", unitSeconds},
	},
	run: func(ctx context.Context, size int) (values []float64, err error) {
		err = withTempDirectory(func(directory string) error {
			server, err := newAgentServer(directory)
			if err != nil {
				return err
			}
			defer server.close()

			values, err = server.measure(ctx, size)

			return err
		})

		return values, err
	},
}

// agentServer is the HTTP/3 server of an agent, without its backend server.
type agentServer struct {
	conn      *net.UDPConn
	transport *quic.Transport
	server    *http3.Server
	roots     *x509.CertPool
	running   conc.WaitGroup
}

func newAgentServer(directory string) (*agentServer, error) {
	path := func(name string) string { return filepath.Join(directory, name) }

	authority, err := identity.CreateAuthority(path("ca.pem"), path("ca.key"), "ca", time.Now())
	if err != nil {
		return nil, err
	}

	if err := authority.IssueService(serviceName, path("s.pem"), path("s.key"), time.Now()); err != nil {
		return nil, err
	}

	certificate, err := tls.LoadX509KeyPair(path("s.pem"), path("s.key"))
	if err != nil {
		return nil, err
	}

	trusted, err := os.ReadFile(path("ca.pem"))
	if err != nil {
		return nil, err
	}

	keys, err := connid.New(makeContents(1).Keys)
	if err != nil {
		return nil, err
	}

	t := &agentServer{roots: x509.NewCertPool()}
	t.roots.AppendCertsFromPEM(trusted)

	if t.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback)); err != nil {
		return nil, err
	}

	t.transport = &quic.Transport{Conn: t.conn, ConnectionIDGenerator: connid.NewGenerator(keys, 1, 1)}

	return t, t.serve(certificate)
}

func (t *agentServer) serve(certificate tls.Certificate) error {
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}

	listener, err := t.transport.Listen(http3.ConfigureTLSConfig(config), &quic.Config{
		KeepAlivePeriod: time.Duration(callerKeepAliveSeconds) * time.Second, MaxIdleTimeout: callerIdleTimeout,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return err
	}

	t.server = &http3.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	t.running.Go(func() {
		for {
			connection, err := listener.Accept(context.Background())
			if err != nil {
				return
			}

			t.running.Go(func() { _ = t.server.ServeQUICConn(connection) }) // ends with the connection
		}
	})

	return nil
}

func (t *agentServer) close() {
	closeAll(t.transport, t.conn)
	t.running.Wait()
}

// caller is a client connection with its own socket.
type caller struct {
	conn      *net.UDPConn
	transport *quic.Transport
	client    *http3.ClientConn
}

func (t *agentServer) measure(ctx context.Context, count int) ([]float64, error) {
	before := liveMemory()
	callers := make([]*caller, 0, count)
	began := processorTime()

	for range count {
		opened, err := t.dial(ctx)
		if err != nil {
			return nil, err
		}

		callers = append(callers, opened)
	}

	connected := processorTime()
	handshakes := connected - began

	for range requestsPerConnection {
		for _, caller := range callers {
			if err := caller.request(ctx); err != nil {
				return nil, err
			}
		}
	}

	requests := (processorTime() - connected) / requestsPerConnection

	for _, caller := range callers {
		closeAll(caller.conn)
	}

	for _, caller := range callers {
		closeAll(caller.transport)
	}

	clear(callers)

	return []float64{liveMemory() - before, handshakes, requests}, nil
}

func (t *agentServer) dial(ctx context.Context) (*caller, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		return nil, err
	}

	dialed := &caller{conn: conn, transport: &quic.Transport{Conn: conn}}
	config := &tls.Config{
		RootCAs: t.roots, ServerName: serviceName, MinVersion: tls.VersionTLS13,
		NextProtos: []string{http3.NextProtoH3},
	}

	connection, err := dialed.transport.Dial(ctx, t.conn.LocalAddr(), config,
		&quic.Config{MaxIdleTimeout: callerIdleTimeout})
	if err != nil {
		return nil, err
	}

	dialed.client = (&http3.Transport{}).NewClientConn(connection)

	return dialed, nil
}

func (c *caller) request(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+serviceName+"/", http.NoBody)
	if err != nil {
		return err
	}

	response, err := c.client.RoundTrip(request)
	if err != nil {
		return err
	}

	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return err
	}

	return response.Body.Close()
}
