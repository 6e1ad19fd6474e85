package routing

import (
	"cmp"
	"slices"

	"heathershed/internal/contract"
)

// table holds what a node knows about all targets. It uses no clock; Router
// makes it safe for concurrent use.
type table struct {
	cfg   Config
	pools map[string]*pool
	byVM  map[string]*entry
	// links holds the last reported link state by VM, also for VMs that are not
	// listed yet.
	links map[string]linkState
}

func newTable(cfg Config) *table {
	return &table{
		cfg:   cfg.withDefaults(),
		pools: make(map[string]*pool),
		byVM:  make(map[string]*entry),
		links: make(map[string]linkState),
	}
}

func (t *table) setTargets(now instant, targets []Target) {
	old := t.byVM
	t.byVM = make(map[string]*entry, len(targets))
	for _, p := range t.pools {
		p.entries = p.entries[:0]
		p.dirty = true
	}
	for _, target := range targets {
		if known := t.byVM[target.VM]; known != nil && known.Incarnation >= target.Incarnation {
			continue
		}
		t.byVM[target.VM] = t.entryFor(now, target, old[target.VM])
	}
	for _, e := range t.byVM {
		e.pool.entries = append(e.pool.entries, e)
	}
	for _, p := range t.pools {
		p.established = true
		slices.SortFunc(p.entries, func(a, b *entry) int { return cmp.Compare(a.VM, b.VM) })
	}
	t.prune(old)
}

// prune deletes services without targets and the link states of VMs that are
// gone.
func (t *table) prune(old map[string]*entry) {
	for vm := range old {
		if t.byVM[vm] == nil {
			delete(t.links, vm)
		}
	}
	for service, p := range t.pools {
		if len(p.entries) == 0 {
			delete(t.pools, service)
		}
	}
}

// entryFor returns the entry of a target: the previous entry if the incarnation
// is unchanged or the list is outdated, otherwise a new one. A new target warms
// up only if its service was known before; otherwise it is probably this node
// that is new, not the target.
func (t *table) entryFor(now instant, target Target, prev *entry) *entry {
	if prev != nil && prev.Service == target.Service {
		if prev.Incarnation == target.Incarnation {
			prev.Target = target
			prev.leaving = prev.leaving || target.Leaving
			t.setDistance(prev)
		}
		if prev.Incarnation >= target.Incarnation {
			return prev
		}
	}
	e := &entry{
		Target:  target,
		pool:    t.pool(target.Service),
		hash:    hashString(target.VM),
		link:    t.links[target.VM],
		leaving: target.Leaving,
	}
	t.setDistance(e)
	if e.pool.established {
		e.rampFrom = now
		e.warmingUp = true
	}
	return e
}

// setDistance sets the tier and the distance of a target.
func (t *table) setDistance(e *entry) {
	e.tier = tierOf(t.cfg.Region, t.cfg.Datacentre, e.Region, e.Datacentre)
	e.distance = max(t.cfg.Distance(e.Region, e.Datacentre), 0)
	if e.VM == t.cfg.VM {
		e.link = linkUp
	}
}

// pool returns the pool of a service and creates it if necessary.
func (t *table) pool(service string) *pool {
	p := t.pools[service]
	if p == nil {
		p = &pool{service: service, dirty: true}
		t.pools[service] = p
	}
	return p
}

// pick chooses a target and counts the call as in flight.
func (t *table) pick(now instant, q Query) (Choice, contract.Reason) {
	p := t.pools[q.Service]
	if p == nil {
		return Choice{}, contract.ReasonNoUpstream
	}
	e := p.pick(now, &q, &t.cfg)
	if e == nil {
		return Choice{}, contract.ReasonNoUpstream
	}
	e.inFlight++
	return Choice{Target: e.Target, entry: e, order: q.Order}, contract.ReasonNone
}

// done records how a picked call ended.
func (t *table) done(now instant, c Choice, res *Result) {
	e := c.entry
	if e == nil {
		return
	}
	e.inFlight--
	if res.HasLoad {
		e.updateLoad(now, &res.Load)
	}
	o := classify(res, e.link)
	e.recordLatency(now, res, o)
	refusal := 0.0
	if o == outcomeRefused {
		refusal = 1
	}
	if o != outcomeNeutral {
		e.refusalShare[orderIndex(c.order)].add(now, refusal, refusalGain, 0, shareDecay)
	}
	e.pool.record(e, now, o, &t.cfg)
	switch res.Reason {
	case contract.ReasonLeaving:
		e.setLeaving()
	case contract.ReasonStaleTarget:
		e.staleUntil = now.Add(staleTimeout)
		e.pool.dirty = true
	}
}

// recordLatency records the latency of a call. The latency of a call that ran
// into its deadline is at least the time waited, so that time counts if it
// exceeds the estimate.
func (e *entry) recordLatency(now instant, res *Result, o outcome) {
	switch {
	case o == outcomeAnswered:
		e.addLatency(now, res.Latency)
	case o == outcomeFailed && res.Reason == contract.ReasonDeadline:
		if res.Latency.Seconds() > e.latency.value {
			e.addLatency(now, res.Latency)
		}
	}
}

// updateLoad records an announced load.
func (e *entry) updateLoad(now instant, load *Load) {
	if load.Cold != e.load.Cold {
		e.pool.dirty = true
	}
	e.load = *load
	e.loadAt = now
	if load.Leaving {
		e.setLeaving()
	}
}

// setLeaving excludes the target for the rest of its incarnation.
func (e *entry) setLeaving() {
	if e.leaving {
		return
	}
	e.leaving = true
	e.pool.dirty = true
}

// setLinked records the state of the link to a VM. A target whose link comes
// back ramps up, so that not all nodes return to it with full load at once.
func (t *table) setLinked(now instant, vm string, up bool) {
	state := linkDown
	if up {
		state = linkUp
	}
	t.links[vm] = state
	e := t.byVM[vm]
	if e == nil || e.link == state {
		return
	}
	if up && e.link == linkDown {
		e.rampFrom = now
	}
	e.link = state
	e.pool.dirty = true
}

func (t *table) markLeaving(vm string, incarnation uint64) {
	if e := t.byVM[vm]; e != nil && e.Incarnation <= incarnation {
		e.setLeaving()
	}
}

// shedsEverywhere reports whether every usable target has recently announced a
// threshold above the level.
func (t *table) shedsEverywhere(now instant, service string, level contract.Level) bool {
	p := t.pools[service]
	if p == nil {
		return false
	}
	any := false
	link := p.requiredLink()
	for _, e := range p.entries {
		if !e.usable(link, now) {
			continue
		}
		fresh := !e.loadAt.IsZero() && now.Sub(e.loadAt) < t.cfg.MaxLoadAge
		if !fresh || level >= e.load.Level {
			return false
		}
		any = true
	}
	return any
}
