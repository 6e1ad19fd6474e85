// Package cputime reads the processor time of this process, for benchmarks.
package cputime

import (
	"syscall"
	"time"
)

// Process returns the processor time of this process so far, in user and kernel
// mode. It is 0 where the kernel does not tell.
func Process() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
