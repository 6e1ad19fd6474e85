package quota

import (
	"math"
	"time"
)

// account is what a node keeps of a workspace.
type account struct {
	id    ID
	name  string
	terms terms
	pool  *pool
	share float64 // of the rate, that this node may create
	held  [heldLots]heldTokens

	// demand is the number of recent requests, which decays with demandPeriod.
	demand   float64
	demandAt time.Time
	waiting  int // requests for which no answer has come
	askedAt  time.Time
	asked    bool
	denied   time.Time // until then no question is sent

	// rejected is the number of requests that were rejected since the workspace reached
	// its limit, and limited whether Changes has reported that.
	rejected     int
	lastRejected time.Time
	limited      bool
}

// heldLots bounds the grants that a node holds at once.
const heldLots = 4

type heldTokens struct {
	count int
	until time.Time
}

// stock returns the tokens that this node may grant.
func (a *account) stock(now time.Time) float64 {
	a.pool.advance(now, a.share)
	return a.pool.total()
}

func (a *account) countDemand(now time.Time) {
	a.demand = a.demand*a.decay(now) + 1
	a.demandAt = maxTime(a.demandAt, now)
}

func (a *account) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(a.demandAt), 0).Seconds() / demandPeriod.Seconds())
}

// extra returns the tokens that the node would like to hold: those of its demand in half
// of the time for which it may hold them, but at most half a demandPeriod. A single
// request is no demand: if each node held tokens for the next one, a small workspace
// would have none left where they are needed.
func (a *account) extra() int {
	rate := min(max(a.demand-1, 0)/demandPeriod.Seconds(), a.terms.Rate)
	return min(int(rate*min(a.terms.held, demandPeriod).Seconds()/2), maxExtra)
}

// spend takes the token that expires first and reports whether there was one.
func (a *account) spend(now time.Time) bool {
	best := -1
	for i, h := range a.held {
		if h.count > 0 && h.until.After(now) && (best < 0 || h.until.Before(a.held[best].until)) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	a.held[best].count--
	return true
}

func (a *account) holding(now time.Time) int {
	sum := 0
	for _, h := range a.held {
		if h.until.After(now) {
			sum += h.count
		}
	}
	return sum
}

// hold stores granted tokens in place of those that expire first.
func (a *account) hold(h heldTokens) {
	oldest := 0
	for i, other := range a.held {
		if other.count == 0 {
			oldest = i
			break
		}
		if other.until.Before(a.held[oldest].until) {
			oldest = i
		}
	}
	if h.count > 0 {
		a.held[oldest] = h
	}
}
