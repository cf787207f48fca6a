package raft_test

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/wal"
	"jayspindle/internal/testing/disk"
)

const (
	cluster             = 77
	generation          = 2
	tickInterval        = 5 * time.Millisecond
	electionTimeout     = 100 * time.Millisecond
	compactAfterEntries = 25
)

// host is a replica with its disk and application. The application's state is a
// hash over all entries, which reveals a lost, changed or repeated one.
type host struct {
	id        raft.ReplicaID
	disk      *disk.Disk
	log       *wal.Log
	node      *raft.Node // nil while it is down
	frozen    bool
	inbox     []raft.Message
	applied   uint64
	stateHash uint64
	snapshot  uint64
}

type link struct{ from, to raft.ReplicaID }

type inFlightMessage struct {
	due     time.Time
	message raft.Message
}

// network simulates hosts and an unreliable network, and checks Raft's safety properties.
type network struct {
	t           *testing.T
	random      *rand.Rand
	now         time.Time
	hosts       map[raft.ReplicaID]*host
	order       []raft.ReplicaID
	inFlight    []inFlightMessage
	cutLinks    map[link]bool
	lossPercent int // probability of loss, of duplication and of a long delay

	leaders            map[uint64]raft.ReplicaID // by term
	stateHashes        map[uint64]uint64         // hash of the state after each applied index
	highestApplied     uint64
	minReadIndexes     map[uint64]uint64 // by read: highest applied index when it was requested
	lastReadID         uint64
	confirmedReads     int
	installedSnapshots int
	proposed           map[uint64]bool // command numbers accepted by a leader
	applyCounts        map[uint64]int  // log entries per command number, not counted per host
	crashEnabled       bool            // kill hosts at random while they handle a Ready
	initialMembers     []raft.Member
}

func newNetwork(t *testing.T, seed uint64, size int) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0),
		hosts: map[raft.ReplicaID]*host{}, cutLinks: map[link]bool{}, leaders: map[uint64]raft.ReplicaID{},
		stateHashes: map[uint64]uint64{1: 0}, highestApplied: 1, minReadIndexes: map[uint64]uint64{},
		proposed: map[uint64]bool{}, applyCounts: map[uint64]int{},
	}

	for id := range size {
		n.initialMembers = append(n.initialMembers, raft.Member{ID: raft.ReplicaID(id + 1)})
	}

	for _, member := range n.initialMembers {
		n.start(n.add(member.ID), true)
	}

	return n
}

// add creates a host with an empty disk.
func (n *network) add(id raft.ReplicaID) *host {
	h := &host{id: id, disk: disk.New(n.random)}
	n.hosts[id] = h
	n.order = append(n.order, id)

	return h
}

func (n *network) start(h *host, bootstrap bool) {
	log, err := wal.Open("data", wal.WithFiles(h.disk), wal.WithReplica(h.id), wal.WithSegmentBytes(2048))
	n.check(err)

	if bootstrap {
		initial := raft.Bootstrap(n.initialMembers, n.encode(1, 0))
		n.check(log.SaveSnapshot(&initial))
	}

	stored := log.TakeStored()

	h.log, h.frozen, h.inbox = log, false, nil
	h.node, err = raft.New(raft.Config{
		Replica: log.Identity().Replica, Cluster: cluster, Generation: generation, Random: n.random, Now: n.now,
		ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 5, TrailingEntries: 10,
		MaxAppendEntries: 7, MaxInflightAppends: 3, MaxChunkBytes: 5, MaxPromotionLag: 5, MaxApplyEntries: 20,
	}, stored)
	n.check(err)

	h.applied, h.stateHash, h.snapshot = 0, 0, 0

	if stored.Snapshot.Index > 0 {
		n.restore(h, &stored.Snapshot)
	}
}

func (n *network) check(err error) {
	n.t.Helper()

	if err != nil {
		n.t.Fatal(err)
	}
}

func (n *network) expect(ok bool, format string, arguments ...any) {
	n.t.Helper()

	if !ok {
		n.t.Fatalf(format, arguments...)
	}
}

// kill stops a host. Its disk loses the data that was not synced.
func (n *network) kill(h *host) {
	h.node, h.log, h.inbox = nil, nil, nil
	h.disk.Crash()
}

func (n *network) encode(index, state uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, index), state)
}

func (n *network) restore(h *host, s *raft.Snapshot) {
	n.expect(s.Index > h.applied, "host %v: snapshot %d reverts applied index %d", h.id, s.Index, h.applied)
	n.expect(len(s.Data) == 16 && binary.BigEndian.Uint64(s.Data) == s.Index, "snapshot %d is corrupt", s.Index)

	h.applied, h.stateHash, h.snapshot = s.Index, binary.BigEndian.Uint64(s.Data[8:]), s.Index
	n.expect(h.stateHash == n.stateHashes[s.Index], "host %v: snapshot %d has another state", h.id, s.Index)
}

