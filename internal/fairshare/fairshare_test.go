package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heathershed/internal/contract"
)

var epoch = time.Unix(1e9, 0)

// source sends the requests of workspaces, at random times and with the given rates a
// second.
type source struct {
	rng   *rand.Rand
	now   time.Time
	names []string
	rates []float64
	total float64
}

func newSource(rates ...float64) *source {
	s := &source{rng: rand.New(rand.NewPCG(3, 5)), now: epoch}
	for i, rate := range rates {
		s.names = append(s.names, fmt.Sprint("w", i))
		s.rates = append(s.rates, rate)
		s.total += rate
	}
	return s
}

// next sends one request and returns its workspace and its rank.
func (s *source) next(t *testing.T, sharer *Sharer) (workspace int, rank uint16) {
	t.Helper()
	s.now = s.now.Add(time.Duration(s.rng.ExpFloat64() / s.total * float64(time.Second)))
	at := s.rng.Float64() * s.total
	for workspace < len(s.rates)-1 && at >= s.rates[workspace] {
		at -= s.rates[workspace]
		workspace++
	}
	rank, ok := sharer.Rank(s.now, contract.ClassLookup, s.names[workspace], s.rng.Float64())
	if !ok {
		t.Fatalf("workspace %d has no rank", workspace)
	}
	return workspace, rank
}

// uneven returns the rates of n workspaces, of which the i-th has 1/i of the first.
func uneven(n int, total float64) []float64 {
	rates, sum := make([]float64, n), 0.0
	for i := range rates {
		rates[i] = 1 / float64(i+1)
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= total / sum
	}
	return rates
}

func equal(n int, total float64) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = total / float64(n)
	}
	return rates
}

// Guards against ranks that crowd: the projection of the shedder takes a threshold of
// a tenth of the ranks for one that sheds a tenth of the requests.
func TestRanksAreUniform(t *testing.T) {
	const requests, warmup, tenths, tolerance = 40_000, 1000, 10, 0.01
	for _, row := range []struct {
		name  string
		rates []float64
	}{
		{"one workspace", []float64{50}},
		{"86 equal ones, 27 requests a second", equal(86, 27)},
		{"86 uneven ones, 27 requests a second", uneven(86, 27)},
		{"86 uneven ones, 3 requests a second", uneven(86, 3)},
		{"1000 uneven ones, 94 requests a second", uneven(1000, 94)},
		{"eight, one at ten times the others", []float64{100, 10, 10, 10, 10, 10, 10, 10}},
	} {
		sharer, source := &Sharer{}, newSource(row.rates...)
		for range warmup {
			source.next(t, sharer)
		}
		var counts [tenths]int
		for range requests {
			_, rank := source.next(t, sharer)
			counts[int(rank)*tenths/contract.RanksPerClass]++
		}
		for i, count := range counts {
			if share := float64(count) / requests; math.Abs(share-1.0/tenths) > tolerance {
				t.Errorf("%s: %.3f of the ranks are in tenth %d, want 0.1", row.name, share, i)
			}
		}
	}
}

// maxMin returns what each workspace gets of the capacity.
func maxMin(rates []float64, capacity float64) []float64 {
	low, high := 0.0, capacity
	for range 60 {
		limit, sum := (low+high)/2, 0.0
		for _, rate := range rates {
			sum += min(rate, limit)
		}
		if sum < capacity {
			low = limit
		} else {
			high = limit
		}
	}
	shares := make([]float64, len(rates))
	for i, rate := range rates {
		shares[i] = min(rate, low)
	}
	return shares
}

// Guards against a threshold that takes from a workspace within its share, or that
// leaves a workspace more than the others with demand get.
func TestThresholdServesTheMaxMinShares(t *testing.T) {
	const requests, warmup = 60_000, 1000
	for _, row := range []struct {
		name      string
		rates     []float64
		fits      float64 // share of the requests that fit
		tolerance float64 // of the share
	}{
		{"one at ten times the others", []float64{200, 20, 20, 20, 20, 20, 20, 20}, 0.5, 0.1},
		{"surplus is given to those with demand", []float64{100, 60, 10, 5, 5, 5}, 0.6, 0.1},
		{"all beyond their share", []float64{100, 80, 60, 40}, 0.3, 0.12},
		{"little is shed", []float64{100, 80, 60, 40}, 0.95, 0.1},
	} {
		sharer, source := &Sharer{}, newSource(row.rates...)
		for range warmup {
			source.next(t, sharer)
		}
		threshold := uint16((1 - row.fits) * contract.RanksPerClass)
		began := source.now
		served := make([]float64, len(row.rates))
		for range requests {
			if w, rank := source.next(t, sharer); rank >= threshold {
				served[w]++
			}
		}
		took := source.now.Sub(began).Seconds()
		for w, want := range maxMin(row.rates, row.fits*source.total) {
			if got := served[w] / took; math.Abs(got-want) > row.tolerance*want {
				t.Errorf("%s: workspace %d with %v requests a second was served %.1f, want %.1f", row.name, w, row.rates[w], got, want)
			}
		}
	}
}

