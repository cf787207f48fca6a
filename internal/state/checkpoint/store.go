package checkpoint

import (
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// forgetAfter is when the flows of an agent that is not heard any more are
	// forgotten: clients have given up idle flows by then.
	forgetAfter = 75 * time.Second

	// slack and growth bound what the batches of an agent may take beyond those
	// of a whole one, before the agent is asked for a new whole one.
	slack  = 4 << 10
	growth = 4
)

// kept is what a store holds of one agent.
type kept struct {
	born     int64
	epoch    uint64
	position uint64
	encoded  []byte // batches, one behind the other; the first is from position 0
	whole    int    // bytes of the first batch
	heard    time.Time
}

// Store holds the checkpoints of agents at a controller. One goroutine at a
// time uses it.
type Store struct {
	agents map[flow.Endpoint]*kept
	bytes  int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{agents: make(map[flow.Endpoint]*kept)} }

// Bytes returns the size of all batches.
func (s *Store) Bytes() int { return s.bytes }

// Flush drops everything.
func (s *Store) Flush() {
	clear(s.agents)

	s.bytes = 0
}

// Acknowledgement tells an agent what a store has of it.
type Acknowledgement struct {
	Epoch    uint64 `cbor:"1,keyasint"` // start of the agent that the position belongs to
	Position uint64 `cbor:"2,keyasint"` // the agent may go on from here; 0 if it has to send all flows
}

// Apply keeps a batch if it continues what is kept. Encoded is the batch as it
// arrived; the store keeps a copy.
func (s *Store) Apply(now time.Time, batch Batch, encoded []byte) (ack Acknowledgement, applied bool) {
	known := s.agents[batch.Agent]
	nothing := Acknowledgement{Epoch: batch.Epoch}

	switch {
	case known == nil && batch.From > 0:
		return nothing, false
	case known != nil && (batch.Born < known.born || (batch.Born == known.born && batch.Epoch < known.epoch)):
		return Acknowledgement{Epoch: known.epoch}, false // of an earlier start
	case known != nil && batch.Epoch == known.epoch && batch.To <= known.position:
		return Acknowledgement{Epoch: known.epoch, Position: known.position}, false
	case batch.From == 0:
		if known != nil {
			s.bytes -= len(known.encoded)
		}

		known = &kept{born: batch.Born, epoch: batch.Epoch, whole: len(encoded)}
		s.agents[batch.Agent] = known
	case batch.Epoch != known.epoch || batch.Born != known.born:
		return nothing, false
	case batch.From != known.position:
		return Acknowledgement{Epoch: known.epoch, Position: known.position}, false
	}

	known.encoded = append(known.encoded, encoded...)
	known.position, known.heard = batch.To, now
	s.bytes += len(encoded)

	if len(known.encoded) > growth*known.whole+slack {
		return nothing, true
	}

	return Acknowledgement{Epoch: known.epoch, Position: known.position}, true
}

// Recall returns the batches of an agent.
func (s *Store) Recall(agent flow.Endpoint) []byte {
	if known := s.agents[agent]; known != nil {
		return known.encoded
	}

	return nil
}

// All returns the batches of all agents, one slice for each.
func (s *Store) All() [][]byte {
	all := make([][]byte, 0, len(s.agents))
	for _, known := range s.agents {
		all = append(all, known.encoded)
	}

	return all
}

// Touch notes that an agent was heard.
func (s *Store) Touch(now time.Time, agent flow.Endpoint) {
	if known := s.agents[agent]; known != nil {
		known.heard = now
	}
}

// Expire forgets the agents that were not heard for long.
func (s *Store) Expire(now time.Time) {
	for agent, known := range s.agents {
		if now.Sub(known.heard) > forgetAfter {
			s.bytes -= len(known.encoded)
			delete(s.agents, agent)
		}
	}
}
