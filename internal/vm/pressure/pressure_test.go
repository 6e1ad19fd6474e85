package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1e9, 0)

const ms = time.Millisecond

// feed reports the levels of the upstreams by turns, one each 5 ms.
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
		silent    time.Duration // then no news
		low, high contract.Level
	}{
		{"no overload", []contract.Level{0}, nil, 0, 0, 0, 0},
		{"one upstream", []contract.Level{800}, nil, 0, 0, 790, 800},
		{"one of four upstreams does not close the door", []contract.Level{1024, 0, 0, 0}, nil, 0, 0, 200, 320},
		{"rises within 300 ms", []contract.Level{0}, []contract.Level{1000}, 300 * ms, 0, 900, 1000},
		{"falls within 500 ms", []contract.Level{1000}, []contract.Level{0}, 500 * ms, 0, 0, 10},
		{"stands shortly without news", []contract.Level{1000}, nil, 0, 250 * ms, 990, 1000},
		{"re-opens in steps", []contract.Level{1000}, nil, 0, 350 * ms, 850, 880},
		{"is open again 5 s after shedding all", []contract.Level{contract.MaxLevel}, nil, 0, 5 * time.Second, 0, 0},
	} {
		table := New()
		now := feed(table, epoch, time.Second, row.before...)
		if row.d > 0 {
			now = feed(table, now, row.d, row.during...)
		}
		if got := table.Threshold(now.Add(row.silent), "spanbook", "span-history"); got < row.low || got > row.high {
			t.Errorf("%s: threshold %d, want %d to %d", row.name, got, row.low, row.high)
		}
	}
}

// TestReopensByOneSliceAtATime bounds how much returns at once when the news
// ends, so that no wave does.
func TestReopensByOneSliceAtATime(t *testing.T) {
	table := New()
	now := feed(table, epoch, time.Second, contract.MaxLevel)
	for last := table.Threshold(now, "spanbook", "span-history"); last > 0; {
		now = now.Add(10 * ms)
		next := table.Threshold(now, "spanbook", "span-history")
		if next > last || last-next > contract.RanksPerClass/8 {
			t.Fatalf("threshold went from %d to %d within 10 ms", last, next)
		}
		last = next
	}
}

func TestChainReportsTheHighestBelow(t *testing.T) {
	table := New()
	if got := table.ChainThreshold(epoch, "crew"); got != 0 {
		t.Errorf("nothing known: %d, want 0", got)
	}
	table.ObserveNested(epoch, "crew", "spanbook", "span-history", 300)
	table.ObserveNested(epoch, "crew", "sightbank", "sightings", 900)
	table.ObserveNested(epoch, "confirm", "ledger", "entry", 2000)
	table.Observe(epoch, "crewmap", "routes", 3000)
	if got := table.ChainThreshold(epoch, "crew"); got != 900 {
		t.Errorf("chain of crew: %d, want the highest of its own sub-calls, 900", got)
	}
	if got := table.Threshold(epoch, "sightbank", "sightings"); got != 900 {
		t.Errorf("threshold of the sub-call: %d, want 900", got)
	}
	if got := table.ChainThreshold(epoch.Add(5*time.Second), "crew"); got != 0 {
		t.Errorf("chain without news for 5s: %d, want 0", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range maxEntries + 100 {
		table.ObserveNested(epoch, "crew", "spanbook", string(rune(i)), 100)
	}
	if len(table.entries) > maxEntries || len(table.children["crew"]) > maxChildren {
		t.Errorf("%d entries, %d children", len(table.entries), len(table.children["crew"]))
	}
	later := epoch.Add(2 * forgetAfter)
	table.Observe(later, "spanbook", "new", 100)
	if got := table.Threshold(later, "spanbook", "new"); got != 100 {
		t.Errorf("new entry in a full table of old ones: %d, want 100", got)
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

// TestDoorReopensNoFurtherThanItsNewsReach plays requests of ten times what an
// upstream takes, whose answers come a second later with a threshold that moves
// with what it has, as doors do.
func TestDoorReopensNoFurtherThanItsNewsReach(t *testing.T) {
	const (
		perSecond = 500
		takes     = 50 // requests a second
		delay     = 1000 * ms
		gain      = 1200 // levels a second
		seconds   = 30
		seed      = 7
	)
	table, random := New(), rand.New(rand.NewPCG(seed, seed))
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
		if contract.Level(random.IntN(contract.RanksPerClass)) < table.Threshold(now, "spanbook", "span-history") {
			continue
		}
		table.Sent(now, "spanbook", "span-history")
		pending = append(pending, now)
		sent++
		most = max(most, len(pending))
	}
	if most > 4*takes || sent < seconds*takes/4 {
		t.Errorf("%d under way at most, %d sent in %d s; want at most %d, and %d or more", most, sent, seconds, 4*takes, seconds*takes/4)
	}
}

func TestThresholdStandsWhileItsNewsAreUnderWay(t *testing.T) {
	for _, row := range []struct {
		name      string
		wait      time.Duration // after a request was sent 350 ms after the news
		settled   bool          // then it ended without news
		low, high contract.Level
	}{
		{"under way", time.Second, false, 990, 1000},
		{"under way too long", 3 * time.Second, false, 0, 0},
		{"ended without news: one step", time.Second, true, 870, 880},
	} {
		table := New()
		now := feed(table, epoch, time.Second, 1000).Add(350 * ms)
		table.Sent(now, "spanbook", "span-history")
		now = now.Add(row.wait)
		if row.settled {
			table.Settled(now, "spanbook", "span-history")
		}
		if got := table.Threshold(now, "spanbook", "span-history"); got < row.low || got > row.high {
			t.Errorf("%s: threshold %d, want %d to %d", row.name, got, row.low, row.high)
		}
	}
}

// TestOneRequestAtATimeTriesAClosedDoor plays an upstream that sheds the whole
// class, whose answers take a second.
func TestOneRequestAtATimeTriesAClosedDoor(t *testing.T) {
	const (
		perSecond = 100
		delay     = 1000 * ms
		seconds   = 20
		seed      = 3
	)
	table, random := New(), rand.New(rand.NewPCG(seed, seed))
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
		if contract.Level(random.IntN(contract.RanksPerClass)) < table.Threshold(now, "spanbook", "span-history") {
			continue
		}
		table.Sent(now, "spanbook", "span-history")
		pending = append(pending, now)
		sent++
	}
	if sent < seconds/4 || sent > seconds {
		t.Errorf("%d sent in %d s, want %d to %d", sent, seconds, seconds/4, seconds)
	}
}
