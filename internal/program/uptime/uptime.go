// Package uptime tells for how long the machine has been suspended. The monotonic clock
// that package time uses stands still meanwhile, so what is a second old by that clock
// may be much older.
//
// # Usage
//
//	before := uptime.Suspended()
//	...
//	if uptime.Suspended()-before > uptime.Tolerance {
//		// What was known before is outdated.
//	}
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Tolerance is the difference of two calls of Suspended that shows a suspension. The
// two clocks are read one after the other, and a process may wait for the processor in
// between.
const Tolerance = 200 * time.Millisecond

// Suspended returns how long the machine has been suspended since it started.
func Suspended() time.Duration {
	var monotonic, boot unix.Timespec

	// Both clocks exist on every Linux in use; without them, no time counts as
	// suspended, as on a machine that is never suspended.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}

	return time.Duration(boot.Nano() - monotonic.Nano())
}
