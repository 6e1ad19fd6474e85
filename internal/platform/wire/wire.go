// Package wire defines what the stand-in for the object API serves in addition
// to the published protocol: control of its faults, and counts of calls.
package wire

import "time"

// Paths of the calls that only the stand-in serves.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
)

// MaxWait bounds how long a watch blocks.
const MaxWait = 30 * time.Second
