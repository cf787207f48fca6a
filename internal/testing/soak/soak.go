// Package soak runs randomized tests with reproducible seeds: a fixed number of
// seeds in CI, and as many as fit into a given duration in a soak run.
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
// If SOAK_SEED and SOAK_DURATION are set, as by "make soak", Run starts at that
// seed and continues with the following ones until the duration has passed.
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

// Run calls check with the seeds from 1 to seeds, or with those selected by the
// environment variables. It stops at the first seed that fails.
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

	// The seed is reported for a panic too, so that the failure can be reproduced.
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
