package catalog

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Documents are stored as chunks that consecutive versions share. Otherwise the
// 256 kept versions of a 1 MiB document would take 256 MiB for each environment.
// Chunks end at lines whose hash is a multiple of meanChunkLines (content-defined
// chunking as in Muthitacharoen, Chen, Mazières, "A Low-bandwidth Network
// File System", SOSP 2001), so an inserted line changes one chunk only.
const (
	meanChunkLines = 16 // before the limits in bytes apply
	minChunkBytes  = 512
	maxChunkBytes  = 8 << 10
)

type chunk struct{ data string }

// chunkedText is the content of a document, as chunks that it can share with others.
type chunkedText []*chunk

// splitChunks returns data as chunks. It reuses the chunks of earlier texts.
func splitChunks(data []byte, earlier ...chunkedText) chunkedText {
	reusable := make(map[string]*chunk)

	for _, t := range earlier {
		for _, c := range t {
			reusable[c.data] = c
		}
	}

	var chunks chunkedText

	for len(data) > 0 {
		size := chunkSize(data)

		c, ok := reusable[string(data[:size])]
		if !ok {
			c = &chunk{data: string(data[:size])}
			reusable[c.data] = c
		}

		chunks = append(chunks, c)
		data = data[size:]
	}

	return chunks
}

func chunkSize(data []byte) int {
	size := 0
	for size < len(data) && size < maxChunkBytes {
		line := bytes.IndexByte(data[size:], '\n') + 1
		if line == 0 {
			line = len(data) - size
		}

		boundary := xxhash.Sum64(data[size:size+line])%meanChunkLines == 0
		size += line

		if boundary && size >= minChunkBytes {
			break
		}
	}

	return min(size, maxChunkBytes)
}

func (t chunkedText) bytes() []byte {
	var joined strings.Builder
	for _, c := range t {
		joined.WriteString(c.data)
	}

	return []byte(joined.String())
}
