// Package bootclock reads a clock that never jumps and also counts the time for which
// the VM was suspended. The monotonic clock stands still then, and the wall clock may
// be set.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the wall clock's time when the boot clock read epochBoot. It has no
// monotonic reading, so that differences of times from Now are those of the boot clock.
var (
	epoch     = time.Now().Round(0)
	epochBoot = sinceBoot()
)

// Now returns the time by the boot clock. Times from Now must be compared only with one
// another: they follow no adjustment of the wall clock.
func Now() time.Time { return epoch.Add(sinceBoot() - epochBoot) }

// Since returns the time since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists since Linux 2.6.39; a pointer to a local value is valid.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
