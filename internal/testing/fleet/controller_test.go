package fleet_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/fleet"
)

const (
	agents    = 4
	balancers = 3
	instances = agents + balancers
)

// controllerNumber returns the number of the controller with that name.
func controllerNumber(name string) int { return int(name[len(name)-1] - '0') }

// otherController returns the number of the first controller that is not named.
func otherController(names ...string) int {
	for n := 1; ; n++ {
		if !slices.Contains(names, fleet.Controller(n)) {
			return n
		}
	}
}

// assertPositionsNeverFell asserts that no instance put a position into force
// that is lower than the one before.
func assertPositionsNeverFell(t *testing.T, f *fleet.Fleet) {
	t.Helper()

	for n := 1; n <= agents; n++ {
		assertNonDecreasing(t, fleet.Agent(n), f.Positions(fleet.Agent(n)))
	}

	for n := 1; n <= balancers; n++ {
		assertNonDecreasing(t, fleet.Balancer(n), f.Positions(fleet.Balancer(n)))
	}
}

func assertNonDecreasing(t *testing.T, name string, positions []view.Position) {
	t.Helper()
	is.New(t).True(len(positions) > 0)

	for i := range positions[1:] {
		if positions[i+1].Less(positions[i]) {
			t.Errorf("%s put %s into force after %s", name, positions[i+1], positions[i])
		}
	}
}

// Guards against a change that is lost or reverted when the leader dies, and
// when a follower dies right after the former leader has returned.
func TestLossOfLeaderThenFollower(t *testing.T) {
	f := deploy(t, 1)
	leader := f.Leader()

	f.Kill(leader)
	f.Change()
	f.AwaitInForce(instances)

	f.StartController(controllerNumber(leader))
	f.AwaitReady(leader)
	f.Kill(fleet.Controller(otherController(f.Leader(), leader)))
	f.Change()
	f.AwaitInForce(instances)
	assertPositionsNeverFell(t, f)
}

// countVoters returns the number of voting controllers, as reported by the leader.
func countVoters(f *fleet.Fleet) int {
	count := 0

	for _, member := range f.Members() {
		if member.Voter {
			count++
		}
	}

	return count
}

// Guards against a controller that cannot rejoin after it lost its data
// directory, and against one that rejoins without a vote: the loss of a second
// controller would then stop all changes.
func TestLossOfDataDirectoryThenController(t *testing.T) {
	f := deploy(t, 2)
	lost := fleet.Controller(2)
	before := f.Members()

	f.Kill(lost)
	f.RemoveData(2)
	f.StartController(2)
	f.Await("the replacement votes", func() bool {
		now := f.Members()

		return countVoters(f) == 3 && !slices.Equal(replicaIDs(before), replicaIDs(now))
	})

	f.Kill(fleet.Controller(otherController(lost)))
	f.Change()
	f.AwaitInForce(instances)
	assertPositionsNeverFell(t, f)
}

func replicaIDs(members []control.Member) []uint64 {
	var identities []uint64
	for _, member := range members {
		identities = append(identities, member.Replica)
	}

	slices.Sort(identities)

	return identities
}

// Guards against a leader that was paused while another one was elected, and then
// still answers from its old state or accepts a change that is not committed by
// the group.
func TestPausedLeader(t *testing.T) {
	f := deploy(t, 3)
	leader := f.Leader()
	n := controllerNumber(leader)
	settings := f.OperatorAt(n)
	old, ok := f.Status("trial")
	is.New(t).True(ok)

	f.Signal(leader, syscall.SIGSTOP)
	f.Change()
	f.AwaitInForce(instances)

	changed, ok := f.Status("trial")
	is.New(t).True(ok)
	is.New(t).True(changed.Version > old.Version)
	f.WriteDocument("late.yaml", 9000)

	// Both commands wait for the paused controller.
	read := f.Begin("status", "-json", "-environment", "trial", "-settings", settings)
	write := f.Begin("submit", "-environment", "trial", "-file", "late.yaml", "-author", "city",
		"-base", fmt.Sprint(old.Version), "-settings", settings)

	f.Signal(leader, syscall.SIGCONT)

	if output, exit := read(); exit == 0 {
		var status control.StatusReply

		is.New(t).NoErr(json.Unmarshal([]byte(output), &status))
		is.New(t).True(status.Version >= changed.Version) // no state from before the pause
	}

	_, exit := write()
	is.New(t).True(exit != 0) // the submit is based on the version before the pause

	f.Change()
	f.AwaitInForce(instances)
	assertPositionsNeverFell(t, f)
}
