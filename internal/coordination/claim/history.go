package claim

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayspindle/internal/state/view"
)

// Holders is the number of holders of a key in one membership.
const Holders = 3

// Member is an agent that can hold claims.
type Member struct {
	Incarnation view.Incarnation `cbor:"1,keyasint"`
	Zone        string           `cbor:"2,keyasint"`
}

// membership is the set of active agents of the service in a range of views.
type membership struct {
	position   view.Position // of the first view with these members, or of a later seal
	members    []Member      // in ascending order of incarnation
	observedAt time.Time
	replacedAt time.Time // zero while in force
}

// History holds the memberships of a service within a window. A claim needs a
// majority in every membership of the window, so that two claims of one key
// cannot both succeed after a change of membership.
type History struct {
	window         time.Duration
	maxUnconfirmed time.Duration
	completeSince  time.Time // the history is complete from this time on
	confirmedAt    time.Time // when a leader last confirmed the newest view
	memberships    []membership
	successors     map[view.Incarnation]view.Incarnation
	present        map[view.Incarnation]bool // agents of the newest view that are not suspended
	closings       []Closing                 // in ascending order of position
	sealed         view.Position             // of the newest seal that claims include
	origin         view.Position             // of the membership of the first claims, if that was seen
}

// NewHistory returns an empty history for claims that are kept for the
// retention. It becomes complete when it has observed views for the window, or
// by Merge with the history of a sibling.
//
// The window is longer than the retention, because an agent may use a view that
// has not been confirmed for maxUnconfirmed, and stores keep claims for
// HandOverLimit longer than the retention.
func NewHistory(now time.Time, retention, maxUnconfirmed time.Duration) *History {
	return &History{
		window:         window(retention, maxUnconfirmed),
		maxUnconfirmed: maxUnconfirmed,
		completeSince:  now,
		successors:     make(map[view.Incarnation]view.Incarnation),
	}
}

func window(retention, maxUnconfirmed time.Duration) time.Duration {
	return retention + maxUnconfirmed + 2*HandOverLimit
}

// Observe records the agents of the service in a view as the newest membership.
func (h *History) Observe(now time.Time, position view.Position, agents []view.Agent) {
	members := membersOf(agents)
	if len(members) == 0 {
		return
	}

	h.observePresent(agents)

	if last := len(h.memberships) - 1; last >= 0 {
		if !h.memberships[last].position.Less(position) {
			return
		}

		if slices.Equal(h.memberships[last].members, members) {
			return
		}

		h.memberships[last].replacedAt = now
	}

	h.memberships = append(h.memberships, membership{position: position, members: members, observedAt: now})
	h.trim(now)
}

func (h *History) observePresent(agents []view.Agent) {
	h.present = make(map[view.Incarnation]bool, len(agents))

	for _, agent := range agents {
		if agent.State != view.Suspended {
			h.present[agent.Incarnation] = true
		}
	}
}

// membersOf returns the active agents, or all of them if none is active.
func membersOf(agents []view.Agent) []Member {
	var active, all []Member

	for _, agent := range agents {
		member := Member{Incarnation: agent.Incarnation, Zone: agent.Zone}
		all = append(all, member)

		if agent.State == view.Active {
			active = append(active, member)
		}
	}

	if len(active) == 0 {
		return all
	}

	return active
}

// trim drops the memberships that were replaced before the window.
func (h *History) trim(now time.Time) {
	old := 0
	for old < len(h.memberships)-1 && now.Sub(h.memberships[old].replacedAt) > h.window {
		old++
	}

	if old == 0 {
		return
	}

	h.memberships = slices.Delete(h.memberships, 0, old)
	h.trimClosings()

	for seat := range h.successors {
		if !h.containsSeat(seat) {
			delete(h.successors, seat)
		}
	}
}

// containsSeat reports whether the seat is in any membership of the window.
func (h *History) containsSeat(seat view.Incarnation) bool {
	return slices.ContainsFunc(h.memberships, func(m membership) bool {
		return slices.ContainsFunc(m.members, func(member Member) bool { return member.Incarnation == seat })
	})
}

// Confirm records that a leader confirmed the position of the newest view.
func (h *History) Confirm(now time.Time) { h.confirmedAt = now }

// Complete reports whether the history covers the window and is recent enough
// to claim. An agent that was isolated for longer may know only memberships
// that the other agents have already dropped.
func (h *History) Complete(now time.Time) bool {
	return len(h.memberships) > 0 && now.Sub(h.completeSince) >= h.window && now.Sub(h.confirmedAt) <= h.maxUnconfirmed
}

