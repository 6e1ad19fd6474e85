package admission

import (
	"container/heap"
	"math/rand"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/vm/pressure"
)

// The fake upstream has workers and an unbounded internal queue. Workers finish
// what they have started even if no caller waits for it any more.
const (
	workers           = 30
	serviceMean       = 20 * time.Millisecond
	capacity          = workers * float64(time.Second/serviceMean) // requests per second
	rootTimeout       = time.Second
	maxRepeats        = 3
	comparisonTimeout = 300 * time.Millisecond // per attempt, for callers of the comparison policies
	triggerAt         = 4 * time.Second
	triggerEnd        = 10 * time.Second
	horizon           = 19 * time.Second
	downFor           = 500 * time.Millisecond
	bucketWidth       = 100 * time.Millisecond
	coldFactor        = 5.0
	warmAfter         = 300.0 // answers after which the cache is warm by 1-1/e
)

var epoch = time.Unix(1e9, 0)

var testKinds = [contract.NumClasses]*contract.Kind{
	{Name: "lookup", Class: contract.ClassLookup, Idempotent: true},
	{Name: "check", Class: contract.ClassCheck, Idempotent: true},
	{Name: "order", Class: contract.ClassOrder},
}

// trigger is a fault between triggerAt and triggerEnd.
type trigger struct {
	name          string
	slow          float64 // factor on the service time
	surge         float64 // lookups offered, in multiples of the capacity
	lostWorkers   int     // workers lost
	restart       bool    // down for half a second, then warming up
	slotsFactor   int     // factor on the announced slots, all the time
	noRepeats     bool    // callers do not repeat requests
	ingress       bool    // ingresses shed by the thresholds announced with answers
	slotsFlapping bool    // the load endpoint alternates between 0 and four times the slots
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (s eventQueue) Len() int      { return len(s) }
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s *eventQueue) Push(x any) { *s = append(*s, x.(event)) }
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

type call struct {
	request  Request
	arrived  time.Duration
	repeats  int
	attempts int
}

type job struct {
	call   *call
	ticket Ticket
	begun  time.Duration
	ended  bool
}

// fake simulates callers, ingresses and one upstream behind a Controller.
type fake struct {
	trigger
	policy            Policy
	rng               *rand.Rand
	c                 *Controller
	now               time.Duration
	seq               int
	eventQueue        eventQueue
	waiting           map[Ticket]*call
	ingresses         [4]*pressure.Table // of the ingresses, which callers use at random
	backlog           []*job
	busy              int
	warmth            float64
	offered           [contract.NumClasses][horizon / bucketWidth]int
	answered          [contract.NumClasses][horizon / bucketWidth]int // by time of arrival
	shedAtIngress     int                                             // shed at an ingress
	reached           int                                             // offered to the upstream
	thresholdAtEnd    contract.Level                                  // threshold at the trigger's end
	answeredInTrigger int                                             // answered while the trigger lasts
}

func runFake(tr trigger, cfg Config, seed int64) *fake {
	f := &fake{trigger: tr, policy: cfg.Policy, rng: rand.New(rand.NewSource(seed)), waiting: map[Ticket]*call{}, warmth: warmAfter * 10}
	f.c = NewController(cfg, epoch)
	for i := range f.ingresses {
		f.ingresses[i] = pressure.New()
	}
	for class := range testKinds {
		f.arrive(contract.Class(class))
	}
	f.every(10*time.Millisecond, func() { f.c.Tick(f.time()); f.deliverEvents() })
	if tr.slotsFlapping {
		f.every(time.Second, func() { f.c.SetCeiling(int(f.now/time.Second) % 2 * 4 * workers) })
	}
	f.after(triggerEnd-time.Millisecond, func() { f.thresholdAtEnd = f.c.shedder.threshold })
	f.after(triggerAt, func() {
		if tr.restart {
			f.backlog, f.warmth = nil, 0
			f.c.Reset(f.time())
		}
	})
	for len(f.eventQueue) > 0 && f.eventQueue[0].at < horizon {
		s := heap.Pop(&f.eventQueue).(event)
		f.now = s.at
		s.do()
	}
	return f
}

func (f *fake) time() time.Time { return epoch.Add(f.now) }
func (f *fake) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.eventQueue, event{f.now + d, f.seq, do})
}
func (f *fake) every(d time.Duration, do func()) { f.after(d, func() { do(); f.every(d, do) }) }
func (f *fake) triggered() bool                  { return f.now >= triggerAt && f.now < triggerEnd }
func (f *fake) exp(mean float64) time.Duration   { return time.Duration(f.rng.ExpFloat64() * mean) }

