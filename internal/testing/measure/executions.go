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

// ExecutionsConfig describes callers that send non-idempotent requests while
// messages are lost, one agent is cut off from its siblings and two agents are
// lost without notice and replaced, one after the other. Some callers send
// again so early that two agents claim the same key at the same time.
type ExecutionsConfig struct {
	Seed   uint64
	Agents int
	Zones  int
	Rate   float64       // requests per second
	Mean   time.Duration // service time
	Method RunMethod
}

// ExecutionsResult counts requests by what happened to them at the end.
type ExecutionsResult struct {
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
	executionDuration = 70 * time.Second
	executionSettle   = 10 * time.Second // at the end, without arrivals
	executionLoss     = 0.02             // of messages and of responses to callers
	executionTimeout  = 2 * time.Second  // of a caller before it sends again
	executionAttempts = 6

	// One caller of ten sends again before a first answer can be known, so that
	// two agents claim the same key at the same time.
	executionImpatient = 50 * time.Millisecond
	impatientOneOf     = 10

	// Two agents are lost, and one is cut off in between. The distance is well
	// above leaseTTL, so that each loss is repaired before the next fault.
	executionFirstLoss  = 15 * time.Second
	executionCut        = 30 * time.Second
	executionSecondLoss = 45 * time.Second

	executionCutOff = 2 * time.Second
	executionWindow = 10 * time.Minute
)

// executionNode is an agent.
type executionNode struct {
	incarnation view.Incarnation
	store       *claim.Store
	history     *claim.History
	claimants   []*executionAttempt
	remembered  map[claim.Key]bool // with true when the run has ended
	sequence    uint64
	dead        bool
	cutOff      bool
}

// executionCaller is a request and what its caller knows.
type executionCaller struct {
	key       claim.Key
	impatient bool
	attempts  int
	runs      int
	ended     bool
	last      claim.Verdict // Pending without an answer
}

// executionAttempt is one transmission of a request at an agent.
type executionAttempt struct {
	*claim.Claimant
	caller *executionCaller
	number int
	judged bool
}

// executionRun is the state of a run.
type executionRun struct {
	*simulation
	config   ExecutionsConfig
	random   *rand.Rand
	nodes    []*executionNode
	agents   []view.Agent
	position view.Position
	callers  []*executionCaller
}

// Executions runs the scenario.
func Executions(config ExecutionsConfig) ExecutionsResult {
	r := &executionRun{
		simulation: newSimulation(executionDuration), config: config, random: rand.New(rand.NewPCG(config.Seed, 6)),
	}

	for range config.Agents {
		r.join()
	}

	for _, n := range r.nodes {
		n.history.Observe(epoch, r.position, slices.Clone(r.agents))
		n.history.AssumeNoEarlierClaims(epoch)
	}

	r.arrivals(r.random, epoch, config.Rate, r.arrive)
	r.at(epoch, r.work)
	r.at(epoch.Add(executionFirstLoss), r.lose)
	r.at(epoch.Add(executionCut), r.cut)
	r.at(epoch.Add(executionSecondLoss), r.lose)
	r.run()

	return r.count()
}

func (r *executionRun) arrive(now time.Time) {
	if now.After(r.end.Add(-executionSettle)) {
		return
	}

	caller := &executionCaller{
		key:       claim.Key{Service: 1, Token: fmt.Sprintf("key-%d", len(r.callers))},
		impatient: r.random.IntN(impatientOneOf) == 0,
	}
	r.callers = append(r.callers, caller)
	r.send(now, caller)
}

func (r *executionRun) duration(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

func (r *executionRun) lost() bool { return r.random.Float64() < executionLoss }

// join adds an agent to the view.
func (r *executionRun) join() *executionNode {
	incarnation := view.Incarnation(len(r.nodes) + 1)
	n := &executionNode{
		incarnation: incarnation, store: claim.NewStore(incarnation, executionWindow, 1<<14),
		history:    claim.NewHistory(r.now, executionWindow, executionWindow),
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
func (r *executionRun) publish() {
	r.position.Index++
	position, agents := r.position, slices.Clone(r.agents)

	for _, n := range r.nodes {
		r.at(r.now.Add(r.duration(viewLag)), func(now time.Time) {
			if !n.dead {
				n.history.Observe(now, position, agents)
			}
		})
	}
}

// lose ends an agent without notice. When its lease has run out, it leaves the
// view and another agent joins, which learns the memberships from a sibling.
func (r *executionRun) lose(now time.Time) {
	victim := r.pick()
	victim.dead = true

	r.at(now.Add(leaseTTL), func(now time.Time) {
		r.agents = slices.DeleteFunc(r.agents, func(a view.Agent) bool { return a.Incarnation == victim.incarnation })
		r.publish()

		joined := r.join()

		r.at(now.Add(2*viewLag), func(now time.Time) {
			for _, n := range r.nodes {
				if n != joined && !n.dead {
					joined.history.Merge(now, n.history.Snapshot(now))

					return
				}
			}
		})
	})
}

// cut separates an agent from its siblings for a while; callers still reach it.
func (r *executionRun) cut(now time.Time) {
	n := r.pick()
	n.cutOff = true
	r.at(now.Add(executionCutOff), func(time.Time) { n.cutOff = false })
}

// pick returns a random agent that lives.
func (r *executionRun) pick() *executionNode {
	for {
		if n := r.nodes[r.random.IntN(len(r.nodes))]; !n.dead {
			return n
		}
	}
}

// send lets a caller send its request to an agent of the view, which may be
// dead. Without an answer in time it sends again.
func (r *executionRun) send(now time.Time, caller *executionCaller) {
	caller.attempts++
	caller.last = claim.Pending
	number := caller.attempts
	n := r.nodes[r.agents[r.random.IntN(len(r.agents))].Incarnation-1]

	if !n.dead && !r.lost() {
		r.receive(now, n, &executionAttempt{caller: caller, number: number})
	}

	timeout := executionTimeout
	if caller.impatient && number == 1 {
		timeout = r.duration(executionImpatient)
	}

	r.at(now.Add(timeout), func(now time.Time) {
		if caller.attempts == number {
			r.again(now, caller)
		}
	})
}

func (r *executionRun) again(now time.Time, caller *executionCaller) {
	if !caller.ended && caller.attempts < executionAttempts && r.config.Method != RunOnce {
		r.send(now, caller)
	}
}

// receive lets an agent treat a request.
func (r *executionRun) receive(now time.Time, n *executionNode, a *executionAttempt) {
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
func (r *executionRun) execute(now time.Time, n *executionNode, a *executionAttempt) {
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
func (r *executionRun) answer(now time.Time, n *executionNode, a *executionAttempt, verdict claim.Verdict) {
	if n.dead || r.lost() || a.caller.ended || a.caller.attempts != a.number {
		return
	}

	a.caller.last = verdict

	switch verdict {
	case claim.Run, claim.Replay, claim.Unknown:
		a.caller.ended = true
	case claim.NotRun, claim.InProgress:
		r.at(now.Add(executionTimeout/4), func(now time.Time) {
			if a.caller.attempts == a.number {
				r.again(now, a.caller)
			}
		})
	case claim.Pending:
	}
}
