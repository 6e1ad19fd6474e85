package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/vm/instance"
)

// TestBeliefsEndNoRequestInFlight takes something for changed, which it may not
// be, while a request is at work: it is answered whole all the same.
func TestBeliefsEndNoRequestInFlight(t *testing.T) {
	t.Parallel()
	upstream := func(apply func(*instance.Tracker, *vm) instance.Change) func(*world, *vm, *vm) {
		return func(_ *world, _, at *vm) {
			at.node.target.change("test", func(b *instance.Tracker) instance.Change { return apply(b, at) })
		}
	}
	frame := func(state linkpb.MemberState, address string) func(*world, *vm, *vm) {
		return func(_ *world, from, at *vm) {
			m := &linkpb.Member{
				Vm: at.cfg.VM, Service: at.cfg.Service, Datacentre: at.cfg.Datacentre, Address: address,
				Incarnation: at.node.incarnation.Load(), Sequence: 1000, State: state,
			}
			if address == "" {
				m.Address = at.cfg.Link
			}
			from.node.peers.learn(m)
		}
	}
	events := []struct {
		name string
		do   func(w *world, from, at *vm)
	}{
		{"upstream started anew", upstream(func(b *instance.Tracker, m *vm) instance.Change {
			return b.HandleHeartbeat(time.Now(), instance.Heartbeat{ID: "i-next", Service: m.cfg.Service, Address: m.up.address, Slots: 4, Seq: 1})
		})},
		{"upstream of another service", upstream(func(b *instance.Tracker, m *vm) instance.Change {
			return b.HandleHeartbeat(time.Now(), instance.Heartbeat{ID: "i-next", Service: "other", Address: m.up.address, Slots: 1, Seq: 1})
		})},
		{"upstream drains", func(_ *world, _, at *vm) { at.beat(at.cfg.Service, "draining") }},
		{"upstream deregisters", upstream(func(b *instance.Tracker, m *vm) instance.Change { return b.Deregister(m.up.id) })},
		{"upstream refuses a connection", upstream(func(b *instance.Tracker, m *vm) instance.Change { return b.ConnectionRefused(m.up.id) })},
		{"upstream is another start", upstream(func(b *instance.Tracker, m *vm) instance.Change { return b.Misdirected(m.up.id, "i-next") })},
		{"route dropped", func(w *world, from, at *vm) {
			w.configure(2, "other")
			w.until("in force", func() bool { return from.node.table.Load().Version == 2 && at.node.table.Load().Version == 2 })
		}},
		{"settings changed", func(_ *world, from, at *vm) {
			for _, m := range []*vm{from, at} {
				next := *m.cfg
				next.Grace, next.RetryRatio, next.RetrySlack = time.Second, 0, 0
				m.node.Apply(&next)
			}
		}},
		{"node forgotten", func(_ *world, from, at *vm) {
			from.node.peers.forget(at.cfg.VM)
			at.node.peers.forget(from.cfg.VM)
		}},
		{"node leaves", frame(linkpb.MemberState_MEMBER_STATE_LEAVING, "")},
		{"node has another address", frame(linkpb.MemberState_MEMBER_STATE_UP, "127.0.0.1:1")},
		{"no links wanted", func(_ *world, from, at *vm) {
			from.node.links.SetTargets(nil)
			at.node.links.SetTargets(nil)
		}},
	}
	for _, e := range events {
		for _, method := range []string{"GET", "POST"} {
			t.Run(fmt.Sprint(e.name, " ", method), func(t *testing.T) {
				t.Parallel()
				w, near, far := pair(t)
				far.up.set(answerIn(time.Second))
				path := "/far/1"
				if method == "POST" {
					path = "/far-order/1"
				}
				over, own := inFlight(near, far, method, path), inFlight(far, far, method, path)
				e.do(w, near, far)
				for from, got := range map[string]<-chan answer{"another node": over, "its own node": own} {
					if a := <-got; a.status != http.StatusOK || a.body != "whole answer" {
						t.Errorf("request of %s: status %d %q, %v", from, a.status, a.body, a.err)
					}
				}
			})
		}
	}
}
