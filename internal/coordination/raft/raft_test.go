package raft_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/testing/soak"
)

// destroy loses a host together with its disk.
func (n *network) destroy(h *host) {
	h.node, h.log, h.inbox, h.disk = nil, nil, nil, nil
}

// membership returns a leader that knows what is committed, and its members.
func (n *network) membership() (*host, map[raft.ReplicaID]raft.Member) {
	h := n.leader()
	if h == nil || !h.node.Status().Ready {
		return nil, nil
	}

	members := map[raft.ReplicaID]raft.Member{}
	for _, status := range h.node.Status().Members {
		members[status.ID] = status.Member
	}

	return h, members
}

// repair makes one step of replacing a lost replica and reports the end: the
// newcomer is a learner, then a voter, then the lost replica is removed.
func (n *network) repair(lost, newcomer raft.ReplicaID) bool {
	h, members := n.membership()
	if h == nil {
		return false
	}

	_, old := members[lost]
	member, found := members[newcomer]
	change := raft.Change{Member: raft.Member{ID: newcomer}}

	switch {
	case !found:
		change.Kind = raft.ChangeAddLearner
	case member.Learner:
		change.Kind = raft.ChangePromote
	case old:
		change = raft.Change{Kind: raft.ChangeRemove, Member: raft.Member{ID: lost}}
	default:
		// Removed in the log; done once everything in it is committed.
		return h.applied == h.node.Status().Last
	}

	_, _, _ = h.node.ChangeMembership(change) // tried again until it succeeds

	return false
}

// disturb does one random thing to the network.
func (n *network) disturb() {
	h := n.hosts[n.order[n.random.IntN(len(n.order))]]
	other := n.order[n.random.IntN(len(n.order))]

	switch n.random.IntN(12) {
	case 0:
		n.cut[link{h.id, other}] = true
	case 1, 2:
		n.cut = map[link]bool{}
	case 3:
		h.frozen = true
	case 4, 5:
		h.frozen = false
	case 6:
		if h.node != nil {
			n.kill(h)
		}
	case 7, 8:
		if h.node == nil && h.disk != nil {
			n.start(h, false)
		}
	case 9:
		if leader := n.leader(); leader != nil {
			_ = leader.node.TransferLeadership(other) // may be no voter
		}
	case 10:
		n.loss = n.random.IntN(20)
	default:
		n.crash = !n.crash
	}
}

// Guards against two leaders in a term, lost, changed or repeated committed
// entries, an applied index that falls, stale reads, and a group that stays
// stuck, while messages are lost, repeated, late and reordered, links are cut in
// one direction, and replicas freeze, die and lose their disks.
func TestRandomFailures(t *testing.T) {
	var confirmed, terms, repairs, installs int

	soak.Run(t, 40, func(t *testing.T, seed uint64) {
		size := 3 + 2*int(seed%2)
		n := newNetwork(t, seed, size)
		lost := map[raft.ReplicaID]raft.ReplicaID{} // by newcomer

		for range 120 {
			n.disturb()

			if len(lost) < size/2 && n.random.IntN(20) == 0 {
				n.loseDisk(lost)
			}

			for range 1 + n.random.IntN(6) {
				n.propose(n.hosts[n.order[n.random.IntN(len(n.order))]])
				n.read(n.hosts[n.order[n.random.IntN(len(n.order))]])

				if h := n.leader(); h != nil {
					n.propose(h)
					n.read(h)
				}

				n.run(time.Duration(n.random.IntN(12)) * step)

				for _, newcomer := range slices.Sorted(maps.Keys(lost)) {
					if n.repair(lost[newcomer], newcomer) {
						delete(lost, newcomer)

						repairs++
					}
				}
			}
		}

		n.converge()

		confirmed += n.confirmed
		terms += len(n.leaders)
		installs += n.installs
	})
	t.Logf("%d reads confirmed, %d leaders elected, %d disks replaced, %d snapshots installed",
		confirmed, terms, repairs, installs)
}

// loseDisk destroys a random voter and starts its replacement. The loss of a
// replica that is not counted as a voter yet is beyond what a group survives.
func (n *network) loseDisk(lost map[raft.ReplicaID]raft.ReplicaID) {
	h := n.hosts[n.order[n.random.IntN(len(n.order))]]
	_, members := n.membership()

	if member, ok := members[h.id]; h.disk == nil || !ok || member.Learner {
		return
	}

	newcomer := raft.ReplicaID(100 + len(n.order))
	lost[newcomer] = h.id
	n.destroy(h)
	n.start(n.add(newcomer), false)
}

// Guards against a repair that looks complete but holds too little: right after
// it, as many replicas as the group tolerates are lost again, leader first.
func TestSecondLossAfterRepair(t *testing.T) {
	for size := 3; size <= 5; size += 2 {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			soak.Run(t, 4, func(t *testing.T, seed uint64) {
				n := newNetwork(t, seed, size)
				n.commit(100)

				newcomer := raft.ReplicaID(100)

				for round := range 4 {
					var lost []raft.ReplicaID

					for range size / 2 {
						n.until("there is a leader", func() bool { return n.leader() != nil })

						h := n.leader()
						n.destroy(h)
						lost = append(lost, h.id)
					}

					n.commit(5 * round)

					for _, id := range lost {
						newcomer++
						n.start(n.add(newcomer), false)
						n.until("the repair completes", func() bool { return n.repair(id, newcomer) })
					}
				}

				n.converge()
				n.expect(len(n.committed) >= 100, "only %d numbers are left", len(n.committed))
			})
		})
	}
}

