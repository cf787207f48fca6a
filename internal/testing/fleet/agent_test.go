package fleet_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/testing/fleet"
)

const (
	drainLimit    = 3 * time.Second  // after which a draining agent receives no new requests
	pauseDuration = 10 * time.Second // far longer than the lease
	// closingTime is longer than the lease of a lost agent and the time in which its
	// claims are carried to the other agents.
	closingTime = 10 * time.Second
)

// Guards against a drain that breaks flows or requests or still accepts new
// requests, and against claims that are lost when the agents that hold them
// restart one after the other.
func TestRollingRestartOfAgents(t *testing.T) {
	f := deploy(t, 5)
	calls := startLoad(f)

	for n := 1; n <= agents; n++ {
		name := fleet.Agent(n)

		f.Signal(name, syscall.SIGTERM)
		time.Sleep(drainLimit)

		runs := f.Runs(name)
		f.Terminate(name)
		is.New(t).Equal(f.Runs(name), runs) // no request starts after the drain limit

		f.Rerun(name)
		f.AwaitReady(name)
	}

	assertUnbroken(t, calls.Stop())
	assertPositionsNeverFell(t, f)
}

// assertBrokenOnlyAt waits until no caller has its feed at the backend server,
// and asserts that no flow broke except those of callers that had it there.
func assertBrokenOnlyAt(t *testing.T, f *fleet.Fleet, calls *fleet.Calls, before map[string]string, server string) {
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

// Guards against broken flows of other agents, missing events in resumed feeds,
// and lost claims, when an agent dies alone or together with its backend server.
func TestLossOfAgents(t *testing.T) {
	f := deploy(t, 6)
	calls := startLoad(f)
	before := calls.Feeds()
	lost := before["crew-link-0"]

	f.Kill(lost)
	assertBrokenOnlyAt(t, f, calls, before, lost)
	f.Rerun(lost)
	f.AwaitReady(lost)
	time.Sleep(settleTime)
	assertAtMostOnce(t, calls.Stop())

	calls = startLoad(f)
	before = calls.Feeds()
	lost = before["crew-link-0"]

	f.Kill("backend-" + lost)
	f.Kill(lost)
	assertBrokenOnlyAt(t, f, calls, before, lost)
	time.Sleep(settleTime)
	assertAtMostOnce(t, calls.Stop())
}

// Guards against pass reports that all end as unknown because two agents, each the
// only one of its availability zone, are lost one after the other.
func TestLossOfZonesInTurn(t *testing.T) {
	f := deploy(t, 12)

	for _, lost := range []int{2, 3} { // agents 1 and 4 share the third zone
		calls := startLoad(f)

		f.Kill(fleet.Agent(lost))
		time.Sleep(closingTime)
		assertAtMostOnce(t, calls.Stop())
	}

	calls := startLoad(f)

	time.Sleep(settleTime)
	assertAtMostOnce(t, calls.Stop())
}

// Guards against an agent that is paused for longer than its lease and the
// timeouts of its callers, and after it continues runs requests that another
// agent has already run.
func TestPausedAgent(t *testing.T) {
	f := deploy(t, 7)
	calls := startLoad(f)
	paused := calls.Feeds()["crew-link-0"]

	f.Signal(paused, syscall.SIGSTOP)
	time.Sleep(pauseDuration)
	f.Signal(paused, syscall.SIGCONT)
	f.AwaitReady(paused)
	f.AwaitInForce(instances)
	time.Sleep(settleTime)
	assertAtMostOnce(t, calls.Stop())
	assertPositionsNeverFell(t, f)
}

// Guards against packets that reach the wrong service after an agent of another
// service starts at the address of a dead one: packets of old flows, and first
// packets from balancers with an older view.
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
	time.Sleep(settleTime)

	first, second := calls.Stop(), others.Stop()
	assertAtMostOnce(t, first)
	assertUnbroken(t, second)

	is.New(t).Equal(first.BackendServers[fleet.CrewLink][successor], nil)
	is.New(t).Equal(len(second.BackendServers[fleet.SheetDesk]), 1)
	is.New(t).True(second.BackendServers[fleet.SheetDesk][successor] != nil)
}
