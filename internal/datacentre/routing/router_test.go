package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"heathershed/internal/contract"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// model tracks the expected state of the targets beside the Router.
type model struct {
	*simulation
	up       []linkState
	leaving  []bool
	inFlight []Choice
}

// step applies one random event and returns a description of the violation, if
// any.
func (m *model) step() string {
	i := m.rng.Intn(len(m.fakes))
	f := m.fakes[i]
	m.now = m.now.Add(time.Duration(m.rng.Intn(200)) * time.Millisecond)
	switch m.rng.Intn(12) {
	case 0:
		up := m.rng.Intn(3) > 0
		m.up[i] = linkDown
		if up {
			m.up[i] = linkUp
		}
		m.setLinked(i, up)
	case 1:
		m.leaving[i] = true
		m.router.MarkLeaving(m.now, f.VM, f.Incarnation)
	case 2:
		m.router.MarkLeaving(m.now, f.VM, f.Incarnation-1) // reports an old incarnation
	case 3:
		m.restart(i)
		m.leaving[i] = false
	case 4:
		m.setTargets()
	case 5, 6, 7:
		return m.pickOne()
	default:
		m.endOne()
	}
	return ""
}

func (m *model) usable(i int) bool { return !m.leaving[i] && m.up[i] == linkUp }

func (m *model) active(i int) bool { return m.router.t.byVM[m.fakes[i].VM].phase == phaseActive }

func (m *model) pickOne() string {
	q := Query{Service: "s", Order: m.rng.Intn(2) == 0, Random: m.rng.Uint64()}
	for i := range q.Exclude {
		if m.rng.Intn(2) == 0 {
			q.Exclude[i] = m.fakes[m.rng.Intn(len(m.fakes))].VM
		}
	}
	c, reason := m.router.Pick(m.now, q)
	candidates, untried := 0, 0 // both without ejected targets
	for i, f := range m.fakes {
		if m.usable(i) && m.active(i) {
			candidates++
			if !q.excludes(f.VM) {
				untried++
			}
		}
	}
	if reason != contract.ReasonNone {
		if untried > 0 {
			return fmt.Sprintf("no target picked, though %d are usable", untried)
		}
		return ""
	}
	m.inFlight = append(m.inFlight, c)
	for i, f := range m.fakes {
		if f.VM != c.Target.VM {
			continue
		}
		switch {
		case !m.usable(i):
			return fmt.Sprintf("picked unusable %s: leaving %v, link %v", f.VM, m.leaving[i], m.up[i])
		case f.Incarnation != c.Target.Incarnation:
			return "picked an old incarnation"
		case q.Order && candidates > 0 && !m.active(i):
			return "an order went to an ejected target while others are usable"
		case untried > 0 && q.excludes(f.VM):
			return "picked an excluded target while another is usable"
		}
	}
	return ""
}

func (m *model) endOne() {
	if len(m.inFlight) == 0 {
		return
	}
	k := m.rng.Intn(len(m.inFlight))
	c := m.inFlight[k]
	m.inFlight = append(m.inFlight[:k], m.inFlight[k+1:]...)
	reasons := []contract.Reason{contract.ReasonNone, contract.ReasonUpstreamFailed, contract.ReasonOverload,
		contract.ReasonLinkLost, contract.ReasonDeadline, contract.ReasonLeaving}
	res := Result{Latency: time.Duration(m.rng.Intn(1e9)), Reason: reasons[m.rng.Intn(len(reasons))], HasLoad: true,
		Load: Load{InFlight: m.rng.Uint32(), Limit: m.rng.Uint32(), Cold: m.rng.Intn(2) == 0}}
	if c.Target.VM == "vm0" && m.rng.Intn(10) > 0 { // fails more often than the others
		res.Reason = contract.ReasonUpstreamFailed
	}
	if res.Reason == contract.ReasonNone {
		res.Verdict = contract.Ran
	}
	for i, f := range m.fakes {
		if res.Reason == contract.ReasonLeaving && f.VM == c.Target.VM && f.Incarnation == c.Target.Incarnation {
			m.leaving[i] = true
		}
	}
	m.router.Done(m.now, c, res)
}

func TestRandomEvents(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(7)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("only usable targets are picked", prop.ForAll(
		func(seed int64, size int) string {
			locations := []location{local, near, far, local, near, far, local}
			m := &model{simulation: newSimulation(locations[:size]...), leaving: make([]bool, size), up: make([]linkState, size)}
			m.rng = rand.New(rand.NewSource(seed))
			for i := range m.up {
				m.up[i] = linkUp
			}
			for range 400 {
				if wrong := m.step(); wrong != "" {
					return wrong
				}
			}
			inFlight := 0
			for _, c := range m.inFlight {
				if c.entry == m.router.t.byVM[c.Target.VM] {
					inFlight++
				}
			}
			for _, s := range m.router.Snapshot(m.now) {
				inFlight -= s.InFlight
			}
			if inFlight != 0 {
				return fmt.Sprintf("calls in flight minus InFlight of Snapshot = %d, want 0", inFlight)
			}
			return ""
		}, gen.Int64(), gen.IntRange(1, 7)))
	properties.TestingRun(t)
}

func TestNoTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(DefaultConfig("own", "a", "r"))
	pick := func() contract.Reason {
		c, reason := r.Pick(now, Query{Service: "s", Random: 5})
		r.Done(now, c, Result{Verdict: contract.Ran})
		return reason
	}
	steps := []struct {
		name string
		do   func()
		want contract.Reason
	}{
		{"no targets listed", func() {}, contract.ReasonNoUpstream},
		{"listed, no link yet", func() { r.SetTargets(now, []Target{{VM: "x", Service: "s", Incarnation: 5}}) }, contract.ReasonNone},
		{"link down", func() { r.SetLinked(now, "x", false) }, contract.ReasonNoUpstream},
		{"link up again", func() { r.SetLinked(now, "x", true) }, contract.ReasonNone},
		{"reports a restart", func() {
			c, _ := r.Pick(now, Query{Service: "s"})
			r.Done(now, c, Result{Verdict: contract.NotRun, Reason: contract.ReasonStaleTarget})
		}, contract.ReasonNoUpstream},
		{"no new incarnation within staleTimeout", func() { now = now.Add(staleTimeout) }, contract.ReasonNone},
		{"leaving", func() { r.MarkLeaving(now, "x", 5) }, contract.ReasonNoUpstream},
		{"listed again, still leaving", func() { r.SetTargets(now, []Target{{VM: "x", Service: "s", Incarnation: 5}}) }, contract.ReasonNoUpstream},
		{"new incarnation", func() { r.SetTargets(now, []Target{{VM: "x", Service: "s", Incarnation: 6}}) }, contract.ReasonNone},
		{"outdated list", func() { r.SetTargets(now, []Target{{VM: "x", Service: "s", Incarnation: 5, Leaving: true}}) }, contract.ReasonNone},
		{"not listed any more", func() { r.SetTargets(now, nil) }, contract.ReasonNoUpstream},
	}
	for _, s := range steps {
		s.do()
		if got := pick(); got != s.want {
			t.Errorf("%s: reason %v, want %v", s.name, got, s.want)
		}
	}
}

func TestShedsEverywhere(t *testing.T) {
	sim := newSimulation(local, near)
	sim.addUnlinked(3)
	level := contract.LevelOf(contract.ClassLookup, 500)
	announce := func(i int, threshold contract.Level) {
		c, _ := sim.router.Pick(sim.now, Query{Service: "s", Exclude: [4]string{sim.fakes[1-i].VM}})
		sim.router.Done(sim.now, c, Result{Verdict: contract.Ran, HasLoad: true, Load: Load{Level: threshold}})
	}
	expect := func(name string, want bool) {
		if got := sim.router.ShedsEverywhere(sim.now, "s", level); got != want {
			t.Errorf("%s: ShedsEverywhere = %v", name, got)
		}
	}
	expect("nothing announced", false)
	announce(0, level+1)
	expect("one has not announced", false)
	announce(1, level+1)
	expect("both shed", true)
	announce(1, level)
	expect("one admits the level", false)
	sim.setLinked(1, false)
	expect("its link is down", true)
	sim.now = sim.now.Add(defaultMaxLoadAge)
	expect("announcements too old", false)
}

func TestEstimateReturnsToBaseline(t *testing.T) {
	var e estimate
	e.add(firstInstant, 90, 0.5, 10, time.Second)
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{-time.Second, 50}, {0, 50}, {time.Second / 4, 40}, {time.Second / 2, 30}, {time.Second, 10}, {time.Hour, 10}} {
		if got := e.read(firstInstant.Add(c.age), 10, time.Second); got != c.want {
			t.Errorf("after %v: %v, want %v", c.age, got, c.want)
		}
	}
}

// fleet returns targets at the scale the project is built for: 600 VMs, 89
// services, 4 data centres.
func fleet() []Target {
	targets := make([]Target, 600)
	for i := range targets {
		datacentre := i % 4
		targets[i] = Target{
			VM: fmt.Sprintf("vm-%03d", i), Service: fmt.Sprintf("service-%02d", i%89), Incarnation: 1, Slots: 30,
			Datacentre: fmt.Sprint("dc", datacentre), Region: fmt.Sprint("region", datacentre/2),
		}
	}
	return targets
}

