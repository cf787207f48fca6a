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
	viewLag        = 500 * time.Millisecond // longest time until an agent has a view
)

// claimNode is an agent with its store, history and running claims.
type claimNode struct {
	incarnation view.Incarnation
	zone        string
	store       *claim.Store
	history     *claim.History
	claimants   []*claimAttempt
	sequence    uint64
	alive       bool
	draining    bool
	isolated    bool
}

// claimAttempt is one request that a caller sent through one agent.
type claimAttempt struct {
	*claim.Claimant
	node    *claimNode
	key     claim.Key
	began   time.Time
	judged  bool
	resends int
}

// run is a hand-over.
type run struct {
	execution claim.Execution
	at        time.Time
}

// world simulates agents, links, views and callers in steps, and judges every
// verdict against what has really been handed over.
type claimWorld struct {
	random   *rand.Rand
	now      time.Time
	events   map[time.Time][]func()
	nodes    []*claimNode
	agents   []view.Agent
	position view.Position
	runs     map[claim.Key][]run
	scenario ClaimScenario
	result   ClaimResult
}

func (w *claimWorld) duration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *claimWorld) after(delay time.Duration, do func()) {
	at := w.now.Add(max(delay.Truncate(simulationStep), simulationStep))
	w.events[at] = append(w.events[at], do)
}

// start adds an agent with a new incarnation to the view.
func (w *claimWorld) start() *claimNode {
	incarnation := view.Incarnation(len(w.nodes) + 1)
	n := &claimNode{
		incarnation: incarnation, zone: fmt.Sprintf("zone-%d", incarnation%3), alive: true,
		store:   claim.NewStore(incarnation, Retention, w.scenario.Capacity),
		history: claim.NewHistory(w.now, Retention, MaxUnconfirmed),
	}
	w.nodes = append(w.nodes, n)
	w.agents = append(w.agents, view.Agent{Incarnation: incarnation, Zone: n.zone, State: view.Active})
	w.publish()

	return n
}

// publish sends the view to all agents, each with its own delay.
func (w *claimWorld) publish() {
	w.position.Index++
	position, agents := w.position, slices.Clone(w.agents)

	for _, n := range w.nodes {
		w.after(w.duration(viewLag), func() {
			if n.alive && !n.isolated {
				n.history.Observe(w.now, position, agents)
			}
		})
	}
}

// remove takes an agent out of the view.
func (w *claimWorld) remove(n *claimNode) {
	before := len(w.agents)
	w.agents = slices.DeleteFunc(w.agents, func(a view.Agent) bool { return a.Incarnation == n.incarnation })

	if len(w.agents) != before {
		w.publish()
	}
}

// kill ends an agent silently; its lease runs out.
func (w *claimWorld) kill(n *claimNode) {
	n.alive = false
	w.after(leaseTTL, func() { w.remove(n) })
}

// join starts an agent that learns the history from a sibling.
func (w *claimWorld) join() {
	n := w.start()
	w.after(viewLag+w.duration(viewLag), func() { w.learn(n) })
}

func (w *claimWorld) learn(n *claimNode) {
	for _, other := range w.shuffled() {
		if other != n && w.connected(n, other) && other.history.Complete(w.now) {
			n.history.Merge(w.now, other.history.Snapshot(w.now))

			return
		}
	}

	w.after(time.Second, func() { w.learn(n) })
}

// drain stops an agent in order: no new work, running work ends, seats move.
func (w *claimWorld) drain(n *claimNode) {
	n.draining = true

	for i := range w.agents {
		if w.agents[i].Incarnation == n.incarnation {
			w.agents[i].State = view.Draining
		}
	}

	w.publish()
	w.after(4*time.Second, func() { w.leave(n) })
}

func (w *claimWorld) leave(n *claimNode) {
	if !n.alive {
		return
	}

	for _, seat := range n.store.Seats() {
		for _, successor := range w.shuffled() {
			if successor != n && !successor.draining && w.connected(n, successor) && w.move(seat, n, successor) {
				break
			}
		}
	}

	w.after(viewLag, func() {
		n.alive = false
		w.remove(n)
	})
}

func (w *claimWorld) move(seat view.Incarnation, from, to *claimNode) bool {
	transfer, err := from.store.Export(w.now, seat, to.incarnation)
	if err != nil {
		w.violate("export: %v", err)

		return false
	}

	if err := to.store.Import(w.now, transfer); err != nil {
		if err := from.store.Restore(w.now, transfer); err != nil {
			w.violate("restore: %v", err)
		}

		return false
	}

	for _, other := range w.nodes {
		w.after(w.duration(viewLag), func() {
			if other.alive && w.random.Float64() > w.scenario.Loss {
				other.history.Move(seat, to.incarnation)
			}
		})
	}

	return true
}

// isolate cuts some agents off from the others and from the controllers.
func (w *claimWorld) isolate(count int, lasts time.Duration) {
	for _, n := range w.alive() {
		if count == 0 {
			return
		}

		if n.isolated {
			continue
		}

		count--
		n.isolated = true

		w.after(leaseTTL, func() {
			if n.isolated {
				w.remove(n)
			}
		})
		w.after(lasts, func() { w.heal(n) })
	}
}

// heal reconnects an agent. One that was removed starts again from nothing.
func (w *claimWorld) heal(n *claimNode) {
	n.isolated = false

	if n.alive && !slices.ContainsFunc(w.agents, func(a view.Agent) bool { return a.Incarnation == n.incarnation }) {
		n.alive = false
		w.join()
	}
}

