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
	start      = time.Unix(1_000_000, 0)
	agent      = flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7000}
	controller = flow.Endpoint{IP: [4]byte{10, 0, 1, 1}, Port: 7300}
	other      = flow.Endpoint{IP: [4]byte{10, 0, 1, 2}, Port: 7300}
)

const (
	born  = 1_700_000_000_000
	epoch = 7
)

func key(number int) flow.Key {
	return flow.Key{
		Client:  flow.Endpoint{IP: [4]byte{192, 0, byte(number >> 8), byte(number)}, Port: 40_000},
		Service: flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443},
	}
}

// flows returns flows by number, each with what its client has acknowledged.
func flows(numbers ...int) map[flow.Key]uint32 {
	found := make(map[flow.Key]uint32, len(numbers))
	for _, number := range numbers {
		found[key(number)] = uint32(number)
	}

	return found
}

// pass sends a controller what it lacks and passes its answer back.
func pass(t *testing.T, tracker *checkpoint.Tracker, to flow.Endpoint, store *checkpoint.Store) {
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

// holds checks what a controller remembers.
func holds(t *testing.T, store *checkpoint.Store, want map[flow.Key]uint32) {
	t.Helper()

	memory, err := checkpoint.Restore(store.Recall(agent))
	is.New(t).NoErr(err)

	found := make(map[flow.Key]uint32, len(memory.Flows))
	for _, remembered := range memory.Flows {
		found[remembered.Key] = remembered.Acknowledged
	}

	is.New(t).Equal(found, want)
}

// TestChanges guards against controllers that miss flows or keep ones that have
// ended.
func TestChanges(t *testing.T) {
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

	for _, step := range []map[flow.Key]uint32{
		flows(1, 2), flows(1, 2, 3), flows(2, 3), flows(2, 4), flows(), flows(5),
	} {
		tracker.Observe(born, step)
		pass(t, tracker, controller, store)
		holds(t, store, step)
		tracker.Forget([]flow.Endpoint{controller})
	}

	_, lacks := tracker.Batch(controller)
	is.New(t).True(!lacks)
}

// TestProgress guards against resets that a client ignores, because it has
// acknowledged much more since the checkpoint, and against a message for every
// acknowledgement.
func TestProgress(t *testing.T) {
	is := is.New(t)
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

	tracker.Observe(born, map[flow.Key]uint32{key(1): 100})
	pass(t, tracker, controller, store)

	tracker.Observe(born, map[flow.Key]uint32{key(1): 2100})
	_, lacks := tracker.Batch(controller)
	is.True(!lacks)

	tracker.Observe(born, map[flow.Key]uint32{key(1): 40_000})
	pass(t, tracker, controller, store)
	holds(t, store, map[flow.Key]uint32{key(1): 40_000})
}

// TestLostMessages guards against controllers that stay behind after messages
// were lost, in either direction, or after the agent or they have started anew.
func TestLostMessages(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	tracker := checkpoint.NewTracker(agent, epoch)
	stores := map[flow.Endpoint]*checkpoint.Store{controller: checkpoint.NewStore(), other: checkpoint.NewStore()}
	present := map[flow.Key]uint32{}
	starts, agentStarts := int64(born), uint64(epoch)

	for step := range 2000 {
		for range 3 {
			if number := random.IntN(40); random.IntN(2) == 0 {
				present[key(number)] = uint32(step) << 16
			} else {
				delete(present, key(number))
			}
		}

		switch random.IntN(100) {
		case 0: // the backend server starts anew
			starts++

			clear(present)
		case 1: // the agent starts anew
			agentStarts++
			tracker = checkpoint.NewTracker(agent, agentStarts)
		case 2:
			stores[other] = checkpoint.NewStore()
		}

		tracker.Observe(starts, present)

		for to, store := range stores {
			batch, ok := tracker.Batch(to)
			if !ok || random.IntN(3) == 0 {
				continue // lost
			}

			encoded := batch.Append(nil)
			ack, _ := store.Apply(start, batch, encoded)

			if random.IntN(3) > 0 {
				tracker.Acknowledge(to, ack)
			}
		}

		tracker.Forget([]flow.Endpoint{controller, other})
	}

	for to, store := range stores {
		for range 5 {
			pass(t, tracker, to, store)
		}

		memory, err := checkpoint.Restore(store.Recall(agent))
		is.New(t).NoErr(err)
		is.New(t).Equal(memory.Born, starts)
		is.New(t).Equal(len(memory.Flows), len(present))
	}
}

// TestClockSetBack guards against an agent that is not remembered any more after
// it has started again with a clock that was set back.
func TestClockSetBack(t *testing.T) {
	store := checkpoint.NewStore()

	before := checkpoint.NewTracker(agent, epoch)
	before.Observe(born, flows(1))
	pass(t, before, controller, store)

	after := checkpoint.NewTracker(agent, epoch-1)
	after.Observe(born, flows(2))
	pass(t, after, controller, store)
	holds(t, store, flows(1))
	pass(t, after, controller, store)
	holds(t, store, flows(2))
}

// TestLateBatches guards against batches of an earlier start that arrive late.
func TestLateBatches(t *testing.T) {
	is := is.New(t)
	store := checkpoint.NewStore()

	apply := func(batch checkpoint.Batch) bool {
		_, applied := store.Apply(start, batch, batch.Append(nil))

		return applied
	}

	newer := checkpoint.Batch{
		Agent: agent, Born: born + 1, Epoch: epoch + 1, To: 5, Opened: []checkpoint.Flow{{Key: key(1), Acknowledged: 1}},
	}
	is.True(apply(newer))
	is.True(!apply(newer)) // repeated
	is.True(!apply(checkpoint.Batch{Agent: agent, Born: born, Epoch: epoch, To: 99}))
	is.True(!apply(checkpoint.Batch{Agent: agent, Born: born + 1, Epoch: epoch, To: 99}))
	is.True(!apply(checkpoint.Batch{Agent: agent, Born: born + 1, Epoch: epoch + 1, From: 6, To: 7})) // a gap
	holds(t, store, flows(1))
}

// TestExpire guards against old flows that a controller still tells of when an
// agent comes back, and against memory that only grows.
func TestExpire(t *testing.T) {
	is := is.New(t)
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()
	tracker.Observe(born, flows(1))
	pass(t, tracker, controller, store)

	store.Touch(start.Add(time.Minute), agent)
	store.Expire(start.Add(2 * time.Minute))
	holds(t, store, flows(1))

	store.Expire(start.Add(3 * time.Minute))
	holds(t, store, flows())
	is.Equal(store.Bytes(), 0)
}

// TestGrowth guards against batches that pile up: the controller asks for all
// flows anew.
func TestGrowth(t *testing.T) {
	tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

	most := 0

	for number := range 5000 {
		tracker.Observe(born, flows(number, number+1))
		pass(t, tracker, controller, store)
		tracker.Forget([]flow.Endpoint{controller})
		most = max(most, store.Bytes())
	}

	is.New(t).True(most < 8<<10)
	holds(t, store, flows(4999, 5000))
}

// TestCrashes guards against checkpoints that a loss of power takes with it, and
// against a torn file that keeps a controller from starting.
func TestCrashes(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := disk.New(random)
		tracker, store := checkpoint.NewTracker(agent, epoch), checkpoint.NewStore()

		file, err := checkpoint.OpenFile(start, d, "flows", store)
		is.New(t).NoErr(err)

		saved := map[flow.Key]uint32{}

		for step := range random.IntN(60) {
			tracker.Observe(born, flows(step, step+1, step+2))

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

		read := checkpoint.NewStore()
		_, err = checkpoint.OpenFile(start, d, "flows", read)
		is.New(t).NoErr(err)
		holds(t, read, saved)
	}
}

// TestFullDisk guards against errors of the disk that are taken for success.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	d := disk.New(rand.New(rand.NewPCG(1, 0)))
	store := checkpoint.NewStore()

	file, err := checkpoint.OpenFile(start, d, "flows", store)
	is.NoErr(err)
	d.Limit(10)

	batch := checkpoint.Batch{Agent: agent, Born: born, Epoch: epoch, To: 1, Opened: []checkpoint.Flow{{Key: key(1)}}}
	is.True(file.Append(batch.Append(nil)) != nil)
	is.True(file.Rewrite(store) == nil) // nothing is kept, so there is nothing to write
}

// TestMalformed guards against a crash by bytes that are no batch.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	batch := checkpoint.Batch{
		Agent: agent, Born: born, Epoch: epoch, To: 1, Opened: []checkpoint.Flow{{Key: key(1)}},
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

		// Any outcome but a crash is fine: frames have checksums.
		_, err := checkpoint.Restore(damaged)
		_ = err
	}
}
