package resolve

import (
	"sort"

	"heathershed/internal/platform"
)

// View is what a process knows of the objects under a prefix, kept up by lists
// and watches that may repeat, skip or come from the past. It is pure and not
// safe for concurrent use. The zero View is not ready; use NewView.
type View struct {
	objects map[string]platform.Object
	version platform.Version
	listed  bool
	// Skipped counts changes that a list showed and the watch had left out.
	Skipped uint64
	// Repeated counts events that were already known.
	Repeated uint64
}

// NewView returns an empty view.
func NewView() *View { return &View{objects: make(map[string]platform.Object)} }

// Version is the version that a watch goes on from.
func (v *View) Version() platform.Version { return v.version }

// Listed reports whether a list was taken in: until then the view is empty
// because nothing is known, not because nothing exists.
func (v *View) Listed() bool { return v.listed }

// Objects returns the objects known, by key.
func (v *View) Objects() []platform.Object {
	out := make([]platform.Object, 0, len(v.objects))
	for _, o := range v.objects {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// ApplyEvents takes in what a watch answered and returns the changes that were new.
func (v *View) ApplyEvents(events []platform.Event, next platform.Version) []platform.Event {
	var changes []platform.Event
	last := v.version
	for _, e := range events {
		if e.Object.Version <= last {
			v.Repeated++
			continue
		}
		last = e.Object.Version
		v.set(e)
		changes = append(changes, e)
	}
	v.version = max(last, next)
	return changes
}

// ApplyList takes in a list and returns the changes that it shows. A list from
// before the view is ignored whole, and fresh is false.
func (v *View) ApplyList(objects []platform.Object, version platform.Version) (changes []platform.Event, fresh bool) {
	if v.listed && version < v.version {
		return nil, false
	}
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key] = true
		if o.Version > v.objects[o.Key].Version {
			changes = append(changes, platform.Event{Object: o})
		}
	}
	for key := range v.objects {
		if !present[key] {
			gone := platform.Object{Key: key, Version: version}
			changes = append(changes, platform.Event{Object: gone, Deleted: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Object.Key < changes[j].Object.Key })
	for _, e := range changes {
		if v.listed && e.Object.Version <= v.version {
			v.Skipped++
		}
		v.set(e)
	}
	v.version, v.listed = version, true
	return changes, true
}

func (v *View) set(e platform.Event) {
	if e.Deleted {
		delete(v.objects, e.Object.Key)
		return
	}
	v.objects[e.Object.Key] = e.Object
}
