package claim

import (
	"container/list"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// tombstoneAge is how long a released claim is kept. It outlives every copy of
// the Grant that it overtook.
const tombstoneAge = 10 * time.Second

// DefaultCapacity is the number of records of a store. It is enough for 27
// claims a second at each holder with a retention of 10 minutes, in at most
// 70 MB.
const DefaultCapacity = 1 << 14

// record is what a seat knows of a key.
type record struct {
	seat      view.Incarnation
	key       Key
	execution Execution
	status    Status // Granted, Completed or Released
	answer    Answer
	since     time.Time // of the grant
}

// place identifies a record.
type place struct {
	seat view.Incarnation
	key  Key
}

func (r *record) place() place { return place{seat: r.seat, key: r.key} }

// Store holds the claims of one agent: those of its own seat and of the seats
// it took over. It holds at most a fixed number of records of at most MaxAnswer
// plus MaxToken bytes each.
type Store struct {
	retention time.Duration
	capacity  int
	records   map[place]*list.Element
	order     *list.List // of *record, oldest grant first
	released  *list.List // of *record, oldest release first
	seats     map[view.Incarnation]bool
	moved     map[view.Incarnation]view.Incarnation
}

// NewStore returns an empty store that answers for the agent's own seat. It
// keeps a claim for the retention after the latest possible hand-over.
func NewStore(own view.Incarnation, retention time.Duration, capacity int) *Store {
	return &Store{
		retention: retention + HandOverLimit,
		capacity:  capacity,
		records:   make(map[place]*list.Element),
		order:     list.New(),
		released:  list.New(),
		seats:     map[view.Incarnation]bool{own: true},
		moved:     make(map[view.Incarnation]view.Incarnation),
	}
}

// Handle answers a request of a claimant.
func (s *Store) Handle(now time.Time, request Request) Reply {
	s.Expire(now)

	reply := Reply{Seat: request.Seat, Key: request.Key, Execution: request.Execution, Verb: request.Verb}

	if successor, ok := s.moved[request.Seat]; ok {
		reply.Status = Moved
		reply.Successor = successor

		return reply
	}

	if !s.seats[request.Seat] {
		reply.Status = Unseated

		return reply
	}

	at := place{seat: request.Seat, key: request.Key}

	switch request.Verb {
	case Grant:
		s.grant(now, at, request.Execution)
	case Complete:
		s.complete(now, at, request.Execution, request.Answer)
	case Release:
		s.release(now, at, request.Execution)
	case Lookup:
	}

	s.describe(&reply, at)

	return reply
}

// describe sets the status of the key as the execution that asked sees it.
func (s *Store) describe(reply *Reply, at place) {
	r := s.find(at)

	switch {
	case r == nil && len(s.records) >= s.capacity:
		reply.Status = Full
	case r == nil:
		reply.Status = Free
	case r.status == Completed:
		reply.Status = Completed
		reply.Owner = r.execution
		reply.Answer = r.answer
	case r.status == Released && r.execution == reply.Execution:
		reply.Status = Released
	case r.status == Released:
		reply.Status = Free
	case r.execution == reply.Execution:
		reply.Status = Granted
	default:
		reply.Status = Held
		reply.Owner = r.execution
	}
}

// grant reserves a free key. A released key is free for other executions.
func (s *Store) grant(now time.Time, at place, execution Execution) {
	r := s.find(at)
	if r != nil && (r.status != Released || r.execution == execution) {
		return
	}

	s.put(&record{seat: at.seat, key: at.key, execution: execution, status: Granted, since: now})
}

// complete records that an execution has ended. Only an execution with a
// majority of every holder set runs, so it overrides a grant of another one.
func (s *Store) complete(now time.Time, at place, execution Execution, answer Answer) {
	r := s.find(at)

	switch {
	case r == nil || r.status == Released:
		s.put(&record{seat: at.seat, key: at.key, execution: execution, status: Completed, answer: answer, since: now})
	case r.status == Granted:
		r.status = Completed
		r.execution = execution
		r.answer = answer
	}
}

// release frees the key and leaves a tombstone, so that a late copy of the
// execution's Grant does not reserve the key again.
func (s *Store) release(now time.Time, at place, execution Execution) {
	r := s.find(at)
	if r != nil && (r.status != Granted || r.execution != execution) {
		return
	}

	s.put(&record{seat: at.seat, key: at.key, execution: execution, status: Released, since: now})
}

// put adds a record if there is room, in place of an earlier one of its key.
func (s *Store) put(r *record) {
	at := r.place()

	if earlier, ok := s.records[at]; ok {
		s.drop(earlier)
	}

	if len(s.records) >= s.capacity {
		return
	}

	s.records[at] = s.listOf(r).PushBack(r)
	invariant.Assert(len(s.records) <= s.capacity, "claim: the store is bounded",
		slog.Int("records", len(s.records)), slog.Int("capacity", s.capacity))
}

func (s *Store) find(at place) *record {
	element, ok := s.records[at]
	if !ok {
		return nil
	}

	return element.Value.(*record)
}

func (s *Store) drop(element *list.Element) {
	r := element.Value.(*record)
	delete(s.records, r.place())
	s.listOf(r).Remove(element)
}

// listOf returns the list that holds records of this status.
func (s *Store) listOf(r *record) *list.List {
	if r.status == Released {
		return s.released
	}

	return s.order
}

// Expire drops what is older than the retention.
func (s *Store) Expire(now time.Time) {
	s.expire(now, s.order, s.retention)
	s.expire(now, s.released, min(tombstoneAge, s.retention))
}

func (s *Store) expire(now time.Time, records *list.List, age time.Duration) {
	for element := records.Front(); element != nil; element = records.Front() {
		if now.Sub(element.Value.(*record).since) < age {
			return
		}

		s.drop(element)
	}
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// Transfer carries all claims of a seat to the agent that takes it over.
type Transfer struct {
	Seat    view.Incarnation `cbor:"1,keyasint"`
	Records []Record         `cbor:"2,keyasint"`
}

// Seats returns the seats that the store answers for.
func (s *Store) Seats() []view.Incarnation {
	seats := make([]view.Incarnation, 0, len(s.seats))
	for seat := range s.seats {
		seats = append(seats, seat)
	}

	return seats
}

// Export stops answering for the seat and returns its claims. From then on the
// store refers claimants to the successor. The seat has no holder until the
// successor has imported the transfer. Only if the successor is known to have
// refused it may the seat be taken back with Restore: two holders of one seat
// could grant a key twice.
func (s *Store) Export(now time.Time, seat, successor view.Incarnation) (Transfer, error) {
	s.Expire(now)

	if !s.seats[seat] {
		return Transfer{}, newError("export", KindSeat, errors.Errorf("seat %d is not held here", seat))
	}

	transfer := Transfer{Seat: seat}

	for _, records := range []*list.List{s.order, s.released} {
		for element := records.Front(); element != nil; {
			next := element.Next()

			if r := element.Value.(*record); r.seat == seat {
				transfer.Records = append(transfer.Records, Record{
					Key: r.key, Execution: r.execution, Status: r.status, Answer: r.answer, Age: now.Sub(r.since),
				})
				s.drop(element)
			}

			element = next
		}
	}

	delete(s.seats, seat)
	s.moved[seat] = successor

	return transfer, nil
}

// Restore takes back a seat whose transfer the successor refused.
func (s *Store) Restore(now time.Time, transfer Transfer) error {
	successor, ok := s.moved[transfer.Seat]
	if !ok {
		return newError("restore", KindSeat, errors.Errorf("seat %d has not left", transfer.Seat))
	}

	delete(s.moved, transfer.Seat)

	if err := s.Import(now, transfer); err != nil {
		s.moved[transfer.Seat] = successor

		return err
	}

	return nil
}

// Import takes a seat over. It refuses a transfer for which there is no room:
// dropping a claim early could let its request run twice. It also refuses a
// seat that has left this store, because the transfer may be an old copy.
func (s *Store) Import(now time.Time, transfer Transfer) error {
	s.Expire(now)

	if _, left := s.moved[transfer.Seat]; left || s.seats[transfer.Seat] {
		return newError("import", KindSeat, errors.Errorf("seat %d is or was held here", transfer.Seat))
	}

	if len(s.records)+len(transfer.Records) > s.capacity {
		return newError("import", KindLimit,
			errors.Errorf("%d claims, there is room for %d", len(transfer.Records), s.capacity-len(s.records)))
	}

	for _, r := range transfer.Records {
		s.insertByAge(&record{
			seat: transfer.Seat, key: r.Key, execution: r.Execution, status: r.Status, answer: r.Answer,
			since: now.Add(-max(r.Age, 0)),
		})
	}

	s.seats[transfer.Seat] = true

	return nil
}

// insertByAge inserts a record that is older than the newest ones.
func (s *Store) insertByAge(r *record) {
	target := s.listOf(r)

	after := target.Back()
	for after != nil && after.Value.(*record).since.After(r.since) {
		after = after.Prev()
	}

	if after == nil {
		s.records[r.place()] = target.PushFront(r)
	} else {
		s.records[r.place()] = target.InsertAfter(r, after)
	}
}
