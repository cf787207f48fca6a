package checkpoint

import (
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// checkpointTTL is how long the flows of an unreachable agent are kept. After
	// that time clients have given up idle flows.
	checkpointTTL = 75 * time.Second

	// The agent is asked for a new full batch when its batches exceed
	// maxGrowthFactor times the size of the last full one by more than
	// maxSlackBytes.
	maxSlackBytes   = 4 << 10
	maxGrowthFactor = 4
)

// agentCheckpoint holds the batches of one agent.
type agentCheckpoint struct {
	backendStart int64
	epoch        uint64
	position     uint64
	encoded      []byte // concatenated batches; the first is a full one, from position 0
	fullBytes    int    // size of the first batch
	lastSeen     time.Time
}

// Store holds the checkpoints of agents at a controller. It is not safe for
// concurrent use.
type Store struct {
	agents map[flow.Endpoint]*agentCheckpoint
	bytes  int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{agents: make(map[flow.Endpoint]*agentCheckpoint)} }

// Bytes returns the total size of all batches.
func (s *Store) Bytes() int { return s.bytes }

// Flush removes all checkpoints.
func (s *Store) Flush() {
	clear(s.agents)

	s.bytes = 0
}

// Acknowledgement tells an agent which of its changes a store has.
type Acknowledgement struct {
	Epoch    uint64 `cbor:"1,keyasint"` // epoch that the position belongs to
	Position uint64 `cbor:"2,keyasint"` // the next batch starts here; 0 if the agent has to send all flows
}

// Apply stores a batch that is full or starts at the stored position. Encoded is
// the batch as it was received; the store keeps a copy.
func (s *Store) Apply(now time.Time, batch Batch, encoded []byte) (ack Acknowledgement, applied bool) {
	stored := s.agents[batch.Agent]
	fullRequest := Acknowledgement{Epoch: batch.Epoch}

	switch {
	case stored == nil && batch.From > 0:
		return fullRequest, false
	case stored != nil && batch.Epoch < stored.epoch:
		// The batch is of an earlier start of the agent. The starts of backend servers do
		// not tell the order: the clock may have been ahead at one of them.
		return Acknowledgement{Epoch: stored.epoch}, false
	case stored != nil && batch.Epoch == stored.epoch && batch.To <= stored.position:
		return Acknowledgement{Epoch: stored.epoch, Position: stored.position}, false
	case batch.From == 0:
		if stored != nil {
			s.bytes -= len(stored.encoded)
		}

		stored = &agentCheckpoint{backendStart: batch.BackendStart, epoch: batch.Epoch, fullBytes: len(encoded)}
		s.agents[batch.Agent] = stored
	case batch.Epoch != stored.epoch || batch.BackendStart != stored.backendStart:
		return fullRequest, false
	case batch.From != stored.position:
		return Acknowledgement{Epoch: stored.epoch, Position: stored.position}, false
	}

	stored.encoded = append(stored.encoded, encoded...)
	stored.position, stored.lastSeen = batch.To, now
	s.bytes += len(encoded)

	if len(stored.encoded) > maxGrowthFactor*stored.fullBytes+maxSlackBytes {
		return fullRequest, true
	}

	return Acknowledgement{Epoch: stored.epoch, Position: stored.position}, true
}

// Batches returns the batches of an agent.
func (s *Store) Batches(agent flow.Endpoint) []byte {
	if stored := s.agents[agent]; stored != nil {
		return stored.encoded
	}

	return nil
}

// All returns the batches of all agents, one slice for each.
func (s *Store) All() [][]byte {
	all := make([][]byte, 0, len(s.agents))
	for _, stored := range s.agents {
		all = append(all, stored.encoded)
	}

	return all
}

// MarkSeen records that an agent is reachable.
func (s *Store) MarkSeen(now time.Time, agent flow.Endpoint) {
	if stored := s.agents[agent]; stored != nil {
		stored.lastSeen = now
	}
}

// Expire removes the checkpoints of agents that have been unreachable for longer
// than checkpointTTL.
func (s *Store) Expire(now time.Time) {
	for agent, stored := range s.agents {
		if now.Sub(stored.lastSeen) > checkpointTTL {
			s.bytes -= len(stored.encoded)
			delete(s.agents, agent)
		}
	}
}
