package crowd

import (
	"testing"
	"time"
)

// Guards against clients that bring down a process: it holds each body and each
// response completely, without a bound over all connections.
func TestCrowdStaysWithinTheMemory(t *testing.T) {
	kinds := []struct {
		name  string
		kinds []client
	}{
		{"large chunks", []client{stopsBeforeTheEnd(64 << 10)}},
		{"small chunks", []client{stopsBeforeTheEnd(64)}},
		{"declared over the limit", []client{exceedsTheLimit(3*maxBody, true)}},
		{"sent over the limit", []client{exceedsTheLimit(3*maxBody, false)}},
		{"long responses", []client{doesNotRead}},
	}
	var every []client
	for _, k := range kinds {
		every = append(every, k.kinds...)
	}
	kinds = append(kinds, struct {
		name  string
		kinds []client
	}{"all", every})
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			f := startFleet(t, maxBody)
			closeAll := f.run(k.kinds...)
			defer closeAll()
			// What was sent is read and answered meanwhile, as quickly as the machine
			// can: an ordinary request is answered beside the clients.
			waitFor(t, "an ordinary request is answered beside the clients", func() bool { return f.nodes[0].request("GET", "/b/", nil) == nil })
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				n.check(len(k.kinds) * clients)
			}
			closeAll()
			for _, n := range f.nodes {
				waitFor(t, "an order at the limit is answered afterwards", func() bool {
					err := n.request("POST", "/b-order/", make([]byte, maxBody))
					if err != nil {
						t.Log(n.cfg.VM, ": ", err)
					}
					return err == nil
				})
				n.check(len(k.kinds) * clients)
			}
		})
	}
}
