package checkpoint_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/testing/disk"
)

var (
	start           = time.Unix(1_000_000, 0)
	agent           = flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7000}
	controller      = flow.Endpoint{IP: [4]byte{10, 0, 1, 1}, Port: 7300}
	otherController = flow.Endpoint{IP: [4]byte{10, 0, 1, 2}, Port: 7300}
)

const (
	backendStart = 1_700_000_000_000
	epoch        = 7
)

func key(number int) flow.Key {
	return flow.Key{
		Client:  flow.Endpoint{IP: [4]byte{192, 0, byte(number >> 8), byte(number)}, Port: 40_000},
		Service: flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443},
	}
}

// flows returns the numbered flows. The number of a flow is also the sequence number
// that its client has acknowledged.
func flows(numbers ...int) map[flow.Key]uint32 {
	found := make(map[flow.Key]uint32, len(numbers))
	for _, number := range numbers {
		found[key(number)] = uint32(number)
	}

	return found
}

// syncController sends a controller the changes that it lacks and applies its
// acknowledgement.
func syncController(t *testing.T, tracker *checkpoint.Tracker, to flow.Endpoint, store *checkpoint.Store) {
	t.Helper()

	batch, ok := tracker.Batch(to)
	if !ok {
		return
	}

	encoded := batch.Append(nil)
	parsed, rest, err := checkpoint.Parse(encoded)
	is.New(t).NoErr(err)
	is.New(t).Equal(len(rest), 0)

	ack, _ := store.Apply(start, parsed, encoded)
	tracker.Acknowledge(to, ack)
}

// assertStored asserts that a controller stores exactly the wanted flows.
func assertStored(t *testing.T, store *checkpoint.Store, want map[flow.Key]uint32) {
	t.Helper()

	restored, err := checkpoint.Restore(store.Batches(agent))
	is.New(t).NoErr(err)

	found := make(map[flow.Key]uint32, len(restored.Flows))
	for _, remembered := range restored.Flows {
		found[remembered.Key] = remembered.Acknowledged
	}

	is.New(t).Equal(found, want)
}

// TestChanges guards against controllers that miss open flows or keep closed ones.
func TestChanges(t *testing.T) {
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

	for _, step := range []map[flow.Key]uint32{
		flows(1, 2), flows(1, 2, 3), flows(2, 3), flows(2, 4), flows(), flows(5),
	} {
		tracker.Observe(backendStart, step)
		syncController(t, tracker, controller, store)
		assertStored(t, store, step)
		tracker.DropClosed([]flow.Endpoint{controller})
	}

	_, pending := tracker.Batch(controller)
	is.New(t).True(!pending)
}

// TestProgress guards against resets that a client ignores because it has
// acknowledged many more bytes since the checkpoint, and against sending a batch for
// each acknowledgement.
func TestProgress(t *testing.T) {
	is := is.New(t)
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

	tracker.Observe(backendStart, map[flow.Key]uint32{key(1): 100})
	syncController(t, tracker, controller, store)

	tracker.Observe(backendStart, map[flow.Key]uint32{key(1): 2100})
	_, pending := tracker.Batch(controller)
	is.True(!pending)

	tracker.Observe(backendStart, map[flow.Key]uint32{key(1): 40_000})
	syncController(t, tracker, controller, store)
	assertStored(t, store, map[flow.Key]uint32{key(1): 40_000})
}

// TestLostMessages guards against controllers that stay out of date after messages
// were lost in either direction, or after the agent or a controller has restarted.
func TestLostMessages(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	tracker := checkpoint.NewTracker(agent, epoch)
	stores := map[flow.Endpoint]*checkpoint.Store{
		controller: checkpoint.NewStore(), otherController: checkpoint.NewStore(),
	}
	openFlows := map[flow.Key]uint32{}
	currentStart, currentEpoch := int64(backendStart), uint64(epoch)

	for step := range 2000 {
		for range 3 {
			if number := random.IntN(40); random.IntN(2) == 0 {
				openFlows[key(number)] = uint32(step) << 16
			} else {
				delete(openFlows, key(number))
			}
		}

		switch random.IntN(100) {
		case 0: // the backend server restarts
			currentStart++

			clear(openFlows)
		case 1: // the agent restarts
			currentEpoch++
			tracker = checkpoint.NewTracker(agent, currentEpoch)
		case 2:
			stores[otherController] = checkpoint.NewStore()
		}

		tracker.Observe(currentStart, openFlows)

		for address, store := range stores {
			batch, ok := tracker.Batch(address)
			if !ok || random.IntN(3) == 0 {
				continue // lost
			}

			encoded := batch.Append(nil)
			ack, _ := store.Apply(start, batch, encoded)

			if random.IntN(3) > 0 {
				tracker.Acknowledge(address, ack)
			}
		}

		tracker.DropClosed([]flow.Endpoint{controller, otherController})
	}

	for address, store := range stores {
		for range 5 {
			syncController(t, tracker, address, store)
		}

		restored, err := checkpoint.Restore(store.Batches(agent))
		is.New(t).NoErr(err)
		is.New(t).Equal(restored.BackendStart, currentStart)
		is.New(t).Equal(len(restored.Flows), len(openFlows))
	}
}

// TestClockSetBack guards against an agent whose batches are refused after it has
// restarted with a clock that was set back.
func TestClockSetBack(t *testing.T) {
	store := checkpoint.NewStore()

	before := checkpoint.NewTracker(agent, epoch)
	before.Observe(backendStart, flows(1))
	syncController(t, before, controller, store)

	after := checkpoint.NewTracker(agent, epoch-1)
	after.Observe(backendStart, flows(2))
	syncController(t, after, controller, store)
	assertStored(t, store, flows(1))
	syncController(t, after, controller, store)
	assertStored(t, store, flows(2))
}

