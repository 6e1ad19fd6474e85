package routing

import (
	"slices"
	"time"
)

const (
	// rampStart is the share of its weight that a target starts with.
	rampStart = 0.1
	// rampSteps is the number of steps in which a weight ramps up.
	rampSteps = 40
	// slotsSpread bounds announced slots to this factor around the median.
	slotsSpread = 4
	// coldLead is how far calls to a tier that ramps up run ahead of its weight:
	// it gets all of them from two thirds of its weight on, against a warm one.
	coldLead = 1.5
	// coldPart: a target that has not answered yet takes no orders for this part
	// of the ramp, while others stand.
	coldPart = 4
	// coldHint is the share of its weight that a target keeps which announces
	// itself as cold.
	coldHint = 0.5
	// never is a time after all others in practice.
	never = 1000 * time.Hour
)

// pool is the targets of one service.
type pool struct {
	service string
	// entries are sorted by VM.
	entries []*entry
	// established is set once a list of targets was adopted.
	established bool
	// latency is the mean over all targets, without distances.
	latency estimate

	// dirty asks for review before the next pick; so does the time reviewAt.
	dirty    bool
	reviewAt instant
	// panicking is set where targets that are out are used as well.
	panicking bool
	// sets are the targets that may be picked, by preference.
	sets [numSets]set
	// probes are the targets that wait for a call to try them.
	probes []*entry
	// slots is scratch space of medianSlots.
	slots []int
}

// The sets of a pool.
const (
	// setWarm: neither out nor cold.
	setWarm = iota
	// setIn: not out.
	setIn
	// setAll: also those that are out as outliers.
	setAll
	numSets
)

// set is the targets that may be picked, by nearness.
type set [numTiers]tier

// tier is the targets at one nearness. sums holds the running sums of their
// weights, full the sum of the weights that they ramp up to. guide holds, for
// each n-th part of the sums, the index at which to look.
type tier struct {
	members []*entry
	sums    []float64
	guide   []int32
	full    float64
}

func (s *set) reset() {
	for i := range s {
		s[i].members = s[i].members[:0]
		s[i].sums = s[i].sums[:0]
		s[i].full = 0
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
	t.full += e.full
}

// review works out anew who may be picked and with which weight.
func (p *pool) review(now instant, cfg *Config) {
	p.dirty = false
	p.reviewAt = now.Add(never)
	median := p.medianSlots()
	for _, e := range p.entries {
		p.advance(e, now, cfg)
		e.weigh(now, cfg, median)
	}
	usable := p.bestLink()
	p.panicking = p.fewIn(usable, now, cfg)
	p.probes = p.probes[:0]
	for i := range p.sets {
		p.sets[i].reset()
	}
	for _, e := range p.entries {
		if e.usable(usable, now) {
			p.sort(e)
		}
	}
	for i := range p.sets {
		for k := range p.sets[i] {
			p.sets[i][k].index()
		}
	}
}

// sort puts a usable target into the sets that it belongs to.
func (p *pool) sort(e *entry) {
	p.sets[setAll].add(e)
	switch e.phase {
	case phaseProbing:
		p.probes = append(p.probes, e)
	case phaseIn:
		p.sets[setIn].add(e)
		if !e.cold {
			p.sets[setWarm].add(e)
		}
	}
}

// preferences returns the sets in the order in which a call tries them. Orders
// go to cold targets, and to those that are out, only where no others stand.
func (p *pool) preferences(order bool) []int {
	switch {
	case order:
		return preferOrder[:]
	case p.panicking:
		return preferAll[:]
	default:
		return preferIn[:]
	}
}

var (
	preferOrder = [...]int{setWarm, setIn, setAll}
	preferIn    = [...]int{setIn, setAll}
	preferAll   = [...]int{setAll}
)

// bestLink is the link state that a target must have to be used: up, or where
// no link of the service is up, unknown.
func (p *pool) bestLink() linkState {
	for _, e := range p.entries {
		if e.link == linkUp && !e.leaving {
			return linkUp
		}
	}
	return linkUnknown
}

// usable reports whether nothing but its record as an outlier keeps the target
// from being picked.
func (e *entry) usable(link linkState, now instant) bool {
	return e.link == link && !e.leaving && !now.Before(e.staleUntil)
}

// fewIn reports whether so many usable targets are out as outliers that the rest
// would be overrun, or whether the rest fail as well; then all are used.
func (p *pool) fewIn(link linkState, now instant, cfg *Config) bool {
	usable, in, failed := 0, 0, 0.0
	for _, e := range p.entries {
		if !e.usable(link, now) {
			continue
		}
		usable++
		if e.phase == phaseIn {
			in++
			failed += e.failed.read(now, 0, refusedFade)
		}
	}
	if in == usable {
		return false
	}
	few := float64(in) < float64(usable)*(1-cfg.MaxEjectedShare)
	return few || failed > failingShare*float64(in)
}

// reviewBy asks for a review at the given time at the latest.
func (p *pool) reviewBy(t instant) {
	if t.Before(p.reviewAt) {
		p.reviewAt = t
	}
}

// advance moves a target on to where the passing of time alone has brought it.
func (p *pool) advance(e *entry, now instant, cfg *Config) {
	if now.Before(e.staleUntil) {
		p.reviewBy(e.staleUntil)
	}
	p.advancePhase(e, now, cfg)
	if e.rampFrom.IsZero() {
		return
	}
	age := now.Sub(e.rampFrom)
	if age >= cfg.SlowStart/coldPart {
		e.cold = false
	}
	if age >= cfg.SlowStart {
		e.rampFrom = 0
		return
	}
	p.reviewBy(now.Add(cfg.SlowStart / rampSteps))
}

// weigh sets the weight of a target: its slots, cut to a range around the
// median, and the part of them that it has ramped up to.
func (e *entry) weigh(now instant, cfg *Config, median int) {
	w := float64(median)
	if e.Slots > 0 {
		w = min(max(float64(e.Slots), w/slotsSpread), w*slotsSpread)
	}
	e.full = w
	if !e.rampFrom.IsZero() {
		done := float64(now.Sub(e.rampFrom)) / float64(cfg.SlowStart)
		w *= rampStart + (1-rampStart)*min(max(done, 0), 1)
	}
	if e.load.Cold && now.Sub(e.loadAt) < cfg.MaxLoadAge {
		w *= coldHint
		e.pool.reviewBy(e.loadAt.Add(cfg.MaxLoadAge))
	}
	e.weight = w
}

// medianSlots is the median of the announced slots, at least 1.
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
