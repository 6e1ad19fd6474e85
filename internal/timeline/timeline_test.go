package timeline

import (
	"bytes"
	"encoding/json"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"heathershed/internal/contract"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func randomRoot(rng *rand.Rand) (id contract.RootID) {
	rng.Read(id[:])
	return id
}

// With wall clocks that differ, stand still and go back, no message may be
// received before it is sent in the merged timeline.
func TestMergeKeepsCausalOrder(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 200
	params.Rng = rand.New(rand.NewSource(21))
	properties := gopter.NewProperties(params)
	properties.Property("causes come first", prop.ForAll(func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		var walls [4]time.Time
		var recorders [4]*Recorder
		for i := range recorders {
			walls[i] = epoch.Add(time.Duration(rng.Intn(20_000)) * time.Millisecond)
			recorders[i] = NewRecorder(string(rune('a'+i)), 1000, func() time.Time { return walls[i] })
		}
		for range 200 {
			from, to := rng.Intn(4), rng.Intn(4)
			walls[from] = walls[from].Add(time.Duration(rng.Intn(10)-3) * time.Millisecond)
			id := randomRoot(rng).String()
			recorders[from].Record(Event{Kind: KindMember, Detail: id})
			recorders[to].Observe(recorders[from].Stamp())
			recorders[to].Record(Event{Kind: KindHomes, Detail: id})
		}
		var traces []Trace
		for _, r := range recorders {
			traces = append(traces, r.Trace(0))
		}
		events, gaps := Merge(append(traces, traces...))
		sent := map[string]bool{}
		for _, e := range events {
			if e.Kind == KindHomes && !sent[e.Detail] {
				return false
			}
			sent[e.Detail] = true
		}
		return len(events) == 400 && len(gaps) == 0
	}, gen.Int64()))
	properties.TestingRun(t)
}

func TestClockIgnoresStampsFarAhead(t *testing.T) {
	var c Clock
	far := Stamp(epoch.Add(time.Hour))
	if got := c.Observe(far, epoch); got >= far {
		t.Errorf("clock advanced to %v by a stamp one hour ahead", Time(got))
	}
}

func TestOverwrittenEventsAreCounted(t *testing.T) {
	now := epoch
	r := NewRecorder("a", 16, func() time.Time { return now })
	for range 20 {
		now = now.Add(time.Millisecond)
		r.Record(Event{Kind: KindMember})
	}
	for _, tc := range []struct {
		since       time.Duration
		want        int
		overwritten uint64
	}{
		{0, 16, 4}, {4, 16, 4}, {5, 15, 0}, {18, 2, 0}, {20, 0, 0},
	} {
		trace := r.Trace(Stamp(epoch.Add(tc.since * time.Millisecond)))
		events, overwritten := trace.Events, trace.Gap
		if len(events) != tc.want || (tc.since != 4 && overwritten != tc.overwritten) {
			t.Errorf("since %d ms: got %d events, %d overwritten; want %d, %d", tc.since, len(events), overwritten, tc.want, tc.overwritten)
		}
	}
	events, gaps := Merge([]Trace{r.Trace(0)})
	var text strings.Builder
	if err := Write(&text, events, gaps); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(text.String(), "-- a: 4 events overwritten") {
		t.Errorf("text does not start with the gap:\n%s", text.String())
	}
}

// At two VMs that shed far more calls than the budget, with different loads, a
// request that IsComplete reports must have its events at both VMs, and the
// number of kept events must stay bounded.
func TestSamplingKeepsCompleteRequests(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	now := epoch
	clock := func() time.Time { return now }
	a, b := NewRecorder("a", 1<<14, clock), NewRecorder("b", 1<<14, clock)
	shared := map[contract.RootID]bool{}
	for i := range 60_000 {
		now = epoch.Add(time.Duration(i) * 100 * time.Microsecond)
		id := randomRoot(rng)
		shared[id] = true
		a.Record(Event{Kind: KindShed, Root: id})
		b.Record(Event{Kind: KindShed, Root: id, Depth: 1})
		for range 3 {
			b.Record(Event{Kind: KindShed, Root: randomRoot(rng)})
		}
	}
	traces := []Trace{a.Trace(0), b.Trace(0)}
	hops, complete := map[contract.RootID]int{}, 0
	for _, tr := range traces {
		if limit := sampledBudget * 2 * 7; len(tr.Events) > limit {
			t.Errorf("%s kept %d events over 6 s, want at most %d", tr.VM, len(tr.Events), limit)
		}
		for _, e := range tr.Events {
			hops[e.Root]++
		}
	}
	for id, n := range hops {
		if shared[id] && IsComplete(id, traces) {
			complete++
			if n != 2 {
				t.Errorf("complete request %s has %d events, want 2: one per hop", id, n)
			}
		}
	}
	if complete == 0 || traces[1].SampledOut == 0 {
		t.Errorf("got %d complete requests, %d events sampled out; want more than 0 of each", complete, traces[1].SampledOut)
	}
	for range 10_000 { // all at the same time
		a.Record(Event{Kind: KindShed, Root: randomRoot(rng)})
	}
	if got := a.Trace(0).SampledOut - traces[0].SampledOut; got < 9_000 {
		t.Errorf("%d of 10,000 events at the same time sampled out, want at least 9,000", got)
	}
}

