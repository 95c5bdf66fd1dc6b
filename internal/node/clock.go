package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads the clock that also counts the time for which the machine was suspended.
// Go's own monotonic clock does not, so that a lease measured on it would look younger.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has the clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
