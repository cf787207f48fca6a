package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/program/follower"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/transport/frag"
)

const (
	// checkpointInterval bounds the flows that are not remembered when the
	// instance loses power.
	checkpointInterval = 500 * time.Millisecond

	// checkpointCopies is one more than the disks that the deployments may lose
	// at once.
	checkpointCopies = 3

	// recallInterval is how often an agent that has started asks the controllers
	// for its flows.
	recallInterval = 50 * time.Millisecond

	// recallTimeout is how long it asks those that do not answer. Clients repeat
	// a packet within 1.6 s, and learn by then that their flow is lost.
	recallTimeout = 3 * time.Second
)

// keeper sends the flows of an agent to controllers, and recalls those that it
// had before it started.
type keeper struct {
	agent    flow.Endpoint
	conn     *frag.Conn
	follower *follower.Follower
	logger   *slog.Logger
	// recover takes a memory over, and returns false if it is too early for that.
	recover func(memory checkpoint.Memory) (done bool)
	lasting func() (born int64, flows map[flow.Key]uint32)

	mutex    sync.Mutex
	tracker  *checkpoint.Tracker
	answered map[flow.Endpoint]bool // controllers that were asked and have answered
	memories []checkpoint.Memory    // that wait for the first report of the backend server
}

func newKeeper(s *Sidecar) *keeper {
	agent, _ := flow.NewEndpoint(s.settings.Data) // it was opened as IPv4

	return &keeper{
		agent: agent, conn: s.inner, follower: s.follower, logger: s.logger,
		recover: s.recover, lasting: s.lasting,
		tracker:  checkpoint.NewTracker(agent, uint64(time.Now().UnixMilli())),
		answered: make(map[flow.Endpoint]bool),
	}
}

// run recalls, then sends checkpoints until ctx ends. Nothing is sent before:
// it would replace what is to be recalled.
func (k *keeper) run(ctx context.Context) {
	k.repeat(ctx, recallInterval, time.Now().Add(recallTimeout), k.recallAll)
	k.repeat(ctx, checkpointInterval, time.Time{}, k.checkpoint)
}

// repeat calls a function until it reports that it is done, the deadline or the
// end of ctx.
func (*keeper) repeat(ctx context.Context, interval time.Duration, deadline time.Time, call func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()

	for !call() && (deadline.IsZero() || time.Now().Before(deadline)) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// recallAll asks the controllers that have not answered, and reports whether all
// have, and every memory was used.
func (k *keeper) recallAll() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.memories = slices.DeleteFunc(k.memories, k.recover)

	missing := 0

	for _, controller := range k.follower.Controllers() {
		if k.answered[controller] {
			continue
		}

		missing++

		k.send(controller, wire.KindRecall, wire.Recall{Agent: k.agent})
	}

	return missing == 0 && len(k.memories) == 0
}

func (k *keeper) send(to flow.Endpoint, kind wire.Kind, body any) {
	message, err := wire.Encode(kind, body)
	if err == nil {
		err = k.conn.Send(to.AddrPort(), message)
	}

	if err != nil {
		k.logger.Debug("a message did not leave", "to", to.String(), "error", err)
	}
}

// checkpoint sends each controller in charge what it lacks. It is never done.
func (k *keeper) checkpoint() bool {
	born, flows := k.lasting()
	if born == 0 {
		return false
	}

	k.mutex.Lock()
	defer k.mutex.Unlock()

	// The backend server may have reported later than all controllers.
	k.memories = slices.DeleteFunc(k.memories, k.recover)

	k.tracker.Observe(born, flows)

	inCharge := k.inCharge()

	for _, controller := range inCharge {
		batch, ok := k.tracker.Batch(controller)
		if !ok {
			continue
		}

		message := batch.Append([]byte{byte(wire.KindCheckpoint)})
		if err := k.conn.Send(controller.AddrPort(), message); err != nil {
			k.logger.Debug("a checkpoint did not leave", "to", controller.String(), "error", err)
		}
	}

	k.tracker.Forget(inCharge)

	return false
}

// inCharge returns the controllers that remember the flows of this agent, by
// rendezvous hashing, so that each controller gets a share of the agents.
func (k *keeper) inCharge() []flow.Endpoint {
	controllers := k.follower.Controllers()
	weight := func(controller flow.Endpoint) uint64 { return flow.Key{Client: k.agent, Service: controller}.Hash() }

	slices.SortFunc(controllers, func(a, b flow.Endpoint) int { return cmp.Compare(weight(a), weight(b)) })

	return controllers[:min(checkpointCopies, len(controllers))]
}

// handle handles a message of a controller, and returns false if it is not for
// the keeper.
func (k *keeper) handle(from netip.AddrPort, kind wire.Kind, body []byte) bool {
	controller, ok := flow.NewEndpoint(from)
	if !ok {
		return false
	}

	switch kind {
	case wire.KindCheckpointed:
		acknowledged, err := wire.Decode[checkpoint.Acknowledgement](body)
		if err != nil {
			k.logger.Warn("dropped a message", "from", from, "error", err)

			break
		}

		k.mutex.Lock()
		k.tracker.Acknowledge(controller, acknowledged)
		k.mutex.Unlock()
	case wire.KindRecalled:
		k.recalled(controller, body)
	default:
		return false
	}

	return true
}

// recalled takes the memory of a controller. Several of them have the same, and
// one that was cut off may have an older one.
func (k *keeper) recalled(controller flow.Endpoint, body []byte) {
	memory, err := checkpoint.Restore(body)
	if err != nil {
		k.logger.Warn("dropped a message", "from", controller.String(), "error", err)

		return
	}

	k.mutex.Lock()
	defer k.mutex.Unlock()

	if k.answered[controller] {
		return
	}

	k.answered[controller] = true

	if len(memory.Flows) == 0 {
		return
	}

	k.logger.Info("recalled the flows of an earlier start", "controller", controller.String(), "born", memory.Born,
		"epoch", memory.Epoch, "flows", len(memory.Flows))

	if !k.recover(memory) {
		k.memories = append(k.memories, memory)
	}
}

// lasting returns the flows that are worth remembering.
func (s *Sidecar) lasting() (born int64, flows map[flow.Key]uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.gate.Lasting(time.Now())
}

// recover takes over a memory. Clients of flows that are lost are told once.
func (s *Sidecar) recover(memory checkpoint.Memory) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	orphans, done := s.gate.Recover(time.Now(), memory)
	orphans = slices.DeleteFunc(orphans, func(orphan gate.Orphan) bool { return s.told[orphan.Key] })

	for _, orphan := range orphans {
		s.told[orphan.Key] = true
	}

	s.reset(orphans)

	return done
}
