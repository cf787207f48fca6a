package main

import (
	"time"
)

const (
	window      = 16 // packets in flight
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	maxResends  = 8 // a backend gives up then
)

// stream is the sending and receiving state of one end of an open flow.
type stream struct {
	transmit func(flags byte, seq, ack uint32, data []byte)

	received []byte // in order, not yet consumed
	rcvNext  uint32
	unacked  int // packets since the last acknowledgement
	acked    uint32

	sndUna, sndNext uint32
	sndMax          uint32 // end of what was ever sent
	pending         []byte // from sndUna on
	resendAt        time.Time
	resendWait      time.Duration
	resends         int
}

func newStream(sndNext, rcvNext uint32, transmit func(flags byte, seq, ack uint32, data []byte)) *stream {
	return &stream{sndUna: sndNext, sndNext: sndNext, sndMax: sndNext, rcvNext: rcvNext, acked: rcvNext, transmit: transmit}
}

// write queues data and sends what the window allows.
func (s *stream) write(now time.Time, data []byte) {
	s.pending = append(s.pending, data...)
	s.pump(now)
}

func (s *stream) pump(now time.Time) {
	for s.sndNext-s.sndUna < window*maxData {
		offset := int(s.sndNext - s.sndUna)
		if offset >= len(s.pending) {
			return
		}

		part := s.pending[offset:min(len(s.pending), offset+maxData)]
		s.send(s.sndNext, part)

		if s.resendAt.IsZero() {
			s.resendWait, s.resendAt = firstResend, now.Add(firstResend)
		}

		s.sndNext += uint32(len(part))

		if int32(s.sndNext-s.sndMax) > 0 {
			s.sndMax = s.sndNext
		}
	}
}

func (s *stream) send(seq uint32, data []byte) {
	s.acked, s.unacked = s.rcvNext, 0
	s.transmit(flagACK, seq, s.rcvNext, data)
}

// sendAck acknowledges what has been received.
func (s *stream) sendAck() { s.send(s.sndNext, nil) }

// receive handles acknowledgement and data of a packet.
func (s *stream) receive(now time.Time, p packet) {
	if progress := p.ack - s.sndUna; progress > 0 && progress <= s.sndMax-s.sndUna {
		s.pending = s.pending[progress:]
		s.sndUna = p.ack

		if int32(s.sndNext-s.sndUna) < 0 {
			s.sndNext = s.sndUna
		}

		s.resends = 0
		s.resendAt = time.Time{}

		if s.sndMax != s.sndUna {
			s.resendWait, s.resendAt = firstResend, now.Add(firstResend)
		}
	}

	s.pump(now)

	if len(p.data) == 0 {
		return
	}

	if p.seq != s.rcvNext {
		s.sendAck()

		return
	}

	s.received = append(s.received, p.data...)
	s.rcvNext += uint32(len(p.data))

	if s.unacked++; s.unacked >= 2 || len(p.data) < maxData {
		s.sendAck()
	}
}

// tick sends unacknowledged data again, from the first missing byte on. It reports false once it gives up.
func (s *stream) tick(now time.Time) bool {
	if s.resendAt.IsZero() || now.Before(s.resendAt) {
		return true
	}

	if s.resends++; s.resends > maxResends {
		return false
	}

	s.resendWait = min(lastResend, 2*s.resendWait)
	s.resendAt = now.Add(s.resendWait)
	s.sndNext = s.sndUna
	s.pump(now)

	return true
}
