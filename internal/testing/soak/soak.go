// Package soak runs seeded, randomised tests: a fixed list of seeds in CI and
// as many as fit into a given time in a soak run.
//
// # Usage
//
//	func TestElections(t *testing.T) {
//		soak.Run(t, 50, func(t *testing.T, seed uint64) {
//			random := rand.New(rand.NewPCG(seed, 0))
//			// ...
//		})
//	}
//
// With SOAK_SEED and SOAK_DURATION set, as "make soak" does, Run starts at
// that seed and goes on until the duration has passed.
package soak

import (
	"os"
	"strconv"
	"testing"
	"time"
)

const (
	seedVariable     = "SOAK_SEED"
	durationVariable = "SOAK_DURATION"
)

// Run calls check with the seeds 1 to seeds, or with the seeds that the
// environment variables ask for. It stops at the first seed that fails.
func Run(t *testing.T, seeds int, check func(t *testing.T, seed uint64)) {
	t.Helper()

	first, duration, ok := fromEnvironment(t)
	if !ok {
		for seed := uint64(1); seed <= uint64(seeds); seed++ {
			runSeed(t, seed, check)
		}

		return
	}

	deadline := time.Now().Add(duration)

	seed := first
	for done := false; !done && !t.Failed(); done = time.Now().After(deadline) {
		runSeed(t, seed, check)
		seed++
	}

	t.Logf("%s: seeds %d to %d", t.Name(), first, seed-1)
}

func runSeed(t *testing.T, seed uint64, check func(t *testing.T, seed uint64)) {
	t.Helper()

	// A panic must name its seed too, or the failure could not be repeated.
	defer func() {
		if t.Failed() {
			t.Logf("repeat with: make soak SEED=%d DURATION=1ms RUN='^%s$'", seed, t.Name())
		}

		if cause := recover(); cause != nil {
			t.Fatalf("seed %d: %v\nrepeat with: make soak SEED=%d DURATION=1ms RUN='^%s$'", seed, cause, seed, t.Name())
		}
	}()

	check(t, seed)
}

func fromEnvironment(t *testing.T) (uint64, time.Duration, bool) {
	t.Helper()

	text, ok := os.LookupEnv(seedVariable)
	if !ok {
		return 0, 0, false
	}

	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", seedVariable, err)
	}

	duration, err := time.ParseDuration(os.Getenv(durationVariable))
	if err != nil {
		t.Fatalf("%s: %v", durationVariable, err)
	}

	return seed, duration, true
}
