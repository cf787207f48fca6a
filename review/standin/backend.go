package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in of a backend, as PROTOCOL.md describes it.
type backend struct {
	world   *world
	side    *machine
	id      string
	born    int64
	conn    *net.UDPConn
	work    time.Duration
	running chan struct{} // one for each slot
	seq     uint64        // of the next ping
	first   time.Duration // from the start to the first ping

	mutex   sync.Mutex // guards everything below
	flows   map[flowKey]*backendFlow
	ended   map[flowKey]bool
	stopped bool
	pinged  time.Time // last acknowledged ping
	leaving bool
	leftAt  time.Time // when a ping that says draining was acknowledged
}

type backendFlow struct {
	peerSeq uint32 // of the SYN
	ownSeq  uint32
	open    bool
	opened  time.Time
	closing bool // a FIN follows the response
	stream  *stream
}

// startBackend starts a lifetime of a backend. Its first ping carries firstSeq and
// is sent after firstPing.
func (w *world) startBackend(side *machine, firstSeq uint64, firstPing time.Duration) *backend {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(side.at(portApp)))
	w.must(err)

	b := &backend{
		world: w, side: side, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), conn: conn,
		work: w.work, running: make(chan struct{}, w.slots), seq: firstSeq, first: firstPing,
		flows: make(map[flowKey]*backendFlow), ended: make(map[flowKey]bool),
	}
	side.backend = b
	w.record("backend %s starts on %s, born %d", b.id, side.name, b.born)

	go b.serve()
	go b.pingLoop()
	go b.tickLoop()

	return b
}

// crash ends the backend at once; it says nothing and forgets its flows.
func (b *backend) crash() {
	b.mutex.Lock()
	b.stopped = true
	b.mutex.Unlock()
	b.conn.Close()
	b.world.record("backend %s on %s crashes", b.id, b.side.name)
}

func (b *backend) alive() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return !b.stopped
}

// holds reports whether the backend holds the flow open.
func (b *backend) holds(key flowKey) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	f := b.flows[key]

	return !b.stopped && f != nil && f.open
}

func (b *backend) openFlows() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	count := 0

	for _, f := range b.flows {
		if f.open {
			count++
		}
	}

	return count
}

func (b *backend) lastPing() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.pinged
}

func (b *backend) pingLoop() {
	time.Sleep(b.first)

	for b.alive() {
		b.ping()
		time.Sleep(heartbeat)
	}
}

func (b *backend) ping() {
	b.mutex.Lock()
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	b.mutex.Unlock()

	body, _ := json.Marshal(map[string]any{
		"service": b.side.service, "address": b.side.at(portApp).String(), "zone": "z1", "version": "v1",
		"slots": b.world.slots, "state": state, "warmupLeftMs": 0, "seq": b.seq, "born": b.born,
	})
	seq := b.seq
	b.seq++

	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Post(
		"http://"+b.side.at(portControl).String()+"/v1/Instances.Heartbeat/"+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		b.world.record("ping %d of %s has no ack", seq, b.id)

		return
	}

	response.Body.Close()

	if response.StatusCode/100 != 2 {
		b.world.record("ping %d of %s: %d", seq, b.id, response.StatusCode)

		return
	}

	b.mutex.Lock()
	first := b.pinged.IsZero()
	b.pinged = time.Now()

	if state == "draining" && b.leftAt.IsZero() {
		b.leftAt = time.Now()
	}
	b.mutex.Unlock()

	if first {
		b.world.record("ping %d of %s acknowledged, its first", seq, b.id)
	}
}

func (b *backend) tickLoop() {
	for b.alive() {
		time.Sleep(20 * time.Millisecond)
		b.mutex.Lock()

		for key, f := range b.flows {
			if f.stream != nil && !f.stream.tick(time.Now()) {
				delete(b.flows, key)
			}

			if f.closing && f.stream.sndMax == f.stream.sndUna {
				b.send(build(key.route, key.client, flagFIN|flagACK, f.stream.sndNext, f.stream.rcvNext, nil))
				delete(b.flows, key)
				b.ended[key] = true
			}
		}
		b.mutex.Unlock()
	}
}

func (b *backend) send(raw []byte) {
	_, _ = b.conn.WriteToUDPAddrPort(raw, b.side.at(portOutbound))
}

