package node

import (
	"sync"
	"time"

	"heathershed/internal/wait"
)

const (
	// demandTTL is how long links are kept after the last use.
	demandTTL = 10 * time.Minute
	// demandRecordEvery is the least interval between two recorded uses of one
	// name.
	demandRecordEvery = time.Minute
	// maxDemandVMs bounds the VMs to which links are requested by name.
	maxDemandVMs = 64
)

// demand records which services and VMs this node has used recently, so that
// links to them are kept. It is safe for concurrent use.
type demand struct {
	changed wait.Signal

	mu        sync.RWMutex
	byService map[string]time.Time
	byVM      map[string]time.Time
	firstUse  map[string]time.Time // first use of a service since it last expired
}

func newDemand() *demand {
	return &demand{
		changed:   wait.NewSignal(),
		byService: make(map[string]time.Time),
		byVM:      make(map[string]time.Time),
		firstUse:  make(map[string]time.Time),
	}
}

// service records a use of a service.
func (d *demand) service(now time.Time, name string) {
	if !d.record(now, d.byService, name, 0) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstUse[name] = now
}

// opening reports whether links to a service may still be opening because its
// first use was less than linkWait ago.
func (d *demand) opening(now time.Time, name string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return now.Sub(d.firstUse[name]) < linkWait
}

// vm records a use of one VM by name.
func (d *demand) vm(now time.Time, name string) (isNew bool) {
	return d.record(now, d.byVM, name, maxDemandVMs)
}

func (d *demand) record(now time.Time, used map[string]time.Time, name string, bound int) (isNew bool) {
	d.mu.RLock()
	last, ok := used[name]
	d.mu.RUnlock()
	if ok && now.Sub(last) < demandRecordEvery {
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

// expire drops names that were not used within demandTTL and reports whether it
// dropped any.
func (d *demand) expire(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := false
	for _, used := range []map[string]time.Time{d.byService, d.byVM} {
		for name, last := range used {
			if now.Sub(last) > demandTTL {
				delete(used, name)
				dropped = true
			}
		}
	}
	return dropped
}
