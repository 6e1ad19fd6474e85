// Package pressure keeps the shedding thresholds that other services report in
// their replies, so that the ingress immediately rejects what the end of the
// call chain would reject. Thresholds are carried by replies and need no
// messages of their own.
//
// Each upstream of a service has its own threshold. The table keeps their mean
// over time, weighted by the replies, for each kind of a service: one
// overloaded upstream must not make the ingress reject requests for the others.
// The mean follows changes in both directions within a few tenths of a second.
//
// An ingress that rejects requests receives fewer replies. So a threshold that
// no reply confirms falls in steps, until a request is admitted whose reply
// brings an update. While this probe is in flight, the threshold returns to
// where it was before it fell: otherwise many requests would be admitted before
// the probe is answered. The reply to the probe sets the threshold to the level
// that it reports, but to no more than probeSlice below the value to which the
// threshold had fallen. Later replies do the rest.
package pressure

import (
	"math"
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// meanTimeConstant is the time constant of the mean over replies.
	meanTimeConstant = 100 * time.Millisecond
	// holdFor is how long a threshold is held without an update.
	holdFor = 300 * time.Millisecond
	// holdInFlight is the same while a request is in flight whose reply will
	// bring an update.
	holdInFlight = 2 * time.Second
	// Without updates, a threshold falls by levelsPerStep every stepInterval.
	stepInterval  = 100 * time.Millisecond
	levelsPerStep = 128
	// probeSlice bounds the levels that the reply to one probe admits.
	probeSlice = 2 * levelsPerStep
	// evictAfter is the age at which an entry may be evicted.
	evictAfter = time.Minute
	// maxEntries bounds the table, and maxChildren the nested calls that are
	// remembered for one kind.
	maxEntries  = 4096
	maxChildren = 256
)

// key names one kind of a service.
type key struct{ service, kind string }

// entry is the mean threshold of a key.
type entry struct {
	level float64
	// at is the time of the last update, or the time from which on the
	// threshold is held.
	at time.Time
	// reported: a reply has reported a level.
	reported bool
	// inFlight counts the requests that are in flight.
	inFlight int
	// probing: one of them is a probe, admitted when the threshold had fallen
	// to probeLevel.
	probing    bool
	probeLevel float64
}

// Table holds the thresholds of other services. Use New. It is safe for
// concurrent use.
type Table struct {
	mu       sync.Mutex
	entries  map[key]*entry
	children map[string]map[key]*entry // by parent kind
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries:  make(map[key]*entry),
		children: make(map[string]map[key]*entry),
	}
}

// Sent records that a request of the kind is sent to the service. Settled must
// follow.
func (t *Table) Sent(now time.Time, service, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, key{service, kind})
	if e == nil {
		return
	}
	if e.inFlight == 0 && now.Sub(e.at) > holdFor {
		e.probing, e.probeLevel, e.at = true, e.current(now), now
	}
	e.inFlight++
}

// Settled records that a request that was sent has ended, with an update or
// without.
func (t *Table) Settled(now time.Time, service, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key{service, kind}]
	if e == nil || e.inFlight == 0 {
		return
	}
	if e.inFlight == 1 {
		e.probing = false
		e.level = e.current(now)
		if earliest := now.Add(-holdFor); e.at.Before(earliest) {
			e.at = earliest // the threshold falls from now on
		}
	}
	e.inFlight--
}

// Observe records the threshold that a reply of the service reports for the
// kind. A reply reports the higher one of the service's own threshold and of
// those of the services that it calls.
func (t *Table) Observe(now time.Time, service, kind string, level contract.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now, key{service, kind}, level)
}

// ObserveNested is Observe for a reply to a nested call that was made while a
// request of the parent kind ran.
func (t *Table) ObserveNested(now time.Time, parentKind, service, kind string, level contract.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{service, kind}
	e := t.observe(now, k, level)
	if e == nil {
		return
	}
	children := t.children[parentKind]
	if children == nil {
		if len(t.children) >= maxEntries {
			return
		}
		children = make(map[key]*entry)
		t.children[parentKind] = children
	}
	if len(children) < maxChildren {
		children[k] = e
	}
}

// Threshold returns the level below which the ingress rejects requests of the
// kind. It is 0 if nothing is known.
func (t *Table) Threshold(now time.Time, service, kind string) contract.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key{service, kind}]
	if e == nil {
		return 0
	}
	return e.threshold(now)
}

// ChainThreshold returns what a reply to a request of the parent kind reports:
// the highest threshold of the nested calls made for such requests.
func (t *Table) ChainThreshold(now time.Time, parentKind string) contract.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := contract.Level(0)
	for k, e := range t.children[parentKind] {
		if t.entries[k] != e {
			delete(t.children[parentKind], k)
			continue
		}
		highest = max(highest, e.threshold(now))
	}
	return highest
}

// HasCalls reports whether nested calls are known that were made for requests of the
// kind.
func (t *Table) HasCalls(kind string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.children[kind]) > 0
}

func (t *Table) observe(now time.Time, k key, level contract.Level) *entry {
	e := t.entry(now, k)
	if e == nil {
		return nil
	}
	e.observe(now, min(level, contract.MaxLevel))
	return e
}

// entry returns the entry of a key. It adds one if there is none, and returns
// nil if the table is full.
func (t *Table) entry(now time.Time, k key) *entry {
	e := t.entries[k]
	if e != nil {
		return e
	}
	if len(t.entries) >= maxEntries && !t.evict(now) {
		return nil
	}
	e = &entry{at: now}
	t.entries[k] = e
	return e
}

// evict removes entries without a recent update, and reports whether there is
// room for another one.
func (t *Table) evict(now time.Time) bool {
	for k, e := range t.entries {
		if e.inFlight == 0 && now.Sub(e.at) > evictAfter {
			delete(t.entries, k)
		}
	}
	return len(t.entries) < maxEntries
}

// observe moves the mean towards the level, by the time since the last update.
// The first level is taken as it is, and so is the one that the reply to a
// probe reports, but not below probeLevel-probeSlice.
func (e *entry) observe(now time.Time, level contract.Level) {
	if !e.reported {
		e.reported, e.level, e.at = true, float64(level), now
		return
	}
	if e.probing {
		e.probing, e.level, e.at = false, max(float64(level), e.probeLevel-probeSlice), now
		return
	}
	current := e.current(now)
	dt := max(now.Sub(e.at), 0)
	weight := 1 - math.Exp(-float64(dt)/float64(meanTimeConstant))
	e.level = current + (float64(level)-current)*weight
	if dt > 0 {
		e.at = now
	}
}

// current is the mean, less the steps by which it has fallen without updates.
func (e *entry) current(now time.Time) float64 {
	hold := holdFor
	if e.inFlight > 0 {
		hold = holdInFlight
	}
	overdue := now.Sub(e.at) - hold
	if overdue < 0 {
		return e.level
	}
	steps := 1 + overdue/stepInterval
	return max(0, e.level-float64(steps)*levelsPerStep)
}

func (e *entry) threshold(now time.Time) contract.Level {
	return contract.Level(math.Round(e.current(now)))
}
