// Package wire defines what the stand-in for the object API serves in addition
// to the published protocol: control of its faults, and counts of calls.
package wire

import "time"

// Paths of the calls that only the stand-in serves.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
	// PathRestore takes a Restore by POST.
	PathRestore = "/restore"
)

// Restore asks the stand-in to return to an older copy of its content.
type Restore struct {
	// Age is the age of the copy.
	Age time.Duration `json:"age_ns"`
}

// MaxWait bounds how long a watch blocks.
const MaxWait = 30 * time.Second
