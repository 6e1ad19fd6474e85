package scheduler

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// burstTime is how long unused starts are saved up; one start is always.
	burstTime = 250 * time.Millisecond
	// minRate is the lowest rate of starts per second. That a limit has ended
	// is known only from an answer, so some requests go out under any limit.
	minRate = 0.5
	// tokenTolerance hides rounding errors of the bucket.
	tokenTolerance = 1e-9
	// While a limit lasts, a queue of queueTarget requests is normal.
	queueTarget = 4
	// maxLevelsPerRequest is how far one request raises the threshold under a
	// limit so low that it would raise it further at the usual gain.
	maxLevelsPerRequest = 120
)

// pacer spaces the starts of requests evenly while the upstream names a limit:
// a token bucket that is filled at the rate of the limit. It also computes the
// threshold that brings the demand down to the limit. The zero value paces
// nothing.
type pacer struct {
	limited bool
	// limit is the one that the upstream names, rate that of the starts, both
	// per second.
	limit, rate float64
	tokens      float64
	filledAt    time.Time
	// shedder sees the upstream as one that takes 1/rate for each request and
	// has one slot.
	shedder shedder
}

// setLimit starts, changes or ends the limit. A new limit begins with an empty
// bucket, because the upstream has had more than the limit until now.
func (p *pacer) setLimit(now time.Time, limited bool, limit float64) {
	if !limited {
		*p = pacer{}
		return
	}
	if !p.limited {
		p.filledAt = now
	}
	p.fill(now)
	p.limited, p.limit, p.rate = true, limit, max(limit, minRate)
	p.shedder.gain = min(defaultGain, maxLevelsPerRequest*p.rate)
}

// interval is the mean time between two starts.
func (p *pacer) interval() time.Duration { return seconds(1 / p.rate) }

func (p *pacer) fill(now time.Time) {
	if elapsed := now.Sub(p.filledAt); elapsed > 0 {
		burst := 1 + p.rate*burstTime.Seconds()
		p.tokens, p.filledAt = min(burst, p.tokens+p.rate*elapsed.Seconds()), now
	}
}

// bars reports whether a request can't be sent while the limit lasts: under a
// limit of 0 only idempotent requests are sent, to learn whether it has ended.
func (p *pacer) bars(r *Request) bool { return p.limited && p.limit == 0 && !r.Idempotent }

// ready reports whether a request may start.
func (p *pacer) ready(now time.Time) bool { return p.wait(now, 1) == 0 }

// take records the start of a request.
func (p *pacer) take(now time.Time) {
	if p.limited {
		p.fill(now)
		p.tokens--
	}
}

// wait is the time until n more requests may have started.
func (p *pacer) wait(now time.Time, n int) time.Duration {
	if !p.limited {
		return 0
	}
	p.fill(now)
	missing := float64(n) - p.tokens
	if missing <= tokenTolerance {
		return 0
	}
	return seconds(missing/p.rate) + time.Microsecond // rounded up
}

// offered records a request that may wait for its start.
func (p *pacer) offered() {
	if p.limited {
		p.shedder.offered(p.interval())
	}
}

// updateThreshold moves the threshold; queued requests wait for their start.
func (p *pacer) updateThreshold(now time.Time, queued int) {
	if p.limited {
		normal := queueTarget * p.interval()
		p.shedder.updateThreshold(now, time.Duration(queued)*p.interval(), time.Duration(float64(normal)/normalWaitShare), 1)
	}
}

func (p *pacer) threshold() contract.Level { return p.shedder.threshold() }
