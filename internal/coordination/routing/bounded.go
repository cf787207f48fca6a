package routing

import "math"

// headroom is the share of buckets that a member may own, relative to the
// share of its weight.
const headroom = 1.05

// bounded is rendezvous with an upper limit on the buckets of each member.
func bounded(members []member, count int) []uint16 {
	if len(members) == 0 {
		return unowned(count)
	}

	total := 0
	for i := range members {
		total += int(members[i].weight)
	}

	left := make([]int, len(members))
	for i := range members {
		left[i] = int(math.Ceil(headroom * float64(count) * float64(members[i].weight) / float64(total)))
	}

	owners := make([]uint16, count)
	for bucket := range owners {
		place := best(members, uint64(bucket), func(place int, _ score) bool { return left[place] > 0 })
		left[place]--
		owners[bucket] = uint16(place)
	}

	return owners
}
