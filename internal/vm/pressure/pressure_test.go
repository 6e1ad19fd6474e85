package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1e9, 0)

const ms = time.Millisecond

// feed reports the levels of the upstreams in turn, one every 5 ms.
func feed(t *Table, from time.Time, d time.Duration, levels ...contract.Level) time.Time {
	for i := 0; time.Duration(i)*5*ms < d; i++ {
		from = from.Add(5 * ms)
		t.Observe(from, "spanbook", "span-history", levels[i%len(levels)])
	}
	return from
}

func TestThreshold(t *testing.T) {
	for _, row := range []struct {
		name      string
		before    []contract.Level // for a second
		during    []contract.Level // then for this time
		d         time.Duration
		idle      time.Duration // then no update
		low, high contract.Level
	}{
		{"no overload", []contract.Level{0}, nil, 0, 0, 0, 0},
		{"one upstream", []contract.Level{800}, nil, 0, 0, 790, 800},
		{"one of four upstreams is overloaded", []contract.Level{1024, 0, 0, 0}, nil, 0, 0, 200, 320},
		{"rises within 300 ms", []contract.Level{0}, []contract.Level{1000}, 300 * ms, 0, 900, 1000},
		{"falls within 500 ms", []contract.Level{1000}, []contract.Level{0}, 500 * ms, 0, 0, 10},
		{"held for a short time without updates", []contract.Level{1000}, nil, 0, 250 * ms, 990, 1000},
		{"falls in steps without updates", []contract.Level{1000}, nil, 0, 350 * ms, 850, 880},
		{"zero 5 s after shedding everything", []contract.Level{contract.MaxLevel}, nil, 0, 5 * time.Second, 0, 0},
	} {
		table := New()
		now := feed(table, epoch, time.Second, row.before...)
		if row.d > 0 {
			now = feed(table, now, row.d, row.during...)
		}
		if got := table.Threshold(now.Add(row.idle), "spanbook", "span-history"); got < row.low || got > row.high {
			t.Errorf("%s: got threshold %d, want %d to %d", row.name, got, row.low, row.high)
		}
	}
}

// Guards against a wave of requests when updates stop: the levels must be
// admitted again step by step, not all at once.
func TestThresholdFallsInBoundedSteps(t *testing.T) {
	table := New()
	now := feed(table, epoch, time.Second, contract.MaxLevel)
	for last := table.Threshold(now, "spanbook", "span-history"); last > 0; {
		now = now.Add(10 * ms)
		next := table.Threshold(now, "spanbook", "span-history")
		if next > last || last-next > contract.RanksPerClass/8 {
			t.Fatalf("got a threshold of %d, then %d within 10 ms; want it to fall by at most an eighth of a class", last, next)
		}
		last = next
	}
}