func TestFilter(t *testing.T) {
	order, err := contract.NewOrderID()
	if err != nil {
		t.Fatal(err)
	}
	one, two := contract.RootID{1}, contract.RootID{2}
	at := func(ms int) uint64 { return Stamp(epoch.Add(time.Duration(ms) * time.Millisecond)) }
	events := []Event{
		{HLC: at(0), VM: "a", Kind: KindShed, Root: one, Service: "s"},
		{HLC: at(1), VM: "b", Kind: KindOrderBegun, Root: two, Order: order, Service: "t"},
		{HLC: at(2), VM: "a", Peer: "b", Kind: KindCallEndedBadly, Root: two, Depth: 1, Service: "s"},
		{HLC: at(3), VM: "c", Kind: KindOrderVerdict, Order: order, Service: "t"},
	}
	for name, tc := range map[string]struct {
		f    Filter
		want string
	}{
		"all":      {Filter{}, "0123"},
		"request":  {Filter{Root: two}, "12"},
		"order":    {Filter{Order: order}, "123"},
		"vm":       {Filter{VM: "b"}, "12"},
		"service":  {Filter{Service: "s"}, "02"},
		"kinds":    {Filter{Kinds: []Kind{KindShed, KindOrderVerdict}}, "03"},
		"from":     {Filter{From: epoch.Add(2*time.Millisecond + 1)}, "23"},
		"to":       {Filter{To: epoch.Add(time.Millisecond)}, "01"},
		"no match": {Filter{VM: "z"}, ""},
		"combined": {Filter{Order: order, VM: "a", Service: "s"}, "2"},
	} {
		got := ""
		for _, e := range tc.f.Select(events) {
			got += string(rune('0' + (e.HLC-at(0))>>counterBits))
		}
		if got != tc.want {
			t.Errorf("%s: got events %q, want %q", name, got, tc.want)
		}
	}
}

func TestEventJSONAndText(t *testing.T) {
	order, err := contract.NewOrderID()
	if err != nil {
		t.Fatal(err)
	}
	for k := KindNone + 1; k < numKinds; k++ {
		if got, err := ParseKind(k.String()); err != nil || got != k {
			t.Errorf("ParseKind of kind %d, %q: got %v, %v", k, k, got, err)
		}
		e := Event{HLC: Stamp(epoch) + 7, VM: "a", Kind: k, Root: contract.RootID{9}, Order: order, Service: "s",
			RequestKind: "r", Peer: "b", Reason: contract.ReasonOverload, Depth: 2, Detail: "d"}
		if k.hasVerdict() {
			e.Verdict = contract.NotRun
		}
		b, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		var back Event
		if err := json.Unmarshal(b, &back); err != nil || back != e {
			t.Errorf("round trip of %s: got %+v, %v", b, back, err)
		}
	}
	for r := contract.ReasonNone + 1; int(r) < contract.NumReasons; r++ {
		line := Line(Event{Kind: KindShed, Reason: r, Verdict: contract.NotRun}, time.Time{})
		if reasonTexts[r] == "" || !strings.Contains(line, reasonTexts[r]) || !strings.Contains(line, "not-run") {
			t.Errorf("line does not explain reason %v: %s", r, line)
		}
	}
}

func TestTraceRoundTrip(t *testing.T) {
	r := NewRecorder("a", 16, func() time.Time { return epoch })
	for range 20 {
		r.Record(Event{Kind: KindMember, Detail: "left_out"})
	}
	var text bytes.Buffer
	want := r.Trace(0)
	if err := want.Encode(&text); err != nil {
		t.Fatal(err)
	}
	encoded := text.String()
	got, err := Decode(&text)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("round trip: got %+v, %v", got, err)
	}
	truncated := encoded[:strings.LastIndex(strings.TrimSpace(encoded), "\n")]
	if _, err := Decode(strings.NewReader(truncated)); err == nil {
		t.Error("Decode of a truncated trace succeeded")
	}
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("a", 4096, time.Now)
	rng := rand.New(rand.NewSource(1))
	ids := make([]contract.RootID, 1024)
	for i := range ids {
		ids[i] = randomRoot(rng)
	}
	b.ReportAllocs()
	b.Run("shed storm", func(b *testing.B) {
		for i := range b.N {
			r.Record(Event{Kind: KindShed, Root: ids[i%len(ids)], Service: "s", RequestKind: "k"})
		}
	})
	b.Run("kept", func(b *testing.B) {
		for range b.N {
			r.Record(Event{Kind: KindMember, Service: "s"})
		}
	})
}
