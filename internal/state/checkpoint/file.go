package checkpoint

import (
	"errors"
	"path/filepath"
	"time"

	"jayspindle/internal/state/wal"
)

const (
	fileName = "flows"

	// fileSlack and fileGrowth bound the file beyond what the store holds,
	// before it is written anew.
	fileSlack  = 1 << 20
	fileGrowth = 4
)

// File keeps batches on a disk. Only its goroutine uses it, and may wait for the
// disk.
type File struct {
	files     wal.Files
	directory string
	open      wal.File
	size      int64
}

// OpenFile reads the batches of a directory into a store. What a crash has torn
// off is left out.
func OpenFile(now time.Time, files wal.Files, directory string, store *Store) (*File, error) {
	if err := files.MakeDirectory(directory); err != nil {
		return nil, newError("open", KindFile, err)
	}

	f := &File{files: files, directory: directory}

	data, err := wal.ReadIfExists(files, f.path(fileName))
	if err != nil {
		return nil, newError("open", KindFile, err)
	}

	load(now, data, store)

	// The file is written anew, so that nothing follows a torn frame.
	if err := f.Rewrite(store); err != nil {
		return nil, errors.Join(err, f.Close())
	}

	return f, nil
}

// load applies the frames of a file up to the first one that is not whole.
func load(now time.Time, data []byte, store *Store) {
	for offset := int64(0); offset < int64(len(data)); {
		payload, end, err := wal.NextFrame(data, offset)
		if err != nil {
			return // a crash has torn the rest, which was not acknowledged
		}

		for len(payload) > 0 {
			batch, rest, err := Parse(payload)
			if err != nil {
				return
			}

			store.Apply(now, batch, payload[:len(payload)-len(rest)])

			payload = rest
		}

		offset = end
	}
}

func (f *File) path(name string) string { return filepath.Join(f.directory, name) }

// Append adds encoded batches and syncs them.
func (f *File) Append(batches []byte) error {
	framed, err := wal.AppendFrame(nil, f.size, batches)
	if err != nil {
		return newError("append", KindFile, err)
	}

	if err := wal.WriteSync(f.open, framed); err != nil {
		return newError("append", KindFile, err)
	}

	f.size += int64(len(framed))

	return nil
}

// Oversized reports whether the file should be written anew.
func (f *File) Oversized(store *Store) bool {
	return f.size > int64(fileGrowth*store.Bytes()+fileSlack)
}

// Rewrite replaces the file by what the store holds.
func (f *File) Rewrite(store *Store) error {
	if err := f.rewrite(store); err != nil {
		return newError("rewrite", KindFile, err)
	}

	return nil
}

func (f *File) rewrite(store *Store) error {
	if err := f.Close(); err != nil {
		return err
	}

	var (
		contents []byte
		err      error
	)

	for _, batches := range store.All() {
		if contents, err = wal.AppendFrame(contents, int64(len(contents)), batches); err != nil {
			return err
		}
	}

	if err := wal.Replace(f.files, f.directory, fileName, contents); err != nil {
		return err
	}

	f.size = int64(len(contents))
	f.open, err = f.files.Append(f.path(fileName))

	return err
}

// Close closes the file.
func (f *File) Close() error {
	if f.open == nil {
		return nil
	}

	open := f.open
	f.open = nil

	return open.Close()
}
