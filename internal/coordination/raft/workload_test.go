package raft_test

import (
	"encoding/binary"

	"jayspindle/internal/coordination/raft"
)

// propose offers a new number to a host.
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

	n.reads++
	n.floors[n.reads] = n.highest
	_ = h.node.ReadIndex(n.reads) // other replicas refuse
}

// leader returns the running leader of the highest term, or nil.
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

// until lets time pass until the condition holds.
func (n *network) until(what string, condition func() bool) {
	n.t.Helper()

	for range 4000 {
		if condition() {
			return
		}

		n.run(step)
	}

	n.t.Fatalf("not within %v: %s", 4000*step, what)
}

// commit proposes numbers and waits until they are applied by a leader.
func (n *network) commit(count int) {
	n.t.Helper()

	for range count {
		n.until("a proposal is accepted", func() bool {
			h := n.leader()

			return h != nil && n.propose(h)
		})
	}

	target := n.highest + 1
	n.until("new entries are applied", func() bool {
		h := n.leader()

		return h != nil && h.node.Status().Ready && h.applied == h.node.Status().Last && h.applied >= target
	})
}

// converge heals everything and waits until all members have the same state.
func (n *network) converge() {
	n.t.Helper()

	n.cut, n.loss, n.crash = map[link]bool{}, 0, false

	for _, id := range n.order {
		h := n.hosts[id]
		h.frozen = false

		if h.node == nil && h.disk != nil {
			n.start(h, false)
		}
	}

	n.commit(3)
	n.until("all members apply the same entries", func() bool {
		h := n.leader()
		if h == nil {
			return false
		}

		for _, member := range h.node.Status().Members {
			other := n.hosts[member.ID]
			if other.disk != nil && (other.applied != h.applied || other.state != h.state) {
				return false
			}
		}

		return true
	})

	for number, count := range n.committed {
		n.expect(count == 1 && n.proposed[number], "number %d was applied %d times", number, count)
	}
}
