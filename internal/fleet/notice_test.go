package fleet

import (
	"testing"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/vm/instance"
)

func limited(id string, version uint64, limit float64) instance.Report {
	return instance.Report{Instance: id, Incarnation: 1, Changes: version, Notice: instance.Notice{Limited: true, Limit: limit}}
}

func leaving(id string, version uint64) instance.Report {
	return instance.Report{Instance: id, Incarnation: 1, Changes: version, Notice: instance.Notice{Leaving: true}}
}

func (f *Fleet) hearFrom(vm string, r instance.Report) {
	f.UpdateLoad(epoch, vm, Load{Slots: 10, Report: r})
}

func TestNewestNoticeOfAnInstanceIsKept(t *testing.T) {
	put := func(f *Fleet, id string, ready bool) {
		f.Put(Upstream{VM: "local", Service: "span", Datacentre: "west", Instance: id, Slots: 10, Ready: ready})
	}
	silent := func(id string, version uint64) instance.Report {
		return instance.Report{Instance: id, Incarnation: min(version, 1), Changes: version}
	}
	cases := []struct {
		name string
		do   func(f *Fleet)
		want instance.Notice
	}{
		{"newer limit", func(f *Fleet) {
			f.hearFrom("local", limited("i-local", 5, 8))
			f.hearFrom("local", limited("i-local", 6, 3))
		}, instance.Notice{Limited: true, Limit: 3}},
		{"older limit arrives last", func(f *Fleet) {
			f.hearFrom("local", limited("i-local", 6, 3))
			f.hearFrom("local", limited("i-local", 5, 8))
		}, instance.Notice{Limited: true, Limit: 3}},
		{"limit ended", func(f *Fleet) {
			f.hearFrom("local", limited("i-local", 5, 8))
			f.hearFrom("local", silent("i-local", 6))
		}, instance.Notice{}},
		{"end arrives before an older limit", func(f *Fleet) {
			f.hearFrom("local", silent("i-local", 6))
			f.hearFrom("local", limited("i-local", 5, 8))
		}, instance.Notice{}},
		{"node that has heard nothing since its start", func(f *Fleet) {
			f.hearFrom("local", limited("i-local", 5, 8))
			f.hearFrom("local", silent("i-local", 0))
		}, instance.Notice{Limited: true, Limit: 8}},
		{"leaving is for good", func(f *Fleet) { f.hearFrom("local", leaving("i-local", 5)); f.hearFrom("local", silent("i-local", 6)) }, instance.Notice{Leaving: true}},
		{"node restarts and knows no instance yet", func(f *Fleet) {
			f.hearFrom("local", leaving("i-local", 5))
			put(f, "", false)
			put(f, "i-local", true)
		}, instance.Notice{Leaving: true}},
		{"answer to a request from before the VM was forgotten", func(f *Fleet) {
			c, _ := f.Pick(epoch, Query{Service: "span", Exclude: []string{"remote"}})
			f.Remove("local")
			put(f, "i-local", true)
			f.Done(epoch, c, Result{Verdict: contract.Ran, Load: &Load{Report: leaving("i-local", 5)}})
		}, instance.Notice{Leaving: true}},
		{"node restarted", func(f *Fleet) {
			f.hearFrom("local", limited("i-local", 900, 8))
			f.hearFrom("local", instance.Report{Instance: "i-local", Incarnation: 2, Changes: 1})
		}, instance.Notice{}},
		{"another instance", func(f *Fleet) { f.hearFrom("local", leaving("i-local", 5)); put(f, "i-next", true) }, instance.Notice{}},
		{"notice of the instance before arrives late", func(f *Fleet) {
			put(f, "i-next", true)
			f.hearFrom("local", silent("i-next", 6))
			f.hearFrom("local", leaving("i-local", 5))
		}, instance.Notice{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet()
			tc.do(f)
			if got := f.byVM["local"].heard().Notice; got != tc.want {
				t.Fatalf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

func TestUpstreamThatLeavesIsNotChosen(t *testing.T) {
	f := newFleet()
	f.hearFrom("local", leaving("i-local", 5))
	if got := picks(f, epoch, 20); got["local"] > 0 {
		t.Fatalf("%d of 20 calls sent to an upstream that leaves, want 0", got["local"])
	}
	f.Put(Upstream{VM: "local", Service: "span", Datacentre: "west", Instance: "i-next", Slots: 10, Ready: true})
	if got := picks(f, epoch, 20); got["local"] == 0 {
		t.Fatal("the next instance gets no calls")
	}
}

func TestRequestsWaitForALimitOnlyWhereAllNameOne(t *testing.T) {
	f := newFleet()
	f.hearFrom("local", limited("i-local", 5, 8))
	c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k"})
	if c.VM != "local" || !c.NoWait || c.Report.Limit != 8 {
		t.Fatalf("got %+v, want the limited upstream without a wait", c)
	}
	f.Done(epoch, c, Result{Verdict: contract.NotRun, Reason: contract.ReasonUpstreamLimit})
	if got := picks(f, epoch.Add(time.Millisecond), 20); got["local"] > 0 {
		t.Fatalf("%d of 20 calls sent to the limited upstream right after it had no room, want 0", got["local"])
	}
	if c, _ := f.Pick(epoch.Add(time.Hour), Query{Service: "span", Kind: "k", AvoidLimited: true}); c.VM != "remote" {
		t.Fatalf("got %q for a call that found no room at a limited upstream, want remote", c.VM)
	}
	f.hearFrom("remote", limited("i-remote", 5, 8))
	if c, ok := f.Pick(epoch.Add(2*time.Millisecond), Query{Service: "span", Kind: "k", AvoidLimited: true}); !ok || c.NoWait {
		t.Fatalf("got %+v, %v; want a choice that may wait", c, ok)
	}
}

func TestUpstreamWithRoomWithinItsLimitIsPreferred(t *testing.T) {
	f := newFleet()
	f.UpdateLoad(epoch, "local", Load{Slots: 10, Report: limited("i-local", 5, 8), PacedUntil: epoch.Add(time.Second)})
	f.UpdateLoad(epoch, "remote", Load{Slots: 10, Report: limited("i-remote", 5, 8)})
	if c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k"}); c.VM != "remote" {
		t.Fatalf("got %q, want the one that has room now", c.VM)
	}
	if c, _ := f.Pick(epoch.Add(2*time.Second), Query{Service: "span", Kind: "k"}); c.VM != "local" {
		t.Fatalf("got %q once both have room, want the local one", c.VM)
	}
}

// TestLatencyUnderALimitIsForgottenAtItsEnd guards against an upstream that was
// slow while it named a limit and gets no work after it.
func TestLatencyUnderALimitIsForgottenAtItsEnd(t *testing.T) {
	f := newFleet()
	done := func(vm string, latency time.Duration, r instance.Report) {
		exclude := map[string]string{"local": "remote", "remote": "local"}[vm]
		c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k", Exclude: []string{exclude}})
		f.Done(epoch, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: latency, Report: r}})
	}
	done("remote", 10*time.Millisecond, instance.Report{})
	done("local", time.Second, limited("i-local", 5, 8))
	f.hearFrom("local", instance.Report{Instance: "i-local", Incarnation: 1, Changes: 6})
	if got := picks(f, epoch, 20); got["local"] < 10 {
		t.Fatalf("%d of 20 calls sent to the upstream after the end of its limit, want most", got["local"])
	}
}

// TestSlowUpstreamWithALimitIsTriedAgain guards against a limit that nobody
// learns to have ended.
func TestSlowUpstreamWithALimitIsTriedAgain(t *testing.T) {
	f := newFleet()
	c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k", Exclude: []string{"local"}})
	f.Done(epoch, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: 10 * time.Millisecond}})
	f.hearFrom("local", limited("i-local", 5, 8))
	now, tried := epoch, 0
	for i := range 3000 { // half a minute
		now = now.Add(10 * time.Millisecond)
		c, _ := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
		load := Load{Slots: 10, Latency: 10 * time.Millisecond}
		if c.VM == "local" {
			tried++
			load.Latency, load.Report = time.Second, limited("i-local", 5, 8)
		}
		f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &load})
	}
	if tried < 3 || tried > 15 {
		t.Fatalf("tried %d times in half a minute, want one each 2 to 10 s", tried)
	}
}

