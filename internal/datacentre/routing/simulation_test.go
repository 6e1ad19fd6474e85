package routing

import (
	"fmt"
	"math/rand"
	"time"

	"heathershed/internal/contract"
)

// fakeUpstream is an upstream driven by the simulated clock. Calls take
// latency, and longer if more are in flight than it has slots.
type fakeUpstream struct {
	Target
	latency       time.Duration
	slots         int
	otherInFlight int // calls in flight from other nodes
	refuse        float64
	fail          float64
	stuck         bool // never answers
	mixed         bool // answers one of four calls and fails the others
	announce      func(inFlight int) Load
	inFlight      int
	received      [2]int // calls by Query.Order
}

// pendingCall is a call in progress.
type pendingCall struct {
	end    time.Time
	to     *fakeUpstream
	choice Choice
	res    Result
}

// simulation drives one Router against fake upstreams.
type simulation struct {
	router   *Router
	rng      *rand.Rand
	now      time.Time
	fakes    []*fakeUpstream
	calls    []pendingCall
	unrouted int // calls for which no target was picked
	// ordersOnly simulates a service that takes orders only.
	ordersOnly bool
}

// location is the location of a target.
type location struct{ datacentre, region string }

var local, near, far = location{"a", "r"}, location{"b", "r"}, location{"c", "s"}

func newSimulation(locations ...location) *simulation {
	sim := &simulation{router: New(DefaultConfig("own", "a", "r")), rng: rand.New(rand.NewSource(42)), now: time.Unix(1000, 0)}
	for i, p := range locations {
		f := &fakeUpstream{latency: 10 * time.Millisecond, slots: 30}
		f.Target = Target{VM: fmt.Sprint("vm", i), Service: "s", Datacentre: p.datacentre, Region: p.region, Incarnation: 1, Slots: 30}
		sim.fakes = append(sim.fakes, f)
	}
	sim.setTargets()
	for i := range sim.fakes {
		sim.setLinked(i, true)
	}
	return sim
}

func (sim *simulation) setTargets() {
	targets := make([]Target, len(sim.fakes))
	for i, f := range sim.fakes {
		targets[i] = f.Target
	}
	sim.router.SetTargets(sim.now, targets)
}

func (sim *simulation) setLinked(i int, up bool) { sim.router.SetLinked(sim.now, sim.fakes[i].VM, up) }

// addUnlinked adds targets to which the node has no links.
func (sim *simulation) addUnlinked(n int) {
	for i := range n {
		f := &fakeUpstream{Target: sim.fakes[0].Target}
		f.VM = fmt.Sprint("unlinked", i)
		sim.fakes = append(sim.fakes, f)
	}
	sim.setTargets()
}

func (sim *simulation) restart(i int) {
	sim.fakes[i].Incarnation++
	sim.setTargets()
}

// run sends calls at the given rate for the given time, one in five of them an
// order, and returns the share of the calls that each target got.
func (sim *simulation) run(total time.Duration, perSecond int) []float64 {
	for _, f := range sim.fakes {
		f.received = [2]int{}
	}
	sent := 0
	for step := time.Duration(0); step < total; step += time.Millisecond {
		sim.now = sim.now.Add(time.Millisecond)
		sim.finish()
		for due := int(step.Seconds() * float64(perSecond)); sent < due; sent++ {
			sim.call(sim.ordersOnly || sim.rng.Intn(5) == 0)
		}
	}
	shares := make([]float64, len(sim.fakes))
	for i, f := range sim.fakes {
		shares[i] = float64(f.received[0]+f.received[1]) / float64(sent)
	}
	return shares
}

// call picks a target and determines how the call will end.
func (sim *simulation) call(order bool) {
	c, reason := sim.router.Pick(sim.now, Query{Service: "s", Order: order, Random: sim.rng.Uint64()})
	if reason != contract.ReasonNone {
		sim.unrouted++
		return
	}
	var f *fakeUpstream
	for _, f = range sim.fakes {
		if f.VM == c.Target.VM {
			break
		}
	}
	f.received[orderIndex(order)]++
	f.inFlight++
	takes := f.latency + sim.router.t.cfg.Distance(f.Region, f.Datacentre)
	if n := f.inFlight + f.otherInFlight; n > f.slots {
		takes = takes * time.Duration(n) / time.Duration(f.slots)
	}
	res := Result{Verdict: contract.Ran}
	switch {
	case f.stuck:
		takes, res.Verdict, res.Reason = time.Second, contract.MayHaveRun, contract.ReasonDeadline
	case sim.rng.Float64() < f.refuse:
		takes, res.Verdict, res.Reason = time.Millisecond, contract.NotRun, contract.ReasonOverload
	case sim.rng.Float64() < f.fail, f.mixed && (f.received[0]+f.received[1])%4 != 0:
		takes, res.Verdict, res.Reason = time.Millisecond, contract.MayHaveRun, contract.ReasonUpstreamFailed
	}
	res.Latency = takes
	sim.calls = append(sim.calls, pendingCall{sim.now.Add(takes), f, c, res})
}

// finish ends the calls whose end time has passed.
func (sim *simulation) finish() {
	kept := sim.calls[:0]
	for _, c := range sim.calls {
		if c.end.After(sim.now) {
			kept = append(kept, c)
			continue
		}
		c.to.inFlight--
		if c.to.announce != nil {
			c.res.HasLoad, c.res.Load = true, c.to.announce(c.to.inFlight+c.to.otherInFlight)
		}
		sim.router.Done(sim.now, c.choice, c.res)
	}
	sim.calls = kept
}
