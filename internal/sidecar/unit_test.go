package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/fleet"
	"heathershed/internal/link"
	"heathershed/internal/outcome"
	"heathershed/internal/routes"
	"heathershed/internal/settings"
	"heathershed/internal/vm/correlation"
	"heathershed/platform/platformtest"
)

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// dials reports whether something listens at an address.
func dials(address string) bool {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func TestDedupRejectsRepeatedOrderID(t *testing.T) {
	h := newDedup()
	if !h.add("a") || h.add("a") {
		t.Fatal("add must accept a new id and reject it the second time")
	}
	h.remove("a")
	if !h.add("a") {
		t.Fatal("add rejected the id of a removed order")
	}
	for i := range maxDedupIDs {
		h.add(fmt.Sprint(i))
	}
	if h.add("a") {
		t.Fatal("add accepted an id of the previous generation again")
	}
	if len(h.current)+len(h.previous) > 2*maxDedupIDs {
		t.Fatal("the table holds more than two generations of ids")
	}
}

// TestRetriesOfAllNodesStayWithinBudget guards against nodes that together
// retry more than the budget allows in any sliding window, when each retries
// as often as its own budget lets it.
func TestRetriesOfAllNodesStayWithinBudget(t *testing.T) {
	const (
		nodes  = 17
		ratio  = 0.2
		slack  = 57
		window = 10 * time.Second
		step   = 50 * time.Millisecond
	)
	all := make([]*budget, nodes)
	for i := range all {
		all[i] = newBudget(ratio, slack, window)
		all[i].setNodes(nodes)
	}
	now := time.Unix(1000, 0)
	var retries, requests []int
	for range int(4 * window / step) {
		now = now.Add(step)
		r := 0
		for _, b := range all {
			b.deposit(now, false)
			for b.withdraw(now, true) {
				r++
			}
		}
		retries, requests = append(retries, r), append(requests, nodes)
	}
	span := int(window / step)
	for i := span; i <= len(retries); i++ {
		r, q := sum(retries[i-span:i]), sum(requests[i-span:i])
		if float64(r) > ratio*float64(q)+slack {
			t.Fatalf("got %d retries of %d requests in a window, want at most %.0f", r, q, ratio*float64(q)+slack)
		}
	}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

func TestStatusOfLocalReplies(t *testing.T) {
	cases := []struct {
		verdict contract.Verdict
		reason  contract.Reason
		want    int
	}{
		{contract.NotRun, contract.ReasonOverload, 503},
		{contract.NotRun, contract.ReasonDeadline, 503},
		{contract.NotRun, contract.ReasonLeaving, 503},
		{contract.NotRun, contract.ReasonUnknownKind, 404},
		{contract.NotRun, contract.ReasonTooLarge, 413},
		{contract.MayHaveRun, contract.ReasonDeadline, 504},
		{contract.MayHaveRun, contract.ReasonLinkLost, 502},
		{contract.MayHaveRun, contract.ReasonPartialAnswer, 502},
		{contract.MayHaveRun, contract.ReasonOrderRunning, 502},
	}
	for _, c := range cases {
		if got := statusOf(c.verdict, c.reason); got != c.want {
			t.Errorf("status of %v %v: got %d, want %d", c.verdict, c.reason, got, c.want)
		}
	}
}

// TestConcurrentFramesKeepNewestMember guards against the fleet keeping an
// older member when frames about one node arrive on several links
// concurrently.
func TestConcurrentFramesKeepNewestMember(t *testing.T) {
	for range 200 {
		n := New(&settings.Sidecar{VM: "own", Datacentre: "west", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1"}, slog.New(slog.DiscardHandler))
		n.links = link.NewSet(t.Context(), &errgroup.Group{}, n, &n.traffic, func(context.Context, string) (net.Conn, error) {
			return nil, net.ErrClosed
		})
		var all sync.WaitGroup
		for sequence := range uint64(8) {
			all.Go(func() {
				m := &linkpb.Member{Vm: "other", Address: "127.0.0.1:2", Service: "s", Incarnation: 1, Sequence: sequence + 1, State: linkpb.MemberState_MEMBER_STATE_LEAVING}
				if sequence == 7 {
					m.State = linkpb.MemberState_MEMBER_STATE_UP
				}
				n.peers.merge(m)
			})
		}
		all.Wait()
		n.fleet.SetLinked("other", true)
		if _, ok := n.fleet.Pick(time.Now(), fleet.Query{Service: "s"}); !ok {
			t.Fatal("node not usable in the fleet, though its newest frame says that it is up")
		}
	}
}

func TestAnnouncedAddressIsPublished(t *testing.T) {
	const announced = "127.0.0.1:2"
	n := New(&settings.Sidecar{VM: "own", Link: "127.0.0.1:1", Announce: announced, Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1"}, slog.New(slog.DiscardHandler))
	if got := n.localMember().Address; got != announced {
		t.Errorf("address of the local member: got %q, want the announced one", got)
	}
	if got := (&recordTask{n: n}).desired().Address; got != announced {
		t.Errorf("address of the local record: got %q, want the announced one", got)
	}
}

func TestFetchThatBringsNothingMakesAReadDue(t *testing.T) {
	const applyWithin = time.Hour
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1", ApplyWithin: applyWithin}, slog.New(slog.DiscardHandler))
	if _, err := n.adopt("read", []byte(platformtest.Config(2, "s"))); err != nil {
		t.Fatal(err)
	}
	n.freshness.Read(time.Now())
	earliest := time.Now().Add(freshnessLimit(applyWithin))
	if n.endFetch(2); n.freshness.Due().Before(earliest) {
		t.Error("read due though the version that was fetched is active")
	}
	if n.endFetch(3); !n.freshness.Due().Before(earliest) {
		t.Error("no read due though the version that was fetched did not arrive")
	}
}

// TestReportOfAnOlderReadConfirmsNothing guards against a node taking a read
// for a confirmation although it lacks what was read.
func TestReportOfAnOlderReadConfirmsNothing(t *testing.T) {
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1", ApplyWithin: time.Second}, slog.New(slog.DiscardHandler))
	if _, err := n.adopt("read", []byte(platformtest.Config(5, "s"))); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		version, age uint64
		want         bool
	}{
		{6, 1000, false},
		{0, 1000, false},
		{5, 0, false},
		{5, 1000, true},
	}
	for _, c := range cases {
		n.noteFreshness("other", &linkpb.Have{CatalogueVersion: c.version, CatalogueAgeUs: c.age}, 0)
		if _, got := n.freshness.Newest(); got != c.want {
			t.Errorf("report of version %d, age %d us: got confirmed %v, want %v", c.version, c.age, got, c.want)
		}
	}
}

// TestHeldUpReportIsAsOldAsItIs guards against reports that a slow link delays
// and that each push away the next read.
func TestHeldUpReportIsAsOldAsItIs(t *testing.T) {
	const (
		age    = time.Second
		heldUp = 3 * time.Second
	)
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1", ApplyWithin: time.Second}, slog.New(slog.DiscardHandler))
	if _, err := n.adopt("read", []byte(platformtest.Config(5, "s"))); err != nil {
		t.Fatal(err)
	}
	n.noteFreshness("other", &linkpb.Have{CatalogueVersion: 5, CatalogueAgeUs: uint64(age.Microseconds())}, heldUp)
	got, _ := n.freshness.Newest()
	if now := time.Now(); got.Age(now) < age+heldUp {
		t.Errorf("read of %v ago, report held up for %v: got a confirmation of %v ago", age, heldUp, got.Age(now))
	}
}

func TestReportsThatAreHeldUpAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1", ApplyWithin: time.Second}, slog.New(slog.NewTextHandler(&log, nil)))
	for range 5 {
		n.logHeldUp("other", time.Millisecond)
	}
	if log.Len() > 0 {
		t.Errorf("reports in time: got %q, want no line", log.String())
	}
	for range 5 {
		n.logHeldUp("other", time.Second)
	}
	if got := strings.Count(log.String(), "report held up"); got != 1 {
		t.Errorf("five reports that were held up: got %d lines, want 1", got)
	}
}

func TestPauseAfterAFailedReadGrowsWithTheLinks(t *testing.T) {
	const limit = 500 * time.Millisecond
	for linked, want := range map[int]time.Duration{0: limit, 1: 2 * limit, 4: 5 * limit, 5: maxBackoff, 1000: maxBackoff} {
		if got := maxReadPause(limit, linked); got != want {
			t.Errorf("%d links: got %v, want %v", linked, got, want)
		}
	}
}

func TestNestedCallCarriesTheThresholdThatItsRootMet(t *testing.T) {
	const level, admitted = 700, 600
	n := New(&settings.Sidecar{VM: "own", Upstream: "127.0.0.1:1", Platform: "127.0.0.1:1"}, slog.New(slog.DiscardHandler))
	now := time.Now()
	const left = time.Second
	n.correlation.Begin(correlation.Parent{ID: "root", Kind: "lookup", Level: level, Admitted: admitted, Deadline: now.Add(left)})
	var c call
	for !c.inner {
		c = call{route: &routes.Route{Name: "details"}, deadline: now.Add(left), table: &configuration{Table: &routes.Table{}}}
		if reply := n.findOrigin(nil, now, &c, left); reply != nil {
			t.Fatalf("got %v, want no reply", reply)
		}
	}
	req := n.callRequest(&c, fleet.Choice{})
	if got := schedulerRequest(req, now.Add(left)); got.Level != level || got.Admitted != admitted {
		t.Errorf("got level %d and threshold %d, want %d and %d", got.Level, got.Admitted, level, admitted)
	}
}

func TestRetryAfter(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                 string
		reason               contract.Reason
		left, latency, asked time.Duration
		min, max             time.Duration
	}{
		{"link lost", contract.ReasonLinkLost, 5000 * ms, 100 * ms, 0, 150 * ms, 500 * ms},
		{"overload, long time left", contract.ReasonOverload, 4500 * ms, 100 * ms, 0, 150 * ms, 500 * ms},
		{"overload, time nearly used by the work", contract.ReasonOverload, 900 * ms, 400 * ms, 0, 50 * ms, 100 * ms},
		{"overload, short deadline", contract.ReasonOverload, 900 * ms, 100 * ms, 0, 150 * ms, 300 * ms},
		{"overload, slot expected later", contract.ReasonQueueTimeout, 4500 * ms, 100 * ms, 600 * ms, 600 * ms, 950 * ms},
		{"overload, no slot while the client waits", contract.ReasonQueueTimeout, 4500 * ms, 100 * ms, 4000 * ms, 1150 * ms, 1500 * ms},
		{"deadline passed", contract.ReasonOverload, -ms, 100 * ms, 0, 0, 0},
	}
	for _, tc := range cases {
		n := newNodeWithPeers(t, 0)
		n.fleet.Put(fleet.Upstream{VM: "far", Service: "s", Instance: "i", Slots: 1, Ready: true})
		n.fleet.SetLinked("far", true)
		choice, _ := n.fleet.Pick(time.Now(), fleet.Query{Service: "s", Kind: "k"})
		n.fleet.Done(time.Now(), choice, fleet.Result{Verdict: contract.Ran, Kind: "k", Load: &fleet.Load{Latency: tc.latency}})
		// Time passes until retryAfter reads the clock, so it may fall short of min.
		const clock = 2 * ms
		lowest, highest := time.Hour, time.Duration(0)
		for range 200 {
			now := time.Now()
			c := &call{received: now, deadline: now.Add(tc.left), service: "s", route: &routes.Route{Name: "k", Objective: 200 * ms}}
			got := n.retryAfter(c, outcome.RetryAfterReply(tc.asked, tc.reason, ""))
			lowest, highest = min(lowest, got), max(highest, got)
		}
		if lowest < tc.min-clock || highest > tc.max || highest < tc.max-tc.max/5 {
			t.Errorf("%s: got %v to %v, want %v to about %v", tc.name, lowest, highest, tc.min, tc.max)
		}
	}
}
