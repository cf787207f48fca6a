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

// destroy stops a host and deletes its disk.
func (n *network) destroy(h *host) {
	h.node, h.log, h.inbox, h.disk = nil, nil, nil, nil
}

// readyLeader returns the leader and its members, or nil if no leader has committed an
// entry of its term yet.
func (n *network) readyLeader() (*host, map[raft.ReplicaID]raft.Member) {
	h := n.leader()
	if h == nil || !h.node.Status().CanServe {
		return nil, nil
	}

	members := map[raft.ReplicaID]raft.Member{}
	for _, status := range h.node.Status().Members {
		members[status.ID] = status.Member
	}

	return h, members
}

// repair performs the next step of replacing a lost replica and reports whether all are
// done: add the replacement as a learner, promote it, remove the lost replica.
func (n *network) repair(lost, replacement raft.ReplicaID) bool {
	h, members := n.readyLeader()
	if h == nil {
		return false
	}

	_, lostIsMember := members[lost]
	member, isMember := members[replacement]
	change := raft.Change{Member: raft.Member{ID: replacement}}

	switch {
	case !isMember:
		change.Kind = raft.ChangeAddLearner
	case member.Learner:
		change.Kind = raft.ChangePromote
	case lostIsMember:
		change = raft.Change{Kind: raft.ChangeRemove, Member: raft.Member{ID: lost}}
	default:
		// The removal is in the log; the repair is done once the leader has applied the whole log.
		return h.applied == h.node.Status().Last
	}

	_, _, _ = h.node.ChangeMembership(change) // retried until it succeeds

	return false
}

// injectFault injects or ends one random fault.
func (n *network) injectFault() {
	h := n.hosts[n.order[n.random.IntN(len(n.order))]]
	other := n.order[n.random.IntN(len(n.order))]

	switch n.random.IntN(12) {
	case 0:
		n.cutLinks[link{h.id, other}] = true
	case 1, 2:
		n.cutLinks = map[link]bool{}
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
			_ = leader.node.TransferLeadership(other) // fails if other is not a voter
		}
	case 10:
		n.lossPercent = n.random.IntN(20)
	default:
		n.crashEnabled = !n.crashEnabled
	}
}

// Guards against two leaders in a term, lost, changed or repeated committed
// entries, an applied index that decreases, stale reads and a group that makes no
// progress, while messages are lost, duplicated, delayed and reordered, links are
// cut in one direction, and replicas freeze, crash and lose their disks.
func TestRandomFailures(t *testing.T) {
	var confirmedReads, elections, repairs, installedSnapshots int

	soak.Run(t, 40, func(t *testing.T, seed uint64) {
		size := 3 + 2*int(seed%2)
		n := newNetwork(t, seed, size)
		lost := map[raft.ReplicaID]raft.ReplicaID{} // by replacement

		for range 120 {
			n.injectFault()

			if len(lost) < size/2 && n.random.IntN(20) == 0 {
				n.loseRandomDisk(lost)
			}

			for range 1 + n.random.IntN(6) {
				n.propose(n.hosts[n.order[n.random.IntN(len(n.order))]])
				n.read(n.hosts[n.order[n.random.IntN(len(n.order))]])

				if h := n.leader(); h != nil {
					n.propose(h)
					n.read(h)
				}

				n.advance(time.Duration(n.random.IntN(12)) * tickInterval)

				for _, replacement := range slices.Sorted(maps.Keys(lost)) {
					if n.repair(lost[replacement], replacement) {
						delete(lost, replacement)

						repairs++
					}
				}
			}
		}

		n.converge()

		confirmedReads += n.confirmedReads
		elections += len(n.leaders)
		installedSnapshots += n.installedSnapshots
	})
	t.Logf("%d reads confirmed, %d leaders elected, %d disks replaced, %d snapshots installed",
		confirmedReads, elections, repairs, installedSnapshots)
}

// loseRandomDisk destroys a random voter and starts its replacement. It spares other
// replicas: losing a replacement that is not a voter yet, in addition to the replica that
// it replaces, exceeds the failures that a group tolerates.
func (n *network) loseRandomDisk(lost map[raft.ReplicaID]raft.ReplicaID) {
	h := n.hosts[n.order[n.random.IntN(len(n.order))]]
	_, members := n.readyLeader()

	if member, ok := members[h.id]; h.disk == nil || !ok || member.Learner {
		return
	}

	replacement := raft.ReplicaID(100 + len(n.order))
	lost[replacement] = h.id
	n.destroy(h)
	n.start(n.add(replacement), false)
}

