package lease_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/lease"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
)

const ttl = 3 * time.Second

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// newTable returns a table with leases for the incarnations 1 to count.
func newTable(t testing.TB, count int) *lease.Table {
	t.Helper()

	table := lease.New(ttl)
	is.New(t).NoErr(table.Reconcile(start, members(count)))

	return table
}

func members(count int) []view.Incarnation {
	all := make([]view.Incarnation, 0, count)
	for i := range count {
		all = append(all, view.Incarnation(i+1))
	}

	return all
}

func renewals(incarnations ...view.Incarnation) []lease.Renewal {
	batch := make([]lease.Renewal, 0, len(incarnations))
	for _, incarnation := range incarnations {
		batch = append(batch, lease.Renewal{Incarnation: incarnation})
	}

	return batch
}

// Guards against leases that run out early or not at all, and against members
// that are not told to announce again.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	table := newTable(t, 4)

	is.Equal(len(table.Renew(at(2), renewals(1, 2, 3))), 0)
	is.Equal(len(table.Expired(at(2.9))), 0)
	is.Equal(table.Expired(at(3)), []view.Incarnation{4})
	is.Equal(len(table.Expired(at(3))), 0) // returned only once
	is.Equal(table.Renew(at(4), renewals(4, 1, 2, 3, 9)), []view.Incarnation{4, 9})

	table.Renew(at(1), renewals(1)) // a clock that steps back shortens no lease
	is.Equal(len(table.Expired(at(6.9))), 0)

	table.Drop(1)
	is.Equal(table.Renew(at(5), renewals(1)), []view.Incarnation{1})

	is.NoErr(table.Reconcile(at(6.9), []view.Incarnation{2, 4}))
	is.Equal(table.Len(), 2)
	is.Equal(table.Expired(at(9.8)), []view.Incarnation{2}) // Reconcile renews nothing
}

// Guards against a new leader that expires members whose renewals went to its
// predecessor.
func TestReset(t *testing.T) {
	is := is.New(t)
	table := newTable(t, 10)

	table.Reset(at(2.9))
	is.Equal(len(table.Expired(at(5.8))), 0)
	is.True(len(table.Expired(at(5.9))) > 0)
}

// Guards against a pause of the controller that expires all members.
func TestMassExpiryIsPaced(t *testing.T) {
	is := is.New(t)
	table := newTable(t, 1000)
	random := rand.New(rand.NewPCG(1, 0))

	for _, incarnation := range members(1000) { // renewals are spread over a second, then stop
		table.Renew(at(float64(incarnation)/1000), renewals(incarnation))
	}

	expired := 0
	for tick := range 30 {
		expired += len(table.Expired(at(2 + float64(tick)/10))) // until 4.9 s
	}

	is.True(expired > 0)
	is.True(expired <= 1000*lease.MassExpiryPercentPerSecond/100*3)

	for _, incarnation := range members(1000) { // renewals resume
		table.Renew(at(5), renewals(incarnation))
	}

	is.Equal(table.Len(), 1000-expired)
	is.Equal(len(table.Expired(at(5))), 0)

	// After the recovery, failures of less than half of the members are not
	// delayed.
	var rest []view.Incarnation
	for len(rest) < 900 {
		rest = append(rest, view.Incarnation(1000-len(rest)))
	}
	random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	table.Renew(at(7), renewals(rest[300:]...))
	is.True(len(table.Expired(at(8))) > 200)
}

// Guards against failed members that stay in the view forever.
func TestMassExpiryEnds(t *testing.T) {
	is := is.New(t)

	for _, count := range []int{1, 2, 7, 1000} {
		table := newTable(t, count)
		for second := range 30 {
			table.Expired(at(float64(second)))
		}

		is.Equal(table.Len(), 0)
	}
}

// Guards against a status that claims a position that a member does not have.
func TestStatus(t *testing.T) {
	is := is.New(t)
	table := newTable(t, 3)
	position := view.Position{Generation: 1, Index: 7}

	table.Renew(at(1), []lease.Renewal{
		{Incarnation: 1, Position: position, InForceFor: time.Second, Load: 200},
		{Incarnation: 2, Position: view.Position{Generation: 1, Index: 6}},
	})

	status, ok := table.Status(1)
	is.True(ok)
	is.Equal(status, lease.Status{Position: position, Since: at(0), Renewed: at(1), Load: 100})

	unrenewed, ok := table.Status(3)
	is.True(ok)
	is.True(unrenewed.Renewed.IsZero()) // nothing is known before the first renewal

	holding, total := table.InForce(position)
	is.Equal([]int{holding, total}, []int{1, 3})

	_, ok = table.Status(9)
	is.True(!ok)
}

// Guards against a table that grows without bound.
func TestBound(t *testing.T) {
	is := is.New(t)
	table := lease.New(ttl)
	err := table.Reconcile(start, members(lease.MaxLeases+1))

	var failure *lease.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind(), lease.KindFull)
	is.Equal(table.Len(), lease.MaxLeases)
	is.NoErr(table.Grant(start, 1)) // has a lease already
}

// Guards against a list and an index that disagree after any sequence of calls:
// the table is compared with a map of expiry times.
func TestAgainstModel(t *testing.T) {
	soak.Run(t, 30, func(t *testing.T, seed uint64) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		table, expiries, now := lease.New(ttl), map[view.Incarnation]time.Time{}, start

		for range 2000 {
			incarnation := view.Incarnation(random.IntN(200))
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)

			switch random.IntN(10) {
			case 0, 1, 2:
				is.NoErr(table.Grant(now, incarnation))
				expiries[incarnation] = now.Add(ttl)
			case 3:
				table.Drop(incarnation)
				delete(expiries, incarnation)
			case 4:
				for _, expired := range table.Expired(now) {
					is.True(!expiries[expired].After(now)) // no lease ends early
					delete(expiries, expired)
				}
			default:
				_, known := expiries[incarnation]
				is.Equal(len(table.Renew(now, renewals(incarnation))) == 0, known)

				if known {
					expiries[incarnation] = now.Add(ttl)
				}
			}

			is.Equal(table.Len(), len(expiries))
		}
	})
}

const targetMembers = 28_400

// One second of the leader: every member renews once, ten checks for expiries.
func BenchmarkSecondAtTargetSize(b *testing.B) {
	table, now := newTable(b, targetMembers), start
	batch := renewals(members(targetMembers)...)

	for b.Loop() {
		for tenth := range 10 {
			now = now.Add(100 * time.Millisecond)
			table.Renew(now, batch[tenth*targetMembers/10:(tenth+1)*targetMembers/10])
			table.Expired(now)
		}
	}
}

func BenchmarkExpiredWhileAllAreLate(b *testing.B) {
	table := newTable(b, targetMembers)
	for b.Loop() {
		table.Expired(at(2.5))
	}
}
