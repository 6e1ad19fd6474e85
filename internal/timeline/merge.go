package timeline

import (
	"slices"
	"strings"
	"time"

	"heathershed/internal/contract"
)

// Gap reports that events of a VM are missing.
type Gap struct {
	VM string `json:"vm"`
	// Before is the stamp of the first event after the gap; 0 if there is none.
	Before uint64 `json:"before"`
	// Missed is an upper bound on the number of overwritten events.
	Missed uint64 `json:"missed"`
	// SampledOut is the number of events sampled out since the VM's start.
	SampledOut uint64 `json:"left_out"`
}

// Merge returns the events of all traces in causal order: by stamp, then by
// VM. An event in several traces appears once.
func Merge(traces []Trace) ([]Event, []Gap) {
	var events []Event
	var gaps []Gap
	for _, t := range traces {
		events = append(events, t.Events...)
		if t.Gap == 0 && t.SampledOut == 0 {
			continue
		}
		g := Gap{VM: t.VM, Missed: t.Gap, SampledOut: t.SampledOut}
		if len(t.Events) > 0 {
			g.Before = t.Events[0].HLC
		}
		gaps = append(gaps, g)
	}
	slices.SortStableFunc(events, compareEvents)
	events = slices.CompactFunc(events, func(a, b Event) bool { return a.HLC == b.HLC && a.VM == b.VM })
	slices.SortStableFunc(gaps, func(a, b Gap) int { return strings.Compare(a.VM, b.VM) })
	return events, gaps
}

func compareEvents(a, b Event) int {
	if a.HLC != b.HLC {
		if a.HLC < b.HLC {
			return -1
		}
		return 1
	}
	return strings.Compare(a.VM, b.VM)
}

// Filter selects events. Zero fields match all.
type Filter struct {
	// Root selects the events of one root request over all hops.
	Root contract.RootID
	// Order selects the events of an order and of every root request that named
	// it.
	Order contract.OrderID
	// VM and Service match exactly. VM also matches the peer.
	VM, Service string
	// Kinds lists the kinds that match.
	Kinds []Kind
	// From and To bound the time, both inclusive.
	From, To time.Time
}

// Select returns the events that match the filter, in their order.
func (f Filter) Select(events []Event) []Event {
	roots := f.rootsOfOrder(events)
	var out []Event
	for _, e := range events {
		if f.matches(e, roots) {
			out = append(out, e)
		}
	}
	return out
}

// rootsOfOrder returns the root requests with events of the order.
func (f Filter) rootsOfOrder(events []Event) map[contract.RootID]bool {
	roots := make(map[contract.RootID]bool)
	if f.Order.IsZero() {
		return roots
	}
	for _, e := range events {
		if e.Order == f.Order && e.Root != (contract.RootID{}) {
			roots[e.Root] = true
		}
	}
	return roots
}

func (f Filter) matches(e Event, orderRoots map[contract.RootID]bool) bool {
	switch {
	case f.Root != (contract.RootID{}) && e.Root != f.Root:
		return false
	case !f.Order.IsZero() && e.Order != f.Order && !orderRoots[e.Root]:
		return false
	case f.VM != "" && e.VM != f.VM && e.Peer != f.VM:
		return false
	case f.Service != "" && e.Service != f.Service:
		return false
	case len(f.Kinds) > 0 && !slices.Contains(f.Kinds, e.Kind):
		return false
	case !f.From.IsZero() && Time(e.HLC).Before(f.From.Truncate(time.Millisecond)):
		return false
	case !f.To.IsZero() && Time(e.HLC).After(f.To):
		return false
	}
	return true
}
