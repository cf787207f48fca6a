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

// fleet runs the claims of several agents in one process over a lossy network.
type fleet struct {
	mutex       sync.Mutex
	random      *rand.Rand
	loss        float64
	nodes       map[view.Incarnation]*node
	runs        map[string]int // by key
	position    uint64
	runDuration time.Duration // of a request at the backend server
	group       conc.WaitGroup
}

// node is one agent. A dead node neither sends nor receives messages.
type node struct {
	*claims
	fleet     *fleet
	number    view.Incarnation
	placer    *placer
	dead      bool
	confirmed bool
	// suspendedFor is how long the machine of the agent has been suspended.
	suspendedFor time.Duration
	stop         context.CancelFunc
}

// newFleet starts agents that are ready to claim. It must run in a
// synctest bubble.
func newFleet(t *testing.T, seed uint64, count int) *fleet {
	t.Helper()

	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[view.Incarnation]*node), runs: make(map[string]int),
		runDuration: 20 * time.Millisecond,
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
		self:          func() view.Incarnation { return number },
		serviceID:     func() view.ServiceID { return 1 },
		viewConfirmed: func(time.Time) bool { f.mutex.Lock(); defer f.mutex.Unlock(); return n.confirmed },
		siblingClient: func(agent view.Agent) rpcClient { return lossyPath{from: n, to: agent.Incarnation} },
		suspended:     func() time.Duration { f.mutex.Lock(); defer f.mutex.Unlock(); return n.suspendedFor },
		logger:        slog.New(slog.DiscardHandler),
	})
	n.placer, _ = newScripted(1)
	n.placer.local = n
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	f.withLock(func() { f.nodes[number] = n })
	f.group.Go(func() { n.claims.run(ctx) })
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}

	f.group.Wait()
}

func zoneOf(number view.Incarnation) string { return strconv.Itoa(int(number) % 3) }

// publish sends the nodes a view in which the agents of without are suspended.
// An empty list of recipients means all nodes.
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

// run acts as the backend server of a node.
func (n *node) run(_ context.Context, c *call) *result {
	n.fleet.mutex.Lock()
	n.fleet.runs[c.key]++
	n.fleet.mutex.Unlock()
	time.Sleep(n.fleet.runDuration)

	return answered("answer " + c.key)
}

// send sends a request through a node.
func (f *fleet) send(n view.Incarnation, key string) *result {
	c := newTestCall(report, "POST")
	c.key = key

	return f.nodes[n].runOnce(context.Background(), c, f.nodes[n].placer)
}

func (f *fleet) withLock(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// lossyPath is a lossy network path between two nodes.
type lossyPath struct {
	from *node
	to   view.Incarnation
}

// dropsMessage reports whether the next message is lost.
func (p lossyPath) dropsMessage() bool {
	f := p.from.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return p.from.dead || f.nodes[p.to].dead || f.random.Float64() < f.loss
}

func (p lossyPath) Call(ctx context.Context, _ string, request, reply any) error {
	lost := func() error {
		<-ctx.Done()

		return link.Errorf(link.KindDeadline, "lost")
	}
	if p.dropsMessage() {
		return lost()
	}

	time.Sleep(time.Millisecond)

	var (
		target *node
		err    error
	)

	p.from.fleet.withLock(func() { target = p.from.fleet.nodes[p.to] })

	switch message := request.(type) {
	case *claim.Request:
		var answer *claim.Reply
		if answer, err = target.answerClaim(ctx, *message); err == nil {
			*reply.(*claim.Reply) = *answer
		}
	case *transferPart:
		_, err = target.answerTransfer(ctx, *message)
	case *movedSeat:
		target.recordMove(ctx, *message)
	case *claim.Seal:
		if sealed, ok := reply.(*sealReply); ok {
			*sealed = target.answerSeal(ctx, *message)
		} else {
			*reply.(*carryReply), err = target.answerCarry(ctx, *message)
		}
	case *carriedClaims:
		_, err = target.answerAdopt(ctx, *message)
	case *claim.Closing:
		target.answerClosed(ctx, *message)
	default:
		*reply.(*historyReply) = *target.answerHistory(ctx, *request.(*historyRequest))
	}

	if p.dropsMessage() {
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

// Guards against a non-idempotent request that runs twice, or that runs although
// it was refused, when replies between agents are lost and callers resend the
// request to other agents.
func TestClaimsLostReplies(t *testing.T) {
	soak.Run(t, 5, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 5)
			defer f.close()

			f.withLock(func() { f.loss = 0.2 })

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
	// Guards against a second run when the agent is killed between the claim and the answer.
	t.Run("killed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 5)
			defer f.close()

			f.withLock(func() { f.runDuration = 10 * time.Second })

			var group conc.WaitGroup

			group.Go(func() { f.send(1, "k") })
			time.Sleep(time.Second)
			f.withLock(func() { f.nodes[1].dead = true })
			is.Equal(f.send(2, "k").status, 409)
			f.publish(t, []view.Incarnation{2, 3, 4, 5}, 1)
			assertState(t, f.send(3, "k"), peer.Unknown)
			is.Equal(f.runs["k"], 1)
			group.Wait()
		})
	})

	// Guards against the loss of claims when an agent drains.
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

	// Guards against a starting agent that crashes when it receives a claim transfer.
	t.Run("transfer to a starting agent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			defer f.close()

			f.start(0) // its incarnation is not known yet
			_, err := f.nodes[0].answerTransfer(t.Context(), transferPart{Seat: 2, Bytes: []byte{0xa0}, Last: true})
			is.New(t).Equal(link.KindOf(err), link.KindInvalid)
		})
	})

	// Guards against a second run through an agent that was suspended and
	// disconnected for longer than the claims of its last membership are kept.
	t.Run("resumed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 2)
			defer f.close()

			others := []view.Incarnation{2, 3, 4, 5, 6, 7}
			for _, number := range others[1:] {
				f.start(number)
			}

			f.withLock(func() { f.nodes[1].dead, f.nodes[1].confirmed = true, false })
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
			f.withLock(func() { f.nodes[1].dead, f.nodes[1].confirmed = false, true })
			assertAnswer(t, f.send(1, "0"), "0") // waits for a complete history and does not run again
			is.Equal(f.runs["0"], 1)
			time.Sleep(3 * time.Second)

			for i := range 20 {
				assertAnswer(t, f.send(1, fmt.Sprint(i)), fmt.Sprint(i))
				is.Equal(f.runs[fmt.Sprint(i)], 1)
			}

			assertAnswer(t, f.send(1, "new"), "new") // claims work again
		})
	})

	// Guards against a claim that is never ended when its caller cancels at once.
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
// agents were deployed one after the other: the first one was the only member for a
// moment, so claims had to ask it for as long as claims are kept.
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

		f.withLock(func() { f.nodes[1].dead = true })
		f.publish(t, []view.Incarnation{2, 3, 4}, 1)

		for key := range 20 {
			is.Equal(f.send(2, strconv.Itoa(key)).state, peer.Answered)
		}
	})
}

