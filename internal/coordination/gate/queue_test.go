package gate_test

import (
	"container/heap"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
)

const (
	aim     = 120 * time.Millisecond
	timeout = 2 * time.Second
)

// urgent and normal are the addresses of two routes to the same service.
var (
	urgent = flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 80}
	normal = key.Service
)

// shop is a gate with a backend server of some slots, and flows that are open.
type shop struct {
	*testing.T
	is   *is.I
	now  time.Time
	gate *gate.Gate
	ends map[flow.Key]uint32 // sequence numbers behind the requests so far
}

func newShop(t *testing.T, slots uint16) *shop {
	t.Helper()

	s := &shop{T: t, is: is.New(t), now: start, ends: make(map[flow.Key]uint32)}
	s.gate = gate.New(gate.Config{Service: "desk", Boot: start, ReportInterval: time.Hour}, func(time.Duration) {})

	table, err := route.New(&route.Document{Version: 1, Services: []string{"desk"}, Routes: []route.Route{
		{
			Name: "urgent", Address: urgent.AddrPort(), Timeout: timeout, Aim: aim, Priority: 1,
			Targets: []route.Target{{Service: "desk", Weight: 1}},
		},
		{
			Name: "normal", Address: normal.AddrPort(), Timeout: timeout, Aim: aim, Priority: 2,
			Targets: []route.Target{{Service: "desk", Weight: 1}},
		},
	}})
	s.is.NoErr(err)
	s.gate.Follow(table)

	r := report(start, 1)
	r.Slots = slots
	_, err = s.gate.Report(s.now, r)
	s.is.NoErr(err)

	return s
}

func client(number int, service flow.Endpoint) flow.Key {
	return flow.Key{
		Client:  flow.Endpoint{IP: [4]byte{192, 0, byte(number >> 8), byte(number)}, Port: 40_000},
		Service: service,
	}
}

func header(key flow.Key, h flow.Header) flow.Header {
	h.Source, h.Destination = key.Client, key.Service

	return h
}

func (s *shop) fromClient(key flow.Key, h flow.Header) gate.Kind {
	return s.gate.FromClient(s.now, forwarder, header(key, h), []byte(key.String())).Kind
}

func (s *shop) fromBackend(key flow.Key, h flow.Header) {
	h.Source, h.Destination = key.Service, key.Client
	s.gate.FromBackend(s.now, h)
}

// ask opens a flow if need be, and sends a request on it. It reports whether the
// request was handed over at once.
func (s *shop) ask(key flow.Key) bool {
	if _, ok := s.ends[key]; !ok {
		s.fromClient(key, opens)
		s.fromBackend(key, accepts)
	}

	request := flow.Header{Acks: true, Sequence: s.ends[key], Length: 100}
	s.ends[key] = request.End()

	return s.fromClient(key, request) == gate.Deliver
}

// answer lets the backend server answer, and returns the clients whose requests
// get the slot.
func (s *shop) answer(key flow.Key) []flow.Key {
	s.fromBackend(key, answer)

	return s.started()
}

func (s *shop) started() []flow.Key {
	var keys []flow.Key

	for _, started := range s.gate.Start(s.now) {
		s.is.True(len(started.Packets) > 0)
		keys = append(keys, started.Key)
	}

	return keys
}

// TestSlots guards against requests that wait although a slot is free, that run
// beyond the slots, and that are lost while they wait.
func TestSlots(t *testing.T) {
	s := newShop(t, 2)
	a, b, c := client(1, normal), client(2, normal), client(3, normal)

	s.is.True(s.ask(a))
	s.is.True(s.ask(b))
	s.is.True(!s.ask(c))
	s.is.Equal(len(s.started()), 0)
	s.is.Equal(s.answer(a), []flow.Key{c})
	s.is.Equal(len(s.answer(b)), 0)
	s.is.True(s.ask(a))
}

// TestRepeated guards against a repeated packet that counts as another request:
// its slot would stay taken, and the next requests would wait and be repeated in
// turn.
func TestRepeated(t *testing.T) {
	s := newShop(t, 1)
	a, b := client(1, normal), client(2, normal)

	s.is.True(s.ask(a))
	s.is.True(!s.ask(b))

	repeated := flow.Header{Acks: true, Length: 100}
	s.is.Equal(s.fromClient(b, repeated), gate.Hold)
	s.is.Equal(s.answer(a), []flow.Key{b})
	s.is.Equal(len(s.answer(b)), 0)

	s.is.Equal(s.fromClient(b, repeated), gate.Deliver) // the backend server acknowledges it
	s.is.True(s.ask(a))
}

