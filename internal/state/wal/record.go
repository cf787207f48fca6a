package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A record is a header and a payload, a CBOR batch. The header has little-endian
// fields: length of the payload (4 bytes), offset of the record in its file (8),
// checksum of these two (4), checksum of the payload (4). The checksums are
// CRC-32C (Castagnoli); that of the payload is seeded with the place of the
// record. The header has its own, so that a damaged length is not followed, and
// is valid on its own, so that a misplaced record is recognised as a record.
const (
	headerBytes  = 20
	offsetAt     = 4
	headerSumAt  = 12
	payloadSumAt = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errChecksum = errors.New("checksum does not match")
	errCut      = errors.New("record is cut off")
	errGap      = errors.New("entries are missing")
	errPlace    = errors.New("record belongs to another offset")
)

// batch is the payload of a record.
type batch struct {
	HardState *HardState `cbor:"1,keyasint,omitempty"`
	Entries   []Entry    `cbor:"2,keyasint,omitempty"`
	Marker    *marker    `cbor:"3,keyasint,omitempty"`
}

// marker records that a snapshot was saved.
type marker struct {
	Index uint64 `cbor:"1,keyasint"`
	Reset bool   `cbor:"2,keyasint"` // the log did not match the snapshot and was dropped
}

// place is where a record belongs.
type place struct {
	replica  ReplicaID
	sequence uint64
	offset   int64
}

// seed returns the checksum that the checksum of the payload continues.
func (p place) seed() uint32 {
	var encoded [24]byte

	binary.LittleEndian.PutUint64(encoded[0:], uint64(p.replica))
	binary.LittleEndian.PutUint64(encoded[8:], p.sequence)
	binary.LittleEndian.PutUint64(encoded[16:], uint64(p.offset))

	return crc32.Checksum(encoded[:], castagnoli)
}

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}

func encodeRecord(at place, b *batch) ([]byte, error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}

	return frame(at, payload, MaxRecordBytes)
}

// frame adds the header to a payload.
func frame(at place, payload []byte, limit int) ([]byte, error) {
	if len(payload) > limit {
		return nil, fmt.Errorf("%d bytes exceed the limit of %d", len(payload), limit)
	}

	record := make([]byte, headerBytes, headerBytes+len(payload))

	binary.LittleEndian.PutUint32(record, uint32(len(payload)))
	binary.LittleEndian.PutUint64(record[offsetAt:], uint64(at.offset))
	binary.LittleEndian.PutUint32(record[headerSumAt:], crc32.Checksum(record[:headerSumAt], castagnoli))
	binary.LittleEndian.PutUint32(record[payloadSumAt:], crc32.Update(at.seed(), castagnoli, payload))

	return append(record, payload...), nil
}

// isHeader reports whether data starts with a valid header, of any place.
func isHeader(data []byte) bool {
	return len(data) >= headerBytes &&
		binary.LittleEndian.Uint32(data[headerSumAt:]) == crc32.Checksum(data[:headerSumAt], castagnoli)
}

// unframe returns the payload at the start of data. errCut means that data ends
// before the record does; errChecksum that header or payload are damaged, with
// the end of the record if its header is intact and 0 otherwise.
func unframe(at place, data []byte, limit int) (payload []byte, end int64, err error) {
	if len(data) < headerBytes {
		return nil, 0, errCut
	}

	if !isHeader(data) {
		return nil, 0, errChecksum
	}

	if offset := binary.LittleEndian.Uint64(data[offsetAt:]); offset != uint64(at.offset) {
		return nil, 0, fmt.Errorf("%w: %d", errPlace, offset)
	}

	length := int64(binary.LittleEndian.Uint32(data))
	if length > int64(limit) {
		return nil, 0, fmt.Errorf("length %d exceeds the limit of %d", length, limit)
	}

	end = headerBytes + length
	if int64(len(data)) < end {
		return nil, end, errCut
	}

	payload = data[headerBytes:end]
	if binary.LittleEndian.Uint32(data[payloadSumAt:]) != crc32.Update(at.seed(), castagnoli, payload) {
		return nil, end, errChecksum
	}

	return payload, end, nil
}

// decodeRecord returns the batch at the start of data and the record's size.
func decodeRecord(at place, data []byte) (*batch, int64, error) {
	payload, end, err := unframe(at, data, MaxRecordBytes)
	if err != nil {
		return nil, end, err
	}

	b := new(batch)
	if err := decoding.Unmarshal(payload, b); err != nil {
		return nil, end, fmt.Errorf("record does not decode: %w", err)
	}

	return b, end, nil
}
