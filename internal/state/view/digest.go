package view

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// hashSums holds the sum of the item hashes of each list. A sum can be updated for
// one item, so a delta of k items costs k hashes instead of one for each of tens of
// thousands of items. Keys are few and ordered, so the digest hashes them directly.
type hashSums struct {
	services, agents, balancers uint64
}

func (s hashSums) digest(contents Contents) uint64 {
	remaining := contents
	remaining.Position = Position{}
	remaining.Services, remaining.Agents, remaining.Balancers = nil, nil, nil

	encoded := encode(remaining)
	encoded = binary.BigEndian.AppendUint64(encoded, s.services)
	encoded = binary.BigEndian.AppendUint64(encoded, s.agents)
	encoded = binary.BigEndian.AppendUint64(encoded, s.balancers)

	return xxhash.Sum64(encoded)
}

func hashSum[T any](items []T) uint64 {
	sum := uint64(0)
	for i := range items {
		sum += xxhash.Sum64(encode(&items[i]))
	}

	return sum
}

func encode(item any) []byte {
	encoded, err := canonical.Marshal(item)
	if err != nil {
		// Items consist of plain values only, so encoding cannot fail.
		panic(err)
	}

	return encoded
}
