package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Files is the set of file operations on a data directory. Tests replace it to
// simulate lost unsynced writes, short writes and full disks.
type Files interface {
	// MakeDirectory creates a directory with mode 0700, or checks that an
	// existing one has no permissions for others.
	MakeDirectory(name string) error
	// Lock takes an exclusive lock, which is released by Close or when the
	// process exits.
	Lock(name string) (io.Closer, error)
	// List returns the names of the files in a directory, sorted.
	List(directory string) ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// Append opens a file for appending and creates it if it doesn't exist.
	Append(name string) (File, error)
	// Truncate truncates a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename renames oldName to newName and replaces a file of that name.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDirectory makes created, renamed and removed directory entries durable.
	SyncDirectory(name string) error
}

// File is an open file that is only appended to.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}

// OS returns the file operations of the operating system.
func OS() Files { return osFiles{} }

type osFiles struct{}

// WithoutModes returns the file operations of the operating system for a file
// system that does not store permissions. The mode of the data directory is not
// checked.
func WithoutModes() Files { return filesWithoutModes{} }

type filesWithoutModes struct{ osFiles }

func (filesWithoutModes) MakeDirectory(name string) error {
	return makeDirectories(filepath.Clean(name))
}

func (osFiles) MakeDirectory(name string) error {
	if err := makeDirectories(filepath.Clean(name)); err != nil {
		return err
	}

	info, err := os.Stat(name)
	if err != nil {
		return err
	}

	if mode := info.Mode().Perm(); mode != directoryMode {
		return fmt.Errorf("directory %q has mode %04o, want %04o", name, mode, directoryMode)
	}

	return nil
}

// makeDirectories creates a directory and its missing parents. It syncs the parent
// of each new directory: otherwise a crash could lose the directory and the synced
// files in it.
func makeDirectories(name string) error {
	if _, err := os.Stat(name); !errors.Is(err, fs.ErrNotExist) {
		return err
	}

	parent := filepath.Dir(name)
	if err := makeDirectories(parent); err != nil {
		return err
	}

	if err := os.Mkdir(name, directoryMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}

	return syncAfter(parent, os.O_RDONLY, func(*os.File) error { return nil })
}

func (osFiles) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}

	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("data directory is in use by another process: %w", err), file.Close())
	}

	return file, nil
}

func (osFiles) List(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}

	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}

	return names, nil
}

func (osFiles) Read(name string) ([]byte, error) { return os.ReadFile(name) }

func (osFiles) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND|os.O_CREATE, fileMode)
}

func (osFiles) Truncate(name string, size int64) error {
	return syncAfter(name, os.O_WRONLY, func(file *os.File) error { return file.Truncate(size) })
}

func (osFiles) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

func (osFiles) Remove(name string) error {
	if err := os.Remove(name); !errors.Is(err, fs.ErrNotExist) {
		return err
	}

	return nil
}

func (osFiles) SyncDirectory(name string) error {
	return syncAfter(name, os.O_RDONLY, func(*os.File) error { return nil })
}

func syncAfter(name string, flag int, change func(*os.File) error) error {
	file, err := os.OpenFile(name, flag, 0)
	if err != nil {
		return err
	}

	if err := change(file); err != nil {
		return errors.Join(err, file.Close())
	}

	return errors.Join(file.Sync(), file.Close())
}
