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
	// checkpointInterval bounds the age of the last checkpoint when the instance
	// loses power. Flows that it does not contain are not recovered.
	checkpointInterval = 500 * time.Millisecond

	// minCheckpointInterval is the time between two checkpoints if one is due sooner.
	minCheckpointInterval = 50 * time.Millisecond

	// checkpointCopies is one more than the number of disks that a deployment may
	// lose at once.
	checkpointCopies = 3

	// restoreInterval is how often a starting agent asks the controllers for its
	// flows.
	restoreInterval = 50 * time.Millisecond

	// restoreTimeout is how long an agent keeps asking controllers that do not
	// answer. Clients retransmit a packet within 1.6 s, and learn by then that
	// their flow is lost.
	restoreTimeout = 3 * time.Second
)

// checkpointer stores the open flows of an agent at controllers, and recovers them
// from there after a restart.
type checkpointer struct {
	agent    flow.Endpoint
	conn     *frag.Conn
	follower *follower.Follower
	logger   *slog.Logger
	// recoverFlows restores the flows of a checkpoint. It returns false before the
	// backend server has reported.
	recoverFlows   func(stored checkpoint.RestoredFlows) (done bool)
	longLivedFlows func() (startMillis int64, flows map[flow.Key]uint32)
	due            chan struct{} // a checkpoint is due before the interval has passed

	mutex        sync.Mutex
	tracker      *checkpoint.Tracker
	answered     map[flow.Endpoint]bool     // controllers that answered the restore request
	pendingFlows []checkpoint.RestoredFlows // wait for the first report of the backend server
}

func newCheckpointer(s *Sidecar) *checkpointer {
	agent, _ := flow.NewEndpoint(s.settings.Data) // it was opened as IPv4

	return &checkpointer{
		agent: agent, conn: s.control, follower: s.follower, logger: s.logger,
		recoverFlows: s.recoverFlows, longLivedFlows: s.longLivedFlows,
		tracker:  checkpoint.NewTracker(agent, uint64(time.Now().UnixMilli())),
		answered: make(map[flow.Endpoint]bool),
		due:      make(chan struct{}, 1),
	}
}

// run restores the flows of an earlier start, then sends checkpoints until ctx ends.
// A checkpoint sent before they are restored would overwrite the stored one.
func (c *checkpointer) run(ctx context.Context) {
	c.restore(ctx)

	for ctx.Err() == nil {
		c.sendCheckpoints()
		wait(ctx, minCheckpointInterval, nil)
		wait(ctx, checkpointInterval-minCheckpointInterval, c.due)
	}
}

// restore asks for the flows of an earlier start until all controllers have answered, or
// restoreTimeout has passed.
func (c *checkpointer) restore(ctx context.Context) {
	for deadline := time.Now().Add(restoreTimeout); ctx.Err() == nil && time.Now().Before(deadline); {
		if c.requestRestore() {
			return
		}

		wait(ctx, restoreInterval, nil)
	}
}

// wait returns when the time has passed, a signal arrives or ctx ends.
func wait(ctx context.Context, duration time.Duration, signal <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-signal:
	case <-ctx.Done():
	}
}

// requestCheckpoint requests a checkpoint without waiting for the interval.
func (c *checkpointer) requestCheckpoint() {
	select {
	case c.due <- struct{}{}:
	default: // one is already requested
	}
}

// requestRestore asks the controllers that have not answered for the flows of this
// agent. It reports whether all have answered and all checkpoints were applied.
func (c *checkpointer) requestRestore() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.pendingFlows = slices.DeleteFunc(c.pendingFlows, c.recoverFlows)

	missing := 0

	for _, controller := range c.follower.Controllers() {
		if c.answered[controller] {
			continue
		}

		missing++

		c.send(controller, wire.KindRestore, wire.Restore{Agent: c.agent})
	}

	return missing == 0 && len(c.pendingFlows) == 0
}