func (w *claimWorld) alive() []*claimNode {
	return slices.DeleteFunc(w.shuffled(), func(n *claimNode) bool { return !n.alive })
}

func (w *claimWorld) shuffled() []*claimNode {
	nodes := slices.Clone(w.nodes)
	w.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })

	return nodes
}

func (w *claimWorld) connected(a, b *claimNode) bool {
	return a.alive && b.alive && a.isolated == b.isolated
}

// send carries a message with loss, delay and duplicates.
func (w *claimWorld) send(from, to *claimNode, deliver func()) {
	copies := 1
	if w.random.Float64() < w.scenario.Loss {
		copies = w.random.IntN(3)
	}

	for range copies {
		delay := w.duration(4 * simulationStep)
		if w.random.Float64() < w.scenario.Loss {
			delay = w.duration(3 * time.Second)
		}

		w.after(delay, func() {
			if w.connected(from, to) {
				deliver()
			}
		})
	}
}

func (w *claimWorld) node(incarnation view.Incarnation) *claimNode {
	return w.nodes[incarnation-1]
}

// request lets a caller send a key through a random agent.
func (w *claimWorld) request(key claim.Key, resends int) {
	nodes := slices.DeleteFunc(w.alive(), func(n *claimNode) bool { return n.draining })
	if len(nodes) == 0 {
		return
	}

	n := nodes[0]
	n.sequence++
	execution := claim.Execution{Agent: n.incarnation, Sequence: n.sequence}
	a := &claimAttempt{
		Claimant: claim.Begin(w.now, key, execution, n.history), node: n, key: key, began: w.now, resends: resends,
	}
	n.claimants = append(n.claimants, a)

	if resends > 0 && w.random.IntN(4) == 0 {
		w.after(w.duration(time.Second), func() { w.request(key, 0) })
	}
}

// advance runs the world until the duration has passed.
func (w *claimWorld) advance(duration time.Duration, each func()) {
	for end := w.now.Add(duration); w.now.Before(end); {
		w.now = w.now.Add(simulationStep)
		due := w.events[w.now]
		delete(w.events, w.now)

		for _, do := range due {
			do()
		}

		each()

		for _, n := range w.nodes {
			if n.alive {
				w.work(n)
				w.result.Records = max(w.result.Records, n.store.Len())
			}
		}
	}
}

// work lets an agent send and judge.
func (w *claimWorld) work(n *claimNode) {
	if !n.isolated {
		n.history.Confirm(w.now)
	}

	n.claimants = slices.DeleteFunc(n.claimants, func(a *claimAttempt) bool { return a.judged && a.Done(w.now) })

	for _, a := range n.claimants {
		a.Tick(w.now)

		for _, message := range a.Messages(w.now) {
			to := w.node(message.To)
			w.send(n, to, func() {
				reply := to.store.Handle(w.now, message.Request)
				w.send(to, n, func() { a.Reply(w.now, reply) })
			})
		}

		if !a.judged && a.Decision().Verdict != claim.Pending {
			a.judged = true
			w.judge(a)
		}
	}
}

// judge compares a verdict with the hand-overs and acts on it.
func (w *claimWorld) judge(a *claimAttempt) {
	decision := a.Decision()
	w.result.Verdicts[decision.Verdict]++
	w.result.Reasons[decision.Reason]++

	switch decision.Verdict {
	case claim.Run:
		w.after(w.duration(100*time.Millisecond), func() { w.handOver(a) })
	case claim.NotRun:
		for _, r := range w.runs[a.key] {
			if r.at.Before(a.began) && a.began.Sub(r.at) < Retention {
				w.violate("%v: not run, but %v ran", a.key, r.execution)
			}
		}
	case claim.Replay:
		w.assertAnswer(a, decision)
	case claim.InProgress, claim.Unknown, claim.Pending:
	}

	if decision.Verdict != claim.Replay && a.resends > 0 {
		w.after(w.duration(5*time.Second), func() { w.request(a.key, a.resends-1) })
	}
}

func (w *claimWorld) assertAnswer(a *claimAttempt, decision claim.Decision) {
	if !slices.ContainsFunc(w.runs[a.key], func(r run) bool {
		return r.execution == decision.Owner && answerOf(r.execution) == string(decision.Answer.Body)
	}) {
		w.violate("%v: replayed %q of %v, ran %v", a.key, decision.Answer.Body, decision.Owner, w.runs[a.key])
	}
}

func answerOf(execution claim.Execution) string { return fmt.Sprintf("answer of %v", execution) }

func (w *claimWorld) handOver(a *claimAttempt) {
	if !a.node.alive || !a.HandOver(w.now) {
		return
	}

	for _, earlier := range w.runs[a.key] {
		if w.now.Sub(earlier.at) < Retention {
			w.violate("%v ran twice: %v, then %v after %s", a.key, earlier.execution, a.Execution(), w.now.Sub(earlier.at))
		}
	}

	w.runs[a.key] = append(w.runs[a.key], run{execution: a.Execution(), at: w.now})

	w.after(w.duration(2*time.Second), func() {
		if a.node.alive {
			a.Complete(w.now, claim.NewAnswer([]byte(answerOf(a.Execution()))))
		}
	})
}
