package fleet_test

import (
	"os"
	"testing"

	"jayspindle/internal/testing/fleet"
)

// atOnce bounds the fleets that run at once, about 15 processes each.
const atOnce = 4

var (
	binary string
	turns  = make(chan struct{}, atOnce)
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

	m.Run() // the testing package exits with its status
}

// deploy returns a fleet of its own with four agents, once it is its turn.
func deploy(t *testing.T, number int) *fleet.Fleet {
	t.Parallel()

	turns <- struct{}{}

	t.Cleanup(func() { <-turns })

	f := fleet.New(t, binary, number)
	f.Deploy(agents)

	return f
}
