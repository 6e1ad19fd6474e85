package sidecar

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/bootclock"
	"heathershed/internal/contract"
	"heathershed/internal/link"
	"heathershed/internal/outcome"
	"heathershed/internal/quota"
	"heathershed/internal/settings"
	"heathershed/internal/wait"
)

const (
	// quotaTick is how often delegations that are due are sent, and quotaMembersTicks
	// after how many of these the known nodes are confirmed.
	quotaTick         = 100 * time.Millisecond
	quotaMembersTicks = 10
	// maxQuotaWait bounds the wait for tokens of a request whose owner has not answered,
	// and quotaRepeat is how often the decision is repeated meanwhile. A request waits at
	// most its remaining time divided by upstreamWaitDivisor.
	maxQuotaWait = 400 * time.Millisecond
	quotaRepeat  = 50 * time.Millisecond
	// maxQuotaEntries bounds the questions and the answers of one frame.
	maxQuotaEntries = 256
)

// quotaOutcome is how a decision on the limit of a workspace ended.
type quotaOutcome uint8

const (
	quotaAdmitted quotaOutcome = iota
	quotaRejected
	quotaUnanswered // rejected because the owner has not answered

	numQuotaOutcomes
)

var quotaOutcomeNames = [numQuotaOutcomes]string{"admitted", "rejected", "unanswered"}

// quotas connects the decisions of the package quota with the links.
type quotas struct {
	n     *Node
	state *quota.Node
	// on is set while the settings and the active configuration name a limit.
	on atomic.Bool
	// restarted says that an earlier process of this VM has left a record. The records
	// name the other nodes then; at the first start of a fleet they don't yet.
	restarted atomic.Bool
	// read is when the records of the nodes were read last, nil for never.
	read atomic.Pointer[time.Time]

	// updateMu serializes changes of the settings and the configuration.
	updateMu sync.Mutex
	config   quota.Config

	mu       sync.Mutex
	sessions map[string]*link.Session
	// answered holds a channel for each workspace of which requests wait, which is
	// closed when an answer comes.
	answered map[string]chan struct{}
}

func newQuotas(n *Node, cfg *settings.Sidecar) *quotas {
	config := quotaConfig(cfg)
	return &quotas{
		n: n, config: config, state: quota.NewNode(cfg.VM, config, bootclock.Now()),
		answered: make(map[string]chan struct{}),
	}
}

func quotaConfig(cfg *settings.Sidecar) quota.Config {
	return quota.Config{Window: cfg.QuotaWindow, Overage: cfg.QuotaOverage, Slack: cfg.QuotaSlack}
}

// setConfig applies settings.
func (q *quotas) setConfig(cfg *settings.Sidecar) {
	q.updateMu.Lock()
	q.config = quotaConfig(cfg)
	q.updateMu.Unlock()
	q.update()
}

// update applies the limits of the active configuration. The configuration is read under
// the lock, so that an older one never replaces a newer one.
func (q *quotas) update() {
	q.updateMu.Lock()
	defer q.updateMu.Unlock()
	var limited []quota.Workspace
	if t := q.n.table.Load(); t != nil && t.Workspaces != nil && q.config.Enabled() {
		for _, w := range t.Workspaces.All() {
			if w.Limited() {
				limited = append(limited, quota.Workspace{Name: w.Name, Limit: quota.Limit{Rate: w.Rate, Burst: w.Burst}})
			}
		}
	}
	now := bootclock.Now()
	q.state.SetConfig(now, q.config)
	q.state.SetWorkspaces(now, limited)
	if q.on.Swap(len(limited) > 0) != (len(limited) > 0) {
		q.n.peers.relink()
	}
	q.linksChanged()
}

// recordsRead notes that the records of the nodes were read, beginning at a time.
func (q *quotas) recordsRead(began time.Time) { q.read.Store(&began) }

// settled reports whether requests of workspaces with a limit can be admitted.
func (q *quotas) settled() bool { return !q.on.Load() || q.state.Settled(bootclock.Now()) }

// wanted returns the nodes to which quotas need links.
func (q *quotas) wanted(known []string, down func(vm string) bool) []string {
	if !q.on.Load() {
		return nil
	}
	q.setMembers(known)
	return q.state.Wanted(down)
}

func (q *quotas) setMembers(known []string) {
	var read time.Time
	if at := q.read.Load(); at != nil {
		read = *at
	}
	q.state.SetMembers(bootclock.Now(), known, read)
}

