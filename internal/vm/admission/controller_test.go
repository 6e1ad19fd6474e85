package admission

import (
	"math/rand"
	"testing"
	"time"

	"heathershed/internal/contract"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// model tracks the requests of a controller by its decisions and records a
// violated invariant.
type model struct {
	c         *Controller
	now       time.Time
	ceiling   int
	queued    map[Ticket]contract.Class
	running   []Ticket
	violation string
}

func (m *model) start(t Ticket) {
	m.running = append(m.running, t)
	if len(m.running) > m.ceiling {
		m.violation = "more requests started than the ceiling"
	}
}

// waits reports whether a request of one of the classes is queued.
func (m *model) waits(from, to contract.Class) bool {
	for _, class := range m.queued {
		if class >= from && class <= to {
			return true
		}
	}
	return false
}

func (m *model) drain() {
	var started, evicted []contract.Class
	for _, e := range m.c.Events() {
		class, ok := m.queued[e.Ticket]
		if !ok {
			m.violation = "event for a request that is not queued"
		}
		delete(m.queued, e.Ticket)
		if e.Outcome == Running {
			m.start(e.Ticket)
			started = append(started, class)
		} else if e.Refusal.Reason == contract.ReasonOverload {
			evicted = append(evicted, class)
		}
	}
	for _, class := range started {
		if m.waits(class+1, contract.NumClasses) {
			m.violation = "a free slot went to a request while one of a higher class was waiting"
		}
	}
	for _, class := range evicted {
		if class > contract.ClassLookup && m.waits(contract.ClassLookup, class-1) {
			m.violation = "a request lost its place while one of a lower class was waiting"
		}
	}
	if l := m.c.Load(); l.InFlight != len(m.running) || l.Queued != len(m.queued) {
		m.violation = "Load differs from the model: a slot or a queue entry leaked"
	}
}

func (m *model) offer(op uint64) {
	class := contract.Class(op >> 8 % contract.NumClasses)
	r := Request{Kind: testKinds[class], Level: contract.LevelOf(class, uint16(op>>16)%contract.RanksPerClass), Depth: uint32(op >> 32 % 9)}
	if op>>40&3 == 0 {
		r.Deadline = m.now.Add(time.Duration(op>>42%64) * time.Millisecond)
	}
	t, outcome, refusal := m.c.Offer(m.now, r)
	switch outcome {
	case Refused:
		if refusal.RetryAfter <= 0 {
			m.violation = "refusal without RetryAfter"
		}
	case Queued:
		// The events of this offer's evictions are still pending; an evicted
		// request may have had the same index.
		m.addQueued(t, class)
	case Running:
		m.start(t)
	}
}

func (m *model) addQueued(t Ticket, class contract.Class) {
	m.queued[t] = class
	if m.c.arena.entries[t.index()].class != class {
		m.violation = "ticket refers to another request"
	}
}

func (m *model) done(op uint64) {
	if len(m.running) == 0 {
		return
	}
	i := int(op>>8) % len(m.running)
	t := m.running[i]
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	res := Result{Verdict: contract.Verdict(op >> 16 % 3), Reason: contract.Reason(op >> 20 % contract.NumReasons), Latency: time.Duration(op >> 32 % 1e9)}
	if !m.c.Done(m.now, t, res) || m.c.Done(m.now, t, res) {
		m.violation = "a running request did not end exactly once"
	}
}

func (m *model) cancel() {
	for t := range m.queued {
		if !m.c.Cancel(m.now, t) || m.c.Cancel(m.now, t) {
			m.violation = "a queued request was not cancelled exactly once"
		}
		delete(m.queued, t)
		return
	}
}

func (m *model) step(op uint64) {
	m.now = m.now.Add(time.Duration(op >> 56 % 16 * uint64(time.Millisecond)))
	switch op % 16 {
	case 0, 1, 2, 3, 4, 5, 6:
		m.offer(op)
	case 7, 8, 9, 10:
		m.done(op)
	case 11:
		m.cancel()
	case 12, 13, 14:
		m.c.Tick(m.now)
	case 15:
		m.ceiling = 1 + int(op>>8%8)
		m.c.SetCeiling(m.ceiling)
		if op>>20%16 == 0 {
			m.c.Reset(m.now)
		}
	}
	m.drain()
}

// finish runs until all requests have ended.
func (m *model) finish() {
	for i := uint64(0); len(m.running)+len(m.queued) > 0 && i < 10_000; i++ {
		m.done(i << 8)
		m.now = m.now.Add(10 * time.Millisecond)
		m.c.Tick(m.now)
		m.drain()
	}
	if len(m.running)+len(m.queued) > 0 {
		m.violation = "a request never ended"
	}
}

func TestControllerInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(6)
	parameters.MinSuccessfulTests = 6000
	properties := gopter.NewProperties(parameters)
	properties.Property("any sequence of events", prop.ForAll(func(ops []uint64) string {
		cfg := Config{Slots: 6, MinLimit: 2, MaxQueue: 5, ColdFraction: 1}
		m := &model{c: NewController(cfg, epoch), now: epoch, ceiling: 6, queued: map[Ticket]contract.Class{}}
		for _, op := range ops {
			m.step(op)
		}
		m.finish()
		return m.violation
	}, gen.SliceOfN(150, gen.UInt64())))
	properties.TestingRun(t)
}

