package view

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// sums holds for each list the sum of the hashes of its items. A sum can be
// corrected for one item, so a delta of k items costs k hashes instead of one
// for each of tens of thousands of items. Keys are few and in order, so they
// are hashed whole.
type sums struct {
	services, agents, balancers uint64
}

func (s sums) digest(contents Contents) uint64 {
	head := contents
	head.Position = Position{}
	head.Services, head.Agents, head.Balancers = nil, nil, nil

	encoded := encode(head)
	encoded = binary.BigEndian.AppendUint64(encoded, s.services)
	encoded = binary.BigEndian.AppendUint64(encoded, s.agents)
	encoded = binary.BigEndian.AppendUint64(encoded, s.balancers)

	return xxhash.Sum64(encoded)
}

func sumOf[T any](items []T) uint64 {
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
