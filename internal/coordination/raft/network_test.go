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
	cluster         = 77
	generation      = 2
	step            = 5 * time.Millisecond
	electionTimeout = 100 * time.Millisecond
	compactAfter    = 25
)

// host is a replica with its disk and application. The application's state is a
// hash over all commands, so that a lost, changed or repeated one shows.
type host struct {
	id       raft.ReplicaID
	disk     *disk.Disk
	log      *wal.Log
	node     *raft.Node // nil while it is down
	frozen   bool
	inbox    []raft.Message
	applied  uint64
	state    uint64
	snapshot uint64
}

type link struct{ from, to raft.ReplicaID }

type flight struct {
	due     time.Time
	message raft.Message
}

// network runs hosts, loses messages and checks what Raft promises.
type network struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	hosts   map[raft.ReplicaID]*host
	order   []raft.ReplicaID
	flights []flight
	cut     map[link]bool
	loss    int // percent of messages lost, duplicated, late

	leaders   map[uint64]raft.ReplicaID // by term
	states    map[uint64]uint64         // state after each applied index
	highest   uint64
	floors    map[uint64]uint64 // by read: highest applied index when it was asked
	reads     uint64
	confirmed int
	installs  int
	proposed  map[uint64]bool // numbers accepted by a leader
	committed map[uint64]int  // how often each number was applied, by first appliers
	crash     bool            // kill hosts in the middle of handling a Ready
	members   []raft.Member
}

func newNetwork(t *testing.T, seed uint64, size int) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0),
		hosts: map[raft.ReplicaID]*host{}, cut: map[link]bool{}, leaders: map[uint64]raft.ReplicaID{},
		states: map[uint64]uint64{1: 0}, highest: 1, floors: map[uint64]uint64{},
		proposed: map[uint64]bool{}, committed: map[uint64]int{},
	}

	for id := range size {
		n.members = append(n.members, raft.Member{ID: raft.ReplicaID(id + 1)})
	}

	for _, member := range n.members {
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
		first := raft.Bootstrap(n.members, n.encode(1, 0))
		n.check(log.SaveSnapshot(&first))
	}

	stored := log.Stored()

	h.log, h.frozen, h.inbox = log, false, nil
	h.node, err = raft.New(raft.Config{
		Replica: log.Identity().Replica, Cluster: cluster, Generation: generation, Random: n.random, Now: n.now,
		ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 5, KeepEntries: 10,
		MaxAppendEntries: 7, MaxInflight: 3, ChunkBytes: 5, PromoteLag: 5, MaxApplyEntries: 20,
	}, stored)
	n.check(err)

	h.applied, h.state, h.snapshot = 0, 0, 0

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

// kill stops a host; its disk loses what was not synced.
func (n *network) kill(h *host) {
	h.node, h.log, h.inbox = nil, nil, nil
	h.disk.Crash()
}

func (n *network) encode(index, state uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, index), state)
}

func (n *network) restore(h *host, s *raft.Snapshot) {
	n.expect(s.Index > h.applied, "host %v: snapshot %d reverts applied index %d", h.id, s.Index, h.applied)
	n.expect(len(s.Data) == 16 && binary.BigEndian.Uint64(s.Data) == s.Index, "snapshot %d is damaged", s.Index)

	h.applied, h.state, h.snapshot = s.Index, binary.BigEndian.Uint64(s.Data[8:]), s.Index
	n.expect(h.state == n.states[s.Index], "host %v: snapshot %d has another state", h.id, s.Index)
}

func (n *network) apply(h *host, entry raft.Entry) {
	n.expect(entry.Index == h.applied+1, "host %v applies %d after %d", h.id, entry.Index, h.applied)

	h.applied = entry.Index
	h.state = xxhash.Sum64(slices.Concat(n.encode(entry.Term, h.state), entry.Data))

	if state, ok := n.states[entry.Index]; ok {
		n.expect(state == h.state, "host %v: committed entry %d changed", h.id, entry.Index)

		return
	}

	n.states[entry.Index] = h.state
	n.highest = max(n.highest, entry.Index)

	if entry.Kind == wal.EntryCommand {
		n.committed[binary.BigEndian.Uint64(entry.Data)]++
	}
}

