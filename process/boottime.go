package process

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the time since boot. Unlike the monotonic clock it goes on while the VM is suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock: the time of day goes on as well
	}
	return time.Duration(ts.Nano())
}
