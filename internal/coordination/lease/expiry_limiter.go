package lease

import "time"

// expiryLimiter limits the rate at which leases run out in a mass expiry.
type expiryLimiter struct {
	start     time.Time
	perSecond int
	second    int // counted from start
	used      int // in this second
}

// updateLimiter starts a mass expiry when more than half of the leases are late,
// and ends it when none is.
func (t *Table) updateLimiter() {
	late := t.countLate()

	switch {
	case late == 0:
		t.limiter = nil
	case t.limiter == nil && 2*late > t.order.Len():
		t.limiter = &expiryLimiter{start: t.now, perSecond: max(t.order.Len()*MassExpiryPercentPerSecond/100, 1)}
	}
}

func (t *Table) countLate() int {
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
func (l *expiryLimiter) take(now time.Time) bool {
	if l == nil {
		return true
	}

	// Unused expiries do not carry over to the next second: leases run out in
	// one burst.
	if second := int(now.Sub(l.start) / time.Second); second != l.second {
		l.second, l.used = second, 0
	}

	if l.used >= l.perSecond {
		return false
	}

	l.used++

	return true
}
