package sidecar

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/eventlog"
	"heathershed/internal/link"
)

// sampleEvery is the number of requests that end well of which one is logged, by
// its id: the same ones at every node.
const sampleEvery = 64

// serverError is the first status that says that an upstream failed.
const serverError = 500

// connLog writes what the HTTP library says of connections as one message, so
// that it is bounded like the others.
type connLog struct{ log *slog.Logger }

// maxConnError bounds the text of such a line, in bytes.
const maxConnError = 300

// Printf implements fasthttp.Logger.
func (l connLog) Printf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.log.Warn("bad input", "err", text[:min(len(text), maxConnError)])
}

// succeeded reports whether the upstream answered and did not fail.
func succeeded(reply *linkpb.CallReply) bool {
	return contract.Verdict(reply.Verdict) == contract.Ran && reply.Status < serverError
}

func sampled(id string) bool { return xxhash.Sum64String(id)%sampleEvery == 0 }

// messageFor chooses the message for how a request ended, and reports whether it is
// written, as far as the message has room: where it failed, else for a sample of
// ids.
func (n *Node) messageFor(reply *linkpb.CallReply, id, well, failed string) (message string, written bool) {
	if !succeeded(reply) {
		return failed, eventlog.Allowed(n.log, failed)
	}
	return well, sampled(id)
}

// logEnd writes the line of a request's end: of each that failed, and of some
// that went well.
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
		"inner", c.inner, "verdict", contract.Verdict(reply.Verdict).String(), "reason", contract.Reason(reply.Reason).String(),
		"detail", reply.Detail, "status", reply.Status, "vm", reply.Vm, "took_ms", took.Milliseconds(),
		"left_ms", time.Until(c.deadline).Milliseconds(), "come_back_ms", reply.RetryAfterMs)
}

// logLinkLost writes the end of a session that this node dialled, or took for
// silent, and what it had waited for.
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

// logShed writes why the front refused a client's request.
func (n *Node) logShed(c *call, threshold contract.Level) {
	const message = "request shed"
	if !eventlog.Allowed(n.log, message) {
		return
	}
	n.log.Info(message, "id", c.attempt, "route", c.route.Name, "service", c.service,
		"level", c.level, "threshold", threshold)
}

// logRetry writes that a request is sent once more, and why it may be.
func (n *Node) logRetry(c *call, vm string, reply *linkpb.CallReply, arrived int) {
	if arrived == 0 && !sampled(c.attempt) {
		return // no upstream has seen it
	}
	n.log.Info("request sent again", "id", c.attempt, "route", c.route.Name, "after", vm,
		"verdict", contract.Verdict(reply.Verdict).String(), "reason", contract.Reason(reply.Reason).String(),
		"detail", reply.Detail, "idempotent", c.route.Idempotent, "arrived", arrived, "attempts", c.route.Attempts)
}

// logRun writes what the upstream did with a request that the door let in.
func (n *Node) logRun(req *linkpb.CallRequest, reply *linkpb.CallReply, wait, service time.Duration) {
	message, written := n.messageFor(reply, req.AttemptId, "run ended", "run failed")
	if !written {
		return
	}
	n.log.Info(message, "id", req.AttemptId, "route", req.Kind, "from", req.FromVm, "instance", n.target.state().ID,
		"verdict", contract.Verdict(reply.Verdict).String(), "reason", contract.Reason(reply.Reason).String(), "detail", reply.Detail,
		"status", reply.Status, "wait_ms", wait.Milliseconds(), "service_ms", service.Milliseconds())
}
