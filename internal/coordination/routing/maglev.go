package routing

// maglev fills a Maglev table (Eisenbud et al., 2016). The size is a power of
// two, so odd steps visit every bucket. A member takes a turn when its credit
// reaches the highest weight.
func maglev(members []member, count int) []uint16 {
	owners := unowned(count)
	if len(members) == 0 {
		return owners
	}

	top := 0
	for i := range members {
		top = max(top, int(members[i].weight))
	}

	mask := uint64(count - 1)
	next := make([]uint64, len(members))
	step := make([]uint64, len(members))
	credit := make([]int, len(members))

	for i := range members {
		next[i] = members[i].seed & mask
		step[i] = mix(members[i].seed)&mask | 1
	}

	for filled := 0; ; {
		for i := range members {
			credit[i] += int(members[i].weight)
			if credit[i] < top {
				continue
			}

			credit[i] -= top

			for owners[next[i]] != noOwner {
				next[i] = (next[i] + step[i]) & mask
			}

			owners[next[i]] = uint16(i)

			if filled++; filled == count {
				return owners
			}
		}
	}
}
