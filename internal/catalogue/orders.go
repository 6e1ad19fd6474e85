package catalogue

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/order/homes"
)

// OrderMargin is added to the time for which order ids are accepted. It covers
// the difference between the clocks of two operators, a write that reaches the
// store late, and the propagation of a version to the nodes.
const OrderMargin = 2 * time.Minute

// OrderWindow is how long the method and path of an order kind stay reserved
// after the kind was removed. Until then a caller may repeat an order that ran
// under it, and under another kind the order's record would not be found, so the
// order would run twice.
const OrderWindow = homes.Horizon + OrderMargin

// OrderKindError reports that an edit was not applied, because it could make an
// order run twice.
type OrderKindError struct {
	// Head is the version in the store that the edit was checked against.
	Head     uint64
	Problems []Problem
}

// Error returns a summary line, followed by one line for each problem.
func (e *OrderKindError) Error() string {
	lines := []string{fmt.Sprintf("the edit of version %d could make orders run twice: %d problem(s)", e.Head, len(e.Problems))}
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// immutableKeys are the keys of an order kind that can't change while it exists.
var immutableKeys = []string{"owner", "service", "idempotent", "method", "path"}

// recordKeys are the keys that determine, together with the name, where the
// record of an order is stored.
var recordKeys = []string{"owner", "service", "idempotent"}

// checkOrders returns an *OrderKindError if next, as the successor of the
// document, could make an order run twice. It compares next with all versions
// that were active within the last OrderWindow.
func checkOrders(d *Document, next *Catalogue, now time.Time) error {
	found := &problems{}
	history, err := d.activeSince(now.Add(-OrderWindow))
	if err != nil || len(history.periods) == 0 {
		return err
	}
	checkImmutableKeys(history.periods[0].catalogue, next, found)
	for _, call := range probeCalls(history.periods, next) {
		checkRoute(call, history, next, found)
	}
	if len(found.list) == 0 {
		return nil
	}
	return &OrderKindError{Head: d.Version, Problems: found.list}
}

// checkImmutableKeys reports order kinds that exist in both catalogues and
// differ in an immutable key.
func checkImmutableKeys(current, next *Catalogue, found *problems) {
	for _, old := range current.Kinds() {
		k, ok := next.Kind(old.Name)
		if !ok || !old.IsOrder() {
			continue
		}
		if f, ok := firstDifference(old, k, immutableKeys); ok {
			found.add(k.Name, f.name, "%s: an order kind keeps %s = %s while it exists; remove the entry, wait %s, then add it again, or keep it and add an entry with another name and path",
				f.format(k), f.name, f.format(old), formatMinutes(OrderWindow))
		}
	}
}

// firstDifference returns the first of the named fields in which two kinds
// differ.
func firstDifference(a, b *contract.Kind, names []string) (field, bool) {
	for _, f := range fields {
		if slices.Contains(names, f.name) && f.format(a) != f.format(b) {
			return f, true
		}
	}
	return field{}, false
}

// probeCall represents all requests that none of the compared catalogues
// distinguishes from it.
type probeCall struct{ method, path string }

// probeCalls returns one call for every set of calls that could move from one
// kind to another: each exact path, and for each prefix a path below it that no
// other route matches exactly. That path contains a zero byte, which is not
// allowed in a route.
func probeCalls(periods []activePeriod, next *Catalogue) []probeCall {
	seen := make(map[probeCall]bool)
	var calls []probeCall
	add := func(c *Catalogue) {
		for _, k := range c.Kinds() {
			p := probeCall{k.Method, strings.Replace(k.Path, "*", "\x00", 1)}
			if !strings.HasSuffix(k.Path, "*") {
				p.path = k.Path
			}
			if !seen[p] {
				seen[p] = true
				calls = append(calls, p)
			}
		}
	}
	add(next)
	for _, period := range periods {
		add(period.catalogue)
	}
	return calls
}

// checkRoute reports a call that belonged to an order kind within the window and
// would belong to another kind in next. If no known version matches the call and
// older versions are missing, its previous kind is unknown, so the call is
// reported too. If a known version matches it, the edit that introduced the
// route was checked against the versions that are now missing.
func checkRoute(c probeCall, history activeHistory, next *Catalogue, found *problems) {
	k, ok := next.Match([]byte(c.method), []byte(c.path))
	if !ok || found.hasEntry(k.Name) {
		return
	}
	known := false
	for _, period := range history.periods {
		old, ok := period.catalogue.Match([]byte(c.method), []byte(c.path))
		if !ok {
			continue
		}
		known = true
		if old.IsOrder() && reportMove(old, k, c, period, next, found) {
			return
		}
	}
	if !known && !history.unknownUntil.IsZero() {
		found.add(k.Name, "path", "%s: the retained history covers less than %s, so it is unknown whether the route belonged to an order kind; add the entry after %s",
			c, formatMinutes(OrderWindow), formatTime(history.unknownUntil.Add(OrderWindow)))
	}
}

// reportMove records in found a call that moves from the order kind old to the
// kind k, under which its records would not be found. It returns true if it
// recorded a problem. Kinds with the same name and record keys share their
// records, so there is no problem between them.
func reportMove(old, k *contract.Kind, c probeCall, period activePeriod, next *Catalogue, found *problems) bool {
	if old.Name == k.Name {
		f, differs := firstDifference(old, k, recordKeys)
		if differs {
			found.add(k.Name, f.name, "%s: until version %d it was an order kind with %s = %s; add it with that value, or add it after %s",
				f.format(k), period.supersededBy, f.name, f.format(old), formatTime(period.ended.Add(OrderWindow)))
		}
		return differs
	}
	if !period.ended.IsZero() {
		found.add(k.Name, "path", "%s belonged to the order kind %s until version %d; choose another path, or add it after %s",
			c, old.Name, period.supersededBy, formatTime(period.ended.Add(OrderWindow)))
		return true
	}
	if _, kept := next.Kind(old.Name); !kept && hasRoute(period.catalogue, k) {
		found.add(old.Name, "path", "without the order kind, %s would match entry %s; keep it, or first exclude %s from the path of %s",
			c, k.Name, c, k.Name)
		return true
	}
	found.add(k.Name, "path", "%s belongs to the order kind %s; choose another path, or first remove %s and wait %s",
		c, old.Name, old.Name, formatMinutes(OrderWindow))
	return true
}

// hasRoute reports whether the catalogue has a kind with the name and the route
// of k.
func hasRoute(c *Catalogue, k *contract.Kind) bool {
	old, ok := c.Kind(k.Name)
	return ok && old.Method == k.Method && old.Path == k.Path
}

// String returns the method and the path or prefix, as in a catalogue entry.
func (c probeCall) String() string { return c.method + " " + strings.Replace(c.path, "\x00", "*", 1) }

func formatTime(t time.Time) string { return t.UTC().Format(time.DateTime + " UTC") }

func formatMinutes(d time.Duration) string { return fmt.Sprintf("%d minutes", d/time.Minute) }

// hasEntry reports whether a problem of the entry is recorded already.
func (p *problems) hasEntry(entry string) bool {
	return slices.ContainsFunc(p.list, func(q Problem) bool { return q.Entry == entry })
}