// TestManyNodesComeNearALimit lets many nodes send to one upstream with a limit
// beside one without, and counts what the limit would have turned away.
func TestManyNodesComeNearALimit(t *testing.T) {
	const nodes, limit, length = 17, 8.0, 60 * time.Second
	fleets := make([]*Fleet, nodes)
	for i := range fleets {
		fleets[i] = newFleet()
		fleets[i].hearFrom("local", limited("i-local", 5, limit))
	}
	tokens, run, noRoom := 0.0, 0, 0
	const step = 10 * time.Millisecond // 100 calls a second in all, from the nodes in turn
	for i := range int(length / step) {
		now := epoch.Add(time.Duration(i) * step)
		tokens = min(tokens+limit*step.Seconds(), 1+limit/4)
		f := fleets[i%nodes]
		c, _ := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
		r := Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: 100 * time.Millisecond}}
		if c.VM == "local" {
			r.Load.Report = limited("i-local", 5, limit)
			if tokens >= 1 {
				tokens--
				run++
			} else {
				noRoom++
				r.Verdict, r.Reason = contract.NotRun, contract.ReasonUpstreamLimit
			}
		}
		f.Done(now, c, r)
	}
	perSecond := func(n int) float64 { return float64(n) / length.Seconds() }
	if got := perSecond(run); got < 0.7*limit {
		t.Errorf("%.1f requests a second at a limit of %v, want at least 0.7 of it", got, limit)
	}
	if got := perSecond(noRoom); got > 2*limit {
		t.Errorf("%.1f attempts a second found no room at a limit of %v, want at most twice the limit", got, limit)
	}
	t.Logf("%.1f run, %.1f without room a second", perSecond(run), perSecond(noRoom))
}
