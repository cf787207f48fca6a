package claim

import (
	"cmp"
	"slices"
	"time"

	"jayspindle/internal/state/view"
)

// Seal identifies the membership that claims have to include once an earlier
// membership has lost a holder.
type Seal struct {
	Position view.Position `cbor:"1,keyasint"`
	Members  []Member      `cbor:"2,keyasint"` // in ascending order of incarnation
}

// Closing states that the holders in the membership of its seal know every claim
// that the seats hold or held. A majority of these seats therefore no longer has
// to be asked for the memberships before the seal.
type Closing struct {
	Seal  Seal               `cbor:"1,keyasint"`
	Seats []view.Incarnation `cbor:"2,keyasint"`
}

// Check returns an error if the members are missing or not in ascending order.
func (s *Seal) Check() error {
	record := MembershipRecord{Position: s.Position, Members: s.Members}

	return (&HistorySnapshot{Memberships: []MembershipRecord{record}}).Check()
}

// Check returns an error if the seal is not valid.
func (c *Closing) Check() error { return c.Seal.Check() }

// LostHolder returns the membership in force and since when it has been observed,
// if a holder of an earlier membership has left without moving its seat. It
// returns false if that membership has been closed already.
func (h *History) LostHolder() (seal Seal, since time.Time, lost bool) {
	if len(h.memberships) == 0 {
		return Seal{}, time.Time{}, false
	}

	newest := h.memberships[len(h.memberships)-1]
	seal = Seal{Position: newest.position, Members: newest.members}

	for _, m := range h.memberships[:len(h.memberships)-1] {
		if h.closedAfter(m.position) {
			continue
		}

		if slices.ContainsFunc(m.members, func(member Member) bool { return !h.present[h.Holder(member.Incarnation)] }) {
			return seal, newest.observedAt, true
		}
	}

	return seal, newest.observedAt, false
}

// ClosingAt returns the closing of the memberships before a position.
func (h *History) ClosingAt(position view.Position) (Closing, bool) {
	at := slices.IndexFunc(h.closings, func(c Closing) bool { return c.Seal.Position == position })
	if at < 0 {
		return Closing{}, false
	}

	return h.closings[at], true
}

// AcceptSeal records a seal and reports whether its membership is in force here too.
func (h *History) AcceptSeal(seal Seal) bool {
	last := len(h.memberships) - 1
	if last < 0 || !slices.Equal(h.memberships[last].members, seal.Members) {
		return false
	}

	// Views in between may have been skipped here, so that the same members are
	// known under an earlier position.
	if h.memberships[last].position.Less(seal.Position) {
		h.memberships[last].position = seal.Position
	}

	h.raiseSeal(seal.Position)

	return true
}

// LearnSeal adds the membership of a seal, so that claims include it.
func (h *History) LearnSeal(now time.Time, seal Seal) {
	h.insert(now, MembershipRecord{Position: seal.Position, Members: seal.Members})
	h.raiseSeal(seal.Position)
}

// Close adds a closing.
func (h *History) Close(now time.Time, closing Closing) {
	if _, known := h.ClosingAt(closing.Seal.Position); known {
		return
	}

	h.LearnSeal(now, closing.Seal)
	h.closings = append(h.closings, closing)
	slices.SortFunc(h.closings, func(a, b Closing) int {
		return cmp.Or(
			cmp.Compare(a.Seal.Position.Generation, b.Seal.Position.Generation),
			cmp.Compare(a.Seal.Position.Index, b.Seal.Position.Index),
		)
	})
}

func (h *History) raiseSeal(position view.Position) {
	if h.sealed.Less(position) {
		h.sealed = position
	}
}

func (h *History) closedAfter(position view.Position) bool {
	return slices.ContainsFunc(h.closings, func(c Closing) bool { return position.Less(c.Seal.Position) })
}

// trimClosings drops the closings that no membership of the window precedes.
func (h *History) trimClosings() {
	oldest := h.memberships[0].position
	h.closings = slices.DeleteFunc(h.closings, func(c Closing) bool { return !oldest.Less(c.Seal.Position) })
}

// openSince returns the position from which on memberships have to be asked for
// the key: that of the newest seal whose closing covers a majority of the holders
// of each membership since the one before.
func (h *History) openSince(holders [][]view.Incarnation) view.Position {
	var open view.Position

	for _, closing := range h.closings {
		covered := true

		for i, m := range h.memberships {
			if m.position.Less(open) || !m.position.Less(closing.Seal.Position) {
				continue
			}

			known := 0

			for _, seat := range holders[i] {
				if slices.Contains(closing.Seats, seat) {
					known++
				}
			}

			covered = covered && known >= majority(holders[i])
		}

		if covered {
			open = closing.Seal.Position
		}
	}

	return open
}

// Seal makes the store grant free keys only to claimants that know the seal, and
// therefore ask the holders in its membership too.
func (s *Store) Seal(now time.Time, seal Seal) {
	if s.seal.Position.Less(seal.Position) {
		s.seal = seal
		s.sealedAt = now
	}
}

// SealedBy reports whether the seal is the newest one of the store.
func (s *Store) SealedBy(seal Seal) bool {
	return s.seal.Position == seal.Position && len(s.seal.Members) > 0
}

// Carry returns the claims of all seats of the store, for each holder in a
// membership those of its keys, and the seats. The claims remain in the store.
func (s *Store) Carry(now time.Time, members []Member) (map[view.Incarnation][]Record, []view.Incarnation) {
	s.Expire(now)

	carried := make(map[view.Incarnation][]Record)

	for element := s.byGrantTime.Front(); element != nil; element = element.Next() {
		r := element.Value.(*record)

		for _, holder := range holdersOf(members, r.key) {
			carried[holder] = append(carried[holder], r.encode(now))
		}
	}

	return carried, s.Seats()
}

// Adopt adds claims of other holders to a seat of the store. It adds none of them
// if there is no room for all.
//
// A key that two executions hold is marked as having an unknown outcome: either
// of them may have run, and neither may be granted again.
func (s *Store) Adopt(now time.Time, seat view.Incarnation, records []Record) error {
	s.Expire(now)

	missing := 0

	for _, r := range records {
		if s.find(recordID{seat: seat, key: r.Key}) == nil {
			missing++
		}
	}

	if err := s.checkRoom("adopt", missing); err != nil {
		return err
	}

	for _, r := range records {
		s.adopt(&record{
			seat: seat, key: r.Key, execution: r.Execution, status: r.Status, answer: r.Answer,
			createdAt: now.Add(-max(r.Age, 0)),
		})
	}

	return nil
}

func (s *Store) adopt(r *record) {
	existing := s.find(r.id())

	switch {
	case existing == nil:
	case existing.status == Completed:
		return
	case existing.status == Released && existing.execution == r.execution && r.status == Granted:
		return // the release overtook the copy of the grant
	case existing.status == Granted && r.status == Granted && existing.execution == r.execution:
		return
	case existing.status == Granted && r.status == Granted:
		r.status = Completed
		r.answer = Answer{Unknown: true}
	}

	if existing != nil {
		if existing.createdAt.After(r.createdAt) {
			r.createdAt = existing.createdAt
		}

		s.drop(s.records[r.id()])
	}

	s.insertByAge(r)
}