// TestHopsAgreeOnThreshold overloads two hops that do not communicate. Both must
// admit the same ranks, except for those near the threshold.
func TestHopsAgreeOnThreshold(t *testing.T) {
	thresholds := [2]contract.Level{}
	for hop := range thresholds {
		f := runFake(trigger{surge: 4}, Config{Slots: workers, MinLimit: 2, MaxQueue: 60}, int64(hop+1))
		thresholds[hop] = f.thresholdAtEnd
	}
	gap := max(thresholds[0], thresholds[1]) - min(thresholds[0], thresholds[1])
	if thresholds[0] == 0 || gap > contract.RanksPerClass/8 {
		t.Errorf("thresholds %v under the same load, want above 0 and within %d", thresholds, contract.RanksPerClass/8)
	}
}

func TestDepthBonusStaysWithinClass(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 10_000 {
		level, depth := contract.Level(rng.Intn(int(contract.MaxLevel))), uint32(rng.Intn(12))
		score := Request{Level: level, Depth: depth}.score()
		if score.Class() != level.Class() || score < level {
			t.Fatalf("level %d at depth %d: score %d, want the same class and no lower level", level, depth, score)
		}
	}
}

// TestWaitsEndByTheCallersTime lets one request of each class wait for the only
// slot. Its work takes 100 ms. While the upstream ends other requests it may wait
// until no time is left for an answer; while it ends none, for a third of its time.
func TestWaitsEndByTheCallersTime(t *testing.T) {
	const takes = 100 * time.Millisecond
	for class := range contract.Class(contract.NumClasses) {
		for _, left := range []time.Duration{300 * time.Millisecond, 5 * time.Second} {
			for _, tc := range []struct {
				name   string
				silent bool
				want   time.Duration
				reason contract.Reason
			}{
				{"requests end", false, left - takes, contract.ReasonDeadline},
				{"no request ends", true, (left / contract.ReturnDivisor).Truncate(time.Millisecond) + time.Millisecond, contract.ReasonQueueTimeout},
			} {
				got, reason := waitFor(t, class, left, takes, tc.silent)
				if got != tc.want || reason != tc.reason {
					t.Errorf("%s, %v with %v left: refused after %v, reason %v; want %v, %v", tc.name, class, left, got, reason, tc.want, tc.reason)
				}
			}
		}
	}
}

// waitFor returns how long a request of the class waits for a slot that it never
// gets, and why it is refused. Unless the upstream is silent, requests end there.
func waitFor(t *testing.T, class contract.Class, left, takes time.Duration, silent bool) (time.Duration, contract.Reason) {
	t.Helper()
	c := NewController(Config{Slots: 1, MaxQueue: 5}, epoch)
	c.Offer(epoch, Request{Level: contract.LevelOf(contract.ClassOrder, 512)})
	r := request(class)
	c.kinds.of(&r).mean = takes.Seconds()
	r.Deadline = epoch.Add(left)
	waiting, _, _ := c.Offer(epoch, r)
	for at := time.Duration(0); at <= left; at += time.Millisecond {
		now := epoch.Add(at)
		if !silent {
			c.lastEnd = now
		}
		c.kinds.of(&r).mean = takes.Seconds() // does not decay
		c.Tick(now)
		for _, e := range c.Events() {
			if e.Ticket == waiting {
				return at, e.Refusal.Reason
			}
		}
	}
	t.Fatalf("%v with %v left: still waiting after that", class, left)
	return 0, 0
}

func TestLatencyIsLearntFromAnswersAndDeadlines(t *testing.T) {
	for _, row := range []struct {
		verdict contract.Verdict
		reason  contract.Reason
		learns  bool
	}{
		{contract.Ran, contract.ReasonNone, true},
		{contract.MayHaveRun, contract.ReasonDeadline, true},
		{contract.MayHaveRun, contract.ReasonUpstreamFailed, false},
		{contract.MayHaveRun, contract.ReasonCancelled, false},
		{contract.NotRun, contract.ReasonUpstreamRefused, false},
	} {
		c := NewController(DefaultConfig(30), epoch)
		ticket, _, _ := c.Offer(epoch, request(contract.ClassCheck))
		c.Done(epoch, ticket, Result{Verdict: row.verdict, Reason: row.reason, Latency: time.Second})
		if learnt := c.Load().Latency > 0; learnt != row.learns {
			t.Errorf("verdict %v, reason %v: latency learnt = %v, want %v", row.verdict, row.reason, learnt, row.learns)
		}
	}
}
