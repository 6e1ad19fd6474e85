// Package wire is what the stand-in of the object API offers beside the
// published protocol: its faults and its counts.
package wire

import "time"

// Paths of the stand-in's own calls.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
)

// MaxWait bounds the wait of a watch.
const MaxWait = 30 * time.Second