func (c *checkpointer) send(to flow.Endpoint, kind wire.Kind, body any) {
	message, err := wire.Encode(kind, body)
	if err == nil {
		err = c.conn.Send(to.AddrPort(), message)
	}

	if err != nil {
		c.logger.Debug("could not send a message", "to", to.String(), "error", err)
	}
}

// sendCheckpoints sends each holder the changes that it lacks.
func (c *checkpointer) sendCheckpoints() {
	startMillis, flows := c.longLivedFlows()
	if startMillis == 0 {
		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	// The first report of the backend server may arrive after the replies of all
	// controllers.
	c.pendingFlows = slices.DeleteFunc(c.pendingFlows, c.recoverFlows)

	c.tracker.Observe(startMillis, flows)

	holders := c.selectHolders()

	for _, controller := range holders {
		batch, ok := c.tracker.Batch(controller)
		if !ok {
			continue
		}

		message := batch.Append([]byte{byte(wire.KindCheckpoint)})
		if err := c.conn.Send(controller.AddrPort(), message); err != nil {
			c.logger.Debug("could not send a checkpoint", "to", controller.String(), "error", err)
		}
	}

	c.tracker.DropClosed(holders)
}

// selectHolders returns the controllers that store the checkpoints of this agent.
// Rendezvous hashing spreads the agents evenly over the controllers.
func (c *checkpointer) selectHolders() []flow.Endpoint {
	controllers := c.follower.Controllers()
	weight := func(controller flow.Endpoint) uint64 { return flow.Key{Client: c.agent, Service: controller}.Hash() }

	slices.SortFunc(controllers, func(a, b flow.Endpoint) int { return cmp.Compare(weight(a), weight(b)) })

	return controllers[:min(checkpointCopies, len(controllers))]
}

// handleMessage handles a message of a controller. It returns false for messages
// that are not for the checkpointer.
func (c *checkpointer) handleMessage(from netip.AddrPort, kind wire.Kind, body []byte) bool {
	controller, ok := flow.NewEndpoint(from)
	if !ok {
		return false
	}

	switch kind {
	case wire.KindCheckpointed:
		acknowledged, err := wire.Decode[checkpoint.Acknowledgement](body)
		if err != nil {
			c.logger.Warn("dropped a message", "from", from, "error", err)

			break
		}

		c.mutex.Lock()
		c.tracker.Acknowledge(controller, acknowledged)
		c.mutex.Unlock()
	case wire.KindRestoreReply:
		c.handleRestoreReply(controller, body)
	default:
		return false
	}

	return true
}

// handleRestoreReply applies the checkpoint that a controller returned. Controllers
// usually return the same checkpoint; one that was partitioned may return an older
// one.
func (c *checkpointer) handleRestoreReply(controller flow.Endpoint, body []byte) {
	restored, err := checkpoint.Restore(body)
	if err != nil {
		c.logger.Warn("dropped a message", "from", controller.String(), "error", err)

		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.answered[controller] {
		return
	}

	c.answered[controller] = true

	if len(restored.Flows) == 0 {
		return
	}

	c.logger.Info("recalled the flows of an earlier start", "controller", controller.String(),
		"born", restored.BackendStart, "epoch", restored.Epoch, "flows", len(restored.Flows))

	if !c.recoverFlows(restored) {
		c.pendingFlows = append(c.pendingFlows, restored)
	}
}

// longLivedFlows returns the flows to checkpoint, and the start time of the backend
// server that they belong to.
func (s *Sidecar) longLivedFlows() (backendStart int64, flows map[flow.Key]uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.gate.LongLivedFlows(time.Now())
}

// recoverFlows restores the flows of a checkpoint. The client of a lost flow gets
// one reset, even if several controllers return the flow.
func (s *Sidecar) recoverFlows(restored checkpoint.RestoredFlows) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	orphans, done := s.gate.RecoverFlows(time.Now(), restored)
	orphans = slices.DeleteFunc(orphans, func(orphan gate.Orphan) bool { return s.notified[orphan.Key] })

	for _, orphan := range orphans {
		s.notified[orphan.Key] = true
	}

	s.resetOrphans(orphans)

	return done
}
