package routing

import (
	"slices"
	"time"
)

const (
	// rampStart is the fraction of its full weight at which a ramp-up starts.
	rampStart = 0.1
	// rampSteps is the number of steps in which a weight ramps up.
	rampSteps = 40
	// maxSlotsRatio bounds announced slots to this factor above and below the
	// median.
	maxSlotsRatio = 4
	// rampLead is how far the calls to a tier that ramps up run ahead of its
	// weight: next to a tier at full weight, it gets all of its calls once it
	// has ramped up to two thirds of its own.
	rampLead = 1.5
	// warmupDivisor: a target that has not answered yet takes no orders for the
	// fraction 1/warmupDivisor of the ramp-up while other targets are usable.
	warmupDivisor = 4
	// warmupWeight is the fraction of its weight that a target keeps while it
	// announces that it is warming up.
	warmupWeight = 0.5
	// farFuture is in practice later than any other time.
	farFuture = 1000 * time.Hour
)

// pool holds the targets of one service.
type pool struct {
	service string
	// entries is sorted by VM.
	entries []*entry
	// established is set once a list of targets has been received.
	established bool
	// latency is the mean over all targets, without distances.
	latency estimate

	// dirty requests a rebuild by the next pick. From rebuildAt on, a pick
	// rebuilds in any case.
	dirty     bool
	rebuildAt instant
	// panicMode is set while ejected targets are used as well, because too few
	// would be left without them (panic threshold).
	panicMode bool
	// sets holds the targets that may be picked, by preference.
	sets [numSets]set
	// probes holds the targets that are waiting to be probed by a call.
	probes []*entry
	// slots is scratch space of medianSlots.
	slots []int
}

// The sets of a pool.
const (
	// setWarm: neither ejected nor warming up.
	setWarm = iota
	// setActive: not ejected.
	setActive
	// setAll: including targets ejected as outliers.
	setAll
	numSets
)

// set holds the targets that may be picked, by tier.
type set [numTiers]tier

// tier holds the targets of one tier. sums holds the running sums of their
// weights, fullWeight the sum of their full weights. guide is a guide table for
// drawing by weight: for each of n equal parts of the total weight it holds the
// index at which the search in sums starts.
type tier struct {
	members    []*entry
	sums       []float64
	guide      []int32
	fullWeight float64
}

func (s *set) reset() {
	for i := range s {
		s[i].members = s[i].members[:0]
		s[i].sums = s[i].sums[:0]
		s[i].fullWeight = 0
	}
}

func (s *set) add(e *entry) {
	t := &s[e.tier]
	sum := e.weight
	if n := len(t.sums); n > 0 {
		sum += t.sums[n-1]
	}
	t.members = append(t.members, e)
	t.sums = append(t.sums, sum)
	t.fullWeight += e.fullWeight
}

// rebuild recomputes which targets may be picked and their weights.
func (p *pool) rebuild(now instant, cfg *Config) {
	p.dirty = false
	p.rebuildAt = now.Add(farFuture)
	median := p.medianSlots()
	for _, e := range p.entries {
		p.advance(e, now, cfg)
		e.updateWeight(now, cfg, median)
	}
	link := p.requiredLink()
	p.panicMode = p.needsPanicMode(link, now, cfg)
	p.probes = p.probes[:0]
	for i := range p.sets {
		p.sets[i].reset()
	}
	for _, e := range p.entries {
		if e.usable(link, now) {
			p.addToSets(e)
		}
	}
	for i := range p.sets {
		for k := range p.sets[i] {
			p.sets[i][k].buildGuide()
		}
	}
}

// addToSets adds a usable target to the sets that it belongs to.
func (p *pool) addToSets(e *entry) {
	p.sets[setAll].add(e)
	switch e.phase {
	case phaseProbing:
		p.probes = append(p.probes, e)
	case phaseActive:
		p.sets[setActive].add(e)
		if !e.warmingUp {
			p.sets[setWarm].add(e)
		}
	}
}

