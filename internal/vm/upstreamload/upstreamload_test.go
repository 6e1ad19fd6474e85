package upstreamload

import (
	"math"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func paced(pace float64) Sample { return Sample{Running: 4, Slots: 10, Pace: pace} }

// TestSampleOfAnEarlierRequestIsIgnored guards against a late response that replaces
// what a later one has reported.
func TestSampleOfAnEarlierRequestIsIgnored(t *testing.T) {
	var tr Tracker
	tr.Observe(at(100), "i-1", at(90), paced(1))
	tr.Observe(at(5000), "i-1", at(80), paced(3))
	if r, _ := tr.Report(at(5000), "i-1"); r.Pace != 1 || r.Sequence != 1 || r.Age != 4900*time.Millisecond {
		t.Errorf("got %+v, want the first sample and its age", r)
	}
}

// TestSamplesOfAnotherInstanceAreDiscarded guards against a restarted upstream that is
// judged by the load of the process before.
func TestSamplesOfAnotherInstanceAreDiscarded(t *testing.T) {
	var tr Tracker
	tr.Observe(at(0), "i-1", at(0), paced(3))
	if _, ok := tr.Report(at(1), "i-2"); ok {
		t.Error("reported the load of another instance")
	}
	if _, ok := tr.Report(at(1), ""); ok {
		t.Error("reported a load where no instance is known")
	}
	tr.Observe(at(10), "i-2", at(5), paced(1))
	r, ok := tr.Report(at(10), "i-2")
	if !ok || r.Pace != 1 || r.RunPace != 1 || r.Sequence != 2 {
		t.Errorf("got %+v, want the sample of the new instance alone, with a higher sequence", r)
	}
}

func TestReportExpires(t *testing.T) {
	var tr Tracker
	tr.Observe(at(0), "i-1", at(0), paced(3))
	if _, ok := tr.Report(epoch.Add(Expiry-1), "i-1"); !ok {
		t.Error("no report before the expiry")
	}
	if r, ok := tr.Report(epoch.Add(Expiry), "i-1"); ok || r.Known() {
		t.Errorf("got %+v after the expiry, want none", r)
	}
	tr.Observe(epoch.Add(Expiry), "i-1", epoch.Add(Expiry), paced(1))
	if r, _ := tr.Report(epoch.Add(Expiry), "i-1"); r.Pace != 1 {
		t.Errorf("pace %v: an expired sample counts in the mean", r.Pace)
	}
}

// TestSingleSampleIsNoise guards against a choice that follows one sample of many a
// second.
func TestSingleSampleIsNoise(t *testing.T) {
	var tr Tracker
	ms := 0
	for range 100 {
		ms += 5
		tr.Observe(at(ms), "i-1", at(ms), paced(1))
	}
	tr.Observe(at(ms+5), "i-1", at(ms+5), paced(3))
	if r, _ := tr.Report(at(ms+5), "i-1"); r.Pace > 1.15 {
		t.Errorf("pace %v after one sample of 3 among samples of 1, want at most 1.15", r.Pace)
	}
	for range 60 {
		ms += 5
		tr.Observe(at(ms), "i-1", at(ms), paced(3))
	}
	if r, _ := tr.Report(at(ms), "i-1"); r.Pace < 2.8 {
		t.Errorf("pace %v 300 ms after it has changed to 3, want at least 2.8", r.Pace)
	}
}

// TestFrozenPaceHasNoEffect guards against an upstream that always reports that it is
// slow, or quick, and is judged by it although its latency is known.
func TestFrozenPaceHasNoEffect(t *testing.T) {
	for _, pace := range []float64{0.01, 1, 2.5, 10_000} {
		var tr Tracker
		for i := range 200 {
			tr.Observe(at(10*i), "i-1", at(10*i), paced(pace))
		}
		if r, _ := tr.Report(at(2000), "i-1"); math.Abs(r.Pace/r.RunPace-1) > 1e-9 {
			t.Errorf("pace %v for 2 s: got %v over %v in the runs, want the same", pace, r.Pace, r.RunPace)
		}
	}
}

// Guards against another choice among upstreams that give no pace: the scheduler counts
// their requests itself.
func TestWithoutPaceThereIsNoReport(t *testing.T) {
	var tr Tracker
	tr.Observe(at(0), "i-1", at(0), Sample{Running: 8, Waiting: 4, Slots: 10})
	if r, ok := tr.Report(at(1), "i-1"); ok || r.Known() {
		t.Errorf("got %+v, want no report", r)
	}
	tr.Observe(at(10), "i-1", at(10), Sample{Running: 8, Slots: 10, Pace: 2})
	if r, _ := tr.Report(at(10), "i-1"); r.Pace != 2 || r.RunPace != 2 {
		t.Errorf("got %+v, want the first pace as it is", r)
	}
}

func TestOlder(t *testing.T) {
	cases := []struct {
		a, b Report
		want bool
	}{
		{Report{Incarnation: 1, Sequence: 9}, Report{Incarnation: 2, Sequence: 1}, true},
		{Report{Incarnation: 2, Sequence: 1}, Report{Incarnation: 1, Sequence: 9}, false},
		{Report{Incarnation: 2, Sequence: 1}, Report{Incarnation: 2, Sequence: 2}, true},
		{Report{Incarnation: 2, Sequence: 2}, Report{Incarnation: 2, Sequence: 2}, false},
	}
	for _, c := range cases {
		if got := c.a.Older(c.b); got != c.want {
			t.Errorf("%+v older than %+v: got %v", c.a, c.b, got)
		}
	}
}
