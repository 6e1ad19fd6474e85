package routing

import (
	"fmt"
	"math/rand"
	"time"

	"heathershed/internal/contract"
)

// fake is an upstream under the injected clock: calls take latency, longer
// where more are in flight than it has slots.
type fake struct {
	Target
	latency  time.Duration
	slots    int
	rest     int // calls in flight from other nodes
	refuse   float64
	fail     float64
	stuck    bool // never answers
	mixed    bool // answers one call in four and fails the others
	announce func(inFlight int) Load
	inFlight int
	got      [2]int // calls by Query.Order
}

// open is one call under way.
type open struct {
	end    time.Time
	to     *fake
	choice Choice
	res    Result
}

// world drives one Router against fakes.
type world struct {
	router *Router
	rng    *rand.Rand
	now    time.Time
	fakes  []*fake
	calls  []open
	none   int // picks without a target
	// ordersOnly is for a service that takes nothing but orders.
	ordersOnly bool
}

// place is where a target of the world stands.
type place struct{ datacentre, region string }

var local, near, far = place{"a", "r"}, place{"b", "r"}, place{"c", "s"}

func newWorld(places ...place) *world {
	w := &world{router: New(DefaultConfig("own", "a", "r")), rng: rand.New(rand.NewSource(42)), now: time.Unix(1000, 0)}
	for i, p := range places {
		f := &fake{latency: 10 * time.Millisecond, slots: 30}
		f.Target = Target{VM: fmt.Sprint("vm", i), Service: "s", Datacentre: p.datacentre, Region: p.region, Incarnation: 1, Slots: 30}
		w.fakes = append(w.fakes, f)
	}
	w.adopt()
	for i := range w.fakes {
		w.link(i, true)
	}
	return w
}

func (w *world) adopt() {
	targets := make([]Target, len(w.fakes))
	for i, f := range w.fakes {
		targets[i] = f.Target
	}
	w.router.SetTargets(w.now, targets)
}

func (w *world) link(i int, up bool) { w.router.SetLinked(w.now, w.fakes[i].VM, up) }

// unlinked adds targets that the node has no links to.
func (w *world) unlinked(n int) {
	for i := range n {
		f := &fake{Target: w.fakes[0].Target}
		f.VM = fmt.Sprint("unlinked", i)
		w.fakes = append(w.fakes, f)
	}
	w.adopt()
}

func (w *world) restart(i int) {
	w.fakes[i].Incarnation++
	w.adopt()
}

// run sends calls at the given rate for the given time, one in five of them an
// order, and returns the share of the calls that each target got.
func (w *world) run(total time.Duration, perSecond int) []float64 {
	for _, f := range w.fakes {
		f.got = [2]int{}
	}
	sent := 0
	for step := time.Duration(0); step < total; step += time.Millisecond {
		w.now = w.now.Add(time.Millisecond)
		w.finish()
		for due := int(step.Seconds() * float64(perSecond)); sent < due; sent++ {
			w.call(w.ordersOnly || w.rng.Intn(5) == 0)
		}
	}
	shares := make([]float64, len(w.fakes))
	for i, f := range w.fakes {
		shares[i] = float64(f.got[0]+f.got[1]) / float64(sent)
	}
	return shares
}

// call picks a target and works out how the call will end.
func (w *world) call(order bool) {
	c, reason := w.router.Pick(w.now, Query{Service: "s", Order: order, Random: w.rng.Uint64()})
	if reason != contract.ReasonNone {
		w.none++
		return
	}
	var f *fake
	for _, f = range w.fakes {
		if f.VM == c.Target.VM {
			break
		}
	}
	f.got[orderIndex(order)]++
	f.inFlight++
	takes := f.latency + w.router.t.cfg.Distance(f.Region, f.Datacentre)
	if n := f.inFlight + f.rest; n > f.slots {
		takes = takes * time.Duration(n) / time.Duration(f.slots)
	}
	res := Result{Verdict: contract.Ran}
	switch {
	case f.stuck:
		takes, res.Verdict, res.Reason = time.Second, contract.MayHaveRun, contract.ReasonDeadline
	case w.rng.Float64() < f.refuse:
		takes, res.Verdict, res.Reason = time.Millisecond, contract.NotRun, contract.ReasonOverload
	case w.rng.Float64() < f.fail, f.mixed && (f.got[0]+f.got[1])%4 != 0:
		takes, res.Verdict, res.Reason = time.Millisecond, contract.MayHaveRun, contract.ReasonUpstreamFailed
	}
	res.Latency = takes
	w.calls = append(w.calls, open{w.now.Add(takes), f, c, res})
}

// finish ends the calls whose time has come.
func (w *world) finish() {
	kept := w.calls[:0]
	for _, c := range w.calls {
		if c.end.After(w.now) {
			kept = append(kept, c)
			continue
		}
		c.to.inFlight--
		if c.to.announce != nil {
			c.res.HasLoad, c.res.Load = true, c.to.announce(c.to.inFlight+c.to.rest)
		}
		w.router.Done(w.now, c.choice, c.res)
	}
	w.calls = kept
}
