package steering

import (
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// likelyGather is how long questions to the likely agents of a flow wait for
	// others. Almost all searches end there, so a client waits for it.
	likelyGather = 3 * time.Millisecond

	// otherGather is the same for all other agents: their denials only prove
	// that a flow is lost. After the loss of many instances a question then
	// holds dozens of flows.
	otherGather = 150 * time.Millisecond

	// maxKeys bounds the flows of one question, which then fits into a datagram.
	maxKeys = 90
)

// Question asks an agent for several flows. The answers come in the order of
// the keys.
type Question struct {
	ID   uint32
	Keys []flow.Key
}

// asked is a question that was sent.
type asked struct {
	Question

	due time.Time
}

// gathering is questions that wait for others.
type gathering struct {
	keys map[flow.Endpoint][]flow.Key
	due  time.Time // when they are sent; zero if none waits
}

func (g *gathering) add(due time.Time, agent flow.Endpoint, key flow.Key) {
	if g.due.IsZero() {
		g.due = due
	}

	g.keys[agent] = append(g.keys[agent], key)
}

// questions gathers the questions for each agent.
type questions struct {
	nextID uint32
	likely gathering
	others gathering
	sent   map[uint32]asked
}

func newQuestions() *questions {
	return &questions{
		likely: gathering{keys: make(map[flow.Endpoint][]flow.Key)},
		others: gathering{keys: make(map[flow.Endpoint][]flow.Key)},
		sent:   make(map[uint32]asked),
	}
}

// flush sends the questions that have waited long enough.
func (r *Router) flush(now time.Time) {
	q := r.questions

	for _, g := range []*gathering{&q.likely, &q.others} {
		if g.due.IsZero() || now.Before(g.due) {
			continue
		}

		g.due = time.Time{}

		for agent, keys := range g.keys {
			for len(keys) > 0 {
				count := min(len(keys), maxKeys)
				r.askAgent(now, agent, keys[:count])
				keys = keys[count:]
			}

			delete(g.keys, agent)
		}
	}
}

// expire forgets the questions that nobody answers any more.
func (q *questions) expire(now time.Time) {
	for id, question := range q.sent {
		if now.After(question.due) {
			delete(q.sent, id)
		}
	}
}

func (r *Router) askAgent(now time.Time, agent flow.Endpoint, keys []flow.Key) {
	q := r.questions
	q.nextID++

	question := Question{ID: q.nextID, Keys: keys}
	q.sent[question.ID] = asked{Question: question, due: now.Add(2 * otherTimeout)}
	r.act(Action{Kind: Locate, To: agent, Question: question})
}

// Located tells what an agent said of the flows of a question.
func (r *Router) Located(now time.Time, from flow.Endpoint, id uint32, answers []flow.Answer) []Action {
	r.actions = r.actions[:0]

	question, ok := r.questions.sent[id]
	if !ok || len(answers) != len(question.Keys) {
		return r.actions
	}

	delete(r.questions.sent, id)

	for i, key := range question.Keys {
		r.located(now, from, key, answers[i])
	}

	return r.actions
}

// Found tells that the backend server of an agent has answered on a flow that
// the agent was unsure of.
func (r *Router) Found(now time.Time, from flow.Endpoint, key flow.Key) []Action {
	r.actions = r.actions[:0]
	r.located(now, from, key, flow.Held)

	return r.actions
}
