package gate_test

import (
	"testing"
	"time"

	"jayspindle/internal/state/flow"
)

// failRequests lets the backend server reset count requests, each on its own flow.
func (s *slotFixture) failRequests(from, count int) {
	for number := range count {
		key := client(from+number, normal)
		s.sendRequest(key)
		s.fromBackend(key, flow.Header{Reset: true})
	}
}

// answerRequests lets the backend server answer count requests on one flow.
func (s *slotFixture) answerRequests(count int) {
	for range count {
		key := client(0, normal)
		s.sendRequest(key)
		s.answer(key)
	}
}

func (s *slotFixture) failing() bool { return s.gate.Load(s.now).Failing }

// TestFailing guards against a backend server that fails requests while its own
// health check passes: it answers fast, so it has few flows and gets all new ones.
func TestFailing(t *testing.T) {
	t.Run("resets", func(t *testing.T) {
		s := newSlotFixture(t, 3)
		s.answerRequests(50)
		s.failRequests(1, 2)
		s.is.True(!s.failing())
		s.failRequests(3, 1)
		s.is.True(s.failing())
	})

	t.Run("some of the requests", func(t *testing.T) {
		s := newSlotFixture(t, 3)
		for round := range 10 {
			s.failRequests(1+2*round, 2)
			s.answerRequests(3)
		}

		s.is.True(s.failing())
	})

	t.Run("no answers", func(t *testing.T) {
		s := newSlotFixture(t, 3)
		for number := range 3 {
			s.sendRequest(client(number, normal))
		}

		s.now = s.now.Add(time.Second)
		s.started()
		s.is.True(s.failing())
	})

	t.Run("no acceptance", func(t *testing.T) {
		s := newSlotFixture(t, 3)
		for number := range 3 {
			s.fromClient(client(number, normal), openHeader)
		}

		s.now = s.now.Add(100 * time.Millisecond)
		s.started()
		s.is.True(s.failing())
	})
}

// TestNotFailing guards against a backend server that gets no new flows because
// of the few failures of normal operation.
func TestNotFailing(t *testing.T) {
	s := newSlotFixture(t, 3)

	for round := range 20 {
		s.answerRequests(19)
		s.failRequests(1+round, 1)
		s.is.True(!s.failing())
	}

	// A reset of an idle flow is no failure: no client waits for an answer.
	for number := range 10 {
		key := client(100+number, normal)
		s.sendRequest(key)
		s.answer(key)
		s.fromBackend(key, flow.Header{Reset: true})
	}

	s.is.True(!s.failing())
}

// TestRest guards against a backend server that never gets flows again after a
// failure, and against one that is retried every two seconds while it keeps failing.
func TestRest(t *testing.T) {
	s := newSlotFixture(t, 3)
	s.failRequests(1, 3)
	s.now = s.now.Add(2 * time.Second)
	s.is.True(!s.failing())

	s.failRequests(4, 2)
	s.is.True(s.failing())
	s.now = s.now.Add(2 * time.Second)
	s.is.True(s.failing()) // the backoff has doubled
	s.now = s.now.Add(2 * time.Second)
	s.is.True(!s.failing())

	s.answerRequests(20)
	s.failRequests(6, 3)
	s.now = s.now.Add(2 * time.Second)
	s.is.True(!s.failing())

	t.Run("another start", func(t *testing.T) {
		s := newSlotFixture(t, 3)
		s.failRequests(1, 3)

		_, err := s.gate.Report(s.now, report(start.Add(time.Second), 1))
		s.is.NoErr(err)
		s.is.True(!s.failing())
	})
}
