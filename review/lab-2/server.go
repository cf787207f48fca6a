package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	serverSlots = 3
	workTime    = 20 * time.Millisecond
	coldTime    = 2 * time.Second // how long a backend server is slow after its start
)

// server is a backend server on a side machine.
type server struct {
	lab     *lab
	machine *machine
	conn    *net.UDPConn
	id      string
	born    time.Time // as the machine's time of day told it
	started time.Time

	mutex    sync.Mutex // guards everything below
	flows    map[flowKey]*serverFlow
	arrivals []arrival
	draining bool
	stopped  bool
	sequence int
	acked    int // reports that were acknowledged
}

// serverFlow is a flow at a backend server. It is open once the end of the handshake has
// arrived.
type serverFlow struct {
	open       bool
	openedAt   time.Time
	isn, next  uint32 // own first and next sequence number
	expected   uint32 // next sequence number of the client
	closed     bool
	unanswered []byte // last packet with data that the client has not acknowledged
	retries    int
}

// arrival is a packet that reached a backend server.
type arrival struct {
	at   time.Time
	key  flowKey
	held bool // the server held the flow, half open ones included
	text string
}

// newServer starts a backend server. Its machine's time of day is ahead by the given time.
func newServer(m *machine, ahead time.Duration) *server {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.at(appPort)))
	if err != nil {
		panic(unplayable{err.Error()})
	}

	now := time.Now()
	s := &server{
		lab: m.lab, machine: m, conn: conn, started: now, born: now.Add(ahead), flows: make(map[flowKey]*serverFlow),
		id: fmt.Sprintf("i-%08x", rand.Uint32()),
	}
	s.lab.note("server %s of %s starts on %s, born %d", s.id, m.service, m.name, s.born.UnixMilli())

	go s.serve()
	go s.report()

	return s
}

func (s *server) serve() {
	buffer := make([]byte, 2048)

	for {
		n, _, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}

		s.receive(bytes.Clone(buffer[:n]))
	}
}

func (s *server) send(packet []byte) {
	// Packets to a process that does not run are lost.
	_, _ = s.conn.WriteToUDPAddrPort(packet, s.machine.at(outboundPort))
}

func (s *server) receive(packet []byte) {
	h, ok := parse(packet)
	if !ok || !genuine(packet, h) {
		s.lab.note("server %s got a packet that no client sent: %x", s.id, packet)

		return
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	key := flowKey{client: h.src, route: h.dst}
	f := s.flows[key]
	s.arrivals = append(s.arrivals, arrival{
		at: time.Now(), key: key, held: f != nil, text: fmt.Sprintf("flags %d length %d", h.flags, h.length),
	})

	if h.flags&flagSYN != 0 {
		s.accept(key, f, h)

		return
	}

	if f != nil && !f.open {
		if h.ack != f.isn+1 {
			f = nil // the client has opened the flow at another server
		} else {
			f.open, f.openedAt = true, time.Now()
		}
	}

	if f == nil {
		packet[16] |= flagBounced
		s.send(packet)

		return
	}

	s.handle(key, f, h, packet[headBytes:])
}

func (s *server) accept(key flowKey, f *serverFlow, h head) {
	if f == nil {
		f = &serverFlow{isn: rand.Uint32(), expected: h.seq + 1}
		f.next = f.isn + 1
		s.flows[key] = f
	}

	if !f.open {
		s.send(newPacket(key.route, key.client, flagSYN|flagACK, f.isn, f.expected, nil))
	}
}

// handle handles a packet of an open flow. The caller holds the mutex.
func (s *server) handle(key flowKey, f *serverFlow, h head, data []byte) {
	if h.ack == f.next {
		f.unanswered = nil
	}

	switch {
	case h.flags&flagRST != 0:
		delete(s.flows, key)

		return
	case f.closed && h.length > 0:
		s.send(newPacket(key.route, key.client, flagRST, f.next, f.expected, nil))

		return
	case h.length > 0 && h.seq == f.expected:
		f.expected += uint32(h.length)
		request := string(data)

		time.AfterFunc(workTime, func() { s.answer(key, f, request) })
	case h.length > 0:
		s.send(newPacket(key.route, key.client, flagACK, f.next, f.expected, nil))
	}

	if h.flags&flagFIN != 0 && !f.closed {
		f.expected++
		f.closed = true
		s.send(newPacket(key.route, key.client, flagFIN|flagACK, f.next, f.expected, nil))
		f.next++
	}
}

// answer sends the response to a request, and again until the client has it.
func (s *server) answer(key flowKey, f *serverFlow, request string) {
	id := strings.TrimSpace(strings.SplitN(request, "\r\n", 2)[0])

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.lab.note("server %s ran %q", s.id, id)

	data := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nResponse-To: " + id + "\r\n\r\n")
	f.unanswered = newPacket(key.route, key.client, flagACK, f.next, f.expected, data)
	f.next += uint32(len(data))
	f.retries = 0
	s.send(f.unanswered)
	s.repeat(f, f.unanswered, 200*time.Millisecond)
}

func (s *server) repeat(f *serverFlow, packet []byte, wait time.Duration) {
	time.AfterFunc(wait, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		if s.stopped || f.retries >= 8 || !bytes.Equal(f.unanswered, packet) {
			return
		}

		f.retries++
		s.send(packet)
		s.repeat(f, packet, min(2*wait, 1600*time.Millisecond))
	})
}

