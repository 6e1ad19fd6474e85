package link

import (
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// jitter returns a wait between d/2 and d that depends on the VM and the time,
// so that many links that failed together are not reopened together.
func jitter(d time.Duration, vm string, now time.Time) time.Duration {
	const steps = 1024
	part := (xxhash.Sum64String(vm) ^ uint64(now.UnixNano())) % steps
	return d/2 + d*time.Duration(part)/(2*steps)
}

// isGraceful reports whether the peer closed the control stream on purpose.
func isGraceful(err error) bool { return errors.Is(err, io.EOF) }
