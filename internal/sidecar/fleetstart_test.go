package sidecar

import (
	"fmt"
	"testing"
	"time"

	"heathershed/internal/soak"
)

// startedService is a service of a fleet that starts service by service.
type startedService struct {
	name  string
	nodes int
}

// startServices starts the services one after the other, spread over data centres.
// Every second node of the first service can't reach the object API any more once
// its service is up.
func (tc *testCluster) startServices(services []startedService) (vms []*vm) {
	tc.t.Helper()
	var names []string
	for _, s := range services {
		names = append(names, s.name)
	}
	tc.configure(1, names...)
	for i, s := range services {
		started := make([]*vm, s.nodes)
		for j := range started {
			started[j] = tc.prepare(s.name, fmt.Sprint("dc", j%restDatacentres))
			if i == 0 && j%2 == 0 {
				started[j].addStoreProxy()
			}
			started[j].run()
		}
		vms = append(vms, started...)
		for _, m := range started {
			tc.waitFor("ready", m.ready)
			m.heartbeat(s.name, "ready")
		}
		tc.waitFor("linked", func() bool { return mostlyLinked(started) })
		for _, m := range started {
			if m.storeProxy != nil {
				m.storeProxy.SetMode(soak.ModeReset)
			}
		}
	}
	return vms
}

// mostlyLinked reports whether each node has most of its links.
func mostlyLinked(vms []*vm) bool {
	for _, m := range vms {
		if wanted, up := m.node.links.Counts(); 2*up <= wanted {
			return false
		}
	}
	return true
}

// addStoreProxy puts a proxy on the way of a node that does not run yet to the
// object API.
func (m *vm) addStoreProxy() {
	m.cfg.Platform = m.cfg.Link[:len(m.cfg.Link)-len(":7002")] + ":7400"
	m.storeProxy = m.tc.newProxy(m.cfg.Platform, m.tc.address)
}

// lacking returns the first service of which a node has no usable upstream.
func lacking(vms []*vm, services []startedService) string {
	for _, m := range vms {
		for _, s := range services {
			if known, usable := m.node.fleet.CountService(s.name); usable == 0 {
				return fmt.Sprintf("%s: %d upstreams of %s known, none usable", m.cfg.VM, known, s.name)
			}
		}
	}
	return ""
}

// TestNodesThatStartEarlyKnowTheUpstreamsOfLaterServices guards against nodes that
// serve nothing of a service until they list the records again.
func TestNodesThatStartEarlyKnowTheUpstreamsOfLaterServices(t *testing.T) {
	const bound = 2 * time.Second
	services := []startedService{{"a", 24}, {"b", 10}, {"c", 4}, {"d", 2}}
	tc := newTestCluster(t)
	vms := tc.startServices(services)
	t.Cleanup(func() { haltAll(vms) })
	began := time.Now()
	for missing := lacking(vms, services); missing != ""; missing = lacking(vms, services) {
		if time.Since(began) > bound {
			t.Fatalf("%v after the last service has started: %s", bound, missing)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("every node has upstreams of every service %v after the last one has started", time.Since(began).Round(time.Millisecond))
	tc.waitFor("all nodes know all others", func() bool {
		digest := vms[0].node.membersDigest()
		for _, m := range vms {
			if m.node.membersDigest() != digest {
				return false
			}
		}
		return digest.Count == len(vms)
	})
}
