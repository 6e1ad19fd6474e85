package admission

import (
	"math"
	"time"
)

const (
	// windowLength is the shortest time between two decisions on the limit.
	windowLength = 100 * time.Millisecond
	// maxWindow is the age at which a window is closed even if it has few
	// samples.
	maxWindow = 2 * time.Second
	// The number of samples that a window needs: to raise the limit of an
	// upstream that is warming up, to raise any other limit, to start or judge
	// a probe, and to decide by latency at maxWindow (fewer if the window needs
	// fewer).
	warmupSamples = 4
	growSamples   = 16
	probeSamples  = 128
	minSamples    = 8

	// growBelow and probeAbove bound the ratio of the latency to its baseline:
	// below growBelow the limit may grow, above probeAbove the limit is
	// suspected to be too high.
	growBelow  = 1.15
	probeAbove = 1.4
	// probeStep is the fraction of the limit that a probe keeps.
	probeStep = 0.75
	// settleLatencies is the number of mean latencies after which the requests
	// admitted before a stage of a probe have ended.
	settleLatencies = 2
	// A lowered limit is kept only if it brought the requests in flight below
	// the fraction maxJudgedInFlight of their number at the full limit. With
	// more left, the probe removed too few requests to show anything.
	maxJudgedInFlight = 0.9
	// acceptedGain is the fraction of the gap to a lower ratio that the
	// accepted ratio closes per window.
	acceptedGain = 0.2
	// recheckAfter is the time after which a latency that was accepted as
	// normal is probed again.
	recheckAfter = 5 * time.Second
	// saturatedUse is the mean fraction of the usable limit in use from which a
	// window counts as saturated, so that the limit affects its latency and
	// throughput.
	saturatedUse = 0.8

	// growStep is the fraction of the limit added per window; warmupGrowStep
	// applies while the upstream is warming up.
	growStep       = 1.0 / 16
	warmupGrowStep = 0.5
	// refusedStep is the fraction of the limit kept after a window in which the
	// upstream itself refused more than refusedShare of the requests.
	refusedStep  = 0.9
	refusedShare = 0.05
	// maxWarmup is the longest time for which a started upstream counts as
	// warming up.
	maxWarmup = 3 * time.Second
)

// limiter adapts the limit of requests in flight. See the package comment.
type limiter struct {
	limit   float64
	floor   float64 // lowest limit
	ceiling float64 // announced slots

	// accepted is the ratio of the latency to its baseline that a probe showed
	// not to be caused by the number of requests in flight; at least 1.
	accepted    float64
	acceptedAt  time.Time
	probe       probe
	warmingUp   bool
	warmupUntil time.Time

	settleUntil time.Time // nothing is measured until then

	// The open window.
	start           time.Time
	updated         time.Time
	inFlightSeconds float64 // integral of the requests in flight over time
	peak            int
	samples         int
	ratioSum        float64
	refused         int
}

// probe is the state of a probe, which tests whether a lower limit costs
// throughput.
type probe struct {
	stage probeStage
	// Measured at the full limit.
	limit    float64
	inFlight float64 // mean
	ratio    float64
}

type probeStage uint8

const (
	probeNone probeStage = iota
	// probeBefore: measuring at the full limit for a long window.
	probeBefore
	// probeLowered: measuring at the lowered limit.
	probeLowered
)

func newLimiter(cfg Config, now time.Time) limiter {
	l := limiter{floor: float64(cfg.MinLimit), ceiling: float64(cfg.Slots)}
	l.reset(cfg.ColdFraction, now)
	return l
}

// reset starts with the limit of an upstream that is warming up.
func (l *limiter) reset(coldFraction float64, now time.Time) {
	l.limit = max(l.floor, l.ceiling*coldFraction)
	l.accepted = 1
	l.probe = probe{}
	l.warmingUp = true
	l.warmupUntil = now.Add(maxWarmup)
	l.openWindow(now)
}

func (l *limiter) setCeiling(slots, minLimit int) {
	l.ceiling = float64(slots)
	l.floor = min(float64(minLimit), l.ceiling)
	l.limit = min(l.limit, l.ceiling)
}

// value returns the limit in whole requests.
func (l *limiter) value() int { return int(l.limit) }

// orderLimit returns the limit for orders, which probes do not lower.
func (l *limiter) orderLimit() int { return int(min(max(l.limit, l.probe.limit), l.ceiling)) }

func (l *limiter) openWindow(now time.Time) {
	l.start, l.updated = now, now
	l.inFlightSeconds, l.peak = 0, 0
	l.samples, l.ratioSum, l.refused = 0, 0, 0
}

// setInFlight records the number of requests in flight from now on (after) and
// until now (before).
func (l *limiter) setInFlight(now time.Time, before, after int) {
	if dt := now.Sub(l.updated); dt > 0 {
		l.inFlightSeconds += float64(before) * dt.Seconds()
		l.updated = now
	}
	l.peak = max(l.peak, before, after)
}

// observe records the latency ratio of a finished request. All requests that
// finish in a window count: leaving out those admitted before it would favour
// the fast ones.
func (l *limiter) observe(ratio float64) {
	l.samples++
	l.ratioSum += ratio
}

// saturated reports whether at least saturatedUse of the usable limit was in
// use on average over the open window.
func (l *limiter) saturated(now time.Time) bool {
	age := now.Sub(l.start).Seconds()
	return age > 0 && l.inFlightSeconds >= saturatedUse*l.usable()*age
}

