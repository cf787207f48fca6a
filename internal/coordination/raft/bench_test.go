package raft_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/wal"
)

// trio is three replicas in one process with real files on one disk.
type trio struct {
	nodes   [3]*raft.Node
	logs    [3]*wal.Log
	applied int
}

func newTrio(b *testing.B) *trio {
	b.Helper()

	is := is.New(b)
	t := &trio{}
	directory := b.TempDir()
	members := []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	now := time.Unix(0, 0)
	first := raft.Bootstrap(members, nil)

	for i := range t.nodes {
		var err error

		id := raft.ReplicaID(i + 1)
		t.logs[i], err = wal.Open(filepath.Join(directory, fmt.Sprint(i)), wal.WithReplica(id))
		is.NoErr(err)
		is.NoErr(t.logs[i].SaveSnapshot(&first))

		t.nodes[i], err = raft.New(raft.Config{
			Replica: id, Cluster: cluster, Generation: generation, Random: rand.New(rand.NewPCG(1, 1)), Now: now,
			MaxLogEntries: 1 << 40,
		}, t.logs[i].Stored())
		is.NoErr(err)
	}

	t.nodes[0].Tick(now.Add(time.Hour))
	t.settle(b)

	return t
}

// settle handles everything that is ready until all replicas are idle.
func (t *trio) settle(b *testing.B) {
	is := is.New(b)

	for busy := true; busy; {
		busy = false

		for i, node := range t.nodes {
			ready, ok := node.Ready()
			if !ok {
				continue
			}

			busy = true

			is.NoErr(t.logs[i].Save(ready.HardState, ready.Entries))

			for _, message := range ready.Messages {
				is.NoErr(t.nodes[message.To-1].Receive(message))
			}

			if i == 0 {
				t.applied += len(ready.Committed)
			}

			node.Advance(ready)
		}
	}
}

// BenchmarkPropose measures proposals that are committed and applied, with every
// replica's fsync on the same disk, one after the other in one goroutine.
func BenchmarkPropose(b *testing.B) {
	for _, batch := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			is := is.New(b)
			t := newTrio(b)
			command := make([]byte, 256)
			start := t.applied

			for b.Loop() {
				for range batch {
					_, _, err := t.nodes[0].Propose(command)
					is.NoErr(err)
				}

				t.settle(b)
			}

			is.Equal(t.applied-start, b.N*batch)
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
