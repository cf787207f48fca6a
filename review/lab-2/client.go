package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// router forwards the packets of clients to the fronts in rotation, like the platform with
// the hash "steady".
type router struct {
	lab    *lab
	fronts []*machine
	conn   *net.UDPConn

	mutex  sync.Mutex // guards misses
	misses map[*machine]int
}

func newRouter(ctx context.Context, l *lab, fronts []*machine) *router {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(unplayable{err.Error()})
	}

	r := &router{lab: l, fronts: fronts, conn: conn, misses: make(map[*machine]int)}
	for _, m := range fronts {
		r.misses[m] = 2

		go r.check(ctx, m)
	}

	return r
}

// check asks a front twice a second whether it is ready.
func (r *router) check(ctx context.Context, m *machine) {
	client := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

	for ctx.Err() == nil {
		started := time.Now()

		response, err := client.Get("http://" + m.at(readyPort).String() + "/v1/ready")
		ready := err == nil && response.StatusCode == http.StatusOK

		if err == nil {
			response.Body.Close()
		}

		r.mutex.Lock()
		before := r.misses[m]

		if ready {
			r.misses[m] = 0
		} else {
			r.misses[m]++
		}

		after := r.misses[m]
		r.mutex.Unlock()

		if (before < 2) != (after < 2) {
			r.lab.note("router: %s is in rotation: %t", m.name, after < 2)
		}

		time.Sleep(500*time.Millisecond - time.Since(started))
	}
}

// awaitReady waits until all fronts are in rotation.
func (r *router) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if r.inRotation() == len(r.fronts) {
			return true
		}
	}

	return false
}

func (r *router) inRotation() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	count := 0

	for _, misses := range r.misses {
		if misses < 2 {
			count++
		}
	}

	return count
}

// pick returns the front of a flow. If fewer than half of the fronts are in rotation, all
// are used.
func (r *router) pick(key flowKey) *machine {
	all := 2*r.inRotation() < len(r.fronts)

	r.mutex.Lock()
	defer r.mutex.Unlock()

	var (
		best      *machine
		bestScore uint64
	)

	for _, m := range r.fronts {
		if !all && r.misses[m] >= 2 {
			continue
		}

		sum := fnv.New64a()
		fmt.Fprintf(sum, "%s %s", m.name, key)

		if score := sum.Sum64() * 0x9e3779b97f4a7c15; best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}

	return best
}

func (r *router) forward(key flowKey, packet []byte) *machine {
	m := r.pick(key)

	// Packets to a process that does not run are lost.
	_, _ = r.conn.WriteToUDPAddrPort(packet, m.at(dataPort))

	return m
}

// host is a client's machine. All its flows share one address.
type host struct {
	lab    *lab
	router *router
	conn   *net.UDPConn
	ip     netip.Addr

	mutex sync.Mutex // guards everything below
	port  uint16
	flows map[uint16]*clientFlow
}

func newHost(l *lab, r *router) *host {
	l.mutex.Lock()
	ip := netip.MustParseAddr(fmt.Sprintf("%s.%d", l.network, 250))
	l.mutex.Unlock()

	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, dataPort)))
	if err != nil {
		panic(unplayable{err.Error()})
	}

	h := &host{lab: l, router: r, conn: conn, ip: ip, port: 1024, flows: make(map[uint16]*clientFlow)}

	go h.serve()

	return h
}

// incoming is a packet for a client.
type incoming struct {
	head
	genuine bool
	data    []byte
}

func (h *host) serve() {
	buffer := make([]byte, 2048)

	for {
		n, _, err := h.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}

		header, ok := parse(buffer[:n])
		if !ok {
			h.lab.note("a client got bytes that are no packet: %x", buffer[:n])

			continue
		}

		h.mutex.Lock()
		f := h.flows[header.dst.Port()]
		h.mutex.Unlock()

		if f == nil || f.key.route != header.src {
			continue
		}

		f.incoming <- incoming{
			head: header, genuine: genuine(buffer[:n], header), data: append([]byte(nil), buffer[headBytes:n]...),
		}
	}
}

// clientFlow is one flow of a client. One goroutine uses it at a time.
type clientFlow struct {
	host     *host
	key      flowKey
	incoming chan incoming
	next     uint32 // own next sequence number
	expected uint32 // next sequence number of the server
	isOpen   bool
	resetAt  time.Time // when a reset of the system's own arrived
}

// newFlow returns a flow from a new port.
func (h *host) newFlow(service string) *clientFlow {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.port++
	f := &clientFlow{
		host: h, incoming: make(chan incoming, 64),
		key:  flowKey{client: netip.AddrPortFrom(h.ip, h.port), route: routeTo(service)},
		next: rand.Uint32(),
	}
	h.flows[h.port] = f

	return f
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) *machine {
	return f.host.router.forward(f.key, newPacket(f.key.client, f.key.route, flags, seq, ack, data))
}

// await returns the next packet until a moment.
func (f *clientFlow) await(until time.Time) (incoming, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()

	select {
	case packet := <-f.incoming:
		return packet, true
	case <-timer.C:
		return incoming{}, false
	}
}

// open opens the flow. Copies of the SYN follow after 200 and 600 ms.
func (f *clientFlow) open() bool {
	started, isn := time.Now(), f.next
	due := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

	for copies := range 3 {
		f.send(flagSYN, isn, uint32(copies), nil)

		for {
			packet, ok := f.await(started.Add(due[copies+1]))
			if !ok {
				break
			}

			switch {
			case packet.flags&flagRST != 0:
				return false
			case packet.flags&flagSYN != 0 && packet.genuine:
				f.next, f.expected, f.isOpen = isn+1, packet.seq+1, true
				f.send(flagACK, f.next, f.expected, nil)

				return true
			}
		}
	}

	return false
}

// request sends a request and waits for its response, until the time budget has passed. It
// returns how the request ended, and through which front its first packet went.
func (f *clientFlow) request(name string, budget time.Duration) (end string, through *machine) {
	data := []byte("GET /" + name + " HTTP/1.1\r\nHost: route\r\nAttempt-Id: " + name + "\r\n\r\n")
	seq := f.next
	f.next += uint32(len(data))
	through = f.send(flagACK, seq, f.expected, data)
	wait := 200 * time.Millisecond
	again := time.Now().Add(wait)

	for deadline := time.Now().Add(budget); time.Now().Before(deadline); {
		packet, ok := f.await(earlier(again, deadline))

		switch {
		case !ok && time.Now().Before(deadline):
			f.send(flagACK, seq, f.expected, data)
			wait = min(2*wait, 1600*time.Millisecond)
			again = time.Now().Add(wait)
		case !ok:
		case packet.flags&flagRST != 0 && packet.genuine:
			return "reset by its server", through
		case packet.flags&flagRST != 0:
			f.resetAt = time.Now()

			return "reset by the system", through
		case packet.flags&flagSYN != 0:
			// Another server's answer to the SYN.
		case packet.length > 0 && packet.seq == f.expected:
			f.expected += uint32(packet.length)
			f.send(flagACK, f.next, f.expected, nil)

			if strings.Contains(string(packet.data), "/"+name+" ") {
				return "200", through
			}
		case packet.length > 0:
			f.send(flagACK, f.next, f.expected, nil)
		}
	}

	return "no answer", through
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
