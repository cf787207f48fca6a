package lease

import "time"

// pace limits the expiries of one mass expiry.
type pace struct {
	began     time.Time
	perSecond int
	second    int // counted from began
	taken     int // in this second
}

// updatePace starts a mass expiry when more than half of the leases are late,
// and ends it when none is.
func (t *Table) updatePace() {
	late := t.late()

	switch {
	case late == 0:
		t.pace = nil
	case t.pace == nil && 2*late > t.order.Len():
		t.pace = &pace{began: t.now, perSecond: max(t.order.Len()*MassExpiryPercentPerSecond/100, 1)}
	}
}

func (t *Table) late() int {
	threshold := t.ttl * lateNumerator / lateDenominator
	count := 0

	for element := t.order.Front(); element != nil; element = element.Next() {
		if t.now.Sub(element.Value.(*entry).start) < threshold {
			break
		}

		count++
	}

	return count
}

// take reports whether one more lease may expire in this second.
func (p *pace) take(now time.Time) bool {
	if p == nil {
		return true
	}

	// Unused expiries of a second are void: leases run out in one burst.
	if second := int(now.Sub(p.began) / time.Second); second != p.second {
		p.second, p.taken = second, 0
	}

	if p.taken >= p.perSecond {
		return false
	}

	p.taken++

	return true
}
