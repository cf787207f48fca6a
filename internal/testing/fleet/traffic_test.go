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
	// settleTime is how long callers run in one state before the next change.
	settleTime = 2 * time.Second
)

// assertServed asserts that each class got answers, all of them matching, and
// that feeds got events.
func assertServed(t *testing.T, result *load.Result) {
	t.Helper()
	is.New(t).True(result.FeedEvents > 0)
	is.New(t).Equal(len(result.Classes), 2)

	for _, class := range result.Classes {
		is.New(t).True(class.Answered > 0)
		is.New(t).Equal(class.Mismatched, int64(0))
	}
}

// assertAtMostOnce asserts that no request ran twice, was lost or ran after it
// was reported as not run, and that no feed lost or repeated an event.
func assertAtMostOnce(t *testing.T, result *load.Result) {
	t.Helper()
	assertServed(t, result)
	is.New(t).Equal(result.RunTwice, int64(0))
	is.New(t).Equal(result.Lost, int64(0))
	is.New(t).Equal(result.RanAfterRefusal, int64(0))
	is.New(t).Equal(result.FeedGaps, int64(0))
	is.New(t).Equal(result.FeedDuplicates, int64(0))
}

// assertUnbroken also asserts that no flow broke, no feed stalled and no request
// failed.
func assertUnbroken(t *testing.T, result *load.Result) {
	t.Helper()
	assertAtMostOnce(t, result)
	is.New(t).Equal(result.BrokenFlows, int64(0))
	is.New(t).True(result.Passed())
}

// startLoad starts the callers and waits until each has a feed.
func startLoad(f *fleet.Fleet) *fleet.Calls {
	calls := f.StartLoad(fleet.Load{Callers: callers, Attempts: 10})
	f.Await("every caller has a feed", func() bool { return len(calls.Feeds()) == callers })

	return calls
}

// Guards against flows that break when one balancer is lost or restarts, because
// they depend on its table, its socket or its reply path.
func TestLossAndRollingRestartOfBalancers(t *testing.T) {
	f := deploy(t, 4)
	calls := startLoad(f)

	f.Kill(fleet.Balancer(2))
	time.Sleep(settleTime)
	f.Rerun(fleet.Balancer(2))
	f.AwaitReady(fleet.Balancer(2))

	for n := 1; n <= balancers; n++ {
		f.Restart(fleet.Balancer(n))
		f.AwaitReady(fleet.Balancer(n))
		time.Sleep(settleTime / 2)
	}

	assertUnbroken(t, calls.Stop())
	assertPositionsNeverFell(t, f)
}
