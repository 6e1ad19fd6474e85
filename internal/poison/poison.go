// Package poison tracks requests that crash the upstreams which run them.
//
// An upstream that ends takes down all requests that it runs, and most of them
// have no part in it. So what a node learns is kept as facts about the content of
// a request, not about one attempt: the ends of upstreams under it, and which of
// these ends were followed by a complete answer to the same content, which shows
// that it did not cause them. Both are sets that only grow, so reports of several
// nodes can be merged in any order.
//
// From probationEnds unanswered ends on, a request is on probation: it runs at one
// upstream of its service, on its own among such requests. An end under it there
// is caused by it, and it is rejected for a time that grows with each such end.
// After that time it is on probation again, as upstreams may have been repaired.
package poison

import (
	"slices"
	"sync"
	"time"
)

const (
	// probationEnds is the number of unanswered ends from which on a request is
	// on probation.
	probationEnds = 2
	// probationAge is the time after the last end at which a request that is
	// only on probation is forgotten.
	probationAge = time.Minute
	// The times for which a request is rejected after its first, second and
	// any later end on probation.
	firstRejection  = time.Minute
	secondRejection = 10 * time.Minute
	laterRejection  = time.Hour
	// rejectedAge is the time after the end of a rejection at which a request is
	// forgotten if nobody has sent it.
	rejectedAge = time.Hour
	// clearedAge is how long the ends that an answer has cleared are remembered,
	// so that a late report of them is ignored.
	clearedAge = 10 * time.Second
	// A request that was answered here within answeredAge to twice that is not
	// taken for the cause of an end. At most maxAnswered answers of each such time are kept.
	answeredAge = 30 * time.Second
	maxAnswered = 8192
	// maxEntries bounds the requests that are tracked, maxEnds the ends of one of
	// them, and maxCleared the newest ones of those that were cleared.
	maxEntries = 4096
	maxEnds    = 16
	maxCleared = 2 * maxEnds
)

// Report is what a node knows of one request.
type Report struct {
	Key Key
	// Ends are the ends under the request, Alone those of them that came while it
	// ran on probation, Cleared those after which it was answered.
	Ends, Alone, Cleared []End
	// Age is the time since the last end.
	Age time.Duration
}

// State says how a request may be sent.
type State uint8

// The states.
const (
	// Free: like any other request.
	Free State = iota
	// Probation: to one upstream, on its own among such requests.
	Probation
	// Rejected: not at all.
	Rejected
)

var stateNames = [...]string{"free", "probation", "rejected"}

// String returns the name of the state as it is logged.
func (s State) String() string { return stateNames[s] }

// Standing is how a request may be sent at some time.
type Standing struct {
	State State
	// Ends counts the ends under the request that no answer has cleared.
	Ends int
	// Age is the time since the last of them.
	Age time.Duration
	// Wait is the time until a Rejected request is on probation.
	Wait time.Duration
}

// entry is what is known of one request.
type entry struct {
	Report
	at time.Time // of the last end or answer
	// sequence is that of the last change, of those of the table.
	sequence uint64
	// spread says that this node passes the entry on to others.
	spread bool
}

// Table holds what one node knows. Use New. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	sequence uint64
	entries  map[Key]*entry
	// answered and answeredBefore hold the requests that were answered here since
	// answeredSince, and in the generation before.
	answered, answeredBefore map[Key]bool
	answeredSince            time.Time
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[Key]*entry), answered: make(map[Key]bool)} }

// Empty reports whether nothing is known of any request.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Ended records that an upstream beside this node ended while it ran the request.
// alone says that no other request on probation ran there. A request that was
// answered here shortly before did not cause it.
func (t *Table) Ended(now time.Time, k Key, end End, alone bool) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotateAnswered(now)
	if t.answered[k] || t.answeredBefore[k] {
		return t.standing(now, k)
	}
	r := Report{Key: k, Ends: []End{end}}
	if alone && t.standing(now, k).State == Probation {
		r.Alone = r.Ends
	}
	t.merge(now, r, true)
	return t.standing(now, k)
}

// Answered records a complete answer of an upstream beside this node. It reports
// whether ends were cleared by it.
func (t *Table) Answered(now time.Time, k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotateAnswered(now)
	if len(t.answered) < maxAnswered {
		t.answered[k] = true
	}
	e := t.entries[k]
	if e == nil || len(e.Ends) == 0 {
		return false
	}
	t.merge(now, Report{Key: k, Cleared: slices.Clone(e.Ends)}, true)
	return true
}

// rotateAnswered begins a new generation of answered requests when it is due.
func (t *Table) rotateAnswered(now time.Time) {
	age := now.Sub(t.answeredSince)
	if age < answeredAge {
		return
	}
	t.answeredBefore = t.answered
	if age >= 2*answeredAge {
		t.answeredBefore = nil
	}
	t.answered, t.answeredSince = make(map[Key]bool), now
}

