package fleet

import (
	"time"

	"heathershed/internal/vm/upstreamload"
)

// The choice among upstreams of which some report their load. Two upstreams of the
// data centre are drawn, in proportion to their slots, and the cheaper one is chosen.
// All senders hear much the same reports, and these may be older than a run: if each
// sender chose the cheapest of all, all would choose the same one until the next
// report. Of two upstreams of other data centres the cheaper one is chosen if it is
// cheaper than every upstream of this data centre by more than remoteFactor.

const (
	// draws is the number of upstreams that are drawn of each side.
	draws = 2
	// maxPaceChange bounds the factor by which a report changes an expected latency,
	// whatever the upstream says.
	maxPaceChange = 4.0
)

// side tells the upstreams of the node's data centre from the others.
type side uint8

const (
	near side = iota
	far

	numSides
)

// reported is the load that an upstream reports.
type reported struct {
	upstreamload.Report
	// at is when its newest sample was read.
	at time.Time
}

// valid reports whether there is a report that has not expired.
func (r *reported) valid(now time.Time) bool {
	return r.Known() && now.Sub(r.at) < upstreamload.Expiry
}

// hearLoad records the load that the upstream reports. Messages of one node arrive over
// several paths, so an older report may arrive last.
func (f *Fleet) hearLoad(now time.Time, e *entry, load Load) {
	r := load.Upstream
	if !r.Known() || load.Report.Instance != e.Instance || r.Older(e.reported.Report) {
		return
	}
	if r.Sequence == e.reported.Sequence && r.Incarnation == e.reported.Incarnation {
		return
	}
	e.reported = reported{r, now.Add(-r.Age)}
	if at := f.reportedAt[e.Service]; at.Before(e.reported.at) {
		f.reportedAt[e.Service] = e.reported.at
	}
}

// paceChange is the factor by which runs that begin now take longer than those whose
// latency is known. It approaches 1 as the report ages.
func (e *entry) paceChange(now time.Time, l latency) float64 {
	if !e.reported.valid(now) || l.runPace <= 0 {
		return 1
	}
	change := min(max(e.reported.Pace/l.runPace, 1/maxPaceChange), maxPaceChange)
	left := 1 - now.Sub(e.reported.at).Seconds()/upstreamload.Expiry.Seconds()
	return 1 + (change-1)*min(max(left, 0), 1)
}

// eligible is what a choice needs to know of all candidates of a service.
type eligible struct {
	reporting, limited, unlimited bool
	// slots are those of each side, busy the requests of both.
	slots [numSides]int
	busy  int
}

// meanUse is the mean utilisation of the candidates.
func (c *eligible) meanUse() float64 {
	return float64(c.busy) / float64(max(c.slots[near]+c.slots[far], 1))
}

func (f *Fleet) sideOf(e *entry) side {
	if e.Datacentre == f.datacentre {
		return near
	}
	return far
}

// survey counts the candidates. Those that are passed over because they name a limit
// are left out if skipLimited is set.
func (f *Fleet) survey(now time.Time, q *Query, skipLimited bool) (c eligible) {
	for _, e := range f.byService[q.Service] {
		if !e.isCandidate(*q) || skipLimited && e.passedOver(now, *q) {
			continue
		}
		if e.limits() {
			c.limited = true
		} else {
			c.unlimited = true
		}
		c.reporting = c.reporting || e.reported.valid(now)
		c.slots[f.sideOf(e)] += max(e.Slots, 1)
		c.busy += e.load.InFlight + e.load.Waiting
	}
	return c
}

// drawnChoice is one choice among drawn upstreams.
type drawnChoice struct {
	f   *Fleet
	now time.Time
	q   *Query
	// skipLimited says that some upstreams that name a limit are passed over.
	skipLimited bool
	meanUse     float64
	// points are the positions that are drawn in the slots of each side.
	points [numSides][draws]int
	best   [numSides]*entry
	lowest [numSides]cost
}

