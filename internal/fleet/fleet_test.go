package fleet

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1000, 0)

// newFleet returns a Fleet in data centre west with two linked upstreams: local
// in the same data centre, remote in another.
func newFleet() *Fleet {
	f := New("west")
	for vm, dc := range map[string]string{"local": "west", "remote": "east"} {
		f.Put(Upstream{VM: vm, Service: "span", Datacentre: dc, Instance: "i-" + vm, Slots: 10, Ready: true})
		f.SetLinked(vm, true)
	}
	return f
}

// picks counts the choices for n calls that complete immediately, by VM.
func picks(f *Fleet, now time.Time, n int) map[string]int {
	count := make(map[string]int)
	for i := range n {
		c, ok := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
		if !ok {
			return count
		}
		count[c.VM]++
		f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10}})
	}
	return count
}

func TestPick(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *Fleet)
		want    string // empty: no upstream can be chosen
	}{
		{"local data centre preferred", func(*Fleet) {}, "local"},
		{"other data centre when the local upstream is full", func(f *Fleet) { f.UpdateLoad(epoch, "local", Load{InFlight: 10, Slots: 10}) }, "remote"},
		{"link down", func(f *Fleet) { f.SetLinked("local", false) }, "remote"},
		{"upstream draining", func(f *Fleet) { f.UpdateLoad(epoch, "local", Load{Slots: 10, Draining: true}) }, "remote"},
		{"upstream of another service", func(f *Fleet) {
			f.Put(Upstream{VM: "local", Service: "cut", Instance: "i-2", Slots: 10, Ready: true})
		}, "remote"},
		{"no usable upstream", func(f *Fleet) { f.SetLinked("local", false); f.Remove("remote") }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet()
			tc.prepare(f)
			c, ok := f.Pick(epoch, Query{Service: "span", Kind: "k", Random: 7})
			if ok != (tc.want != "") || c.VM != tc.want {
				t.Fatalf("Pick: got %q, %v, want %q", c.VM, ok, tc.want)
			}
		})
	}
}

func TestPickSkipsExcluded(t *testing.T) {
	f := newFleet()
	if c, ok := f.Pick(epoch, Query{Service: "span", Exclude: []string{"local"}}); !ok || c.VM != "remote" {
		t.Fatalf("Pick: got %q, want remote", c.VM)
	}
	if _, ok := f.Pick(epoch, Query{Service: "span", Exclude: []string{"local", "remote"}}); ok {
		t.Fatal("Pick chose an excluded upstream")
	}
}

func TestPickAvoidsUnresponsiveUpstream(t *testing.T) {
	f := newFleet()
	if c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k"}); c.VM != "local" {
		t.Fatalf("first Pick: got %q, want local", c.VM)
	}
	later := epoch.Add(time.Second)
	if got := picks(f, later, 20); got["local"] > 0 {
		t.Fatalf("%d of 20 calls sent to an upstream that does not answer, want 0", got["local"])
	}
}

func TestFailingUpstreamIsAvoidedForAWhile(t *testing.T) {
	f := newFleet()
	for range 20 {
		c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k", Exclude: []string{"remote"}})
		f.Done(epoch, c, Result{Verdict: contract.MayHaveRun, Reason: contract.ReasonPartialAnswer, Kind: "k"})
	}
	if got := picks(f, epoch, 50); got["local"] > 5 {
		t.Fatalf("%d of 50 calls sent to an upstream whose requests all fail, want at most 5", got["local"])
	}
	if got := picks(f, epoch.Add(30*time.Second), 50); got["local"] < 40 {
		t.Fatalf("%d of 50 calls sent to the upstream 30 s after its failures, want at least 40", got["local"])
	}
}

// An outdated load that reports draining must not exclude an upstream for
// longer than until the next load or announcement.
func TestDrainingLoadIsReplacedByTheNext(t *testing.T) {
	f := newFleet()
	f.Remove("remote")
	usable := func() bool {
		c, ok := f.Pick(epoch, Query{Service: "span"})
		if ok {
			f.Done(epoch, c, Result{Verdict: contract.Ran})
		}
		return ok
	}
	f.UpdateLoad(epoch, "local", Load{Slots: 10, Draining: true}) // sent before the upstream became ready
	if usable() {
		t.Fatal("upstream chosen although its last load reports draining")
	}
	f.UpdateLoad(epoch, "local", Load{Slots: 10})
	if !usable() {
		t.Fatal("upstream not chosen after a load that does not report draining")
	}
	f.UpdateLoad(epoch, "local", Load{Slots: 10, Draining: true})
	f.Put(Upstream{VM: "local", Service: "span", Datacentre: "west", Instance: "i-local", Slots: 10, Ready: true})
	if !usable() {
		t.Fatal("upstream not chosen after its node announced it as ready")
	}
}

