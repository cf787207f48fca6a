package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/program/load"
	"jayspindle/internal/testing/fleet"
)

const (
	callers = 8
	// settle is how long callers meet a state before the next one.
	settle = 2 * time.Second
)

// served asserts that the callers got answers and events at all.
func served(t *testing.T, result *load.Result) {
	t.Helper()
	is.New(t).True(result.FeedEvents > 0)
	is.New(t).Equal(len(result.Classes), 2)

	for _, class := range result.Classes {
		is.New(t).True(class.Answered > 0)
		is.New(t).Equal(class.Mismatched, int64(0))
	}
}

// atMostOnce asserts that no request ran twice, was lost or ran after "not
// run", and that no feed lost or repeated an event.
func atMostOnce(t *testing.T, result *load.Result) {
	t.Helper()
	served(t, result)
	is.New(t).Equal(result.RunTwice, int64(0))
	is.New(t).Equal(result.Lost, int64(0))
	is.New(t).Equal(result.RanAfterRefusal, int64(0))
	is.New(t).Equal(result.FeedGaps, int64(0))
	is.New(t).Equal(result.FeedDuplicates, int64(0))
}

// unbroken asserts that no flow broke either, and no request failed.
func unbroken(t *testing.T, result *load.Result) {
	t.Helper()
	atMostOnce(t, result)
	is.New(t).Equal(result.BrokenFlows, int64(0))
	is.New(t).True(result.Passed())
}

// startLoad starts callers and waits until each has a feed.
func startLoad(f *fleet.Fleet) *fleet.Calls {
	calls := f.StartLoad(fleet.Load{Callers: callers, Attempts: 10})
	f.Await("every caller has a feed", func() bool { return len(calls.Feeds()) == callers })

	return calls
}

// Guards against flows that depend on one balancer: on its table, its socket or
// the path that replies take.
func TestLossAndRollingRestartOfBalancers(t *testing.T) {
	f := deploy(t, 4)
	calls := startLoad(f)

	f.Kill(fleet.Balancer(2))
	time.Sleep(settle)
	f.Rerun(fleet.Balancer(2))
	f.AwaitReady(fleet.Balancer(2))

	for n := 1; n <= balancers; n++ {
		f.Restart(fleet.Balancer(n))
		f.AwaitReady(fleet.Balancer(n))
		time.Sleep(settle / 2)
	}

	unbroken(t, calls.Stop())
	neverFell(t, f)
}