func TestChainThresholdIsTheHighestOfNestedCalls(t *testing.T) {
	table := New()
	if got := table.ChainThreshold(epoch, "crew"); got != 0 {
		t.Errorf("nothing known: got %d, want 0", got)
	}
	table.ObserveNested(epoch, "crew", "spanbook", "span-history", 300)
	table.ObserveNested(epoch, "crew", "sightbank", "sightings", 900)
	table.ObserveNested(epoch, "confirm", "ledger", "entry", 2000)
	table.Observe(epoch, "crewmap", "routes", 3000)
	if got := table.ChainThreshold(epoch, "crew"); got != 900 {
		t.Errorf("chain threshold of crew: got %d, want the highest of its own nested calls, 900", got)
	}
	if got := table.Threshold(epoch, "sightbank", "sightings"); got != 900 {
		t.Errorf("threshold of the nested call: got %d, want 900", got)
	}
	if got := table.ChainThreshold(epoch.Add(5*time.Second), "crew"); got != 0 {
		t.Errorf("chain threshold 5 s after the last update: got %d, want 0", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range maxEntries + 100 {
		table.ObserveNested(epoch, "crew", "spanbook", string(rune(i)), 100)
	}
	if len(table.entries) > maxEntries || len(table.children["crew"]) > maxChildren {
		t.Errorf("got %d entries and %d children, want at most maxEntries and maxChildren", len(table.entries), len(table.children["crew"]))
	}
	later := epoch.Add(2 * evictAfter)
	table.Observe(later, "spanbook", "new", 100)
	if got := table.Threshold(later, "spanbook", "new"); got != 100 {
		t.Errorf("new entry in a full table of old ones: got %d, want 100", got)
	}
}

func BenchmarkThreshold(b *testing.B) {
	table := New()
	table.Observe(epoch, "spanbook", "span-history", 100)
	b.ReportAllocs()
	for b.Loop() {
		table.Threshold(epoch, "spanbook", "span-history")
	}
}

// Offers ten times the load that an upstream takes. Its replies come a second
// later and report a threshold that follows the load, as a scheduler's does. A
// threshold that fell faster than its updates arrive would admit too many
// requests.
func TestAdmissionsDoNotOutrunDelayedUpdates(t *testing.T) {
	const (
		perSecond = 500
		takes     = 50 // requests a second
		delay     = 1000 * ms
		gain      = 1200 // levels a second
		seconds   = 30
		seed      = 7
	)
	table, rng := New(), rand.New(rand.NewPCG(seed, seed))
	now := feed(table, epoch, time.Second, contract.RanksPerClass)
	var pending []time.Time
	sent, most, level := 0, 0, float64(2*contract.RanksPerClass)
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		level += gain * (float64(len(pending))/takes - 1) / perSecond
		level = min(max(level, 0), 2*contract.RanksPerClass)
		for len(pending) > 0 && !pending[0].Add(delay).After(now) {
			pending = pending[1:]
			table.Observe(now, "spanbook", "span-history", contract.Level(level))
			table.Settled(now, "spanbook", "span-history")
		}
		if contract.Level(rng.IntN(contract.RanksPerClass)) < table.Threshold(now, "spanbook", "span-history") {
			continue
		}
		table.Sent(now, "spanbook", "span-history")
		pending = append(pending, now)
		sent++
		most = max(most, len(pending))
	}
	if most > 4*takes || sent < seconds*takes/4 {
		t.Errorf("got at most %d in flight and %d sent in %d s, want at most %d and at least %d", most, sent, seconds, 4*takes, seconds*takes/4)
	}
}

func TestThresholdIsHeldWhileAProbeIsInFlight(t *testing.T) {
	for _, row := range []struct {
		name      string
		wait      time.Duration // since a request was sent 350 ms after the last update
		settled   bool          // then the request ended without an update
		low, high contract.Level
	}{
		{"in flight", time.Second, false, 990, 1000},
		{"in flight too long", 3 * time.Second, false, 0, 0},
		{"ended without an update: one step", time.Second, true, 870, 880},
	} {
		table := New()
		now := feed(table, epoch, time.Second, 1000).Add(350 * ms)
		table.Sent(now, "spanbook", "span-history")
		now = now.Add(row.wait)
		if row.settled {
			table.Settled(now, "spanbook", "span-history")
		}
		if got := table.Threshold(now, "spanbook", "span-history"); got < row.low || got > row.high {
			t.Errorf("%s: got threshold %d, want %d to %d", row.name, got, row.low, row.high)
		}
	}
}

// The upstream sheds the whole class, and its replies take a second: without a
// limit of one probe at a time, many requests would be sent and shed there.
func TestOneProbeAtATimeWhileAllIsShed(t *testing.T) {
	const (
		perSecond = 100
		delay     = 1000 * ms
		seconds   = 20
		seed      = 3
	)
	table, rng := New(), rand.New(rand.NewPCG(seed, seed))
	now := feed(table, epoch, time.Second, 2*contract.RanksPerClass)
	var pending []time.Time
	sent := 0
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		for len(pending) > 0 && !pending[0].Add(delay).After(now) {
			pending = pending[1:]
			table.Observe(now, "spanbook", "span-history", 2*contract.RanksPerClass)
			table.Settled(now, "spanbook", "span-history")
		}
		if contract.Level(rng.IntN(contract.RanksPerClass)) < table.Threshold(now, "spanbook", "span-history") {
			continue
		}
		table.Sent(now, "spanbook", "span-history")
		pending = append(pending, now)
		sent++
	}
	if sent < seconds/4 || sent > seconds {
		t.Errorf("got %d sent in %d s, want %d to %d", sent, seconds, seconds/4, seconds)
	}
}
