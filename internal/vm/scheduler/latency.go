package scheduler

import "time"

const (
	// latencyWeight is the weight of one latency in a moving mean.
	latencyWeight = 0.1
	// maxKinds bounds the kinds that have a mean of their own.
	maxKinds = 512
)

// latencies holds moving means of the upstream's latency, by kind and over all
// requests. The zero value has none.
type latencies struct {
	kinds map[string]float64 // seconds
	all   float64
}

func (l *latencies) observe(kind string, d time.Duration) {
	if l.kinds == nil {
		l.kinds = make(map[string]float64)
	}
	s := d.Seconds()
	l.all = ewma(l.all, s)
	if _, known := l.kinds[kind]; known || len(l.kinds) < maxKinds {
		l.kinds[kind] = ewma(l.kinds[kind], s)
	}
}

// ewma returns the exponentially weighted moving mean after the next value. The
// first value is taken as it is.
func ewma(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + latencyWeight*(next-old)
}

// expected is the mean latency of a kind; 0 if it is not known.
func (l *latencies) expected(kind string) time.Duration { return seconds(l.kinds[kind]) }

func (l *latencies) mean() time.Duration { return seconds(l.all) }

func (l *latencies) reset() { *l = latencies{} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
