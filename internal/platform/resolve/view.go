package resolve

import (
	"sort"

	"heathershed/internal/platform"
)

// View is a process's copy of the objects under a prefix. It is updated from
// lists and watches, which may repeat, skip or be stale. It is not safe for
// concurrent use. The zero View is not ready for use; call NewView.
type View struct {
	objects map[string]platform.Object
	version platform.Version
	listed  bool
	// Skipped counts changes found by a list that the watch had not reported.
	Skipped uint64
	// Repeated counts events that were already known.
	Repeated uint64
}

// NewView returns an empty view.
func NewView() *View { return &View{objects: make(map[string]platform.Object)} }

// Version returns the version from which a watch continues.
func (v *View) Version() platform.Version { return v.version }

// Listed reports whether a list was applied. Until then the view is empty
// because the objects are unknown, not because there are none.
func (v *View) Listed() bool { return v.listed }

// Objects returns the known objects in ascending order of key.
func (v *View) Objects() []platform.Object {
	out := make([]platform.Object, 0, len(v.objects))
	for _, o := range v.objects {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// ApplyEvents applies the result of a watch and returns the changes that were
// new.
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

// ApplyList applies a list and returns the changes that it shows. A list older
// than the view is ignored entirely, and fresh is false.
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
			deleted := platform.Object{Key: key, Version: version}
			changes = append(changes, platform.Event{Object: deleted, Deleted: true})
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
