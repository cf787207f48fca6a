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

// number returns the number of the controller with that name.
func number(name string) int { return int(name[len(name)-1] - '0') }

// other returns the number of a controller that is not among those named.
func other(names ...string) int {
	for n := 1; ; n++ {
		if !slices.Contains(names, fleet.Controller(n)) {
			return n
		}
	}
}

// neverFell asserts that no instance put a lower position into force.
func neverFell(t *testing.T, f *fleet.Fleet) {
	t.Helper()

	for n := 1; n <= agents; n++ {
		rising(t, fleet.Agent(n), f.Positions(fleet.Agent(n)))
	}

	for n := 1; n <= balancers; n++ {
		rising(t, fleet.Balancer(n), f.Positions(fleet.Balancer(n)))
	}
}

func rising(t *testing.T, name string, positions []view.Position) {
	t.Helper()
	is.New(t).True(len(positions) > 0)

	for i := range positions[1:] {
		if positions[i+1].Less(positions[i]) {
			t.Errorf("%s put %s into force after %s", name, positions[i+1], positions[i])
		}
	}
}

// Guards against a change that is lost or reverted when the leader dies, and
// when a follower dies right after the repair.
func TestLossOfLeaderThenFollower(t *testing.T) {
	f := deploy(t, 1)
	leader := f.Leader()

	f.Kill(leader)
	f.Change()
	f.AwaitInForce(instances)

	f.StartController(number(leader))
	f.AwaitReady(leader)
	f.Kill(fleet.Controller(other(f.Leader(), leader)))
	f.Change()
	f.AwaitInForce(instances)
	neverFell(t, f)
}

// voters returns how many controllers vote, as the leader knows them.
func voters(f *fleet.Fleet) int {
	count := 0

	for _, member := range f.Members() {
		if member.Voter {
			count++
		}
	}

	return count
}

// Guards against a controller that cannot return without its disk, and against
// one that is not counted in the quorum afterwards: the second loss then stops
// all changes.
func TestLossOfDataDirectoryThenController(t *testing.T) {
	f := deploy(t, 2)
	lost := fleet.Controller(2)
	before := f.Members()

	f.Kill(lost)
	f.RemoveData(2)
	f.StartController(2)
	f.Await("the replacement votes", func() bool {
		now := f.Members()

		return voters(f) == 3 && !slices.Equal(replicas(before), replicas(now))
	})

	f.Kill(fleet.Controller(other(lost)))
	f.Change()
	f.AwaitInForce(instances)
	neverFell(t, f)
}

func replicas(members []control.Member) []uint64 {
	var identities []uint64
	for _, member := range members {
		identities = append(identities, member.Replica)
	}

	slices.Sort(identities)

	return identities
}

// Guards against a leader that, paused while another was elected, still answers
// from its old state or accepts a change that the group does not have.
func TestPausedLeader(t *testing.T) {
	f := deploy(t, 3)
	leader := f.Leader()
	n := number(leader)
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

	// Both calls wait for the paused controller.
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
	is.New(t).True(exit != 0) // a submit on the version before the pause

	f.Change()
	f.AwaitInForce(instances)
	neverFell(t, f)
}
