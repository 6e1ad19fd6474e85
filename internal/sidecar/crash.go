package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/eventlog"
	"heathershed/internal/link"
	"heathershed/internal/outcome"
	"heathershed/internal/poison"
	"heathershed/internal/upstream"
	"heathershed/internal/vm/instance"
	"heathershed/internal/wait"
)

// The node beside an upstream records which requests ran when the upstream
// crashed. All nodes tell each other, and reject a request that has crashed
// upstreams: the node that takes it from its client, and again the node beside the
// upstream. See docs/design/poison.md.

const (
	// refusesTimeout bounds the check whether nothing listens at the address of
	// an upstream whose connection was lost.
	refusesTimeout = 200 * time.Millisecond
	// probationRetryAfter is the Retry-After of a request on probation that finds
	// another one running.
	probationRetryAfter = 300 * time.Millisecond
	// crashReportDelay collects what is learnt at one time into one frame, and
	// crashReportInterval is how often frames that a full session did not take are
	// sent again.
	crashReportDelay    = 10 * time.Millisecond
	crashReportInterval = 500 * time.Millisecond
	// maxReportsPerFrame bounds the size of a frame.
	maxReportsPerFrame = 256
)

// standing returns how a call may be sent now. The content of an upload is not known.
func (n *Node) standing(c *call) poison.Standing {
	if n.poison.Empty() || c.upload != nil {
		return poison.Standing{}
	}
	return n.poison.Standing(time.Now(), n.keyOfCall(c))
}

// keyOfCall returns the key of the content that the upstream would get.
func (n *Node) keyOfCall(c *call) poison.Key {
	if c.key == 0 {
		c.key = poison.KeyOf(c.method, c.host, c.uri, n.target.service(), c.body)
	}
	return c.key
}

// rejectCrashing returns the reply to a call that is rejected because upstreams
// crashed under its content, or nil.
func (n *Node) rejectCrashing(c *call) *linkpb.CallReply {
	s := n.standing(c)
	if s.State != poison.Rejected {
		return nil
	}
	n.logStanding("request rejected, it crashes upstreams", c.attempt, n.keyOfCall(c), s)
	return crashReply(s.Wait, s)
}

func crashReply(wait time.Duration, s poison.Standing) *linkpb.CallReply {
	detail := fmt.Sprintf("%d upstreams crashed under it, the last one %d ms ago", s.Ends, s.Age.Milliseconds())
	return outcome.RetryAfterReply(wait, contract.ReasonCrashesUpstream, detail)
}

// admitCrashing decides whether a call whose content upstreams have crashed under
// may run here. alone says that it holds the place of the one request on probation
// that runs here, which must be given back by n.onProbation.Store(false).
func (n *Node) admitCrashing(req *linkpb.CallRequest) (alone bool, reply *linkpb.CallReply) {
	if n.poison.Empty() || isUpload(req) {
		return false, nil
	}
	key := keyOf(req)
	s := n.poison.Standing(time.Now(), key)
	switch {
	case s.State == poison.Free:
		return false, nil
	case s.State == poison.Rejected:
		reply = crashReply(s.Wait, s)
	case n.fleet.Owner(req.Service, uint64(key)) == n.cfg.VM && n.onProbation.CompareAndSwap(false, true):
		n.logStanding("request on probation", req.AttemptId, key, s)
		return true, nil
	default:
		reply = crashReply(probationRetryAfter, s)
	}
	reply.CrashReport = n.crashReport(key)
	return false, reply
}

// observeCrash records a run that may have crashed the upstream, or one that shows
// that it does not. Its reply carries what is known then.
func (n *Node) observeCrash(ctx context.Context, req *linkpb.CallRequest, state instance.State, alone bool, out upstream.Outcome, reply *linkpb.CallReply) {
	switch {
	case isUpload(req): // its content is not known
		return
	case out.Verdict == contract.Ran:
		if reply.Status < http.StatusInternalServerError && n.poison.Answered(time.Now(), keyOf(req)) {
			n.log.Info("request cleared by an answer", "id", req.AttemptId, "content", keyOf(req).String(), "instance", state.ID)
			n.reportsDue.Send()
		}
		return
	case out.Verdict != contract.MayHaveRun || out.Reason != contract.ReasonUpstreamFailed && out.Reason != contract.ReasonPartialAnswer:
		return
	case !n.hasCrashed(ctx, state):
		n.lostRuns.add(state.ID, lostRun{key: keyOf(req), alone: alone, at: time.Now()})
		if n.target.state().ID != state.ID { // its end became known meanwhile
			n.blameLostRuns(state)
		}
		return
	}
	key := keyOf(req)
	s := n.poison.Ended(time.Now(), key, poison.EndOf(n.cfg.VM, state.ID), alone)
	if s.State != poison.Free {
		n.logStanding("upstream crashed under a request again", req.AttemptId, key, s)
	}
	reply.CrashReport = n.crashReport(key)
	n.reportsDue.Send()
}

