package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/eventlog"
	"heathershed/internal/link"
	"heathershed/internal/poison"
	"heathershed/internal/vm/scheduler"
	"heathershed/internal/wait"
)

// sampleEvery is the sampling rate of successful requests: one in sampleEvery
// is logged. Sampling is by attempt id, so that all nodes log the same
// requests.
const sampleEvery = 64

// serverError is the lowest HTTP status that counts as a failure of the
// upstream.
const serverError = 500

// connLog logs the connection errors of the HTTP library under a single
// message, so that its rate is limited like that of the others.
type connLog struct{ log *slog.Logger }

// maxConnError bounds the text of such an error, in bytes.
const maxConnError = 300

// Printf implements fasthttp.Logger.
func (l connLog) Printf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.log.Warn("bad input", "err", text[:min(len(text), maxConnError)])
}

// succeeded reports whether the upstream answered with a status below
// serverError.
func succeeded(reply *linkpb.CallReply) bool {
	return contract.Verdict(reply.Verdict) == contract.Ran && reply.Status < serverError
}

func sampled(id string) bool { return xxhash.Sum64String(id)%sampleEvery == 0 }

// messageFor returns the log message for the end of a request and reports
// whether it is logged: failures as far as the rate limit of the message
// allows, successes if their id is sampled.
func (n *Node) messageFor(reply *linkpb.CallReply, id, well, failed string) (message string, written bool) {
	if !succeeded(reply) {
		return failed, eventlog.Allowed(n.log, failed)
	}
	return well, sampled(id)
}