// preferences returns the sets in the order in which a call tries them. Orders
// go to targets that are warming up or ejected only if no others are usable.
func (p *pool) preferences(order bool) []int {
	switch {
	case order:
		return preferOrder[:]
	case p.panicMode:
		return preferAll[:]
	default:
		return preferActive[:]
	}
}

var (
	preferOrder  = [...]int{setWarm, setActive, setAll}
	preferActive = [...]int{setActive, setAll}
	preferAll    = [...]int{setAll}
)

// requiredLink returns the link state that a target must have to be used: up
// or, if no link of the service is up, unknown.
func (p *pool) requiredLink() linkState {
	for _, e := range p.entries {
		if e.link == linkUp && !e.leaving {
			return linkUp
		}
	}
	return linkUnknown
}

// usable reports whether the target may be picked, apart from ejection as an
// outlier.
func (e *entry) usable(link linkState, now instant) bool {
	return e.link == link && !e.leaving && !now.Before(e.staleUntil)
}

// needsPanicMode reports whether so many usable targets are ejected that the
// remaining ones would be overloaded, or whether the remaining ones fail as
// well. All usable targets are then used.
func (p *pool) needsPanicMode(link linkState, now instant, cfg *Config) bool {
	usable, active, failureSum := 0, 0, 0.0
	for _, e := range p.entries {
		if !e.usable(link, now) {
			continue
		}
		usable++
		if e.phase == phaseActive {
			active++
			failureSum += e.failureShare.read(now, 0, shareDecay)
		}
	}
	if active == usable {
		return false
	}
	few := float64(active) < float64(usable)*(1-cfg.MaxEjectedShare)
	return few || failureSum > panicFailureShare*float64(active)
}

// rebuildBy requests a rebuild at the given time at the latest.
func (p *pool) rebuildBy(t instant) {
	if t.Before(p.rebuildAt) {
		p.rebuildAt = t
	}
}

// advance applies the changes of a target that depend on time alone.
func (p *pool) advance(e *entry, now instant, cfg *Config) {
	if now.Before(e.staleUntil) {
		p.rebuildBy(e.staleUntil)
	}
	p.advancePhase(e, now, cfg)
	if e.rampFrom.IsZero() {
		return
	}
	age := now.Sub(e.rampFrom)
	if age >= cfg.SlowStart/warmupDivisor {
		e.warmingUp = false
	}
	if age >= cfg.SlowStart {
		e.rampFrom = 0
		return
	}
	p.rebuildBy(now.Add(cfg.SlowStart / rampSteps))
}

// updateWeight sets the weight of a target: its slots, clamped to a range
// around the median, times the fraction that it has ramped up to, and times
// warmupWeight while it announces that it is warming up.
func (e *entry) updateWeight(now instant, cfg *Config, median int) {
	w := float64(median)
	if e.Slots > 0 {
		w = min(max(float64(e.Slots), w/maxSlotsRatio), w*maxSlotsRatio)
	}
	e.fullWeight = w
	if !e.rampFrom.IsZero() {
		done := float64(now.Sub(e.rampFrom)) / float64(cfg.SlowStart)
		w *= rampStart + (1-rampStart)*min(max(done, 0), 1)
	}
	if e.load.Cold && now.Sub(e.loadAt) < cfg.MaxLoadAge {
		w *= warmupWeight
		e.pool.rebuildBy(e.loadAt.Add(cfg.MaxLoadAge))
	}
	e.weight = w
}

// medianSlots returns the median of the announced slots, at least 1.
func (p *pool) medianSlots() int {
	p.slots = p.slots[:0]
	for _, e := range p.entries {
		if e.Slots > 0 {
			p.slots = append(p.slots, e.Slots)
		}
	}
	if len(p.slots) == 0 {
		return 1
	}
	slices.Sort(p.slots)
	return p.slots[len(p.slots)/2]
}