func TestLinksAreBalanced(t *testing.T) {
	targets := fleet()
	now := time.Unix(1000, 0)
	held, wanted, notReplaced := map[string]int{}, map[string]int{}, map[string]bool{}
	least, most := 1000, 0
	for i, own := range targets {
		r := New(DefaultConfig(own.VM, own.Datacentre, own.Region))
		r.SetTargets(now, targets)
		services := []string{}
		for k := 1; k <= 3; k++ { // each service calls three others
			services = append(services, fmt.Sprintf("service-%02d", (i%89*5+k*13)%89))
		}
		links := r.LinkTargets(now, services)
		least, most = min(least, len(links)), max(most, len(links))
		for _, l := range links {
			held[l.VM]++
		}
		for _, s := range services {
			wanted[s]++
		}
		for _, target := range targets {
			if target.VM != own.VM && target.Datacentre == own.Datacentre && slices.Contains(services, target.Service) && !slices.Contains(links, target) {
				t.Errorf("%s has no link to %s in its own data centre", own.VM, target.VM)
			}
		}
		lost := links[0].VM
		r.SetLinked(now, lost, false)
		if again := r.LinkTargets(now, services); len(again) != len(links)+1 {
			notReplaced[lost] = true
		}
	}
	fewest, largest := 1000, 0
	for _, target := range targets {
		if wanted[target.Service] > 0 {
			fewest, largest = min(fewest, held[target.VM]), max(largest, held[target.VM])
		}
	}
	t.Logf("links held by a node: %d to %d; links to a target: %d to %d", least, most, fewest, largest)
	mean := 3 * defaultSubsetSize // links of a node, and so of a target
	if least < mean/2 || most > 2*mean || fewest < mean/2 || largest > 2*mean {
		t.Errorf("links out of bounds, want half to twice %d", mean)
	}
	if len(notReplaced) > 0 {
		t.Errorf("a failed link was not replaced at %d nodes", len(notReplaced))
	}
}

// Every target needs a link from some caller, however few callers there are, and
// every caller a link to another data centre.
func TestEveryTargetHasALink(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := []Target{{VM: "far0", Datacentre: "c", Region: "s"}, {VM: "far1", Datacentre: "c", Region: "s"}, {VM: "far2", Datacentre: "c", Region: "s"}}
	for i := range 6 {
		targets = append(targets, Target{VM: fmt.Sprint("local", i), Datacentre: "a", Region: "r"})
	}
	for i := range targets {
		targets[i].Service = "s"
	}
	for _, callers := range []int{1, 2, 5, 20} {
		linked := map[string]int{}
		list := targets
		for i := range callers {
			list = append(list, Target{VM: fmt.Sprint("caller", i), Service: "callers", Datacentre: "a", Region: "r"})
		}
		for i := range callers {
			r := New(DefaultConfig(fmt.Sprint("caller", i), "a", "r"))
			r.SetTargets(now, list)
			away := 0
			for _, l := range r.LinkTargets(now, []string{"s", "s", "unknown"}) {
				linked[l.VM]++
				if l.Datacentre != "a" {
					away++
				}
			}
			if away == 0 {
				t.Errorf("%d callers: one has no link to another data centre", callers)
			}
		}
		for _, target := range targets {
			if linked[target.VM] == 0 {
				t.Errorf("%d callers: none links to %s", callers, target.VM)
			}
			if more := linked[target.VM] - linked["local0"]; target.Datacentre == "a" && (more < -1 || more > 1) {
				t.Errorf("%d callers: links per target %v out of balance", callers, linked)
			}
		}
	}
}

func BenchmarkPickDone(b *testing.B) {
	now := time.Unix(1000, 0)
	targets := fleet()
	one := fleet()
	for i := range one {
		one[i].Service = "service-00"
	}
	for name, list := range map[string][]Target{"89services": targets, "1service": one} {
		b.Run(name, func(b *testing.B) {
			r := New(DefaultConfig("vm-000", "dc0", "region0"))
			r.SetTargets(now, list)
			for _, target := range list {
				r.SetLinked(now, target.VM, true)
			}
			q := Query{Service: "service-00"}
			res := Result{Latency: 10 * time.Millisecond, Verdict: contract.Ran, HasLoad: true, Load: Load{InFlight: 3, Limit: 30}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Random = mix(uint64(i))
				c, _ := r.Pick(now, q)
				now = now.Add(time.Microsecond)
				r.Done(now, c, res)
			}
		})
	}
}

func BenchmarkLinks(b *testing.B) {
	now := time.Unix(1000, 0)
	r := New(DefaultConfig("vm-000", "dc0", "region0"))
	r.SetTargets(now, fleet())
	var services []string
	for i := range 89 {
		services = append(services, fmt.Sprintf("service-%02d", i))
	}
	for _, n := range []int{3, 89} {
		b.Run(fmt.Sprint(n, "services"), func(b *testing.B) {
			for b.Loop() {
				r.LinkTargets(now, services[:n])
			}
		})
	}
	b.Run("SetTargets", func(b *testing.B) {
		for b.Loop() {
			r.SetTargets(now, fleet())
		}
	})
}