// TestClockAheadAtBackendStart guards against flows that are not stored because the clock
// was ahead when the backend server before started.
func TestClockAheadAtBackendStart(t *testing.T) {
	store := checkpoint.NewStore()
	tracker := checkpoint.NewTracker(agent, epoch)

	tracker.Observe(backendStart+60_000, flows(1))
	syncController(t, tracker, controller, store)
	tracker.Observe(backendStart, flows(2))
	syncController(t, tracker, controller, store)
	assertStored(t, store, flows(2))

	// Nor after a restart of the agent.
	restarted := checkpoint.NewTracker(agent, epoch+1)
	restarted.Observe(backendStart-60_000, flows(3))
	syncController(t, restarted, controller, store)
	assertStored(t, store, flows(3))
}

// TestLateBatches guards against delayed batches of an earlier start that replace
// newer ones.
func TestLateBatches(t *testing.T) {
	is := is.New(t)
	store := checkpoint.NewStore()

	apply := func(batch checkpoint.Batch) bool {
		_, applied := store.Apply(start, batch, batch.Append(nil))

		return applied
	}

	newer := checkpoint.Batch{
		Agent: agent, BackendStart: backendStart + 1, Epoch: epoch + 1, To: 5,
		Opened: []checkpoint.Flow{{Key: key(1), Acknowledged: 1}},
	}
	is.True(apply(newer))
	is.True(!apply(newer)) // repeated
	is.True(!apply(checkpoint.Batch{Agent: agent, BackendStart: backendStart, Epoch: epoch, To: 99}))
	is.True(!apply(checkpoint.Batch{Agent: agent, BackendStart: backendStart + 1, Epoch: epoch, To: 99}))
	// A gap between the positions.
	is.True(!apply(checkpoint.Batch{Agent: agent, BackendStart: backendStart + 1, Epoch: epoch + 1, From: 6, To: 7}))
	assertStored(t, store, flows(1))
}

// TestExpire guards against a controller that returns outdated flows to a restarted
// agent, and against unbounded memory.
func TestExpire(t *testing.T) {
	is := is.New(t)
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()
	tracker.Observe(backendStart, flows(1))
	syncController(t, tracker, controller, store)

	store.MarkSeen(start.Add(time.Minute), agent)
	store.Expire(start.Add(2 * time.Minute))
	assertStored(t, store, flows(1))

	store.Expire(start.Add(3 * time.Minute))
	assertStored(t, store, flows())
	is.Equal(store.Bytes(), 0)
}

// TestGrowth guards against batches that accumulate without bound: the controller
// has to ask for all flows again.
func TestGrowth(t *testing.T) {
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

	maxBytes := 0

	for number := range 5000 {
		tracker.Observe(backendStart, flows(number, number+1))
		syncController(t, tracker, controller, store)
		tracker.DropClosed([]flow.Endpoint{controller})
		maxBytes = max(maxBytes, store.Bytes())
	}

	is.New(t).True(maxBytes < 8<<10)
	assertStored(t, store, flows(4999, 5000))
}

// TestCrashes guards against checkpoints that are lost in a power failure, and
// against a torn file that prevents a controller from starting.
func TestCrashes(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := disk.New(random)
		tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

		file, err := checkpoint.OpenFile(start, d, "flows", store)
		is.New(t).NoErr(err)

		saved := map[flow.Key]uint32{}

		for step := range random.IntN(60) {
			tracker.Observe(backendStart, flows(step, step+1, step+2))

			batch, ok := tracker.Batch(controller)
			if !ok {
				continue
			}

			encoded := batch.Append(nil)
			ack, _ := store.Apply(start, batch, encoded)

			if random.IntN(5) == 0 {
				err = file.Rewrite(store)
			} else {
				err = file.Append(encoded)
			}

			is.New(t).NoErr(err)
			tracker.Acknowledge(controller, ack)

			saved = flows(step, step+1, step+2)
		}

		d.Crash()

		reopened := checkpoint.NewStore()
		_, err = checkpoint.OpenFile(start, d, "flows", reopened)
		is.New(t).NoErr(err)
		assertStored(t, reopened, saved)
	}
}

// TestFullDisk guards against disk errors that are ignored.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	d := disk.New(rand.New(rand.NewPCG(1, 0)))
	store := checkpoint.NewStore()

	file, err := checkpoint.OpenFile(start, d, "flows", store)
	is.NoErr(err)
	d.Limit(10)

	batch := checkpoint.Batch{
		Agent: agent, BackendStart: backendStart, Epoch: epoch, To: 1, Opened: []checkpoint.Flow{{Key: key(1)}},
	}
	is.True(file.Append(batch.Append(nil)) != nil)
	is.True(file.Rewrite(store) == nil) // the store is empty, so there is nothing to write
}

// TestMalformed guards against a panic on bytes that are not a batch.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	batch := checkpoint.Batch{
		Agent: agent, BackendStart: backendStart, Epoch: epoch, To: 1, Opened: []checkpoint.Flow{{Key: key(1)}},
		Closed: []flow.Key{key(2)},
	}
	encoded := batch.Append(nil)

	for length := range len(encoded) {
		_, _, err := checkpoint.Parse(encoded[:length])
		is.True(err != nil)
	}

	random := rand.New(rand.NewPCG(1, 0))

	for range 10_000 {
		damaged := append([]byte(nil), encoded...)
		damaged[random.IntN(len(damaged))] ^= byte(1 + random.IntN(255))

		// Any result but a panic is correct: the checksums of frames detect damage.
		_, err := checkpoint.Restore(damaged)
		_ = err
	}
}
