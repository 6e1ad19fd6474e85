package quota

import "time"

// lots divides the life of pooled tokens: tokens expire by the time slot in which they
// were created.
const lots = 8

// pool holds the tokens that an owner has created for one workspace and not granted.
type pool struct {
	terms
	// amounts holds the tokens by the slot of their creation, modulo lots. newest is
	// the number of the newest slot.
	amounts [lots]float64
	newest  int64
	// upTo is the time up to which tokens were created.
	upTo time.Time
	// asking and asked hold the nodes that asked in the present and in the last period
	// of askersPeriod; since is the begin of the present one.
	asking, asked map[ID]struct{}
	since         time.Time
}

// askersPeriod is the period over which the nodes that ask are counted.
const askersPeriod = time.Second

func newPool(now time.Time, t terms) *pool {
	p := &pool{terms: t, upTo: now, since: now, asking: make(map[ID]struct{})}
	p.newest = p.slot(now)
	return p
}

// slotLength is the part of the life of tokens that one slot lasts.
func (p *pool) slotLength() time.Duration { return max(p.pooled/lots, time.Microsecond) }

func (p *pool) slot(t time.Time) int64 { return t.UnixNano() / int64(p.slotLength()) }

// advance creates the tokens of the time up to now, at the given share of the rate, and
// removes those that have expired.
func (p *pool) advance(now time.Time, share float64) {
	if !now.After(p.upTo) {
		return
	}
	if now.Sub(p.upTo) > p.pooled {
		p.upTo = now.Add(-p.pooled) // what was created before has expired
	}
	length := p.slotLength()
	for p.upTo.Before(now) {
		slot := p.slot(p.upTo)
		p.expire(slot)
		end := time.Unix(0, (slot+1)*int64(length))
		if end.After(now) {
			end = now
		}
		p.amounts[slot%lots] += share * p.Rate * end.Sub(p.upTo).Seconds()
		p.upTo = end
	}
	p.expire(p.slot(now))
}

// expire empties the slots that are reused up to a slot.
func (p *pool) expire(slot int64) {
	for n := max(p.newest+1, slot-lots+1); n <= slot; n++ {
		p.amounts[n%lots] = 0
	}
	p.newest = max(p.newest, slot)
}

func (p *pool) total() float64 {
	sum := 0.0
	for _, a := range p.amounts {
		sum += a
	}
	return sum
}

// take removes tokens, the oldest first. There must be as many.
func (p *pool) take(amount float64) {
	for n := p.newest + 1; n <= p.newest+lots && amount > 0; n++ {
		taken := min(p.amounts[n%lots], amount)
		p.amounts[n%lots] -= taken
		amount -= taken
	}
}

// grant removes and returns tokens for a node: as many as it needs for waiting requests,
// and of those that it would like to hold at most an equal part among the nodes that ask.
func (p *pool) grant(needed, extra int) int {
	granted := min(needed, int(p.total()))
	part := int((p.total() - float64(granted)) / float64(p.askers()))
	granted += min(extra, part)
	p.take(float64(granted))
	return granted
}

// note records that a node has asked.
func (p *pool) note(now time.Time, from ID) {
	if age := now.Sub(p.since); age >= askersPeriod {
		p.asked, p.asking, p.since = p.asking, make(map[ID]struct{}), now
		if age >= 2*askersPeriod {
			p.asked = nil
		}
	}
	p.asking[from] = struct{}{}
}

// askers returns the number of nodes that ask.
func (p *pool) askers() int { return max(len(p.asking), len(p.asked), 1) }

// retryAfter returns after which time a node that got too little may ask again: that in
// which a token is created for each node that asks, but not so late that tokens expire
// meanwhile.
func (p *pool) retryAfter(share float64) time.Duration {
	rate := max(share*p.Rate, minAmount)
	missing := max(float64(p.askers())-p.total(), 0)
	return max(min(seconds(min(missing/rate, maxSeconds)), p.pooled/2), minRetryAfter)
}

// minRetryAfter bounds how often a node asks for a workspace that is over its limit.
const minRetryAfter = 20 * time.Millisecond

// setTerms replaces the limit. The tokens of a higher limit are reduced in proportion.
func (p *pool) setTerms(t terms) {
	total := p.total()
	if t.Rate < p.Rate {
		total *= t.Rate / max(p.Rate, minAmount)
	}
	p.terms = t
	p.amounts = [lots]float64{}
	p.newest = p.slot(p.upTo)
	p.amounts[p.newest%lots] = min(total, t.Rate*t.pooled.Seconds())
}
