package sidecar

import (
	"time"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/state/roster"
)

// Report applies a status report of the backend server. Once it returns, a
// backend server that is leaving gets no new flows.
func (s *Sidecar) Report(report gate.Report) (gate.Outcome, error) {
	s.mutex.Lock()
	now := time.Now()
	outcome, err := s.gate.Report(now, report)
	complete := s.gate.SeenFromStart()

	if outcome == gate.Changed {
		s.resetOrphans(s.gate.Orphans())

		s.endedAt = time.Time{}
	}
	s.mutex.Unlock()

	switch {
	case err != nil:
		s.RefuseReport(report.ID, err)
	case outcome == gate.Outdated:
		s.logger.Info("ignored a late report", "id", report.ID, "born", report.StartMillis, "sequence", report.Sequence)
	case outcome == gate.Changed:
		s.logger.Info("the backend server changed", "id", report.ID, "born", report.StartMillis, "sequence", report.Sequence,
			"leaving", report.Leaving, "slots", report.Slots, "cold_ms", report.WarmUpRemaining.Milliseconds(),
			"age_ms", now.UnixMilli()-report.StartMillis, "agent_age_ms", now.Sub(s.started).Milliseconds(),
			"all_flows_seen", complete)
		s.follower.Poll()
	}

	return outcome, err
}

// observePredecessor applies what a controller tells about earlier agents at the address of
// this one.
func (s *Sidecar) observePredecessor(now time.Time, found roster.Predecessor) {
	s.mutex.Lock()
	before := s.gate.SeenFromStart()
	s.gate.ObservePredecessor(now, found)
	after := s.gate.SeenFromStart()
	s.mutex.Unlock()

	if before != after {
		s.logger.Info("learned of earlier agents at this address", "since_heard_ms", found.SinceHeard.Milliseconds(),
			"listening_ms", found.Listening.Milliseconds(), "all_flows_seen", after)
	}
}

// RefuseReport counts and logs a report or deregistration that was refused. Reports that
// cannot be read do not reach Report.
func (s *Sidecar) RefuseReport(id string, err error) {
	s.refused.Add(1)
	s.refusedLog.Do(func() {
		s.logger.Warn("refused a report", "id", id, "error", err, "refused", s.refused.Load())
	})
}

// BackendEnded records that the backend server has ended.
func (s *Sidecar) BackendEnded(id string, startMillis int64) error {
	s.mutex.Lock()

	now := time.Now()

	outcome, err := s.gate.MarkEnded(now, id, startMillis)
	if outcome == gate.Changed {
		s.endedAt = now
	}

	s.mutex.Unlock()

	if err != nil {
		s.RefuseReport(id, err)

		return err
	}

	s.logger.Info("the backend server announced its end", "id", id, "born", startMillis, "late", outcome == gate.Outdated)

	if outcome == gate.Changed {
		s.follower.Poll()
	}

	return nil
}

// resetOrphans sends a reset to the clients whose backend server has ended. The
// caller holds the mutex.
func (s *Sidecar) resetOrphans(orphans []gate.Orphan) {
	if len(orphans) == 0 {
		return
	}

	for _, orphan := range orphans {
		s.buffer = s.codec.AppendReset(s.buffer[:0], orphan.Key, orphan.Sequence)
		if err := s.sendToClient(orphan.Key, s.buffer); err != nil {
			s.logger.Debug("could not send a reset", "flow", orphan.Key.String(), "error", err)
		}
	}

	s.logger.Info("reset the flows of a backend server that has ended", "flows", len(orphans))
}

// resetLost resets the flows of backend servers that have ended. One that has announced
// its end may still send until it has exited; the platform stops the agent only
// afterwards. Idle clients then open a new flow for their next request, in place of a
// search for the old one. The caller holds the mutex.
func (s *Sidecar) resetLost(now time.Time) {
	if !s.endedAt.IsZero() && !s.stopping && now.Sub(s.endedAt) < endedGracePeriod {
		return
	}

	s.endedAt = time.Time{}
	s.resetOrphans(s.gate.Orphans())
}
