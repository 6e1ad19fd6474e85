package scheduler

import (
	"time"

	"heathershed/internal/contract"
)

const (
	// The bucket holds one start, and as many as the rate gives in burstTime.
	burstTime = 250 * time.Millisecond
	// minRate is the lowest rate of starts per second, also under a lower
	// limit: only an answer shows that a limit has ended.
	minRate = 0.5
	// tokenTolerance is the rounding error of the bucket that is accepted, in
	// starts.
	tokenTolerance = 1e-9
	// While a limit lasts, the threshold aims at targetDemand of it. With more
	// than queueTarget requests in the queue it aims lower, so that the queue
	// drains: by drainShare of the limit from twice queueTarget on.
	queueTarget = 2
	drainShare  = 0.25
	// maxLevelsPerRequest bounds how far one request raises the threshold, in
	// priority levels.
	maxLevelsPerRequest = 120.0
)

// pacer spaces the starts of requests evenly while the upstream names a limit:
// a token bucket that is filled at the rate of the limit. It also computes the
// threshold that brings the demand down to the limit: each request that nothing
// else can take raises it while those in the queue wait for too long, and time
// lowers it as fast as requests at the wanted rate raise it. The zero value paces
// nothing.
type pacer struct {
	limited bool
	// limit is the one that the upstream names, rate that of the starts, both
	// per second.
	limit, rate float64
	tokens      float64
	filledAt    time.Time
	// level is the threshold as of levelAt, in priority levels.
	level   float64
	levelAt time.Time
}

// setLimit starts, changes or ends the limit. A new limit begins with an empty
// bucket, because the upstream has had more than the limit until now.
func (p *pacer) setLimit(now time.Time, limited bool, limit float64) {
	if !limited {
		*p = pacer{}
		return
	}
	if !p.limited {
		p.filledAt, p.levelAt = now, now
	}
	p.fill(now)
	p.lower(now, 0)
	p.limited, p.limit, p.rate = true, limit, max(limit, minRate)
}

func (p *pacer) fill(now time.Time) {
	if elapsed := now.Sub(p.filledAt); elapsed > 0 {
		burst := 1 + p.rate*burstTime.Seconds()
		p.tokens, p.filledAt = min(burst, p.tokens+p.rate*elapsed.Seconds()), now
	}
}

// excludes reports whether a request can't be sent while the limit lasts: under a
// limit of 0 only idempotent requests are sent, to learn whether it has ended.
func (p *pacer) excludes(r *Request) bool { return p.limited && p.limit == 0 && !r.Idempotent }

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

// levelsPerRequest is how far one request raises the threshold, in priority
// levels: demand above the rate by as much as the rate raises it by gain a second.
func (p *pacer) levelsPerRequest() float64 { return min(gain/p.rate, maxLevelsPerRequest) }

// offered records a request of the level that only this upstream can take, while
// queued others wait. It raises the threshold within its own class only: requests
// that give way to a higher class must not take that class's place at the ingress.
func (p *pacer) offered(now time.Time, queued int, level contract.Level) {
	if p.limited {
		p.lower(now, queued)
		top := float64(contract.LevelOf(level.Class(), 0) + contract.RanksPerClass)
		p.level = max(p.level, min(p.level+p.levelsPerRequest(), top))
	}
}

// lower lowers the threshold by the time that has passed.
func (p *pacer) lower(now time.Time, queued int) {
	if elapsed := now.Sub(p.levelAt); elapsed > 0 {
		excess := min(max(float64(queued)/queueTarget-1, 0), 1)
		wanted := (targetDemand - drainShare*excess) * p.rate
		p.level = max(p.level-wanted*p.levelsPerRequest()*elapsed.Seconds(), 0)
		p.levelAt = now
	}
}

// threshold is the priority level below which requests should not be sent.
func (p *pacer) threshold(now time.Time, queued int) contract.Level {
	if !p.limited {
		return 0
	}
	p.lower(now, queued)
	return contract.Level(p.level)
}
