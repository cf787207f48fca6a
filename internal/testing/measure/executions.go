package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
)

// RunMethod selects how agents and callers handle non-idempotent requests.
type RunMethod int

// The methods of handling non-idempotent requests.
const (
	RunByClaims RunMethod = iota // production method: claims on three holders; callers resend
	RunOnce                      // agents run every request they receive; callers never resend
	RunAgain                     // agents run every request they receive; callers resend
	RunByMemory                  // each agent remembers the keys it ran; callers resend
)

// ExecutionsConfig describes callers that send non-idempotent requests while
// messages are lost, one agent is isolated from its siblings, and two agents
// fail without notice and are replaced, one after the other. Some callers
// resend so early that two agents claim the same key at the same time.
type ExecutionsConfig struct {
	Seed   uint64
	Agents int
	Zones  int
	Rate   float64       // requests per second
	Mean   time.Duration // service time
	Method RunMethod
}

// ExecutionsResult counts requests by their final outcome.
type ExecutionsResult struct {
	Requests int
	Answered int
	NotRun   int // the caller was told that the request has not run
	Unknown  int // the caller was told that the request may have run
	Silent   int // the caller received no final answer
	Twice    int // ran more than once
	Lost     int // never ran, and the caller was told neither "not run" nor unknown
	Wrong    int // the caller was told "not run", but it ran
}

const (
	executionDuration    = 70 * time.Second
	executionSettleTime  = 10 * time.Second // at the end, without arrivals
	executionLossRate    = 0.02             // fraction of requests, messages between agents and responses that are lost
	executionTimeout     = 2 * time.Second  // after which a caller resends
	maxExecutionAttempts = 6

	// One caller in ten resends before a first answer can arrive, so that two
	// agents claim the same key at the same time.
	maxImpatientTimeout = 50 * time.Millisecond
	callersPerImpatient = 10

	// Two agents fail, and one is isolated in between. The faults are much further
	// apart than leaseTTL, so that a lost agent is replaced before the next fault.
	firstFailureAt  = 15 * time.Second
	isolationAt     = 30 * time.Second
	secondFailureAt = 45 * time.Second

	isolationDuration  = 2 * time.Second
	executionRetention = 10 * time.Minute
)

// executionNode is a simulated agent.
type executionNode struct {
	incarnation view.Incarnation
	store       *claim.Store
	history     *claim.History
	attempts    []*executionAttempt
	knownKeys   map[claim.Key]bool // keys that it has run; true once the run has ended
	sequence    uint64
	dead        bool
	isolated    bool
}

// executionCaller is a request and what its caller knows about it.
type executionCaller struct {
	key         claim.Key
	impatient   bool
	attempts    int
	runs        int
	done        bool
	lastVerdict claim.Verdict // of the last attempt; Pending without an answer
}

// executionAttempt is one transmission of a request to an agent.
type executionAttempt struct {
	*claim.Claimant
	caller  *executionCaller
	number  int
	handled bool
}

// executionRun is the state of an Executions run.
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

	r.scheduleArrivals(r.random, epoch, config.Rate, r.arrive)
	r.schedule(epoch, r.stepNodes)
	r.schedule(epoch.Add(firstFailureAt), r.failAgent)
	r.schedule(epoch.Add(isolationAt), r.isolateAgent)
	r.schedule(epoch.Add(secondFailureAt), r.failAgent)
	r.run()

	return r.countOutcomes()
}

func (r *executionRun) arrive(now time.Time) {
	if now.After(r.end.Add(-executionSettleTime)) {
		return
	}

	caller := &executionCaller{
		key:       claim.Key{Service: 1, Token: fmt.Sprintf("key-%d", len(r.callers))},
		impatient: r.random.IntN(callersPerImpatient) == 0,
	}
	r.callers = append(r.callers, caller)
	r.send(now, caller)
}

func (r *executionRun) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

func (r *executionRun) isMessageLost() bool { return r.random.Float64() < executionLossRate }

// join adds an agent to the view.
func (r *executionRun) join() *executionNode {
	incarnation := view.Incarnation(len(r.nodes) + 1)
	n := &executionNode{
		incarnation: incarnation, store: claim.NewStore(incarnation, executionRetention, executionRetention, 1<<14),
		history:   claim.NewHistory(r.now, executionRetention, executionRetention),
		knownKeys: make(map[claim.Key]bool),
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
		r.schedule(r.now.Add(r.randomDuration(maxViewDelay)), func(now time.Time) {
			if !n.dead {
				n.history.Observe(now, position, agents)
			}
		})
	}
}

