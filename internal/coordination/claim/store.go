package claim

import (
	"container/list"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// tombstoneTTL is how long the record of a released claim is kept. It exceeds
// the time for which copies of the claim's Grant can arrive after its Release.
const tombstoneTTL = 10 * time.Second

// DefaultCapacity is the number of records of a store in the claim benchmarks. It is
// enough for 27 claims a second at each holder with a retention of 10 minutes, in at
// most 70 MB.
const DefaultCapacity = 1 << 14

// record is the state of a key at a seat.
type record struct {
	seat      view.Incarnation
	key       Key
	execution Execution
	status    Status // Granted, Completed or Released
	answer    Answer
	createdAt time.Time // the time of the grant, or of the release or completion without one
}

// recordID identifies a record.
type recordID struct {
	seat view.Incarnation
	key  Key
}

// encode returns the record as it is sent to another store.
func (r *record) encode(now time.Time) Record {
	return Record{Key: r.key, Execution: r.execution, Status: r.status, Answer: r.answer, Age: now.Sub(r.createdAt)}
}

func (r *record) id() recordID { return recordID{seat: r.seat, key: r.key} }

// Store holds the claims at the seats of one agent: its own seat and those that
// it took over. The number of records is limited, and each of them holds at most
// MaxAnswer plus MaxToken bytes.
type Store struct {
	retention     time.Duration
	capacity      int
	records       map[recordID]*list.Element
	byGrantTime   *list.List // of *record with status Granted or Completed, oldest first
	byReleaseTime *list.List // of *record with status Released, oldest first
	seats         map[view.Incarnation]bool
	successors    map[view.Incarnation]view.Incarnation
	seal          Seal      // see Seal; the zero value asks for nothing
	sealedAt      time.Time // when this store got the seal
	sealTTL       time.Duration
}

// NewStore returns an empty store that answers for the agent's own seat. It
// keeps a claim for the retention after the latest possible hand-over. An agent
// that has been isolated for longer than maxUnconfirmed claims nothing before it
// has learned the memberships of its siblings.
func NewStore(own view.Incarnation, retention, maxUnconfirmed time.Duration, capacity int) *Store {
	return &Store{
		retention:     retention + HandOverLimit,
		sealTTL:       window(retention, maxUnconfirmed),
		capacity:      capacity,
		records:       make(map[recordID]*list.Element),
		byGrantTime:   list.New(),
		byReleaseTime: list.New(),
		seats:         map[view.Incarnation]bool{own: true},
		successors:    make(map[view.Incarnation]view.Incarnation),
	}
}

// Handle answers a request of a claimant.
func (s *Store) Handle(now time.Time, request Request) Reply {
	s.Expire(now)

	reply := Reply{Seat: request.Seat, Key: request.Key, Execution: request.Execution, Verb: request.Verb}

	if successor, ok := s.successors[request.Seat]; ok {
		reply.Status = Moved
		reply.Successor = successor

		return reply
	}

	if !s.seats[request.Seat] {
		reply.Status = NotHolder

		return reply
	}

	id := recordID{seat: request.Seat, key: request.Key}

	if request.Verb == Grant && request.Sealed.Less(s.seal.Position) && s.isFree(id, request.Execution) {
		seal := s.seal
		reply.Status = Sealed
		reply.Seal = &seal

		return reply
	}

	switch request.Verb {
	case Grant:
		s.grant(now, id, request.Execution)
	case Complete:
		s.complete(now, id, request.Execution, request.Answer)
	case Release:
		s.release(now, id, request.Execution)
	case Lookup:
	}

	s.setStatus(&reply, id)

	return reply
}

// setStatus fills the reply with the state of the key from the point of view of
// the requesting execution.
func (s *Store) setStatus(reply *Reply, id recordID) {
	r := s.find(id)

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
func (s *Store) grant(now time.Time, id recordID, execution Execution) {
	if !s.isFree(id, execution) {
		return
	}

	s.put(&record{seat: id.seat, key: id.key, execution: execution, status: Granted, createdAt: now})
}

// isFree reports whether the key can be granted to the execution.
func (s *Store) isFree(id recordID, execution Execution) bool {
	r := s.find(id)

	return r == nil || (r.status == Released && r.execution != execution)
}

// complete records that an execution has ended. It overrides a grant to another
// execution, because only an execution with a majority of every holder set runs.
func (s *Store) complete(now time.Time, id recordID, execution Execution, answer Answer) {
	r := s.find(id)

	switch {
	case r == nil || r.status == Released:
		s.put(&record{seat: id.seat, key: id.key, execution: execution, status: Completed, answer: answer, createdAt: now})
	case r.status == Granted:
		r.status = Completed
		r.execution = execution
		r.answer = answer
	}
}

// release frees the key and leaves a tombstone, so that a late copy of the
// execution's Grant does not reserve the key again.
func (s *Store) release(now time.Time, id recordID, execution Execution) {
	r := s.find(id)
	if r != nil && (r.status != Granted || r.execution != execution) {
		return
	}

	s.put(&record{seat: id.seat, key: id.key, execution: execution, status: Released, createdAt: now})
}

// put replaces the record of the same seat and key, or adds a record if there is
// room.
func (s *Store) put(r *record) {
	id := r.id()

	if existing, ok := s.records[id]; ok {
		s.drop(existing)
	}

	if len(s.records) >= s.capacity {
		return
	}

	s.records[id] = s.listOf(r).PushBack(r)
	invariant.Assert(len(s.records) <= s.capacity, "claim: the store is bounded",
		slog.Int("records", len(s.records)), slog.Int("capacity", s.capacity))
}

func (s *Store) find(id recordID) *record {
	element, ok := s.records[id]
	if !ok {
		return nil
	}

	return element.Value.(*record)
}

func (s *Store) drop(element *list.Element) {
	r := element.Value.(*record)
	delete(s.records, r.id())
	s.listOf(r).Remove(element)
}

// listOf returns the list that holds records of this status.
func (s *Store) listOf(r *record) *list.List {
	if r.status == Released {
		return s.byReleaseTime
	}

	return s.byGrantTime
}

// Expire drops claims that are older than the retention, tombstones that are
// older than tombstoneTTL, and a seal that every history has learned or trimmed.
func (s *Store) Expire(now time.Time) {
	if now.Sub(s.sealedAt) > s.sealTTL {
		s.seal = Seal{}
	}

	s.expire(now, s.byGrantTime, s.retention)
	s.expire(now, s.byReleaseTime, min(tombstoneTTL, s.retention))
}

func (s *Store) expire(now time.Time, records *list.List, ttl time.Duration) {
	for element := records.Front(); element != nil; element = records.Front() {
		if now.Sub(element.Value.(*record).createdAt) < ttl {
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
	Seal    *Seal            `cbor:"3,keyasint,omitempty"` // of the store that held the seat
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
// store refers claimants to the successor. No agent answers for the seat until
// the successor has imported the transfer. Restore may take the seat back only
// if the successor is known to have refused the transfer, because two agents
// that answer for one seat could grant a key twice.
func (s *Store) Export(now time.Time, seat, successor view.Incarnation) (Transfer, error) {
	s.Expire(now)

	if !s.seats[seat] {
		return Transfer{}, newError("export", KindSeat, errors.Errorf("the store does not hold seat %d", seat))
	}

	transfer := Transfer{Seat: seat}
	if seal := s.seal; len(seal.Members) > 0 {
		transfer.Seal = &seal
	}

	for _, records := range []*list.List{s.byGrantTime, s.byReleaseTime} {
		for element := records.Front(); element != nil; {
			next := element.Next()

			if r := element.Value.(*record); r.seat == seat {
				transfer.Records = append(transfer.Records, r.encode(now))
				s.drop(element)
			}

			element = next
		}
	}

	delete(s.seats, seat)
	s.successors[seat] = successor

	return transfer, nil
}

// Restore takes back a seat whose transfer the successor refused.
func (s *Store) Restore(now time.Time, transfer Transfer) error {
	successor, ok := s.successors[transfer.Seat]
	if !ok {
		return newError("restore", KindSeat, errors.Errorf("seat %d was not exported", transfer.Seat))
	}

	delete(s.successors, transfer.Seat)

	if err := s.Import(now, transfer); err != nil {
		s.successors[transfer.Seat] = successor

		return err
	}

	return nil
}

// Import takes over a seat. It refuses a transfer for which there is no room,
// because a claim that is dropped early could let its request run twice. It also
// refuses a seat that this store has exported, because the transfer may be an
// old copy.
func (s *Store) Import(now time.Time, transfer Transfer) error {
	s.Expire(now)

	if _, left := s.successors[transfer.Seat]; left || s.seats[transfer.Seat] {
		return newError("import", KindSeat, errors.Errorf("the store holds or has exported seat %d", transfer.Seat))
	}

	if err := s.checkRoom("import", len(transfer.Records)); err != nil {
		return err
	}

	for _, r := range transfer.Records {
		s.insertByAge(&record{
			seat: transfer.Seat, key: r.Key, execution: r.Execution, status: r.Status, answer: r.Answer,
			createdAt: now.Add(-max(r.Age, 0)),
		})
	}

	s.seats[transfer.Seat] = true

	if transfer.Seal != nil {
		s.Seal(now, *transfer.Seal)
	}

	return nil
}

func (s *Store) checkRoom(operation string, added int) error {
	if len(s.records)+added > s.capacity {
		return newError(operation, KindLimit,
			errors.Errorf("%d claims, there is room for %d", added, s.capacity-len(s.records)))
	}

	return nil
}

// insertByAge inserts a record into its list, which is sorted by creation time.
func (s *Store) insertByAge(r *record) {
	target := s.listOf(r)

	predecessor := target.Back()
	for predecessor != nil && predecessor.Value.(*record).createdAt.After(r.createdAt) {
		predecessor = predecessor.Prev()
	}

	if predecessor == nil {
		s.records[r.id()] = target.PushFront(r)
	} else {
		s.records[r.id()] = target.InsertAfter(r, predecessor)
	}
}
