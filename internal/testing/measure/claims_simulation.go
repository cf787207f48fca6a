package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/state/view"
)

const (
	simulationStep = 10 * time.Millisecond // of simulated time
	leaseTTL       = 3 * time.Second
	maxViewDelay   = 500 * time.Millisecond // maximum time until an agent receives a view
)

// claimNode is a simulated agent with its store, history and open claims.
type claimNode struct {
	incarnation view.Incarnation
	zone        string
	store       *claim.Store
	history     *claim.History
	attempts    []*claimAttempt
	sequence    uint64
	alive       bool
	draining    bool
	isolated    bool
	closing     bool // a closing that it coordinates is in progress
}

// claimAttempt is one transmission of a request through one agent.
type claimAttempt struct {
	*claim.Claimant
	node        *claimNode
	key         claim.Key
	startedAt   time.Time
	handled     bool
	resendsLeft int
}

// handOverRecord records that an execution was handed over, that is, its request was
// sent to a backend server and may have run.
type handOverRecord struct {
	execution claim.Execution
	at        time.Time
}

// claimSimulation simulates agents, links, views and callers in steps, and
// checks every verdict against the recorded hand-overs.
type claimSimulation struct {
	random    *rand.Rand
	now       time.Time
	events    map[time.Time][]func()
	nodes     []*claimNode
	agents    []view.Agent
	position  view.Position
	handOvers map[claim.Key][]handOverRecord
	scenario  ClaimScenario
	result    ClaimResult
}

func (s *claimSimulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *claimSimulation) scheduleAfter(delay time.Duration, do func()) {
	at := s.now.Add(max(delay.Truncate(simulationStep), simulationStep))
	s.events[at] = append(s.events[at], do)
}

// addAgent adds an agent with a new incarnation to the view.
func (s *claimSimulation) addAgent() *claimNode {
	incarnation := view.Incarnation(len(s.nodes) + 1)
	n := &claimNode{
		incarnation: incarnation, zone: fmt.Sprintf("zone-%d", incarnation%3), alive: true,
		store:   claim.NewStore(incarnation, Retention, MaxUnconfirmed, s.scenario.Capacity),
		history: claim.NewHistory(s.now, Retention, MaxUnconfirmed),
	}
	s.nodes = append(s.nodes, n)
	s.agents = append(s.agents, view.Agent{Incarnation: incarnation, Zone: n.zone, State: view.Active})
	s.publish()

	return n
}

// publish sends the view to all agents, each with its own delay.
func (s *claimSimulation) publish() {
	s.position.Index++
	position, agents := s.position, slices.Clone(s.agents)

	for _, n := range s.nodes {
		s.scheduleAfter(s.randomDuration(maxViewDelay), func() {
			if n.alive && !n.isolated {
				n.history.Observe(s.now, position, agents)
			}
		})
	}
}

// removeFromView removes an agent from the view.
func (s *claimSimulation) removeFromView(n *claimNode) {
	before := len(s.agents)
	s.agents = slices.DeleteFunc(s.agents, func(a view.Agent) bool { return a.Incarnation == n.incarnation })

	if len(s.agents) != before {
		s.publish()
	}
}

// kill stops an agent without notice; it leaves the view when its lease expires.
func (s *claimSimulation) kill(n *claimNode) {
	n.alive = false
	s.scheduleAfter(leaseTTL, func() { s.removeFromView(n) })
}

// join adds an agent that copies the history of a sibling.
func (s *claimSimulation) join() {
	n := s.addAgent()
	s.scheduleAfter(maxViewDelay+s.randomDuration(maxViewDelay), func() { s.copyHistory(n) })
}

func (s *claimSimulation) copyHistory(n *claimNode) {
	for _, other := range s.shuffledNodes() {
		if other != n && s.connected(n, other) && other.history.Complete(s.now) {
			n.history.Merge(s.now, other.history.Snapshot(s.now))

			return
		}
	}

	s.scheduleAfter(time.Second, func() { s.copyHistory(n) })
}