func (n *network) apply(h *host, entry raft.Entry) {
	n.expect(entry.Index == h.applied+1, "host %v applies %d after %d", h.id, entry.Index, h.applied)

	h.applied = entry.Index
	h.stateHash = xxhash.Sum64(slices.Concat(n.encode(entry.Term, h.stateHash), entry.Data))

	if state, ok := n.stateHashes[entry.Index]; ok {
		n.expect(state == h.stateHash, "host %v: committed entry %d changed", h.id, entry.Index)

		return
	}

	n.stateHashes[entry.Index] = h.stateHash
	n.highestApplied = max(n.highestApplied, entry.Index)

	if entry.Kind == wal.EntryCommand {
		n.applyCounts[binary.BigEndian.Uint64(entry.Data)]++
	}
}

// handle does the work of a node's owner. With crashEnabled, the host may be killed between
// any two steps.
func (n *network) handle(h *host) {
	for h.node != nil {
		ready, ok := h.node.Ready()
		if !ok {
			return
		}

		if n.maybeKill(h) || !n.save(h, &ready) || n.maybeKill(h) {
			return
		}

		for _, message := range ready.Messages {
			n.transmit(message)
		}

		if n.maybeKill(h) {
			return
		}

		for _, entry := range ready.Committed {
			n.apply(h, entry)
		}

		for _, read := range ready.Reads {
			n.finishRead(h, read)
		}

		h.node.Advance(ready)
		n.checkLeaderAndCompact(h)
	}
}

func (n *network) maybeKill(h *host) bool {
	if !n.crashEnabled || n.random.IntN(2000) > 0 {
		return false
	}

	n.kill(h)

	return true
}

func (n *network) save(h *host, ready *raft.Ready) bool {
	if n.crashEnabled && n.random.IntN(2000) == 0 {
		h.disk.Limit(n.random.IntN(50))
	}

	var err error

	if ready.Snapshot != nil {
		if err = h.log.SaveSnapshot(ready.Snapshot); err == nil {
			n.restore(h, ready.Snapshot)
			n.installedSnapshots++
		}
	}

	if err == nil {
		err = h.log.Save(ready.HardState, ready.Entries)
	}

	h.disk.Limit(-1)

	if err != nil {
		n.kill(h)
	}

	return err == nil
}

func (n *network) finishRead(h *host, read raft.Read) {
	if read.LeadershipLost {
		return
	}

	minIndex := n.minReadIndexes[read.ID]
	n.expect(read.Index >= minIndex && h.applied >= read.Index,
		"host %v: read %d at index %d, applied %d, misses index %d", h.id, read.ID, read.Index, h.applied, minIndex)
	n.confirmedReads++
}

// checkLeaderAndCompact checks that each term has at most one leader, and compacts the log
// when enough entries were applied.
func (n *network) checkLeaderAndCompact(h *host) {
	if h.node == nil {
		return
	}

	s := h.node.Status()
	if s.Role == raft.Leader {
		other, known := n.leaders[s.Term]
		n.expect(!known || other == h.id, "term %d has the leaders %v and %v", s.Term, other, h.id)
		n.leaders[s.Term] = h.id
	}

	if h.applied >= h.snapshot+compactAfterEntries {
		snapshot, err := h.node.Compact(h.applied, n.encode(h.applied, h.stateHash))
		n.check(err)
		n.check(h.log.SaveSnapshot(snapshot))
		n.check(h.log.Compact())

		h.snapshot = h.applied
	}
}

// transmit encodes and decodes a message and schedules its delivery, unless the link is
// cut or the message is lost.
func (n *network) transmit(message raft.Message) {
	n.expect(len(message.Entries) <= 7, "message with %d entries", len(message.Entries))

	encoded, err := raft.EncodeMessage(&message)
	n.check(err)

	decoded, err := raft.DecodeMessage(encoded)
	n.check(err)

	if n.cutLinks[link{message.From, message.To}] || n.random.IntN(100) < n.lossPercent {
		return
	}

	for copies := 1; copies > 0; copies-- {
		delay := time.Duration(n.random.Int64N(int64(2 * tickInterval)))

		if n.random.IntN(100) < n.lossPercent {
			delay += time.Duration(n.random.Int64N(int64(2 * electionTimeout)))
		}

		if n.random.IntN(100) < n.lossPercent {
			copies++
		}

		n.inFlight = append(n.inFlight, inFlightMessage{due: n.now.Add(delay), message: *decoded})
	}
}

// advance runs the simulation for a duration. Random delays reorder messages between
// ticks; those due in the same tick arrive in the order in which they were sent.
func (n *network) advance(duration time.Duration) {
	for deadline := n.now.Add(duration); n.now.Before(deadline); {
		n.now = n.now.Add(tickInterval)
		due := n.inFlight
		n.inFlight = nil

		for _, f := range due {
			if f.due.After(n.now) {
				n.inFlight = append(n.inFlight, f)
			} else if h := n.hosts[f.message.To]; h != nil && h.node != nil {
				h.inbox = append(h.inbox, f.message)
			}
		}

		for _, id := range n.order {
			n.runHost(n.hosts[id])
		}
	}
}

func (n *network) runHost(h *host) {
	if h.node == nil || h.frozen {
		return
	}

	inbox := h.inbox
	h.inbox = nil

	if n.random.IntN(2) == 0 {
		h.node.Tick(n.now)
	}

	for _, message := range inbox {
		if h.node == nil {
			return
		}

		n.check(h.node.Receive(message))

		if n.random.IntN(3) == 0 {
			n.handle(h)
		}
	}

	if h.node != nil {
		h.node.Tick(n.now)
		n.handle(h)
	}
}
