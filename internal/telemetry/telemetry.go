// Package telemetry makes the root scope of a process's metrics and serves them
// as text for scrapers.
package telemetry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	linkpb "heathershed/api/link"
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

// NewDurationHistogram returns a histogram whose buckets double from 1 ms on.
func NewDurationHistogram(scope tally.Scope, name string, buckets int) tally.Histogram {
	return scope.Histogram(name, tally.MustMakeExponentialDurationBuckets(fastest, 2, buckets))
}

// Calls tells how the calls that callers made here ended, and how long they
// took.
type Calls struct {
	ends    [numVerdicts][contract.NumReasons]tally.Counter
	seconds tally.Histogram
}

const numVerdicts = 3

// NewCalls returns the counters, by verdict and reason, and the histogram under
// their names.
func NewCalls(scope tally.Scope, ends, seconds string, buckets int) *Calls {
	c := &Calls{seconds: NewDurationHistogram(scope, seconds, buckets)}
	for v := range c.ends {
		for r := range c.ends[v] {
			c.ends[v][r] = scope.Tagged(map[string]string{
				"verdict": contract.Verdict(v).String(),
				"reason":  contract.Reason(r).String(),
			}).Counter(ends)
		}
	}
	return c
}

// Record takes in the end of a call. A newer node may know more reasons; those
// are not counted.
func (c *Calls) Record(reply *linkpb.CallReply, took time.Duration) {
	c.seconds.RecordDuration(took)
	if int(reply.Verdict) < len(c.ends) && int(reply.Reason) < contract.NumReasons {
		c.ends[reply.Verdict][reply.Reason].Inc(1)
	}
}
