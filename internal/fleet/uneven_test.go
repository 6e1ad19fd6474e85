package fleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/vm/instance"
	"heathershed/internal/vm/upstreamload"
)

// An unevenSim simulates senders that choose among upstreams of uneven speed, whose
// VMs are slowed down at times by other work. What a sender knows of an upstream, in
// reports or in replies, is at least minAge old, and a report at most maxAge.
type unevenSim struct {
	unevenCase
	rng          *rand.Rand
	now          time.Time
	seq          int
	events       simEvents
	senders      []*Fleet
	senderPlaces []int // data centre of each sender
	upstreams    []*unevenUpstream
	byVM         map[string]*unevenUpstream
	// shared is the queue of all upstreams where the case has a single one.
	shared []unevenRequest
	times  []time.Duration
	left   [unevenMaxPlaces]int // requests that have left their data centre, by it
	sent   [unevenMaxPlaces]int
	// byWindow counts the runs that began at each upstream, by window.
	byWindow [][]int
	counted  time.Time
	// idle is the time of slots that stood idle while a request waited at another
	// upstream, and total that of all slots, both in seconds.
	idle, total float64
}

type unevenCase struct {
	seed         uint64
	places       int // data centres, with upstreams each
	upstreams    int
	load         float64 // of all upstreams together
	inTurn       bool    // each data centre is offered twice its capacity in turn
	maxAge       time.Duration
	reporting    bool // the upstreams report their load
	single       bool // one queue with perfect information
	even         bool
	misreporting func(i int, at time.Time, s upstreamload.Sample) upstreamload.Sample
}

const (
	unevenSenders   = 100
	unevenSlots     = 20
	unevenMaxPlaces = 4
	unevenWork      = 80 * time.Millisecond
	unevenMinAge    = 20 * time.Millisecond
	unevenSlowdown  = 2.5
	unevenSlowShare = 0.15
	unevenSlowTime  = 600 * time.Millisecond // mean length of a slow time
	unevenTurn      = 4 * time.Second
	unevenLength    = 20 * time.Second
	unevenSettled   = 4 * time.Second // before that nothing is counted
	unevenWindow    = 500 * time.Millisecond
	unevenSnapshots = 10 * time.Millisecond
)

type unevenUpstream struct {
	index, place int
	vm           string
	speed        float64
	slow         bool
	busy         int
	waiting      []unevenRequest
	latency      float64 // moving mean, in seconds
	busyTime     float64
	tracker      upstreamload.Tracker
	snapshots    []Load // one each unevenSnapshots, the newest last
}

func (u *unevenUpstream) pace() float64 {
	if u.slow {
		return unevenSlowdown
	}
	return 1
}

type unevenRequest struct {
	since, arrived time.Time
	ended          func(u *unevenUpstream)
}

func newUnevenSim(c unevenCase) *unevenSim {
	s := &unevenSim{unevenCase: c, rng: rand.New(rand.NewPCG(7, c.seed)), now: epoch, byVM: make(map[string]*unevenUpstream)}
	for i := range c.upstreams * c.places {
		u := &unevenUpstream{
			index: i, place: i % c.places, vm: fmt.Sprint("up-", i),
			speed: 0.5 + float64(i/c.places)/float64(c.upstreams-1),
		}
		s.upstreams = append(s.upstreams, u)
		s.byVM[u.vm] = u
		s.toggle(u)
		s.snapshot(u)
	}
	for i := range unevenSenders {
		f := New(fmt.Sprint("dc", i%c.places))
		for _, u := range s.upstreams {
			f.Put(Upstream{VM: u.vm, Service: "span", Datacentre: fmt.Sprint("dc", u.place), Instance: u.vm, Slots: unevenSlots, Ready: true})
			f.SetLinked(u.vm, true)
			s.after(time.Duration(s.rng.Float64()*float64(c.maxAge)), func() { s.report(f, u) })
		}
		s.senders = append(s.senders, f)
		s.senderPlaces = append(s.senderPlaces, i%c.places)
	}
	return s
}

