package sidecar

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started. Unlike the clock of Sidecar.now it goes on
// while the machine is suspended, so that it tells how old something is for other machines. It
// returns 0 if the system has no such clock.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