// logEnd logs the end of a request: failures, and a sample of the successes.
func (n *Node) logEnd(c *call, reply *linkpb.CallReply, took time.Duration) {
	message, written := n.messageFor(reply, c.attempt, "request answered", "request failed")
	if !written {
		return
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	n.log.Info(message, "id", c.attempt, "parent", c.parentID, "route", route, "service", c.service,
		"inner", c.inner, "workspace", c.workspaceName(), "verdict", contract.Verdict(reply.Verdict).String(), "reason", contract.Reason(reply.Reason).String(),
		"detail", reply.Detail, "status", reply.Status, "vm", reply.Vm, "took_ms", took.Milliseconds(),
		"left_ms", time.Until(c.deadline).Milliseconds(), "come_back_ms", reply.RetryAfterMs)
}

// logLinkLost logs the end of a link session that this node dialled or found
// unresponsive, and in the second case the state of the failure detector.
func (n *Node) logLinkLost(s *link.Session, reason error) {
	var unresponsive *link.UnresponsiveError
	if !errors.As(reason, &unresponsive) {
		if s.Dialled() {
			n.log.Info("link lost", "vm", s.Peer().VM, "err", reason)
		}
		return
	}
	w := unresponsive.Status
	n.log.Warn("link silent", "vm", s.Peer().VM, "dialled", s.Dialled(), "proof_ms", w.LastAck.Milliseconds(),
		"heard_ms", w.LastContact.Milliseconds(), "heartbeat_ms", w.UnackedHeartbeat.Milliseconds(),
		"tick_ms", w.TickGap.Milliseconds(), "in_flight", n.inFlight.Load())
}

// logShed logs that the ingress shed a client's request, with the threshold
// that it was below.
func (n *Node) logShed(c *call, threshold contract.Level) {
	const message = "request shed"
	if !eventlog.Allowed(n.log, message) {
		return
	}
	n.log.Info(message, "id", c.attempt, "route", c.route.Name, "service", c.service,
		"workspace", c.workspaceName(), "level", c.level, "threshold", threshold)
}

const (
	// thresholdInterval is how often the threshold of the local scheduler is
	// compared with the one that was logged last.
	thresholdInterval = 500 * time.Millisecond
	// thresholdStep is the change of the threshold that is logged, in priority
	// levels.
	thresholdStep = 128
)

// runSchedulerLog is the task that logs how the threshold of the local scheduler
// and the slots that it uses change.
func (n *Node) runSchedulerLog(ctx context.Context) error {
	logged, reduced, ramping := contract.Level(0), false, false
	for wait.For(ctx, thresholdInterval) == nil {
		load := n.sched.Load(time.Now(), "")
		logged = n.logThreshold(load, logged)
		reduced = n.logUsable(load, reduced)
		ramping = n.logRamp(load, ramping)
	}
	return nil
}

// logUsable logs when the scheduler begins or ceases to leave slots idle because the
// upstream is slower with all of them in use. It takes and returns whether it does.
func (n *Node) logUsable(load scheduler.Load, before bool) bool {
	reduced := load.Usable < load.Slots && !load.Ramping
	if reduced != before {
		n.log.Info("slots left idle", "usable", load.Usable, "slots", load.Slots, "slowdown", load.Slowdown)
	}
	return reduced
}

// logRamp logs when the upstream begins or ceases to ramp up. It takes and returns
// whether it does.
func (n *Node) logRamp(load scheduler.Load, before bool) bool {
	if load.Ramping != before {
		n.log.Info("upstream ramps up", "ramping", load.Ramping, "usable", load.Usable, "slots", load.Slots,
			"latency_ms", load.Latency.Milliseconds(), "loss", n.losses.Rate(time.Now()))
	}
	return load.Ramping
}

// logThreshold logs the threshold if it differs by thresholdStep or more from
// the one that was logged last, or has returned to 0. It returns the one that
// was logged last.
func (n *Node) logThreshold(load scheduler.Load, logged contract.Level) contract.Level {
	change := max(load.Threshold, logged) - min(load.Threshold, logged)
	if change < thresholdStep && (load.Threshold > 0 || logged == 0) {
		return logged
	}
	n.log.Info("threshold moved", "threshold", load.Threshold, "from", logged, "demand", load.Demand,
		"in_flight", load.InFlight, "waiting", load.Waiting, "slots", load.Slots)
	return load.Threshold
}

// logRetry logs that a call is sent again, with the outcome that allows it.
// Retries of calls that reached no upstream are sampled.
func (n *Node) logRetry(c *call, vm string, reply *linkpb.CallReply, arrived int) {
	if arrived == 0 && !sampled(c.attempt) {
		return // no upstream received it
	}
	n.log.Info("request sent again", "id", c.attempt, "route", c.route.Name, "after", vm,
		"verdict", contract.Verdict(reply.Verdict).String(), "reason", contract.Reason(reply.Reason).String(),
		"detail", reply.Detail, "idempotent", c.route.Idempotent, "arrived", arrived, "attempts", c.route.Attempts)
}

// logRun logs the outcome of a request that the scheduler admitted.
func (n *Node) logRun(req *linkpb.CallRequest, reply *linkpb.CallReply, wait, service time.Duration) {
	message, written := n.messageFor(reply, req.AttemptId, "run ended", "run failed")
	if !written {
		return
	}
	n.log.Info(message, "id", req.AttemptId, "route", req.Kind, "from", req.FromVm, "instance", n.target.state().ID,
		"verdict", contract.Verdict(reply.Verdict).String(), "reason", contract.Reason(reply.Reason).String(), "detail", reply.Detail,
		"status", reply.Status, "wait_ms", wait.Milliseconds(), "service_ms", service.Milliseconds(), "content", contentOf(req, reply))
}

// contentOf returns the key of the content of a request whose run may have crashed
// its upstream, as it is logged, and else the empty string.
func contentOf(req *linkpb.CallRequest, reply *linkpb.CallReply) string {
	if contract.Verdict(reply.Verdict) != contract.MayHaveRun || contract.Reason(reply.Reason) != contract.ReasonUpstreamFailed {
		return ""
	}
	return keyOf(req).String()
}

func keyOf(req *linkpb.CallRequest) poison.Key {
	return poison.KeyOf(req.Method, req.Host, req.Uri, req.FromService, req.Body)
}