// pickDrawn chooses among drawn upstreams. It returns nil if no candidate reports its
// load, or if all that are drawn may not answer: then the lowest cost of all decides.
func (f *Fleet) pickDrawn(now time.Time, q *Query) *entry {
	if !f.isReporting(now, q.Service) {
		return nil
	}
	all := f.survey(now, q, false)
	if !all.reporting {
		return nil
	}
	c := drawnChoice{f: f, now: now, q: q, skipLimited: all.limited && all.unlimited}
	if c.skipLimited {
		all = f.survey(now, q, true)
	}
	c.meanUse = all.meanUse()
	random := q.Random
	for s := range c.points {
		for i := range c.points[s] {
			random = nextRandom(random)
			c.points[s][i] = int(unitFloat(random) * float64(all.slots[s]))
		}
	}
	c.compareDrawn()
	best, lowest := c.best[near], c.lowest[near]
	if c.leaves() {
		best, lowest = c.best[far], c.lowest[far]
	}
	if lowest.doubtful {
		return nil
	}
	return best
}

// compareDrawn finds the cheapest of the drawn upstreams of each side.
func (c *drawnChoice) compareDrawn() {
	var passed [numSides]int
	for _, e := range c.f.byService[c.q.Service] {
		if !c.eligible(e) {
			continue
		}
		s := c.f.sideOf(e)
		first := passed[s]
		passed[s] += max(e.Slots, 1)
		if !c.isDrawn(s, first, passed[s]) {
			continue
		}
		if v := c.cost(e); c.best[s] == nil || v.less(c.lowest[s]) {
			c.best[s], c.lowest[s] = e, v
		}
	}
}

func (c *drawnChoice) eligible(e *entry) bool {
	return e.isCandidate(*c.q) && !(c.skipLimited && e.passedOver(c.now, *c.q))
}

// isDrawn reports whether a point of the side is in [first, end).
func (c *drawnChoice) isDrawn(s side, first, end int) bool {
	for _, p := range c.points[s] {
		if first <= p && p < end {
			return true
		}
	}
	return false
}

// leaves reports whether the request leaves its data centre.
func (c *drawnChoice) leaves() bool {
	if c.best[far] == nil || c.best[near] != nil && !c.lowest[far].less(c.lowest[near]) {
		return false
	}
	for _, e := range c.f.byService[c.q.Service] {
		if c.f.sideOf(e) == near && c.eligible(e) && !c.lowest[far].less(c.cost(e)) {
			return false
		}
	}
	return true
}

// cost returns the cost of an upstream: the time in which a response is expected,
// multiplied by the factors that apply.
func (c *drawnChoice) cost(e *entry) cost {
	l, known := e.latency[c.q.Kind]
	expected := l.value
	if !known || e.limits() || c.now.Sub(l.at) > freshLatency {
		expected = e.expectedLatency(c.now, c.q.Kind, c.f.kindLatency(c.now, *c.q))
	}
	doubt := e.doubt(c.now, *c.q, expected)
	use := (e.expectedBusy(c.now, expected, c.meanUse) + 1) / float64(max(e.Slots, 1))
	took := expected.Seconds()*e.paceChange(c.now, l) + e.paceWait(c.now).Seconds()
	value := (1 + loadFactor*use*use) * doubt * took
	if e.Datacentre != c.f.datacentre {
		value *= remoteFactor
	}
	if e.load.Cold {
		value *= warmupFactor
	}
	return cost{full: use > fullUse || doubt > maxDoubt, doubtful: doubt > maxDoubt, value: value}
}

// expectedBusy is the number of requests to expect at the upstream. Of those that were
// reported, the older the report, the more have ended: it approaches the mean
// utilisation in the time of a run. Requests of this node count at once.
func (e *entry) expectedBusy(now time.Time, run time.Duration, meanUse float64) float64 {
	age := max(now.Sub(e.loadAt), 0)
	weight := 1.0
	if age > 0 {
		weight = run.Seconds() / (run + age).Seconds()
	}
	heard := float64(e.load.InFlight + e.load.Waiting)
	mean := meanUse * float64(max(e.Slots, 1))
	return max(float64(e.outstanding), weight*heard+(1-weight)*mean+float64(e.sent))
}

// isReporting reports whether an upstream of the service has reported its load within
// the expiry. Services of which none has are not searched for one.
func (f *Fleet) isReporting(now time.Time, service string) bool {
	at, known := f.reportedAt[service]
	return known && now.Sub(at) < upstreamload.Expiry
}

// limits reports whether the current instance names a limit.
func (e *entry) limits() bool {
	return e.report.Limited && e.report.Instance == e.Instance
}
