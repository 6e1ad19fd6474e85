package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/vm/instance"
)

// TestStateChangesDoNotAbortRequestsInFlight checks that a request in flight
// is answered completely when the state of its upstream or node changes
// meanwhile. Reports of such changes may be wrong.
func TestStateChangesDoNotAbortRequestsInFlight(t *testing.T) {
	t.Parallel()
	upstream := func(apply func(*instance.Tracker, *vm) instance.Change) func(*testCluster, *vm, *vm) {
		return func(_ *testCluster, _, at *vm) {
			at.node.target.update("test", func(tr *instance.Tracker) instance.Change { return apply(tr, at) })
		}
	}
	frame := func(state linkpb.MemberState, address string) func(*testCluster, *vm, *vm) {
		return func(_ *testCluster, from, at *vm) {
			m := &linkpb.Member{
				Vm: at.cfg.VM, Service: at.cfg.Service, Datacentre: at.cfg.Datacentre, Address: address,
				Incarnation: at.node.incarnation.Load(), Sequence: 1000, State: state,
			}
			if address == "" {
				m.Address = at.cfg.Link
			}
			from.node.peers.merge(m)
		}
	}
	events := []struct {
		name string
		do   func(tc *testCluster, from, at *vm)
	}{
		{"upstream restarted", upstream(func(tr *instance.Tracker, m *vm) instance.Change {
			return tr.HandleHeartbeat(time.Now(), instance.Heartbeat{ID: "i-next", Service: m.cfg.Service, Address: m.up.address, Slots: 4, Seq: 1})
		})},
		{"upstream of another service", upstream(func(tr *instance.Tracker, m *vm) instance.Change {
			return tr.HandleHeartbeat(time.Now(), instance.Heartbeat{ID: "i-next", Service: "other", Address: m.up.address, Slots: 1, Seq: 1})
		})},
		{"upstream drains", func(_ *testCluster, _, at *vm) { at.heartbeat(at.cfg.Service, "draining") }},
		{"upstream deregisters", upstream(func(tr *instance.Tracker, m *vm) instance.Change {
			return tr.Deregister(instance.Deregistration{ID: m.up.id})
		})},
		{"upstream refuses a connection", upstream(func(tr *instance.Tracker, m *vm) instance.Change { return tr.ConnectionRefused(m.up.id) })},
		{"upstream is another instance", upstream(func(tr *instance.Tracker, m *vm) instance.Change { return tr.Misdirected(m.up.id, "i-next") })},
		{"route removed", func(tc *testCluster, from, at *vm) {
			tc.configure(2, "other")
			tc.waitFor("the configuration is active", func() bool { return from.node.table.Load().Version == 2 && at.node.table.Load().Version == 2 })
		}},
		{"settings changed", func(_ *testCluster, from, at *vm) {
			for _, m := range []*vm{from, at} {
				next := *m.cfg
				next.Grace, next.RetryRatio, next.RetrySlack = time.Second, 0, 0
				m.node.Apply(&next)
			}
		}},
		{"node removed", func(_ *testCluster, from, at *vm) {
			from.node.peers.remove(at.cfg.VM)
			at.node.peers.remove(from.cfg.VM)
		}},
		{"node leaves", frame(linkpb.MemberState_MEMBER_STATE_LEAVING, "")},
		{"node has another address", frame(linkpb.MemberState_MEMBER_STATE_UP, "127.0.0.1:1")},
		{"no links wanted", func(_ *testCluster, from, at *vm) {
			from.node.links.SetTargets(nil)
			at.node.links.SetTargets(nil)
		}},
	}
	for _, e := range events {
		for _, method := range []string{"GET", "POST"} {
			t.Run(fmt.Sprint(e.name, " ", method), func(t *testing.T) {
				t.Parallel()
				tc, near, far := startPair(t)
				far.up.set(answerAfter(time.Second))
				path := "/far/1"
				if method == "POST" {
					path = "/far-order/1"
				}
				remote, local := startRequest(near, far, method, path), startRequest(far, far, method, path)
				e.do(tc, near, far)
				for from, got := range map[string]<-chan answer{"another node": remote, "the upstream's node": local} {
					if a := <-got; a.status != http.StatusOK || a.body != "complete answer" {
						t.Errorf("request from %s: got status %d, body %q, err %v; want the complete answer", from, a.status, a.body, a.err)
					}
				}
			})
		}
	}
}
