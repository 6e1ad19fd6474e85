package sidecar

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/upstream"
	"heathershed/internal/vm/instance"
	"heathershed/internal/vm/upstreamload"
	"heathershed/platform"
)

// maxReportedFigure bounds the figures of a load that another node reports, in
// thousandths: those that this version reports are lower.
const maxReportedFigure = 2_000_000_000

// reportedLoad is the load that the upstream beside this node reports of itself.
type reportedLoad struct {
	mu      sync.Mutex
	tracker upstreamload.Tracker
	// invalid is the last error that was logged.
	invalid string
}

// observeServerLoad records what a complete answer of an instance, to a request that was
// sent at sent, reports of the instance's load.
func (n *Node) observeServerLoad(id string, sent time.Time, out upstream.Outcome, answer *fasthttp.Response) {
	if !n.cfg.UpstreamLoad || out.Reason != contract.ReasonNone && out.Reason != contract.ReasonUpstreamRefused {
		return
	}
	if from := platform.InstanceOf(answer); from != "" && from != instance.IDOf(id) || id != n.target.state().ID {
		return
	}
	sample, ok, err := platform.ReadServerLoad(answer)
	l := &n.reportedLoad
	l.mu.Lock()
	if ok {
		l.tracker.Observe(time.Now(), id, sent, sample)
	}
	repeated := err == nil || l.invalid == err.Error()
	if err != nil {
		l.invalid = err.Error()
	}
	l.mu.Unlock()
	if err != nil {
		n.metrics.invalidLoads.Inc(1)
	}
	if !repeated {
		n.log.Warn("load ignored", "instance", id, "err", err)
	}
}

// loadReport returns the load that the current instance reports. ok is false if it
// reports none.
func (n *Node) loadReport() (r upstreamload.Report, ok bool) {
	if !n.cfg.UpstreamLoad {
		return upstreamload.Report{}, false
	}
	id := n.target.state().ID
	n.reportedLoad.mu.Lock()
	defer n.reportedLoad.mu.Unlock()
	return n.reportedLoad.tracker.Report(time.Now(), id)
}

// loadReportMessage returns the load that the current instance reports as links carry
// it, or nil if it reports none.
func (n *Node) loadReportMessage() *linkpb.UpstreamLoad {
	r, ok := n.loadReport()
	if !ok {
		return nil
	}
	return &linkpb.UpstreamLoad{
		Sequence: r.Sequence, BusyPermille: permilleOf(r.Busy),
		PacePermille: permilleOf(r.Pace), RunPacePermille: permilleOf(r.RunPace),
		AgeMs: uint32(r.Age.Milliseconds()), // below upstreamload.Expiry
	}
}

func permilleOf(v float64) uint32 { return uint32(min(permille*v, maxReportedFigure)) }

// loadReportOf returns the report in a load, which may have none. The zero Report is
// returned for one out of range, which is that of another version, and where the
// setting is off.
func (n *Node) loadReportOf(l *linkpb.Load) upstreamload.Report {
	m := l.Upstream
	if m == nil || !n.cfg.UpstreamLoad || m.PacePermille == 0 || m.RunPacePermille == 0 ||
		max(m.BusyPermille, m.PacePermille, m.RunPacePermille) > maxReportedFigure {
		return upstreamload.Report{}
	}
	return upstreamload.Report{
		Incarnation: l.Notice.GetIncarnation(), Sequence: m.Sequence,
		Busy: float64(m.BusyPermille) / permille,
		Pace: float64(m.PacePermille) / permille, RunPace: float64(m.RunPacePermille) / permille,
		Age: time.Duration(m.AgeMs) * time.Millisecond,
	}
}
