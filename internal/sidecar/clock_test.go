package sidecar

import (
	"net/http"
	"testing"
	"time"

	linkpb "heathershed/api/link"
)

// TestNodeServesAfterRestartWithClockSetBack guards against a restarted node
// that gets no work because other nodes know a higher incarnation of it: its
// clock was set back by more than its earlier lifetime.
func TestNodeServesAfterRestartWithClockSetBack(t *testing.T) {
	t.Parallel()
	tc, near, far := startPair(t)
	near.request("GET", "/far/1", nil)
	const jump = 5 * time.Second // longer than the earlier start has run
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
	t.Errorf("node got no work within %v after its restart", enough)
}