func TestNewInstanceDiscardsLoad(t *testing.T) {
	f := newFleet()
	f.UpdateLoad(epoch, "local", Load{InFlight: 10, Waiting: 10, Slots: 10})
	f.Put(Upstream{VM: "local", Service: "span", Datacentre: "west", Instance: "i-2", Slots: 10, Ready: true})
	if c, ok := f.Pick(epoch, Query{Service: "span", Random: 7}); !ok || c.VM != "local" {
		t.Fatalf("Pick: got %q, want local: the new instance is idle and the link is still up", c.VM)
	}
}

func TestOwnerIsOneOfTheUsableUpstreams(t *testing.T) {
	f, other := newFleet(), newFleet()
	owned := make(map[string]int)
	for key := range uint64(200) {
		owner := f.Owner("span", key)
		if other.Owner("span", key) != owner {
			t.Fatalf("key %d: two nodes with the same upstreams disagree", key)
		}
		owned[owner]++
	}
	if owned["local"] < 60 || owned["remote"] < 60 || len(owned) != 2 {
		t.Errorf("got owners %v, want about half of the keys each", owned)
	}
	f.SetLinked("local", false)
	if got := f.Owner("span", 1); got != "remote" {
		t.Errorf("one upstream is usable: got owner %q, want it", got)
	}
	if got := f.Owner("cut", 1); got != "" {
		t.Errorf("no upstream of the service: got owner %q, want none", got)
	}
	if c, ok := f.Pick(epoch, Query{Service: "span", Only: "local"}); ok {
		t.Errorf("only an upstream that is not usable may be chosen: got %q", c.VM)
	}
	if c, ok := f.Pick(epoch, Query{Service: "span", Only: "remote"}); !ok || c.VM != "remote" {
		t.Errorf("got %q, want the only upstream that may be chosen", c.VM)
	}
}

// answerOnce sends one request to the VM, which answers with the latency.
func answerOnce(f *Fleet, now time.Time, vm string, latency time.Duration) {
	c, _ := f.Pick(now, Query{Service: "span", Kind: "k", Only: vm})
	f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: latency}})
}

func TestOneSlowAnswerDoesNotKeepAnUpstreamAway(t *testing.T) {
	for _, slow := range []string{"local", "remote"} {
		f := newFleet()
		f.moveRemote("west")
		answerOnce(f, epoch, "local", 5*time.Millisecond)
		answerOnce(f, epoch, "remote", 5*time.Millisecond)
		answerOnce(f, epoch, slow, 300*time.Millisecond)
		now, count := epoch, 0
		for i := range 1000 { // 30 s
			now = now.Add(30 * time.Millisecond)
			c, _ := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
			if c.VM == slow {
				count++
			}
			f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: 5 * time.Millisecond}})
		}
		if count < 200 {
			t.Errorf("%s was chosen for %d of 1000 requests in 30 s after one slow answer, want at least 200", slow, count)
		}
	}
}

func TestUpstreamThatStaysSlowIsSeldomTried(t *testing.T) {
	f := newFleet()
	f.moveRemote("west")
	answerOnce(f, epoch, "remote", 5*time.Millisecond)
	now, count := epoch, 0
	for i := range 1000 { // 30 s
		now = now.Add(30 * time.Millisecond)
		c, _ := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
		latency := 5 * time.Millisecond
		if c.VM == "local" {
			count++
			latency = 300 * time.Millisecond
		}
		f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: latency}})
	}
	if count < 2 || count > 10 {
		t.Errorf("the slow upstream was chosen for %d of 1000 requests in 30 s, want 2 to 10", count)
	}
}

// TestUpstreamThatJoinsIsTried guards against one that gets no request because
// others are known to be quick.
func TestUpstreamThatJoinsIsTried(t *testing.T) {
	f := newFleet()
	for _, vm := range []string{"local", "remote"} {
		answerOnce(f, epoch, vm, 5*time.Millisecond)
	}
	f.Put(Upstream{VM: "joined", Service: "span", Datacentre: "west", Instance: "i-joined", Slots: 10, Ready: true})
	f.SetLinked("joined", true)
	count := 0
	for i := range 100 { // 4 s
		now := epoch.Add(time.Duration(i) * 40 * time.Millisecond)
		c, _ := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
		if c.VM == "joined" {
			count++
		}
		f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: 5 * time.Millisecond}})
	}
	if count < 20 {
		t.Errorf("an upstream that joined was chosen for %d of 100 requests in 4 s, want at least 20", count)
	}
}

