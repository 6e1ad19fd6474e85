package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	linkpb "heathershed/api/link"
	"heathershed/internal/bootclock"
	"heathershed/internal/contract"
	"heathershed/internal/outcome"
	"heathershed/internal/telemetry"
	"heathershed/internal/vm/instance"
	"heathershed/internal/wait"
)

const (
	// reportInterval is how often tally passes its values to the reporter.
	reportInterval = 2 * time.Second
	// buckets is the number of histogram buckets. Their bounds double from 1 ms
	// to 16 s.
	buckets = 15
)

// metrics holds every metric of a node; docs/METRICS.md lists them. All scopes
// are created at the start, none while a request is served.
type metrics struct {
	scrapeHandler http.Handler
	calls         *telemetry.Calls
	rejected      [contract.NumReasons]tally.Counter
	retries       tally.Counter
	beyondShare   tally.Counter
	clients       [numClientEnds]tally.Counter
	nestedFailed  [contract.NumReasons]tally.Counter
	wait          tally.Histogram
	service       tally.Histogram
	store         map[storeOutcome]tally.Counter
	pulls         tally.Counter
	unserved      tally.Counter
	quota         [numQuotaOutcomes]tally.Counter
	quotaAsks     tally.Counter
	invalidLoads  tally.Counter
	beatsRefused  tally.Counter
	beatsDisputed tally.Counter

	memory *memoryGauges
	ahead  tally.Counter

	inFlight, waiting, slots, usable, loss, threshold, demand, version, age, upstreams, limited, limit, pace, reportedBusy, readAhead tally.Gauge
}

// storeOutcome identifies a counter of calls to the object API: the call, and
// whether it failed.
type storeOutcome struct {
	call   string
	failed bool
}

func newMetrics() *metrics {
	scope, handler := telemetry.NewScope(reportInterval)
	m := &metrics{
		scrapeHandler: handler,
		calls:         telemetry.NewCalls(scope, "requests_ended", "request_seconds", buckets),
		retries:       scope.Counter("requests_repeated"),
		beyondShare:   scope.Counter("requests_beyond_share"),
		wait:          telemetry.NewDurationHistogram(scope, "door_wait_seconds", buckets),
		service:       telemetry.NewDurationHistogram(scope, "upstream_seconds", buckets),
		store:         make(map[storeOutcome]tally.Counter),
		pulls:         scope.Counter("members_pulled"),
		unserved:      scope.Counter("services_without_upstream"),
		quotaAsks:     scope.Counter("quota_questions"),
		invalidLoads:  scope.Counter("upstream_loads_ignored"),
		beatsRefused:  scope.Counter("heartbeats_refused"),
		beatsDisputed: scope.Counter("heartbeats_disputed"),
		memory:        newMemoryGauges(scope),
		ahead:         scope.Counter("requests_run_ahead"),
		readAhead:     scope.Gauge("read_ahead_bytes"),
		inFlight:      scope.Gauge("door_in_flight"),
		waiting:       scope.Gauge("door_waiting"),
		slots:         scope.Gauge("door_slots"),
		usable:        scope.Gauge("door_slots_usable"),
		loss:          scope.Gauge("upstream_loss_share"),
		threshold:     scope.Gauge("door_threshold"),
		demand:        scope.Gauge("door_demand"),
		version:       scope.Gauge("configuration_version"),
		age:           scope.Gauge("configuration_age_seconds"),
		upstreams:     scope.Gauge("upstreams_usable"),
		limited:       scope.Gauge("upstream_limited"),
		limit:         scope.Gauge("upstream_limit"),
		pace:          scope.Gauge("upstream_pace"),
		reportedBusy:  scope.Gauge("upstream_reported_busy"),
	}
	for r := range m.rejected {
		byReason := scope.Tagged(map[string]string{"reason": contract.Reason(r).String()})
		m.rejected[r] = byReason.Counter("door_refused")
		m.nestedFailed[r] = byReason.Counter("nested_calls_failed")
	}
	for o, name := range quotaOutcomeNames {
		m.quota[o] = scope.Tagged(map[string]string{"outcome": name}).Counter("quota_decisions")
	}
	for end, name := range clientEndNames {
		m.clients[end] = scope.Tagged(map[string]string{"end": name}).Counter("client_requests")
	}
	for _, call := range []string{callConfiguration, callList, callRead, callWrite} {
		for failed, outcome := range map[bool]string{false: "ok", true: "failed"} {
			m.store[storeOutcome{call, failed}] = scope.Tagged(map[string]string{"call": call, "outcome": outcome}).Counter("store_calls")
		}
	}
	return m
}