// AssumeNoEarlierClaims declares that no earlier claim exists. It may be called only for
// the first agents of a new service, after all members in force have recorded the
// position of the newest view, so that none of them starts to claim under older
// memberships. Older memberships whose members are all in the newest one are
// dropped: while a service starts, its first agent is the only member for a short
// time, and if it failed, every key would be blocked for the whole window.
func (h *History) AssumeNoEarlierClaims(now time.Time) {
	h.completeSince = now.Add(-h.window)

	if len(h.memberships) == 0 {
		return
	}

	h.origin = h.memberships[len(h.memberships)-1].position
	h.dropBeforeOrigin()
}

// dropBeforeOrigin drops the memberships before that of the first claims whose
// members are all in it. Siblings learn the origin by Merge: they may have seen the
// first agent alone too.
func (h *History) dropBeforeOrigin() {
	at := slices.IndexFunc(h.memberships, func(m membership) bool { return m.position == h.origin })
	if at < 0 {
		return
	}

	first := h.memberships[at]
	h.memberships = slices.DeleteFunc(h.memberships, func(m membership) bool {
		return m.position.Less(h.origin) && !slices.ContainsFunc(m.members, func(member Member) bool {
			return !slices.Contains(first.members, member)
		})
	})
}

// MemberCount returns the number of members in force.
func (h *History) MemberCount() int {
	if len(h.memberships) == 0 {
		return 0
	}

	return len(h.memberships[len(h.memberships)-1].members)
}

// Move records that another agent answers for the seat.
func (h *History) Move(seat, successor view.Incarnation) {
	if h.containsSeat(seat) {
		h.successors[seat] = successor
	}
}

// Holder returns the agent that answers for the seat.
func (h *History) Holder(seat view.Incarnation) view.Incarnation {
	if successor, ok := h.successors[seat]; ok {
		return successor
	}

	return seat
}

// IsMember reports whether the incarnation is in the membership in force.
func (h *History) IsMember(incarnation view.Incarnation) bool {
	if len(h.memberships) == 0 {
		return false
	}

	return slices.ContainsFunc(h.memberships[len(h.memberships)-1].members, func(m Member) bool {
		return m.Incarnation == incarnation
	})
}

// HolderSets returns the holder sets of the key, that of the oldest membership first.
// Equal sets appear once, and memberships that are closed for the key do not appear.
func (h *History) HolderSets(now time.Time, key Key) [][]view.Incarnation {
	sets, _ := h.holderSets(now, key)

	return sets
}

// holderSets returns the holder sets of the key, and how many of them come up to
// the newest seal: the oldest set of another claimant is one of these, depending
// on the closings that it knows.
func (h *History) holderSets(now time.Time, key Key) (sets [][]view.Incarnation, upToSeal int) {
	h.trim(now)

	holders := make([][]view.Incarnation, 0, len(h.memberships))
	for _, m := range h.memberships {
		holders = append(holders, holdersOf(m.members, key))
	}

	open := h.openSince(holders)

	for i, set := range holders {
		if h.memberships[i].position.Less(open) {
			continue
		}

		at := slices.IndexFunc(sets, func(other []view.Incarnation) bool { return slices.Equal(other, set) })
		if at < 0 {
			at = len(sets)
			sets = append(sets, set)
		}

		if at == 0 || !h.sealed.Less(h.memberships[i].position) {
			upToSeal = max(upToSeal, at+1)
		}
	}

	return sets, upToSeal
}

// holdersOf returns the seats of the key by rendezvous hashing (Thaler and
// Ravishankar, 1998): the agent with the highest score, then the highest ones in
// other availability zones, and then, if there are too few zones, the highest of
// the remaining agents.
func holdersOf(members []Member, key Key) []view.Incarnation {
	scores := make([]uint64, len(members))
	for i, member := range members {
		scores[i] = rendezvousScore(member.Incarnation, key)
	}

	var picked []Member

	for len(picked) < min(len(members), Holders) {
		next := highestScoring(members, scores, func(m Member) bool {
			return slices.ContainsFunc(picked, func(p Member) bool { return p.Zone == m.Zone })
		})
		if next < 0 {
			next = highestScoring(members, scores, func(m Member) bool { return slices.Contains(picked, m) })
		}

		picked = append(picked, members[next])
	}

	holders := make([]view.Incarnation, 0, Holders)
	for _, member := range picked {
		holders = append(holders, member.Incarnation)
	}

	slices.Sort(holders)

	return holders
}

