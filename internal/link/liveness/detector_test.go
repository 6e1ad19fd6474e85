package liveness

import (
	"math/rand"
	"testing"
	"time"
)

const (
	tick = Tick
	// oneWayDelay is the delay of frames and calls on the simulated link.
	oneWayDelay = 20 * time.Millisecond
	// detectionBound is the stated target: an unresponsive link is detected in
	// under 3 s.
	detectionBound = 3 * time.Second
)

// end is one end of a simulated link.
type end struct {
	det         *Detector
	seq, seen   uint64
	frames      int
	paused      func(at time.Duration) bool
	suspectedAt time.Duration
}

// simLink connects two ends. Frames and calls arrive after oneWayDelay, unless
// their direction is cut when they are sent.
type simLink struct {
	at time.Duration
	// every is the time between two ticks of an end, phase the offset of its
	// first tick.
	every  time.Duration
	phase  [2]time.Duration
	cut    [2]func(at time.Duration) bool // by sender
	ends   [2]*end
	events []event
}

type event struct {
	at time.Duration
	to int // index of the receiving end, which reads it when not paused
	do func()
}

func (l *simLink) now() time.Time { return time.Unix(1000, 0).Add(l.at) }

// send runs do at the other end after oneWayDelay, unless the direction is cut.
func (l *simLink) send(from int, do func()) {
	if l.cut[from] == nil || !l.cut[from](l.at) {
		l.events = append(l.events, event{l.at + oneWayDelay, 1 - from, do})
	}
}

// sendFrame sends a control frame.
func (l *simLink) sendFrame(from int) {
	a, b := l.ends[from], l.ends[1-from]
	a.seq++
	a.frames++
	seq, echo := a.seq, a.seen
	l.send(from, func() {
		b.seen = max(b.seen, seq)
		b.det.Received(l.now())
		b.det.Echo(l.now(), echo)
	})
}

// sendCall sends a call from end 0 that takes the given time at end 1.
func (l *simLink) sendCall(takes time.Duration) {
	sent := l.now()
	l.send(0, func() {
		l.ends[1].det.Received(l.now())
		l.events = append(l.events, event{l.at + takes, 1, func() {
			l.send(1, func() { l.ends[0].det.ReplyReceived(l.now(), sent) })
		}})
	})
}

// isPaused reports whether an end is paused.
func (l *simLink) isPaused(i int) bool {
	e := l.ends[i]
	return e.paused != nil && e.paused(l.at)
}

// run steps the link until total, with a call every gap. An end that resumes
// after a pause ticks before it reads what arrived during the pause.
func (l *simLink) run(total, gap, takes time.Duration) {
	for step := time.Duration(0); l.at < total; l.at += 10 * time.Millisecond {
		l.tick()
		if gap > 0 && l.at >= step && !l.isPaused(0) {
			l.sendCall(takes)
			step = l.at + gap
		}
		for i := 0; i < len(l.events); i++ {
			if l.events[i].at <= l.at && !l.isPaused(l.events[i].to) {
				l.events[i].do()
				l.events = append(l.events[:i], l.events[i+1:]...)
				i--
			}
		}
	}
}

// tick polls the detectors whose tick is due.
func (l *simLink) tick() {
	for i, e := range l.ends {
		if l.at%l.every != l.phase[i] || l.isPaused(i) {
			continue
		}
		if e.det.Due(l.now()) {
			l.sendFrame(i)
			e.det.FrameSent(e.seq)
		}
		if e.det.Unresponsive(l.now()) && e.suspectedAt == 0 {
			e.suspectedAt = l.at
		}
	}
}

func newSimLink() *simLink {
	l := &simLink{every: tick}
	l.ends[0] = &end{det: New(Config{}, l.now())}
	l.ends[1] = &end{det: New(Config{Passive: true}, l.now())}
	return l
}

// Guards against link faults that are detected too late, and against slow calls
// or pauses of the local process that are mistaken for a fault.
func TestUnresponsiveOnlyAfterLinkFault(t *testing.T) {
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
		detected   bool
	}{
		{name: "idle"},
		{name: "calls", gap: 50 * time.Millisecond, takes: 30 * time.Millisecond},
		{name: "calls slower than the timeout", gap: 200 * time.Millisecond, takes: 7 * time.Second},
		{name: "rare calls", gap: 5 * time.Second, takes: time.Second},
		{name: "no data in both directions", cut: [2]func(time.Duration) bool{after, after}, detected: true},
		{name: "no outbound data", cut: [2]func(time.Duration) bool{after, nil}, detected: true},
		{name: "no inbound data", cut: [2]func(time.Duration) bool{nil, after}, detected: true},
		{name: "no data in both directions, with calls", cut: [2]func(time.Duration) bool{after, after},
			gap: 50 * time.Millisecond, takes: 30 * time.Millisecond, detected: true},
		{name: "no outbound data, late replies to old calls", cut: [2]func(time.Duration) bool{after, nil},
			gap: 50 * time.Millisecond, takes: 5 * time.Second, detected: true},
		{name: "short interruption", cut: [2]func(time.Duration) bool{between(cutAt, cutAt+800*time.Millisecond), nil}},
		{name: "local pause", paused: between(cutAt, cutAt+6*time.Second)},
		{name: "local pause with calls", gap: 50 * time.Millisecond, takes: 3 * time.Second,
			paused: between(cutAt, cutAt+6*time.Second)},
		{name: "repeated local pauses, no data in both directions", cut: [2]func(time.Duration) bool{after, after},
			paused: func(at time.Duration) bool { return at%(400*time.Millisecond) != 0 }, detected: true},
	}
	for _, c := range cases {
		l := newSimLink()
		l.cut = c.cut
		l.ends[0].paused = c.paused
		l.run(2*cutAt, c.gap, c.takes)
		got := l.ends[0].suspectedAt
		switch {
		case !c.detected && got != 0:
			t.Errorf("%s: suspected at %v, want never", c.name, got)
		case c.detected && (got < cutAt || got >= cutAt+detectionBound):
			t.Errorf("%s: cut at %v, suspected at %v, want within 3 s of the cut", c.name, cutAt, got)
		}
	}
}

