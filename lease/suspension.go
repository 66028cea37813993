package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// SuspendedTime returns for how long this machine has been suspended since it started. The
// monotonic clock, and so package time, does not count that time.
func SuspendedTime() time.Duration {
	var running, all unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil {
		return 0
	}
	return time.Duration(all.Nano() - running.Nano())
}