// drain stops an agent gracefully: it gets no new requests, finishes those that
// run and transfers its seats.
func (s *claimSimulation) drain(n *claimNode) {
	n.draining = true

	for i := range s.agents {
		if s.agents[i].Incarnation == n.incarnation {
			s.agents[i].State = view.Draining
		}
	}

	s.publish()
	s.scheduleAfter(4*time.Second, func() { s.leave(n) })
}

func (s *claimSimulation) leave(n *claimNode) {
	if !n.alive {
		return
	}

	for _, seat := range n.store.Seats() {
		for _, successor := range s.shuffledNodes() {
			if successor != n && !successor.draining && s.connected(n, successor) && s.moveSeat(seat, n, successor) {
				break
			}
		}
	}

	s.scheduleAfter(maxViewDelay, func() {
		n.alive = false
		s.removeFromView(n)
	})
}

func (s *claimSimulation) moveSeat(seat view.Incarnation, from, to *claimNode) bool {
	transfer, err := from.store.Export(s.now, seat, to.incarnation)
	if err != nil {
		s.recordViolation("export: %v", err)

		return false
	}

	if err := to.store.Import(s.now, transfer); err != nil {
		if err := from.store.Restore(s.now, transfer); err != nil {
			s.recordViolation("restore: %v", err)
		}

		return false
	}

	for _, other := range s.nodes {
		s.scheduleAfter(s.randomDuration(maxViewDelay), func() {
			if other.alive && s.random.Float64() > s.scenario.Loss {
				other.history.Move(seat, to.incarnation)
			}
		})
	}

	return true
}

// isolate disconnects some agents from the others and from the controllers.
func (s *claimSimulation) isolate(count int, duration time.Duration) {
	for _, n := range s.liveNodes() {
		if count == 0 {
			return
		}

		if n.isolated {
			continue
		}

		count--
		n.isolated = true

		s.scheduleAfter(leaseTTL, func() {
			if n.isolated {
				s.removeFromView(n)
			}
		})
		s.scheduleAfter(duration, func() { s.reconnect(n) })
	}
}

// reconnect ends the isolation of an agent. If the agent has been removed from
// the view, a new agent replaces it.
func (s *claimSimulation) reconnect(n *claimNode) {
	n.isolated = false

	if n.alive && !slices.ContainsFunc(s.agents, func(a view.Agent) bool { return a.Incarnation == n.incarnation }) {
		n.alive = false
		s.join()
	}
}

func (s *claimSimulation) liveNodes() []*claimNode {
	return slices.DeleteFunc(s.shuffledNodes(), func(n *claimNode) bool { return !n.alive })
}

func (s *claimSimulation) shuffledNodes() []*claimNode {
	nodes := slices.Clone(s.nodes)
	s.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })

	return nodes
}

func (s *claimSimulation) connected(a, b *claimNode) bool {
	return a.alive && b.alive && a.isolated == b.isolated
}

// send delivers a message, which may be lost, delayed or duplicated.
func (s *claimSimulation) send(from, to *claimNode, deliver func()) {
	copies := 1
	if s.random.Float64() < s.scenario.Loss {
		copies = s.random.IntN(3)
	}

	for range copies {
		delay := s.randomDuration(4 * simulationStep)
		if s.random.Float64() < s.scenario.Loss {
			delay = s.randomDuration(3 * time.Second)
		}

		s.scheduleAfter(delay, func() {
			if s.connected(from, to) {
				deliver()
			}
		})
	}
}

func (s *claimSimulation) node(incarnation view.Incarnation) *claimNode {
	return s.nodes[incarnation-1]
}

// request sends a request with the key to a random agent. A quarter of the
// requests that may be resent are sent once more within a second, while the
// first attempt may still be open.
func (s *claimSimulation) request(key claim.Key, resends int) {
	nodes := slices.DeleteFunc(s.liveNodes(), func(n *claimNode) bool { return n.draining })
	if len(nodes) == 0 {
		return
	}

	n := nodes[0]
	n.sequence++
	execution := claim.Execution{Agent: n.incarnation, Sequence: n.sequence}
	a := &claimAttempt{
		Claimant: claim.Begin(s.now, key, execution, n.history), node: n, key: key, startedAt: s.now, resendsLeft: resends,
	}
	n.attempts = append(n.attempts, a)

	if resends > 0 && s.random.IntN(4) == 0 {
		s.scheduleAfter(s.randomDuration(time.Second), func() { s.request(key, 0) })
	}
}

