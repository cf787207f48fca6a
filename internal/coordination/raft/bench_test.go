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

// benchCluster runs three replicas in one process with real files on one disk.
type benchCluster struct {
	nodes          [3]*raft.Node
	logs           [3]*wal.Log
	appliedEntries int
}

func newBenchCluster(b *testing.B) *benchCluster {
	b.Helper()

	is := is.New(b)
	c := &benchCluster{}
	directory := b.TempDir()
	members := []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	now := time.Unix(0, 0)
	initial := raft.Bootstrap(members, nil)

	for i := range c.nodes {
		var err error

		id := raft.ReplicaID(i + 1)
		c.logs[i], err = wal.Open(filepath.Join(directory, fmt.Sprint(i)), wal.WithReplica(id))
		is.NoErr(err)
		is.NoErr(c.logs[i].SaveSnapshot(&initial))

		c.nodes[i], err = raft.New(raft.Config{
			Replica: id, Cluster: cluster, Generation: generation, Random: rand.New(rand.NewPCG(1, 1)), Now: now,
			MaxLogEntries: 1 << 40,
		}, c.logs[i].TakeStored())
		is.NoErr(err)
	}

	c.nodes[0].Tick(now.Add(time.Hour))
	c.processAll(b)

	return c
}

// processAll handles what each Ready returns until all replicas are idle.
func (c *benchCluster) processAll(b *testing.B) {
	is := is.New(b)

	for busy := true; busy; {
		busy = false

		for i, node := range c.nodes {
			ready, ok := node.Ready()
			if !ok {
				continue
			}

			busy = true

			is.NoErr(c.logs[i].Save(ready.HardState, ready.Entries))

			for _, message := range ready.Messages {
				is.NoErr(c.nodes[message.To-1].Receive(message))
			}

			if i == 0 {
				c.appliedEntries += len(ready.Committed)
			}

			node.Advance(ready)
		}
	}
}

// BenchmarkPropose measures the throughput of committed and applied proposals. All
// replicas run in one goroutine, so their fsyncs on the shared disk are sequential.
func BenchmarkPropose(b *testing.B) {
	for _, batch := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			is := is.New(b)
			c := newBenchCluster(b)
			command := make([]byte, 256)
			appliedBefore := c.appliedEntries

			for b.Loop() {
				for range batch {
					_, _, err := c.nodes[0].Propose(command)
					is.NoErr(err)
				}

				c.processAll(b)
			}

			is.Equal(c.appliedEntries-appliedBefore, b.N*batch)
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
