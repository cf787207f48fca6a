package raft

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/state/wal"
)

// ChangeKind tells what a membership change does.
type ChangeKind uint8

// The membership changes, one replica at a time (section 4.1 of Ongaro's
// dissertation).
const (
	ChangeAddLearner ChangeKind = iota + 1 // needs Member.ID and Member.Address
	ChangePromote                          // makes a learner that has caught up a voter
	ChangeRemove                           // removes a voter or a learner
)

// Change is one membership change.
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// version is a membership and the index of the entry that set it.
type version struct {
	index   uint64
	members []Member
}

// membership is the history of memberships. The newest one is in force as soon
// as its entry is in the log, committed or not.
type membership []version

func (m membership) current() []Member {
	if len(m) == 0 {
		return nil
	}

	return m[len(m)-1].members
}

func (m membership) lastIndex() uint64 {
	if len(m) == 0 {
		return 0
	}

	return m[len(m)-1].index
}

// at returns the membership in force at a log index.
func (m membership) at(index uint64) []Member {
	for _, candidate := range slices.Backward(m) {
		if candidate.index <= index {
			return candidate.members
		}
	}

	return nil
}

// truncate drops the memberships set by entries from index on.
func (m membership) truncate(index uint64) membership {
	for len(m) > 0 && m[len(m)-1].index >= index {
		m = m[:len(m)-1]
	}

	return m
}

// compact drops the memberships that a newer one replaced at index.
func (m membership) compact(index uint64) membership {
	for len(m) > 1 && m[1].index <= index {
		m = m[1:]
	}

	return m
}

func find(members []Member, id ReplicaID) (Member, bool) {
	position := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if position < 0 {
		return Member{}, false
	}

	return members[position], true
}

func (n *Node) isVoter(id ReplicaID) bool {
	member, ok := find(n.members.current(), id)

	return ok && !member.Learner
}

// quorum reports whether a majority of the voters satisfies the condition.
func quorum(members []Member, condition func(ReplicaID) bool) bool {
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
	if err := decoding.Unmarshal(encoded, &members); err != nil {
		return nil, fmt.Errorf("membership does not decode: %w", err)
	}

	return members, checkMembers(members)
}

func checkMembers(members []Member) error {
	if len(members) > MaxMembers {
		return fmt.Errorf("%d members exceed %d", len(members), MaxMembers)
	}

	voters := 0

	for i, member := range members {
		_, twice := find(members[:i], member.ID)
		if member.ID == 0 || twice || len(member.Address) > maxAddressBytes {
			return fmt.Errorf("member %v at %q is listed twice or not valid", member.ID, member.Address)
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

// ChangeMembership proposes a change and returns the position of its entry. It
// needs a committed entry of the own term (Ongaro's note on the raft-dev list
// of July 2015) and no other change in progress. The error kinds are
// KindNotLeader, KindTransferring, KindNotReady, KindInProgress, KindNotCaughtUp,
// KindQuorum and KindInvalid.
func (n *Node) ChangeMembership(change Change) (index, term uint64, err error) {
	const operation = "change membership"

	if err := n.refuseUnlessLeader(operation); err != nil {
		return 0, 0, err
	}

	switch {
	case n.transfer != 0:
		return 0, 0, newError(operation, KindTransferring, "leadership moves to %v", n.transfer)
	case !n.committedOwnTerm():
		return 0, 0, newError(operation, KindNotReady, "no entry of term %d is committed", n.term)
	case n.members.lastIndex() > n.log.commit:
		return 0, 0, newError(operation, KindInProgress, "change at index %d is not committed", n.members.lastIndex())
	}

	members, err := n.membersAfter(change)
	if err != nil {
		return 0, 0, err
	}

	if !quorum(members, n.responsive) {
		return 0, 0, newError(operation, KindQuorum, "too few of the remaining voters respond")
	}

	encoded, err := encodeMembers(members)
	if err != nil {
		return 0, 0, newError(operation, KindInvalid, "%v", err)
	}

	return n.appendOwn(wal.EntryMembership, encoded), n.term, nil
}

// membersAfter returns the membership that a change leads to.
func (n *Node) membersAfter(change Change) ([]Member, error) {
	const operation = "change membership"

	members := slices.Clone(n.members.current())
	id := change.Member.ID
	position := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })

	switch change.Kind {
	case ChangeAddLearner:
		if position >= 0 {
			return nil, newError(operation, KindInvalid, "replica %v is a member already", id)
		}

		members = append(members, Member{ID: id, Address: change.Member.Address, Learner: true})
	case ChangePromote:
		if position < 0 || !members[position].Learner {
			return nil, newError(operation, KindInvalid, "replica %v is no learner", id)
		}

		// In a short log the lag alone would admit a learner that stores nothing.
		match := n.progress[id].match
		if lag := n.log.last() - match; match == 0 || lag > n.config.PromoteLag || !n.responsive(id) {
			return nil, newError(operation, KindNotCaughtUp, "learner %v lags by %d entries", id, lag)
		}

		members[position].Learner = false
	case ChangeRemove:
		if position < 0 {
			return nil, newError(operation, KindInvalid, "replica %v is no member", id)
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
