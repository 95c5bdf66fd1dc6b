package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads the clock that also counts the time while the machine was suspended. Go's own
// monotonic clock does not, so a lease measured with it would appear younger than it is.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
