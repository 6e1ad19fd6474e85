package node

import (
	"sync"
	"time"

	"heathershed/internal/wait"
)

const (
	// demandKept is how long after the last use links are kept.
	demandKept = 10 * time.Minute
	// demandMark is how often one use is noted.
	demandMark = time.Minute
	// maxDemandVMs bounds the links asked for by name.
	maxDemandVMs = 64
)

// demand notes which services and VMs this node's callers have used lately, so
// that links to them are held. It is safe for concurrent use.
type demand struct {
	changed wait.Signal

	mu        sync.RWMutex
	byService map[string]time.Time
	byVM      map[string]time.Time
	first     map[string]time.Time // first use of a service since it was forgotten
}

func newDemand() *demand {
	return &demand{
		changed:   wait.NewSignal(),
		byService: make(map[string]time.Time),
		byVM:      make(map[string]time.Time),
		first:     make(map[string]time.Time),
	}
}

// service notes a use of a service.
func (d *demand) service(now time.Time, name string) {
	if !d.note(now, d.byService, name, 0) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first[name] = now
}

// opening reports whether links to a service may still be on their way, because
// its first use was lately.
func (d *demand) opening(now time.Time, name string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return now.Sub(d.first[name]) < linkWait
}

// vm notes a use of one VM by name.
func (d *demand) vm(now time.Time, name string) (isNew bool) {
	return d.note(now, d.byVM, name, maxDemandVMs)
}

func (d *demand) note(now time.Time, used map[string]time.Time, name string, bound int) (isNew bool) {
	d.mu.RLock()
	last, ok := used[name]
	d.mu.RUnlock()
	if ok && now.Sub(last) < demandMark {
		return false
	}
	d.mu.Lock()
	if !ok && bound > 0 && len(used) >= bound {
		dropOldest(used)
	}
	used[name] = now
	d.mu.Unlock()
	if !ok {
		d.changed.Send()
	}
	return !ok
}

func dropOldest(used map[string]time.Time) {
	oldest := ""
	for name, at := range used {
		if oldest == "" || at.Before(used[oldest]) {
			oldest = name
		}
	}
	delete(used, oldest)
}

func (d *demand) services() []string { return d.names(d.byService) }
func (d *demand) vms() []string      { return d.names(d.byVM) }

func (d *demand) names(used map[string]time.Time) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	names := make([]string, 0, len(used))
	for name := range used {
		names = append(names, name)
	}
	return names
}

// expire forgets what was not used for long and reports whether it did.
func (d *demand) expire(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := false
	for _, used := range []map[string]time.Time{d.byService, d.byVM} {
		for name, last := range used {
			if now.Sub(last) > demandKept {
				delete(used, name)
				dropped = true
			}
		}
	}
	return dropped
}
