// Package cputime measures the processor time of this process, for benchmarks.
package cputime

import (
	"syscall"
	"time"
)

// Process returns the processor time that this process has used in user and
// kernel mode, or 0 if getrusage fails.
func Process() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
