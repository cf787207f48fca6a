package sidecar

import (
	"time"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/program/latency"
)

// Metrics holds the counters and the state of an agent.
type Metrics struct {
	Decisions gate.Counters   `json:"decisions"`
	Flows     int             `json:"flows"`   // open flows
	Waiting   int             `json:"waiting"` // flows that wait for an answer
	Failing   bool            `json:"failing"` // requests fail, so new flows go to other agents
	Version   uint64          `json:"version"` // of the document in force
	Answers   latency.Summary `json:"answers"` // time to the first packet of an answer
	Backend   Backend         `json:"backend"`
	Refused   uint64          `json:"refused"` // reports that could not be read or could not be true
	Malformed uint64          `json:"malformed"`
}

// Backend is what an agent believes about its backend server, from the last report that
// it applied.
type Backend struct {
	State    string `json:"state"` // for new flows, as the agent announces it
	ID       string `json:"id"`
	Born     int64  `json:"born"` // start time in Unix milliseconds
	Sequence uint64 `json:"sequence"`
}

// Metrics returns the current state, and the counts since the start.
func (s *Sidecar) Metrics() Metrics {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	now := time.Now()
	load := s.gate.Load(now)
	backend := Backend{State: s.gate.Record(now).State.String()}
	backend.ID, backend.Born, backend.Sequence = s.gate.Reported()

	return Metrics{
		Decisions: s.gate.Counters(), Flows: int(load.Flows), Waiting: int(load.Waiting),
		Failing: load.Failing, Version: s.gate.Version(),
		Answers: s.answerTimes.Summary(), Backend: backend, Refused: s.refused.Load(),
		Malformed: s.malformed.Load() + s.control.Dropped(),
	}
}