// highestScoring returns the index of the member with the highest score, -1 if
// all are excluded. Of equal scores, the lower incarnation wins.
func highestScoring(members []Member, scores []uint64, excluded func(Member) bool) int {
	found := -1

	for i, member := range members {
		if (found < 0 || scores[i] > scores[found]) && !excluded(member) {
			found = i
		}
	}

	return found
}

func rendezvousScore(incarnation view.Incarnation, key Key) uint64 {
	var buffer [6 + MaxToken]byte

	binary.BigEndian.PutUint32(buffer[:4], uint32(incarnation))
	binary.BigEndian.PutUint16(buffer[4:6], uint16(key.Service))
	length := copy(buffer[6:], key.Token)

	return xxhash.Sum64(buffer[:6+length])
}

// MembershipRecord is one membership of a HistorySnapshot.
type MembershipRecord struct {
	Position view.Position `cbor:"1,keyasint"`
	Members  []Member      `cbor:"2,keyasint"`
	Replaced bool          `cbor:"3,keyasint"`
	Age      time.Duration `cbor:"4,keyasint"` // since it was replaced
}

// HistorySnapshot is the encoded form of a History, which an agent sends to a sibling that
// has just started.
type HistorySnapshot struct {
	CoveredDuration time.Duration                         `cbor:"1,keyasint"`
	Memberships     []MembershipRecord                    `cbor:"2,keyasint"`
	Moved           map[view.Incarnation]view.Incarnation `cbor:"3,keyasint,omitempty"`
	Closings        []Closing                             `cbor:"4,keyasint,omitempty"`
	Sealed          view.Position                         `cbor:"5,keyasint"`
	Origin          view.Position                         `cbor:"6,keyasint"`
}

// Snapshot returns the history in the form that is sent to a sibling.
func (h *History) Snapshot(now time.Time) HistorySnapshot {
	h.trim(now)

	snapshot := HistorySnapshot{
		CoveredDuration: now.Sub(h.completeSince), Moved: maps.Clone(h.successors),
		Closings: slices.Clone(h.closings), Sealed: h.sealed, Origin: h.origin,
	}
	for _, m := range h.memberships {
		record := MembershipRecord{Position: m.position, Members: m.members, Replaced: !m.replacedAt.IsZero()}
		if record.Replaced {
			record.Age = now.Sub(m.replacedAt)
		}

		snapshot.Memberships = append(snapshot.Memberships, record)
	}

	return snapshot
}

// Merge adds the memberships that a sibling has observed. Each of the two may
// have observed memberships that the other has missed.
func (h *History) Merge(now time.Time, snapshot HistorySnapshot) {
	contiguous := h.connectsTo(snapshot.Memberships)

	for _, record := range snapshot.Memberships {
		h.insert(now, record)
	}

	for seat, successor := range snapshot.Moved {
		if _, ok := h.successors[seat]; !ok {
			h.Move(seat, successor)
		}
	}

	for _, closing := range snapshot.Closings {
		h.Close(now, closing)
	}

	h.raiseSeal(snapshot.Sealed)

	if h.origin.Less(snapshot.Origin) {
		h.origin = snapshot.Origin
	}

	h.dropBeforeOrigin()

	if since := now.Add(-snapshot.CoveredDuration); contiguous && since.Before(h.completeSince) {
		h.completeSince = since
	}

	h.trim(now)
}

// connectsTo reports whether the memberships of a sibling reach the oldest membership
// of h. Otherwise the sibling may be behind, and memberships between the two
// histories would be missing.
func (h *History) connectsTo(records []MembershipRecord) bool {
	if len(records) == 0 || len(h.memberships) == 0 {
		return false
	}

	newest, oldest := records[len(records)-1], h.memberships[0]

	return !newest.Position.Less(oldest.position) || slices.Equal(newest.Members, oldest.members)
}

// insert adds a membership at its position, unless that position is known already.
func (h *History) insert(now time.Time, record MembershipRecord) {
	index, found := slices.BinarySearchFunc(h.memberships, record.Position,
		func(m membership, position view.Position) int {
			switch {
			case m.position.Less(position):
				return -1
			case position.Less(m.position):
				return 1
			default:
				return 0
			}
		})
	if found || len(record.Members) == 0 {
		return
	}

	added := membership{position: record.Position, members: record.Members, observedAt: now}
	if record.Replaced {
		added.replacedAt = now.Add(-max(record.Age, 0))
	} else if index < len(h.memberships) {
		added.replacedAt = now
	}

	if index > 0 && h.memberships[index-1].replacedAt.IsZero() {
		h.memberships[index-1].replacedAt = now
	}

	h.memberships = slices.Insert(h.memberships, index, added)
}
