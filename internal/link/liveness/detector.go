// Package liveness decides whether the other end of a link has gone silent.
//
// A connection can go silent for good without an error, because something
// between the two ends has lost track of it: the kernel goes on accepting what
// is sent, and the transport's own keepalive needs tens of seconds. So each
// link has a Detector of its own. It looks for proof that what this end sent
// has arrived: an answer to a call, or a heartbeat whose sequence number the
// other end echoes. Frames that merely arrive are no proof, since a link may
// be silent in one direction only.
//
// While answers flow no heartbeat is due. Once the newest proof is older than
// Interval, one is; once a heartbeat has been without proof for Timeout, the
// link is silent. A call without an answer says nothing of the link: its
// upstream may just be slow. So silence is found within Interval + Timeout and
// two ticks of the caller, on idle and on busy links.
//
// One link serves all services and kinds between two VMs and has one Detector;
// docs/design/liveness.md has the figures.
package liveness

import "time"

// Defaults of Config. Their sum and two ticks stay under 3 s.
const (
	DefaultInterval = 1200 * time.Millisecond
	DefaultTimeout  = 1500 * time.Millisecond
)

// Tick is how often the caller asks a Detector.
const Tick = 100 * time.Millisecond

// maxOpen bounds the heartbeats without proof that are kept apart. More than
// Timeout / Interval are never needed; the newest are left out.
const maxOpen = 4

// Config is how fast a Detector looks. Zero fields stand for the defaults.
type Config struct {
	// Interval is the age of the newest proof at which a heartbeat is due.
	Interval time.Duration
	// Timeout is how long a heartbeat may be without proof.
	Timeout time.Duration
	// Passive is for the end that accepted the link; one end of every link must
	// be. It makes no calls over the link, so it needs no proof: it only answers
	// control frames, and takes the link for silent when nothing was heard for
	// Interval + Timeout.
	Passive bool
}

// heartbeat is one that was sent; seq is 0 until Sent is called.
type heartbeat struct {
	at  time.Time
	seq uint64
}

// Detector watches one connection. It holds no clock: all times are passed in
// and must not decrease. It is not safe for concurrent use. A new connection
// needs a new Detector.
type Detector struct {
	cfg Config
	// proven is the latest time at which something was sent that is known to
	// have arrived.
	proven time.Time
	// beat is when the newest heartbeat became due.
	beat time.Time
	// open holds the heartbeats without proof, oldest first; the first numOpen
	// count.
	open    [maxOpen]heartbeat
	numOpen int
	// heard is when anything last arrived.
	heard time.Time
	// echo is the highest own sequence number that the other end has echoed.
	echo uint64
	// owed says that the other end waits for an echo.
	owed bool
	// tick is the newest time at which Due or Silent was asked, and gap the time
	// between the two newest ones that differ.
	tick time.Time
	gap  time.Duration
}

// New returns the Detector of a connection made at now.
func New(cfg Config, now time.Time) *Detector {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Detector{cfg: cfg, proven: now, heard: now, tick: now}
}

// Received records that anything arrived from the other end.
func (d *Detector) Received(now time.Time) { d.heard = now }

// ReplyReceived records an answer to the call that was sent at the given time.
// Answers to old calls that still trickle in do not hide that new ones no
// longer arrive.
func (d *Detector) ReplyReceived(now, sent time.Time) {
	d.heard = now
	d.prove(sent)
}

// Echo records a control frame from the other end, with the highest sequence
// number of this end that it has received. At the passive end it makes an echo
// due; the end that made the link answers no echo, or the two would go on for
// ever.
func (d *Detector) Echo(now time.Time, seq uint64) {
	d.heard = now
	d.owed = d.cfg.Passive
	arrived := d.arrived(seq)
	d.echo = max(d.echo, seq)
	if arrived > 0 {
		d.prove(d.open[arrived-1].at)
	}
}

