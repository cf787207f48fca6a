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
	// flowsDirectory is below the data directory.
	flowsDirectory = "flows"

	// keeperInterval is how long batches wait for others, so that they share one
	// sync.
	keeperInterval = 100 * time.Millisecond

	// keeperInbox bounds the batches that wait for the disk: each agent of the
	// largest deployment that one controller serves sends two a second.
	keeperInbox = 4096
)

// received is a batch as it arrived.
type received struct {
	from    netip.AddrPort
	encoded []byte
}

// keeper remembers the flows of agents, and the instances that poll. It has a
// goroutine of its own, so that the replicated log does not wait for it.
type keeper struct {
	directory string
	conn      *frag.Conn
	logger    *slog.Logger
	inbox     chan received
	overflow  atomic.Uint64 // batches dropped because the disk was too slow

	mutex    sync.Mutex // guards what is below
	store    *checkpoint.Store
	file     *checkpoint.File // nil until the directory could be read
	contacts *contacts
}

func newKeeper(directory string, conn *frag.Conn, logger *slog.Logger) *keeper {
	return &keeper{
		directory: directory, conn: conn, logger: logger, inbox: make(chan received, keeperInbox),
		store: checkpoint.NewStore(), contacts: newContacts(),
	}
}

// run writes batches until ctx ends.
func (k *keeper) run(ctx context.Context) {
	ticker := time.NewTicker(keeperInterval)
	defer ticker.Stop()

	var opened time.Time

	for {
		if now := time.Now(); k.file == nil && now.Sub(opened) >= reopenInterval {
			opened = now
			k.open(now)
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
			if k.file != nil {
				if err := k.file.Close(); err != nil {
					k.logger.Warn("the checkpoints did not close", "error", err)
				}
			}

			return
		}

		if k.file != nil {
			k.write(time.Now())
		}

		k.call(time.Now())
	}
}

// call tells the instances that fell silent that this controller is there.
func (k *keeper) call(now time.Time) {
	k.mutex.Lock()
	silent := k.contacts.silent(now)
	k.mutex.Unlock()

	for _, instance := range silent {
		if err := k.conn.Send(instance.AddrPort(), []byte{byte(wire.KindNews)}); err != nil {
			k.logger.Debug("a call did not leave", "to", instance.String(), "error", err)
		}
	}
}

// open reads what the disk has. Only the goroutine of run sets the file.
func (k *keeper) open(now time.Time) {
	store := checkpoint.NewStore()

	file, err := checkpoint.OpenFile(now, wal.WithoutModes(), k.directory, store)
	if err != nil {
		k.logger.Warn("the checkpoints cannot be used", "error", err)

		return
	}

	instances, err := readContacts(wal.WithoutModes(), filepath.Join(k.directory, contactsFile))
	if err != nil {
		k.logger.Warn("the instances that have polled before are not known", "error", err)
	}

	k.logger.Info("read the checkpoints", "bytes", store.Bytes(), "instances", len(instances)/flow.EndpointBytes)

	k.mutex.Lock()
	k.store, k.file = store, file
	k.contacts.restore(now, instances)
	k.mutex.Unlock()

	k.call(now)
}

// receive takes a batch of an agent.
func (k *keeper) receive(from netip.AddrPort, body []byte) {
	select {
	case k.inbox <- received{from: from, encoded: append([]byte(nil), body...)}:
	default:
		k.overflow.Add(1) // the agent sends it again
	}
}

// write makes the waiting batches durable and acknowledges them.
func (k *keeper) write(now time.Time) {
	var (
		batches []byte
		replies = make(map[netip.AddrPort]checkpoint.Acknowledgement)
	)

	k.mutex.Lock()
	k.store.Expire(now)

	for range len(k.inbox) {
		arrived := <-k.inbox

		batch, rest, err := checkpoint.Parse(arrived.encoded)
		if err != nil || len(rest) > 0 {
			k.logger.Warn("dropped a checkpoint", "from", arrived.from, "error", err, "rest", len(rest))

			continue
		}

		ack, applied := k.store.Apply(now, batch, arrived.encoded)
		if applied {
			batches = append(batches, arrived.encoded...)
		}

		replies[arrived.from] = ack
	}

	oversized := k.file.Oversized(k.store)
	instances, changed := k.contacts.unsaved(now)
	k.mutex.Unlock()

	err := k.save(batches, oversized)
	if err == nil && changed {
		err = k.saveContacts(instances)
	}

	if err != nil {
		k.logger.Warn("checkpoints were not written", "error", err)
		k.drop()

		return
	}

	for to, reply := range replies {
		if err := k.reply(to, wire.KindCheckpointed, reply); err != nil {
			k.logger.Debug("a message did not leave", "to", to, "error", err)
		}
	}
}

// save writes batches, or the whole store if the file has grown large. Only the
// goroutine of run changes the store, so it reads it without the mutex.
func (k *keeper) save(batches []byte, oversized bool) error {
	if oversized {
		return k.file.Rewrite(k.store)
	}

	if len(batches) == 0 {
		return nil
	}

	return k.file.Append(batches)
}

func (k *keeper) saveContacts(instances []byte) error {
	framed, err := wal.AppendFrame(nil, 0, instances)
	if err != nil {
		return err
	}

	return wal.Replace(wal.WithoutModes(), k.directory, contactsFile, framed)
}

// drop forgets everything until the disk can be used again.
func (k *keeper) drop() {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if err := k.file.Close(); err != nil {
		k.logger.Debug("the checkpoints did not close", "error", err)
	}

	k.file = nil
	k.contacts.changed = true
	k.store.Flush()
}

func (k *keeper) reply(to netip.AddrPort, kind wire.Kind, body any) error {
	message, err := wire.Encode(kind, body)
	if err != nil {
		return err
	}

	return k.conn.Send(to, message)
}

// recall sends an agent what it has kept here. Before the disk was read there is
// no answer.
func (k *keeper) recall(from netip.AddrPort, body []byte) error {
	asked, err := wire.Decode[wire.Recall](body)
	if err != nil {
		return err
	}

	k.mutex.Lock()
	defer k.mutex.Unlock()

	if k.file == nil {
		return nil
	}

	return k.conn.Send(from, append([]byte{byte(wire.KindRecalled)}, k.store.Recall(asked.Agent)...))
}

// heard notes that an instance polls, which is an agent if it has a record.
func (k *keeper) heard(now time.Time, from netip.AddrPort, agent *roster.Record) {
	instance, ok := flow.NewEndpoint(from)
	if !ok {
		return
	}

	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.contacts.hear(now, instance)

	if agent != nil {
		k.store.Touch(now, agent.Address)
	}
}

// bytes returns the size of the checkpoints.
func (k *keeper) bytes() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return k.store.Bytes()
}
