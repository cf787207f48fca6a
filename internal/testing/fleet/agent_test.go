package fleet_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/testing/fleet"
)

const (
	leaveLimit = 3 * time.Second  // after it a leaving agent gets no new work
	longPause  = 10 * time.Second // far longer than a lease
)

// Guards against a drain that cuts flows or requests, or still takes work, and
// against claims that are lost when their holders restart one after the other.
func TestRollingRestartOfAgents(t *testing.T) {
	f := deploy(t, 5)
	calls := startLoad(f)

	for n := 1; n <= agents; n++ {
		name := fleet.Agent(n)

		f.Signal(name, syscall.SIGTERM)
		time.Sleep(leaveLimit)

		runs := f.Runs(name)
		f.Terminate(name)
		is.New(t).Equal(f.Runs(name), runs) // work after the leave limit

		f.Rerun(name)
		f.AwaitReady(name)
	}

	unbroken(t, calls.Stop())
	neverFell(t, f)
}

// brokenOnlyAt waits until the callers that had their feed at a backend server
// have one elsewhere, and asserts that no flow of another caller broke.
func brokenOnlyAt(t *testing.T, f *fleet.Fleet, calls *fleet.Calls, before map[string]string, server string) {
	t.Helper()
	f.Await("feeds of "+server+" are resumed elsewhere", func() bool {
		for _, now := range calls.Feeds() {
			if now == server {
				return false
			}
		}

		return true
	})

	for _, line := range calls.Log() {
		if line.Msg == "flow broken" && before[line.Caller] != server {
			t.Errorf("the flow of %s broke, its agent was %s", line.Caller, before[line.Caller])
		}
	}
}

// Guards against the loss of flows of other agents, of events of resumed
// feeds, and of claims, when an agent dies; and when its backend server dies
// with it.
func TestLossOfAgents(t *testing.T) {
	f := deploy(t, 6)
	calls := startLoad(f)
	before := calls.Feeds()
	lost := before["crew-link-0"]

	f.Kill(lost)
	brokenOnlyAt(t, f, calls, before, lost)
	f.Rerun(lost)
	f.AwaitReady(lost)
	time.Sleep(settle)
	atMostOnce(t, calls.Stop())

	calls = startLoad(f)
	before = calls.Feeds()
	lost = before["crew-link-0"]

	f.Kill("backend-" + lost)
	f.Kill(lost)
	brokenOnlyAt(t, f, calls, before, lost)
	time.Sleep(settle)
	atMostOnce(t, calls.Stop())
}

// Guards against an agent that, paused for longer than its lease and the
// patience of its callers, runs on return what ran elsewhere meanwhile.
func TestPausedAgent(t *testing.T) {
	f := deploy(t, 7)
	calls := startLoad(f)
	paused := calls.Feeds()["crew-link-0"]

	f.Signal(paused, syscall.SIGSTOP)
	time.Sleep(longPause)
	f.Signal(paused, syscall.SIGCONT)
	f.AwaitReady(paused)
	f.AwaitInForce(instances)
	time.Sleep(settle)
	atMostOnce(t, calls.Stop())
	neverFell(t, f)
}

// Guards against packets of old flows, and first packets of balancers with an
// older view, that reach another service at the same address.
func TestAddressReusedByOtherService(t *testing.T) {
	f := deploy(t, 8)
	calls := startLoad(f)
	reused := calls.Feeds()["crew-link-0"]
	successor := fleet.SheetDesk + "-1"

	f.Kill(reused)
	f.Kill("backend-" + reused)
	f.StartBackendAt(successor, reused)
	f.StartAgentAt(fleet.SheetDesk, successor, reused)
	f.AwaitReadyAt(successor, reused)

	others := f.StartLoad(fleet.Load{Callers: callers, Attempts: 10, Services: []string{fleet.SheetDesk}})
	f.Await("every caller has a feed", func() bool { return len(others.Feeds()) == callers })
	f.Await("feeds have left the reused address", func() bool {
		for _, server := range calls.Feeds() {
			if server == reused {
				return false
			}
		}

		return true
	})
	time.Sleep(settle)

	first, second := calls.Stop(), others.Stop()
	atMostOnce(t, first)
	unbroken(t, second)

	is.New(t).Equal(first.BackendServers[fleet.CrewLink][successor], nil)
	is.New(t).Equal(len(second.BackendServers[fleet.SheetDesk]), 1)
	is.New(t).True(second.BackendServers[fleet.SheetDesk][successor] != nil)
}