// report sends pings until the server stops.
func (s *server) report() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	for s.running() {
		s.ping(&client)
		time.Sleep(heartbeat)
	}
}

func (s *server) running() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return !s.stopped
}

func (s *server) ping(client *http.Client) {
	s.mutex.Lock()
	s.sequence++
	sequence, state := s.sequence, "ready"

	if s.draining {
		state = "draining"
	}
	s.mutex.Unlock()

	cold := max(0, coldTime-time.Since(s.started))
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"kokura","version":"v1","slots":%d,"state":%q,`+
		`"warmupLeftMs":%d,"seq":%d,"born":%d}`,
		s.machine.service, s.machine.at(appPort), serverSlots, state, cold.Milliseconds(), sequence, s.born.UnixMilli())

	if s.call(client, "Heartbeat", body) {
		s.mutex.Lock()
		s.acked++
		s.mutex.Unlock()
		s.lab.note("server %s: ping %d (%s) is acknowledged", s.id, sequence, state)
	} else {
		s.lab.note("server %s: ping %d (%s) failed", s.id, sequence, state)
	}
}

func (s *server) call(client *http.Client, name, body string) bool {
	url := fmt.Sprintf("http://%s/v1/Instances.%s/%s", s.machine.at(controlPort), name, s.id)

	response, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}

	response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// awaitPings waits until the server has had pings acknowledged.
func (s *server) awaitPings(count int, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		s.mutex.Lock()
		acked := s.acked
		s.mutex.Unlock()

		if acked >= count {
			return true
		}
	}

	return false
}

// holds reports whether a flow is open at the server.
func (s *server) holds(key flowKey) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	f := s.flows[key]

	return !s.stopped && f != nil && f.open && !f.closed
}

// received returns the packets of a flow that reached the server since a moment.
func (s *server) received(key flowKey, since time.Time) []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	var found []arrival

	for _, a := range s.arrivals {
		if a.key == key && a.at.After(since) {
			found = append(found, a)
		}
	}

	return found
}

// routeTo returns the address of a service's route.
func routeTo(service string) netip.AddrPort {
	if service == "desk" {
		return netip.AddrPortFrom(netip.MustParseAddr(deskHost), deskPort)
	}

	return netip.AddrPortFrom(netip.MustParseAddr(linkHost), linkPort)
}

// leave drains the server and ends it as planned: it says that it is draining, serves for
// drainMs after the acknowledgement, says that it goes, and exits.
func (s *server) leave() {
	s.mutex.Lock()
	s.draining = true
	acked := s.acked
	s.mutex.Unlock()

	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	s.ping(client)

	if !s.awaitPings(acked+1, 5*time.Second) {
		panic(unplayable{"a server's draining was not acknowledged"})
	}

	time.Sleep(drain + 500*time.Millisecond)

	gone := s.call(client, "Deregister", fmt.Sprintf(`{"born":%d}`, s.born.UnixMilli()))
	s.lab.note("server %s has drained and says that it goes; acknowledged: %t", s.id, gone)

	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()

	// Nothing is sent any more, so the error has no consequence.
	_ = s.conn.Close()
}