// Guards against a workspace that takes from the others for as long as its surge is
// not measured: after one second the ranks must tell it apart.
func TestRanksFollowASurge(t *testing.T) {
	const settle = time.Second
	sharer, source := &Sharer{}, newSource(20, 20, 20, 20, 20, 20, 20, 20)
	for source.now.Sub(epoch) < 10*time.Second {
		source.next(t, sharer)
	}
	source.rates[0], source.total = 200, 340
	began := source.now
	offered, served := 0.0, 0.0
	const threshold = contract.RanksPerClass / 2 // 170 of 340 fit, 24 of each
	for source.now.Sub(began) < 6*time.Second {
		w, rank := source.next(t, sharer)
		if w > 0 && source.now.Sub(began) > settle {
			offered++
			if rank >= threshold {
				served++
			}
		}
	}
	if served < 0.95*offered {
		t.Errorf("%v of the %v requests of workspaces within their share are above the threshold, want 0.95", served, offered)
	}
}

// Guards against demand of one class that ranks the requests of another.
func TestClassesAreApart(t *testing.T) {
	sharer := &Sharer{}
	now := epoch
	for range 1000 {
		now = now.Add(time.Millisecond)
		sharer.Rank(now, contract.ClassLookup, "busy", 0.5)
	}
	sharer.Rank(now, contract.ClassOrder, "idle", 0.5)
	got, ok := sharer.Rank(now, contract.ClassOrder, "busy", 0)
	if want := uint16(contract.RanksPerClass - 1); !ok || got != want {
		t.Errorf("lowest position of the class: got rank %d, %v, want %d", got, ok, want)
	}
	if _, ok := sharer.Rank(now, contract.NumClasses, "busy", 0); ok {
		t.Error("a class that does not exist has ranks")
	}
}

// Guards against state that grows with the names that were ever seen.
func TestWorkspacesAreBoundedAndForgotten(t *testing.T) {
	sharer := &Sharer{}
	c := &sharer.classes[contract.ClassLookup]
	ranked := 0
	for i := range maxWorkspaces + 100 {
		if _, ok := sharer.Rank(epoch, contract.ClassLookup, fmt.Sprint(i), 0.5); ok {
			ranked++
		}
	}
	if ranked != maxWorkspaces || len(c.demands) != maxWorkspaces {
		t.Errorf("got %d ranked and %d kept, want %d", ranked, len(c.demands), maxWorkspaces)
	}
	if _, ok := sharer.Rank(epoch, contract.ClassLookup, "0", 0.5); !ok {
		t.Error("a workspace that is known has no rank in a full class")
	}
	now := epoch
	for now.Sub(epoch) < 2*maxAge {
		now = now.Add(100 * time.Millisecond)
		sharer.Rank(now, contract.ClassLookup, "1", 0.5)
	}
	if len(c.demands) != 1 {
		t.Errorf("got %d workspaces after %v with requests of one, want 1", len(c.demands), 2*maxAge)
	}
	sharer.Rank(now.Add(time.Hour), contract.ClassLookup, "new", 0.5)
	if len(c.demands) != 1 || c.sum != c.scale {
		t.Errorf("got %d workspaces with a demand of %v after an hour, want the new one with 1", len(c.demands), c.sum/c.scale)
	}
}

// Guards against a clock that is set back, or stands still.
func TestTimeThatDoesNotAdvance(t *testing.T) {
	sharer := &Sharer{}
	sharer.Rank(epoch, contract.ClassLookup, "a", 0.5)
	sharer.Rank(epoch.Add(-time.Hour), contract.ClassLookup, "a", 0.5)
	sharer.Rank(epoch, contract.ClassLookup, "b", 0.5)
	if c := &sharer.classes[contract.ClassLookup]; c.sum != 3 || c.demands["a"] != 2 {
		t.Errorf("got a demand of %v, of a %v; want 3 and 2", c.sum, c.demands["a"])
	}
}

// Guards against a sum that drifts away from the demands by rounding.
func TestSumsAgreeWithDemands(t *testing.T) {
	sharer, source := &Sharer{}, newSource(uneven(300, 500)...)
	for range 200_000 {
		source.next(t, sharer)
	}
	c := &sharer.classes[contract.ClassLookup]
	sum := 0.0
	for _, demand := range c.demands {
		sum += demand
	}
	workspaces, inBuckets := 0, 0.0
	for _, b := range c.buckets {
		workspaces += b.workspaces
		inBuckets += b.sum
	}
	if workspaces != len(c.demands) || math.Abs(sum-c.sum) > 1e-6*sum || math.Abs(sum-inBuckets) > 1e-6*sum {
		t.Errorf("got %d workspaces in buckets, sums %v and %v; want %d, %v", workspaces, c.sum, inBuckets, len(c.demands), sum)
	}
}

// Guards against garbage on the path of each request.
func TestRankDoesNotAllocate(t *testing.T) {
	sharer, source := &Sharer{}, newSource(equal(100, 100)...)
	for range 2000 {
		source.next(t, sharer)
	}
	if n := testing.AllocsPerRun(1000, func() { source.next(t, sharer) }); n != 0 {
		t.Errorf("got %v allocations, want none", n)
	}
}

func BenchmarkRank(b *testing.B) {
	sharer, now := &Sharer{}, epoch
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		sharer.Rank(now, contract.ClassLookup, names[i*7919%len(names)], float64(i%100)/100)
	}
}
