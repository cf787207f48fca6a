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

func runs(f *fleet.Fleet) int64 {
	var total int64
	for n := 1; n <= agents; n++ {
		total += f.Runs(fleet.Agent(n))
	}

	return total
}

// Guards against traffic that needs the controllers, and against an environment
// that takes no change after all of them were lost.
func TestLossOfAllControllers(t *testing.T) {
	f := deploy(t, 9)
	calls := startLoad(f)

	for n := 1; n <= 3; n++ {
		f.Kill(fleet.Controller(n))
	}

	time.Sleep(outage)

	late := runs(f)
	f.Await("traffic goes on without controllers", func() bool { return runs(f) > late })

	for n := 1; n <= 3; n++ {
		f.StartController(n)
	}

	f.Change()
	f.AwaitInForce(instances)
	unbroken(t, calls.Stop())
	neverFell(t, f)
}

// Guards against two winners of one version, a loser that is told so without a
// type, and a resend that makes a second change.
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
	is.New(t).Equal(firstExit+secondExit, exitRefused) // one winner, one loser

	winner, reply, loser := "first", firstReply, secondReply
	if firstExit != 0 {
		winner, reply, loser = "second", secondReply, firstReply
	}

	is.New(t).Equal(reply.Change.ChangeID, winner)
	is.New(t).Equal(loser.State, control.StateConflict)
	is.New(t).Equal(loser.Change.ChangeID, winner) // the conflict names the winner

	limit := 3001
	if winner == "second" {
		limit = 3002
	}

	again, exit := submit(winner, 3, limit)()
	is.New(t).Equal(exit, 0)
	is.New(t).Equal(again.State, reply.State)
	is.New(t).Equal(again.Change, reply.Change)
}
