package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testSlots = 20
	work      = 100 * time.Millisecond
	step      = time.Millisecond
	length    = 10 * time.Second
	testPeers = 3
)

var epoch = time.Unix(1e9, 0)

// job is a request that runs at a simulated upstream.
type job struct {
	arrived time.Duration
	began   time.Time
	left    float64 // seconds of work
	order   bool
}

// simUpstream runs as many requests at normal speed as its speed times its slots.
// More of them share that, unless it runs each of them slowly (perRequest).
type simUpstream struct {
	ramp       *Ramp // nil: a peer that is not limited
	speed      func(time.Duration) float64
	perRequest bool
	loss       func(time.Duration) float64
	running    []job
	latency    float64 // moving mean, in seconds
	lost       float64 // moving share
	took       []time.Duration
	orderAt    time.Duration // when the first order was started
	served     int
}

func (u *simUpstream) limit(now time.Time) int {
	if u.ramp == nil {
		return testSlots
	}
	return u.ramp.Limit(now, testSlots)
}

type scenario struct {
	speed      func(time.Duration) float64
	perRequest bool
	loss       func(time.Duration) float64
	load       float64 // share of the capacity of all with full speed
	evidence   bool
	ordersOnly bool
}

type simResult struct {
	up      *simUpstream
	peers   []time.Duration
	reached time.Duration // since when 0.9 of the slots could be used, to the end
	limits  []int         // each 100 ms
	idle    int           // steps in which it was idle while requests waited for the peers
	firstIn time.Duration // when its first request began
}

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// simulate runs an upstream that starts at 0 beside three that run at full speed.
// Senders know the limits, and choose the upstream with the lowest use.
func simulate(seed uint64, sc scenario) simResult {
	rng := rand.New(rand.NewPCG(7, seed))
	up := &simUpstream{ramp: &Ramp{}, speed: sc.speed, perRequest: sc.perRequest, loss: sc.loss, orderAt: -1}
	all := []*simUpstream{up}
	for range testPeers {
		all = append(all, &simUpstream{speed: constant(1), loss: constant(0), latency: work.Seconds()})
	}
	r := simResult{up: up, reached: -1, firstIn: -1}
	rate := sc.load * testSlots * float64(len(all)) / work.Seconds()
	var queue []job
	nextAt := 0.0
	up.ramp.Start(epoch, testSlots)
	for at := time.Duration(0); at < length; at += step {
		now := epoch.Add(at)
		if at%(100*time.Millisecond) == 0 {
			if sc.evidence {
				up.ramp.SetEvidence(now, Evidence{Latency: peerLatency(all), Loss: up.lost}, testSlots, len(up.running))
			}
			r.limits = append(r.limits, up.limit(now))
		}
		for ; nextAt <= at.Seconds(); nextAt += rng.ExpFloat64() / rate {
			queue = append(queue, job{arrived: at, left: work.Seconds() * (0.5 + rng.Float64()), order: sc.ordersOnly || rng.Float64() < 0.1})
		}
		queue = send(now, at, all, queue)
		if len(queue) > 0 && len(up.running) == 0 {
			r.idle++
		}
		if r.firstIn < 0 && len(up.running) > 0 {
			r.firstIn = at
		}
		for _, u := range all {
			u.run(now, at, rng)
		}
		switch {
		case up.limit(now) < testSlots*9/10:
			r.reached = -1
		case r.reached < 0:
			r.reached = at
		}
	}
	for _, u := range all[1:] {
		r.peers = append(r.peers, u.took...)
	}
	return r
}

func peerLatency(all []*simUpstream) time.Duration {
	sum := 0.0
	for _, u := range all[1:] {
		sum += u.latency
	}
	return time.Duration(sum / testPeers * float64(time.Second))
}

// send starts queued requests where the use is lowest, and returns those that wait.
func send(now time.Time, at time.Duration, all []*simUpstream, queue []job) []job {
	for i, j := range queue {
		var best *simUpstream
		lowest := 1.0
		for _, u := range all {
			if use := float64(len(u.running)) / float64(u.limit(now)); use < lowest && (u.ramp == nil || u.ramp.Admits(now, !j.order)) {
				best, lowest = u, use
			}
		}
		if best == nil {
			return append([]job(nil), queue[i:]...)
		}
		if j.order && best.orderAt < 0 && best.ramp != nil {
			best.orderAt = at
		}
		j.began = now
		best.running = append(best.running, j)
	}
	return nil
}

