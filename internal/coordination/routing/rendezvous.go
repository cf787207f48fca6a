package routing

import "math"

// score is the score of a member for a bucket. Equal values are ordered by the
// place of the member, so that ranks are always distinct.
type score struct {
	value float64
	place int
}

// above orders before every score of a member.
var above = score{value: math.Inf(1), place: -1}

// less reports whether s ranks behind other.
func (s score) less(other score) bool {
	if s.value != other.value {
		return s.value < other.value
	}

	return s.place > other.place
}

// scoreOf returns w / -ln(u) for a uniform u from the hash of member and bucket
// (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005; the
// method of Thaler and Ravishankar, 1998, with weights). A member wins a bucket
// with a probability proportional to its weight, and a change of one weight
// moves only buckets from or to that member.
func scoreOf(m *member, place int, bucket uint64) score {
	const scale = 1 << 53

	uniform := (float64(mix(m.seed^bucket)>>11) + 0.5) / scale

	return score{value: float64(m.weight) / -math.Log(uniform), place: place}
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// best returns the place of the best member that is allowed, or -1.
func best(members []member, bucket uint64, allowed func(place int, s score) bool) int {
	chosen, top := -1, score{}

	for place := range members {
		s := scoreOf(&members[place], place, bucket)
		if (chosen < 0 || top.less(s)) && allowed(place, s) {
			chosen, top = place, s
		}
	}

	return chosen
}

// rendezvous returns the owner of each bucket.
func rendezvous(members []member, count int) []uint16 {
	if len(members) == 0 {
		return unowned(count)
	}

	owners := make([]uint16, count)
	for bucket := range owners {
		owners[bucket] = uint16(best(members, uint64(bucket), func(int, score) bool { return true }))
	}

	return owners
}
