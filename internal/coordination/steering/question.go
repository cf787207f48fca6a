package steering

import (
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// likelyBatchDelay is how long a question to the likely agents of a flow waits
	// for further flows. It delays the client in almost every search.
	likelyBatchDelay = 3 * time.Millisecond

	// otherBatchDelay is the corresponding delay for all other agents. It is longer because they
	// only confirm that a flow is lost. After the loss of many instances a question
	// then holds dozens of flows.
	otherBatchDelay = 150 * time.Millisecond

	// maxQuestionKeys limits the flows of one question so that it fits into a
	// datagram.
	maxQuestionKeys = 90
)

// Question asks an agent whether it holds several flows. The answers are in the
// order of the keys.
type Question struct {
	ID   uint32
	Keys []flow.Key
}

// sentQuestion is a question that was sent and not answered yet.
type sentQuestion struct {
	Question

	expires time.Time
}

// questionBatch collects flows by agent until their questions are sent.
type questionBatch struct {
	keys map[flow.Endpoint][]flow.Key
	due  time.Time // when the questions are sent; zero if the batch is empty
}

func (b *questionBatch) add(due time.Time, agent flow.Endpoint, key flow.Key) {
	if b.due.IsZero() {
		b.due = due
	}

	b.keys[agent] = append(b.keys[agent], key)
}

// questions batches the questions to each agent and keeps those that were sent.
type questions struct {
	nextID uint32
	likely questionBatch
	others questionBatch
	sent   map[uint32]sentQuestion
}

func newQuestions() *questions {
	return &questions{
		likely: questionBatch{keys: make(map[flow.Endpoint][]flow.Key)},
		others: questionBatch{keys: make(map[flow.Endpoint][]flow.Key)},
		sent:   make(map[uint32]sentQuestion),
	}
}

// flush sends the batches that are due.
func (r *Router) flush(now time.Time) {
	q := r.questions

	for _, b := range []*questionBatch{&q.likely, &q.others} {
		if b.due.IsZero() || now.Before(b.due) {
			continue
		}

		b.due = time.Time{}

		for agent, keys := range b.keys {
			for len(keys) > 0 {
				count := min(len(keys), maxQuestionKeys)
				r.sendQuestion(now, agent, keys[:count])
				keys = keys[count:]
			}

			delete(b.keys, agent)
		}
	}
}

// expire removes questions that were not answered in time.
func (q *questions) expire(now time.Time) {
	for id, question := range q.sent {
		if now.After(question.expires) {
			delete(q.sent, id)
		}
	}
}

func (r *Router) sendQuestion(now time.Time, agent flow.Endpoint, keys []flow.Key) {
	q := r.questions
	q.nextID++

	question := Question{ID: q.nextID, Keys: keys}
	q.sent[question.ID] = sentQuestion{Question: question, expires: now.Add(2 * otherTimeout)}
	r.addAction(Action{Kind: Locate, To: agent, Question: question})
}

// Located handles the answers of an agent to a question.
func (r *Router) Located(now time.Time, from flow.Endpoint, id uint32, answers []flow.Answer) []Action {
	r.actions = r.actions[:0]

	question, ok := r.questions.sent[id]
	if !ok || len(answers) != len(question.Keys) {
		return r.actions
	}

	delete(r.questions.sent, id)

	for i, key := range question.Keys {
		r.handleAnswer(now, from, key, answers[i])
	}

	return r.actions
}

// Found handles the message that the backend server of an agent has sent a packet
// of a flow that the agent was unsure of.
func (r *Router) Found(now time.Time, from flow.Endpoint, key flow.Key) []Action {
	r.actions = r.actions[:0]
	r.handleAnswer(now, from, key, flow.Held)

	return r.actions
}
