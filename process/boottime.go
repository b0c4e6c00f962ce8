package process

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot. Unlike the monotonic clock, it includes the time during which the VM was
// suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // without CLOCK_BOOTTIME use the time of day, which includes suspensions too
	}
	return time.Duration(ts.Nano())
}
