// Package pressure keeps the shedding thresholds that other services report on
// their answers, so that the front door refuses at once what the bottom of the
// chain would refuse. The news rides on answers and costs no messages of its
// own.
//
// Each upstream of a service has its own threshold. The table keeps their mean
// over time, weighted by the answers, for each kind of a service: one
// overloaded upstream must not close the front door for the others. The mean
// follows news within a few tenths of a second both ways.
//
// A front door that refuses hears less. So a threshold that nothing confirms
// falls in steps, until a request is let in that brings news. While that one is
// under way the threshold stands where it was: else many would return before
// the first is answered. Its news open one slice, and theirs the rest.
package pressure

import (
	"math"
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// meanOver is the time constant of the mean over answers.
	meanOver = 100 * time.Millisecond
	// confirmFor is how long a threshold stands without news.
	confirmFor = 300 * time.Millisecond
	// confirmSent is the same while a request that brings news is under way.
	confirmSent = 2 * time.Second
	// stepEvery and levelsPerStep are the fall of a threshold without news.
	stepEvery     = 100 * time.Millisecond
	levelsPerStep = 128
	// trySlice is what the news of one request open at once.
	trySlice = 2 * levelsPerStep
	// forgetAfter is the age at which an entry may be dropped.
	forgetAfter = time.Minute
	// maxEntries bounds the table, and maxChildren the sub-calls remembered
	// for one kind.
	maxEntries  = 4096
	maxChildren = 256
)

// key names one kind of a service.
type key struct{ service, kind string }

// entry is the mean threshold of a key.
type entry struct {
	level float64
	at    time.Time
	// heard: level is from news.
	heard bool
	// sent counts the requests that are under way.
	sent int
	// trying: one of them was let in by a threshold that had fallen, to tried.
	trying bool
	tried  float64
}

// Table holds the thresholds of other services. It is safe for concurrent
// use. Use New.
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

// Sent notes that a request of the kind is on its way to the service. Settled
// must follow.
func (t *Table) Sent(now time.Time, service, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, key{service, kind})
	if e == nil {
		return
	}
	if e.sent == 0 && now.Sub(e.at) > confirmFor {
		e.trying, e.tried, e.at = true, e.present(now), now
	}
	e.sent++
}

// Settled notes that a request that was sent has ended, with news or without.
func (t *Table) Settled(now time.Time, service, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key{service, kind}]
	if e == nil || e.sent == 0 {
		return
	}
	if e.sent == 1 {
		e.trying = false
		e.level = e.present(now)
		if stands := now.Add(-confirmFor); e.at.Before(stands) {
			e.at = stands // falls on from here
		}
	}
	e.sent--
}

// Observe takes the threshold that an answer of the service reports for the
// kind: the higher of its own and the one below it.
func (t *Table) Observe(now time.Time, service, kind string, level contract.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now, key{service, kind}, level)
}

// ObserveNested is Observe for an answer to a sub-call that was made while a
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

// Threshold is the level below which the front door refuses requests of the
// kind.
func (t *Table) Threshold(now time.Time, service, kind string) contract.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key{service, kind}]
	if e == nil {
		return 0
	}
	return e.threshold(now)
}

// ChainThreshold is what an answer to a request of the parent kind reports: the highest
// threshold of the sub-calls made under it.
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

func (t *Table) observe(now time.Time, k key, level contract.Level) *entry {
	e := t.entry(now, k)
	if e == nil {
		return nil
	}
	e.observe(now, min(level, contract.MaxLevel))
	return e
}

// entry returns the entry of a key, a new one where there is none, or nil where
// there is no room.
func (t *Table) entry(now time.Time, k key) *entry {
	e := t.entries[k]
	if e != nil {
		return e
	}
	if len(t.entries) >= maxEntries && !t.forget(now) {
		return nil
	}
	e = &entry{at: now}
	t.entries[k] = e
	return e
}

// forget drops entries without recent news, and reports whether there is room.
func (t *Table) forget(now time.Time) bool {
	for k, e := range t.entries {
		if e.sent == 0 && now.Sub(e.at) > forgetAfter {
			delete(t.entries, k)
		}
	}
	return len(t.entries) < maxEntries
}

// observe moves the mean towards the level, by the time since the last news.
func (e *entry) observe(now time.Time, level contract.Level) {
	if !e.heard {
		e.heard, e.level, e.at = true, float64(level), now
		return
	}
	if e.trying {
		e.trying, e.level, e.at = false, max(float64(level), e.tried-trySlice), now
		return
	}
	present := e.present(now)
	dt := max(now.Sub(e.at), 0)
	weight := 1 - math.Exp(-float64(dt)/float64(meanOver))
	e.level = present + (float64(level)-present)*weight
	if dt > 0 {
		e.at = now
	}
}

// present is the mean, less the steps it has fallen without news.
func (e *entry) present(now time.Time) float64 {
	confirm := confirmFor
	if e.sent > 0 {
		confirm = confirmSent
	}
	silent := now.Sub(e.at) - confirm
	if silent < 0 {
		return e.level
	}
	steps := 1 + silent/stepEvery
	return max(0, e.level-float64(steps)*levelsPerStep)
}

func (e *entry) threshold(now time.Time) contract.Level {
	return contract.Level(math.Round(e.present(now)))
}