// rate returns the calls per second that callers offer in a class: in total
// 70 % of the capacity, 60 % of that lookups.
func (f *fake) rate(class contract.Class) float64 {
	if class != contract.ClassLookup {
		return 0.14 * capacity
	}
	if f.surge > 0 && f.triggered() {
		return f.surge * capacity
	}
	return 0.42 * capacity
}

func (f *fake) arrive(class contract.Class) {
	f.after(f.exp(float64(time.Second)/f.rate(class)), func() {
		level := contract.LevelOf(class, uint16(f.rng.Intn(contract.RanksPerClass)))
		deadline := f.time().Add(rootTimeout)
		f.offered[class][f.now/bucketWidth]++
		f.submit(&call{Request{testKinds[class], level, 0, deadline}, f.now, 0, 0})
		f.arrive(class)
	})
}

func (f *fake) submit(c *call) {
	r := c.request
	table := f.ingresses[f.rng.Intn(len(f.ingresses))]
	if f.ingress && r.Level < table.Threshold(f.time(), "spanbook", "any") {
		f.shedAtIngress++
		f.repeat(c, f.exp(float64(200*time.Millisecond)))
		return
	}
	f.reached++
	if attemptDeadline := f.time().Add(comparisonTimeout); f.policy != PolicyAdaptive && attemptDeadline.Before(r.Deadline) {
		r.Deadline = attemptDeadline
	}
	ticket, outcome, refusal := f.c.Offer(f.time(), r)
	table.Observe(f.time(), "spanbook", "any", f.c.Load().Threshold)
	switch outcome {
	case Running:
		f.begin(c, ticket)
	case Queued:
		f.waiting[ticket] = c
	case Refused:
		f.repeat(c, refusal.RetryAfter)
	}
	f.deliverEvents()
}

func (f *fake) deliverEvents() {
	for events := f.c.Events(); len(events) > 0; events = f.c.Events() {
		for _, e := range append([]Event(nil), events...) {
			c := f.waiting[e.Ticket]
			delete(f.waiting, e.Ticket)
			if e.Outcome == Running {
				f.begin(c, e.Ticket)
			} else {
				f.repeat(c, e.Refusal.RetryAfter)
			}
		}
	}
}

func (f *fake) repeat(c *call, after time.Duration) {
	if f.policy != PolicyAdaptive {
		after = f.exp(float64(10 * time.Millisecond))
	}
	if !f.noRepeats && c.repeats < maxRepeats && f.now+after < c.arrived+rootTimeout {
		c.repeats++
		f.after(after, func() { f.submit(c) })
	}
}

func (f *fake) begin(c *call, ticket Ticket) {
	j := &job{call: c, ticket: ticket, begun: f.now}
	if f.restart && f.now >= triggerAt && f.now < triggerAt+downFor {
		f.end(j, Result{Verdict: contract.NotRun, Reason: contract.ReasonUpstreamRefused})
		f.repeat(c, f.exp(float64(20*time.Millisecond)))
		return
	}
	timeout := c.arrived + rootTimeout - f.now
	if f.policy != PolicyAdaptive {
		timeout = min(timeout, comparisonTimeout)
	}
	f.after(timeout, func() {
		if f.end(j, Result{Verdict: contract.MayHaveRun, Reason: contract.ReasonDeadline}) && c.request.Kind.Idempotent {
			f.repeat(c, 0)
		}
	})
	f.backlog = append(f.backlog, j)
	f.work()
}

func (f *fake) work() {
	for n := f.workers(); f.busy < n && len(f.backlog) > 0; {
		j := f.backlog[0]
		f.backlog = f.backlog[1:]
		f.busy++
		f.after(f.exp(f.serviceTime()), func() {
			f.busy--
			f.warmth++
			if f.end(j, Result{Verdict: contract.Ran}) {
				f.answer(j.call)
			}
			f.work()
		})
	}
}

func (f *fake) answer(c *call) {
	f.answered[c.request.Kind.Class][c.arrived/bucketWidth]++
	if f.triggered() {
		f.answeredInTrigger++
	}
}

func (f *fake) workers() int {
	if f.triggered() {
		return workers - f.lostWorkers
	}
	return workers
}

func (f *fake) serviceTime() float64 {
	mean := float64(serviceMean)
	if f.slow > 0 && f.triggered() {
		mean *= f.slow
	}
	return mean * (1 + (coldFactor-1)*expDecay(f.warmth/warmAfter))
}

func (f *fake) end(j *job, res Result) bool {
	if j.ended {
		return false
	}
	j.ended = true
	res.Latency = f.now - j.begun
	f.c.Done(f.time(), j.ticket, res)
	f.deliverEvents()
	return true
}
