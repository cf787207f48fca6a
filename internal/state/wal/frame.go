package wal

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
)

// AppendFrame appends a payload with a header that lets NextFrame distinguish a
// complete frame from one that was torn by a crash. The offset is the position of
// the frame in its file.
func AppendFrame(buffer []byte, offset int64, payload []byte) ([]byte, error) {
	framed, err := frame(location{offset: offset}, payload, MaxRecordBytes)
	if err != nil {
		return buffer, newError("append", KindTooLarge, "", offset, err)
	}

	return append(buffer, framed...), nil
}

// NextFrame returns the payload of the frame at an offset of a file, and the
// offset of the next frame. An error means that the file has no complete frame at
// the offset.
func NextFrame(data []byte, offset int64) (payload []byte, next int64, err error) {
	payload, length, err := unframe(location{offset: offset}, data[offset:], MaxRecordBytes)
	if err != nil {
		return nil, offset, newError("read", KindCorrupt, "", offset, err)
	}

	return payload, offset + length, nil
}

// ReplaceFile writes a file under a temporary name, syncs it, renames it and syncs
// the directory, so that the name never refers to a partial file.
func ReplaceFile(files Files, directory, name string, data []byte) error {
	target := filepath.Join(directory, name)
	temporary := target + temporarySuffix

	if err := files.Remove(temporary); err != nil {
		return newError("replace", KindFiles, temporary, 0, err)
	}

	file, err := files.Append(temporary)
	if err != nil {
		return newError("replace", KindFiles, temporary, 0, err)
	}

	if err := errors.Join(WriteSync(file, data), file.Close()); err != nil {
		return newError("replace", KindFiles, temporary, 0, err)
	}

	if err := files.Rename(temporary, target); err != nil {
		return newError("replace", KindFiles, target, 0, err)
	}

	if err := files.SyncDirectory(directory); err != nil {
		return newError("replace", KindFiles, directory, 0, err)
	}

	return nil
}

// WriteSync writes data and syncs the file. A short write is an error, even if the
// file reports none.
func WriteSync(file File, data []byte) error {
	written, err := file.Write(data)

	switch {
	case err != nil:
		return err
	case written < len(data):
		return io.ErrShortWrite
	}

	return file.Sync()
}

// ReadIfExists returns the contents of a file, or nil if it does not exist.
func ReadIfExists(files Files, name string) ([]byte, error) {
	data, err := files.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}

	return data, err
}
