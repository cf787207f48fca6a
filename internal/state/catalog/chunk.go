package catalog

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Documents are stored as chunks that consecutive versions share: 256
// versions of a document of 1 MiB would take 256 MiB each otherwise. Chunks
// end at lines whose hash is a multiple of chunkLines (content-defined
// chunking as in Muthitacharoen, Chen, Mazières, "A Low-bandwidth Network
// File System", SOSP 2001), so an inserted line changes one chunk only.
const (
	chunkLines    = 16 // mean number of lines in a chunk, before the bounds in bytes
	minChunkBytes = 512
	maxChunkBytes = 8 << 10
)

type chunk struct{ data string }

// text is the content of a document.
type text []*chunk

// splitChunks returns data as chunks, and uses the chunks of earlier texts again.
func splitChunks(data []byte, earlier ...text) text {
	known := make(map[string]*chunk)

	for _, t := range earlier {
		for _, c := range t {
			known[c.data] = c
		}
	}

	var chunks text

	for len(data) > 0 {
		size := chunkSize(data)

		c, ok := known[string(data[:size])]
		if !ok {
			c = &chunk{data: string(data[:size])}
			known[c.data] = c
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

		boundary := xxhash.Sum64(data[size:size+line])%chunkLines == 0
		size += line

		if boundary && size >= minChunkBytes {
			break
		}
	}

	return min(size, maxChunkBytes)
}

func (t text) bytes() []byte {
	var joined strings.Builder
	for _, c := range t {
		joined.WriteString(c.data)
	}

	return []byte(joined.String())
}