// Guards against faults that take too long to detect because of when they begin
// relative to ticks, heartbeats and calls.
func TestDetectionTimeAtAnyPhase(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	worst := time.Duration(0)
	for range 300 {
		cutAt := 5*time.Second + time.Duration(rng.Intn(2000))*time.Millisecond
		gap := time.Duration(rng.Intn(8)) * 150 * time.Millisecond
		takes := time.Duration(rng.Intn(3000)) * time.Millisecond
		l := newSimLink()
		after := func(at time.Duration) bool { return at >= cutAt }
		l.cut[rng.Intn(2)] = after
		l.run(10*time.Second, gap, takes)
		delay := l.ends[0].suspectedAt - cutAt
		if delay < 0 || delay >= detectionBound {
			t.Errorf("cut at %v, calls every %v taking %v: suspected after %v, want under 3 s", cutAt, gap, takes, delay)
		}
		worst = max(worst, delay)
	}
	t.Logf("worst detection time: %v", worst)
}

// Guards against suspecting the link when its calls are slow, for any phase of
// the ticks of both ends.
func TestSlowRepliesDoNotMakeLinkUnresponsive(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		takes = 4 * time.Second
	)
	check := func(every, phase, gap time.Duration) {
		l := newSimLink()
		l.every, l.phase = every, [2]time.Duration{0, phase}
		l.run(20*time.Second, gap, takes)
		if got := l.ends[0].suspectedAt; got != 0 {
			t.Errorf("calls every %v, ticks every %v offset by %v: suspected at %v, want never", gap, every, phase, got)
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

// Guards against a link that is never suspected because its calls get no reply
// and no heartbeat is sent.
func TestUnansweredCallsTriggerHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	d := New(Config{}, start)
	d.ReplyReceived(at(2*tick), start) // a later call gets no reply
	for now := 2 * tick; now < DefaultInterval; now += tick {
		if d.Due(at(now)) {
			t.Fatalf("heartbeat due %v after the newest acknowledgement, want not before Interval", now)
		}
	}
	if !d.Due(at(DefaultInterval)) {
		t.Fatal("no heartbeat due after Interval")
	}
	suspectedAt := DefaultInterval + DefaultTimeout
	for now := DefaultInterval; now < suspectedAt; now += tick {
		d.Due(at(now))
		if d.Unresponsive(at(now)) {
			t.Fatalf("suspected after %v, want not before Interval + Timeout", now)
		}
	}
	if !d.Unresponsive(at(suspectedAt)) {
		t.Error("not suspected after an unacknowledged heartbeat")
	}
}

// Guards against counting the echo of a frame that was sent before a heartbeat
// as its acknowledgement.
func TestEchoOfEarlierFrameDoesNotAckHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	for seq, want := range map[uint64]bool{6: true, 7: false, 8: false} {
		d := New(Config{}, start)
		sentAt := start.Add(DefaultInterval)
		if !d.Due(sentAt) {
			t.Fatal("no heartbeat due after Interval")
		}
		d.FrameSent(7)
		d.Echo(sentAt.Add(tick), seq)
		for now := sentAt; now.Before(sentAt.Add(DefaultTimeout)); now = now.Add(tick) {
			d.Due(now)
		}
		if got := d.Unresponsive(sentAt.Add(DefaultTimeout)); got != want {
			t.Errorf("heartbeat 7, echo of %d: got unresponsive %v", seq, got)
		}
	}
}

// Guards against accepted links that stay open after the dialling end has
// failed.
func TestPassiveEndDetectsUnresponsivePeer(t *testing.T) {
	l := newSimLink()
	l.cut[0] = func(at time.Duration) bool { return at >= 5*time.Second }
	l.run(10*time.Second, 0, 0)
	if got := l.ends[1].suspectedAt - 5*time.Second; got < 0 || got >= detectionBound {
		t.Errorf("passive end suspected after %v, want under 3 s", got)
	}
}

// Guards against heartbeats on busy links, and against echoes that answer each
// other endlessly.
func TestHeartbeatRate(t *testing.T) {
	const total = 90 * time.Second
	idle, busy := newSimLink(), newSimLink()
	idle.run(total, 0, 0)
	busy.run(total, 50*time.Millisecond, 30*time.Millisecond)
	frameCounts := func(l *simLink) (int, int) { return l.ends[0].frames, l.ends[1].frames }
	sent, echoed := frameCounts(idle)
	if limit := int(total / DefaultInterval); sent > limit || echoed > limit {
		t.Errorf("idle link: %d heartbeats and %d echoes in %v, want at most %d", sent, echoed, total, limit)
	}
	if sent, echoed = frameCounts(busy); sent+echoed != 0 {
		t.Errorf("busy link: %d heartbeats and %d echoes, want none", sent, echoed)
	}
	// Each update needs one echo, and the echoes are not answered.
	updates := newSimLink()
	for from := range updates.ends {
		for range 5 {
			updates.sendFrame(from)
		}
	}
	updates.run(time.Second, 0, 0)
	if sent, echoed = frameCounts(updates); sent != 5 || echoed != 6 {
		t.Errorf("after 5 updates in each direction: %d and %d frames, want 5 and 6", sent, echoed)
	}
}
