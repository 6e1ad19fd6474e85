package link

import (
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// spread varies a wait by up to half, so that many links that failed together
// are not opened together.
func spread(d time.Duration, vm string, now time.Time) time.Duration {
	const steps = 1024
	part := (xxhash.Sum64String(vm) ^ uint64(now.UnixNano())) % steps
	return d/2 + d*time.Duration(part)/(2*steps)
}

// planned reports whether the other end closed the control stream on purpose.
func planned(err error) bool { return errors.Is(err, io.EOF) }
