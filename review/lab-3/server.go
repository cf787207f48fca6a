package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	slots       = 3
	workTime    = 20 * time.Millisecond
	pingTimeout = time.Second
)

// server is the stand-in of a backend server: it accepts flows, runs each request for
// workTime, and returns the packets of flows that it does not hold.
type server struct {
	record  *record
	machine *machine
	conn    *net.UDPConn
	id      string
	born    int64

	mutex sync.Mutex // guards everything below
	flows map[netip.AddrPort]*serverFlow
	acked bool // a heartbeat was acknowledged
}

// serverFlow is a flow of a server.
type serverFlow struct {
	sequence    uint32 // of the next data that the server sends
	expected    uint32 // sequence of the next data of the client
	established bool   // the server has the end of the handshake
	answer      []byte // last answer, for a request that is sent again
}

func newServer(r *record, m *machine) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.at(appPort)))
	if err != nil {
		return nil, err
	}

	born := time.Now().UnixMilli()
	s := &server{
		record: r, machine: m, conn: conn, born: born, id: fmt.Sprintf("i-%s-%d", m.name, born),
		flows: make(map[netip.AddrPort]*serverFlow),
	}

	go s.serve()
	go s.heartbeats()

	return s, nil
}

func (s *server) serve() {
	buffer := make([]byte, 2048)

	for {
		count, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue // a packet sent earlier was not delivered: its agent is being restarted
		}

		raw := append([]byte(nil), buffer[:count]...)
		if p, ok := decode(raw); ok && p.intact {
			s.handle(p, raw)
		} else {
			s.record.violate("%s got a packet that its sender did not write so: %x", s.id, raw)
		}
	}
}

func (s *server) handle(p packet, raw []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	f := s.flows[p.source]

	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{sequence: rand.Uint32(), expected: p.sequence + 1}
			s.flows[p.source] = f
		}

		s.send(p.reply(flagSYN|flagACK, f.sequence, f.expected, nil))
	case f == nil || (!f.established && p.ack != f.sequence+1):
		raw[16] |= flagBounced
		s.sendRaw(raw)
	case p.flags&flagRST != 0:
		delete(s.flows, p.source)
	default:
		if !f.established {
			f.established = true
			f.sequence++
		}

		if len(p.data) > 0 {
			s.handleRequest(f, p)
		}
	}
}

// handleRequest runs a request, or repeats the answer of one that is sent again.
func (s *server) handleRequest(f *serverFlow, p packet) {
	if p.sequence != f.expected {
		if f.answer != nil {
			s.send(p.reply(flagACK, f.sequence-uint32(len(f.answer)), f.expected, f.answer))
		}

		return
	}

	f.expected += uint32(len(p.data))
	f.answer = nil

	time.AfterFunc(workTime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		f.answer = append([]byte("done "), p.data...)
		s.send(p.reply(flagACK, f.sequence, f.expected, f.answer))
		f.sequence += uint32(len(f.answer))
	})
}

func (p packet) reply(flags byte, sequence, ack uint32, data []byte) packet {
	return packet{
		source: p.destination, destination: p.source, flags: flags, sequence: sequence, ack: ack, data: data,
	}
}

func (s *server) send(p packet) { s.sendRaw(p.encode()) }

func (s *server) sendRaw(raw []byte) {
	// Packets to an agent that restarts are lost.
	_, _ = s.conn.WriteToUDPAddrPort(raw, s.machine.at(outboundPort))
}

// heartbeats pings the agent.
func (s *server) heartbeats() {
	client := http.Client{Timeout: pingTimeout}

	for sequence := 0; ; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":"%s","zone":"kokura","version":"v1","slots":%d,`+
			`"state":"ready","warmupLeftMs":0,"seq":%d,"born":%d}`,
			s.machine.service, s.machine.at(appPort), slots, sequence, s.born)
		url := fmt.Sprintf("http://%s/v1/Instances.Heartbeat/%s", s.machine.at(controlPort), s.id)
		wait := heartbeat

		response, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))

		switch {
		case err != nil:
			wait = 100 * time.Millisecond
		case response.StatusCode != http.StatusOK:
			s.record.add("%s: a heartbeat was answered with %s", s.id, response.Status)
		default:
			s.noteAck()
		}

		if err == nil {
			response.Body.Close()
		}

		time.Sleep(wait)
	}
}

func (s *server) noteAck() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if !s.acked {
		s.acked = true
		s.record.add("%s was acknowledged for the first time", s.id)
	}
}

// holds reports whether the server has an open flow from an address. It lives as long as
// the case runs.
func (s *server) holds(client netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	f := s.flows[client]

	return f != nil && f.established
}
