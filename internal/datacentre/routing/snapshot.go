package routing

import (
	"cmp"
	"slices"
	"time"
)

// Status is the status of a target as seen by one node.
type Status string

// The statuses shown to operators; State.Reason gives the reason. StatusCold:
// warming up. StatusSilent: the link is down or unresponsive. StatusOutlier:
// ejected. StatusProbing: the ejection has expired and single calls probe the
// target. StatusStale: the VM reported another incarnation. StatusUnlinked: no
// link from this node. StatusLeaving: announced that it is leaving.
const (
	StatusUp       Status = "up"
	StatusCold     Status = "cold"
	StatusLeaving  Status = "leaving"
	StatusSilent   Status = "silent"
	StatusOutlier  Status = "outlier"
	StatusProbing  Status = "probing"
	StatusStale    Status = "stale"
	StatusUnlinked Status = "unlinked"
)

// State is what one node knows about one target.
type State struct {
	Target Target
	Status Status
	// Reason explains the status in a few words; empty for StatusUp.
	Reason string
	// InFlight is the number of the node's own calls in progress.
	InFlight int
	// Latency is the node's own estimate, without the distance; 0 if the node
	// has none.
	Latency time.Duration
	// Weight is the target's share of the calls relative to the other targets,
	// in slots.
	Weight float64
}

func (t *table) snapshot(now instant) []State {
	states := make([]State, 0, len(t.byVM))
	for _, p := range t.pools {
		p.rebuild(now, &t.cfg)
		for _, e := range p.entries {
			states = append(states, e.state(now))
		}
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Target.Service, b.Target.Service), cmp.Compare(a.Target.VM, b.Target.VM))
	})
	return states
}

func (e *entry) state(now instant) State {
	s := State{Target: e.Target, InFlight: e.inFlight, Weight: e.weight}
	if !e.latency.at.IsZero() {
		s.Latency = time.Duration(e.latency.value * float64(time.Second))
	}
	s.Status, s.Reason = e.status(now)
	return s
}

// status returns the status of the target and the reason. If several apply, the
// first case wins. The reasons are part of the answer of /report and must not
// change.
func (e *entry) status(now instant) (Status, string) {
	switch {
	case e.leaving:
		return StatusLeaving, "announced that it is leaving"
	case e.link == linkDown:
		return StatusSilent, "link failed or went silent"
	case now.Before(e.staleUntil):
		return StatusStale, "the VM was restarted since it was listed"
	case e.phase == phaseEjected:
		return StatusOutlier, "failed more than others; out for now"
	case e.phase == phaseProbing:
		return StatusProbing, "tried out by single idempotent calls"
	case e.warmingUp:
		return StatusCold, "new incarnation; its share ramps up"
	case e.link == linkUnknown:
		return StatusUnlinked, "no link from this node"
	default:
		return StatusUp, ""
	}
}
