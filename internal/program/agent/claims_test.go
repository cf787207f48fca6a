package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
	"jayspindle/internal/transport/link"
)

// fleet is the claims of several agents in one process with a lossy network.
type fleet struct {
	mutex    sync.Mutex
	random   *rand.Rand
	loss     float64
	nodes    map[view.Incarnation]*node
	runs     map[string]int // by key
	position uint64
	working  time.Duration // of a run
	group    conc.WaitGroup
}

// node is one agent. A dead one neither sends nor answers.
type node struct {
	*claims
	fleet     *fleet
	number    view.Incarnation
	placer    *placer
	dead      bool
	confirmed bool
	stop      context.CancelFunc
}

// newFleet starts agents that are ready to claim. It must run in a bubble.
func newFleet(t *testing.T, seed uint64, count int) *fleet {
	t.Helper()

	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[view.Incarnation]*node), runs: make(map[string]int),
		working: 20 * time.Millisecond,
	}
	for i := range count {
		f.start(view.Incarnation(i + 1))
	}

	f.publish(t, nil)
	time.Sleep(3 * time.Second)

	return f
}

func (f *fleet) start(number view.Incarnation) {
	n := &node{fleet: f, number: number, confirmed: true}
	n.claims = newClaims(claimOptions{
		service: "s", zone: zoneOf(number), capacity: 1000, retention: time.Minute, maxUnconfirmed: 30 * time.Second,
		self:      func() view.Incarnation { return number },
		serviceID: func() view.ServiceID { return 1 },
		confirmed: func(time.Time) bool { f.mutex.Lock(); defer f.mutex.Unlock(); return n.confirmed },
		sibling:   func(agent view.Agent) caller { return path{from: n, to: agent.Incarnation} },
		logger:    slog.New(slog.DiscardHandler),
	})
	n.placer, _ = newScripted(1)
	n.placer.local = n
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	f.set(func() { f.nodes[number] = n })
	f.group.Go(func() { n.claims.run(ctx) })
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}

	f.group.Wait()
}

func zoneOf(number view.Incarnation) string { return strconv.Itoa(int(number) % 3) }

// publish gives the nodes a view of all agents but those left out.
func (f *fleet) publish(t *testing.T, to []view.Incarnation, without ...view.Incarnation) {
	t.Helper()

	f.position++

	var agents []view.Agent

	for number := range f.nodes {
		agent := view.Agent{Incarnation: number, Service: 1, Zone: zoneOf(number), Weight: view.MaxWeight, State: view.Active}
		for _, other := range without {
			if other == number {
				agent.State = view.Suspended
			}
		}

		agents = append(agents, agent)
	}

	if to == nil {
		for number := range f.nodes {
			to = append(to, number)
		}
	}

	for _, number := range to {
		f.nodes[number].update(view.Position{Generation: 1, Index: f.position}, agents)
	}

	synctest.Wait()
}

// run is the backend server of a node.
func (n *node) run(_ context.Context, c *call) *result {
	n.fleet.mutex.Lock()
	n.fleet.runs[c.key]++
	n.fleet.mutex.Unlock()
	time.Sleep(n.fleet.working)

	return answered("answer " + c.key)
}

// send sends a request through a node.
func (f *fleet) send(n view.Incarnation, key string) *result {
	c := newTestCall(report, "POST")
	c.key = key

	return f.nodes[n].runOnce(context.Background(), c, f.nodes[n].placer)
}

func (f *fleet) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// path is the network between two nodes.
type path struct {
	from *node
	to   view.Incarnation
}

// cut reports whether a message is lost now.
func (p path) cut() bool {
	f := p.from.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return p.from.dead || f.nodes[p.to].dead || f.random.Float64() < f.loss
}

func (p path) Call(ctx context.Context, _ string, request, reply any) error {
	lost := func() error {
		<-ctx.Done()

		return link.Errorf(link.KindDeadline, "lost")
	}
	if p.cut() {
		return lost()
	}

	time.Sleep(time.Millisecond)

	var (
		target *node
		err    error
	)

	p.from.fleet.set(func() { target = p.from.fleet.nodes[p.to] })

	switch message := request.(type) {
	case *claim.Request:
		var answer *claim.Reply
		if answer, err = target.answerClaim(ctx, *message); err == nil {
			*reply.(*claim.Reply) = *answer
		}
	case *transferPart:
		_, err = target.answerTransfer(ctx, *message)
	case *movedSeat:
		target.answerMoved(ctx, *message)
	default:
		*reply.(*pastReply) = *target.answerPast(ctx, *request.(*pastRequest))
	}

	if p.cut() {
		return lost()
	}

	return err
}

func assertAnswer(t *testing.T, outcome *result, key string) {
	t.Helper()

	is := is.New(t)
	is.Equal(outcome.state.String(), peer.Answered.String())
	body, err := io.ReadAll(outcome.body)
	is.NoErr(err)
	is.Equal(string(body), "answer "+key)
}

