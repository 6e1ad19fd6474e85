package node

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"heathershed/internal/contract"
	"heathershed/internal/report"
	"heathershed/internal/telemetry"
	"heathershed/internal/vm/admission"
)

const (
	// reportEvery is the interval at which tally passes its values to the
	// reporter.
	reportEvery = time.Second
	// buckets is the number of histogram buckets: upper bounds double from 1 ms
	// to 8 s.
	buckets = 14
)

// metrics holds every metric of a node; docs/METRICS.md lists them. All scopes
// are created at the start and none while a call is served.
type metrics struct {
	scrapes  http.Handler
	calls    *telemetry.Calls
	retries  tally.Counter
	inFlight tally.Gauge
	queued   tally.Gauge
	limit    tally.Gauge
	level    tally.Gauge
	shedBy   [contract.NumClasses][contract.NumReasons]tally.Counter
	sheds    [contract.NumClasses][contract.NumReasons]atomic.Uint64
	admitted [contract.NumClasses]atomic.Uint64
}

func newMetrics() *metrics {
	scope, handler := telemetry.NewScope(reportEvery)
	m := &metrics{scrapes: handler, calls: telemetry.NewCalls(scope, "calls_ended", "call_seconds", buckets)}
	for c := range m.shedBy {
		for r := range m.shedBy[c] {
			m.shedBy[c][r] = scope.Tagged(map[string]string{
				"class":  contract.Class(c).String(),
				"reason": contract.Reason(r).String(),
			}).Counter("calls_shed")
		}
	}
	m.retries = scope.Counter("retries")
	m.inFlight = scope.Gauge("admission_in_flight")
	m.queued = scope.Gauge("admission_queued")
	m.limit = scope.Gauge("admission_limit")
	m.level = scope.Gauge("admission_level")
	return m
}

func (m *metrics) handler() http.Handler { return m.scrapes }

// shed counts a request that the local upstream's admission or quota rejected.
func (m *metrics) shed(c contract.Class, r contract.Reason) {
	if int(c) >= contract.NumClasses || int(r) >= contract.NumReasons {
		return
	}
	m.shedBy[c][r].Inc(1)
	m.sheds[c][r].Add(1)
}

func (m *metrics) admit(c contract.Class) {
	if int(c) < contract.NumClasses {
		m.admitted[c].Add(1)
	}
}

func (m *metrics) load(l admission.Load) {
	m.inFlight.Update(float64(l.InFlight))
	m.queued.Update(float64(l.Queued))
	m.limit.Update(float64(l.Limit))
	m.level.Update(float64(l.Threshold))
}

func (m *metrics) reportSheds() []report.Shed {
	var list []report.Shed
	for c := range m.sheds {
		for r := range m.sheds[c] {
			if count := m.sheds[c][r].Load(); count > 0 {
				list = append(list, report.Shed{
					Class:  contract.Class(c).String(),
					Reason: contract.Reason(r).String(),
					Count:  count,
				})
			}
		}
	}
	return list
}

func (m *metrics) reportAdmitted() map[string]uint64 {
	counts := make(map[string]uint64, contract.NumClasses)
	for c := range m.admitted {
		counts[contract.Class(c).String()] = m.admitted[c].Load()
	}
	return counts
}
