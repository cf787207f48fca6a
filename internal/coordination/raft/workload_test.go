package raft_test

import (
	"encoding/binary"

	"jayspindle/internal/coordination/raft"
)

// propose proposes a new command number at a host and reports whether it was accepted.
func (n *network) propose(h *host) bool {
	if h.node == nil || h.frozen {
		return false
	}

	number := uint64(len(n.proposed)) + 1

	_, _, err := h.node.Propose(binary.BigEndian.AppendUint64(nil, number))
	if err == nil {
		n.proposed[number] = true
	}

	return err == nil
}

func (n *network) read(h *host) {
	if h.node == nil || h.frozen {
		return
	}

	n.lastReadID++
	n.minReadIndexes[n.lastReadID] = n.highestApplied
	_ = h.node.ReadIndex(n.lastReadID) // fails on hosts that don't lead
}

// leader returns the leader with the highest term among the running hosts, or nil.
func (n *network) leader() *host {
	var best *host

	for _, id := range n.order {
		h := n.hosts[id]
		if h.node == nil || h.frozen || h.node.Status().Role != raft.Leader {
			continue
		}

		if best == nil || h.node.Status().Term > best.node.Status().Term {
			best = h
		}
	}

	return best
}

// waitUntil advances the simulation until the condition holds, for at most 4000 ticks.
func (n *network) waitUntil(what string, condition func() bool) {
	n.t.Helper()

	for range 4000 {
		if condition() {
			return
		}

		n.advance(tickInterval)
	}

	n.t.Fatalf("not within %v: %s", 4000*tickInterval, what)
}

// commitCommands proposes commands and waits until a leader has applied its whole log.
func (n *network) commitCommands(count int) {
	n.t.Helper()

	for range count {
		n.waitUntil("a proposal is accepted", func() bool {
			h := n.leader()

			return h != nil && n.propose(h)
		})
	}

	target := n.highestApplied + 1
	n.waitUntil("new entries are applied", func() bool {
		h := n.leader()

		return h != nil && h.node.Status().CanServe && h.applied == h.node.Status().Last && h.applied >= target
	})
}

// converge removes all faults, restarts stopped hosts and waits until all members have the
// same state. It checks that each committed command was proposed and applied once.
func (n *network) converge() {
	n.t.Helper()

	n.cutLinks, n.lossPercent, n.crashEnabled = map[link]bool{}, 0, false

	for _, id := range n.order {
		h := n.hosts[id]
		h.frozen = false

		if h.node == nil && h.disk != nil {
			n.start(h, false)
		}
	}

	n.commitCommands(3)
	n.waitUntil("all members apply the same entries", func() bool {
		h := n.leader()
		if h == nil {
			return false
		}

		for _, member := range h.node.Status().Members {
			other := n.hosts[member.ID]
			if other.disk != nil && (other.applied != h.applied || other.stateHash != h.stateHash) {
				return false
			}
		}

		return true
	})

	for number, count := range n.applyCounts {
		n.expect(count == 1 && n.proposed[number], "number %d was applied %d times", number, count)
	}
}