func (s *unevenSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

// toggle begins or ends the times in which an upstream is slow.
func (s *unevenSim) toggle(u *unevenUpstream) {
	mean := unevenSlowTime.Seconds()
	if !u.slow {
		mean *= (1 - unevenSlowShare) / unevenSlowShare
	}
	s.after(time.Duration(s.rng.ExpFloat64()*mean*float64(time.Second)), func() {
		u.slow = !u.slow
		s.toggle(u)
	})
}

// snapshot keeps what the node beside the upstream reports, for later delivery.
func (s *unevenSim) snapshot(u *unevenUpstream) {
	l := Load{
		InFlight: u.busy, Waiting: len(u.waiting), Slots: unevenSlots,
		Latency: time.Duration(u.latency * float64(time.Second)),
		Report:  instance.Report{Instance: u.vm},
	}
	if s.reporting {
		l.Upstream, _ = u.tracker.Report(s.now, u.vm)
	}
	u.snapshots = append(u.snapshots, l)
	if len(u.snapshots) > 4 {
		u.snapshots = u.snapshots[1:]
	}
	s.after(unevenSnapshots, func() { s.snapshot(u) })
}

// known is the load that a message brings which arrives now.
func (s *unevenSim) known(u *unevenUpstream) Load {
	return u.snapshots[max(len(u.snapshots)-1-int(unevenMinAge/unevenSnapshots), 0)]
}

func (s *unevenSim) report(f *Fleet, u *unevenUpstream) {
	l := s.known(u)
	f.UpdateLoad(s.now, u.vm, l)
	s.after(s.maxAge-unevenMinAge, func() { s.report(f, u) })
}

// capacity is that of the upstreams of a data centre in requests a second.
func (s *unevenSim) capacity(place int) (sum float64) {
	for _, u := range s.upstreams {
		if u.place == place {
			sum += unevenSlots * u.speed / unevenWork.Seconds() / (1 - unevenSlowShare + unevenSlowShare*unevenSlowdown)
		}
	}
	return sum
}

// offered is the load of a data centre now, as a share of its capacity.
func (s *unevenSim) offered(place int) float64 {
	if !s.inTurn {
		return s.load
	}
	if int(s.now.Sub(epoch)/unevenTurn)%s.places == place {
		return 2
	}
	return (s.load*float64(s.places) - 2) / float64(s.places-1)
}

func (s *unevenSim) arrive(place int) {
	perSecond := s.offered(place) * s.capacity(place)
	if perSecond <= 0 {
		s.after(unevenSnapshots, func() { s.arrive(place) })
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		i := place + s.places*s.rng.IntN(unevenSenders/s.places)
		s.send(s.senders[i], place)
		s.arrive(place)
	})
}

func (s *unevenSim) run() unevenResult {
	for place := range s.places {
		s.arrive(place)
	}
	for end := epoch.Add(unevenLength); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(simEvent)
		s.account(e.at)
		s.now = e.at
		e.do()
	}
	return s.result()
}

func (s *unevenSim) account(until time.Time) {
	if until.Sub(epoch) < unevenSettled {
		s.counted = until
		return
	}
	dt := until.Sub(s.counted).Seconds()
	waiting, free := len(s.shared), 0
	for _, u := range s.upstreams {
		waiting += len(u.waiting)
		free += unevenSlots - u.busy
		u.busyTime += dt * float64(u.busy)
	}
	s.idle += dt * float64(min(waiting, free))
	s.total += dt * unevenSlots * float64(len(s.upstreams))
	s.counted = until
}

func (s *unevenSim) send(f *Fleet, place int) {
	r := unevenRequest{since: s.now, arrived: s.now, ended: func(*unevenUpstream) {}}
	if s.single {
		s.offerShared(r)
		return
	}
	choice, ok := f.Pick(s.now, Query{Service: "span", Kind: "k", Random: s.rng.Uint64()})
	if !ok {
		return
	}
	u := s.byVM[choice.VM]
	if s.now.Sub(epoch) >= unevenSettled {
		s.sent[place]++
		if u.place != place {
			s.left[place]++
		}
	}
	r.ended = func(u *unevenUpstream) {
		load := s.known(u)
		load.Latency = time.Duration(u.latency * float64(time.Second))
		s.after(time.Millisecond, func() {
			f.Done(s.now, choice, Result{Verdict: contract.Ran, Kind: "k", Load: &load})
		})
	}
	s.after(s.hop(place, u), func() {
		r.arrived = s.now
		if u.busy == unevenSlots {
			u.waiting = append(u.waiting, r)
			return
		}
		s.start(u, r)
	})
}

func (s *unevenSim) hop(place int, u *unevenUpstream) time.Duration {
	if place != u.place {
		return simHop
	}
	return simHop / 10
}

// offerShared starts a request where it ends first, or else leaves it in the one queue.
func (s *unevenSim) offerShared(r unevenRequest) {
	var best *unevenUpstream
	for _, u := range s.upstreams {
		if u.busy < unevenSlots && (best == nil || u.speed/u.pace() > best.speed/best.pace()) {
			best = u
		}
	}
	if best == nil {
		s.shared = append(s.shared, r)
		return
	}
	if s.even {
		free := 0
		for _, u := range s.upstreams {
			free += unevenSlots - u.busy
			if s.rng.IntN(free+1) < unevenSlots-u.busy && u.busy < unevenSlots {
				best = u
			}
		}
	}
	s.start(best, r)
}

