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
	c          *Controller
	now        time.Time
	ceiling    int
	queued     map[Ticket]contract.Class
	running    []Ticket
	mustNotRun map[Ticket]bool // waited in a lower class when an order was shed
	violation  string
}

func (m *model) start(t Ticket) {
	if m.mustNotRun[t] {
		m.violation = "a lookup or check ran from the queue after an order was shed"
	}
	m.running = append(m.running, t)
	if len(m.running) > m.ceiling {
		m.violation = "more requests started than the ceiling"
	}
}

func (m *model) shed(class contract.Class, r contract.Reason) {
	if class != contract.ClassOrder || r == contract.ReasonDeadline {
		return
	}
	for t, queued := range m.queued {
		if queued < class {
			m.mustNotRun[t] = true
		}
	}
}

func (m *model) drain() {
	for _, e := range m.c.Events() {
		class, ok := m.queued[e.Ticket]
		if !ok {
			m.violation = "event for a request that is not queued"
		}
		delete(m.queued, e.Ticket)
		if e.Outcome == Running {
			m.start(e.Ticket)
		} else {
			m.shed(class, e.Refusal.Reason)
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
		m.shed(class, refusal.Reason)
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
		cfg := Config{Slots: 6, MinLimit: 2, MaxQueue: 5, MaxWait: DefaultConfig(6).MaxWait, ColdFraction: 1}
		m := &model{c: NewController(cfg, epoch), now: epoch, ceiling: 6, queued: map[Ticket]contract.Class{}, mustNotRun: map[Ticket]bool{}}
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
		f := runFake(trigger{surge: 4}, Config{Slots: workers, MinLimit: 2, MaxQueue: 60, MaxWait: DefaultConfig(1).MaxWait}, int64(hop+1))
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

// TestStaleEntriesAreDropped lets one request of each class wait for a slot
// that never becomes free.
func TestStaleEntriesAreDropped(t *testing.T) {
	cfg := Config{Slots: 1, MaxQueue: 5, MaxWait: DefaultConfig(1).MaxWait}
	for class, want := range cfg.MaxWait {
		c := NewController(cfg, epoch)
		c.Offer(epoch, request(contract.ClassOrder))
		waiting, _, _ := c.Offer(epoch, request(contract.Class(class)))
		var dropped time.Duration
		for at := time.Millisecond; at < time.Second && dropped == 0; at += time.Millisecond {
			c.Tick(epoch.Add(at))
			for _, e := range c.Events() {
				if e.Ticket == waiting && e.Refusal.Reason == contract.ReasonQueueTimeout {
					dropped = at
				}
			}
		}
		if dropped != want+time.Millisecond {
			t.Errorf("%v dropped after %v, want at the first tick after %v", contract.Class(class), dropped, want)
		}
	}
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
