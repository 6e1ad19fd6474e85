// Package liveness detects links whose peer has become unresponsive.
//
// A connection can become half-open: something between the two ends loses its
// state, no error is reported, the kernel keeps accepting data, and the
// transport's own keepalive takes tens of seconds to notice. Each link
// therefore has its own Detector. It relies on acknowledgements that data sent
// by this end has arrived: a reply to a call, or a heartbeat whose sequence
// number the peer echoes. Receiving frames is no acknowledgement, because a
// link can fail in one direction only.
//
// No heartbeat is due while replies arrive. One becomes due when the newest
// acknowledgement is older than Interval, and the link is unresponsive once a
// heartbeat has been unacknowledged for Timeout. A call without a reply does
// not count against the link, because its upstream may only be slow. An
// unresponsive peer is thus detected within Interval + Timeout plus two ticks
// of the caller, on idle and on busy links.
//
// One link, with one Detector, serves all services and kinds between two VMs;
// docs/design/liveness.md has the figures.
package liveness

import "time"

// Defaults of Config. Their sum plus two ticks stays under 3 s.
const (
	DefaultInterval = 1200 * time.Millisecond
	DefaultTimeout  = 1500 * time.Millisecond
)

// Tick is the interval at which the caller polls a Detector.
const Tick = 100 * time.Millisecond

// maxUnacked bounds the unacknowledged heartbeats that are tracked one by one.
// No more than Timeout / Interval are ever needed; newer ones are not tracked.
const maxUnacked = 4

// Config sets how fast a Detector reacts. Zero fields select the defaults.
type Config struct {
	// Interval is the age of the newest acknowledgement at which a heartbeat is
	// due.
	Interval time.Duration
	// Timeout is how long a heartbeat may stay unacknowledged.
	Timeout time.Duration
	// Passive marks the end that accepted the link; exactly one end of a link
	// must be passive. It makes no calls over the link and needs no
	// acknowledgements: it only answers control frames, and it considers the
	// link unresponsive when nothing has been received for Interval + Timeout.
	Passive bool
}

// heartbeat is an unacknowledged heartbeat. seq is 0 until FrameSent is called.
type heartbeat struct {
	at  time.Time
	seq uint64
}

// Detector watches one connection. It reads no clock: all times are passed in
// and must not decrease. It is not safe for concurrent use. A new connection
// needs a new Detector.
type Detector struct {
	cfg Config
	// ackedUpTo is the latest send time whose data is known to have arrived.
	ackedUpTo time.Time
	// lastHeartbeat is when the newest heartbeat became due.
	lastHeartbeat time.Time
	// unacked holds the unacknowledged heartbeats, oldest first; only the first
	// numUnacked entries are valid.
	unacked    [maxUnacked]heartbeat
	numUnacked int
	// lastReceived is when anything last arrived.
	lastReceived time.Time
	// maxEcho is the highest sequence number of this end that the peer has
	// echoed.
	maxEcho uint64
	// echoDue is set while the peer waits for an echo.
	echoDue bool
	// lastTick is the latest time passed to Due or Unresponsive, and gap the
	// time between the two latest distinct ones.
	lastTick time.Time
	gap      time.Duration
}

// New returns the Detector of a connection that was made at now.
func New(cfg Config, now time.Time) *Detector {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Detector{cfg: cfg, ackedUpTo: now, lastReceived: now, lastTick: now}
}

// Received records that something arrived from the peer. It acknowledges
// nothing.
func (d *Detector) Received(now time.Time) { d.lastReceived = now }

// ReplyReceived records a reply to the call that was sent at sent. It
// acknowledges only what was sent up to then, so late replies to old calls do
// not hide that new calls no longer arrive.
func (d *Detector) ReplyReceived(now, sent time.Time) {
	d.lastReceived = now
	d.ack(sent)
}

// Echo records a control frame from the peer; seq is the highest sequence number
// of this end that the frame echoes. At the passive end it makes an echo due. The
// active end does not answer an echo, or the two ends would echo each other
// endlessly.
func (d *Detector) Echo(now time.Time, seq uint64) {
	d.lastReceived = now
	d.echoDue = d.cfg.Passive
	numAcked := d.numAcked(seq)
	d.maxEcho = max(d.maxEcho, seq)
	if numAcked > 0 {
		d.ack(d.unacked[numAcked-1].at)
	}
}

