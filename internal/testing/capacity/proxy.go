package capacity

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// proxy forwards datagrams between clients and a server and counts their bytes.
type proxy struct {
	listener *net.UDPConn
	server   netip.AddrPort
	bytes    atomic.Int64
}

func newProxy(server netip.AddrPort) (*proxy, error) {
	listener, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		return nil, err
	}

	return &proxy{listener: listener, server: server}, nil
}

func (p *proxy) address() netip.AddrPort {
	return p.listener.LocalAddr().(*net.UDPAddr).AddrPort()
}

// totalBytes returns the number of bytes in both directions so far.
func (p *proxy) totalBytes() float64 { return float64(p.bytes.Load()) }

// run forwards the clients' datagrams until the context ends.
func (p *proxy) run(ctx context.Context) {
	serverConns := make(map[netip.AddrPort]*net.UDPConn)

	var group conc.WaitGroup
	defer group.Wait()

	stop := context.AfterFunc(ctx, func() { closeAll(p.listener) })
	defer stop()

	defer func() {
		for _, serverConn := range serverConns {
			closeAll(serverConn)
		}
	}()

	buffer := make([]byte, maxDatagramBytes)

	for {
		length, client, err := p.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		serverConn, ok := serverConns[client]
		if !ok {
			if serverConn, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.server)); err != nil {
				return
			}

			serverConns[client] = serverConn

			group.Go(func() { p.forwardReplies(serverConn, client) })
		}

		p.bytes.Add(int64(length + headerBytes))

		if _, err := serverConn.Write(buffer[:length]); err != nil {
			continue // the datagram is lost, as on a network
		}
	}
}

// forwardReplies forwards the server's datagrams to one client.
func (p *proxy) forwardReplies(serverConn *net.UDPConn, client netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)

	for {
		length, err := serverConn.Read(buffer)
		if err != nil {
			return
		}

		p.bytes.Add(int64(length + headerBytes))

		if _, err := p.listener.WriteToUDPAddrPort(buffer[:length], client); err != nil {
			return
		}
	}
}
