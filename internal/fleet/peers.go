package fleet

import (
	"slices"
	"time"
)

// maxPeerAge is the age of a heartbeat up to which its latency says how an upstream
// responds now.
const maxPeerAge = 2 * time.Second

// Peers is how the upstreams of a service respond: medians, so that one that is slow or
// fails does not stand for the others.
type Peers struct {
	// Latency is the mean over all kinds of requests.
	Latency time.Duration
	// LossRate is the share of the recent requests that are not answered.
	LossRate float64
}

// Peers returns how the upstreams of a service respond that are usable and warm, except
// that of one VM. It reports false if none has reported a latency recently.
func (f *Fleet) Peers(now time.Time, service, except string) (p Peers, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latencies []time.Duration
	var losses []float64
	for _, e := range f.byService[service] {
		if e.VM == except || !e.usable() || e.load.Cold || e.overall.value <= 0 || now.Sub(e.overall.at) > maxPeerAge {
			continue
		}
		latencies = append(latencies, e.overall.value)
		losses = append(losses, e.load.LossRate)
	}
	if len(latencies) == 0 {
		return Peers{}, false
	}
	slices.Sort(latencies)
	slices.Sort(losses)
	return Peers{Latency: latencies[len(latencies)/2], LossRate: losses[len(losses)/2]}, true
}