func (m *metrics) handler() http.Handler { return m.scrapeHandler }

// observeRun records the wait and the run time of a request that the scheduler
// admitted.
func (m *metrics) observeRun(waited, service time.Duration) {
	m.wait.RecordDuration(waited)
	m.service.RecordDuration(service)
}

// updateNotice sets the gauges of what the local upstream says of itself.
func (m *metrics) updateNotice(notice instance.Notice) {
	limited := 0.0
	if notice.Limited {
		limited = 1
	}
	m.limited.Update(limited)
	m.limit.Update(notice.Limit)
}

// clientEnd is how a client's request, and so its call tree, ended.
type clientEnd uint8

const (
	clientServed         clientEnd = iota
	clientRejected                 // with the verdict "not run"
	clientUpstreamFailed           // the upstream answered with a status of 500 or more
	clientFailed                   // any other end

	numClientEnds
)

var clientEndNames = [numClientEnds]string{"served", "rejected", "upstream_failed", "failed"}

// countEnd counts the end of a request on the ingress. Of a nested call it
// counts a failure that began with this call: a failed answer of its upstream
// was counted where it began.
func (m *metrics) countEnd(c *call, reply *linkpb.CallReply) {
	if !c.inner {
		m.clients[clientEndOf(reply)].Inc(1)
		return
	}
	if !outcome.Ran(reply) && reply.Reason < contract.NumReasons {
		m.nestedFailed[reply.Reason].Inc(1)
	}
}

func clientEndOf(reply *linkpb.CallReply) clientEnd {
	switch {
	case succeeded(reply):
		return clientServed
	case outcome.Ran(reply):
		return clientUpstreamFailed
	case contract.Verdict(reply.Verdict) == contract.NotRun:
		return clientRejected
	}
	return clientFailed
}

// countRejected counts a request that the scheduler rejected.
func (m *metrics) countRejected(r contract.Reason) { m.rejected[r].Inc(1) }

// countBeyondShare counts a request that was rejected because its workspace has its
// share.
func (m *metrics) countBeyondShare(beyond bool) {
	if beyond {
		m.beyondShare.Inc(1)
	}
}

// observeStoreCall counts a call to the object API.
func (m *metrics) observeStoreCall(call string, err error) {
	if c := m.store[storeOutcome{call, err != nil}]; c != nil {
		c.Inc(1)
	}
}

// serveMetrics serves the metrics as text until the node closes.
func (n *Node) serveMetrics(l net.Listener) error {
	if err := n.metricsServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runGauges is the task that sets the gauges every reportInterval.
func (n *Node) runGauges(ctx context.Context) error {
	for wait.For(ctx, reportInterval) == nil {
		load := n.sched.Load(time.Now(), "")
		n.metrics.readAhead.Update(float64(n.ingress.ReadAheadBytes()))
		n.metrics.inFlight.Update(float64(load.InFlight))
		n.metrics.waiting.Update(float64(load.Waiting))
		n.metrics.slots.Update(float64(load.Slots))
		n.metrics.usable.Update(float64(load.Usable))
		n.metrics.loss.Update(n.losses.Rate(time.Now()))
		n.metrics.threshold.Update(float64(load.Threshold))
		n.metrics.demand.Update(load.Demand)
		if t := n.table.Load(); t != nil {
			n.metrics.version.Update(float64(t.Version))
		}
		if c, ok := n.freshness.Newest(); ok {
			n.metrics.age.Update(c.Age(bootclock.Now()).Seconds())
		}
		_, usable := n.fleet.Counts()
		n.metrics.upstreams.Update(float64(usable))
		n.metrics.updateNotice(n.target.state().Notice)
		report, _ := n.loadReport()
		n.metrics.pace.Update(report.Pace)
		n.metrics.reportedBusy.Update(report.Busy)
		n.updateMemory()
	}
	return nil
}
