package routing

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// failureGain is the weight of one call in the share of failures.
	failureGain = 1.0 / 32
	// lowFailureShare is the mean share of failures of the other targets below
	// which a few consecutive failures make a target an outlier.
	lowFailureShare = 0.1
	// outlierMargin is how far the share of failures of an outlier exceeds the
	// mean of the others: several times the noise of the estimates.
	outlierMargin = 0.45
	// totalFailureShare is the share of failures of a target that hardly ever
	// answers. Such a target is an outlier if any other target is below
	// outlierMargin.
	totalFailureShare = 0.9
	// If every other active target has a share of failures above
	// widespreadShare, a failed probe says nothing about the probed target,
	// which is then reinstated at its full weight.
	widespreadShare = 0.25
	// panicFailureShare is the mean share of failures of the active targets
	// above which ejected targets are used as well.
	panicFailureShare = 0.5
	// panicCheckDelay is the longest time from a failure to the next check
	// against panicFailureShare.
	panicCheckDelay = 250 * time.Millisecond
	// reinstateAnswers is the number of complete answers, without a failure
	// between them, that reinstates a target that is being probed.
	reinstateAnswers = 3
	// probeOneIn: one idempotent call in this many may probe an ejected target.
	probeOneIn = 8
	// reinstateAfter is the time after which a target is reinstated at its
	// lowest weight if idempotent calls did not settle its probing, as with
	// services that only take orders. Otherwise such a service would lose
	// targets forever.
	reinstateAfter = time.Minute
	// ejectionResetAfter is how long a target must be active before its next
	// ejection lasts the base time again.
	ejectionResetAfter = time.Minute
	// warmupAnswers is the number of complete answers after which a target that
	// is warming up takes orders like the others.
	warmupAnswers = 3
	// staleTimeout is how long a target is excluded after it reported another
	// incarnation, unless membership announces the new incarnation first.
	staleTimeout = 2 * time.Second
)

// outcome classifies the end of a call by what it says about the target.
type outcome uint8

const (
	// outcomeNeutral says nothing about the target.
	outcomeNeutral outcome = iota
	outcomeAnswered
	// outcomeRefused: the target lacks capacity.
	outcomeRefused
	// outcomeFailed: the target or the path to it is broken.
	outcomeFailed
)

// classify returns the outcome of a call. A lost link counts as a failure of
// the target only while the link is considered up; otherwise the link state
// already accounts for it.
func classify(res *Result, link linkState) outcome {
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

// record updates the failure statistics of the target with the outcome of a
// call, and ejects or reinstates the target.
func (p *pool) record(e *entry, now instant, o outcome, cfg *Config) {
	switch o {
	case outcomeAnswered:
		e.consecutive = 0
		e.failureShare.add(now, 0, failureGain, 0, shareDecay)
		p.recordAnswer(e, now)
	case outcomeFailed:
		e.consecutive++
		e.failureShare.add(now, 1, failureGain, 0, shareDecay)
		p.recordFailure(e, now, cfg)
	}
}

// recordAnswer counts a complete answer towards the end of the warm-up and
// towards reinstatement.
func (p *pool) recordAnswer(e *entry, now instant) {
	if e.warmingUp {
		e.answers++
		if e.answers >= warmupAnswers {
			e.warmingUp = false
			p.dirty = true
		}
	}
	if e.phase != phaseProbing {
		return
	}
	e.probeSuccesses++
	if e.probeSuccesses >= reinstateAnswers {
		p.reinstate(e, now)
	}
}

// recordFailure ejects the target if it is an outlier and enough other targets
// remain. A failed probe ejects the target again unless all others fail as
// well.
func (p *pool) recordFailure(e *entry, now instant, cfg *Config) {
	switch e.phase {
	case phaseProbing:
		if _, least := p.otherFailureShares(e, now); least <= widespreadShare {
			p.eject(e, now, cfg)
			return
		}
		p.reinstate(e, now)
		e.rampFrom = 0
	case phaseActive:
		p.rebuildBy(now.Add(panicCheckDelay))
		if p.mayEject(now, cfg) && p.isOutlier(e, now, cfg) {
			p.eject(e, now, cfg)
		}
	}
}

// mayEject reports whether one more target may be ejected.
func (p *pool) mayEject(now instant, cfg *Config) bool {
	link := p.requiredLink()
	usable, out := 0, 0
	for _, e := range p.entries {
		if !e.usable(link, now) {
			continue
		}
		usable++
		if e.phase != phaseActive {
			out++
		}
	}
	return float64(out+1) <= float64(usable)*cfg.MaxEjectedShare
}

// isOutlier reports whether the target fails clearly more often than the
// others. Failures that affect all targets must not concentrate the calls on
// fewer of them.
func (p *pool) isOutlier(e *entry, now instant, cfg *Config) bool {
	mean, least := p.otherFailureShares(e, now)
	switch {
	case e.consecutive >= cfg.EjectFailures && mean < lowFailureShare:
		return true
	case e.failureShare.value > mean+outlierMargin:
		return true
	default:
		return e.failureShare.value > totalFailureShare && least < outlierMargin
	}
}

// otherFailureShares returns the mean and the lowest share of failures of the
// other active targets; both are 1 if there are none.
func (p *pool) otherFailureShares(e *entry, now instant) (mean, least float64) {
	link := p.requiredLink()
	others := 0
	least = 1
	for _, o := range p.entries {
		if o == e || o.phase != phaseActive || !o.usable(link, now) {
			continue
		}
		failureShare := o.failureShare.read(now, 0, shareDecay)
		others++
		mean += failureShare
		least = min(least, failureShare)
	}
	if others == 0 {
		return 1, 1
	}
	return mean / float64(others), least
}

// eject excludes the target as an outlier, for longer each time. The hashes of
// both ends spread the duration so that nodes do not return to the target at
// the same time.
func (p *pool) eject(e *entry, now instant, cfg *Config) {
	if e.phase == phaseActive && now.Sub(e.phaseSince) > ejectionResetAfter {
		e.ejections = 0
	}
	out := cfg.EjectMax
	if e.ejections < 8 {
		out = min(cfg.EjectBase<<e.ejections, cfg.EjectMax)
	}
	spread := mix(e.hash ^ hashString(cfg.VM) ^ uint64(e.ejections))
	out += time.Duration(spread % uint64(out/2+1))
	e.ejections++
	e.phase = phaseEjected
	e.phaseSince = now
	e.ejectedUntil = now.Add(out)
	p.dirty = true
}

// reinstate makes the target active again, at its lowest weight.
func (p *pool) reinstate(e *entry, now instant) {
	e.phase = phaseActive
	e.phaseSince = now
	e.rampFrom = now
	e.consecutive = 0
	e.failureShare = estimate{}
	p.dirty = true
}

// advancePhase starts probing when the ejection has expired, and reinstates a
// target whose probing was not settled within reinstateAfter.
func (p *pool) advancePhase(e *entry, now instant, cfg *Config) {
	if e.phase == phaseEjected {
		if now.Before(e.ejectedUntil) {
			p.rebuildBy(e.ejectedUntil)
			return
		}
		e.phase = phaseProbing
		e.phaseSince = now
		e.probeSuccesses = 0
	}
	if e.phase != phaseProbing {
		return
	}
	if end := e.phaseSince.Add(reinstateAfter); now.Before(end) {
		p.rebuildBy(end)
		return
	}
	p.reinstate(e, now)
	p.dirty = false
}
