package capacity

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// headerBytes are the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// proxy passes datagrams between clients and a server and counts their bytes.
type proxy struct {
	front  *net.UDPConn
	server netip.AddrPort
	bytes  atomic.Int64
}

func newProxy(server netip.AddrPort) (*proxy, error) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		return nil, err
	}

	return &proxy{front: front, server: server}, nil
}

func (p *proxy) address() netip.AddrPort {
	return p.front.LocalAddr().(*net.UDPAddr).AddrPort()
}

// total returns the bytes so far, in both directions.
func (p *proxy) total() float64 { return float64(p.bytes.Load()) }

// run passes datagrams until the context ends.
func (p *proxy) run(ctx context.Context) {
	backs := make(map[netip.AddrPort]*net.UDPConn)

	var group conc.WaitGroup
	defer group.Wait()

	stop := context.AfterFunc(ctx, func() { closeAll(p.front) })
	defer stop()

	defer func() {
		for _, back := range backs {
			closeAll(back)
		}
	}()

	buffer := make([]byte, maxDatagram)

	for {
		length, client, err := p.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		back, ok := backs[client]
		if !ok {
			if back, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.server)); err != nil {
				return
			}

			backs[client] = back

			group.Go(func() { p.answer(back, client) })
		}

		p.bytes.Add(int64(length + headerBytes))

		if _, err := back.Write(buffer[:length]); err != nil {
			continue // as a lost datagram
		}
	}
}

// answer passes the server's datagrams to one client.
func (p *proxy) answer(back *net.UDPConn, client netip.AddrPort) {
	buffer := make([]byte, maxDatagram)

	for {
		length, err := back.Read(buffer)
		if err != nil {
			return
		}

		p.bytes.Add(int64(length + headerBytes))

		if _, err := p.front.WriteToUDPAddrPort(buffer[:length], client); err != nil {
			return
		}
	}
}
