package sidecar

import (
	"net/http"
	"testing"
	"time"

	linkpb "heathershed/api/link"
)

func TestNodeServesAfterRestartWithClockSetBack(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	near.request("GET", "/far/1", nil)
	const jump = 5 * time.Second // more than it had lived
	near.node.peers.merge(&linkpb.Member{
		Vm: far.cfg.VM, Service: "far", Datacentre: far.cfg.Datacentre, Address: far.cfg.Link, Instance: far.up.id, Slots: 4,
		Incarnation: far.node.incarnation.Load() + uint64(jump.Microseconds()), Sequence: 9, State: linkpb.MemberState_MEMBER_STATE_LEAVING,
	})
	far.halt()
	far.run()
	tc.t.Cleanup(far.halt)
	tc.waitFor("ready again", far.ready)
	far.heartbeat("far", "ready")
	const enough = 20 * time.Second
	for began := time.Now(); time.Since(began) < enough; time.Sleep(100 * time.Millisecond) {
		if a := near.request("GET", "/far/1", nil); a.status == http.StatusOK {
			return
		}
	}
	t.Errorf("no work for %v after the restart", enough)
}
