package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client is one client machine. Its flows share a socket.
type client struct {
	world *world
	ip    netip.Addr
	conn  *net.UDPConn

	mutex sync.Mutex // guards everything below
	port  uint16
	flows map[uint16]*clientFlow
}

type clientFlow struct {
	client *client
	end    netip.AddrPort // the client's end
	route  netip.AddrPort
	inbox  chan packet
	stream *stream
	lastID int

	opened   time.Time
	lastUse  time.Time
	lastAck  uint32
	isOpen   bool
	finished string // why the flow ended
}

func (w *world) newClient(number int) *client {
	c := &client{
		world: w, ip: w.ip(200 + number), flows: make(map[uint16]*clientFlow), port: uint16(20000 + rand.IntN(20000)),
	}

	if found := w.clients[number]; found != nil {
		return found
	}

	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, w.ports[portData])))
	w.must(err)

	w.clients[number] = c

	c.conn = conn

	go c.serve()

	return c
}

func (c *client) serve() {
	buffer := make([]byte, 4096)

	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if c.world.closing.Load() {
				return
			}

			continue
		}

		if rand.Float64() < c.world.loss {
			continue
		}

		p, ok := parse(bytes.Clone(buffer[:n]))
		if !ok || (!p.genuine() && !p.systemReset()) {
			c.world.violate("MIXED: client %s got a packet that its sender didn't write so: %x", c.ip, buffer[:min(n, headBytes)])

			continue
		}

		c.mutex.Lock()
		f := c.flows[p.dst.Port()]
		c.mutex.Unlock()

		if f != nil && f.route == p.src {
			select {
			case f.inbox <- p:
			default:
			}
		}
	}
}

// open opens a flow; it returns nil if the attempt fails.
func (c *client) open(route netip.AddrPort) *clientFlow {
	c.mutex.Lock()
	c.port++
	f := &clientFlow{
		client: c, end: netip.AddrPortFrom(c.ip, c.port), route: route, inbox: make(chan packet, 256),
	}
	c.flows[c.port] = f
	c.mutex.Unlock()

	isn := rand.Uint32()
	started := time.Now()

	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(flagSYN, isn, uint32(copies), nil)

		p, ok := f.next(started.Add(until))
		if !ok {
			continue
		}

		if p.flags&flagRST != 0 {
			c.world.record("flow %s is refused while it opens", f.end)

			return nil
		}

		if p.flags&flagSYN != 0 {
			f.stream = newStream(isn+1, p.seq+1, f.send)
			f.stream.sendAck()
			f.opened, f.lastUse, f.isOpen = time.Now(), time.Now(), true

			return f
		}
	}

	c.world.record("flow %s does not open", f.end)

	return nil
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	if flags&flagSYN == 0 {
		f.lastAck = ack
	}

	f.client.world.router.send(f.client.conn, f.end, f.route, build(f.end, f.route, flags, seq, ack, data))
}

func (f *clientFlow) next(until time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()

	select {
	case p := <-f.inbox:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

// request sends a request and waits for the whole response. It reports whether it
// was served; after a failure f.finished says why the flow has ended, if it has.
func (f *clientFlow) request(bytesWanted int, budget time.Duration) bool {
	w := f.client.world
	f.lastID++
	id := fmt.Sprintf("%s#%d", f.end, f.lastID)
	w.sent(id)
	f.stream.received = nil
	f.lastUse = time.Now()
	f.stream.write(time.Now(), []byte(fmt.Sprintf(
		"GET /feed HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nWant-Bytes: %d\r\nCookie: %s\r\n\r\n",
		f.route, id, bytesWanted, strings.Repeat("c", w.padding))))

	for deadline := time.Now().Add(budget); time.Now().Before(deadline); {
		if done, served := f.step(id); done {
			return served
		}
	}

	w.record("request %s: the client's time budget passes", id)

	return false
}

// idle handles packets for a while without a request.
func (f *clientFlow) idle(length time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until) && f.finished == ""; {
		f.step("")
	}
}

// step handles the next packet or timer of a flow.
func (f *clientFlow) step(id string) (done, served bool) {
	p, ok := f.next(time.Now().Add(20 * time.Millisecond))
	now := time.Now()

	if !ok {
		f.stream.tick(now)

		return false, false
	}

	switch {
	case p.flags&flagRST != 0:
		f.handleReset(p, id)

		return true, false
	case p.flags&flagSYN != 0:
		// Only the first SYN+ACK counts; a copy of it is acknowledged again.
		if p.seq+1 == f.stream.rcvNext {
			f.stream.sendAck()
		}

		return false, false
	}

	f.stream.receive(now, p)

	if p.flags&flagFIN != 0 {
		f.finished = "closed"
		f.send(flagFIN|flagACK, f.stream.sndNext, p.seq+1, nil)

		return true, false
	}

	head, body, ok := bytes.Cut(f.stream.received, []byte("\r\n\r\n"))
	if !ok || id == "" {
		return false, false
	}

	if length, _ := strconv.Atoi(headerOf(head, "Content-Length")); len(body) < length {
		return false, false
	}

	if found := headerOf(head, "Attempt-Id"); found != id {
		f.client.world.violate("MIXED: request %s got the response of %s", id, found)
	}

	f.stream.received = nil
	f.client.world.answered(id)

	return true, true
}

// handleReset judges a reset of an open flow.
func (f *clientFlow) handleReset(p packet, id string) {
	w := f.client.world
	f.finished = "reset"

	if !p.systemReset() {
		w.record("flow %s is reset by its backend", f.end)

		return
	}

	distance := int64(int32(p.seq - f.lastAck))
	holder := w.holderOf(f.end, f.route)

	w.record("flow %s is reset by the system, seq is %d from the client's last ack, request %q", f.end, distance, id)

	if w.judgeDistance && (distance > resetWindow || distance < -resetWindow) {
		w.violate("MIXED: flow %s got a reset whose seq is %d from the client's last ack, at most %d is allowed",
			f.end, distance, resetWindow)
	}

	if holder == nil || !w.inTouch() {
		return
	}

	age, idle := time.Since(f.opened), time.Since(f.lastUse)
	if age > maxFlow || idle > idleTimeout {
		return
	}

	w.violate("FLOW: flow %s, %.2f s old, was reset by the system while its backend %s lives and holds it",
		f.end, age.Seconds(), holder.id)
}

// close ends the flow.
func (f *clientFlow) close() {
	if f.finished == "" {
		f.send(flagFIN|flagACK, f.stream.sndNext, f.stream.rcvNext, nil)
	}

	f.client.mutex.Lock()
	delete(f.client.flows, f.end.Port())
	f.client.mutex.Unlock()
}