// run lets the requests of the upstream make progress for a step.
func (u *simUpstream) run(now time.Time, at time.Duration, rng *rand.Rand) {
	speed := u.speed(at)
	if !u.perRequest {
		speed = min(1, speed*testSlots/float64(max(len(u.running), 1)))
	}
	u.running = slices.DeleteFunc(u.running, func(j job) bool { return j.left <= 0 })
	for i := range u.running {
		j := &u.running[i]
		if j.left -= step.Seconds() * speed; j.left > 0 {
			continue
		}
		lost := rng.Float64() < u.loss(at)
		u.lost += 0.05 * (map[bool]float64{true: 1}[lost] - u.lost)
		if u.ramp != nil {
			u.ramp.Observe(now, testSlots, End{Began: j.began, Answered: !lost, Idempotent: !j.order, InFlight: len(u.running)})
		}
		if lost {
			continue
		}
		took := now.Sub(j.began)
		u.served++
		u.took = append(u.took, now.Sub(epoch)-j.arrived)
		u.latency += 0.1 * (took.Seconds() - u.latency)
	}
}

// p99 returns the 99th percentile.
func p99(d []time.Duration) time.Duration {
	d = slices.Sorted(slices.Values(d))
	return d[len(d)*99/100]
}

// Guards against an upstream that is overloaded while it is cold, and against one that
// is left idle once it is not.
func TestRampUpFollowsTheUpstream(t *testing.T) {
	const (
		coldFor   = 3 * time.Second
		tolerance = 1.5 // of the real time
		soon      = 1500 * time.Millisecond
		maxSlow   = 2.0 // p99 over that of the peers
		seeds     = 16
	)
	half := func(at time.Duration) float64 {
		if at < coldFor {
			return 0.5
		}
		return 1
	}
	failing := func(at time.Duration) float64 {
		if at < coldFor {
			return 0.5
		}
		return 0
	}
	for _, row := range []struct {
		name    string
		sc      scenario
		within  time.Duration // 0.9 of the slots, from then to the end
		reaches int           // a limit that must be reached within soon, where within is 0
	}{
		{"half speed for 3 s", scenario{speed: half, loss: constant(0), load: 0.6, evidence: true}, time.Duration(tolerance * float64(coldFor)), 0},
		{"half speed for 3 s, much load", scenario{speed: half, loss: constant(0), load: 0.8, evidence: true}, time.Duration(tolerance * float64(coldFor)), 0},
		{"never cold", scenario{speed: constant(1), loss: constant(0), load: 0.6, evidence: true}, soon, 0},
		{"stays slow", scenario{speed: constant(0.5), loss: constant(0), load: 0.6, evidence: true}, 0, testSlots / 2 * 9 / 10},
		{"runs each request at 0.55 of the speed", scenario{speed: constant(0.55), perRequest: true, loss: constant(0), load: 0.6, evidence: true}, time.Duration(tolerance * float64(coldFor)), 0},
		{"loses half of its requests for 3 s", scenario{speed: constant(1), loss: failing, load: 0.6, evidence: true}, time.Duration(tolerance * float64(coldFor)), 0},
		{"no evidence", scenario{speed: half, loss: constant(0), load: 0.6}, step, 0},
	} {
		for seed := range uint64(seeds) {
			r := simulate(seed, row.sc)
			ratio := p99(r.up.took).Seconds() / p99(r.peers).Seconds()
			t.Logf("%s, seed %d: 0.9 of the slots at %v, p99 %.2f of that of the peers, idle %d ms, limits %v", row.name, seed, r.reached, ratio, r.idle, r.limits)
			if row.within > 0 && (r.reached < 0 || r.reached > row.within) {
				t.Errorf("%s, seed %d: 0.9 of the slots at %v, want within %v", row.name, seed, r.reached, row.within)
			}
			if row.reaches > 0 && slices.Max(r.limits[:soon/(100*time.Millisecond)]) < row.reaches {
				t.Errorf("%s, seed %d: limits %v, want %d within %v", row.name, seed, r.limits, row.reaches, soon)
			}
			if row.sc.evidence && ratio > maxSlow {
				t.Errorf("%s, seed %d: p99 is %.2f of that of the peers, want at most %v", row.name, seed, ratio, maxSlow)
			}
			if r.idle > 0 || r.firstIn < 0 || r.firstIn > 2*time.Second {
				t.Errorf("%s, seed %d: idle for %d ms while requests waited, first request at %v", row.name, seed, r.idle, r.firstIn)
			}
		}
	}
}

// evidence is that of peers that answer in 100 ms and lose nothing.
var evidence = Evidence{Latency: work}

// answer ends n lookups one after the other, each after the given time, and returns
// the time at the end.
func answer(r *Ramp, now time.Time, n int, took time.Duration, answered bool) time.Time {
	for range n {
		r.SetEvidence(now, evidence, testSlots, 1)
		now = now.Add(took)
		r.Observe(now, testSlots, End{Began: now.Add(-took), Answered: answered, Idempotent: true, InFlight: 1})
	}
	return now
}