// TestLeft guards against work for clients that have left: it would take slots
// from others, and a request that must not be repeated would run unseen.
func TestLeft(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		s := newShop(t, 1)
		a, b := client(1, normal), client(2, normal)
		s.ask(a)
		s.ask(b)
		s.fromClient(b, flow.Header{Reset: true})
		s.is.Equal(len(s.answer(a)), 0)
	})

	t.Run("close", func(t *testing.T) {
		s := newShop(t, 1)
		a, b := client(1, normal), client(2, normal)
		s.ask(a)
		s.ask(b)

		s.is.Equal(s.fromClient(b, flow.Header{Acks: true, Sequence: 100, Close: true}), gate.Drop)
		s.is.Equal(len(s.answer(a)), 0)
		s.is.Equal(s.fromClient(b, flow.Header{Acks: true, Length: 100}), gate.Drop) // repeated
		s.is.Equal(s.gate.Counters().Abandoned, uint64(1))
		s.is.Equal(s.gate.Load(s.now).Waiting, uint16(0))

		// The client opens another flow from the same port.
		s.is.Equal(s.fromClient(b, opens), gate.Deliver)
		s.fromBackend(b, accepts)
		s.is.Equal(s.fromClient(b, flow.Header{Acks: true, Sequence: 5000, Length: 100}), gate.Deliver)
	})

	t.Run("close while it runs", func(t *testing.T) {
		s := newShop(t, 1)
		a, b := client(1, normal), client(2, normal)
		s.ask(a)
		s.ask(b)
		s.fromClient(a, flow.Header{Acks: true, Sequence: 100, Close: true})
		s.is.Equal(s.started(), []flow.Key{b})
	})

	t.Run("timeout", func(t *testing.T) {
		s := newShop(t, 1)
		a, b, c := client(1, normal), client(2, normal), client(3, normal)
		s.ask(a)
		s.ask(b)

		s.now = s.now.Add(timeout)
		s.ask(c)
		s.now = s.now.Add(timeout / 2)
		s.is.Equal(s.started(), []flow.Key{c}) // nobody knows that b is not wanted any more
		s.is.Equal(s.answer(c), []flow.Key{b})
	})
}

// TestNoAnswer guards against slots that are taken for good by requests whose
// answers never come.
func TestNoAnswer(t *testing.T) {
	s := newShop(t, 1)
	a, b := client(1, normal), client(2, normal)
	s.ask(a)
	s.ask(b)

	s.now = s.now.Add(600 * time.Millisecond)
	s.is.Equal(s.started(), []flow.Key{b})
}

// TestOrder guards against urgent work that waits behind other work, and against
// other work that never runs while urgent work floods in.
func TestOrder(t *testing.T) {
	s := newShop(t, 1)
	running := client(0, urgent)
	s.ask(running)

	for number := 1; number <= 8; number++ {
		s.ask(client(number, urgent))
	}

	s.ask(client(9, normal))

	var order []flow.Endpoint

	for range 5 {
		next := s.answer(running)
		s.is.Equal(len(next), 1)

		running = next[0]
		order = append(order, running.Service)
	}

	s.is.Equal(order, []flow.Endpoint{urgent, urgent, urgent, normal, urgent})
}

// arrival is a request of the replayed load.
type arrival struct {
	at  time.Duration
	key flow.Key
}

// finish is a request that the backend server works on.
type finish struct {
	at  time.Duration
	key flow.Key
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }

func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]

	return last
}

// replay plays arrivals against a backend server that takes the given time for
// each request, and returns how long each of them waited for its answer.
func (s *shop) replay(arrivals []arrival, work time.Duration) map[flow.Key]time.Duration {
	var running finishes

	begun, took := map[flow.Key]time.Duration{}, map[flow.Key]time.Duration{}
	begin := func(at time.Duration, key flow.Key) { heap.Push(&running, finish{at: at + work, key: key}) }

	for len(arrivals) > 0 || len(running) > 0 {
		if len(running) == 0 || (len(arrivals) > 0 && arrivals[0].at <= running[0].at) {
			next := arrivals[0]
			arrivals = arrivals[1:]
			s.now = start.Add(next.at)
			begun[next.key] = next.at

			if s.ask(next.key) {
				begin(next.at, next.key)
			}

			continue
		}

		done, _ := heap.Pop(&running).(finish)
		s.now = start.Add(done.at)
		took[done.key] = done.at - begun[done.key]

		for _, key := range s.answer(done.key) {
			begin(done.at, key)
		}
	}

	return took
}

// TestBacklog replays the moment after the loss of all instances: clients repeat
// what they have waited with, new requests arrive at 70% of what the backend
// server can do, and it is cold. In the order of arrival every request of the
// next second waits for the whole backlog. The target of the deployments is a
// worth of 0.88 on days with trouble.
func TestBacklog(t *testing.T) {
	const (
		slots   = 3
		work    = 38 * time.Millisecond // 24 ms on average, 1.6 times as long while cold
		backlog = 80
		every   = 18 * time.Millisecond
		fresh   = 110
		target  = 0.88
	)

	var arrivals []arrival

	for number := range backlog {
		arrivals = append(arrivals, arrival{at: time.Duration(number) * time.Millisecond, key: client(number, normal)})
	}

	for number := range fresh {
		arrivals = append(arrivals, arrival{
			at: backlog*time.Millisecond + time.Duration(number)*every, key: client(backlog+number, normal),
		})
	}

	took := newShop(t, slots).replay(arrivals, work)

	punctual, inOrder := 0, 0

	for number := range fresh {
		key := client(backlog+number, normal)
		if waited, ok := took[key]; ok && waited <= aim {
			punctual++
		}

		// In the order of arrival the request starts when all before it have run.
		started := time.Duration((backlog+number)/slots) * work
		if started+work-arrivals[backlog+number].at <= aim {
			inOrder++
		}
	}

	t.Logf("%d of %d new requests meet their aim, %d in the order of arrival", punctual, fresh, inOrder)

	if share := float64(punctual) / fresh; share < target {
		t.Fatalf("%.2f of the new requests met their aim, the target is %.2f", share, target)
	}
}
