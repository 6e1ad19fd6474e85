// Package fairshare ranks requests within their class so that a threshold on the rank
// limits all workspaces to the same rate: max-min fairness over the workspaces that
// have demand.
//
// The position of a request is a uniform draw times the demand of its workspace, in
// requests a second. Of a workspace with demand d, the requests below position y come
// at the rate min(d, y). The rank follows from the quantile of the position among all
// requests of the class, so that ranks are uniform over these requests and the lowest
// ones belong to the workspaces with the most demand.
package fairshare

import (
	"math"
	"time"

	"heathershed/internal/contract"
)

const (
	// timeConstant is that of the moving demand. It is of the order of the time in
	// which thresholds follow a change of the load, so that the ranks do too.
	timeConstant = 2 * time.Second
	// maxWorkspaces bounds the workspaces of a class whose demand is measured.
	maxWorkspaces = 4096
	// maxScale is the scale at which all demands are scaled back. The scale grows
	// e-fold in each timeConstant, so that happens every 28 s.
	maxScale = 1 << 20
	// maxAge is the time without requests after which no demand is left.
	maxAge = 14 * timeConstant
	// forgotten is the moving number of requests below which a workspace is
	// removed: it has sent none for 7 time constants or more.
	forgotten = 1.0 / 1024
	// Demands are counted in buckets by their size: four for each power of two
	// from minExponent to maxExponent.
	stepsPerOctave = 4
	minExponent    = -10
	maxExponent    = 53
	numBuckets     = (maxExponent - minExponent) * stepsPerOctave
)

// Sharer ranks the requests of one node. The zero value has seen none. It is not safe
// for concurrent use.
type Sharer struct {
	classes [contract.NumClasses]class
}

// Rank counts a request of a workspace and returns its rank within the class. draw is
// uniform in [0, 1). It reports false if the workspace can't be ranked because too many
// others have demand.
func (s *Sharer) Rank(now time.Time, c contract.Class, workspace string, draw float64) (rank uint16, ok bool) {
	if int(c) >= len(s.classes) {
		return 0, false
	}
	return s.classes[c].rank(now, workspace, draw)
}

// class holds the demand for the requests of one class.
//
// Demands are moving numbers of requests, times a common scale that grows with time
// instead of their decay. Quantiles don't depend on the scale.
type class struct {
	demands map[string]float64
	buckets [numBuckets]bucket
	sum     float64
	scale   float64
	at      time.Time // of scale
	// calibration makes the quantiles uniform.
	calibration calibration
}

// bucket counts the workspaces whose demands are of similar size.
type bucket struct {
	workspaces int
	sum        float64
}

// rank counts a request and returns its rank.
func (c *class) rank(now time.Time, workspace string, draw float64) (uint16, bool) {
	c.advance(now)
	demand, known := c.demands[workspace]
	switch {
	case known:
		c.count(demand, -1)
	case len(c.demands) >= maxWorkspaces:
		return 0, false
	}
	demand += c.scale
	c.demands[workspace] = demand
	c.count(demand, 1)
	quantile := c.calibration.uniform(c.quantile(min(max(draw, 0), 1) * demand))
	rank := contract.RanksPerClass * (1 - quantile)
	return uint16(min(max(rank, 0), contract.RanksPerClass-1)), true
}

// advance lets the scale grow until now. A time that is set back leaves it unchanged.
func (c *class) advance(now time.Time) {
	if c.demands == nil {
		c.demands = make(map[string]float64)
		c.scale, c.at = 1, now
		return
	}
	age := now.Sub(c.at)
	if age <= 0 {
		return
	}
	c.at = now
	if age > maxAge {
		c.rescale(math.Inf(1))
		return
	}
	c.scale *= math.Exp(age.Seconds() / timeConstant.Seconds())
	if c.scale > maxScale {
		c.rescale(c.scale)
	}
}

// rescale divides all demands by the divisor, removes those that are forgotten, and
// sets the scale to 1.
func (c *class) rescale(divisor float64) {
	c.buckets = [numBuckets]bucket{}
	c.sum, c.scale = 0, 1
	for name, demand := range c.demands {
		demand /= divisor
		if demand < forgotten {
			delete(c.demands, name)
			continue
		}
		c.demands[name] = demand
		c.count(demand, 1)
	}
}

// count adds n workspaces of a demand to its bucket.
func (c *class) count(value float64, n int) {
	b := &c.buckets[bucketOf(value)]
	b.workspaces += n
	b.sum += float64(n) * value
	c.sum += float64(n) * value
	if b.workspaces == 0 {
		b.sum = 0 // without rounding errors
	}
}

// bucketOf returns the bucket of a demand above 0.
func bucketOf(value float64) int {
	fraction, exponent := math.Frexp(value) // fraction in [0.5, 1)
	step := int((fraction - 0.5) * 2 * stepsPerOctave)
	return min(max((exponent-minExponent)*stepsPerOctave+step, 0), numBuckets-1)
}

// quantile returns the share of all requests whose position is below y. The demands
// of a bucket are taken to be equal.
func (c *class) quantile(y float64) float64 {
	below := 0.0
	for i := range c.buckets {
		if b := &c.buckets[i]; b.workspaces > 0 {
			below += min(b.sum, float64(b.workspaces)*y)
		}
	}
	return below / c.sum
}