// Guards against a non-idempotent request that runs twice, or that runs after
// a refusal, when replies between agents are lost and callers resend elsewhere.
func TestClaimsLostReplies(t *testing.T) {
	soak.Run(t, 5, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 5)
			defer f.close()

			f.set(func() { f.loss = 0.2 })

			var group conc.WaitGroup

			for i := range 30 {
				group.Go(func() {
					is := is.New(t)
					key := fmt.Sprint("key", i)

					for try := range 4 {
						outcome := f.send(view.Incarnation((i+try)%5+1), key)
						f.mutex.Lock()
						runs := f.runs[key]
						f.mutex.Unlock()
						is.True(runs <= 1)                                   // at most once
						is.True(outcome.state != peer.NotRun || runs == 0)   // a refused request did not run
						is.True(outcome.state != peer.Answered || runs == 1) // an answer comes from the run
					}
				})
			}

			group.Wait()
		})
	})
}

func TestClaims(t *testing.T) {
	// Guards against a second run when the agent is killed between claim and answer.
	t.Run("killed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 5)
			defer f.close()

			f.set(func() { f.working = 10 * time.Second })

			var group conc.WaitGroup

			group.Go(func() { f.send(1, "k") })
			time.Sleep(time.Second)
			f.set(func() { f.nodes[1].dead = true })
			is.Equal(f.send(2, "k").status, 409)
			f.publish(t, []view.Incarnation{2, 3, 4, 5}, 1)
			assertState(t, f.send(3, "k"), peer.Unknown)
			is.Equal(f.runs["k"], 1)
			group.Wait()
		})
	})

	// Guards against claims that are lost with an agent that drains.
	t.Run("drain", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 3)
			defer f.close()

			for i := range 20 {
				assertAnswer(t, f.send(1, fmt.Sprint(i)), fmt.Sprint(i))
			}

			f.nodes[1].handOff(t.Context())
			f.publish(t, nil, 1)
			f.nodes[2].handOff(t.Context())

			for i := range 20 {
				assertAnswer(t, f.send(3, fmt.Sprint(i)), fmt.Sprint(i))
				is.Equal(f.runs[fmt.Sprint(i)], 1)
			}
		})
	})

	// Guards against a starting agent that crashes when claims are handed to it.
	t.Run("transfer to a starting agent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			defer f.close()

			f.start(0) // its incarnation is not known yet
			_, err := f.nodes[0].answerTransfer(t.Context(), transferPart{Seat: 2, Bytes: []byte{0xa0}, Last: true})
			is.New(t).Equal(link.KindOf(err), link.KindInvalid)
		})
	})

	// Guards against a second run through an agent that was suspended and cut off
	// for longer than claims of its last membership are kept.
	t.Run("resumed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 2)
			defer f.close()

			others := []view.Incarnation{2, 3, 4, 5, 6, 7}
			for _, number := range others[1:] {
				f.start(number)
			}

			f.set(func() { f.nodes[1].dead, f.nodes[1].confirmed = true, false })
			f.publish(t, others, 1)
			time.Sleep(2 * time.Minute)

			for i := range 20 {
				assertAnswer(t, f.send(2, fmt.Sprint(i)), fmt.Sprint(i))
			}

			for number := range view.Incarnation(3) {
				f.start(8 + number)
			}

			f.publish(t, append(others, 8, 9, 10), 2, 3, 4, 5, 6, 7)
			f.publish(t, nil, 2, 3, 4, 5, 6, 7)
			f.set(func() { f.nodes[1].dead, f.nodes[1].confirmed = false, true })
			assertAnswer(t, f.send(1, "0"), "0") // waits until it knows the past, and does not run again
			is.Equal(f.runs["0"], 1)
			time.Sleep(3 * time.Second)

			for i := range 20 {
				assertAnswer(t, f.send(1, fmt.Sprint(i)), fmt.Sprint(i))
				is.Equal(f.runs[fmt.Sprint(i)], 1)
			}

			assertAnswer(t, f.send(1, "new"), "new") // claims work again
		})
	})

	// Guards against a claim that nobody ends when its caller leaves at once.
	t.Run("cancelled", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 3)
			defer f.close()

			for i := range 50 {
				ctx, cancel := context.WithCancel(t.Context())
				c := newTestCall(report, "POST")
				c.key = fmt.Sprint(i)
				go cancel()
				f.nodes[1].runOnce(ctx, c, f.nodes[1].placer)
			}

			time.Sleep(10 * time.Second)
			f.nodes[1].do(t.Context(), func(time.Time) { is.New(t).Equal(len(f.nodes[1].active), 0) })
		})
	})
}

// TestFirstAgentLost guards against the loss of every key of a service whose
// agents were deployed one after the other: the first one was alone for a moment,
// and claims had to ask it as long as claims are kept.
func TestFirstAgentLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		defer f.close()

		for number := range view.Incarnation(4) {
			f.start(number + 1)
			f.publish(t, nil)
			time.Sleep(300 * time.Millisecond)
		}

		time.Sleep(3 * time.Second)

		is := is.New(t)
		is.Equal(f.send(2, "before").state, peer.Answered)

		f.set(func() { f.nodes[1].dead = true })
		f.publish(t, []view.Incarnation{2, 3, 4}, 1)

		for key := range 20 {
			is.Equal(f.send(2, strconv.Itoa(key)).state, peer.Answered)
		}
	})
}

// TestLoneAgent guards against a service of one agent that never takes work which
// must not be repeated, because it waits for others.
func TestLoneAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.close()

		is.New(t).Equal(f.send(1, "key").state, peer.Answered)
	})
}
