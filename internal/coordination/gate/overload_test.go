package gate_test

import (
	"testing"
	"time"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/state/flow"
)

var declinableHeader = flow.Header{Open: true, Declinable: true}

// open passes the opening packet of a new flow and returns the decision.
func (s *slotFixture) open(number int, h flow.Header) gate.Decision {
	return s.gate.FromClient(s.now, forwarder, header(client(number, normal), h), []byte("open"))
}

// TestDecline guards against new flows that wait for a slot although their entry
// instance knows further agents, against a free slot that is promised twice, and against
// a reservation for a client that sends no request.
func TestDecline(t *testing.T) {
	s := newSlotFixture(t, 2)

	s.is.Equal(s.open(1, declinableHeader).Kind, gate.Deliver)
	s.is.Equal(s.open(2, declinableHeader).Kind, gate.Deliver)
	s.is.Equal(s.open(3, declinableHeader).Kind, gate.Decline)
	s.is.Equal(s.open(3, openHeader).Kind, gate.Deliver) // the entry instance knows no better agent

	s.now = s.now.Add(60 * time.Millisecond)
	s.is.Equal(s.open(4, declinableHeader).Kind, gate.Deliver)

	s.fromBackend(client(4, normal), acceptHeader)
	s.is.True(s.sendRequest(client(5, normal)))
	s.is.True(s.sendRequest(client(6, normal)))
	s.is.Equal(s.open(7, declinableHeader).Kind, gate.Decline)
	s.is.Equal(s.gate.Counters().Declined, uint64(2))
}

// TestOverload guards against requests that are queued although those before them
// waited in vain, and against refusals while a request can be served in time or while
// nobody has given up.
func TestOverload(t *testing.T) {
	s := newSlotFixture(t, 1)
	serviceTime := aim / 3

	s.is.True(s.sendRequest(client(1, normal)))
	s.now = s.now.Add(serviceTime)
	s.fromBackend(client(1, normal), answerHeader) // the service time is known now

	for number := 2; number < 8; number++ {
		s.sendRequest(client(number, normal))
	}

	s.is.Equal(s.open(20, openHeader).Kind, gate.Deliver)

	s.fromClient(client(7, normal), flow.Header{Acks: true, Close: true}) // gives up

	refused := s.open(21, openHeader)
	s.is.Equal(refused.Kind, gate.Decline)
	s.is.Equal(refused.Reason, gate.ReasonOverload)

	for number := 2; number < 7; number++ {
		s.fromClient(client(number, normal), flow.Header{Acks: true, Reset: true})
	}

	s.now = s.now.Add(60 * time.Millisecond)
	s.is.Equal(s.open(22, openHeader).Kind, gate.Deliver) // nobody is ahead of it

	s.now = s.now.Add(2 * time.Second)

	for number := 30; number < 38; number++ {
		s.sendRequest(client(number, normal))
	}

	s.is.Equal(s.open(40, openHeader).Kind, gate.Deliver) // nobody has given up lately
}