// TestTwoLossesInTurn guards against keys that end as unknown because both of the
// lost agents were the only ones of their availability zones, and against a second
// run of what ran before the first loss, between the losses, or at their time.
func TestTwoLossesInTurn(t *testing.T) {
	const keys = 60

	soak.Run(t, 3, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, seed, 4) // agents 1 and 4 share a zone
			defer f.close()

			send := func(n view.Incarnation, phase string) {
				for i := range keys {
					assertAnswer(t, f.send(n, fmt.Sprint(phase, i)), fmt.Sprint(phase, i))
				}
			}

			send(1, "before ")
			f.withLock(func() { f.nodes[2].dead, f.nodes[2].confirmed = true, false })
			f.publish(t, []view.Incarnation{1, 3, 4}, 2)
			send(3, "during ")
			time.Sleep(5 * time.Second)
			send(3, "between ")

			f.withLock(func() { f.nodes[3].dead, f.nodes[3].confirmed = true, false })
			f.publish(t, []view.Incarnation{1, 4}, 2, 3)
			send(4, "after ")

			for _, phase := range []string{"before ", "during ", "between ", "after "} {
				send(1, phase) // answers of the first runs
			}

			f.withLock(func() { f.nodes[2].dead, f.nodes[2].confirmed = false, true })
			f.publish(t, nil, 3)
			time.Sleep(time.Second)

			for i := range keys {
				f.send(2, fmt.Sprint("between ", i)) // it has not seen the membership of that time
				f.send(2, fmt.Sprint("after ", i))
			}

			for key, runs := range f.runs {
				if runs != 1 {
					t.Errorf("%s ran %d times", key, runs)
				}
			}

			is.Equal(len(f.runs), 4*keys)
		})
	})
}

// TestSuspendedClaim guards against a request that runs under a claim from before the
// machine was suspended: the holders have dropped it, and another agent may have run the
// request, but the clock of the agent stood still.
func TestSuspendedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 3)
		defer f.close()

		n := f.nodes[1]
		active, decision := n.begin(t.Context(), "key")
		is.Equal(decision.Verdict, claim.Run)

		f.withLock(func() { n.suspendedFor = claim.HandOverLimit + time.Second })

		c := newTestCall(report, "POST")
		c.key = "key"
		is.Equal(n.execute(t.Context(), active, c, n.placer).state, peer.NotRun)
		is.Equal(f.runs["key"], 0)
	})
}

// TestSingleAgentService guards against a service of one agent that never accepts
// non-idempotent requests because it waits for more agents.
func TestSingleAgentService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.close()

		is.New(t).Equal(f.send(1, "key").state, peer.Answered)
	})
}
