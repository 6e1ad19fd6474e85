package routing

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// failureGain is the weight of one call in the share of failures.
	failureGain = 1.0 / 32
	// quietShare is the mean share of failures of the others under which a few
	// failures in a row make an outlier.
	quietShare = 0.1
	// outlierLead is how far the share of failures of an outlier is over the
	// mean of the others: several times the noise of the estimates.
	outlierLead = 0.45
	// deadShare is the share of failures of a target that hardly ever answers;
	// it is an outlier where any other is outlierLead or less.
	deadShare = 0.9
	// commonShare is the share of failures of all others over which a failure of
	// the target that is tried out says nothing about it: it comes back in, at
	// its full weight.
	commonShare = 0.25
	// failingShare is the mean share of failures of the targets that are in at
	// which those that are out are used as well.
	failingShare = 0.5
	// failingReview is how soon that is looked at after a failure.
	failingReview = 250 * time.Millisecond
	// probeAnswers is the number of whole answers in a row that bring a target
	// back in.
	probeAnswers = 3
	// probeOdds: one idempotent call in this many may try a target out.
	probeOdds = 8
	// reinstateAfter brings a target back in at its lowest weight where no
	// idempotent call came to try it, as with services that only take orders.
	// Otherwise such a service would lose targets for ever.
	reinstateAfter = time.Minute
	// forgetAfter is how long a target must be in to be out for the base time
	// again.
	forgetAfter = time.Minute
	// warmAnswers is the number of whole answers after which a target takes
	// orders like the others.
	warmAnswers = 3
	// staleFor is how long a target stays out after it said that it has another
	// incarnation, unless membership brings the new one first.
	staleFor = 2 * time.Second
)

// outcome sorts the end of a call by what it says about the target.
type outcome uint8

const (
	// outcomeNeutral says nothing about the target.
	outcomeNeutral outcome = iota
	outcomeAnswered
	// outcomeRefused: the target is short of capacity.
	outcomeRefused
	// outcomeFailed: the target or the way to it is broken.
	outcomeFailed
)

// outcomeOf sorts the end of a call. A lost link speaks against the target only
// where the link is thought to be up; else its state says it all.
func outcomeOf(res *Result, link linkState) outcome {
	if res.Verdict == contract.Ran {
		return outcomeAnswered
	}
	switch res.Reason {
	case contract.ReasonOverload, contract.ReasonQueueTimeout, contract.ReasonRingFull,
		contract.ReasonUpstreamRefused:
		return outcomeRefused
	case contract.ReasonUpstreamFailed, contract.ReasonPartialAnswer:
		return outcomeFailed
	case contract.ReasonLinkLost:
		if link == linkUp {
			return outcomeFailed
		}
	case contract.ReasonDeadline:
		if res.Verdict == contract.MayHaveRun {
			return outcomeFailed
		}
	}
	return outcomeNeutral
}

// record takes the outcome of a call into the target's record and puts the
// target out or back in.
func (p *pool) record(e *entry, now instant, o outcome, cfg *Config) {
	switch o {
	case outcomeAnswered:
		e.consecutive = 0
		e.failed.add(now, 0, failureGain, 0, refusedFade)
		p.recordAnswer(e, now)
	case outcomeFailed:
		e.consecutive++
		e.failed.add(now, 1, failureGain, 0, refusedFade)
		p.recordFailure(e, now, cfg)
	}
}

// recordAnswer counts a whole answer for what it brings the target back to.
func (p *pool) recordAnswer(e *entry, now instant) {
	if e.cold {
		e.answers++
		if e.answers >= warmAnswers {
			e.cold = false
			p.dirty = true
		}
	}
	if e.phase != phaseProbing {
		return
	}
	e.probed++
	if e.probed >= probeAnswers {
		p.reinstate(e, now)
	}
}

// recordFailure puts the target out where its record asks for it and enough
// others stay.
func (p *pool) recordFailure(e *entry, now instant, cfg *Config) {
	switch e.phase {
	case phaseProbing:
		if _, least := p.othersFail(e, now); least <= commonShare {
			p.eject(e, now, cfg)
			return
		}
		p.reinstate(e, now)
		e.rampFrom = 0
	case phaseIn:
		p.reviewBy(now.Add(failingReview))
		if p.mayEject(now, cfg) && p.isOutlier(e, now, cfg) {
			p.eject(e, now, cfg)
		}
	}
}

// mayEject reports whether one more target may be out.
func (p *pool) mayEject(now instant, cfg *Config) bool {
	link := p.bestLink()
	usable, out := 0, 0
	for _, e := range p.entries {
		if !e.usable(link, now) {
			continue
		}
		usable++
		if e.phase != phaseIn {
			out++
		}
	}
	return float64(out+1) <= float64(usable)*cfg.MaxEjectedShare
}

// isOutlier reports whether the target fails clearly more than the others: what
// fails everywhere is no reason to crowd the calls onto fewer targets.
func (p *pool) isOutlier(e *entry, now instant, cfg *Config) bool {
	mean, least := p.othersFail(e, now)
	switch {
	case e.consecutive >= cfg.EjectFailures && mean < quietShare:
		return true
	case e.failed.value > mean+outlierLead:
		return true
	default:
		return e.failed.value > deadShare && least < outlierLead
	}
}

// othersFail is the mean and the least share of failures of the other targets
// that are in; 1 where there is none.
func (p *pool) othersFail(e *entry, now instant) (mean, least float64) {
	link := p.bestLink()
	others := 0
	least = 1
	for _, o := range p.entries {
		if o == e || o.phase != phaseIn || !o.usable(link, now) {
			continue
		}
		failed := o.failed.read(now, 0, refusedFade)
		others++
		mean += failed
		least = min(least, failed)
	}
	if others == 0 {
		return 1, 1
	}
	return mean / float64(others), least
}

// eject puts the target out, for longer each time. The time is spread by the
// hashes of both ends, so that the nodes do not come back together.
func (p *pool) eject(e *entry, now instant, cfg *Config) {
	if e.phase == phaseIn && now.Sub(e.phaseAt) > forgetAfter {
		e.ejections = 0
	}
	out := cfg.EjectMax
	if e.ejections < 8 {
		out = min(cfg.EjectBase<<e.ejections, cfg.EjectMax)
	}
	spread := mix(e.hash ^ hashString(cfg.VM) ^ uint64(e.ejections))
	out += time.Duration(spread % uint64(out/2+1))
	e.ejections++
	e.phase = phaseOut
	e.phaseAt = now
	e.outUntil = now.Add(out)
	p.dirty = true
}

// reinstate brings the target back in, at its lowest weight.
func (p *pool) reinstate(e *entry, now instant) {
	e.phase = phaseIn
	e.phaseAt = now
	e.rampFrom = now
	e.consecutive = 0
	e.failed = estimate{}
	p.dirty = true
}

// advancePhase ends the time out, and the wait for a call that never came.
func (p *pool) advancePhase(e *entry, now instant, cfg *Config) {
	if e.phase == phaseOut {
		if now.Before(e.outUntil) {
			p.reviewBy(e.outUntil)
			return
		}
		e.phase = phaseProbing
		e.phaseAt = now
		e.probed = 0
	}
	if e.phase != phaseProbing {
		return
	}
	if end := e.phaseAt.Add(reinstateAfter); now.Before(end) {
		p.reviewBy(end)
		return
	}
	p.reinstate(e, now)
	p.dirty = false
}
