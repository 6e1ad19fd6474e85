package sidecar

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/link"
	"heathershed/internal/upstream"
	"heathershed/internal/vm/instance"
	"heathershed/internal/vm/scheduler"
	"heathershed/platform"
)

// The node beside an upstream enforces what the upstream says of itself in its
// answers: it paces requests by the limit, and closes the scheduler when the
// upstream leaves. Other nodes receive it in replies and heartbeats. While the
// node beside the upstream has not read an answer since its start, they send it
// back, with each call and in reply to a heartbeat; that the upstream leaves for
// good also after that.

// observeNotice records what a complete answer of an instance, to a request that
// was sent at sent, says about the instance.
func (n *Node) observeNotice(id string, sent time.Time, out upstream.Outcome, answer *fasthttp.Response) {
	if out.Reason != contract.ReasonNone && out.Reason != contract.ReasonUpstreamRefused {
		return
	}
	a, err := platform.ReadNotice(answer)
	if err != nil {
		n.target.logInvalidNotice(id, err)
	}
	a.Instance, a.Sent = id, sent
	n.target.update("answer", func(tr *instance.Tracker) instance.Change { return tr.HandleAnswer(time.Now(), a) })
}

// recall applies what another node has heard of the local upstream.
func (n *Node) recall(m *linkpb.UpstreamNotice) {
	if m == nil {
		return
	}
	r := reportOf(m)
	n.target.update("node", func(tr *instance.Tracker) instance.Change { return tr.Recall(time.Now(), r) })
}

// remind tells the node at the other end of a session what this node has heard
// of its upstream, if that node has not heard it itself since its start.
// That an instance leaves for good is told even so.
func (n *Node) remind(s *link.Session, f *linkpb.ControlFrame) {
	own, known := reportOf(f.GetLoad().GetNotice()), n.fleet.Report(f.Vm)
	if own.Instance == "" || own.Instance != known.Instance || !known.AddsTo(own.Notice) {
		return
	}
	if own.Incarnation > 0 && (own.Leaving || !known.Leaving) {
		return
	}
	reminder := n.newFrame()
	reminder.Notice = noticeMessage(known)
	s.Send(reminder)
}

// logNotice logs that the upstream beside another node says something new.
func (n *Node) logNotice(vm string) {
	r := n.fleet.Report(vm)
	n.log.Info("upstream notice", "vm", vm, "instance", r.Instance, "limit", limitText(r.Notice), "said_leaving", r.Leaving,
		"incarnation", r.Incarnation, "changes", r.Changes)
}

// report returns what is known of the current instance, or the zero value if
// none is known.
func (t *target) report() instance.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.tracker.State()
	r := instance.Report{Notice: state.Notice, Instance: state.ID}
	if state.Heard || state.Notice.Leaving {
		r.Incarnation, r.Changes = t.n.incarnation.Load(), t.notices
	}
	return r
}

// noticeMessage returns a report as links carry it, or nil if no instance is
// known.
func noticeMessage(r instance.Report) *linkpb.UpstreamNotice {
	if r.Instance == "" {
		return nil
	}
	return &linkpb.UpstreamNotice{
		Instance: r.Instance, Incarnation: r.Incarnation, Changes: r.Changes,
		Limited: r.Limited, Limit: r.Limit, Leaving: r.Leaving,
	}
}

// reportOf returns the report in a message, which may be nil. Limits out of
// range are those of another version and count as none.
func reportOf(m *linkpb.UpstreamNotice) instance.Report {
	if m == nil {
		return instance.Report{}
	}
	r := instance.Report{Instance: m.Instance, Incarnation: m.Incarnation, Changes: m.Changes}
	r.Leaving = m.Leaving
	if m.Limited && m.Limit >= 0 && m.Limit <= instance.MaxLimit {
		r.Limited, r.Limit = true, m.Limit
	}
	return r
}

// refusalDetail says what the scheduler lacked for a request: for a limit its
// value and how long ago the upstream named it last.
func (n *Node) refusalDetail(refusal *scheduler.Refusal, workspace string) string {
	state := n.target.state()
	if refusal.Reason != contract.ReasonUpstreamLimit || !state.Notice.Limited {
		return overloadDetail("no room", workspace, lacksShare(refusal))
	}
	return fmt.Sprintf("limit of %s a second, named %d ms ago", limitText(state.Notice), age(state.LimitAt).Milliseconds())
}

// limitText returns the limit in requests a second, as it is logged, or the
// empty string if there is none.
func limitText(n instance.Notice) string {
	if !n.Limited {
		return ""
	}
	return strconv.FormatFloat(n.Limit, 'g', -1, 64)
}

// age returns the time since t, or 0 if t is zero.
func age(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t)
}

// logInvalidNotice logs that an answer of an instance says something about it
// that can't be read. Repetitions are not logged.
func (t *target) logInvalidNotice(id string, err error) {
	t.mu.Lock()
	repeated := t.invalidNotice == err.Error()
	t.invalidNotice = err.Error()
	t.mu.Unlock()
	if !repeated {
		t.n.log.Warn("notice refused", "instance", id, "err", err)
	}
}