// Merge adds what another node reports.
func (t *Table) Merge(now time.Time, reports ...Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		t.merge(now, r, false)
	}
}

// Standing returns how the request may be sent now.
func (t *Table) Standing(now time.Time, k Key) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standing(now, k)
}

// Report returns what is known of the request, and false if that is nothing.
func (t *Table) Report(now time.Time, k Key) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil {
		return Report{}, false
	}
	return e.report(now), true
}

// Since returns what this node passes on and has learnt since a sequence number,
// and the sequence number to pass next time. 0 stands for everything.
func (t *Table) Since(now time.Time, sequence uint64) ([]Report, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence == t.sequence {
		return nil, sequence
	}
	t.expire(now)
	var reports []Report
	for _, e := range t.entries {
		if e.spread && e.sequence > sequence {
			reports = append(reports, e.report(now))
		}
	}
	return reports, t.sequence
}

// merge adds a report; local says that it is of this node. Ends of other nodes are
// passed on from probationEnds on: nodes without a link to those that saw them
// hear of the few requests that matter, and not of all that ran on an upstream.
func (t *Table) merge(now time.Time, r Report, local bool) {
	at := now.Add(-r.Age)
	e := t.entry(now, r.Key, at)
	if e == nil {
		return
	}
	add(&e.Cleared, r.Cleared)
	e.Cleared = e.Cleared[max(len(e.Cleared)-maxCleared, 0):]
	before := len(e.Ends) + len(e.Alone)
	e.Ends = slices.DeleteFunc(e.Ends, e.hasCleared)
	e.Alone = slices.DeleteFunc(e.Alone, e.hasCleared)
	changed := len(e.Ends)+len(e.Alone) < before
	changed = addUpTo(maxEnds, &e.Ends, slices.DeleteFunc(slices.Clone(r.Ends), e.hasCleared)) || changed
	changed = addUpTo(maxEnds, &e.Alone, slices.DeleteFunc(slices.Clone(r.Alone), e.hasCleared)) || changed
	if changed {
		if at.After(e.at) {
			e.at = at
		}
		t.sequence++
		e.sequence = t.sequence
		e.spread = e.spread || local || len(e.Ends) >= probationEnds
	}
}

func (e *entry) hasCleared(end End) bool { return slices.Contains(e.Cleared, end) }

// add adds ends to a set, newest last, and reports whether it has changed.
func add(set *[]End, ends []End) (changed bool) {
	for _, end := range ends {
		if !slices.Contains(*set, end) {
			*set = append(*set, end)
			changed = true
		}
	}
	return changed
}

// addUpTo is add for a set that takes no more than most ends.
func addUpTo(most int, set *[]End, ends []End) (changed bool) {
	return add(set, ends[:min(len(ends), max(most-len(*set), 0))])
}

// entry returns the entry of a request. It adds one as of at if there is none, and
// returns nil if the table is full.
func (t *Table) entry(now time.Time, k Key, at time.Time) *entry {
	e := t.entries[k]
	if e != nil && !e.expired(now) {
		return e
	}
	if len(t.entries) >= maxEntries {
		t.expire(now)
		if len(t.entries) >= maxEntries {
			return nil
		}
	}
	e = &entry{Report: Report{Key: k}, at: at}
	t.entries[k] = e
	return e
}

func (t *Table) expire(now time.Time) {
	for k, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, k)
		}
	}
}

// expired reports whether the entry no longer says anything.
func (e *entry) expired(now time.Time) bool {
	age := now.Sub(e.at)
	switch {
	case len(e.Ends) == 0:
		return age > clearedAge
	case len(e.Alone) == 0:
		return age > probationAge
	default:
		return age > e.rejection()+rejectedAge
	}
}

// rejection returns for how long after the last end the request is rejected.
func (e *entry) rejection() time.Duration {
	switch len(e.Alone) {
	case 0:
		return 0
	case 1:
		return firstRejection
	case 2:
		return secondRejection
	default:
		return laterRejection
	}
}

func (e *entry) report(now time.Time) Report {
	r := e.Report
	r.Ends, r.Alone, r.Cleared = slices.Clone(e.Ends), slices.Clone(e.Alone), slices.Clone(e.Cleared)
	r.Age = max(now.Sub(e.at), 0)
	return r
}

func (t *Table) standing(now time.Time, k Key) Standing {
	e := t.entries[k]
	if e == nil || e.expired(now) || len(e.Ends) == 0 {
		return Standing{}
	}
	s := Standing{Ends: len(e.Ends), Age: max(now.Sub(e.at), 0)}
	s.Wait = max(e.rejection()-s.Age, 0)
	switch {
	case s.Wait > 0:
		s.State = Rejected
	case s.Ends >= probationEnds:
		s.State = Probation
	}
	return s
}
