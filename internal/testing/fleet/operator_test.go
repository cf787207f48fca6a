package fleet_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/testing/fleet"
)

const (
	outage      = 15 * time.Second // five times the lease
	exitRefused = 4
)

func totalRuns(f *fleet.Fleet) int64 {
	var total int64
	for n := 1; n <= agents; n++ {
		total += f.Runs(fleet.Agent(n))
	}

	return total
}

// Guards against traffic that stops without controllers, and against an
// environment that accepts no change after all of them were lost.
func TestLossOfAllControllers(t *testing.T) {
	f := deploy(t, 9)
	calls := startLoad(f)

	for n := 1; n <= 3; n++ {
		f.Kill(fleet.Controller(n))
	}

	time.Sleep(outage)

	runsDuringOutage := totalRuns(f)
	f.Await("traffic goes on without controllers", func() bool { return totalRuns(f) > runsDuringOutage })

	for n := 1; n <= 3; n++ {
		f.StartController(n)
	}

	f.Change()
	f.AwaitInForce(instances)
	assertUnbroken(t, calls.Stop())
	assertPositionsNeverFell(t, f)
}

// Guards against two concurrent changes that are both accepted on the same base
// version, a rejected one without the conflict state, and a resent change that
// is applied twice.
func TestRacingOperators(t *testing.T) {
	f := deploy(t, 11)
	base, ok := f.Status("trial")
	is.New(t).True(ok)

	submit := func(change string, controller, limit int) func() (control.ChangeReply, int) {
		f.WriteDocument(change+".yaml", limit)
		wait := f.Begin("submit", "-json", "-environment", "trial", "-file", change+".yaml", "-author", "city",
			"-base", fmt.Sprint(base.Version), "-change", change, "-settings", f.OperatorAt(controller))

		return func() (control.ChangeReply, int) {
			var reply control.ChangeReply

			output, exit := wait()
			is.New(t).NoErr(json.Unmarshal([]byte(output), &reply))

			return reply, exit
		}
	}

	first, second := submit("first", 1, 3001), submit("second", 2, 3002)
	firstReply, firstExit := first()
	secondReply, secondExit := second()
	is.New(t).Equal(firstExit+secondExit, exitRefused) // one accepted, one refused

	accepted, reply, conflict := "first", firstReply, secondReply
	if firstExit != 0 {
		accepted, reply, conflict = "second", secondReply, firstReply
	}

	is.New(t).Equal(reply.Change.ChangeID, accepted)
	is.New(t).Equal(conflict.State, control.StateConflict)
	is.New(t).Equal(conflict.Change.ChangeID, accepted) // the conflict names the accepted change

	limit := 3001
	if accepted == "second" {
		limit = 3002
	}

	again, exit := submit(accepted, 3, limit)()
	is.New(t).Equal(exit, 0)
	is.New(t).Equal(again.State, reply.State)
	is.New(t).Equal(again.Change, reply.Change)
}
