package quota

import "time"

const (
	// floodWindow is the time over which rejections by share are counted.
	floodWindow = 200 * time.Millisecond
	// floodShare is the share of the calls of a window above which rejections by
	// share count as a flood. Uneven arrivals alone cause fewer.
	floodShare = 0.2

	// While other owners are active, as many calls as waitingShare of the slots
	// may wait for one, and at least minWaiting. If none might wait, a moderate
	// but uneven load would be rejected.
	waitingShare = 0.5
	minWaiting   = 8
	// floodWaitingShare replaces waitingShare in a flood, with a minimum of one
	// waiting call. Calls of other owners wait behind these, and a longer queue
	// would make admission shed requests by rank, whoever owns them.
	floodWaitingShare = 1.0 / 8
)

// flood detects a flood by the calls that were rejected by share in the last
// window, as opposed to uneven arrivals.
type flood struct {
	windowAt        time.Time
	calls, rejected int
	on              bool
}

// recordCall counts one call. It begins a new window if the current one is over.
func (f *flood) recordCall(now time.Time) {
	if now.Sub(f.windowAt) >= floodWindow {
		f.on = float64(f.rejected) > floodShare*float64(f.calls)
		f.windowAt = now
		f.calls, f.rejected = 0, 0
	}
	f.calls++
}

// waiting returns the number of calls that may wait for a slot.
func (f *flood) waiting(slots int) int {
	if f.on {
		return max(1, int(floodWaitingShare*float64(slots)))
	}
	return max(minWaiting, int(waitingShare*float64(slots)))
}