// usable returns the part of the limit that lookups can use. For example, a
// limit of 4 leaves 3 to lookups, which is less than saturatedUse of 4:
// measured against the whole limit, such a limit would never count as saturated
// or reached, and never grow.
func (l *limiter) usable() float64 {
	limit := l.value()
	return l.limit - float64(orderReserve(limit)+checkReserve(limit))
}

// probing reports whether a probe is in progress. Baselines must not move then.
func (l *limiter) probing() bool { return l.probe.stage != probeNone }

// reached reports whether the peak of the requests in flight in the open window
// was at least saturatedUse of the usable limit in whole requests.
func (l *limiter) reached() bool {
	return float64(l.peak) >= saturatedUse*math.Floor(l.usable())
}

// tick closes the open window if it is due and reports whether it did. latency
// is the recent mean latency.
func (l *limiter) tick(now time.Time, latency time.Duration) bool {
	if now.Before(l.settleUntil) {
		l.openWindow(now)
		return false
	}
	age := now.Sub(l.start)
	if age < windowLength {
		return false
	}
	if l.warmingUp && now.After(l.warmupUntil) {
		l.warmingUp = false
	}
	if l.samples < l.requiredSamples() && age < maxWindow {
		return false
	}
	stage := l.probe.stage
	l.decide(now, age)
	l.limit = min(max(l.limit, l.floor), l.ceiling)
	if l.probe.stage > stage {
		l.settleUntil = now.Add(min(settleLatencies*latency, maxWindow))
	}
	l.openWindow(now)
	return true
}

// requiredSamples returns the number of samples that the open window needs.
func (l *limiter) requiredSamples() int {
	switch {
	case l.probe.stage != probeNone:
		return probeSamples
	case l.warmingUp:
		return warmupSamples
	default:
		return growSamples
	}
}

func (l *limiter) decide(now time.Time, age time.Duration) {
	if float64(l.refused) > refusedShare*float64(l.samples+l.refused) {
		l.endProbe()
		l.limit *= refusedStep
		return
	}
	if l.samples < min(minSamples, l.requiredSamples()) {
		l.endProbe()
		return
	}
	ratio := l.ratioSum / float64(l.samples)
	inFlight := l.inFlightSeconds / age.Seconds()
	switch {
	case !l.saturated(now):
		l.endProbe()
		l.lowerAccepted(ratio)
		l.grow(ratio)
	case l.probe.stage == probeLowered:
		l.judge(now, ratio, inFlight)
	case l.probe.stage == probeBefore && l.needsProbe(now, ratio):
		l.probe = probe{stage: probeLowered, limit: l.limit, inFlight: inFlight, ratio: ratio}
		l.limit *= probeStep
	default:
		l.adapt(now, ratio)
	}
}

// adapt handles a saturated window in which a probe neither lowered the limit
// nor was judged: it starts a probe if the latency calls for one, and otherwise
// may raise the limit.
func (l *limiter) adapt(now time.Time, ratio float64) {
	l.probe = probe{}
	l.lowerAccepted(ratio)
	switch {
	case l.needsProbe(now, ratio):
		l.warmingUp = false
		l.probe.stage = probeBefore
	default:
		l.grow(ratio)
	}
}

// needsProbe reports whether the latency calls for a probe.
func (l *limiter) needsProbe(now time.Time, ratio float64) bool {
	if l.limit <= l.floor {
		return false
	}
	recheck := l.accepted > probeAbove && now.Sub(l.acceptedAt) > recheckAfter
	return recheck || ratio > probeAbove*l.accepted
}

// lowerAccepted lets the accepted ratio follow a falling latency.
func (l *limiter) lowerAccepted(ratio float64) {
	if ratio < l.accepted {
		l.accepted += (ratio - l.accepted) * acceptedGain
	}
	l.accepted = max(l.accepted, 1)
}

// grow raises the limit if it was reached and the latency ratio allows it.
func (l *limiter) grow(ratio float64) {
	if !l.reached() || ratio >= growBelow*l.accepted {
		return
	}
	step := growStep
	if l.warmingUp {
		step = warmupGrowStep
	}
	l.limit += max(1, l.limit*step)
	if l.limit >= l.ceiling {
		l.warmingUp = false
	}
}

// judge ends a probe. Throughput is the number of requests in flight divided by
// their latency. If it fell by less than half as much as the number of requests
// in flight, most of the removed requests only waited inside the upstream, and
// the lowered limit is kept. Otherwise the limit is restored and the latency is
// accepted as not caused by the number of requests in flight.
func (l *limiter) judge(now time.Time, ratio, inFlight float64) {
	before := l.probe
	l.probe = probe{}
	keptInFlight := inFlight / before.inFlight
	throughput := keptInFlight * before.ratio / ratio
	if keptInFlight < maxJudgedInFlight && throughput >= (1+keptInFlight)/2 {
		return
	}
	l.limit = before.limit
	l.accepted = max(1, ratio, before.ratio)
	l.acceptedAt = now
}

// endProbe ends a probe that cannot be judged, and restores the limit.
func (l *limiter) endProbe() {
	if l.probe.stage == probeLowered {
		l.limit = l.probe.limit
	}
	l.probe = probe{}
}
