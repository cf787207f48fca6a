package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A record consists of a header and a payload, which is a batch in CBOR. The header
// has four little-endian fields: length of the payload (4 bytes), offset of the
// record in its file (8), checksum of these two (4), checksum of the payload (4).
// The checksums are CRC-32C (Castagnoli); that of the payload is seeded with the
// location of the record. The header has a checksum of its own, so that a damaged
// length is detected before it is used. That checksum doesn't depend on the
// location, so that a misplaced record is still recognised as a record.
const (
	headerBytes           = 20
	offsetFieldOffset     = 4
	headerChecksumOffset  = 12
	payloadChecksumOffset = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errChecksum  = errors.New("checksum does not match")
	errTruncated = errors.New("record is truncated")
	errGap       = errors.New("entries are missing")
	errMisplaced = errors.New("record belongs to another offset")
)

// batch is the payload of a record.
type batch struct {
	HardState *HardState      `cbor:"1,keyasint,omitempty"`
	Entries   []Entry         `cbor:"2,keyasint,omitempty"`
	Marker    *snapshotMarker `cbor:"3,keyasint,omitempty"`
}

// snapshotMarker records that a snapshot was saved.
type snapshotMarker struct {
	Index uint64 `cbor:"1,keyasint"`
	Reset bool   `cbor:"2,keyasint"` // the log did not match the snapshot and was discarded
}

// location identifies the position of a record: replica, segment and offset.
type location struct {
	replica  ReplicaID
	sequence uint64
	offset   int64
}

// seed returns the initial value of the payload's checksum.
func (l location) seed() uint32 {
	var encoded [24]byte

	binary.LittleEndian.PutUint64(encoded[0:], uint64(l.replica))
	binary.LittleEndian.PutUint64(encoded[8:], l.sequence)
	binary.LittleEndian.PutUint64(encoded[16:], uint64(l.offset))

	return crc32.Checksum(encoded[:], castagnoli)
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}

func encodeRecord(at location, b *batch) ([]byte, error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}

	return frame(at, payload, MaxRecordBytes)
}

// frame adds the header to a payload.
func frame(at location, payload []byte, limit int) ([]byte, error) {
	if len(payload) > limit {
		return nil, fmt.Errorf("%d bytes exceed the limit of %d", len(payload), limit)
	}

	record := make([]byte, headerBytes, headerBytes+len(payload))

	binary.LittleEndian.PutUint32(record, uint32(len(payload)))
	binary.LittleEndian.PutUint64(record[offsetFieldOffset:], uint64(at.offset))
	binary.LittleEndian.PutUint32(record[headerChecksumOffset:], crc32.Checksum(record[:headerChecksumOffset], castagnoli))
	binary.LittleEndian.PutUint32(record[payloadChecksumOffset:], crc32.Update(at.seed(), castagnoli, payload))

	return append(record, payload...), nil
}

// isHeader reports whether data starts with a valid header for any location.
func isHeader(data []byte) bool {
	return len(data) >= headerBytes &&
		binary.LittleEndian.Uint32(data[headerChecksumOffset:]) == crc32.Checksum(data[:headerChecksumOffset], castagnoli)
}

// unframe returns the payload of the record at the start of data, and the size of
// the record if its header is intact, 0 otherwise. errTruncated means that data
// ends before the record does, errChecksum that header or payload are damaged.
func unframe(at location, data []byte, limit int) (payload []byte, size int64, err error) {
	if len(data) < headerBytes {
		return nil, 0, errTruncated
	}

	if !isHeader(data) {
		return nil, 0, errChecksum
	}

	if offset := binary.LittleEndian.Uint64(data[offsetFieldOffset:]); offset != uint64(at.offset) {
		return nil, 0, fmt.Errorf("%w: %d", errMisplaced, offset)
	}

	length := int64(binary.LittleEndian.Uint32(data))
	if length > int64(limit) {
		return nil, 0, fmt.Errorf("length %d exceeds the limit of %d", length, limit)
	}

	size = headerBytes + length
	if int64(len(data)) < size {
		return nil, size, errTruncated
	}

	payload = data[headerBytes:size]
	if binary.LittleEndian.Uint32(data[payloadChecksumOffset:]) != crc32.Update(at.seed(), castagnoli, payload) {
		return nil, size, errChecksum
	}

	return payload, size, nil
}

// decodeRecord returns the batch of the record at the start of data and the size
// of the record.
func decodeRecord(at location, data []byte) (*batch, int64, error) {
	payload, size, err := unframe(at, data, MaxRecordBytes)
	if err != nil {
		return nil, size, err
	}

	b := new(batch)
	if err := decMode.Unmarshal(payload, b); err != nil {
		return nil, size, fmt.Errorf("decoding record: %w", err)
	}

	return b, size, nil
}
