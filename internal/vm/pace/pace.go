// Package pace limits the concurrent requests of an upstream that has started or that
// loses part of its requests, until its responses show that it takes more.
//
// The latency of its responses is compared with that of its peers, the other upstreams
// of its service. The limit grows while they are about as quick, holds where they are
// slower and falls where they are much slower. The ramp-up ends when nearly all slots
// were in use and the responses still quick, not after a time. Without recent evidence
// of peers there is no limit.
package pace

import (
	"math"
	"time"
)

const (
	// floorShare is the share of the slots that are used at least, and minFloor
	// their number: an upstream without requests shows nothing.
	floorShare = 0.125
	minFloor   = 2
	// A window ends after as many responses as the limit, but at least minSamples:
	// where latencies vary by a third, a mean over them varies by about an eighth.
	minSamples = 6
	// fullShare is the share of the slots that count as nearly all.
	fullShare = 0.75
	// growth is the factor of the limit per quick window. One step beyond what the
	// upstream takes makes responses 1.5 times as long, less than twice.
	growth = 1.5
	// growthShare is the share of the limit that it grows by once it has fallen.
	growthShare = 0.125
	// Up to quick times the latency to compare with, responses are quick; beyond
	// muchSlower times, the limit falls.
	quick      = 1.25
	muchSlower = 1.5
	// After maxHeld windows without a change the limit falls as well. Where the
	// latency stays above unchanged times what it was before a fall, it does not
	// depend on the limit: a load that shares the upstream falls by a fifth or more.
	maxHeld   = 2
	unchanged = 0.9
	// baseMargin is the error that the upstream's own latency may have, which is a mean
	// over few samples.
	baseMargin = 1.15
	// maxSlower is how much slower than its peers an upstream may be by itself. The
	// slowest VMs of a deployment run at half the speed of the others.
	maxSlower = 2.0
	// steadyWindows is the number of windows at the floor after which the upstream
	// is slow by itself, whatever its peers do, and of quick ones with all slots
	// after which the ramp-up ends although few are in use.
	steadyWindows = 16
	// A loss higher than that of the peers by lossMargin begins a ramp-up, or lets
	// the limit fall. It is more than one of the samples of a window.
	lossMargin = 0.25
	// minLookups is the number of lookups that succeed before orders are admitted.
	// maxOrders is the number of orders in a row, without a lookup, that are
	// rejected before the upstream counts as one of orders alone.
	minLookups = 3
	maxOrders  = 4
	// validity is the time for which evidence counts. Heartbeats bring it several
	// times a second.
	validity = 3 * time.Second
)

// Evidence is what a node knows of its upstream and of the upstream's peers.
type Evidence struct {
	// Latency is that of the peers, over all kinds of requests; 0 if no peer has
	// reported one.
	Latency time.Duration
	// Loss is the share of its requests that the upstream does not answer, and
	// PeerLoss that of its peers.
	Loss, PeerLoss float64
}

// Ramp is the limit of one upstream. The zero value has no limit. It is not safe for
// concurrent use.
type Ramp struct {
	evidence Evidence
	at       time.Time // of evidence
	// due says that the upstream has started, and that no ramp-up has begun since.
	due bool
	// active says that the limit applies, and ended that a ramp-up has ended on
	// evidence since the start. fell says that it has fallen before.
	active, ended, fell bool
	// slow says that the upstream is slow by itself.
	slow  bool
	limit float64
	// The current window: its begin, its responses, the sum of their latencies, and
	// the requests without a response.
	since     time.Time
	responses int
	lost      int
	sum       time.Duration
	peak      int // most requests that ran when one ended
	// base is the latency in the last window at the floor, where the upstream's own
	// load hardly counts, or in one that shows that it does not depend on the limit.
	// before is the latency before the limit has just fallen, or 0; held counts the
	// windows in which it neither grew nor fell. steady counts such windows in a row, or quick ones with all
	// slots.
	base, before time.Duration
	held, steady int
	// lookups counts those that have succeeded since the start; orders those that
	// were rejected since the last lookup was offered.
	lookups, orders int
}

// floor returns the lowest limit.
func floor(slots int) float64 {
	return min(max(math.Ceil(floorShare*float64(slots)), minFloor), float64(slots))
}

// Start records that the upstream has started. Its ramp-up begins once there is
// evidence, unless it has answered as many requests as it has slots before.
func (r *Ramp) Start(now time.Time, slots int) {
	*r = Ramp{evidence: r.evidence, at: r.at, due: true}
	r.beginIfDue(now, slots)
}

// SetEvidence replaces the evidence. inFlight is the number of requests that run.
func (r *Ramp) SetEvidence(now time.Time, e Evidence, slots, inFlight int) {
	r.evidence, r.at = e, now
	r.beginIfDue(now, slots)
	if !r.Active(now) && r.known(now) && e.Loss > e.PeerLoss+lossMargin {
		r.lookups = minLookups
		r.begin(now, max(floor(slots), float64(inFlight)/2))
	}
}

// Active reports whether a limit applies.
func (r *Ramp) Active(now time.Time) bool { return r.active && r.known(now) }

