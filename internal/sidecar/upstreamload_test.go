package sidecar

import (
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
	"heathershed/platform/platformtest"
)

// startReporting starts a node of the service "near" and one of "far", whose upstream
// says what the talker says. Both have the setting.
func startReporting(t *testing.T, setting bool) (near, far *vm, upstream *talker) {
	t.Helper()
	tc := newTestCluster(t)
	tc.configure(1, "near", "far")
	for _, m := range []**vm{&near, &far} {
		service := "near"
		if m == &far {
			service = "far"
		}
		*m = tc.prepare(service, "west")
		(*m).cfg.UpstreamLoad = setting
		(*m).run()
		t.Cleanup((*m).halt)
	}
	for _, m := range []*vm{near, far} {
		tc.waitFor("ready", m.ready)
		m.heartbeat(m.cfg.Service, "ready")
	}
	near.waitServing("/far/1")
	return near, far, newTalker(far.up)
}

// TestReportedLoadReachesOtherNodes guards against a report that is lost between the
// upstream and the node that chooses, or that a client sees.
func TestReportedLoadReachesOtherNodes(t *testing.T) {
	t.Parallel()
	near, far, upstream := startReporting(t, true)
	upstream.say(platformtest.HeaderLoad, "3,1,4,250")
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+near.cfg.Clients+"/far/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, "a-reported")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, want the answer of the upstream", resp.StatusCode)
	}
	if got := resp.Header.Get(platformtest.HeaderLoad); got != "" {
		t.Errorf("the client got %s %q", platformtest.HeaderLoad, got)
	}
	reply := far.call(nil)
	got := reply.Load.Upstream
	if got == nil || got.PacePermille != 2500 || got.RunPacePermille != 2500 || got.BusyPermille != 4000 || got.Sequence == 0 {
		t.Fatalf("reply carries %v, want the load that the upstream has reported", got)
	}
	if r := near.node.loadOf(reply.Load).Upstream; !r.Known() || r.Pace != 2.5 || r.Incarnation != far.node.incarnation.Load() {
		t.Errorf("another node reads %+v, want the report", r)
	}
	if frame := far.node.Heartbeat(nil); frame.Load.GetUpstream() == nil {
		t.Error("heartbeats carry no report")
	}
	for _, h := range reply.Headers {
		if http.CanonicalHeaderKey(string(h.Name)) == platformtest.HeaderLoad {
			t.Errorf("the reply carries the header %s", h.Name)
		}
	}
}

// TestInvalidLoadIsIgnored guards against a load that a garbled value, or the answer of
// another instance, replaces.
func TestInvalidLoadIsIgnored(t *testing.T) {
	t.Parallel()
	_, far, upstream := startReporting(t, true)
	upstream.say(platformtest.HeaderLoad, "3,1,4,250")
	before := far.call(nil).Load.Upstream
	for _, value := range []string{"9,9", "9,9,4,900,1", "-9,9,4,900", "busy", "9,9,4,99999999999"} {
		upstream.say(platformtest.HeaderLoad, value)
		if after := far.call(nil).Load.Upstream; after.GetSequence() != before.GetSequence() {
			t.Errorf("%q: got %v, want that of before, %v", value, after, before)
		}
	}
	upstream.say(platformtest.HeaderLoad, "9,9,4,900")
	far.up.set(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(platformtest.HeaderInstance, "i-other")
		upstream.serve(rw, r)
	})
	if after := far.call(nil).Load.Upstream; after.GetSequence() != before.GetSequence() {
		t.Errorf("answer of another instance: got %v, want that of before, %v", after, before)
	}
	far.up.replace()
	far.heartbeat("far", "ready")
	if got := far.node.load("far").Upstream; got != nil {
		t.Errorf("another instance runs: got %v, want no report", got)
	}
}

// TestHealthCheckReportsLoad guards against a report of a health check that is lost.
func TestHealthCheckReportsLoad(t *testing.T) {
	t.Parallel()
	const healthPath = "/health"
	_, far, _ := startReporting(t, true)
	far.up.setHealth(healthPath, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(platformtest.HeaderLoad, "0,0,4,300")
	})
	if !far.node.checkHealth(t.Context(), healthPath) {
		t.Fatal("health check not passed")
	}
	if got := far.node.load("far").Upstream; got.GetSequence() != 1 || got.GetPacePermille() != 3000 {
		t.Errorf("got %v, want the load that the health check has reported", got)
	}
}

// TestWithoutTheSettingNothingIsReported guards against messages that change in
// deployments that have not asked for it, whose upstreams report as well.
func TestWithoutTheSettingNothingIsReported(t *testing.T) {
	t.Parallel()
	near, far, upstream := startReporting(t, false)
	upstream.say(platformtest.HeaderLoad, "3,1,4,250")
	if got := far.call(nil).Load.Upstream; got != nil {
		t.Errorf("reply carries %v, want nothing", got)
	}
	report := &linkpb.Load{Upstream: &linkpb.UpstreamLoad{Sequence: 1, PacePermille: 1000, RunPacePermille: 1000}}
	if r := near.node.loadOf(report).Upstream; r.Known() {
		t.Errorf("the report of another node counts: %+v", r)
	}
}

// TestReportedLoadIsSmall guards the control traffic: it is part of each heartbeat.
func TestReportedLoadIsSmall(t *testing.T) {
	const most = 32 // bytes
	largest := &linkpb.Load{Upstream: &linkpb.UpstreamLoad{
		Sequence: 1 << 40, BusyPermille: maxReportedFigure, PacePermille: 10_000_000,
		RunPacePermille: 10_000_000, AgeMs: uint32((5 * time.Second).Milliseconds()),
	}}
	usual := &linkpb.Load{Upstream: &linkpb.UpstreamLoad{Sequence: 100_000, BusyPermille: 12_345, PacePermille: 1100, RunPacePermille: 1050, AgeMs: 20}}
	t.Logf("usual %d bytes, largest %d", proto.Size(usual), proto.Size(largest))
	if size := proto.Size(largest); size > most {
		t.Errorf("%d bytes, want at most %d", size, most)
	}
}

// TestReportsOutOfRangeAreIgnored guards against figures of another version, or garbled
// ones, that enter the cost.
func TestReportsOutOfRangeAreIgnored(t *testing.T) {
	t.Parallel()
	near, _, _ := startReporting(t, true)
	for _, m := range []*linkpb.UpstreamLoad{
		{Sequence: 1, RunPacePermille: 1000}, {Sequence: 1, PacePermille: 1000},
		{Sequence: 1, PacePermille: maxReportedFigure + 1, RunPacePermille: 1000},
		{PacePermille: 1000, RunPacePermille: 1000},
	} {
		if r := near.node.loadOf(&linkpb.Load{Upstream: m}).Upstream; r.Known() {
			t.Errorf("%v: got %+v, want no report", m, r)
		}
	}
}
