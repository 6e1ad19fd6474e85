package fleet

import (
	"testing"
	"time"
)

// Guards against a comparison with upstreams that are cold, gone, silent or of another
// service, with the upstream itself, or with the latency of a single kind.
func TestPeersAreTheWarmUpstreamsOfTheService(t *testing.T) {
	const service = "spanbook"
	now := time.Unix(1e9, 0)
	f := New("west")
	if _, known := f.Peers(now, service, "own"); known {
		t.Error("an empty fleet has peers")
	}
	heartbeat := func(vm string, at time.Time, latency time.Duration, loss float64, cold bool) {
		f.SetLinked(vm, true)
		f.UpdateLoad(at, vm, Load{Slots: 10, Latency: latency, LossRate: loss, Cold: cold})
	}
	put := func(vm, service string) {
		f.Put(Upstream{VM: vm, Service: service, Datacentre: "west", Instance: vm, Slots: 10, Ready: true})
	}
	for _, vm := range []string{"own", "a", "b", "c", "cold", "silent", "unknown", "down"} {
		put(vm, service)
	}
	put("other", "sightbank")
	heartbeat("own", now, time.Second, 0.9, false)
	heartbeat("a", now, 100*time.Millisecond, 0, false)
	heartbeat("b", now, 120*time.Millisecond, 0.1, false)
	heartbeat("c", now, 900*time.Millisecond, 0.8, false)
	heartbeat("cold", now, 3*time.Second, 0, true)
	heartbeat("silent", now.Add(-maxPeerAge-time.Millisecond), 3*time.Second, 0, false)
	heartbeat("unknown", now, 0, 0, false)
	heartbeat("other", now, time.Millisecond, 0, false)
	heartbeat("down", now, 3*time.Second, 0, false)
	f.SetLinked("down", false)
	p, known := f.Peers(now, service, "own")
	if !known || p.Latency != 120*time.Millisecond || p.LossRate != 0.1 {
		t.Errorf("got %+v, %v; want the medians of a, b and c, 120ms and 0.1", p, known)
	}
	f.mu.Lock()
	f.setLoad(now, f.byVM["b"], Load{Slots: 10, Latency: time.Millisecond, LossRate: 0.1}) // of one kind, with a reply
	f.mu.Unlock()
	if p, _ := f.Peers(now, service, "own"); p.Latency != 120*time.Millisecond {
		t.Errorf("got a latency of %v, want that of all kinds, 120ms", p.Latency)
	}
}
