package fleet

import (
	"math"
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
	// draws is the number of upstreams that are drawn of each side. With three, quick
	// ones get more than their share of the requests.
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

// drawnChoice is one choice among drawn upstreams.
type drawnChoice struct {
	f   *Fleet
	now time.Time
	q   Query
	// skipLimited says that upstreams that name a limit may be passed over, because
	// others name none.
	skipLimited bool
	// limited and unlimited say whether there are candidates that name a limit, and
	// that name none.
	limited, unlimited bool
	drawn              [numSides][draws]*entry
	// slots are those of the candidates of each side, busy the requests of all.
	slots [numSides]int
	busy  int
}

// pickDrawn chooses among drawn upstreams. It returns nil if no upstream of the service
// reports its load, or if all that are drawn may not answer: then the lowest cost of
// all decides.
func (f *Fleet) pickDrawn(now time.Time, q Query) *entry {
	if at, known := f.reportedAt[q.Service]; !known || now.Sub(at) >= upstreamload.Expiry {
		return nil
	}
	c := drawnChoice{f: f, now: now, q: q}
	c.draw()
	if c.limited && c.unlimited {
		c = drawnChoice{f: f, now: now, q: q, skipLimited: true}
		c.draw()
	}
	best, lowest := c.cheapest(near)
	if other, otherLowest := c.cheapest(far); other != nil && c.leaves(best, lowest, otherLowest) {
		best, lowest = other, otherLowest
	}
	if lowest.doubtful {
		return nil
	}
	return best
}

// draw draws upstreams of each side: each candidate replaces those drawn before with the
// probability of its slots over all until then.
func (c *drawnChoice) draw() {
	random := c.q.Random
	for _, e := range c.f.byService[c.q.Service] {
		if !c.eligible(e) {
			continue
		}
		if e.limits() {
			c.limited = true
		} else {
			c.unlimited = true
		}
		s := e.side
		slots := max(e.Slots, 1)
		c.slots[s] += slots
		c.busy += e.load.InFlight + e.load.Waiting
		random = nextRandom(random)
		for i, part := range [draws]uint64{random >> 32, random & math.MaxUint32} {
			if part*uint64(c.slots[s])>>32 < uint64(slots) {
				c.drawn[s][i] = e
			}
		}
	}
}

func (c *drawnChoice) eligible(e *entry) bool {
	return e.isCandidate(&c.q) && !(c.skipLimited && e.passedOver(c.now, &c.q))
}

// cheapest returns the cheapest of the drawn upstreams of a side, nil if there is none.
func (c *drawnChoice) cheapest(s side) (best *entry, lowest cost) {
	for i, e := range c.drawn[s] {
		if e == nil || i > 0 && e == best {
			continue
		}
		if v := c.cost(e); best == nil || v.less(lowest) {
			best, lowest = e, v
		}
	}
	return best, lowest
}

// leaves reports whether the request leaves its data centre, where best is the drawn
// upstream of this one, or nil: the other one has to be cheaper than all of this one.
func (c *drawnChoice) leaves(best *entry, lowest, other cost) bool {
	if best == nil {
		return true
	}
	if !other.less(lowest) {
		return false
	}
	for _, e := range c.f.byService[c.q.Service] {
		if e.side == near && c.eligible(e) && !other.less(c.cost(e)) {
			return false
		}
	}
	return true
}

// meanUse is the mean utilisation of the candidates.
func (c *drawnChoice) meanUse() float64 {
	return float64(c.busy) / float64(max(c.slots[near]+c.slots[far], 1))
}

// cost returns the cost of an upstream: the time in which a response is expected,
// multiplied by the factors that apply.
func (c *drawnChoice) cost(e *entry) cost {
	l, known := e.latency[c.q.Kind]
	expected := l.value
	if !known || e.limits() || c.now.Sub(l.at) > freshLatency {
		expected = e.expectedLatency(c.now, c.q.Kind, c.f.kindLatency(c.now, c.q))
	}
	doubt := e.doubt(c.now, c.q, expected)
	use := (e.expectedBusy(c.now, expected, c.meanUse()) + 1) / float64(max(e.Slots, 1))
	took := expected.Seconds()*e.paceChange(c.now, l) + e.paceWait(c.now).Seconds()
	value := (1 + loadFactor*use*use) * doubt * took
	if e.side == far {
		value *= remoteFactor
	}
	if e.load.Cold {
		value *= warmupFactor
	}
	answers := doubt
	if e.rejects(c.now) { // it has answered, and is full
		answers /= rejectFactor
	}
	return cost{full: use > fullUse || doubt > maxDoubt, doubtful: answers > maxDoubt, value: value}
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
