package scheduler

import "time"

const (
	// timeWeight is the part that a new latency has in the mean.
	timeWeight = 0.1
	// maxKinds bounds the kinds that are told apart.
	maxKinds = 512
)

// times are the recent latencies of the upstream, by kind and over all.
type times struct {
	kinds map[string]float64 // seconds
	all   float64
}

func (t *times) observe(kind string, d time.Duration) {
	if t.kinds == nil {
		t.kinds = make(map[string]float64)
	}
	s := d.Seconds()
	t.all = mix(t.all, s)
	if _, known := t.kinds[kind]; known || len(t.kinds) < maxKinds {
		t.kinds[kind] = mix(t.kinds[kind], s)
	}
}

// mix is the moving mean; the first value stands as it is.
func mix(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + timeWeight*(next-old)
}

// expected is the latency of a kind; 0 where it is not known.
func (t *times) expected(kind string) time.Duration { return seconds(t.kinds[kind]) }

func (t *times) mean() time.Duration { return seconds(t.all) }

func (t *times) forget() { *t = times{} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