// Guards against a limit where nothing is known of the peers, or not any more.
func TestLimitNeedsRecentEvidence(t *testing.T) {
	r := &Ramp{}
	r.Start(epoch, testSlots)
	if got := r.Limit(epoch, testSlots); got != testSlots || !r.Admits(epoch, false) {
		t.Errorf("without evidence: got limit %d, want all slots, for orders too", got)
	}
	r.SetEvidence(epoch, evidence, testSlots, 0)
	if got := r.Limit(epoch, testSlots); got != 3 {
		t.Errorf("with evidence: got limit %d, want the floor, 3", got)
	}
	later := epoch.Add(validity + time.Millisecond)
	if got := r.Limit(later, testSlots); got != testSlots || r.Active(later) {
		t.Errorf("with old evidence: got limit %d, want all slots", got)
	}
	r.Observe(later, testSlots, End{Began: epoch, Answered: true})
	r.SetEvidence(later, evidence, testSlots, 0)
	if r.Active(later) {
		t.Error("the limit is back with newer evidence, want it to have ended")
	}
}

// Guards against a ramp-up of an upstream that has shown long ago what it takes.
func TestLateEvidenceBeginsNoRampUp(t *testing.T) {
	r := &Ramp{}
	r.Start(epoch, testSlots)
	for range testSlots {
		r.Observe(epoch, testSlots, End{Began: epoch, Answered: true})
	}
	r.SetEvidence(epoch, evidence, testSlots, 0)
	if r.Active(epoch) {
		t.Error("a ramp-up has begun after as many answers as slots")
	}
}

// Guards against orders that are the first to find out whether an upstream works, and
// against an upstream of orders alone that gets none.
func TestOrdersWaitForLookups(t *testing.T) {
	r := &Ramp{}
	r.Start(epoch, testSlots)
	r.SetEvidence(epoch, evidence, testSlots, 0)
	for range maxOrders + 1 {
		if r.Admits(epoch, false) {
			t.Fatal("an order was admitted before a lookup had succeeded")
		}
		r.Admits(epoch, true)
	}
	now := answer(r, epoch, minLookups, work, false)
	if r.Admits(now, false) {
		t.Error("an order was admitted after lookups that failed")
	}
	r.Admits(now, true)
	now = answer(r, now, minLookups, work, true)
	if !r.Admits(now, false) {
		t.Errorf("no order was admitted after %d lookups had succeeded", minLookups)
	}
	r.Start(now, testSlots)
	rejected := 0
	for !r.Admits(now, false) {
		rejected++
	}
	if rejected != maxOrders {
		t.Errorf("%d orders without a lookup were rejected, want %d", rejected, maxOrders)
	}
}

// Guards against a loss that all upstreams share, as under overload, and that would
// limit all of them.
func TestLossOfAllPeersBeginsNoRampUp(t *testing.T) {
	for _, row := range []struct {
		loss, peers float64
		want        bool
	}{{0.5, 0, true}, {0.5, 0.5, false}, {0.2, 0, false}} {
		r := &Ramp{}
		r.SetEvidence(epoch, Evidence{Latency: work, Loss: row.loss, PeerLoss: row.peers}, testSlots, 10)
		if r.Active(epoch) != row.want {
			t.Errorf("loss %v, of the peers %v: ramp-up %v, want %v", row.loss, row.peers, r.Active(epoch), row.want)
		}
	}
}

// Guards against an upstream that is slower than twice its peers and stays so: it must
// not be held at the floor for good.
func TestUpstreamThatIsSlowByItselfLeavesTheFloor(t *testing.T) {
	r := &Ramp{}
	r.Start(epoch, testSlots)
	r.SetEvidence(epoch, evidence, testSlots, 0)
	now := answer(r, epoch, 2*minSamples, 5*work, true)
	if got := r.Limit(now, testSlots); got != 3 {
		t.Errorf("five times as slow as its peers: got limit %d, want the floor, 3", got)
	}
	now = answer(r, now, 100*testSlots, 5*work, true)
	if got := r.Limit(now, testSlots); got != testSlots || r.Active(now) {
		t.Errorf("slow for long: got limit %d, active %v, want all slots", got, r.Active(now))
	}
}

// Guards against a limit out of its bounds, whatever happens.
func TestLimitStaysInItsBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	for _, slots := range []int{1, 2, 3, 20, 500} {
		r, now := &Ramp{}, epoch
		for range 20_000 {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			switch rng.IntN(100) {
			case 0:
				r.Start(now, slots)
			case 1, 2, 3:
				r.SetEvidence(now, Evidence{Latency: time.Duration(rng.IntN(200)) * time.Millisecond, Loss: rng.Float64(), PeerLoss: rng.Float64()}, slots, rng.IntN(slots+1))
			default:
				r.Observe(now, slots, End{Began: now.Add(-time.Duration(rng.IntN(300)) * time.Millisecond), Answered: rng.IntN(5) > 0, Idempotent: true, InFlight: rng.IntN(slots) + 1})
			}
			if got := r.Limit(now, slots); got < min(minFloor, slots) || got > slots {
				t.Fatalf("%d slots: got limit %d", slots, got)
			}
		}
	}
}
