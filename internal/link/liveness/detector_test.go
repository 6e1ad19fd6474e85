package liveness

import (
	"math/rand"
	"testing"
	"time"
)

const (
	tick = Tick
	trip = 20 * time.Millisecond
	// foundBy is the stated target: silence is found in under 3 s.
	foundBy = 3 * time.Second
)

// end is one end of a simulated link.
type end struct {
	det       *Detector
	seq, seen uint64
	frames    int
	paused    func(at time.Duration) bool
	silentAt  time.Duration
}

// wire joins two ends. Frames and calls arrive after trip, unless their
// direction is cut by then.
type wire struct {
	at time.Duration
	// every is the time between two ticks of an end, phase when its first one is.
	every  time.Duration
	phase  [2]time.Duration
	cut    [2]func(at time.Duration) bool // by sender
	ends   [2]*end
	events []event
}

type event struct {
	at time.Duration
	to int // the end that reads it, once it is not paused
	do func()
}

func (w *wire) now() time.Time { return time.Unix(1000, 0).Add(w.at) }

// send lets do happen at the other end.
func (w *wire) send(from int, do func()) {
	if w.cut[from] == nil || !w.cut[from](w.at) {
		w.events = append(w.events, event{w.at + trip, 1 - from, do})
	}
}

// frame sends a control frame.
func (w *wire) frame(from int) {
	a, b := w.ends[from], w.ends[1-from]
	a.seq++
	a.frames++
	seq, echo := a.seq, a.seen
	w.send(from, func() {
		b.seen = max(b.seen, seq)
		b.det.Received(w.now())
		b.det.Echo(w.now(), echo)
	})
}

// call sends a call from end 0 that takes the given time at end 1.
func (w *wire) call(takes time.Duration) {
	sent := w.now()
	w.send(0, func() {
		w.ends[1].det.Received(w.now())
		w.events = append(w.events, event{w.at + takes, 1, func() {
			w.send(1, func() { w.ends[0].det.ReplyReceived(w.now(), sent) })
		}})
	})
}

// stopped reports whether an end is paused.
func (w *wire) stopped(i int) bool {
	e := w.ends[i]
	return e.paused != nil && e.paused(w.at)
}

// run steps the link for the given time, with calls every gap. An end that
// goes on after a pause ticks before it reads what has arrived meanwhile.
func (w *wire) run(total, gap, takes time.Duration) {
	for step := time.Duration(0); w.at < total; w.at += 10 * time.Millisecond {
		w.tick()
		if gap > 0 && w.at >= step && !w.stopped(0) {
			w.call(takes)
			step = w.at + gap
		}
		for i := 0; i < len(w.events); i++ {
			if w.events[i].at <= w.at && !w.stopped(w.events[i].to) {
				w.events[i].do()
				w.events = append(w.events[:i], w.events[i+1:]...)
				i--
			}
		}
	}
}

// tick asks the detectors whose time it is.
func (w *wire) tick() {
	for i, e := range w.ends {
		if w.at%w.every != w.phase[i] || w.stopped(i) {
			continue
		}
		if e.det.Due(w.now()) {
			w.frame(i)
			e.det.FrameSent(e.seq)
		}
		if e.det.Unresponsive(w.now()) && e.silentAt == 0 {
			e.silentAt = w.at
		}
	}
}

func newWire() *wire {
	w := &wire{every: tick}
	w.ends[0] = &end{det: New(Config{}, w.now())}
	w.ends[1] = &end{det: New(Config{Passive: true}, w.now())}
	return w
}

func TestFaults(t *testing.T) {
	const cutAt = 10 * time.Second
	after := func(at time.Duration) bool { return at >= cutAt }
	between := func(from, to time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at >= from && at < to }
	}
	cases := []struct {
		name       string
		cut        [2]func(time.Duration) bool
		gap, takes time.Duration
		paused     func(time.Duration) bool
		found      bool
	}{
		{name: "idle"},
		{name: "calls", gap: 50 * time.Millisecond, takes: 30 * time.Millisecond},
		{name: "calls slower than the timeout", gap: 200 * time.Millisecond, takes: 7 * time.Second},
		{name: "rare calls", gap: 5 * time.Second, takes: time.Second},
		{name: "silent both ways", cut: [2]func(time.Duration) bool{after, after}, found: true},
		{name: "silent outwards", cut: [2]func(time.Duration) bool{after, nil}, found: true},
		{name: "silent inwards", cut: [2]func(time.Duration) bool{nil, after}, found: true},
		{name: "silent under calls", cut: [2]func(time.Duration) bool{after, after},
			gap: 50 * time.Millisecond, takes: 30 * time.Millisecond, found: true},
		{name: "silent outwards while old answers trickle in", cut: [2]func(time.Duration) bool{after, nil},
			gap: 50 * time.Millisecond, takes: 5 * time.Second, found: true},
		{name: "short cut", cut: [2]func(time.Duration) bool{between(cutAt, cutAt+800*time.Millisecond), nil}},
		{name: "own pause", paused: between(cutAt, cutAt+6*time.Second)},
		{name: "own pause under calls", gap: 50 * time.Millisecond, takes: 3 * time.Second,
			paused: between(cutAt, cutAt+6*time.Second)},
		{name: "own pauses again and again, silent", cut: [2]func(time.Duration) bool{after, after},
			paused: func(at time.Duration) bool { return at%(400*time.Millisecond) != 0 }, found: true},
	}
	for _, c := range cases {
		w := newWire()
		w.cut = c.cut
		w.ends[0].paused = c.paused
		w.run(2*cutAt, c.gap, c.takes)
		got := w.ends[0].silentAt
		switch {
		case !c.found && got != 0:
			t.Errorf("%s: taken for silent at %v", c.name, got)
		case c.found && (got < cutAt || got >= cutAt+foundBy):
			t.Errorf("%s: cut at %v, found at %v", c.name, cutAt, got)
		}
	}
}

