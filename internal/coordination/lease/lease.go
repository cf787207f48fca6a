// Package lease is the leader's table of leases: which members of one
// environment are alive and which position of the view each has in force.
//
// # Usage
//
//	table := lease.New(3 * time.Second)
//	table.Reconcile(now, members) // a new leader grants every known member one TTL
//	unknown := table.Renew(now, renewals)
//	for _, incarnation := range table.Expired(now) {
//		// Propose an Expire command to the catalog.
//	}
//
// The table stays in memory and is never written to the log. It has no clock:
// every method that needs the time takes it, and a time before that of an earlier
// call counts as the earlier time. One goroutine owns a Table.
package lease

import (
	"container/list"
	"fmt"
	"time"

	"jayspindle/internal/state/view"
)

// MaxLeases bounds the table. The catalog admits 56,800 members.
const MaxLeases = 60_000

const (
	// A lease counts as late when two thirds of its TTL have passed without a
	// renewal: with a renewal every third of the TTL one was certainly missed.
	// When renewals stop altogether, all leases are late when the first one
	// runs out, although they run out over a whole renewal interval.
	lateNumerator   = 2
	lateDenominator = 3

	// MassExpiryPercentPerSecond is the rate at which leases expire, in
	// percent of all, from when more than half of them are late until none is.
	// So many members rarely fail at once: more likely the controller or its
	// network is at fault. At 5% a second a pause of two seconds removes a
	// tenth of the members instead of all, and members that did fail are gone
	// after 20 s.
	MassExpiryPercentPerSecond = 5
)

// Renewal is what a member reports every third of the TTL.
type Renewal struct {
	Incarnation view.Incarnation
	Position    view.Position // in force
	InForceFor  time.Duration // since when the position is in force
	Load        uint8         // coarse hint, 0 to 100
}

// Status holds what the last renewal of a member reported.
type Status struct {
	Position view.Position // zero before the first renewal
	Since    time.Time     // when the position came into force
	Renewed  time.Time     // zero before the first renewal
	Load     uint8
}

type entry struct {
	incarnation view.Incarnation
	start       time.Time // the TTL counts from here
	status      Status
}

// Table holds the leases of one environment.
type Table struct {
	ttl     time.Duration
	now     time.Time
	byID    map[view.Incarnation]*list.Element
	order   *list.List     // of *entry, earliest start first
	limiter *expiryLimiter // nil unless a mass expiry is under way
}

// New returns an empty table whose leases last for ttl.
func New(ttl time.Duration) *Table {
	return &Table{ttl: ttl, byID: map[view.Incarnation]*list.Element{}, order: list.New()}
}

// Len returns the number of leases.
func (t *Table) Len() int { return t.order.Len() }

// Grant gives a member a lease of one TTL from now on. It refuses more than
// MaxLeases with KindFull.
func (t *Table) Grant(now time.Time, incarnation view.Incarnation) error {
	t.advance(now)

	if element, ok := t.byID[incarnation]; ok {
		t.restart(element)

		return nil
	}

	if t.order.Len() >= MaxLeases {
		return newError("grant", KindFull, fmt.Errorf("allowed: at most %d leases", MaxLeases))
	}

	t.byID[incarnation] = t.order.PushBack(&entry{incarnation: incarnation, start: t.now})

	return nil
}

// Renew extends the leases of a batch and returns the incarnations that have
// none. Their processes must announce themselves again.
func (t *Table) Renew(now time.Time, renewals []Renewal) []view.Incarnation {
	t.advance(now)

	var unknown []view.Incarnation

	for _, renewal := range renewals {
		element, ok := t.byID[renewal.Incarnation]
		if !ok {
			unknown = append(unknown, renewal.Incarnation)

			continue
		}

		t.restart(element)
		element.Value.(*entry).status = Status{
			Position: renewal.Position,
			Since:    t.now.Add(-max(renewal.InForceFor, 0)),
			Renewed:  t.now,
			Load:     min(renewal.Load, 100),
		}
	}

	return unknown
}

// Expired removes and returns the leases that have run out, earliest first. The
// rate of a mass expiry is limited: leases beyond it expire in later calls, unless
// they are renewed by then.
func (t *Table) Expired(now time.Time) []view.Incarnation {
	t.advance(now)
	t.updateLimiter()

	var expired []view.Incarnation

	for front := t.order.Front(); front != nil; front = t.order.Front() {
		oldest := front.Value.(*entry)
		if t.now.Sub(oldest.start) < t.ttl || !t.limiter.take(t.now) {
			break
		}

		t.drop(oldest.incarnation)
		expired = append(expired, oldest.incarnation)
	}

	return expired
}

// Reset gives every lease one full TTL from now on, as a new leader must: it
// does not know the renewals that its predecessor received.
func (t *Table) Reset(now time.Time) {
	t.advance(now)
	t.limiter = nil

	for element := t.order.Front(); element != nil; element = element.Next() {
		element.Value.(*entry).start = t.now
	}
}

// Drop removes the leases of members that left.
func (t *Table) Drop(incarnations ...view.Incarnation) {
	for _, incarnation := range incarnations {
		t.drop(incarnation)
	}
}

// Reconcile makes the table hold a lease for each of the members and for
// nothing else. Existing leases keep their expiry time. A member whose expiry was
// proposed but lost gets a lease again, so that its expiry is tried again.
func (t *Table) Reconcile(now time.Time, members []view.Incarnation) error {
	known := make(map[view.Incarnation]bool, len(members))
	for _, incarnation := range members {
		known[incarnation] = true
	}

	for incarnation := range t.byID {
		if !known[incarnation] {
			t.drop(incarnation)
		}
	}

	for _, incarnation := range members {
		if _, ok := t.byID[incarnation]; ok {
			continue
		}

		if err := t.Grant(now, incarnation); err != nil {
			return err
		}
	}

	return nil
}

// Status returns the status of a member, and false if it has no lease.
func (t *Table) Status(incarnation view.Incarnation) (Status, bool) {
	element, ok := t.byID[incarnation]
	if !ok {
		return Status{}, false
	}

	return element.Value.(*entry).status, true
}

// InForce returns how many members have the position or a later one in force,
// and how many members there are.
func (t *Table) InForce(position view.Position) (holding, total int) {
	for element := t.order.Front(); element != nil; element = element.Next() {
		if !element.Value.(*entry).status.Position.Less(position) {
			holding++
		}
	}

	return holding, t.order.Len()
}

func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// restart starts the TTL of a lease again and moves the lease to the back: all
// leases have the same TTL, so they run out in the order of their starts.
func (t *Table) restart(element *list.Element) {
	element.Value.(*entry).start = t.now
	t.order.MoveToBack(element)
}

func (t *Table) drop(incarnation view.Incarnation) {
	if element, ok := t.byID[incarnation]; ok {
		t.order.Remove(element)
		delete(t.byID, incarnation)
	}
}
