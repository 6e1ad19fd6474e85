package routing

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// hashString hashes a name.
func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix is a bijection that spreads every input bit over the result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// dice is a stream of random numbers made from one.
type dice uint64

// next returns the next number.
func (d *dice) next() uint64 {
	*d = dice(mix(uint64(*d)))
	return uint64(*d)
}

// unit returns the next number in [0, 1).
func (d *dice) unit() float64 { return float64(d.next()>>11) / (1 << 53) }

// pick chooses a target, or nil.
func (p *pool) pick(now instant, q *Query, cfg *Config) *entry {
	if p.dirty || !now.Before(p.reviewAt) {
		p.review(now, cfg)
	}
	d := dice(q.Random)
	if e := p.pickProbe(q, &d); e != nil {
		return e
	}
	if q.Exclude != [4]string{} {
		if e := p.pickSet(now, q, true, cfg, &d); e != nil {
			return e
		}
	}
	return p.pickSet(now, q, false, cfg, &d)
}

// pickSet chooses from the first set that has a target. Where exclude is set,
// those that were tried already are left out, and those that are out as
// outliers as well.
func (p *pool) pickSet(now instant, q *Query, exclude bool, cfg *Config, d *dice) *entry {
	for _, i := range p.preferences(q.Order) {
		if exclude && i == setAll && !p.panicking {
			break
		}
		if e := p.pickTier(&p.sets[i], now, q, exclude, cfg, d); e != nil {
			return e
		}
	}
	return nil
}

// pickProbe chooses, now and then, a target that waits to be tried out. Orders
// are never used for that, and a target is tried by one call at a time.
func (p *pool) pickProbe(q *Query, d *dice) *entry {
	if q.Order || len(p.probes) == 0 {
		return nil
	}
	roll := d.next()
	if roll%probeOdds != 0 {
		return nil
	}
	e := p.probes[roll/probeOdds%uint64(len(p.probes))]
	if e.inFlight > 0 || q.excludes(e.VM) {
		return nil
	}
	return e
}

// pickTier chooses the best target of each tier and, from near to far, the
// tier: a call goes further in the proportion in which that is quicker than the
// quickest that is nearer.
func (p *pool) pickTier(s *set, now instant, q *Query, exclude bool, cfg *Config, d *dice) *entry {
	warmest := s.warmest()
	var best, cold *entry
	var quickest float64
	for i := range s {
		e := s[i].pick(now, q, exclude, cfg, d)
		if e == nil {
			continue
		}
		if best == nil && d.unit() >= coldLead*s[i].warmth()/warmest {
			cold = cmp.Or(cold, e)
			continue
		}
		expected := e.expected(now, q.Order)
		if best == nil {
			best, quickest = e, expected
			continue
		}
		if d.unit() < 1-spillMargin*expected/quickest {
			best = e
		}
		quickest = min(quickest, expected)
	}
	return cmp.Or(best, cold)
}

// warmth is the part of its full weight that the tier has ramped up to.
func (t *tier) warmth() float64 { return t.sums[len(t.sums)-1] / t.full }

// warmest is the highest warmth of any tier.
func (s *set) warmest() float64 {
	w := 0.0
	for i := range s {
		if len(s[i].members) > 0 {
			w = max(w, s[i].warmth())
		}
	}
	return w
}

// pick draws two targets by weight and chooses between them by cost.
func (t *tier) pick(now instant, q *Query, exclude bool, cfg *Config, d *dice) *entry {
	if len(t.members) == 0 {
		return nil
	}
	a := t.draw(q, exclude, -1, d)
	if a < 0 {
		return nil
	}
	b := t.draw(q, exclude, a, d)
	if b < 0 {
		return t.members[a]
	}
	n := len(t.members)
	mean := t.sums[n-1] / float64(n)
	costA := t.members[a].cost(now, q.Order, mean, cfg.MaxLoadAge)
	costB := t.members[b].cost(now, q.Order, mean, cfg.MaxLoadAge)
	if d.unit() < preference(costA, costB) {
		return t.members[a]
	}
	return t.members[b]
}

// preference is the probability of choosing a over b. It is soft where the
// costs are close, so that small or wrong differences do not turn all calls
// to one target, and sharp where they are not.
func preference(a, b float64) float64 {
	r := a / b
	r *= r
	return 1 / (1 + r*r)
}

// find returns the index of the target at the given part, in [0, 1), of the
// running sums. The guide leads to a few targets before it.
func (t *tier) find(part float64) int {
	n := len(t.members)
	x := part * t.sums[n-1]
	i := int(t.guide[min(int(part*float64(n)), n-1)])
	for i < n-1 && t.sums[i] <= x {
		i++
	}
	return i
}

// index makes the guide.
func (t *tier) index() {
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
// not, or -1 where there is none. From a target that is excluded it goes on to
// the next one.
func (t *tier) draw(q *Query, exclude bool, not int, d *dice) int {
	n := len(t.members)
	i := t.find(d.unit())
	for range n {
		if i != not && !(exclude && q.excludes(t.members[i].VM)) {
			return i
		}
		i++
		if i == n {
			i = 0
		}
	}
	return -1
}
