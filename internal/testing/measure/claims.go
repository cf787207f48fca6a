package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
)

// RunMethod selects how agents and callers treat non-idempotent requests.
type RunMethod int

// The methods of running non-idempotent requests.
const (
	RunByClaims RunMethod = iota // in use: claims on three holders, callers resend
	RunOnce                      // agents run what they get, callers never resend
	RunAgain                     // agents run what they get, callers resend
	RunByMemory                  // each agent remembers the keys it ran, callers resend
)

// ClaimsConfig describes callers that send non-idempotent requests while
// messages are lost, one agent is cut off from its siblings and two agents are
// lost without notice and replaced, one after the other. Some callers send
// again so early that two agents claim the same key at the same time.
type ClaimsConfig struct {
	Seed   uint64
	Agents int
	Zones  int
	Rate   float64       // requests per second
	Mean   time.Duration // service time
	Method RunMethod
}

// ClaimsResult counts requests by what happened to them at the end.
type ClaimsResult struct {
	Requests int
	Answered int
	NotRun   int // the caller was told that the request has not run
	Unknown  int // the caller was told that the request may have run
	Silent   int // the caller has no answer
	Twice    int // ran more than once
	Lost     int // never ran, and the caller was told neither "not run" nor unknown
	Wrong    int // the caller was told "not run", but it ran
}

const (
	claimsStep     = 10 * time.Millisecond
	claimsDuration = 70 * time.Second // arrivals end 10 s earlier
	claimsLoss     = 0.02             // of messages and of responses to callers
	claimsTimeout  = 2 * time.Second  // of a caller before it sends again
	claimsAttempts = 6

	// One caller of ten sends again before a first answer can be known, so that
	// two agents claim the same key at the same time.
	claimsImpatient = 50 * time.Millisecond
	impatientOneOf  = 10

	claimsLease  = 3 * time.Second
	claimsLag    = 500 * time.Millisecond // highest, of views
	claimsCutOff = 2 * time.Second
	claimsWindow = 10 * time.Minute
)

// claimsNode is an agent.
type claimsNode struct {
	incarnation view.Incarnation
	store       *claim.Store
	history     *claim.History
	claimants   []*claimsAttempt
	remembered  map[claim.Key]bool // with true when the run has ended
	sequence    uint64
	dead        bool
	cutOff      bool
}

// claimsCaller is a request and what its caller knows.
type claimsCaller struct {
	key       claim.Key
	impatient bool
	attempts  int
	runs      int
	ended     bool
	last      claim.Verdict // Pending without an answer
}

// claimsAttempt is one transmission of a request at an agent.
type claimsAttempt struct {
	*claim.Claimant
	caller *claimsCaller
	number int
	judged bool
}

// claimsRun is the state of a run.
type claimsRun struct {
	*simulation
	config   ClaimsConfig
	random   *rand.Rand
	nodes    []*claimsNode
	agents   []view.Agent
	position view.Position
	callers  []*claimsCaller
}

// Claims runs the scenario.
func Claims(config ClaimsConfig) ClaimsResult {
	r := &claimsRun{
		simulation: newSimulation(claimsDuration), config: config, random: rand.New(rand.NewPCG(config.Seed, 6)),
	}

	for range config.Agents {
		r.join()
	}

	for _, n := range r.nodes {
		n.history.Observe(epoch, r.position, slices.Clone(r.agents))
		n.history.AssumeFirst(epoch)
	}

	r.arrivals(r.random, epoch, config.Rate, r.arrive)
	r.at(epoch, r.work)
	r.at(epoch.Add(15*time.Second), r.lose)
	r.at(epoch.Add(30*time.Second), r.cut)
	r.at(epoch.Add(45*time.Second), r.lose)
	r.run()

	return r.count()
}

func (r *claimsRun) arrive(now time.Time) {
	if now.After(r.end.Add(-10 * time.Second)) {
		return
	}

	caller := &claimsCaller{
		key:       claim.Key{Service: 1, Token: fmt.Sprintf("key-%d", len(r.callers))},
		impatient: r.random.IntN(impatientOneOf) == 0,
	}
	r.callers = append(r.callers, caller)
	r.send(now, caller)
}