// failAgent stops a random agent without notice. When its lease expires, the
// agent leaves the view and a new agent joins, which copies the history of a
// sibling.
func (r *executionRun) failAgent(now time.Time) {
	victim := r.pickLiveNode()
	victim.dead = true

	r.schedule(now.Add(leaseTTL), func(now time.Time) {
		r.agents = slices.DeleteFunc(r.agents, func(a view.Agent) bool { return a.Incarnation == victim.incarnation })
		r.publish()

		joined := r.join()

		r.schedule(now.Add(2*maxViewDelay), func(now time.Time) {
			for _, n := range r.nodes {
				if n != joined && !n.dead {
					joined.history.Merge(now, n.history.Snapshot(now))

					return
				}
			}
		})
	})
}

// isolateAgent disconnects a random agent from its siblings for isolationDuration.
// Callers can still reach it.
func (r *executionRun) isolateAgent(now time.Time) {
	n := r.pickLiveNode()
	n.isolated = true
	r.schedule(now.Add(isolationDuration), func(time.Time) { n.isolated = false })
}

// pickLiveNode returns a random agent that has not failed.
func (r *executionRun) pickLiveNode() *executionNode {
	for {
		if n := r.nodes[r.random.IntN(len(r.nodes))]; !n.dead {
			return n
		}
	}
}

// send sends a caller's request to a random agent of the view, which may have
// failed already. If the caller gets no answer in time, it resends.
func (r *executionRun) send(now time.Time, caller *executionCaller) {
	caller.attempts++
	caller.lastVerdict = claim.Pending
	number := caller.attempts
	n := r.nodes[r.agents[r.random.IntN(len(r.agents))].Incarnation-1]

	if !n.dead && !r.isMessageLost() {
		r.receive(now, n, &executionAttempt{caller: caller, number: number})
	}

	timeout := executionTimeout
	if caller.impatient && number == 1 {
		timeout = r.randomDuration(maxImpatientTimeout)
	}

	r.schedule(now.Add(timeout), func(now time.Time) {
		if caller.attempts == number {
			r.resend(now, caller)
		}
	})
}

func (r *executionRun) resend(now time.Time, caller *executionCaller) {
	if !caller.done && caller.attempts < maxExecutionAttempts && r.config.Method != RunOnce {
		r.send(now, caller)
	}
}

// receive handles the arrival of a request at an agent.
func (r *executionRun) receive(now time.Time, n *executionNode, a *executionAttempt) {
	if r.config.Method == RunByClaims {
		n.sequence++
		execution := claim.Execution{Agent: n.incarnation, Sequence: n.sequence}
		a.Claimant = claim.Begin(now, a.caller.key, execution, n.history)
		n.attempts = append(n.attempts, a)

		return
	}

	if ended, known := n.knownKeys[a.caller.key]; r.config.Method == RunByMemory && known {
		if ended {
			r.answer(now, n, a, claim.Replay)
		} else {
			r.answer(now, n, a, claim.InProgress)
		}

		return
	}

	n.knownKeys[a.caller.key] = false
	r.execute(now, n, a)
}

// execute hands a request over to the backend server, which fails together with
// its agent.
func (r *executionRun) execute(now time.Time, n *executionNode, a *executionAttempt) {
	a.caller.runs++

	r.schedule(now.Add(drawServiceTime(r.random, r.config.Mean, 0.5)), func(now time.Time) {
		if n.dead {
			return
		}

		n.knownKeys[a.caller.key] = true

		if a.Claimant != nil {
			a.Complete(now, claim.NewAnswer([]byte("done")))
		}

		r.answer(now, n, a, claim.Run)
	})
}

// answer sends the verdict on an attempt to the caller, unless the response is
// lost or the caller has resent the request since.
func (r *executionRun) answer(now time.Time, n *executionNode, a *executionAttempt, verdict claim.Verdict) {
	if n.dead || r.isMessageLost() || a.caller.done || a.caller.attempts != a.number {
		return
	}

	a.caller.lastVerdict = verdict

	switch verdict {
	case claim.Run, claim.Replay, claim.Unknown:
		a.caller.done = true
	case claim.NotRun, claim.InProgress:
		r.schedule(now.Add(executionTimeout/4), func(now time.Time) {
			if a.caller.attempts == a.number {
				r.resend(now, a.caller)
			}
		})
	case claim.Pending:
	}
}
