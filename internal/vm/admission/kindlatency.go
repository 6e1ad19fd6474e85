package admission

import "time"

const (
	// meanGain is the weight of one sample in the mean latency.
	meanGain = 1.0 / 8
	// idleDecay is the fraction of the mean that a kind without samples loses
	// per window. Without it, a mean above every deadline would refuse the kind
	// forever.
	idleDecay = 1.0 / 8
	// baselineMinSamples is the number of samples after which the baseline may
	// move.
	baselineMinSamples = 128
	// baselineGain is the fraction of the gap to the mean of the samples that
	// the baseline closes. baselineFallGain applies instead if the mean is
	// below baselineFallBelow times the baseline, which noise does not explain.
	baselineGain      = 0.05
	baselineFallGain  = 0.3
	baselineFallBelow = 0.75
	// maxKinds bounds the number of kinds that have their own record.
	maxKinds = 1024
	// kindIdleWindows is the number of windows without a sample after which a
	// kind may be forgotten.
	kindIdleWindows = 600
)

// kindLatency holds the latency estimates of one kind.
type kindLatency struct {
	mean     float64 // recent mean, in seconds; 0 is unknown
	baseline float64 // usual latency without queueing, in seconds; 0 is unknown

	running       int
	windowSamples int // samples in the open window
	samples       int // samples since the baseline last moved
	sum           float64
	idleWindows   int
}

// forget discards the estimates, as the upstream was restarted.
func (k *kindLatency) forget() { *k = kindLatency{running: k.running} }

// expected returns the expected latency of a request of the kind.
func (k *kindLatency) expected() time.Duration {
	return time.Duration(k.mean * float64(time.Second))
}

// observe records the latency of one finished request and returns its ratio to
// the baseline, or 1 if the baseline is unknown.
func (k *kindLatency) observe(seconds float64) float64 {
	if k.mean == 0 {
		k.mean = seconds
	}
	k.mean += (seconds - k.mean) * meanGain
	k.windowSamples++
	k.samples++
	k.sum += seconds
	if k.baseline <= 0 {
		return 1
	}
	return seconds / k.baseline
}

// closeWindow ends a window of samples. In a saturated window the baseline
// follows clear falls only: the time that requests wait for each other inside
// the upstream must never become their baseline.
func (k *kindLatency) closeWindow(saturated bool) {
	if k.windowSamples == 0 {
		k.idleWindows++
		k.mean -= k.mean * idleDecay
		return
	}
	k.idleWindows = 0
	k.windowSamples = 0
	if k.samples < baselineMinSamples {
		return
	}
	k.moveBaseline(k.sum/float64(k.samples), saturated)
	k.samples, k.sum = 0, 0
}

func (k *kindLatency) moveBaseline(mean float64, saturated bool) {
	switch {
	case k.baseline == 0:
		k.baseline = mean
	case mean < k.baseline*baselineFallBelow:
		k.baseline += (mean - k.baseline) * baselineFallGain
	case !saturated:
		k.baseline += (mean - k.baseline) * baselineGain
	}
}

// kindLatencies holds a kindLatency for each name of a kind. Names survive
// edits of the catalogue.
type kindLatencies struct {
	byName map[string]*kindLatency
	// other is shared by requests without a kind and kinds beyond maxKinds.
	other kindLatency
}

func newKindLatencies() kindLatencies {
	return kindLatencies{byName: make(map[string]*kindLatency)}
}

func (t *kindLatencies) of(r *Request) *kindLatency {
	if r.Kind == nil {
		return &t.other
	}
	k := t.byName[r.Kind.Name]
	if k != nil {
		return k
	}
	if len(t.byName) >= maxKinds {
		return &t.other
	}
	k = &kindLatency{}
	t.byName[r.Kind.Name] = k
	return k
}

func (t *kindLatencies) closeWindow(saturated bool) {
	t.other.closeWindow(saturated)
	for name, k := range t.byName {
		k.closeWindow(saturated)
		if k.idleWindows > kindIdleWindows && k.running == 0 {
			delete(t.byName, name)
		}
	}
}
