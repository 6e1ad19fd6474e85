package homes

import (
	"sort"
	"time"
)

// idResolution is the resolution of the time embedded in an order id.
const idResolution = time.Millisecond

// Editor creates new versions of the document. The zero Editor is ready to
// use.
type Editor struct {
	// Datacentre returns the data centre of a VM. If it is not nil, the
	// witnesses of a service are spread over data centres.
	Datacentre func(vm string) string
}

// Edit returns the version after d, in which the members in live are the homes
// of their services, together with the services whose list or witnesses differ
// from those in d. A version without such differences, which only renews
// Confirmed, may be written at any time; any other version may be written only
// with an Intent that is ready. A nil d stands for a document that does not
// exist yet.
//
// now is the editor's wall-clock time, read after the intent was ready.
// Confirmed becomes now, or keeps its value if now is earlier. A new list is
// active no earlier than ActivationDelay after Confirmed. The delay counts from
// Confirmed and not from now, so that the activation time does not depend on
// the difference between the clocks of two editors. Only the first list of a
// service is active immediately, because no VM could run an id of the service
// before. Services are never removed, and a service without live members keeps
// its list. Lists that no id within the horizon needs are dropped.
func (e Editor) Edit(now time.Time, d *Document, live map[string][]Home) (next *Document, changed []string) {
	return e.edit(now, d, live, func(string) bool { return true })
}

// Refresh returns the next version of d, with Confirmed updated as by Edit and
// without the lists that have passed the horizon. It changes nothing else.
func Refresh(now time.Time, d *Document) *Document {
	next, _ := Editor{}.edit(now, d, nil, func(string) bool { return false })
	return next
}

// edit implements Edit. It changes only the services for which allow returns
// true.
func (e Editor) edit(now time.Time, d *Document, live map[string][]Home, allow func(string) bool) (*Document, []string) {
	if d == nil {
		d = &Document{}
	}
	next := &Document{
		Version:   d.Version + 1,
		Confirmed: nextConfirmed(now, d),
		Services:  make(map[string][]List, len(d.Services)),
		Witnesses: make(map[string][]Home, len(d.Services)),
	}
	candidates := newPool(live)
	var changed []string
	for _, service := range unionNames(d.Services, live) {
		lists := prune(d.Services[service], next.Confirmed)
		witnesses := d.Witnesses[service]
		if allow(service) {
			var listChanged, witnessesChanged bool
			lists, listChanged = appendList(lists, next.Confirmed, live[service])
			witnesses, witnessesChanged = e.pickWitnesses(service, witnesses, live[service], candidates)
			if listChanged || witnessesChanged {
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

// nextConfirmed returns the Confirmed of the version after d.
func nextConfirmed(now time.Time, d *Document) time.Time {
	now = now.Truncate(idResolution)
	if now.Before(d.Confirmed) {
		return d.Confirmed
	}
	return now
}

// appendList appends a list of the given members if they differ from those of
// the newest list, and reports whether it did.
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
	from := confirmed.Add(ActivationDelay + idResolution)
	if !from.After(newest.From) {
		from = newest.From.Add(idResolution)
	}
	return append(lists[:len(lists):len(lists)], List{From: from, Members: members}), true
}

// prune drops the lists that were superseded before the horizon.
func prune(lists []List, now time.Time) []List {
	first := 0
	for i := range lists {
		if !lists[i].From.After(now.Add(-Horizon)) {
			first = i
		}
	}
	return lists[first:]
}

// sortedHomes returns a copy of set in ascending order of VM, with only the
// newest incarnation of each VM.
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
