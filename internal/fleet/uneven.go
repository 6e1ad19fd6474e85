package fleet

import (
	"slices"
	"time"

	"heathershed/internal/vm/upstreamload"
)

// The choice among upstreams of which some report their load. Two upstreams of the
// data centre and two of the others are drawn, in proportion to their slots, and the
// one with the lowest cost is chosen. All senders hear much the same reports, and these
// are older than a run: if each of them chose the lowest cost of all, they would choose
// the same upstream until the next report.

const (
	// draws is the number of upstreams that are drawn of each side.
	draws = 4
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
func (e *entry) hearLoad(now time.Time, load Load) {
	r := load.Upstream
	if !r.Known() || load.Report.Instance != e.Instance || r.Older(e.reported.Report) {
		return
	}
	if r.Sequence == e.reported.Sequence && r.Incarnation == e.reported.Incarnation {
		return
	}
	e.reported = reported{r, now.Add(-r.Age)}
}

// paceChange is the factor by which runs that begin now take longer than those whose
// latency is known. It approaches 1 as the report ages.
func (e *entry) paceChange(now time.Time, l latency) float64 {
	if !e.reported.valid(now) || l.runPace <= 0 {
		return 1
	}
	change := min(max(e.reported.Pace/l.runPace, 1/maxPaceChange), maxPaceChange)
	left := 1 - now.Sub(e.reported.at).Seconds()/upstreamload.Expiry.Seconds()
	if trialPace == 1 {
		left = l.value.Seconds() / (l.value + now.Sub(e.reported.at)).Seconds()
	}
	if trialPace == 2 {
		left = 1 - now.Sub(e.reported.at).Seconds()
	}
	return 1 + (change-1)*min(max(left, 0), 1)
}

// eligible is what a choice needs to know of all candidates of a service.
type eligible struct {
	reporting, limited, unlimited bool
	// slots are those of each side, busy the requests there.
	slots, busy [numSides]int
}

func (c *eligible) meanUse() float64 {
	return float64(c.busy[near]+c.busy[far]) / float64(max(c.slots[near]+c.slots[far], 1))
}

func (f *Fleet) sideOf(e *entry) side {
	if e.Datacentre == f.datacentre {
		return near
	}
	return far
}

// survey counts the candidates. Those that name a limit are left out if skipLimited
// is set and they are to be passed over.
func (f *Fleet) survey(now time.Time, q *Query, skipLimited bool) (c eligible) {
	for _, e := range f.byService[q.Service] {
		if !e.isCandidate(*q) || skipLimited && e.passedOver(now, *q) {
			continue
		}
		if e.heard().Limited {
			c.limited = true
		} else {
			c.unlimited = true
		}
		c.reporting = c.reporting || e.reported.valid(now)
		s := f.sideOf(e)
		c.slots[s] += max(e.Slots, 1)
		c.busy[s] += e.load.InFlight + e.load.Waiting
	}
	return c
}

// pickDrawn chooses among drawn upstreams. ok is false if no candidate reports its
// load.
func (f *Fleet) pickDrawn(now time.Time, q *Query) (best *entry, ok bool) {
	all := f.survey(now, q, false)
	if !all.reporting {
		return nil, false
	}
	skipLimited := all.limited && all.unlimited
	if skipLimited {
		all = f.survey(now, q, true)
	}
	points, random := f.points(q, &all)
	_ = random
	mean := all.meanUse()
	var lowest [numSides]cost
	var bests [numSides]*entry
	var passed [numSides]int
	for _, e := range f.byService[q.Service] {
		if !e.isCandidate(*q) || skipLimited && e.passedOver(now, *q) {
			continue
		}
		s := f.sideOf(e)
		before := passed[s]
		passed[s] += max(e.Slots, 1)
		if !slices.ContainsFunc(points[s][:trialDraws], func(p int) bool { return before <= p && p < passed[s] }) {
			continue
		}
		c := f.drawnCost(now, e, q, mean)
		if bests[s] == nil || c.less(lowest[s]) {
			bests[s], lowest[s] = e, c
		}
	}
	if trialPlace > 0 && bests[near] != nil && (lowest[near].full || bests[far] != nil && lowest[far].less(lowest[near])) {
		var b *entry
		var l cost
		for _, e := range f.byService[q.Service] {
			if !e.isCandidate(*q) || skipLimited && e.passedOver(now, *q) || f.sideOf(e) != near {
				continue
			}
			random = nextRandom(random)
			c := f.drawnCost(now, e, q, mean)
			c.value *= 1 + jitter*unitFloat(random)
			if b == nil || c.less(l) {
				b, l = e, c
			}
		}
		if bests[far] != nil && lowest[far].less(l) {
			return bests[far], true
		}
		if trialPlace == 2 && lowest[near].full {
			return b, true
		}
		return bests[near], true
	}
	best = bests[near]
	if best == nil || bests[far] != nil && lowest[far].less(lowest[near]) {
		best = bests[far]
	}
	return best, true
}

// points draws positions in the slots of each side.
func (f *Fleet) points(q *Query, all *eligible) (points [numSides][draws]int, random uint64) {
	random = q.Random
	for s := range points {
		for i := range points[s] {
			random = nextRandom(random)
			points[s][i] = int(unitFloat(random) * float64(all.slots[s]))
		}
	}
	return points, random
}

var trialPlace = 0
var trialDraws, trialPace = 2, 0

// drawnCost returns the cost of an upstream: the time until a response is expected,
// multiplied by the factors that apply.
func (f *Fleet) drawnCost(now time.Time, e *entry, q *Query, mean float64) cost {
	l, known := e.latency[q.Kind]
	expected := l.value
	if !known || e.heard().Limited || now.Sub(l.at) > freshLatency {
		expected = e.expectedLatency(now, q.Kind, f.kindLatency(now, *q))
	}
	doubt := e.doubt(now, *q, expected)
	slots := float64(max(e.Slots, 1))
	heard := float64(e.load.InFlight + e.load.Waiting)
	age := max(now.Sub(e.loadAt), 0)
	weight := expected.Seconds() / max((expected+age).Seconds(), 1e-9)
	busy := max(float64(e.outstanding), weight*heard+(1-weight)*mean*slots+float64(e.sent))
	use := (busy + 1) / slots
	pace := e.paceWait(now)
	expected = time.Duration(float64(expected) * e.paceChange(now, l))
	value := (1 + loadFactor*use*use) * doubt * (expected + pace).Seconds()
	if e.Datacentre != f.datacentre {
		value *= remoteFactor
	}
	if e.load.Cold {
		value *= warmupFactor
	}
	return cost{full: doubt > maxDoubt || use > fullUse, value: value}
}
