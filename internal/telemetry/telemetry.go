// Package telemetry makes the root scope of a process's metrics and serves them
// as text for scrapers.
package telemetry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"heathershed/internal/contract"
)

// NewScope returns the root scope, whose values are handed on at the given
// pace, and the handler that serves them.
func NewScope(every time.Duration) (tally.Scope, http.Handler) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "heathershed",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, every)
	return scope, reporter.HTTPHandler()
}

// fastest is the upper bound of a histogram's first bucket.
const fastest = time.Millisecond

// Durations returns a histogram whose buckets double from 1 ms on.
func Durations(scope tally.Scope, name string, buckets int) tally.Histogram {
	return scope.Histogram(name, tally.MustMakeExponentialDurationBuckets(fastest, 2, buckets))
}

// Ends counts how calls ended, by verdict and reason.
type Ends [3][contract.NumReasons]tally.Counter

// NewEnds returns the counters under a name.
func NewEnds(scope tally.Scope, name string) (e Ends) {
	for v := range e {
		for r := range e[v] {
			e[v][r] = scope.Tagged(map[string]string{
				"verdict": contract.Verdict(v).String(),
				"reason":  contract.Reason(r).String(),
			}).Counter(name)
		}
	}
	return e
}

// Count takes in an end as a link carries it. A newer node may know more
// reasons; those are not counted.
func (e *Ends) Count(verdict, reason uint32) {
	if int(verdict) < len(e) && int(reason) < contract.NumReasons {
		e[verdict][reason].Inc(1)
	}
}