func TestSilenceIsFoundInTimeWhereverItFalls(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	worst := time.Duration(0)
	for range 300 {
		cutAt := 5*time.Second + time.Duration(rng.Intn(2000))*time.Millisecond
		gap := time.Duration(rng.Intn(8)) * 150 * time.Millisecond
		takes := time.Duration(rng.Intn(3000)) * time.Millisecond
		w := newWire()
		after := func(at time.Duration) bool { return at >= cutAt }
		w.cut[rng.Intn(2)] = after
		w.run(10*time.Second, gap, takes)
		found := w.ends[0].silentAt - cutAt
		if found < 0 || found >= foundBy {
			t.Errorf("cut at %v, calls each %v taking %v: found after %v", cutAt, gap, takes, found)
		}
		worst = max(worst, found)
	}
	t.Logf("silence found after %v at worst", worst)
}

func TestSlowAnswersAreNotTakenForSilence(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		takes = 4 * time.Second
	)
	check := func(every, phase, gap time.Duration) {
		w := newWire()
		w.every, w.phase = every, [2]time.Duration{0, phase}
		w.run(20*time.Second, gap, takes)
		if got := w.ends[0].silentAt; got != 0 {
			t.Errorf("calls each %v, ticks each %v, %v apart: taken for silent at %v", gap, every, phase, got)
		}
	}
	for _, every := range []time.Duration{Tick, 250 * time.Millisecond, 500 * time.Millisecond} {
		for phase := time.Duration(0); phase < every; phase += step {
			check(every, phase, 130*time.Millisecond)
			check(every, phase, 700*time.Millisecond)
			check(every, phase, 4700*time.Millisecond)
		}
	}
}

func TestCallsWithoutAnAnswerBringAHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	d := New(Config{}, start)
	d.ReplyReceived(at(2*tick), start) // of a later call there is no sign
	for now := 2 * tick; now < DefaultInterval; now += tick {
		if d.Due(at(now)) {
			t.Fatalf("heartbeat due %v after the newest proof", now)
		}
	}
	if !d.Due(at(DefaultInterval)) {
		t.Fatal("no heartbeat due")
	}
	silentAt := DefaultInterval + DefaultTimeout
	for now := DefaultInterval; now < silentAt; now += tick {
		d.Due(at(now))
		if d.Unresponsive(at(now)) {
			t.Fatalf("taken for silent after %v", now)
		}
	}
	if !d.Unresponsive(at(silentAt)) {
		t.Error("a heartbeat without any sign of life is not noticed")
	}
}

func TestAnEchoOfAnEarlierFrameIsNoProof(t *testing.T) {
	start := time.Unix(1000, 0)
	for seq, want := range map[uint64]bool{6: true, 7: false, 8: false} {
		d := New(Config{}, start)
		beat := start.Add(DefaultInterval)
		if !d.Due(beat) {
			t.Fatal("no heartbeat due")
		}
		d.FrameSent(7)
		d.Echo(beat.Add(tick), seq)
		for now := beat; now.Before(beat.Add(DefaultTimeout)); now = now.Add(tick) {
			d.Due(now)
		}
		if got := d.Unresponsive(beat.Add(DefaultTimeout)); got != want {
			t.Errorf("heartbeat 7, echo of %d: silent %v", seq, got)
		}
	}
}

func TestPassiveEndFindsSilence(t *testing.T) {
	w := newWire()
	w.cut[0] = func(at time.Duration) bool { return at >= 5*time.Second }
	w.run(10*time.Second, 0, 0)
	if got := w.ends[1].silentAt - 5*time.Second; got < 0 || got >= foundBy {
		t.Errorf("passive end found silence after %v", got)
	}
}

func TestHeartbeatsAreFewAndNoneUnderAnswers(t *testing.T) {
	const total = 90 * time.Second
	idle, busy := newWire(), newWire()
	idle.run(total, 0, 0)
	busy.run(total, 50*time.Millisecond, 30*time.Millisecond)
	per := func(w *wire) (int, int) { return w.ends[0].frames, w.ends[1].frames }
	sent, echoed := per(idle)
	if limit := int(total / DefaultInterval); sent > limit || echoed > limit {
		t.Errorf("idle link: %d heartbeats and %d echoes in %v, want at most %d", sent, echoed, total, limit)
	}
	if sent, echoed = per(busy); sent+echoed != 0 {
		t.Errorf("busy link: %d heartbeats and %d echoes, want none", sent, echoed)
	}
	// News needs an echo each, and no frames that go back and forth after it.
	news := newWire()
	for from := range news.ends {
		for range 5 {
			news.frame(from)
		}
	}
	news.run(time.Second, 0, 0)
	if sent, echoed = per(news); sent != 5 || echoed != 6 {
		t.Errorf("after 5 frames of news each way: %d and %d frames, want 5 and 6", sent, echoed)
	}
}
