// Package boottime reads the clock that goes on while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine started, suspensions included. Rights that
// end by time are measured with it: the steady clock of package time stands
// still during a suspension, so that a right would seem to last longer.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
