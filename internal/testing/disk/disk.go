// Package disk simulates the disk of one instance in memory, for tests of
// durability. A crash loses writes that were not synced, syncs can fail, and
// writes are cut short when the disk is full.
//
// # Usage
//
//	d := disk.New(rand.New(rand.NewPCG(seed, 0)))
//	log, err := wal.Open("data", wal.WithFiles(d))
//	d.Crash() // the open log returns errors from now on
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
	random    *rand.Rand
	files     map[string]*contents // by path, as seen by the running system
	durable   map[string]*contents // by path, as of the last SyncDirectory
	crashes   int                  // number of crashes; a file handle is invalid after the next one
	locked    bool
	freeBytes int // bytes that can still be written, negative for no limit
	failSync  bool
	syncs     int
	openFiles int // handles that were not closed
}

type contents struct {
	data   []byte
	synced int // bytes that survive a crash
}

var _ wal.Files = (*Disk)(nil)

// New returns an empty disk without a space limit. The random source determines
// what a crash loses.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, files: map[string]*contents{}, durable: map[string]*contents{}, freeBytes: -1}
}

// Limit sets how many more bytes can be written; a negative value removes the
// limit.
func (d *Disk) Limit(bytes int) { d.freeBytes = bytes }

// FailSyncs sets whether syncs of files and directories fail.
func (d *Disk) FailSyncs(fail bool) { d.failSync = fail }

// Syncs returns the number of successful syncs of files.
func (d *Disk) Syncs() int { return d.syncs }

// OpenFiles returns the number of files that were opened and not closed.
func (d *Disk) OpenFiles() int { return d.openFiles }

// Contents returns the bytes of a file without copying, so that a test can
// corrupt them in place. It returns nil if the file does not exist.
func (d *Disk) Contents(name string) []byte {
	if file := d.files[name]; file != nil {
		return file.data
	}

	return nil
}

// Replace sets the bytes of a file and makes them durable.
func (d *Disk) Replace(name string, data []byte) {
	file := &contents{data: data, synced: len(data)}
	d.files[name], d.durable[name] = file, file
}

// Crash simulates a crash of the instance. At random, each unsynced creation,
// rename or removal is kept or reverted, and any part of the unsynced tail of
// each file is lost or zeroed. It releases the lock and invalidates open files.
func (d *Disk) Crash() {
	survivors := maps.Clone(d.durable)

	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if d.random.IntN(2) == 0 {
			survivors[name] = d.files[name]
		}
	}

	for _, name := range slices.Sorted(maps.Keys(survivors)) {
		if d.files[name] == nil && d.random.IntN(2) == 0 {
			delete(survivors, name)

			continue
		}

		d.tear(survivors[name])
	}

	d.files, d.durable = survivors, maps.Clone(survivors)
	d.locked = false
	d.crashes++
}

// tear truncates the unsynced tail of a file and zeroes parts of it at random.
func (d *Disk) tear(file *contents) {
	unsynced := file.data[file.synced:]
	if len(unsynced) == 0 {
		return
	}

	unsynced = unsynced[:d.random.IntN(len(unsynced)+1)]

	if len(unsynced) > 0 && d.random.IntN(2) == 0 {
		clear(unsynced[d.random.IntN(len(unsynced)):][:1])
		clear(unsynced[:d.random.IntN(len(unsynced))])
	}

	file.data = file.data[:file.synced+len(unsynced)]
	file.synced = len(file.data)
}

// MakeDirectory does nothing, because files are stored by their full path.
func (d *Disk) MakeDirectory(string) error { return nil }

// Lock takes the lock. A disk has only one, whatever the directory.
func (d *Disk) Lock(string) (io.Closer, error) {
	if d.locked {
		return nil, ErrLocked
	}

	d.locked = true

	return heldLock{d}, nil
}

type heldLock struct{ disk *Disk }

func (l heldLock) Close() error {
	l.disk.locked = false

	return nil
}

// List returns the sorted names of the files in a directory.
func (d *Disk) List(directory string) ([]string, error) {
	var names []string

	for name := range d.files {
		if filepath.Dir(name) == directory {
			names = append(names, filepath.Base(name))
		}
	}

	slices.Sort(names)

	return names, nil
}

// Read returns a copy of a file's bytes.
func (d *Disk) Read(name string) ([]byte, error) {
	file := d.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}

	return slices.Clone(file.data), nil
}

// Append opens a file for appending and creates it if it doesn't exist.
func (d *Disk) Append(name string) (wal.File, error) {
	file := d.files[name]
	if file == nil {
		file = &contents{}
		d.files[name] = file
	}

	d.openFiles++

	return &handle{disk: d, contents: file, crashes: d.crashes}, nil
}

// Truncate cuts a file and syncs it.
func (d *Disk) Truncate(name string, size int64) error {
	file := d.files[name]
	if file == nil {
		return fs.ErrNotExist
	}

	file.data = file.data[:size]
	file.synced = int(size)

	return nil
}

// Rename renames a file and replaces newName if it exists.
func (d *Disk) Rename(oldName, newName string) error {
	file := d.files[oldName]
	if file == nil {
		return fs.ErrNotExist
	}

	d.files[newName] = file
	delete(d.files, oldName)

	return nil
}

// Remove removes a file if it exists.
func (d *Disk) Remove(name string) error {
	delete(d.files, name)

	return nil
}

// SyncDirectory makes all creations, renames and removals durable.
func (d *Disk) SyncDirectory(string) error {
	if d.failSync {
		return ErrSync
	}

	d.durable = maps.Clone(d.files)

	return nil
}

type handle struct {
	disk     *Disk
	contents *contents
	crashes  int
	closed   bool
}

// Write appends data, or the part for which there is space.
func (h *handle) Write(data []byte) (int, error) {
	if h.crashes != h.disk.crashes {
		return 0, ErrCrashed
	}

	var err error

	if freeBytes := h.disk.freeBytes; freeBytes >= 0 {
		if len(data) > freeBytes {
			data, err = data[:freeBytes], ErrFull
		}

		h.disk.freeBytes -= len(data)
	}

	h.contents.data = append(h.contents.data, data...)

	return len(data), err
}

// Sync makes the bytes written so far durable.
func (h *handle) Sync() error {
	if h.crashes != h.disk.crashes {
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
func (h *handle) Close() error {
	if !h.closed {
		h.closed = true
		h.disk.openFiles--
	}

	return nil
}
