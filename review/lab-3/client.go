package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The times at which a client sends copies of its first packet, and gives up.
var openTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

const requestBudget = 2500 * time.Millisecond

// clients is the stand-in of the clients at one address, each with a flow of its own.
type clients struct {
	record *record
	router *router
	conn   *net.UDPConn
	ip     netip.Addr
	onOpen func(c *clientFlow)
	// onReset is called if the system resets an open flow.
	onReset func(c *clientFlow)

	mutex  sync.Mutex // guards everything below
	flows  map[uint16]*clientFlow
	port   uint16
	served int
	failed int
}

// clientFlow is one flow of a client.
type clientFlow struct {
	clients          *clients
	source, service  netip.AddrPort
	packets          chan packet
	sequence, ack    uint32
	openedAt         time.Time
	openedThrough    string
	lastSentThrough  string
	requests, served int
}

func newClients(r *record, router *router, ip netip.Addr) (*clients, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, dataPort)))
	if err != nil {
		return nil, err
	}

	c := &clients{
		record: r, router: router, conn: conn, ip: ip, flows: make(map[uint16]*clientFlow), port: 10000,
		onOpen: func(*clientFlow) {}, onReset: func(*clientFlow) {},
	}

	go c.receive()

	return c, nil
}

func (c *clients) receive() {
	buffer := make([]byte, 2048)

	for {
		count, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		p, ok := decode(buffer[:count])
		if !ok || (!p.intact && p.sum != 0) {
			c.record.violate("a client got a packet that its sender did not write so: %x", buffer[:count])

			continue
		}

		c.mutex.Lock()
		f := c.flows[p.destination.Port()]
		c.mutex.Unlock()

		if f != nil && p.source == f.service {
			select {
			case f.packets <- p:
			default: // a flow that ends reads nothing
			}
		}
	}
}

// newFlow returns a flow from a port that was not used before.
func (c *clients) newFlow(service netip.AddrPort) *clientFlow {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.port++
	f := &clientFlow{
		clients: c, source: netip.AddrPortFrom(c.ip, c.port), service: service, packets: make(chan packet, 64),
		sequence: rand.Uint32(),
	}
	c.flows[c.port] = f

	return f
}

// run opens flows and sends requests on them until ctx ends.
func (c *clients) run(ctx context.Context, service netip.AddrPort, requests int, pause time.Duration) {
	for ctx.Err() == nil {
		f := c.newFlow(service)
		if f.open() {
			for range 1 + rand.IntN(requests) {
				if ctx.Err() != nil || !f.request() {
					break
				}

				time.Sleep(pause/2 + rand.N(pause))
			}

			f.send(flagRST|flagACK, nil)
		} else {
			time.Sleep(pause)
		}

		c.mutex.Lock()
		delete(c.flows, f.source.Port())
		c.mutex.Unlock()
	}
}

func (f *clientFlow) send(flags byte, data []byte) {
	f.lastSentThrough = f.clients.router.send(f.clients.conn, packet{
		source: f.source, destination: f.service, flags: flags, sequence: f.sequence, ack: f.ack, data: data,
	})
}

// open opens the flow and reports whether it is open.
func (f *clientFlow) open() bool {
	started := time.Now()

	for copies := range len(openTimes) - 1 {
		f.ack = uint32(copies)
		f.send(flagSYN, nil)
		f.openedThrough = f.lastSentThrough

		timer := time.NewTimer(time.Until(started.Add(openTimes[copies+1])))

		select {
		case p := <-f.packets:
			timer.Stop()

			if p.flags&flagRST != 0 || p.flags&flagSYN == 0 {
				return false
			}

			f.sequence++
			f.ack = p.sequence + 1
			f.openedAt = time.Now()
			f.send(flagACK, nil)
			f.clients.onOpen(f)

			return true
		case <-timer.C:
		}
	}

	return false
}

// request sends a request and reports whether the flow can be used for another one.
func (f *clientFlow) request() bool {
	f.requests++
	data := fmt.Appendf(nil, "POST /report HTTP/1.1\r\nAttempt-Id: %v-%d\r\n\r\n", f.source, f.requests)
	deadline := time.Now().Add(requestBudget)

	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(flagACK, data)

		timer := time.NewTimer(min(wait, time.Until(deadline)))
		answered, again := f.awaitAnswer(timer.C, uint32(len(data)))
		timer.Stop()

		if answered || !again {
			f.clients.count(answered)

			return answered
		}
	}

	f.clients.count(false)

	return false
}

// awaitAnswer reports whether the answer has arrived, and whether the request may be sent
// again.
func (f *clientFlow) awaitAnswer(timeout <-chan time.Time, length uint32) (answered, again bool) {
	for {
		select {
		case p := <-f.packets:
			switch {
			case p.flags&flagRST != 0:
				if p.sum == 0 && uint32(int32(p.sequence-f.ack)+76800) <= 2*76800 {
					f.clients.onReset(f)
				}

				return false, false
			case len(p.data) > 0 && p.sequence == f.ack:
				f.ack += uint32(len(p.data))
				f.sequence += length
				f.served++
				f.send(flagACK, nil)

				return true, false
			}
		case <-timeout:
			return false, true
		}
	}
}

func (c *clients) count(served bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if served {
		c.served++
	} else {
		c.failed++
	}
}

func (c *clients) counts() (served, failed int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.served, c.failed
}