func (b *backend) serve() {
	buffer := make([]byte, 4096)

	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !b.alive() {
				return
			}

			continue
		}

		p, ok := parse(bytes.Clone(buffer[:n]))
		if !ok || !p.genuine() {
			b.world.violate("UNASKED: backend %s got a packet that its sender didn't write so", b.id)

			continue
		}

		b.handle(p)
	}
}

func (b *backend) handle(p packet) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.stopped {
		return
	}

	key := flowKey{client: p.src, route: p.dst}
	f := b.flows[key]

	switch {
	case p.flags&flagSYN != 0:
		if !b.leftAt.IsZero() && time.Since(b.leftAt) > drainBound {
			b.world.violate("DRAIN: backend %s gets the opening packet of %s %.2f s after its leave was acknowledged",
				b.id, key.client, time.Since(b.leftAt).Seconds())
		}

		if f == nil || (f.peerSeq != p.seq) {
			f = &backendFlow{peerSeq: p.seq, ownSeq: rand.Uint32()}
			b.flows[key] = f
			delete(b.ended, key)
		}

		b.send(build(p.dst, p.src, flagSYN|flagACK, f.ownSeq, p.seq+1, nil))

		return
	case f == nil && b.ended[key]:
		return
	case f == nil || (!f.open && p.ack != f.ownSeq+1):
		b.bounce(p)

		return
	case p.flags&flagRST != 0:
		delete(b.flows, key)

		return
	}

	if !f.open {
		f.open, f.opened = true, time.Now()
		f.stream = newStream(f.ownSeq+1, f.peerSeq+1, func(flags byte, seq, ack uint32, data []byte) {
			b.send(build(key.route, key.client, flags, seq, ack, data))
		})
		b.world.record("flow %s opens at %s", key.client, b.id)
	}

	f.stream.receive(time.Now(), p)
	b.takeRequests(key, f)

	if p.flags&flagFIN != 0 && p.seq+uint32(len(p.data)) == f.stream.rcvNext {
		b.send(build(key.route, key.client, flagFIN|flagACK, f.stream.sndNext, f.stream.rcvNext+1, nil))
		delete(b.flows, key)
		b.ended[key] = true
	}
}

// bounce returns a packet unused. Its sum does not cover the mark.
func (b *backend) bounce(p packet) {
	raw := bytes.Clone(p.raw)
	raw[16] |= flagBounced
	b.send(raw)
}

// takeRequests runs the complete requests of a flow.
func (b *backend) takeRequests(key flowKey, f *backendFlow) {
	for {
		head, rest, ok := bytes.Cut(f.stream.received, []byte("\r\n\r\n"))
		if !ok {
			return
		}

		f.stream.received = bytes.Clone(rest)
		id, size := headerOf(head, "Attempt-Id"), headerOf(head, "Want-Bytes")
		b.world.ran(id, b.id)

		go b.run(key, f, id, size)
	}
}

func (b *backend) run(key flowKey, f *backendFlow, id, size string) {
	b.running <- struct{}{}

	time.Sleep(b.work)
	<-b.running

	bytesWanted, _ := strconv.Atoi(size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n",
		id, b.id, bytesWanted)

	b.mutex.Lock()
	defer b.mutex.Unlock()

	if !b.stopped && b.flows[key] == f {
		f.stream.write(time.Now(), append([]byte(head), bytes.Repeat([]byte("x"), bytesWanted)...))
		f.closing = b.leaving
	}
}

func headerOf(head []byte, name string) string {
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		if value, ok := bytes.CutPrefix(line, []byte(name+": ")); ok {
			return string(value)
		}
	}

	return ""
}

// holderOf returns the live backend that holds the flow open, or nil.
func (w *world) holderOf(client, route netip.AddrPort) *backend {
	for _, m := range w.machines {
		if m.backend != nil && m.backend.holds(flowKey{client: client, route: route}) {
			return m.backend
		}
	}

	return nil
}

// drain takes the backend away as planned work: it says that it leaves, serves on for a
// while, deregisters and exits.
func (b *backend) drain(extra time.Duration) {
	b.mutex.Lock()
	b.leaving = true
	b.mutex.Unlock()
	b.world.record("backend %s on %s drains", b.id, b.side.name)
	b.ping()
	time.Sleep(drainBound + extra)

	body := fmt.Sprintf(`{"born":%d}`, b.born)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Post(
		"http://"+b.side.at(portControl).String()+"/v1/Instances.Deregister/"+b.id, "application/json",
		bytes.NewReader([]byte(body)))
	if err == nil {
		response.Body.Close()
	} else {
		time.Sleep(2 * time.Second)
	}

	b.crash()
}