// numAcked returns how many of the unacknowledged heartbeats an echo of seq
// acknowledges. If the oldest one has no sequence number yet, a new echo
// acknowledges that one only.
func (d *Detector) numAcked(seq uint64) int {
	n := 0
	for n < d.numUnacked && d.unacked[n].seq != 0 && d.unacked[n].seq <= seq {
		n++
	}
	if n == 0 && d.numUnacked > 0 && d.unacked[0].seq == 0 && seq > d.maxEcho {
		return 1
	}
	return n
}

// ack records that everything sent up to the given time has arrived.
func (d *Detector) ack(sent time.Time) {
	if sent.After(d.ackedUpTo) {
		d.ackedUpTo = sent
	}
	for d.numUnacked > 0 && !d.unacked[0].at.After(d.ackedUpTo) {
		copy(d.unacked[:], d.unacked[1:d.numUnacked])
		d.numUnacked--
	}
}

// Due reports whether a control frame must be sent now, as a heartbeat or as
// the echo of one. The caller polls it every Tick and sends the frame.
func (d *Detector) Due(now time.Time) bool {
	d.observe(now)
	if !d.cfg.Passive && d.heartbeatDue(now) {
		d.lastHeartbeat = now
		if d.numUnacked < maxUnacked {
			d.unacked[d.numUnacked] = heartbeat{at: now}
			d.numUnacked++
		}
		d.echoDue = false
		return true
	}
	echoDue := d.echoDue
	d.echoDue = false
	return echoDue
}

// FrameSent records the sequence number of the control frame that was sent
// because Due asked for it, so that the echo of an earlier frame does not
// acknowledge it.
func (d *Detector) FrameSent(seq uint64) {
	if d.numUnacked > 0 && d.unacked[d.numUnacked-1].seq == 0 {
		d.unacked[d.numUnacked-1].seq = seq
	}
}

// heartbeatDue reports whether Interval has passed since the newest
// acknowledgement and since the newest heartbeat.
func (d *Detector) heartbeatDue(now time.Time) bool {
	newest := d.ackedUpTo
	if d.lastHeartbeat.After(newest) {
		newest = d.lastHeartbeat
	}
	return now.Sub(newest) >= d.cfg.Interval
}

// Unresponsive reports whether the peer must be suspected to have failed. The
// caller polls it every Tick.
func (d *Detector) Unresponsive(now time.Time) bool {
	d.observe(now)
	if d.cfg.Passive {
		return now.Sub(d.lastReceived) >= d.cfg.Interval+d.cfg.Timeout
	}
	return d.numUnacked > 0 && now.Sub(d.unacked[0].at) >= d.cfg.Timeout
}

// Status is the state of a Detector at one time, as ages.
type Status struct {
	// LastAck is the age of the newest acknowledged data, counted from when it
	// was sent. LastContact is the time since anything was received.
	LastAck, LastContact time.Duration
	// UnackedHeartbeat is the age of the oldest unacknowledged heartbeat; 0 if
	// there is none.
	UnackedHeartbeat time.Duration
	// TickGap is the time between the two latest ticks. It is well above Tick in
	// a process that is short of processor time.
	TickGap time.Duration
}

// Status returns the state of the Detector at now.
func (d *Detector) Status(now time.Time) Status {
	st := Status{LastAck: now.Sub(d.ackedUpTo), LastContact: now.Sub(d.lastReceived), TickGap: d.gap}
	if d.numUnacked > 0 {
		st.UnackedHeartbeat = now.Sub(d.unacked[0].at)
	}
	return st
}

// observe compensates for a pause of this process. What arrived during the
// pause has not been read yet, so when two ticks are more than Interval/2 apart
// only Interval/4 of that gap counts against the peer.
func (d *Detector) observe(now time.Time) {
	gap := now.Sub(d.lastTick)
	d.lastTick = now
	if gap > 0 {
		d.gap = gap
	}
	if gap <= d.cfg.Interval/2 {
		return
	}
	pause := gap - d.cfg.Interval/4
	for i := range d.numUnacked {
		d.unacked[i].at = shift(d.unacked[i].at, pause, now)
	}
	d.lastReceived = shift(d.lastReceived, pause, now)
}

// shift adds the pause to t, but does not move it past now.
func shift(t time.Time, pause time.Duration, now time.Time) time.Time {
	t = t.Add(pause)
	if t.After(now) {
		return now
	}
	return t
}