// handle does what every owner of a node does, and may die at any step.
func (n *network) handle(h *host) {
	for h.node != nil {
		ready, ok := h.node.Ready()
		if !ok {
			return
		}

		if n.diesNow(h) || !n.save(h, &ready) || n.diesNow(h) {
			return
		}

		for _, message := range ready.Messages {
			n.post(message)
		}

		if n.diesNow(h) {
			return
		}

		for _, entry := range ready.Committed {
			n.apply(h, entry)
		}

		for _, read := range ready.Reads {
			n.finishRead(h, read)
		}

		h.node.Advance(ready)
		n.inspect(h)
	}
}

func (n *network) diesNow(h *host) bool {
	if !n.crash || n.random.IntN(2000) > 0 {
		return false
	}

	n.kill(h)

	return true
}

func (n *network) save(h *host, ready *raft.Ready) bool {
	if n.crash && n.random.IntN(2000) == 0 {
		h.disk.Limit(n.random.IntN(50))
	}

	var err error

	if ready.Snapshot != nil {
		if err = h.log.SaveSnapshot(ready.Snapshot); err == nil {
			n.restore(h, ready.Snapshot)
			n.installs++
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
	if read.Lost {
		return
	}

	floor := n.floors[read.ID]
	n.expect(read.Index >= floor && h.applied >= read.Index,
		"host %v: read %d at index %d, applied %d, misses index %d", h.id, read.ID, read.Index, h.applied, floor)
	n.confirmed++
}

// inspect checks one leader per term and compacts.
func (n *network) inspect(h *host) {
	if h.node == nil {
		return
	}

	s := h.node.Status()
	if s.Role == raft.Leader {
		other, known := n.leaders[s.Term]
		n.expect(!known || other == h.id, "term %d has the leaders %v and %v", s.Term, other, h.id)
		n.leaders[s.Term] = h.id
	}

	if h.applied >= h.snapshot+compactAfter {
		snapshot, err := h.node.Compact(h.applied, n.encode(h.applied, h.state))
		n.check(err)
		n.check(h.log.SaveSnapshot(snapshot))
		n.check(h.log.Compact())

		h.snapshot = h.applied
	}
}

// post puts a message on the wire through the codec.
func (n *network) post(message raft.Message) {
	n.expect(len(message.Entries) <= 7, "message with %d entries", len(message.Entries))

	encoded, err := raft.EncodeMessage(&message)
	n.check(err)

	decoded, err := raft.DecodeMessage(encoded)
	n.check(err)

	if n.cut[link{message.From, message.To}] || n.random.IntN(100) < n.loss {
		return
	}

	for copies := 1; copies > 0; copies-- {
		delay := time.Duration(n.random.Int64N(int64(2 * step)))

		if n.random.IntN(100) < n.loss {
			delay += time.Duration(n.random.Int64N(int64(2 * electionTimeout)))
		}

		if n.random.IntN(100) < n.loss {
			copies++
		}

		n.flights = append(n.flights, flight{due: n.now.Add(delay), message: *decoded})
	}
}

// run lets time pass. Messages that are due arrive in the order of posting, which
// random delays have changed.
func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); {
		n.now = n.now.Add(step)
		due := n.flights
		n.flights = nil

		for _, f := range due {
			if f.due.After(n.now) {
				n.flights = append(n.flights, f)
			} else if h := n.hosts[f.message.To]; h != nil && h.node != nil {
				h.inbox = append(h.inbox, f.message)
			}
		}

		for _, id := range n.order {
			n.turn(n.hosts[id])
		}
	}
}

func (n *network) turn(h *host) {
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
