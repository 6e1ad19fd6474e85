package homes

import (
	"sort"
	"time"
)

// tick is the resolution of the time inside an order id.
const tick = time.Millisecond

// Editor makes new versions of the document. The zero Editor is ready to use.
type Editor struct {
	// Datacentre names the data centre of a VM; witnesses are then spread over
	// data centres. It may be nil.
	Datacentre func(vm string) string
}

// Edit returns the version after d, in which the members in live are the homes
// of their services, and the services whose list or witnesses change by it.
// Only a version without changes, which just renews Confirmed, may be written
// freely; any other only with an Intent that is ready. A nil d stands for no
// document yet.
//
// now is the editor's wall clock, read after the intent was ready. Confirmed
// becomes now, or stays where it was if now lies before it, and a new list
// counts from Delay after Confirmed on, so that it never depends on how far the
// clocks of two editors differ. Only the first list of a service counts at
// once: before it nobody could run an id of the service. Services are never
// removed, and one without live members keeps its list. Lists that no id
// within the horizon needs are left out.
func (e Editor) Edit(now time.Time, d *Document, live map[string][]Home) (next *Document, changed []string) {
	return e.edit(now, d, live, func(string) bool { return true })
}

// Refresh returns the version after d that changes nothing but Confirmed.
func Refresh(now time.Time, d *Document) *Document {
	next, _ := Editor{}.edit(now, d, nil, func(string) bool { return false })
	return next
}

// edit is Edit with changes only for the services that allow lets through.
func (e Editor) edit(now time.Time, d *Document, live map[string][]Home, allow func(string) bool) (*Document, []string) {
	if d == nil {
		d = &Document{}
	}
	next := &Document{
		Version:   d.Version + 1,
		Confirmed: confirmedAfter(now, d),
		Services:  make(map[string][]List, len(d.Services)),
		Witnesses: make(map[string][]Home, len(d.Services)),
	}
	candidates := poolOf(live)
	var changed []string
	for _, service := range unionNames(d.Services, live) {
		lists := prune(d.Services[service], next.Confirmed)
		witnesses := d.Witnesses[service]
		if allow(service) {
			var grown, moved bool
			lists, grown = appendList(lists, next.Confirmed, live[service])
			witnesses, moved = e.pickWitnesses(service, witnesses, live[service], candidates)
			if grown || moved {
				changed = append(changed, service)
			}
		}
		if len(lists) > 0 {
			next.Services[service] = lists
			next.Witnesses[service] = witnesses
		}
	}
	return next, changed
}

// confirmedAfter is the Confirmed of the version after d.
func confirmedAfter(now time.Time, d *Document) time.Time {
	now = now.Truncate(tick)
	if now.Before(d.Confirmed) {
		return d.Confirmed
	}
	return now
}

// appendList adds a list of the members where they differ from the newest one,
// and reports whether it did.
func appendList(lists []List, confirmed time.Time, members []Home) ([]List, bool) {
	if len(members) == 0 || len(lists) >= MaxLists {
		return lists, false
	}
	members = sortedHomes(members)
	if len(lists) == 0 {
		return []List{{From: confirmed, Members: members}}, true
	}
	newest := lists[len(lists)-1]
	if equalHomes(newest.Members, members) {
		return lists, false
	}
	from := confirmed.Add(ActivationDelay + tick)
	if !from.After(newest.From) {
		from = newest.From.Add(tick)
	}
	return append(lists[:len(lists):len(lists)], List{From: from, Members: members}), true
}

// prune leaves out the lists that stopped counting before the horizon.
func prune(lists []List, now time.Time) []List {
	first := 0
	for i := range lists {
		if !lists[i].From.After(now.Add(-Horizon)) {
			first = i
		}
	}
	return lists[first:]
}

// sortedHomes returns a copy ordered by VM, with the newest incarnation of
// each.
func sortedHomes(set []Home) []Home {
	sorted := append([]Home(nil), set...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].VM != sorted[j].VM {
			return sorted[i].VM < sorted[j].VM
		}
		return sorted[i].Incarnation > sorted[j].Incarnation
	})
	kept := sorted[:0]
	for i, h := range sorted {
		if i == 0 || h.VM != kept[len(kept)-1].VM {
			kept = append(kept, h)
		}
	}
	return kept
}

func equalHomes(a, b []Home) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func unionNames(d map[string][]List, live map[string][]Home) []string {
	all := make(map[string]bool, len(d))
	for name := range d {
		all[name] = true
	}
	for name := range live {
		all[name] = true
	}
	return serviceNames(all)
}