// linksChanged applies the present sessions.
func (q *quotas) linksChanged() {
	if !q.on.Load() {
		return
	}
	sessions := make(map[string]*link.Session)
	for _, s := range q.n.peers.openSessions() {
		sessions[s.Peer().VM] = s
	}
	q.mu.Lock()
	q.sessions = sessions
	q.mu.Unlock()
	q.state.SetLinked(bootclock.Now(), func(vm string) bool { return sessions[vm] != nil })
}

// run is the task that sends the delegations and logs which workspaces reach their limit.
func (q *quotas) run(ctx context.Context) error {
	for tick := 0; wait.For(ctx, quotaTick) == nil; tick++ {
		if !q.on.Load() {
			continue
		}
		if tick%quotaMembersTicks == 0 {
			q.setMembers(q.n.peers.names())
		}
		q.linksChanged()
		if q.restarted.Load() && q.state.SetStartedTogether(bootclock.Now(), q.startedTogether) {
			q.n.log.Info("restarted with the coordinators of quotas", "after_ms", time.Since(q.n.started).Milliseconds())
		}
		for _, d := range q.state.Delegate(bootclock.Now()) {
			f := q.frame()
			f.QuotaDelegation = delegationMessage(d.Delegation)
			q.send(d.To, f)
		}
		for _, c := range q.state.Changes(bootclock.Now()) {
			q.logChange(c)
		}
	}
	return nil
}

// togetherWithin is the difference of their starts up to which two processes count as
// started together. It is shorter than the time in which a process can end, start again
// and open its links.
const togetherWithin = 300 * time.Millisecond

// startedTogether reports whether a node can be reached and has started together with
// this one or later. Incarnations are the times of starts.
func (q *quotas) startedTogether(vm string) bool {
	q.mu.Lock()
	s := q.sessions[vm]
	q.mu.Unlock()
	return s != nil && s.Peer().Incarnation+uint64(togetherWithin.Microseconds()) >= q.n.incarnation.Load()
}

func (q *quotas) logChange(c quota.Change) {
	if c.Limited {
		q.n.log.Info("workspace at its limit", "workspace", c.Workspace, "rejected", c.Rejected)
		return
	}
	q.n.log.Info("workspace below its limit", "workspace", c.Workspace, "rejected", c.Rejected)
}

// frame returns a frame without the state of this node, which the heartbeats carry.
func (q *quotas) frame() *linkpb.ControlFrame {
	return &linkpb.ControlFrame{Vm: q.n.cfg.VM, Incarnation: q.n.incarnation.Load(), SentUnixUs: time.Now().UnixMicro()}
}

func (q *quotas) send(vm string, f *linkpb.ControlFrame) {
	q.mu.Lock()
	s := q.sessions[vm]
	q.mu.Unlock()
	if s != nil {
		s.Send(f)
	}
}

// check spends a token for a request that is about to be sent, or sent again. It returns
// the reply to one that is over the limit of its workspace, and nil for any other.
func (q *quotas) check(ctx context.Context, c *call) *linkpb.CallReply {
	if c.inner || c.workspace == nil || !c.workspace.Limited() || !q.on.Load() {
		return nil
	}
	d, ended := q.decide(ctx, c)
	q.n.metrics.quota[ended].Inc(1)
	if d.Verdict == quota.Admitted {
		return nil
	}
	reply := outcome.NotRunReply(contract.ReasonQuota, fmt.Sprintf("workspace over its limit of %g a second with a burst of %g, over all nodes", c.workspace.Rate, c.workspace.Burst))
	if ended == quotaUnanswered {
		reply.Detail = "no tokens of the workspace can be had now: its owner has not answered"
	}
	reply.RetryAfterMs = uint32(max(d.RetryAfter.Milliseconds(), 1))
	return reply
}

// decide returns the decision, after an answer of the owner of the workspace if this
// node holds no tokens.
func (q *quotas) decide(ctx context.Context, c *call) (quota.Decision, quotaOutcome) {
	name := c.workspace.Name
	until := time.Now().Add(min(maxQuotaWait, time.Until(c.deadline)/upstreamWaitDivisor))
	d := q.state.Admit(bootclock.Now(), name, false)
	for d.Verdict == quota.Unknown {
		answer := q.awaited(name)
		if d.To != "" {
			q.ask(d)
		}
		if !awaitAnswer(ctx, answer, min(quotaRepeat, time.Until(until))) {
			return q.state.Expired(bootclock.Now(), name), quotaUnanswered
		}
		d = q.state.Admit(bootclock.Now(), name, true)
	}
	if d.To != "" {
		q.ask(d)
	}
	if d.Verdict == quota.Admitted {
		return d, quotaAdmitted
	}
	return d, quotaRejected
}

