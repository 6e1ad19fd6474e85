// Package telemetry creates the root scope of a process's metrics and serves
// them in the Prometheus text format.
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

// NewScope returns the root scope, whose values are reported at the given
// interval, and the handler that serves them.
func NewScope(interval time.Duration) (tally.Scope, http.Handler) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "heathershed",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, interval)
	return scope, reporter.HTTPHandler()
}

// firstBucket is the upper bound of a histogram's first bucket.
const firstBucket = time.Millisecond

// NewDurationHistogram returns a histogram of durations. The upper bound of its
// first bucket is 1 ms, and each further bucket doubles it.
func NewDurationHistogram(scope tally.Scope, name string, buckets int) tally.Histogram {
	return scope.Histogram(name, tally.MustMakeExponentialDurationBuckets(firstBucket, 2, buckets))
}

// Calls counts the calls made at this node by their outcome and measures their
// duration.
type Calls struct {
	ended   [numVerdicts][contract.NumReasons]tally.Counter
	seconds tally.Histogram
}

const numVerdicts = 3

// NewCalls returns a Calls with counters named ended, by verdict and reason, and
// a histogram named seconds with the given number of buckets.
func NewCalls(scope tally.Scope, ended, seconds string, buckets int) *Calls {
	c := &Calls{seconds: NewDurationHistogram(scope, seconds, buckets)}
	for v := range c.ended {
		for r := range c.ended[v] {
			c.ended[v][r] = scope.Tagged(map[string]string{
				"verdict": contract.Verdict(v).String(),
				"reason":  contract.Reason(r).String(),
			}).Counter(ended)
		}
	}
	return c
}

// Record records the reply to a call. Verdicts and reasons that only newer nodes
// know are not counted.
func (c *Calls) Record(reply *linkpb.CallReply, took time.Duration) {
	c.seconds.RecordDuration(took)
	if int(reply.Verdict) < len(c.ended) && int(reply.Reason) < contract.NumReasons {
		c.ended[reply.Verdict][reply.Reason].Inc(1)
	}
}
