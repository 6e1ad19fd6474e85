package timeline

import "time"

const (
	// counterBits is the number of low bits of a stamp that count events within
	// a millisecond; the other 48 bits are Unix milliseconds.
	counterBits = 16
	// maxAhead bounds how far a remote stamp may advance this clock beyond the
	// wall clock.
	maxAhead = time.Minute
)

// Clock is a hybrid logical clock: its stamps follow the wall clock, and each is
// higher than all stamps issued before or taken over by Observe. The wall time is
// passed in. The zero Clock is ready to use. It is not safe for concurrent use.
type Clock struct{ last uint64 }

// Now returns a stamp for a local event, higher than all before.
func (c *Clock) Now(wall time.Time) uint64 {
	c.last = max(c.last+1, fromWall(wall))
	return c.last
}

// Observe records a stamp from another process and returns a local stamp that is
// higher. A stamp more than maxAhead ahead of the wall clock is ignored.
func (c *Clock) Observe(remote uint64, wall time.Time) uint64 {
	if remote <= fromWall(wall.Add(maxAhead)) {
		c.last = max(c.last, remote)
	}
	return c.Now(wall)
}

// Time returns the wall time of a stamp, with millisecond precision.
func Time(stamp uint64) time.Time { return time.UnixMilli(int64(stamp >> counterBits)) }

// Stamp returns the lowest stamp for a wall time.
func Stamp(wall time.Time) uint64 { return fromWall(wall) }

func fromWall(wall time.Time) uint64 {
	ms := wall.UnixMilli()
	if ms <= 0 {
		return 0
	}
	return uint64(ms) << counterBits
}
