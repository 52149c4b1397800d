// Package boottime reads a clock that advances while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time spent suspended. Leases and other
// rights that expire are measured with it: the monotonic clock of package time stops
// during a suspension, so an expired right would still appear valid.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