// moveRemote announces the upstream "remote" as one of another data centre.
func (f *Fleet) moveRemote(datacentre string) {
	f.Put(Upstream{VM: "remote", Service: "span", Datacentre: datacentre, Instance: "i-remote", Slots: 10, Ready: true})
}

// TestReportedLossesKeepRequestsAway guards against nodes that each need losses of
// their own before they avoid an upstream that loses answers.
func TestReportedLossesKeepRequestsAway(t *testing.T) {
	f := newFleet()
	f.moveRemote("west")
	answerOnce(f, epoch, "local", 5*time.Millisecond)
	answerOnce(f, epoch, "remote", 5*time.Millisecond)
	f.UpdateLoad(epoch, "local", Load{Slots: 10, LossRate: 0.4})
	for i := range 20 {
		c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k", Random: uint64(i)})
		if c.VM == "local" {
			t.Fatal("chose the upstream that loses answers, although another one is idle")
		}
		f.Done(epoch, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: 5 * time.Millisecond}})
	}
	if got := picks(f, epoch.Add(20*time.Second), 50); got["local"] < 10 {
		t.Fatalf("%d of 50 requests sent there 20 s after the report, want at least 10", got["local"])
	}
}

// TestOrdersAvoidLossesMoreThanLookups guards against orders that are lost at an
// upstream while lookups, which may be repeated, fill one that answers.
func TestOrdersAvoidLossesMoreThanLookups(t *testing.T) {
	f := newFleet()
	f.moveRemote("west")
	answerOnce(f, epoch, "local", 5*time.Millisecond)
	answerOnce(f, epoch, "remote", 5*time.Millisecond)
	f.UpdateLoad(epoch, "local", Load{Slots: 10, LossRate: 0.4})
	f.UpdateLoad(epoch, "remote", Load{Slots: 10, InFlight: 15})
	for _, c := range []struct {
		order bool
		want  string
	}{{true, "remote"}, {false, "local"}} {
		if got, _ := f.Pick(epoch, Query{Service: "span", Kind: "k", Order: c.order}); got.VM != c.want {
			t.Errorf("order %v: got %s, want %s", c.order, got.VM, c.want)
		}
	}
}

// TestRareKindsAreSentToQuickUpstreams guards against latencies that are forgotten
// between two requests of a kind: one that a slow upstream runs may exceed its timeout.
func TestRareKindsAreSentToQuickUpstreams(t *testing.T) {
	f := newFleet()
	f.moveRemote("west")
	latencies := map[string]time.Duration{"local": 2 * time.Second, "remote": 500 * time.Millisecond}
	now, slow := epoch, 0
	for i := range 100 {
		now = now.Add(3 * time.Second)
		c, _ := f.Pick(now, Query{Service: "span", Kind: "k", Random: uint64(i)})
		if c.VM == "local" {
			slow++
		}
		f.Done(now, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: latencies[c.VM]}})
	}
	if slow > 30 {
		t.Errorf("%d of 100 requests, 3 s apart, sent to the slow upstream, want at most 30", slow)
	}
}

// Requests stayed in their data centre where an upstream took 1.4 times as long.
func TestQuickerUpstreamInAnotherDataCentreIsPreferred(t *testing.T) {
	const requests = 200
	latencies := map[string]time.Duration{"local": 140 * time.Millisecond, "remote": 100 * time.Millisecond}
	f := newFleet()
	for vm, latency := range latencies {
		answerOnce(f, epoch, vm, latency)
	}
	remote := 0
	for i := range requests {
		c, _ := f.Pick(epoch, Query{Service: "span", Kind: "k", Random: nextRandom(uint64(i))})
		if c.VM == "remote" {
			remote++
		}
		f.Done(epoch, c, Result{Verdict: contract.Ran, Kind: "k", Load: &Load{Slots: 10, Latency: latencies[c.VM]}})
	}
	if remote < requests*9/10 {
		t.Errorf("%d of %d requests went to the quicker upstream, want nine tenths", remote, requests)
	}
}
