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
	Malformed uint64          `json:"malformed"`
}

// Metrics returns the current state, and the counts since the start.
func (s *Sidecar) Metrics() Metrics {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	load := s.gate.Load(time.Now())

	return Metrics{
		Decisions: s.gate.Counters(), Flows: int(load.Flows), Waiting: int(load.Waiting),
		Failing: load.Failing, Version: s.gate.Version(),
		Answers: s.answerTimes.Summary(), Malformed: s.malformed.Load() + s.control.Dropped(),
	}
}
