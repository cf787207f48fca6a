package checkpoint

import (
	"errors"
	"path/filepath"
	"time"

	"jayspindle/internal/state/wal"
)

const (
	fileName = "flows"

	// The file is rewritten when it exceeds maxFileGrowthFactor times the size of
	// the store by more than maxFileSlackBytes.
	maxFileSlackBytes   = 1 << 20
	maxFileGrowthFactor = 4
)

// File stores batches on disk. It is used by a single goroutine, which may block on
// disk operations.
type File struct {
	files     wal.Files
	directory string
	file      wal.File
	size      int64
}

// OpenFile reads the batches of a directory into a store. It ignores a frame that
// was torn by a crash.
func OpenFile(now time.Time, files wal.Files, directory string, store *Store) (*File, error) {
	if err := files.MakeDirectory(directory); err != nil {
		return nil, newError("open", KindFile, err)
	}

	f := &File{files: files, directory: directory}

	data, err := wal.ReadIfExists(files, f.path(fileName))
	if err != nil {
		return nil, newError("open", KindFile, err)
	}

	applyFrames(now, data, store)

	// The file is rewritten, so that no frame is appended after a torn one.
	if err := f.Rewrite(store); err != nil {
		return nil, errors.Join(err, f.Close())
	}

	return f, nil
}

// applyFrames applies the frames of a file up to the first incomplete one.
func applyFrames(now time.Time, data []byte, store *Store) {
	for offset := int64(0); offset < int64(len(data)); {
		payload, next, err := wal.NextFrame(data, offset)
		if err != nil {
			return // the rest was torn by a crash and never acknowledged
		}

		for len(payload) > 0 {
			batch, rest, err := Parse(payload)
			if err != nil {
				return
			}

			store.Apply(now, batch, payload[:len(payload)-len(rest)])

			payload = rest
		}

		offset = next
	}
}

func (f *File) path(name string) string { return filepath.Join(f.directory, name) }

// Append appends encoded batches and syncs the file.
func (f *File) Append(batches []byte) error {
	framed, err := wal.AppendFrame(nil, f.size, batches)
	if err != nil {
		return newError("append", KindFile, err)
	}

	if err := wal.WriteSync(f.file, framed); err != nil {
		return newError("append", KindFile, err)
	}

	f.size += int64(len(framed))

	return nil
}

// Oversized reports whether the file should be rewritten.
func (f *File) Oversized(store *Store) bool {
	return f.size > int64(maxFileGrowthFactor*store.Bytes()+maxFileSlackBytes)
}

// Rewrite replaces the contents of the file with the batches of the store.
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

	if err := wal.ReplaceFile(f.files, f.directory, fileName, contents); err != nil {
		return err
	}

	f.size = int64(len(contents))
	f.file, err = f.files.Append(f.path(fileName))

	return err
}

// Close closes the file.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}

	file := f.file
	f.file = nil

	return file.Close()
}