// advance runs the simulation for the duration and calls onStep in each step.
func (s *claimSimulation) advance(duration time.Duration, onStep func()) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(simulationStep)
		due := s.events[s.now]
		delete(s.events, s.now)

		for _, do := range due {
			do()
		}

		onStep()

		for _, n := range s.nodes {
			if n.alive {
				s.stepNode(n)
				s.stepClosing(n)
				s.result.Records = max(s.result.Records, n.store.Len())
			}
		}
	}
}

// stepNode sends the messages of an agent's open claims and handles new verdicts.
func (s *claimSimulation) stepNode(n *claimNode) {
	if !n.isolated {
		n.history.Confirm(s.now)
	}

	n.attempts = slices.DeleteFunc(n.attempts, func(a *claimAttempt) bool { return a.handled && a.Done(s.now) })

	for _, a := range n.attempts {
		a.Tick(s.now)

		for _, message := range a.Messages(s.now) {
			to := s.node(message.To)
			s.send(n, to, func() {
				reply := to.store.Handle(s.now, message.Request)
				s.send(to, n, func() { a.Reply(s.now, reply) })
			})
		}

		if !a.handled && a.Decision().Verdict != claim.Pending {
			a.handled = true
			s.handleVerdict(a)
		}
	}
}

// handleVerdict checks a verdict against the hand-overs and acts on it.
func (s *claimSimulation) handleVerdict(a *claimAttempt) {
	decision := a.Decision()
	s.result.Verdicts[decision.Verdict]++
	s.result.Reasons[decision.Reason]++

	switch decision.Verdict {
	case claim.Run:
		s.scheduleAfter(s.randomDuration(100*time.Millisecond), func() { s.handOver(a) })
	case claim.NotRun:
		for _, r := range s.handOvers[a.key] {
			if r.at.Before(a.startedAt) && a.startedAt.Sub(r.at) < Retention {
				s.recordViolation("%v: not run, but %v ran", a.key, r.execution)
			}
		}
	case claim.Replay:
		s.checkReplay(a, decision)
	case claim.InProgress, claim.Unknown, claim.Pending:
	}

	if decision.Verdict != claim.Replay && a.resendsLeft > 0 {
		s.scheduleAfter(s.randomDuration(5*time.Second), func() { s.request(a.key, a.resendsLeft-1) })
	}
}

// checkReplay records a violation unless the replayed answer is that of an
// execution that was handed over.
func (s *claimSimulation) checkReplay(a *claimAttempt, decision claim.Decision) {
	if !slices.ContainsFunc(s.handOvers[a.key], func(r handOverRecord) bool {
		return r.execution == decision.Owner && answerOf(r.execution) == string(decision.Answer.Body)
	}) {
		s.recordViolation("%v: replayed %q of %v, ran %v", a.key, decision.Answer.Body, decision.Owner, s.handOvers[a.key])
	}
}

func answerOf(execution claim.Execution) string { return fmt.Sprintf("answer of %v", execution) }

func (s *claimSimulation) handOver(a *claimAttempt) {
	if !a.node.alive || !a.HandOver(s.now) {
		return
	}

	for _, earlier := range s.handOvers[a.key] {
		if s.now.Sub(earlier.at) < Retention {
			s.recordViolation(
				"%v ran twice: %v, then %v after %s", a.key, earlier.execution, a.Execution(), s.now.Sub(earlier.at),
			)
		}
	}

	s.handOvers[a.key] = append(s.handOvers[a.key], handOverRecord{execution: a.Execution(), at: s.now})

	s.scheduleAfter(s.randomDuration(2*time.Second), func() {
		if a.node.alive {
			a.Complete(s.now, claim.NewAnswer([]byte(answerOf(a.Execution()))))
		}
	})
}