// Ended reports whether the last ramp-up since the start has ended on evidence.
func (r *Ramp) Ended() bool { return r.ended }

// Limit returns the number of slots to use.
func (r *Ramp) Limit(now time.Time, slots int) int {
	if !r.Active(now) {
		return slots
	}
	return min(int(max(r.limit, floor(slots))), slots)
}

// Admits reports whether a request may be sent to the upstream. While it ramps up,
// orders are rejected until some lookups have succeeded, unless it gets only orders.
func (r *Ramp) Admits(now time.Time, idempotent bool) bool {
	switch {
	case idempotent:
		r.orders = 0
		return true
	case !r.Active(now) || r.lookups >= minLookups || r.orders >= maxOrders:
		return true
	}
	r.orders++
	return false
}

// End is the end of a request at an upstream.
type End struct {
	Began      time.Time
	Answered   bool
	Idempotent bool
	// InFlight is the number of requests that ran, this one included.
	InFlight int
}

// Observe records the end of a request.
func (r *Ramp) Observe(now time.Time, slots int, e End) {
	if e.Idempotent && e.Answered {
		r.lookups = min(r.lookups+1, minLookups)
	}
	if !r.Active(now) {
		r.active = false // the evidence has expired
		if r.responses++; r.due && r.responses >= slots {
			r.due = false
		}
		return
	}
	if e.Began.Before(r.since) {
		return // started under another limit
	}
	r.peak = max(r.peak, e.InFlight)
	if e.Answered {
		r.responses++
		r.sum += now.Sub(e.Began)
	} else {
		r.lost++
	}
	if r.responses+r.lost >= max(minSamples, int(r.limit)) {
		r.endWindow(now, slots)
	}
}

// known reports whether the evidence counts.
func (r *Ramp) known(now time.Time) bool {
	return r.evidence.Latency > 0 && now.Sub(r.at) <= validity
}

func (r *Ramp) beginIfDue(now time.Time, slots int) {
	if r.due && r.known(now) {
		r.begin(now, floor(slots))
	}
}

func (r *Ramp) begin(now time.Time, limit float64) {
	r.due, r.active, r.ended, r.fell = false, true, false, false
	r.base, r.before = 0, 0
	r.steady, r.held, r.slow = 0, 0, false
	r.setLimit(now, limit)
}

// setLimit sets the limit and begins a window.
func (r *Ramp) setLimit(now time.Time, limit float64) {
	r.limit, r.since = limit, now
	r.responses, r.lost, r.sum, r.peak = 0, 0, 0, 0
}

// endWindow moves the limit after a window.
func (r *Ramp) endWindow(now time.Time, slots int) {
	lowest := floor(slots)
	lossy := float64(r.lost)/float64(r.lost+r.responses) > r.evidence.PeerLoss+lossMargin
	if lossy || r.responses == 0 {
		r.fall(now, r.limit/2, lowest)
		r.fell = false // requests are lost at any limit
		return
	}
	mean := r.sum / time.Duration(r.responses)
	if r.limit <= lowest {
		r.base = mean
		r.steady++
		r.slow = r.slow || r.steady >= steadyWindows
	}
	if mean.Seconds() > unchanged*r.before.Seconds() && r.before > 0 {
		r.base, r.fell = max(r.base, mean), false
	}
	r.before = 0
	ratio := mean.Seconds() / r.reference().Seconds()
	switch {
	case ratio > muchSlower, ratio > quick && r.held >= maxHeld:
		if float64(r.peak) >= fullShare*r.limit {
			r.before = mean
		}
		r.fall(now, r.limit/min(ratio, 2), lowest)
	case ratio > quick:
		r.held++
		r.setLimit(now, r.limit)
	case r.limit >= float64(slots):
		r.steady++
		if float64(r.peak) >= fullShare*float64(slots) || r.steady >= steadyWindows {
			r.active, r.ended = false, true
		}
		r.setLimit(now, r.limit)
	case r.fell:
		r.grow(now, max(growthShare*r.limit, 1), slots)
	default:
		r.grow(now, max((growth-1)*r.limit, 1), slots)
	}
}

// fall lowers the limit. From the floor it grows quickly again.
func (r *Ramp) fall(now time.Time, limit, lowest float64) {
	r.fell, r.held = limit > lowest, 0
	if r.limit > lowest {
		r.steady = 0
	}
	r.setLimit(now, max(limit, lowest))
}

func (r *Ramp) grow(now time.Time, by float64, slots int) {
	r.steady, r.held = 0, 0
	r.setLimit(now, min(r.limit+by, float64(slots)))
}

// reference returns the latency to compare with: that of the peers, or that of the
// upstream itself at the floor. The latter counts up to maxSlower times that of the
// peers, and fully once the upstream is known to be slow by itself.
func (r *Ramp) reference() time.Duration {
	peers, base := r.evidence.Latency, time.Duration(baseMargin*float64(r.base))
	if !r.slow {
		base = min(base, time.Duration(maxSlower*float64(peers)))
	}
	return max(peers, base)
}