// Guards against a replica that can't catch up after hundreds of entries, with
// and without a snapshot, over a network that loses messages.
func TestCatchUp(t *testing.T) {
	for _, missed := range []int{8, 700} {
		t.Run(fmt.Sprint(missed), func(t *testing.T) {
			n := newNetwork(t, uint64(missed), 3)
			n.commit(5)

			down := n.hosts[n.order[0]]
			n.kill(down)
			n.commit(missed)
			n.loss = 10
			n.start(down, false)
			n.until("the replica has caught up", func() bool { return down.applied == n.highest })
			n.converge()
		})
	}
}

// Guards against an isolated leader that answers reads or accepts proposals
// forever, and against a returning replica that disrupts a healthy leader.
func TestIsolation(t *testing.T) {
	n := newNetwork(t, 9, 3)
	n.commit(5)

	old := n.leader()
	term := old.node.Status().Term

	for _, id := range n.order {
		n.cut[link{id, old.id}] = true // silent in one direction: it still sends
	}

	n.until("the isolated leader steps down", func() bool { return old.node.Status().Role != raft.Leader })
	n.expect(errorKind(old.node.ReadIndex(1)) == raft.KindNotLeader, "an isolated replica accepts a read")
	n.until("another leads", func() bool { return n.leader() != nil && n.leader().id != old.id })
	n.run(20 * electionTimeout)

	settled := n.leader().node.Status().Term
	n.expect(settled > term, "term %d did not rise", settled)
	n.converge()

	now := n.leader().node.Status().Term
	n.expect(now == settled, "the returning replica raised the term to %d", now)
}

// Guards against a planned stop that waits for an election timeout.
func TestTransferLeadership(t *testing.T) {
	n := newNetwork(t, 4, 3)
	n.commit(20)

	old := n.leader()
	n.propose(old)
	n.check(old.node.TransferLeadership(0))
	n.expect(!n.propose(old), "a proposal is accepted during the transfer")
	n.run(10 * step)
	n.expect(n.leader() != nil && n.leader().id != old.id, "the leadership has not moved")
	n.converge()
}

func errorKind(err error) raft.Kind {
	var typed *raft.Error
	if errors.As(err, &typed) {
		return typed.Kind()
	}

	return ""
}

// Guards against unsafe or senseless membership changes.
func TestMembershipRefusals(t *testing.T) {
	n := newNetwork(t, 5, 3)
	n.commit(20)

	h := n.leader()
	change := func(kind raft.ChangeKind, id raft.ReplicaID) raft.Kind {
		_, _, err := h.node.ChangeMembership(raft.Change{Kind: kind, Member: raft.Member{ID: id}})

		return errorKind(err)
	}

	is := is.New(t)
	is.Equal(change(raft.ChangePromote, 1), raft.KindInvalid)
	is.Equal(change(raft.ChangeRemove, 50), raft.KindInvalid)
	is.Equal(change(raft.ChangeAddLearner, 50), raft.Kind(""))
	is.Equal(change(raft.ChangeAddLearner, 51), raft.KindInProgress)
	n.commit(1)
	is.Equal(change(raft.ChangePromote, 50), raft.KindNotCaughtUp)

	follower := n.order[int(h.id)%3] // the one behind the leader
	_, _, err := n.hosts[follower].node.Propose(nil)

	var typed *raft.Error

	is.True(errors.As(err, &typed))
	is.Equal(typed.Kind(), raft.KindNotLeader)
	is.Equal(typed.Leader(), h.id)
}

// Guards against messages of another group, an earlier generation or the former
// owner of an address, and against unbounded input.
func TestForeignMessages(t *testing.T) {
	is := is.New(t)
	node, err := raft.New(raft.Config{
		Replica: 1, Cluster: cluster, Generation: generation, Random: rand.New(rand.NewPCG(1, 1)),
	}, raft.Stored{})
	is.NoErr(err)

	valid := raft.Message{Kind: raft.MessageHeartbeat, Cluster: cluster, Generation: generation, From: 2, To: 1, Term: 9}
	other, old, late := valid, valid, valid
	other.Cluster++
	old.Generation--
	late.To = 3

	for _, foreign := range []raft.Message{other, old, late} {
		is.Equal(errorKind(node.Receive(foreign)), raft.KindForeign)
	}

	invalid := valid
	invalid.Kind, invalid.Entries = raft.MessageAppend, []raft.Entry{command(2, 1)} // entry 1 is missing
	is.Equal(errorKind(node.Receive(invalid)), raft.KindInvalid)

	is.Equal(node.Status().Term, uint64(0))
	is.Equal(node.Status().Dropped, uint64(4))
	is.NoErr(node.Receive(valid))
	is.Equal(node.Status().Term, uint64(9))

	_, err = raft.DecodeMessage(make([]byte, raft.MaxMessageBytes+1))
	is.Equal(errorKind(err), raft.KindTooLarge)
}
