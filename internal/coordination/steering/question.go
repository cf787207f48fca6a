package steering

import (
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// candidatesBatchDelay is how long a question to the candidates of a flow waits
	// for further flows. It delays the client in almost every search.
	candidatesBatchDelay = 3 * time.Millisecond

	// nextBatchDelay is the corresponding delay for the agents of the next ranks.
	nextBatchDelay = 15 * time.Millisecond

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

	agent   flow.Endpoint
	expires time.Time
}

// questionBatch collects flows by agent until their questions are sent.
type questionBatch struct {
	delay   time.Duration // until the questions are sent
	timeout time.Duration // until the answers have to arrive, from then on
	keys    map[flow.Endpoint][]flow.Key
	due     time.Time // when the questions are sent; zero if the batch is empty
}

func newQuestionBatch(delay, timeout time.Duration) questionBatch {
	return questionBatch{delay: delay, timeout: timeout, keys: make(map[flow.Endpoint][]flow.Key)}
}

func (b *questionBatch) add(now time.Time, agent flow.Endpoint, key flow.Key) {
	if b.due.IsZero() {
		b.due = now.Add(b.delay)
	}

	b.keys[agent] = append(b.keys[agent], key)
}

// cost returns the bytes on the link, including the answers, that one more flow in
// the questions to the agents takes. With the delay for all other agents, the headers are shared by so
// many flows that they do not count.
func (b *questionBatch) cost(agents []*agent) int {
	cost := len(agents) * batchedKeyBytes

	for _, a := range agents {
		if len(b.keys[a.Address]) == 0 && b.delay < otherBatchDelay {
			cost += questionHeaderBytes
		}
	}

	return cost
}

// questions batches the questions to each agent and keeps those that were sent.
type questions struct {
	nextID     uint32
	candidates questionBatch
	nextRanks  questionBatch
	others     questionBatch
	sent       map[uint32]sentQuestion
}

func newQuestions(firstID uint32) *questions {
	return &questions{
		nextID:     firstID,
		candidates: newQuestionBatch(candidatesBatchDelay, candidatesTimeout),
		nextRanks:  newQuestionBatch(nextBatchDelay, nextTimeout),
		others:     newQuestionBatch(otherBatchDelay, otherTimeout),
		sent:       make(map[uint32]sentQuestion),
	}
}

func (q *questions) batches() []*questionBatch {
	return []*questionBatch{&q.candidates, &q.nextRanks, &q.others}
}

// due returns when the next batch is due, or zero if all are empty.
func (q *questions) due() time.Time {
	var due time.Time

	for _, b := range q.batches() {
		if due.IsZero() || (!b.due.IsZero() && b.due.Before(due)) {
			due = b.due
		}
	}

	return due
}

// flush sends the batches that are due.
func (r *Router) flush(now time.Time) {
	q := r.questions

	for _, b := range q.batches() {
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
	q.sent[question.ID] = sentQuestion{Question: question, agent: agent, expires: now.Add(2 * otherTimeout)}
	r.addAction(Action{Kind: Locate, To: agent, Question: question})
}

// Located handles the answers of an agent to a question.
func (r *Router) Located(now time.Time, from flow.Endpoint, id uint32, answers []flow.Answer) []Action {
	r.actions = r.actions[:0]

	question, ok := r.questions.sent[id]
	if !ok || question.agent != from || len(answers) != len(question.Keys) {
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
