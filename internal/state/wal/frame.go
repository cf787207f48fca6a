package wal

// AppendFrame appends a payload with a header that lets NextFrame tell a whole
// frame from one that a crash has torn. The offset is the place of the frame in
// its file.
func AppendFrame(buffer []byte, offset int64, payload []byte) ([]byte, error) {
	framed, err := frame(place{offset: offset}, payload, MaxRecordBytes)
	if err != nil {
		return buffer, newError("append", KindTooLarge, "", offset, err)
	}

	return append(buffer, framed...), nil
}

// NextFrame returns the payload of the frame at an offset of a file, and the
// offset behind it. An error means that the file has no whole frame there.
func NextFrame(data []byte, offset int64) (payload []byte, end int64, err error) {
	payload, length, err := unframe(place{offset: offset}, data[offset:], MaxRecordBytes)
	if err != nil {
		return nil, offset, newError("read", KindCorrupt, "", offset, err)
	}

	return payload, offset + length, nil
}
