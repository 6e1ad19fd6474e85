package timeline

import (
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// noisyBudget is the number of sampled events kept a second, each for
	// orders and for other calls.
	noisyBudget = 64
	// minSize is the smallest ring.
	minSize = 16
)

// Recorder keeps the newest events of one process. It is safe for concurrent
// use; Record takes one short lock and allocates nothing.
type Recorder struct {
	vm   string
	wall func() time.Time

	mu      sync.Mutex
	clock   Clock
	ring    []Event
	next    uint64 // events recorded since the start; ring index modulo its size
	lost    uint64 // stamp of the newest overwritten event
	orders  sampler
	others  sampler
	leftOut uint64
	levelAt [maxLevel + 1]uint64 // stamp when each level was last in force
}

// NewRecorder returns a recorder of up to size events at the VM; clock is the
// wall clock.
func NewRecorder(vm string, size int, clock func() time.Time) *Recorder {
	return &Recorder{
		vm:     vm,
		wall:   clock,
		ring:   make([]Event, max(size, minSize)),
		orders: sampler{budget: noisyBudget},
		others: sampler{budget: noisyBudget},
	}
}

// Record stamps the event and keeps it, unless its kind is noisy and its root
// request is sampled out.
func (r *Recorder) Record(e Event) {
	now := r.wall()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.HLC = r.clock.Now(now)
	if e.VM == "" {
		e.VM = r.vm
	}
	if e.Kind.noisy() && !r.sample(now, &e) {
		r.leftOut++
		return
	}
	slot := &r.ring[r.next%uint64(len(r.ring))]
	if r.next >= uint64(len(r.ring)) {
		r.lost = slot.HLC
	}
	*slot = e
	r.next++
}

func (r *Recorder) sample(now time.Time, e *Event) bool {
	s := &r.others
	if !e.Order.IsZero() {
		s = &r.orders
	}
	keep := s.keep(now, e.Root)
	r.levelAt[s.level] = e.HLC
	return keep
}

// Observe takes in the stamp of another process.
func (r *Recorder) Observe(remote uint64) {
	now := r.wall()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(remote, now)
}

// Stamp returns a stamp to send to another process.
func (r *Recorder) Stamp() uint64 {
	now := r.wall()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now(now)
}

// since returns the events with a higher stamp, oldest first, and how many more
// of them may have been overwritten: none where hlc is newer than all
// overwritten ones, else all overwritten ones. The caller holds the lock.
func (r *Recorder) since(hlc uint64) ([]Event, uint64) {
	size := uint64(len(r.ring))
	first, gap := uint64(0), uint64(0)
	if r.next > size {
		first = r.next - size
	}
	if r.lost > hlc {
		gap = first
	}
	var out []Event
	for i := first; i < r.next; i++ {
		if e := r.ring[i%size]; e.HLC > hlc {
			out = append(out, e)
		}
	}
	return out, gap
}

// Trace is what one process hands out of its time line.
type Trace struct {
	VM     string  `json:"vm"`
	Events []Event `json:"events"`
	// Gap is the number of events overwritten before the first one here.
	Gap uint64 `json:"gap"`
	// SampledOut is the number of events sampled out since the start.
	SampledOut uint64 `json:"left_out"`
	// Level is the highest level of sampling over the events here: a request
	// whose SampleLevel is at least that is whole.
	Level int `json:"level"`
}

// Trace returns the events since the stamp with what is missing.
func (r *Recorder) Trace(since uint64) Trace {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Trace{VM: r.vm, SampledOut: r.leftOut}
	t.Events, t.Gap = r.since(since)
	from := since
	if len(t.Events) > 0 {
		from = t.Events[0].HLC
	}
	for level, at := range r.levelAt {
		if at > 0 && at >= from {
			t.Level = level
		}
	}
	return t
}

// IsComplete reports whether all events of the root request are in the traces,
// unless a ring overflowed.
func IsComplete(root contract.RootID, traces []Trace) bool {
	level := SampleLevel(root)
	for _, t := range traces {
		if t.Level > level {
			return false
		}
	}
	return true
}
