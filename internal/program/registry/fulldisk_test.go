package registry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jayspindle/internal/state/wal"
)

// limitedDisk is a disk that can be full: it takes the rest of its space as a short write
// and refuses what follows.
type limitedDisk struct {
	wal.Files

	mutex   sync.Mutex
	free    int // bytes that can still be written, negative for no limit
	refused int
	only    string // base name of the file that the limit applies to, empty for all
	spared  int    // writes that the limit does not apply to yet
}

func newLimitedDisk() *limitedDisk { return &limitedDisk{Files: wal.WithoutModes(), free: -1} }

// limit sets how many more bytes can be written; a negative value removes the limit.
func (d *limitedDisk) limit(free int, only string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.free, d.only = free, only
}

// limitAfter limits the writes of a file after so many of them.
func (d *limitedDisk) limitAfter(writes, free int, only string) {
	d.limit(free, only)

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.spared = writes
}

// refusals returns the number of refused writes.
func (d *limitedDisk) refusals() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.refused
}

// take returns how many of the bytes can be written.
func (d *limitedDisk) take(name string, bytes int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.free < 0 || (d.only != "" && d.only != name) {
		return bytes
	}

	if d.spared > 0 {
		d.spared--

		return bytes
	}

	taken := min(bytes, d.free)
	d.free -= taken

	if taken < bytes {
		d.refused++
	}

	return taken
}

func (d *limitedDisk) Append(name string) (wal.File, error) {
	file, err := d.Files.Append(name)
	if err != nil {
		return nil, err
	}

	return &limitedFile{File: file, disk: d, name: filepath.Base(name)}, nil
}

type limitedFile struct {
	wal.File

	disk *limitedDisk
	name string
}

func (f *limitedFile) Write(data []byte) (int, error) {
	taken := f.disk.take(f.name, len(data))
	if taken == len(data) {
		return f.File.Write(data)
	}

	written, err := f.File.Write(data[:taken])
	if err != nil {
		return written, err
	}

	return written, syscall.ENOSPC
}

// TestFullDiskAtJoin guards against a group that accepts no documents any more because the
// disk of a new controller was full for a moment when it was added.
func TestFullDiskAtJoin(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(5)
	c.submit(1)
	c.kill(2)

	// The first write of the identity is that of a new directory.
	full := newLimitedDisk()
	full.limitAfter(1, 0, "identity.tmp")
	c.disks["6"] = full
	c.start(6, "6", false)
	c.eventually("the identity is refused", func() bool { return full.refusals() > 0 })
	full.limit(-1, "")

	c.expectMembers(1, 3, 4, 5, 6)
	c.submit(2)

	// The new controller counts: two more may be lost.
	c.kill(3)
	c.kill(4)
	c.submit(3)
	c.expectDocument(3)
}

// storm submits documents to all controllers without a pause, until it is stopped.
type storm struct {
	version  atomic.Uint64 // of the last document
	accepted atomic.Uint64
	stop     context.CancelFunc
	done     sync.WaitGroup
}

func (c *cluster) startStorm(from uint64) *storm {
	ctx, stop := context.WithCancel(context.Background())
	s := &storm{stop: stop}
	s.version.Store(from)

	for range 4 {
		s.done.Go(func() {
			for ctx.Err() == nil {
				version := s.version.Add(1)

				for _, p := range c.processes() {
					if _, err := p.Submit(ctx, version, document(version)); err == nil {
						s.accepted.Add(1)

						break
					}
				}
			}
		})
	}

	return s
}

func (s *storm) end() (lastVersion uint64) {
	s.stop()
	s.done.Wait()

	return s.version.Load()
}

// processes returns the running controllers.
func (c *cluster) processes() []*process {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	found := make([]*process, 0, len(c.running))
	for _, p := range c.running {
		found = append(found, p)
	}

	return found
}

// TestFullDisksInTurn guards against documents that are refused or stay unanswered for
// good after the disks were full one after another, while changes go on, controllers
// restart, and one is replaced.
func TestFullDisksInTurn(t *testing.T) {
	t.Parallel()

	const (
		rounds   = 7
		deadline = 5 * time.Second // of a document once all disks have room
	)

	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()

			random := rand.New(rand.NewPCG(seed, 0))
			c := newCluster(t)
			c.bootstrap(5)
			c.submit(1)

			changes := c.startStorm(1)
			numbers := []int{1, 2, 3, 4, 5}

			for round := range rounds {
				index := random.IntN(len(numbers))
				number := numbers[index]
				full := c.disks[fmt.Sprint(number)]
				full.limit(random.IntN(20_000), "")

				time.Sleep(time.Duration(200+random.IntN(900)) * time.Millisecond)

				switch random.IntN(4) {
				case 0: // the controller restarts while its disk is full
					c.kill(number)
					c.start(number, fmt.Sprint(number), false)
					time.Sleep(300 * time.Millisecond)
				case 1: // another one takes its place
					c.kill(number)

					numbers[index] = 6 + round
					c.start(numbers[index], fmt.Sprint(numbers[index]), false)
				}

				full.limit(-1, "")
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}

			version := changes.end()
			t.Logf("%d of %d documents accepted", changes.accepted.Load(), version)

			for range 20 {
				version++
				begin := time.Now()

				c.submit(version)
				c.is.True(time.Since(begin) < deadline)
			}

			c.expectDocument(version)
		})
	}
}