func (r *claimsRun) duration(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

func (r *claimsRun) lost() bool { return r.random.Float64() < claimsLoss }

// join adds an agent to the view.
func (r *claimsRun) join() *claimsNode {
	incarnation := view.Incarnation(len(r.nodes) + 1)
	n := &claimsNode{
		incarnation: incarnation, store: claim.NewStore(incarnation, claimsWindow, 1<<14),
		history:    claim.NewHistory(r.now, claimsWindow, claimsWindow),
		remembered: make(map[claim.Key]bool),
	}
	r.nodes = append(r.nodes, n)
	r.agents = append(r.agents, view.Agent{
		Incarnation: incarnation, Zone: fmt.Sprintf("zone-%d", int(incarnation)%r.config.Zones), State: view.Active,
	})
	r.publish()

	return n
}

// publish sends the view to all agents, each with its own delay.
func (r *claimsRun) publish() {
	r.position.Index++
	position, agents := r.position, slices.Clone(r.agents)

	for _, n := range r.nodes {
		r.at(r.now.Add(r.duration(claimsLag)), func(now time.Time) {
			if !n.dead {
				n.history.Observe(now, position, agents)
			}
		})
	}
}

// lose ends an agent without notice. When its lease has run out, it leaves the
// view and another agent joins, which learns the memberships from a sibling.
func (r *claimsRun) lose(now time.Time) {
	victim := r.pick()
	victim.dead = true

	r.at(now.Add(claimsLease), func(now time.Time) {
		r.agents = slices.DeleteFunc(r.agents, func(a view.Agent) bool { return a.Incarnation == victim.incarnation })
		r.publish()

		joined := r.join()

		r.at(now.Add(2*claimsLag), func(now time.Time) {
			for _, n := range r.nodes {
				if n != joined && !n.dead {
					joined.history.Merge(now, n.history.Past(now))

					return
				}
			}
		})
	})
}

// cut separates an agent from its siblings for a while; callers still reach it.
func (r *claimsRun) cut(now time.Time) {
	n := r.pick()
	n.cutOff = true
	r.at(now.Add(claimsCutOff), func(time.Time) { n.cutOff = false })
}

// pick returns a random agent that lives.
func (r *claimsRun) pick() *claimsNode {
	for {
		if n := r.nodes[r.random.IntN(len(r.nodes))]; !n.dead {
			return n
		}
	}
}

// send lets a caller send its request to an agent of the view, which may be
// dead. Without an answer in time it sends again.
func (r *claimsRun) send(now time.Time, caller *claimsCaller) {
	caller.attempts++
	caller.last = claim.Pending
	number := caller.attempts
	n := r.nodes[r.agents[r.random.IntN(len(r.agents))].Incarnation-1]

	if !n.dead && !r.lost() {
		r.receive(now, n, &claimsAttempt{caller: caller, number: number})
	}

	timeout := claimsTimeout
	if caller.impatient && number == 1 {
		timeout = r.duration(claimsImpatient)
	}

	r.at(now.Add(timeout), func(now time.Time) {
		if caller.attempts == number {
			r.again(now, caller)
		}
	})
}

func (r *claimsRun) again(now time.Time, caller *claimsCaller) {
	if !caller.ended && caller.attempts < claimsAttempts && r.config.Method != RunOnce {
		r.send(now, caller)
	}
}

// receive lets an agent treat a request.
func (r *claimsRun) receive(now time.Time, n *claimsNode, a *claimsAttempt) {
	if r.config.Method == RunByClaims {
		n.sequence++
		execution := claim.Execution{Agent: n.incarnation, Sequence: n.sequence}
		a.Claimant = claim.Begin(now, a.caller.key, execution, n.history)
		n.claimants = append(n.claimants, a)

		return
	}

	if ended, known := n.remembered[a.caller.key]; r.config.Method == RunByMemory && known {
		if ended {
			r.answer(now, n, a, claim.Replay)
		} else {
			r.answer(now, n, a, claim.InProgress)
		}

		return
	}

	n.remembered[a.caller.key] = false
	r.execute(now, n, a)
}

// execute hands a request over. The backend server is lost with its agent.
func (r *claimsRun) execute(now time.Time, n *claimsNode, a *claimsAttempt) {
	a.caller.runs++

	r.at(now.Add(serviceTime(r.random, r.config.Mean, 0.5)), func(now time.Time) {
		if n.dead {
			return
		}

		n.remembered[a.caller.key] = true

		if a.Claimant != nil {
			a.Complete(now, claim.NewAnswer([]byte("done")))
		}

		r.answer(now, n, a, claim.Run)
	})
}

// answer tells the caller the outcome of an attempt, unless it is lost or the
// caller has sent again since.
func (r *claimsRun) answer(now time.Time, n *claimsNode, a *claimsAttempt, verdict claim.Verdict) {
	if n.dead || r.lost() || a.caller.ended || a.caller.attempts != a.number {
		return
	}

	a.caller.last = verdict

	switch verdict {
	case claim.Run, claim.Replay, claim.Unknown:
		a.caller.ended = true
	case claim.NotRun, claim.InProgress:
		r.at(now.Add(claimsTimeout/4), func(now time.Time) {
			if a.caller.attempts == a.number {
				r.again(now, a.caller)
			}
		})
	case claim.Pending:
	}
}
