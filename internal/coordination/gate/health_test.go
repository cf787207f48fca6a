package gate_test

import (
	"testing"
	"time"

	"jayspindle/internal/state/flow"
)

// fail lets the backend server reset a number of requests, each on a flow of its
// own.
func (s *shop) fail(from, count int) {
	for number := range count {
		key := client(from+number, normal)
		s.ask(key)
		s.fromBackend(key, flow.Header{Reset: true})
	}
}

// succeed lets the backend server answer a number of requests on one flow.
func (s *shop) succeed(count int) {
	for range count {
		key := client(0, normal)
		s.ask(key)
		s.answer(key)
	}
}

func (s *shop) failing() bool { return s.gate.Load(s.now).Failing }

// TestFailing guards against a backend server that fails requests behind a good
// health check: it is fast, has few flows, and gets all new ones.
func TestFailing(t *testing.T) {
	t.Run("resets", func(t *testing.T) {
		s := newShop(t, 3)
		s.succeed(50)
		s.fail(1, 2)
		s.is.True(!s.failing())
		s.fail(3, 1)
		s.is.True(s.failing())
	})

	t.Run("a part of the requests", func(t *testing.T) {
		s := newShop(t, 3)
		for round := range 10 {
			s.fail(1+2*round, 2)
			s.succeed(3)
		}

		s.is.True(s.failing())
	})

	t.Run("no answers", func(t *testing.T) {
		s := newShop(t, 3)
		for number := range 3 {
			s.ask(client(number, normal))
		}

		s.now = s.now.Add(time.Second)
		s.started()
		s.is.True(s.failing())
	})

	t.Run("no acceptance", func(t *testing.T) {
		s := newShop(t, 3)
		for number := range 3 {
			s.fromClient(client(number, normal), opens)
		}

		s.now = s.now.Add(100 * time.Millisecond)
		s.started()
		s.is.True(s.failing())
	})
}

// TestNotFailing guards against a backend server that is passed over for the few
// failures that are part of ordinary work.
func TestNotFailing(t *testing.T) {
	s := newShop(t, 3)

	for round := range 20 {
		s.succeed(19)
		s.fail(1+round, 1)
		s.is.True(!s.failing())
	}

	// A reset that nobody waits for is no failure: the flow was idle.
	for number := range 10 {
		key := client(100+number, normal)
		s.ask(key)
		s.answer(key)
		s.fromBackend(key, flow.Header{Reset: true})
	}

	s.is.True(!s.failing())
}

// TestRest guards against a backend server that gets no flows for good after a
// failure, and against one that is tried every other second while it fails.
func TestRest(t *testing.T) {
	s := newShop(t, 3)
	s.fail(1, 3)
	s.now = s.now.Add(2 * time.Second)
	s.is.True(!s.failing())

	s.fail(4, 2)
	s.is.True(s.failing())
	s.now = s.now.Add(2 * time.Second)
	s.is.True(s.failing()) // it rests for longer
	s.now = s.now.Add(2 * time.Second)
	s.is.True(!s.failing())

	s.succeed(20)
	s.fail(6, 3)
	s.now = s.now.Add(2 * time.Second)
	s.is.True(!s.failing())

	t.Run("another start", func(t *testing.T) {
		s := newShop(t, 3)
		s.fail(1, 3)

		_, err := s.gate.Report(s.now, report(start.Add(time.Second), 1))
		s.is.NoErr(err)
		s.is.True(!s.failing())
	})
}