// Guards against a repair that ends before the replacement has stored all committed
// entries: immediately after each repair, the group loses as many replicas as it
// tolerates again, the leader first.
func TestSecondLossAfterRepair(t *testing.T) {
	for size := 3; size <= 5; size += 2 {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			soak.Run(t, 4, func(t *testing.T, seed uint64) {
				n := newNetwork(t, seed, size)
				n.commitCommands(100)

				replacement := raft.ReplicaID(100)

				for round := range 4 {
					var lost []raft.ReplicaID

					for range size / 2 {
						n.waitUntil("there is a leader", func() bool { return n.leader() != nil })

						h := n.leader()
						n.destroy(h)
						lost = append(lost, h.id)
					}

					n.commitCommands(5 * round)

					for _, id := range lost {
						replacement++
						n.start(n.add(replacement), false)
						n.waitUntil("the repair is complete", func() bool { return n.repair(id, replacement) })
					}
				}

				n.converge()
				n.expect(len(n.applyCounts) >= 100, "only %d commands are left", len(n.applyCounts))
			})
		})
	}
}

// Guards against a replica that can't catch up after it has missed a few or hundreds of
// entries, with and without a snapshot, over a network that loses messages.
func TestCatchUp(t *testing.T) {
	for _, missed := range []int{8, 700} {
		t.Run(fmt.Sprint(missed), func(t *testing.T) {
			n := newNetwork(t, uint64(missed), 3)
			n.commitCommands(5)

			down := n.hosts[n.order[0]]
			n.kill(down)
			n.commitCommands(missed)
			n.lossPercent = 10
			n.start(down, false)
			n.waitUntil("the replica has caught up", func() bool { return down.applied == n.highestApplied })
			n.converge()
		})
	}
}

// Guards against an isolated leader that keeps accepting reads or proposals, and
// against a reconnected replica that disrupts a healthy leader.
func TestIsolation(t *testing.T) {
	n := newNetwork(t, 9, 3)
	n.commitCommands(5)

	old := n.leader()
	term := old.node.Status().Term

	for _, id := range n.order {
		n.cutLinks[link{id, old.id}] = true // one direction only: messages from the leader still arrive
	}

	n.waitUntil("the isolated leader steps down", func() bool { return old.node.Status().Role != raft.Leader })
	n.expect(errorKind(old.node.ReadIndex(1)) == raft.KindNotLeader, "an isolated replica accepts a read")
	n.waitUntil("another replica leads", func() bool { return n.leader() != nil && n.leader().id != old.id })
	n.advance(20 * electionTimeout)

	electedTerm := n.leader().node.Status().Term
	n.expect(electedTerm > term, "term %d did not rise", electedTerm)
	n.converge()

	finalTerm := n.leader().node.Status().Term
	n.expect(finalTerm == electedTerm, "the reconnected replica raised the term to %d", finalTerm)
}

// Guards against a leadership transfer that takes as long as an election timeout, so
// that a planned stop of the leader would interrupt the service.
func TestTransferLeadership(t *testing.T) {
	n := newNetwork(t, 4, 3)
	n.commitCommands(20)

	old := n.leader()
	n.propose(old)
	n.check(old.node.TransferLeadership(0))
	n.expect(!n.propose(old), "a proposal is accepted during the transfer")
	n.advance(10 * tickInterval)
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

// Guards against accepting unsafe or invalid membership changes.
func TestMembershipRefusals(t *testing.T) {
	n := newNetwork(t, 5, 3)
	n.commitCommands(20)

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
	n.commitCommands(1)
	is.Equal(change(raft.ChangePromote, 50), raft.KindNotCaughtUp)

	follower := n.order[int(h.id)%3] // any replica but the leader
	_, _, err := n.hosts[follower].node.Propose(nil)

	var typed *raft.Error

	is.True(errors.As(err, &typed))
	is.Equal(typed.Kind(), raft.KindNotLeader)
	is.Equal(typed.Leader(), h.id)
}

// Guards against handling messages of another group, of an earlier generation or to a
// replica that had this address before, and against oversized messages.
func TestForeignMessages(t *testing.T) {
	is := is.New(t)
	node, err := raft.New(raft.Config{
		Replica: 1, Cluster: cluster, Generation: generation, Random: rand.New(rand.NewPCG(1, 1)),
	}, raft.Stored{})
	is.NoErr(err)

	valid := raft.Message{Kind: raft.MessageHeartbeat, Cluster: cluster, Generation: generation, From: 2, To: 1, Term: 9}
	otherCluster, oldGeneration, otherReplica := valid, valid, valid
	otherCluster.Cluster++
	oldGeneration.Generation--
	otherReplica.To = 3

	for _, foreign := range []raft.Message{otherCluster, oldGeneration, otherReplica} {
		is.Equal(errorKind(node.Receive(foreign)), raft.KindForeign)
	}

	invalid := valid
	invalid.Kind, invalid.Entries = raft.MessageAppend, []raft.Entry{commandEntry(2, 1)} // entry 1 is missing
	is.Equal(errorKind(node.Receive(invalid)), raft.KindInvalid)

	is.Equal(node.Status().Term, uint64(0))
	is.Equal(node.Status().Dropped, uint64(4))
	is.NoErr(node.Receive(valid))
	is.Equal(node.Status().Term, uint64(9))

	_, err = raft.DecodeMessage(make([]byte, raft.MaxMessageBytes+1))
	is.Equal(errorKind(err), raft.KindTooLarge)
}
