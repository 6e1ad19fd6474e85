package catalogue

import "time"

// activePeriod is one version with the time at which it was superseded.
type activePeriod struct {
	catalogue *Catalogue
	// ended is when the next version was created; zero for the current one.
	ended time.Time
	// supersededBy is the next version; 0 for the current one.
	supersededBy uint64
}

// activeHistory holds the versions that were active since some time, as far as
// a document retains them.
type activeHistory struct {
	// periods holds the versions, newest first, beginning with the current one.
	// It is empty at version 0.
	periods []activePeriod
	// unknownUntil is the time by which all missing older versions had been
	// superseded; zero if none is missing.
	unknownUntil time.Time
}

// activeSince returns the versions that were active after the given time. The
// oldest of them are missing if the retained changes don't reach back that far,
// or if a retained version is no longer valid.
//
// The time of a change comes from the clock of the operator's command. If it is
// earlier than that of an older change, the older change's time is used.
func (d *Document) activeSince(from time.Time) (activeHistory, error) {
	changes := d.Changes()
	if len(changes) == 0 {
		return activeHistory{}, nil
	}
	current, err := Parse([]byte(d.Text))
	if err != nil {
		return activeHistory{}, err
	}
	history := activeHistory{periods: []activePeriod{{catalogue: current}}}
	entries := current.byName()
	for i, ended := range monotonicTimes(changes) {
		c := changes[i]
		if !ended.After(from) || c.Version == 1 {
			history.unknownUntil = time.Time{}
			return history, nil
		}
		history.unknownUntil = ended
		if undo(entries, c) != nil {
			return history, nil
		}
		before, err := fromEntries(entries)
		if err != nil {
			return history, nil
		}
		history.periods = append(history.periods, activePeriod{before, ended, c.Version})
	}
	return history, nil
}

// monotonicTimes returns the times of the changes, newest first, each raised to
// the latest time of all older ones.
func monotonicTimes(changes []Change) []time.Time {
	times := make([]time.Time, len(changes))
	latest := time.Time{}
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].Time.After(latest) {
			latest = changes[i].Time
		}
		times[i] = latest
	}
	return times
}