// hasCrashed reports whether an instance that took requests has ended: nothing
// listens at its address, or another one has started there. A lost connection
// alone does not show it.
func (n *Node) hasCrashed(ctx context.Context, state instance.State) bool {
	if now := n.target.state(); now.ID == state.ID && !now.Lost {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusesTimeout)
		defer cancel()
		if !n.upstream.Refuses(ctx) {
			return false
		}
		n.target.update("connection", func(tr *instance.Tracker) instance.Change { return tr.ConnectionRefused(state.ID) })
	}
	now := n.target.state()
	return now.ID != state.ID || now.Lost
}

// crashReport returns what is known of a request, as links carry it; nil if that
// is nothing.
func (n *Node) crashReport(key poison.Key) *linkpb.CrashReport {
	r, ok := n.poison.Report(time.Now(), key)
	if !ok {
		return nil
	}
	return crashReportMessage(r)
}

func crashReportMessage(r poison.Report) *linkpb.CrashReport {
	return &linkpb.CrashReport{
		Key: uint64(r.Key), Ends: endNumbers(r.Ends), Alone: endNumbers(r.Alone), Cleared: endNumbers(r.Cleared),
		AgeUs: r.Age.Microseconds(),
	}
}

func endNumbers(ends []poison.End) []uint64 {
	numbers := make([]uint64, len(ends))
	for i, end := range ends {
		numbers[i] = uint64(end)
	}
	return numbers
}

func endsOf(numbers []uint64) []poison.End {
	ends := make([]poison.End, len(numbers))
	for i, number := range numbers {
		ends[i] = poison.End(number)
	}
	return ends
}

// mergeCrashReports applies what another node knows.
func (n *Node) mergeCrashReports(reports ...*linkpb.CrashReport) {
	now := time.Now()
	for _, m := range reports {
		if m == nil {
			continue
		}
		n.poison.Merge(now, poison.Report{
			Key: poison.Key(m.Key), Ends: endsOf(m.Ends), Alone: endsOf(m.Alone), Cleared: endsOf(m.Cleared),
			Age: max(time.Duration(m.AgeUs)*time.Microsecond, 0),
		})
		n.reportsDue.Send()
	}
}

// runCrashReports is the task that sends on each session what this node has learnt
// since it last did; on a new session, everything.
func (n *Node) runCrashReports(ctx context.Context) error {
	sent := make(map[*link.Session]uint64)
	for ctx.Err() == nil {
		if n.reportsDue.Wait(ctx, crashReportInterval) && wait.For(ctx, crashReportDelay) != nil {
			break
		}
		open := n.peers.openSessions()
		for s := range sent {
			if !slices.Contains(open, s) {
				delete(sent, s)
			}
		}
		for _, s := range open {
			sent[s] = n.sendCrashReports(s, sent[s])
		}
	}
	return nil
}

// sendCrashReports sends what this node has learnt since a sequence number. It
// returns the one up to which the session has taken everything.
func (n *Node) sendCrashReports(s *link.Session, sequence uint64) uint64 {
	reports, latest := n.poison.Since(time.Now(), sequence)
	for part := range slices.Chunk(reports, maxReportsPerFrame) {
		f := n.newFrame()
		for _, r := range part {
			f.CrashReports = append(f.CrashReports, crashReportMessage(r))
		}
		if !s.Send(f) {
			return sequence
		}
	}
	return latest
}

func (n *Node) logStanding(message, attempt string, key poison.Key, s poison.Standing) {
	if !eventlog.Allowed(n.log, message) {
		return
	}
	n.log.Info(message, "id", attempt, "content", key.String(), "state", s.State.String(),
		"crashed", s.Ends, "last_ms", s.Age.Milliseconds(), "wait_ms", s.Wait.Milliseconds())
}
