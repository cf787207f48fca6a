package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/testing/fleet"
)

// Guards against an agent that keeps an old view because it waits forever on a
// link to the controllers whose datagrams are dropped in one direction, although
// new sockets would work.
func TestSilentLinksToControllers(t *testing.T) {
	f := deploy(t, 10)

	var (
		forwarders []*fleet.Forwarder
		addresses  []string
	)

	for n := 1; n <= 3; n++ {
		forwarders = append(forwarders, f.NewForwarder(f.ControllerAddress(n)))
		addresses = append(addresses, forwarders[n-1].Address())
	}

	f.Via(fleet.Agent(1), addresses)
	f.Terminate(fleet.Agent(1))
	f.StartAgent(fleet.CrewLink, fleet.Agent(1))
	f.AwaitReady(fleet.Agent(1))
	f.AwaitInForce(instances)

	calls := startLoad(f)

	for _, toTarget := range []bool{false, true} {
		silenced := 0
		for _, forwarder := range forwarders {
			silenced += forwarder.Silence(toTarget)
		}

		is.New(t).True(silenced > 0)
		f.Change()
		f.AwaitInForce(instances)
	}

	assertUnbroken(t, calls.Stop())
	assertPositionsNeverFell(t, f)
}
