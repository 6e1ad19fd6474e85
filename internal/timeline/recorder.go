package timeline

import (
	"sync"
	"time"

	"heathershed/internal/contract"
)

const (
	// sampledBudget is the number of events of sampled kinds kept per second
	// before the sampling level rises, for orders and for other calls each.
	sampledBudget = 64
	// minSize is the minimum size of the ring.
	minSize = 16
)

// Recorder retains the newest events of one process. It is safe for concurrent
// use. Record holds one lock briefly and does not allocate.
type Recorder struct {
	vm   string
	wall func() time.Time

	mu         sync.Mutex
	clock      Clock
	ring       []Event
	next       uint64 // events recorded since the start; the next index, modulo the size
	lost       uint64 // stamp of the newest overwritten event
	orders     sampler
	others     sampler
	sampledOut uint64
	levelAt    [maxLevel + 1]uint64 // stamp at which each level was last active
}

// NewRecorder returns a Recorder that retains up to size events of the VM, at
// least minSize. clock returns the wall time.
func NewRecorder(vm string, size int, clock func() time.Time) *Recorder {
	return &Recorder{
		vm:     vm,
		wall:   clock,
		ring:   make([]Event, max(size, minSize)),
		orders: sampler{budget: sampledBudget},
		others: sampler{budget: sampledBudget},
	}
}

// Record stamps the event and stores it, unless its kind is sampled and its root
// request is sampled out.
func (r *Recorder) Record(e Event) {
	now := r.wall()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.HLC = r.clock.Now(now)
	if e.VM == "" {
		e.VM = r.vm
	}
	if e.Kind.sampled() && !r.sample(now, &e) {
		r.sampledOut++
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

// Observe records a stamp received from another process.
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

// since returns the retained events with a stamp higher than hlc, oldest first,
// and an upper bound on the number of such events that were overwritten. The
// bound is 0 if the newest overwritten event has no higher stamp than hlc,
// otherwise the number of all overwritten events. The caller holds r.mu.
func (r *Recorder) since(hlc uint64) ([]Event, uint64) {
	size := uint64(len(r.ring))
	first, overwritten := uint64(0), uint64(0)
	if r.next > size {
		first = r.next - size
	}
	if r.lost > hlc {
		overwritten = first
	}
	var out []Event
	for i := first; i < r.next; i++ {
		if e := r.ring[i%size]; e.HLC > hlc {
			out = append(out, e)
		}
	}
	return out, overwritten
}

// Trace is the timeline of one process.
type Trace struct {
	VM     string  `json:"vm"`
	Events []Event `json:"events"`
	// Gap is an upper bound on the number of events missing before the first of
	// Events because they were overwritten.
	Gap uint64 `json:"gap"`
	// SampledOut is the number of events sampled out since the start.
	SampledOut uint64 `json:"left_out"`
	// Level is the highest sampling level that was active over Events: the
	// events of a request whose SampleLevel is at least Level are complete.
	Level int `json:"level"`
}

// Trace returns the events after the stamp since, and what is missing of them.
func (r *Recorder) Trace(since uint64) Trace {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Trace{VM: r.vm, SampledOut: r.sampledOut}
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

// IsComplete reports whether the traces contain all events of the root request,
// apart from events overwritten in a full ring.
func IsComplete(root contract.RootID, traces []Trace) bool {
	level := SampleLevel(root)
	for _, t := range traces {
		if t.Level > level {
			return false
		}
	}
	return true
}
