package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// stage is a deployment that serves clients.
type stage struct {
	core, front, side []*machine
	servers           []*server
	router            *router
	host              *host
	operator          *operator
}

// newStage starts a deployment and waits until it serves.
func newStage(l *lab, fronts int, services ...string) *stage {
	s := &stage{}
	s.core, s.front, s.side = l.foundation(5, fronts, services...)

	for _, m := range s.side {
		s.servers = append(s.servers, newServer(m, 0))
	}

	s.operator = newOperator(l, s.core)
	if !s.operator.put(10, 20*time.Second) {
		panic(unplayable{"the first manifest was not accepted"})
	}

	s.router = newRouter(context.Background(), l, s.front)
	s.host = newHost(l, s.router)

	for _, server := range s.servers {
		if !server.awaitPings(2, 10*time.Second) {
			panic(unplayable{"a server has no acknowledged ping"})
		}
	}

	if !s.router.awaitReady(10 * time.Second) {
		panic(unplayable{"the fronts are not ready"})
	}

	return s
}

// holderOf returns the server at which a flow is open, or nil.
func (s *stage) holderOf(key flowKey) *server {
	for _, server := range s.servers {
		if server.holds(key) {
			return server
		}
	}

	return nil
}

// played is a flow that was opened and answered one request.
type played struct {
	flow   *clientFlow
	holder *server
	end    string    // of its second request
	sentAt time.Time // of its second request
}

// openFlows opens flows within a time, sends a request on each, and returns those that
// were answered.
func (s *stage) openFlows(l *lab, service string, count int, within time.Duration) []*played {
	var (
		tasks sync.WaitGroup
		mutex sync.Mutex
		found []*played
	)

	for number := range count {
		time.Sleep(within / time.Duration(count))

		f := s.host.newFlow(service)

		tasks.Go(func() {
			if !f.open() {
				l.note("client: %s did not open", f.key)

				return
			}

			end, _ := f.request(fmt.Sprintf("first-%d", number), 2*time.Second)
			if end != "200" {
				l.note("client: the first request on %s: %s", f.key, end)

				return
			}

			mutex.Lock()
			defer mutex.Unlock()

			found = append(found, &played{flow: f})
		})
	}

	tasks.Wait()

	open := found[:0]

	for _, p := range found {
		if p.holder = s.holderOf(p.flow.key); p.holder != nil {
			l.note("client: %s is open at %s (%s)", p.flow.key, p.holder.id, p.holder.machine.name)
			open = append(open, p)
		}
	}

	return open
}

// useAgain sends a second request on each flow, spread over a time.
func (s *stage) useAgain(l *lab, flows []*played, within time.Duration) {
	var tasks sync.WaitGroup

	for number, p := range flows {
		time.Sleep(within / time.Duration(len(flows)))
		tasks.Go(func() {
			var through *machine

			p.sentAt = time.Now()
			p.end, through = p.flow.request(fmt.Sprintf("second-%d", number), 5*time.Second)
			l.note("client: the second request on %s, sent through %s: %s after %v", p.flow.key, through.name, p.end,
				time.Since(p.sentAt).Round(time.Millisecond))
		})
	}

	tasks.Wait()
}
