package registry

import (
	"context"
	"log/slog"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/wal"
	"jayspindle/internal/transport/frag"
)

const (
	// flowsDirectory is a subdirectory of the data directory.
	flowsDirectory = "flows"

	// flushInterval is how long batches wait for others, so that they share one
	// sync.
	flushInterval = 100 * time.Millisecond

	// maxPendingBatches limits the batches that wait for the disk: each agent of
	// the largest deployment that one controller serves sends two a second.
	maxPendingBatches = 4096
)

// receivedBatch is an encoded batch and its sender.
type receivedBatch struct {
	from    netip.AddrPort
	encoded []byte
}

// checkpointService stores the flow checkpoints of agents, and the instances that
// poll. It has a goroutine of its own, so that the replicated log does not wait
// for it.
type checkpointService struct {
	files          wal.Files
	directory      string
	conn           *frag.Conn
	logger         *slog.Logger
	inbox          chan receivedBatch
	droppedBatches atomic.Uint64 // batches dropped because the disk was too slow

	mutex          sync.Mutex // guards the fields below
	store          *checkpoint.Store
	file           *checkpoint.File // nil until the directory has been read
	knownInstances *knownInstances
}

func newCheckpointService(
	files wal.Files, directory string, conn *frag.Conn, logger *slog.Logger,
) *checkpointService {
	return &checkpointService{
		files: files, directory: directory, conn: conn, logger: logger, inbox: make(chan receivedBatch, maxPendingBatches),
		store: checkpoint.NewStore(), knownInstances: newKnownInstances(),
	}
}

// run writes batches until ctx ends.
func (s *checkpointService) run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()

	var lastOpen time.Time

	for {
		if now := time.Now(); s.file == nil && now.Sub(lastOpen) >= reopenInterval {
			lastOpen = now
			s.open(now)
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
			if s.file != nil {
				if err := s.file.Close(); err != nil {
					s.logger.Warn("could not close the checkpoints", "error", err)
				}
			}

			return
		}

		if s.file != nil {
			s.flush(time.Now())
		}

		s.notifySilent(time.Now())
	}
}

// notifySilent tells the instances that fell silent to poll this controller.
func (s *checkpointService) notifySilent(now time.Time) {
	s.mutex.Lock()
	silent := s.knownInstances.dueNotifications(now)
	s.mutex.Unlock()

	for _, instance := range silent {
		if err := s.conn.Send(instance.AddrPort(), []byte{byte(wire.KindPollNow)}); err != nil {
			s.logger.Debug("could not send a notification", "to", instance.String(), "error", err)
		}
	}
}

// open reads the stored checkpoints and instances. Only the goroutine of run sets
// the file.
func (s *checkpointService) open(now time.Time) {
	store := checkpoint.NewStore()

	file, err := checkpoint.OpenFile(now, s.files, s.directory, store)
	if err != nil {
		s.logger.Warn("could not open the checkpoints", "error", err)

		return
	}

	instances, err := readKnownInstances(s.files, filepath.Join(s.directory, instancesFile))
	if err != nil {
		s.logger.Warn("could not read the known instances", "error", err)
	}

	s.logger.Info("read the checkpoints", "bytes", store.Bytes(), "instances", len(instances)/flow.EndpointBytes)

	s.mutex.Lock()
	s.store, s.file = store, file
	s.knownInstances.restore(now, instances)
	s.mutex.Unlock()

	s.notifySilent(now)
}

// enqueue adds a batch of an agent to those that wait for the disk.
func (s *checkpointService) enqueue(from netip.AddrPort, body []byte) {
	select {
	case s.inbox <- receivedBatch{from: from, encoded: append([]byte(nil), body...)}:
	default:
		s.droppedBatches.Add(1) // the agent sends it again
	}
}

// flush makes the waiting batches durable and acknowledges them.
func (s *checkpointService) flush(now time.Time) {
	var (
		batches []byte
		replies = make(map[netip.AddrPort]checkpoint.Acknowledgement)
	)

	s.mutex.Lock()
	s.store.Expire(now)

	for range len(s.inbox) {
		received := <-s.inbox

		batch, rest, err := checkpoint.Parse(received.encoded)
		if err != nil || len(rest) > 0 {
			s.logger.Warn("dropped a checkpoint", "from", received.from, "error", err, "rest", len(rest))

			continue
		}

		ack, applied := s.store.Apply(now, batch, received.encoded)
		if applied {
			batches = append(batches, received.encoded...)
		}

		replies[received.from] = ack
	}

	oversized := s.file.Oversized(s.store)
	instances, changed := s.knownInstances.encodeIfChanged(now)
	s.mutex.Unlock()

	err := s.save(batches, oversized)
	if err == nil && changed {
		err = s.saveContacts(instances)
	}

	if err != nil {
		s.logger.Warn("could not write the checkpoints", "error", err)
		s.reset()

		return
	}

	for to, reply := range replies {
		if err := s.reply(to, wire.KindCheckpointed, reply); err != nil {
			s.logger.Debug("could not send a message", "to", to, "error", err)
		}
	}
}

// save writes batches, or the whole store if the file has grown large. Only the
// goroutine of run changes the store, so it reads it without the mutex.
func (s *checkpointService) save(batches []byte, oversized bool) error {
	if oversized {
		return s.file.Rewrite(s.store)
	}

	if len(batches) == 0 {
		return nil
	}

	return s.file.Append(batches)
}

func (s *checkpointService) saveContacts(instances []byte) error {
	framed, err := wal.AppendFrame(nil, 0, instances)
	if err != nil {
		return err
	}

	return wal.ReplaceFile(s.files, s.directory, instancesFile, framed)
}

// reset closes the file and clears the stored checkpoints until the disk can be
// used again.
func (s *checkpointService) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if err := s.file.Close(); err != nil {
		s.logger.Debug("could not close the checkpoints", "error", err)
	}

	s.file = nil
	s.knownInstances.changed = true
	s.store.Flush()
}

func (s *checkpointService) reply(to netip.AddrPort, kind wire.Kind, body any) error {
	message, err := wire.Encode(kind, body)
	if err != nil {
		return err
	}

	return s.conn.Send(to, message)
}

// restore sends an agent its stored checkpoints. There is no answer until the
// directory has been read.
func (s *checkpointService) restore(from netip.AddrPort, body []byte) error {
	asked, err := wire.Decode[wire.Restore](body)
	if err != nil {
		return err
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.file == nil {
		return nil
	}

	return s.conn.Send(from, append([]byte{byte(wire.KindRestoreReply)}, s.store.Batches(asked.Agent)...))
}

// recordPoll records that an instance has polled. The instance is an agent if it
// has a record.
func (s *checkpointService) recordPoll(now time.Time, from netip.AddrPort, agent *roster.Record) {
	instance, ok := flow.NewEndpoint(from)
	if !ok {
		return
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.knownInstances.recordPoll(now, instance)

	if agent != nil {
		s.store.MarkSeen(now, agent.Address)
	}
}

// bytes returns the size of the checkpoints.
func (s *checkpointService) bytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.store.Bytes()
}