func (s *unevenSim) start(u *unevenUpstream, r unevenRequest) {
	u.busy++
	if window := int(s.now.Sub(epoch.Add(unevenSettled)) / unevenWindow); s.now.Sub(epoch) >= unevenSettled {
		for len(s.byWindow) <= window {
			s.byWindow = append(s.byWindow, make([]int, len(s.upstreams)))
		}
		s.byWindow[window][u.index]++
	}
	began := s.now
	took := time.Duration((0.5 + s.rng.Float64()) / u.speed * u.pace() * float64(unevenWork))
	s.after(took, func() {
		if r.since.Sub(epoch) >= unevenSettled {
			s.times = append(s.times, s.now.Sub(r.since))
		}
		sample := upstreamload.Sample{Running: u.busy, Slots: unevenSlots, Pace: u.pace() * (0.8 + 0.4*s.rng.Float64())}
		if s.misreporting != nil {
			sample = s.misreporting(u.index, s.now, sample)
		}
		u.busy--
		if u.latency == 0 {
			u.latency = took.Seconds()
		}
		u.latency += 0.1 * (took.Seconds() - u.latency)
		u.tracker.Observe(s.now, u.vm, began, sample)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			s.start(u, next)
		} else if len(s.shared) > 0 {
			next := s.shared[0]
			s.shared = s.shared[1:]
			s.start(u, next)
		}
		r.ended(u)
	})
}

// unevenResult is what a simulation shows.
type unevenResult struct {
	p50, p99 time.Duration // from the choice to the end of the run
	done     int
	// uneven is the highest utilisation of an upstream over that of all together.
	uneven float64
	// idle is the share of the slots that stood idle while a request waited.
	idle float64
	// swing is the mean, over the upstreams, of the standard deviation of the runs
	// that begin in a window over their mean.
	swing float64
	// away is the share of the requests that left their data centre, by it.
	away []float64
}

func (s *unevenSim) result() unevenResult {
	slices.Sort(s.times)
	most, sum := 0.0, 0.0
	for _, u := range s.upstreams {
		most, sum = max(most, u.busyTime), sum+u.busyTime
	}
	r := unevenResult{
		p50: s.times[len(s.times)/2], p99: s.times[len(s.times)*99/100], done: len(s.times),
		uneven: most * float64(len(s.upstreams)) / sum,
		idle:   s.idle / s.total, swing: s.swing(),
	}
	for p := range s.places {
		r.away = append(r.away, float64(s.left[p])/float64(max(s.sent[p], 1)))
	}
	return r
}

func (s *unevenSim) swing() float64 {
	sum := 0.0
	for u := range s.upstreams {
		var runs runStatistics
		for _, window := range s.byWindow[:len(s.byWindow)-1] {
			runs.add(float64(window[u]))
		}
		sum += runs.deviation()
	}
	return sum / float64(len(s.upstreams))
}

func (r unevenResult) String() string {
	return fmt.Sprintf("p50 %v p99 %v done %d uneven %.2f idle %.4f swing %.2f away %.2f",
		r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.done, r.uneven, r.idle, r.swing, r.away)
}

type trialSum struct{ p50, p99, uneven, idle, swing, away, n float64 }

func trialMean(c unevenCase) (t trialSum) {
	for seed := range uint64(4) {
		c.seed = seed
		r := newUnevenSim(c).run()
		t.n++
		t.p50 += r.p50.Seconds() * 1000 / 4
		t.p99 += r.p99.Seconds() * 1000 / 4
		t.uneven += r.uneven / 4
		t.idle += r.idle / 4
		t.swing += r.swing / 4
		t.away += r.away[0] / 4
	}
	return t
}

func TestUnevenTrial(t *testing.T) {
	for trialPlace = range 3 {
		for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
			for _, age := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond} {
				c := unevenCase{places: 1, upstreams: 12, load: load, maxAge: age, reporting: true}
				t.Logf("trial %d load %v age %v %.3f", trialPlace, load, age, trialMean(c))
			}
		}
		for _, places := range []int{2, 4} {
			c := unevenCase{places: places, upstreams: 6, load: 0.8, inTurn: true, maxAge: 200 * time.Millisecond}
			if places == 4 {
				c.load = 0.7
			}
			c.reporting = true
			trialPace = 0
			t.Logf("trial %d %d places, turn %.3f", trialPlace, places, trialMean(c))
			t.Logf("trial %d %d places, turn %v", trialPlace, places, newUnevenSim(c).run())
			c.inTurn, c.load = false, 0.6
			t.Logf("trial %d %d places, 0.6 %.3f", trialPlace, places, trialMean(c))
			if trialPlace == 0 {
			c.reporting = false
			t.Logf("today %d places, 0.6 %.3f", places, trialMean(c))
			}
		}
	}
}

// runStatistics are the mean and the deviation of a number of counts.
type runStatistics struct{ n, sum, squares float64 }

func (r *runStatistics) add(v float64) { r.n, r.sum, r.squares = r.n+1, r.sum+v, r.squares+v*v }

func (r *runStatistics) deviation() float64 {
	mean := r.sum / r.n
	return math.Sqrt(max(r.squares/r.n-mean*mean, 0)) / max(mean, 1)
}
