package routing

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix is a bijection that spreads every input bit over the result (splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// randStream is a stream of pseudo-random numbers derived from one number.
type randStream uint64

func (r *randStream) next() uint64 {
	*r = randStream(mix(uint64(*r)))
	return uint64(*r)
}

// unit returns the next number in [0, 1).
func (r *randStream) unit() float64 { return float64(r.next()>>11) / (1 << 53) }

// pick chooses a target, or returns nil if there is none.
func (p *pool) pick(now instant, q *Query, cfg *Config) *entry {
	if p.dirty || !now.Before(p.rebuildAt) {
		p.rebuild(now, cfg)
	}
	rng := randStream(q.Random)
	if e := p.pickProbe(q, &rng); e != nil {
		return e
	}
	if q.Exclude != [4]string{} {
		if e := p.pickSet(now, q, true, cfg, &rng); e != nil {
			return e
		}
	}
	return p.pickSet(now, q, false, cfg, &rng)
}

// pickSet chooses from the first set that yields a target. If exclude is set,
// it leaves out the targets already tried and, unless the pool is in panic
// mode, the ejected ones.
func (p *pool) pickSet(now instant, q *Query, exclude bool, cfg *Config, rng *randStream) *entry {
	for _, i := range p.preferences(q.Order) {
		if exclude && i == setAll && !p.panicMode {
			break
		}
		if e := p.pickTier(&p.sets[i], now, q, exclude, cfg, rng); e != nil {
			return e
		}
	}
	return nil
}

// pickProbe occasionally chooses a target that is waiting to be probed. Orders
// are never used as probes, and a target is probed by one call at a time.
func (p *pool) pickProbe(q *Query, rng *randStream) *entry {
	if q.Order || len(p.probes) == 0 {
		return nil
	}
	roll := rng.next()
	if roll%probeOneIn != 0 {
		return nil
	}
	e := p.probes[roll/probeOneIn%uint64(len(p.probes))]
	if e.inFlight > 0 || q.excludes(e.VM) {
		return nil
	}
	return e
}

// pickTier chooses the best target of each tier and then, from near to far, the
// tier. A call goes to a farther tier in the proportion in which that tier is
// faster than the fastest nearer one.
func (p *pool) pickTier(s *set, now instant, q *Query, exclude bool, cfg *Config, rng *randStream) *entry {
	maxRampFraction := s.maxRampFraction()
	var best, warming *entry
	var fastest float64
	for i := range s {
		e := s[i].pick(now, q, exclude, cfg, rng)
		if e == nil {
			continue
		}
		if best == nil && rng.unit() >= rampLead*s[i].rampFraction()/maxRampFraction {
			warming = cmp.Or(warming, e)
			continue
		}
		expected := e.expected(now, q.Order)
		if best == nil {
			best, fastest = e, expected
			continue
		}
		if rng.unit() < 1-spillMargin*expected/fastest {
			best = e
		}
		fastest = min(fastest, expected)
	}
	return cmp.Or(best, warming)
}

// rampFraction returns the part of its full weight that the tier has ramped up
// to.
func (t *tier) rampFraction() float64 { return t.sums[len(t.sums)-1] / t.fullWeight }

// maxRampFraction returns the highest ramp fraction of all tiers.
func (s *set) maxRampFraction() float64 {
	w := 0.0
	for i := range s {
		if len(s[i].members) > 0 {
			w = max(w, s[i].rampFraction())
		}
	}
	return w
}

// pick draws two targets by weight and chooses between them by cost.
func (t *tier) pick(now instant, q *Query, exclude bool, cfg *Config, rng *randStream) *entry {
	if len(t.members) == 0 {
		return nil
	}
	a := t.draw(q, exclude, -1, rng)
	if a < 0 {
		return nil
	}
	b := t.draw(q, exclude, a, rng)
	if b < 0 {
		return t.members[a]
	}
	n := len(t.members)
	mean := t.sums[n-1] / float64(n)
	costA := t.members[a].cost(now, q.Order, mean, cfg.MaxLoadAge)
	costB := t.members[b].cost(now, q.Order, mean, cfg.MaxLoadAge)
	if rng.unit() < preference(costA, costB) {
		return t.members[a]
	}
	return t.members[b]
}

// preference returns the probability of choosing a over b, given their costs.
// Close costs give a probability near one half, so that small or wrong
// differences do not send all calls to one target; clearly different costs give
// one near 0 or 1.
func preference(a, b float64) float64 {
	r := a / b
	r *= r
	return 1 / (1 + r*r)
}

// find returns the index of the target at the given fraction, in [0, 1), of the
// running sums of weights. The guide table gives an index at or shortly before
// it.
func (t *tier) find(fraction float64) int {
	n := len(t.members)
	x := fraction * t.sums[n-1]
	i := int(t.guide[min(int(fraction*float64(n)), n-1)])
	for i < n-1 && t.sums[i] <= x {
		i++
	}
	return i
}

// buildGuide computes the guide table of the running sums.
func (t *tier) buildGuide() {
	t.guide = t.guide[:0]
	i, n := 0, len(t.members)
	for k := range n {
		for t.sums[i]*float64(n) < t.sums[n-1]*float64(k) {
			i++
		}
		t.guide = append(t.guide, int32(i))
	}
}

// draw returns the index of a target drawn by weight, other than the index
// skip, or -1 if there is none. If the drawn target is excluded, the next one
// that is not is taken.
func (t *tier) draw(q *Query, exclude bool, skip int, rng *randStream) int {
	n := len(t.members)
	i := t.find(rng.unit())
	for range n {
		if i != skip && !(exclude && q.excludes(t.members[i].VM)) {
			return i
		}
		i++
		if i == n {
			i = 0
		}
	}
	return -1
}
