package fleet_test

import (
	"os"
	"testing"

	"jayspindle/internal/testing/fleet"
)

// maxConcurrentFleets limits the fleets that run at once, each with about 15
// processes.
const maxConcurrentFleets = 4

var (
	binary     string
	fleetSlots = make(chan struct{}, maxConcurrentFleets)
)

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "fleet")
	if err != nil {
		panic(err)
	}

	defer os.RemoveAll(directory)

	if binary, err = fleet.Build(directory); err != nil {
		panic(err)
	}

	m.Run() // the generated main function exits with the status
}

// deploy waits for a free fleet slot and returns a new fleet with four agents.
func deploy(t *testing.T, number int) *fleet.Fleet {
	t.Parallel()

	fleetSlots <- struct{}{}

	t.Cleanup(func() { <-fleetSlots })

	f := fleet.New(t, binary, number)
	f.Deploy(agents)

	return f
}
