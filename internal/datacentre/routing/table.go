package routing

import (
	"cmp"
	"slices"

	"heathershed/internal/contract"
)

// table is what a node knows about all targets. It is a plain value without a
// clock; Router makes it safe for concurrent use.
type table struct {
	cfg   Config
	pools map[string]*pool
	byVM  map[string]*entry
	// links holds what the link duty said, by VM, also before the VM is known.
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

// adopt replaces the list of targets.
func (t *table) adopt(now instant, targets []Target) {
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

// prune forgets services and links of VMs that are gone.
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

// entryFor returns the entry of a target: the one before where the same
// incarnation stays, or where the list is behind, else a fresh one. A target is
// cold where its service was known before, since it then is the target that is
// new and not this node.
func (t *table) entryFor(now instant, target Target, before *entry) *entry {
	if before != nil && before.Service == target.Service {
		if before.Incarnation == target.Incarnation {
			before.Target = target
			before.leaving = before.leaving || target.Leaving
			t.place(before)
		}
		if before.Incarnation >= target.Incarnation {
			return before
		}
	}
	e := &entry{
		Target:  target,
		pool:    t.pool(target.Service),
		hash:    hashString(target.VM),
		link:    t.links[target.VM],
		leaving: target.Leaving,
	}
	t.place(e)
	if e.pool.established {
		e.rampFrom = now
		e.cold = true
	}
	return e
}

// place sets how far away a target is.
func (t *table) place(e *entry) {
	e.tier = tierOf(t.cfg.Region, t.cfg.Datacentre, e.Region, e.Datacentre)
	e.distance = max(t.cfg.Distance(e.Region, e.Datacentre), 0)
	if e.VM == t.cfg.VM {
		e.link = linkUp
	}
}

// pool returns the pool of a service, made where there is none.
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

// done takes in how a picked call ended.
func (t *table) done(now instant, c Choice, res *Result) {
	e := c.entry
	if e == nil {
		return
	}
	e.inFlight--
	if res.HasLoad {
		e.announce(now, &res.Load)
	}
	o := outcomeOf(res, e.link)
	e.measure(now, res, o)
	refusal := 0.0
	if o == outcomeRefused {
		refusal = 1
	}
	if o != outcomeNeutral {
		e.refused[orderIndex(c.order)].add(now, refusal, refusedGain, 0, refusedFade)
	}
	e.pool.record(e, now, o, &t.cfg)
	switch res.Reason {
	case contract.ReasonLeaving:
		e.leave()
	case contract.ReasonStaleTarget:
		e.staleUntil = now.Add(staleFor)
		e.pool.dirty = true
	}
}

// measure takes in the latency of a call. A call that was given up has a
// latency of at least the time waited.
func (e *entry) measure(now instant, res *Result, o outcome) {
	switch {
	case o == outcomeAnswered:
		e.sample(now, res.Latency)
	case o == outcomeFailed && res.Reason == contract.ReasonDeadline:
		if res.Latency.Seconds() > e.latency.value {
			e.sample(now, res.Latency)
		}
	}
}

// announce takes in an announced load.
func (e *entry) announce(now instant, load *Load) {
	if load.Cold != e.load.Cold {
		e.pool.dirty = true
	}
	e.load = *load
	e.loadAt = now
	if load.Leaving {
		e.leave()
	}
}

// leave takes the target out for the rest of its incarnation.
func (e *entry) leave() {
	if e.leaving {
		return
	}
	e.leaving = true
	e.pool.dirty = true
}

// linkStateOf takes in what the link duty says about a VM. A target whose link
// comes back ramps up, so that not all nodes return to it at once.
func (t *table) linkStateOf(now instant, vm string, up bool) {
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

// leavingOf takes in that an incarnation of a VM is leaving.
func (t *table) leavingOf(vm string, incarnation uint64) {
	if e := t.byVM[vm]; e != nil && e.Incarnation <= incarnation {
		e.leave()
	}
}

// shedsEverywhere reports whether every usable target has freshly announced a
// threshold above the level.
func (t *table) shedsEverywhere(now instant, service string, level contract.Level) bool {
	p := t.pools[service]
	if p == nil {
		return false
	}
	any := false
	link := p.bestLink()
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