// arrived is the number of open heartbeats that an echo of seq proves. Of a
// heartbeat whose number is not known only the oldest is taken for proven.
func (d *Detector) arrived(seq uint64) int {
	n := 0
	for n < d.numOpen && d.open[n].seq != 0 && d.open[n].seq <= seq {
		n++
	}
	if n == 0 && d.numOpen > 0 && d.open[0].seq == 0 && seq > d.echo {
		return 1
	}
	return n
}

// prove notes that what was sent up to the given time has arrived.
func (d *Detector) prove(sent time.Time) {
	if sent.After(d.proven) {
		d.proven = sent
	}
	for d.numOpen > 0 && !d.open[0].at.After(d.proven) {
		copy(d.open[:], d.open[1:d.numOpen])
		d.numOpen--
	}
}

// Due reports whether a control frame must be sent now, as a heartbeat or as
// the echo of one; the caller then sends it. Ask every Tick.
func (d *Detector) Due(now time.Time) bool {
	d.observe(now)
	if !d.cfg.Passive && d.beatDue(now) {
		d.beat = now
		if d.numOpen < maxOpen {
			d.open[d.numOpen] = heartbeat{at: now}
			d.numOpen++
		}
		d.owed = false
		return true
	}
	owed := d.owed
	d.owed = false
	return owed
}

// FrameSent records the sequence number of the control frame that was sent because
// Due asked for it, so that an echo of an earlier frame is no proof of it.
func (d *Detector) FrameSent(seq uint64) {
	if d.numOpen > 0 && d.open[d.numOpen-1].seq == 0 {
		d.open[d.numOpen-1].seq = seq
	}
}

// beatDue reports whether the newest proof and the newest heartbeat are both
// older than Interval.
func (d *Detector) beatDue(now time.Time) bool {
	newest := d.proven
	if d.beat.After(newest) {
		newest = d.beat
	}
	return now.Sub(newest) >= d.cfg.Interval
}

// Unresponsive reports whether the link must be taken for silent.
func (d *Detector) Unresponsive(now time.Time) bool {
	d.observe(now)
	if d.cfg.Passive {
		return now.Sub(d.heard) >= d.cfg.Interval+d.cfg.Timeout
	}
	return d.numOpen > 0 && now.Sub(d.open[0].at) >= d.cfg.Timeout
}

// Status is what a Detector waits for, as ages; 0 stands for nothing.
type Status struct {
	// LastAck is the age of the newest proof, LastContact that of what last arrived.
	LastAck, LastContact time.Duration
	// UnackedHeartbeat is how long the oldest one is without proof.
	UnackedHeartbeat time.Duration
	// TickGap is the time between the two newest ticks: a process short of
	// processor time ticks late.
	TickGap time.Duration
}

// Status returns what the Detector waits for.
func (d *Detector) Status(now time.Time) Status {
	w := Status{LastAck: now.Sub(d.proven), LastContact: now.Sub(d.heard), TickGap: d.gap}
	if d.numOpen > 0 {
		w.UnackedHeartbeat = now.Sub(d.open[0].at)
	}
	return w
}

// observe notices a pause of this process: what would have arrived meanwhile
// waits to be read, so the time between two ticks that are far apart is not
// held against the other end, but for that of an ordinary tick.
func (d *Detector) observe(now time.Time) {
	gap := now.Sub(d.tick)
	d.tick = now
	if gap > 0 {
		d.gap = gap
	}
	if gap <= d.cfg.Interval/2 {
		return
	}
	pause := gap - d.cfg.Interval/4
	for i := range d.numOpen {
		d.open[i].at = later(d.open[i].at, pause, now)
	}
	d.heard = later(d.heard, pause, now)
}

// later moves a time by the pause, but not past now.
func later(t time.Time, pause time.Duration, now time.Time) time.Time {
	t = t.Add(pause)
	if t.After(now) {
		return now
	}
	return t
}
