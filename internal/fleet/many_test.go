package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heathershed/internal/contract"
)

// A manySim simulates many nodes that choose among many upstreams of one service.
// Each upstream runs as many requests as it has slots and queues the others. What a
// node knows of an upstream is as old as the last answer from there.
const (
	simNodes       = 100
	simDatacentres = 6
	simSlots       = 39
	simWork        = 160 * time.Millisecond
	simHop         = 1400 * time.Microsecond // one way between data centres
	simLength      = 20 * time.Second
	simSettled     = 5 * time.Second // before that nothing is counted
)

type simUpstream struct {
	vm      string
	speed   float64
	busy    int
	waiting []simRequest
	latency float64 // moving mean, in seconds
	runs    int
}

type simRequest struct {
	since time.Time
	ended func()
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (q simEvents) Len() int      { return len(q) }
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q *simEvents) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type manySim struct {
	rng       *rand.Rand
	now       time.Time
	seq       int
	events    simEvents
	fleets    []*Fleet
	upstreams []*simUpstream
	byVM      map[string]*simUpstream
	waits     []time.Duration
	counted   time.Time
	// idle is the time of slots that stood idle while a request waited at another
	// upstream, and total that of all slots, both in seconds.
	idle, total float64
}

// newManySim returns nodes of which the first ones stand beside the upstreams.
func newManySim(seed uint64, upstreams int) *manySim {
	s := &manySim{rng: rand.New(rand.NewPCG(1, seed)), now: epoch, byVM: make(map[string]*simUpstream)}
	var all []Candidate
	for i := range upstreams {
		u := &simUpstream{vm: fmt.Sprint("vm-", i), speed: 0.5 + float64(i)/float64(upstreams-1)}
		s.upstreams = append(s.upstreams, u)
		s.byVM[u.vm] = u
		all = append(all, Candidate{VM: u.vm, Service: "span", Datacentre: fmt.Sprint("dc", s.rng.IntN(simDatacentres))})
	}
	for i := range simNodes {
		vm, dc := fmt.Sprint("vm-", i), fmt.Sprint("dc", i%simDatacentres)
		if i < upstreams {
			dc = all[i].Datacentre
		}
		f := New(dc)
		others := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.VM == vm })
		linked := Subset(vm, dc, others)
		for _, c := range all {
			if c.VM == vm || slices.Contains(linked, c.VM) {
				f.Put(Upstream{VM: c.VM, Service: "span", Datacentre: c.Datacentre, Instance: c.VM, Slots: simSlots, Ready: true})
				f.SetLinked(c.VM, true)
			}
		}
		s.fleets = append(s.fleets, f)
	}
	return s
}

func (s *manySim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

// run offers a load, as a share of what all upstreams can do together.
func (s *manySim) run(load float64) {
	capacity := 0.0
	for _, u := range s.upstreams {
		capacity += simSlots * u.speed / simWork.Seconds()
	}
	s.arrive(load * capacity)
	for end := epoch.Add(simLength); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(simEvent)
		s.account(e.at)
		s.now = e.at
		e.do()
	}
}

// account adds the time since the last event to idle and total.
func (s *manySim) account(until time.Time) {
	if until.Sub(epoch) < simSettled {
		s.counted = until
		return
	}
	waiting, free := 0, 0
	for _, u := range s.upstreams {
		waiting += len(u.waiting)
		free += simSlots - u.busy
	}
	dt := until.Sub(s.counted).Seconds()
	s.idle += dt * float64(min(waiting, free))
	s.total += dt * simSlots * float64(len(s.upstreams))
	s.counted = until
}

func (s *manySim) arrive(perSecond float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.send(s.fleets[s.rng.IntN(len(s.fleets))])
		s.arrive(perSecond)
	})
}

func (s *manySim) send(f *Fleet) {
	choice, ok := f.Pick(s.now, Query{Service: "span", Kind: "k", Random: s.rng.Uint64()})
	if !ok {
		return
	}
	u := s.byVM[choice.VM]
	s.after(simHop, func() {
		s.offer(u, simRequest{since: s.now, ended: func() {
			load := &Load{InFlight: u.busy, Waiting: len(u.waiting), Slots: simSlots, Latency: time.Duration(u.latency * float64(time.Second))}
			s.after(simHop, func() {
				f.Done(s.now, choice, Result{Verdict: contract.Ran, Kind: "k", Load: load})
			})
		}})
	})
}

func (s *manySim) offer(u *simUpstream, r simRequest) {
	if u.busy == simSlots {
		u.waiting = append(u.waiting, r)
		return
	}
	s.start(u, r)
}

func (s *manySim) start(u *simUpstream, r simRequest) {
	if s.now.Sub(epoch) >= simSettled {
		s.waits = append(s.waits, s.now.Sub(r.since))
		u.runs++
	}
	u.busy++
	took := time.Duration((0.5 + s.rng.Float64()) / u.speed * float64(simWork))
	s.after(took, func() {
		u.busy--
		if u.latency == 0 {
			u.latency = took.Seconds()
		}
		u.latency += 0.1 * (took.Seconds() - u.latency)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			s.start(u, next)
		}
		r.ended()
	})
}

// manyResult is what a simulation shows.
type manyResult struct {
	p99     time.Duration // of the wait in the queue
	idle    float64       // share of the slots that stood idle while a request waited
	busiest float64       // runs at the busiest upstream, over the mean
}

func (s *manySim) result() manyResult {
	slices.Sort(s.waits)
	most, sum := 0, 0
	for _, u := range s.upstreams {
		most, sum = max(most, u.runs), sum+u.runs
	}
	return manyResult{
		p99:     s.waits[len(s.waits)*99/100],
		idle:    s.idle / s.total,
		busiest: float64(most) * float64(len(s.upstreams)) / float64(sum),
	}
}

// TestManyNodesShareManyUpstreams guards against nodes that have heard the same and
// choose the same: requests that wait at one upstream while others are idle.
func TestManyNodesShareManyUpstreams(t *testing.T) {
	cases := []struct {
		upstreams int
		load      float64
		p99       time.Duration
		idle      float64
	}{
		{46, 0.5, 5 * time.Millisecond, 0.002},
		{46, 0.8, 30 * time.Millisecond, 0.01},
		{46, 0.95, 80 * time.Millisecond, 0.04},
		{6, 0.8, 60 * time.Millisecond, 0.015},
	}
	for _, c := range cases {
		for seed := range uint64(2) {
			s := newManySim(seed, c.upstreams)
			s.run(c.load)
			r := s.result()
			t.Logf("%d upstreams, load %v, seed %d: p99 of the wait %v, idle while one waits %.4f, busiest/mean %.2f", c.upstreams, c.load, seed, r.p99.Round(time.Millisecond), r.idle, r.busiest)
			if r.p99 > c.p99 || r.idle > c.idle {
				t.Errorf("%d upstreams, load %v, seed %d: p99 of the wait %v, idle %.4f; want at most %v and %v", c.upstreams, c.load, seed, r.p99, r.idle, c.p99, c.idle)
			}
		}
	}
}
