package raft

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/state/wal"
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The membership changes, one replica at a time (section 4.1 of Ongaro's
// dissertation).
const (
	ChangeAddLearner ChangeKind = iota + 1 // needs Member.ID and Member.Address
	ChangePromote                          // turns a learner that has caught up into a voter
	ChangeRemove                           // removes a voter or a learner
)

// Change is one membership change.
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// membershipVersion is a membership and the index of the entry that set it.
type membershipVersion struct {
	index   uint64
	members []Member
}

// membershipHistory holds memberships in the order of their entries. The newest one is
// effective as soon as its entry is in the log, committed or not.
type membershipHistory []membershipVersion

func (m membershipHistory) current() []Member {
	if len(m) == 0 {
		return nil
	}

	return m[len(m)-1].members
}

func (m membershipHistory) lastIndex() uint64 {
	if len(m) == 0 {
		return 0
	}

	return m[len(m)-1].index
}

// at returns the membership that is effective at a log index.
func (m membershipHistory) at(index uint64) []Member {
	for _, candidate := range slices.Backward(m) {
		if candidate.index <= index {
			return candidate.members
		}
	}

	return nil
}

// truncate removes the memberships set by entries from index on.
func (m membershipHistory) truncate(index uint64) membershipHistory {
	for len(m) > 0 && m[len(m)-1].index >= index {
		m = m[:len(m)-1]
	}

	return m
}

// compact removes the memberships that a newer one has replaced by index.
func (m membershipHistory) compact(index uint64) membershipHistory {
	for len(m) > 1 && m[1].index <= index {
		m = m[1:]
	}

	return m
}

func findMember(members []Member, id ReplicaID) (Member, bool) {
	position := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if position < 0 {
		return Member{}, false
	}

	return members[position], true
}

func (n *Node) isVoter(id ReplicaID) bool {
	member, ok := findMember(n.memberships.current(), id)

	return ok && !member.Learner
}

// hasQuorum reports whether a majority of the voters satisfies the condition.
func hasQuorum(members []Member, condition func(ReplicaID) bool) bool {
	voters, count := 0, 0

	for _, member := range members {
		if member.Learner {
			continue
		}

		voters++

		if condition(member.ID) {
			count++
		}
	}

	return count > voters/2
}

func encodeMembers(members []Member) ([]byte, error) { return cbor.Marshal(members) }

func decodeMembers(encoded []byte) ([]Member, error) {
	var members []Member
	if err := decodeMode.Unmarshal(encoded, &members); err != nil {
		return nil, fmt.Errorf("decoding the membership: %w", err)
	}

	return members, checkMembers(members)
}

func checkMembers(members []Member) error {
	if len(members) > MaxMembers {
		return fmt.Errorf("%d members exceed %d", len(members), MaxMembers)
	}

	voters := 0

	for i, member := range members {
		_, duplicate := findMember(members[:i], member.ID)
		if member.ID == 0 || duplicate || len(member.Address) > maxAddressBytes {
			return fmt.Errorf("member %v at %q is a duplicate or invalid", member.ID, member.Address)
		}

		if !member.Learner {
			voters++
		}
	}

	if voters == 0 {
		return fmt.Errorf("membership has no voter")
	}

	return nil
}

// ChangeMembership proposes a change and returns index and term of its entry. It
// requires a committed entry of the current term (Ongaro's note on the raft-dev
// list of July 2015) and no other change in progress. The error kinds are
// KindNotLeader, KindTransferring, KindNotReady, KindInProgress, KindNotCaughtUp,
// KindQuorum and KindInvalid.
func (n *Node) ChangeMembership(change Change) (index, term uint64, err error) {
	const operation = "change membership"

	if err := n.checkLeader(operation); err != nil {
		return 0, 0, err
	}

	switch {
	case n.transferTarget != 0:
		return 0, 0, newError(operation, KindTransferring, "leadership is being transferred to %v", n.transferTarget)
	case !n.hasCommittedOwnTerm():
		return 0, 0, newError(operation, KindNotReady, "no entry of term %d is committed", n.term)
	case n.memberships.lastIndex() > n.log.commit:
		return 0, 0, newError(operation, KindInProgress, "change at index %d is not committed", n.memberships.lastIndex())
	}

	members, err := n.membersAfter(change)
	if err != nil {
		return 0, 0, err
	}

	if !hasQuorum(members, n.responsive) {
		return 0, 0, newError(operation, KindQuorum, "the change leaves too few responsive voters")
	}

	encoded, err := encodeMembers(members)
	if err != nil {
		return 0, 0, newError(operation, KindInvalid, "%v", err)
	}

	return n.appendEntry(wal.EntryMembership, encoded), n.term, nil
}

// membersAfter returns the membership that results from a change.
func (n *Node) membersAfter(change Change) ([]Member, error) {
	const operation = "change membership"

	members := slices.Clone(n.memberships.current())
	id := change.Member.ID
	position := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })

	switch change.Kind {
	case ChangeAddLearner:
		if position >= 0 {
			return nil, newError(operation, KindInvalid, "replica %v is already a member", id)
		}

		members = append(members, Member{ID: id, Address: change.Member.Address, Learner: true})
	case ChangePromote:
		if position < 0 || !members[position].Learner {
			return nil, newError(operation, KindInvalid, "replica %v is not a learner", id)
		}

		// A short log requires match > 0 too: there the lag is small even if the learner stores nothing.
		match := n.progress[id].match
		if lag := n.log.last() - match; match == 0 || lag > n.config.MaxPromotionLag || !n.responsive(id) {
			return nil, newError(operation, KindNotCaughtUp, "learner %v lags by %d entries", id, lag)
		}

		members[position].Learner = false
	case ChangeRemove:
		if position < 0 {
			return nil, newError(operation, KindInvalid, "replica %v is not a member", id)
		}

		members = slices.Delete(members, position, position+1)
	default:
		return nil, newError(operation, KindInvalid, "change kind %d does not exist", change.Kind)
	}

	if err := checkMembers(members); err != nil {
		return nil, newError(operation, KindInvalid, "%v", err)
	}

	return members, nil
}
