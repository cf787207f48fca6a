// Package disk simulates the disk of one instance in memory: a crash loses what
// was not synced, writes can be cut short and the disk can be full.
//
// # Usage
//
//	d := disk.New(rand.New(rand.NewPCG(seed, 0)))
//	log, err := wal.Open("data", wal.WithFiles(d))
//	d.Crash() // log is unusable now
//	log, err = wal.Open("data", wal.WithFiles(d))
package disk

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"jayspindle/internal/state/wal"
)

// The errors of simulated failures.
var (
	ErrCrashed = errors.New("the instance crashed")
	ErrFull    = errors.New("no space left on device")
	ErrSync    = errors.New("input/output error")
	ErrLocked  = errors.New("the directory is locked")
)

// Disk implements wal.Files.
type Disk struct {
	random   *rand.Rand
	names    map[string]*contents // as the running system sees them
	durable  map[string]*contents // as of the last SyncDirectory
	boot     int                  // files opened before a crash are dead
	locked   bool
	space    int // bytes that can still be written, negative for no limit
	failSync bool
	syncs    int
}

type contents struct {
	data   []byte
	synced int // bytes that survive a crash
}

var _ wal.Files = (*Disk)(nil)

// New returns an empty disk. The random source decides what a crash loses.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, names: map[string]*contents{}, durable: map[string]*contents{}, space: -1}
}

// Limit lets only that many bytes more be written; negative removes the limit.
func (d *Disk) Limit(bytes int) { d.space = bytes }

// FailSyncs makes every sync fail, or succeed again.
func (d *Disk) FailSyncs(fail bool) { d.failSync = fail }

// Syncs returns the number of successful syncs of files.
func (d *Disk) Syncs() int { return d.syncs }

// Contents returns the bytes of a file, to be changed in place.
func (d *Disk) Contents(name string) []byte {
	if file := d.names[name]; file != nil {
		return file.data
	}

	return nil
}

// Replace sets the bytes of a file.
func (d *Disk) Replace(name string, data []byte) {
	file := &contents{data: data, synced: len(data)}
	d.names[name], d.durable[name] = file, file
}

// Crash loses what was not synced: every name that was not synced reverts or
// not, and of every file any part of the unsynced end is lost or zero.
func (d *Disk) Crash() {
	survivors := maps.Clone(d.durable)

	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if d.random.IntN(2) == 0 {
			survivors[name] = d.names[name]
		}
	}

	for _, name := range slices.Sorted(maps.Keys(survivors)) {
		if d.names[name] == nil && d.random.IntN(2) == 0 {
			delete(survivors, name)

			continue
		}

		d.tear(survivors[name])
	}

	d.names, d.durable = survivors, maps.Clone(survivors)
	d.locked = false
	d.boot++
}

// tear damages the unsynced end of a file.
func (d *Disk) tear(file *contents) {
	end := file.data[file.synced:]
	if len(end) == 0 {
		return
	}

	end = end[:d.random.IntN(len(end)+1)]

	if len(end) > 0 && d.random.IntN(2) == 0 {
		clear(end[d.random.IntN(len(end)):][:1])
		clear(end[:d.random.IntN(len(end))])
	}

	file.data = file.data[:file.synced+len(end)]
	file.synced = len(file.data)
}

// MakeDirectory does nothing, since names are paths.
func (d *Disk) MakeDirectory(string) error { return nil }

// Lock takes the only lock of the disk.
func (d *Disk) Lock(string) (io.Closer, error) {
	if d.locked {
		return nil, ErrLocked
	}

	d.locked = true

	return unlock{d}, nil
}

type unlock struct{ disk *Disk }

func (u unlock) Close() error {
	u.disk.locked = false

	return nil
}

// List returns the names in a directory.
func (d *Disk) List(directory string) ([]string, error) {
	var names []string

	for name := range d.names {
		if filepath.Dir(name) == directory {
			names = append(names, filepath.Base(name))
		}
	}

	slices.Sort(names)

	return names, nil
}

// Read returns a copy of a file's bytes.
func (d *Disk) Read(name string) ([]byte, error) {
	file := d.names[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}

	return slices.Clone(file.data), nil
}

// Append opens a file for appending.
func (d *Disk) Append(name string) (wal.File, error) {
	file := d.names[name]
	if file == nil {
		file = &contents{}
		d.names[name] = file
	}

	return &handle{disk: d, contents: file, boot: d.boot}, nil
}

// Truncate cuts a file and syncs it.
func (d *Disk) Truncate(name string, size int64) error {
	file := d.names[name]
	if file == nil {
		return fs.ErrNotExist
	}

	file.data = file.data[:size]
	file.synced = int(size)

	return nil
}

// Rename replaces newName.
func (d *Disk) Rename(oldName, newName string) error {
	file := d.names[oldName]
	if file == nil {
		return fs.ErrNotExist
	}

	d.names[newName] = file
	delete(d.names, oldName)

	return nil
}

// Remove removes a file if it exists.
func (d *Disk) Remove(name string) error {
	delete(d.names, name)

	return nil
}

// SyncDirectory makes all names durable.
func (d *Disk) SyncDirectory(string) error {
	if d.failSync {
		return ErrSync
	}

	d.durable = maps.Clone(d.names)

	return nil
}

type handle struct {
	disk     *Disk
	contents *contents
	boot     int
}

// Write appends data, or as much as fits.
func (h *handle) Write(data []byte) (int, error) {
	if h.boot != h.disk.boot {
		return 0, ErrCrashed
	}

	var err error

	if space := h.disk.space; space >= 0 {
		if len(data) > space {
			data, err = data[:space], ErrFull
		}

		h.disk.space -= len(data)
	}

	h.contents.data = append(h.contents.data, data...)

	return len(data), err
}

// Sync makes the bytes written so far durable.
func (h *handle) Sync() error {
	if h.boot != h.disk.boot {
		return ErrCrashed
	}

	if h.disk.failSync {
		return ErrSync
	}

	h.contents.synced = len(h.contents.data)
	h.disk.syncs++

	return nil
}

// Close does nothing.
func (h *handle) Close() error { return nil }