// awaitAnswer waits for an answer, but not longer than a time, and returns false if there
// is no time left.
func awaitAnswer(ctx context.Context, answer <-chan struct{}, left time.Duration) bool {
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-answer:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// awaited returns a channel that is closed when an answer for the workspace comes.
func (q *quotas) awaited(name string) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	answer := q.answered[name]
	if answer == nil {
		answer = make(chan struct{})
		q.answered[name] = answer
	}
	return answer
}

func (q *quotas) ask(d quota.Decision) {
	q.n.metrics.quotaAsks.Inc(1)
	f := q.frame()
	f.QuotaAsks = []*linkpb.QuotaAsk{{
		Workspace: d.Ask.Workspace, Needed: uint32(d.Ask.Needed), Extra: uint32(d.Ask.Extra), SentNs: int64(d.Ask.Sent),
	}}
	q.send(d.To, f)
}

// handle processes what a frame says of quotas.
func (q *quotas) handle(s *link.Session, f *linkpb.ControlFrame) {
	if !q.on.Load() {
		return
	}
	now, vm := bootclock.Now(), s.Peer().VM
	if f.QuotaDelegation != nil {
		q.state.HandleDelegation(now, vm, delegationOf(f.QuotaDelegation), s.Delay())
	}
	for _, g := range f.QuotaGrants {
		q.handleGrant(now, g)
	}
	if len(f.QuotaAsks) == 0 || len(f.QuotaAsks) > maxQuotaEntries {
		return
	}
	answer := q.frame()
	for _, a := range f.QuotaAsks {
		ask := quota.Ask{Workspace: a.Workspace, Needed: int(a.Needed), Extra: int(a.Extra), Sent: time.Duration(a.SentNs)}
		if g, known := q.state.HandleAsk(now, vm, ask); known {
			answer.QuotaGrants = append(answer.QuotaGrants, grantMessage(g))
		}
	}
	if len(answer.QuotaGrants) > 0 {
		s.Send(answer)
	}
}

func (q *quotas) handleGrant(now time.Time, g *linkpb.QuotaGrant) {
	q.state.HandleGrant(now, quota.Grant{
		Workspace: g.Workspace, Granted: int(g.Granted), Sent: time.Duration(g.SentNs),
		RetryAfter: time.Duration(g.RetryAfterMs) * time.Millisecond,
		Limit:      quota.Limit{Rate: g.Rate, Burst: g.Burst},
	})
	q.mu.Lock()
	defer q.mu.Unlock()
	if answer := q.answered[g.Workspace]; answer != nil {
		delete(q.answered, g.Workspace)
		close(answer)
	}
}

func grantMessage(g quota.Grant) *linkpb.QuotaGrant {
	m := &linkpb.QuotaGrant{
		Workspace: g.Workspace, Granted: uint32(g.Granted), SentNs: int64(g.Sent),
		Rate: g.Limit.Rate, Burst: g.Limit.Burst,
	}
	if g.RetryAfter > 0 {
		m.RetryAfterMs = uint32(max(g.RetryAfter.Milliseconds(), 1))
	}
	return m
}

func delegationMessage(d quota.Delegation) *linkpb.QuotaDelegation {
	m := &linkpb.QuotaDelegation{ValidUs: d.Valid.Microseconds(), Nodes: uint32(d.Nodes), Stale: d.Stale}
	for _, id := range d.Lists {
		m.Lists = append(m.Lists, uint64(id))
	}
	for _, list := range d.Content {
		ids := make([]uint64, len(list))
		for i, id := range list {
			ids[i] = uint64(id)
		}
		m.Content = append(m.Content, &linkpb.QuotaCoordinators{Ids: ids})
	}
	return m
}

func delegationOf(m *linkpb.QuotaDelegation) quota.Delegation {
	d := quota.Delegation{Valid: time.Duration(m.ValidUs) * time.Microsecond, Nodes: int(m.Nodes), Stale: m.Stale}
	for _, id := range m.Lists {
		d.Lists = append(d.Lists, quota.ListID(id))
	}
	for _, list := range m.Content {
		ids := make([]quota.ID, len(list.Ids))
		for i, id := range list.Ids {
			ids[i] = quota.ID(id)
		}
		d.Content = append(d.Content, ids)
	}
	return d
}
