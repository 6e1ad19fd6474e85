package sidecar

import (
	"context"
	"sync"
	"time"

	"heathershed/internal/wait"
)

const (
	// noticeDelay is how long clients take to notice that the node is not
	// ready.
	noticeDelay = 2500 * time.Millisecond
	// minIdle is how long the node must have had no request in flight before
	// the servers are closed.
	minIdle = 200 * time.Millisecond
	// cancelMargin is the part of the grace period that is left when the
	// requests still in flight are cancelled.
	cancelMargin = 500 * time.Millisecond
	// answerTimeout bounds writing the answers of cancelled requests, and
	// taskTimeout the end of the tasks after that. Both fit in cancelMargin.
	answerTimeout = 150 * time.Millisecond
	taskTimeout   = 100 * time.Millisecond
	// linkTimeout bounds how long other nodes take to close their links.
	linkTimeout = 200 * time.Millisecond
	// stopPoll is how often a shutdown checks whether requests are in flight.
	stopPoll = 50 * time.Millisecond
)

// stopPlan is the schedule of a graceful shutdown.
type stopPlan struct {
	// noticed is when clients know that the node is not ready.
	noticed time.Time
	// end is when the requests still in flight are cancelled.
	end time.Time
}

// newStopPlan returns the schedule of a shutdown that begins now.
func newStopPlan(now time.Time, grace time.Duration) stopPlan {
	work := max(grace-cancelMargin, 0)
	return stopPlan{noticed: now.Add(min(noticeDelay, work/2)), end: now.Add(work)}
}

// admits reports whether a client's request may begin. From noticed on, only a
// request whose deadline is not after end may, so that it is over before
// requests are cancelled.
func (p stopPlan) admits(now, deadline time.Time) bool {
	return now.Before(p.noticed) || !deadline.After(p.end)
}

// admitsNested reports whether a call of the local upstream that is expected to take some
// time may begin. Its request was admitted before and needs it; but nobody may repeat an
// order that is cancelled.
func (p stopPlan) admitsNested(now time.Time, idempotent bool, takes time.Duration) bool {
	return idempotent || !now.Add(takes).After(p.end)
}

// admits reports whether a request on the ingress may begin.
func (n *Node) admits(now time.Time, c *call) bool {
	p := n.plan.Load()
	if p == nil || p.admits(now, c.deadline) {
		return true
	}
	takes := latencyMargin * n.fleet.Latency(now, c.service, c.route.Name)
	return c.inner && p.admitsNested(now, c.route.Idempotent, takes)
}

// awaitStop waits until ctx ends and then shuts down gracefully: it reports
// not ready, admits no more work for the local upstream, waits for the
// requests in flight, and closes the links. If a task fails first, it closes
// the servers immediately and returns the failure.
func (n *Node) awaitStop(ctx, running context.Context) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
		n.close(time.Now())
		return context.Cause(running)
	}
	grace := time.Duration(n.grace.Load())
	plan := newStopPlan(time.Now(), grace)
	n.log.Info("stop", "grace_ms", grace.Milliseconds(), "in_flight", n.inFlight.Load())
	n.plan.Store(&plan)
	n.target.stop()
	n.ingress.Drain()
	n.awaitIdle(running, plan)
	n.close(plan.end)
	return nil
}

// awaitIdle waits until clients have noticed the shutdown and nothing is in
// flight, or until the end of the plan.
func (n *Node) awaitIdle(ctx context.Context, plan stopPlan) {
	idleSince := time.Now()
	for time.Now().Before(plan.end) && ctx.Err() == nil {
		if held, _ := n.linkServer.HeldBodies(); n.inFlight.Load() > 0 || held > 0 {
			idleSince = time.Now()
		}
		if time.Now().After(plan.noticed) && time.Since(idleSince) > minIdle {
			return
		}
		_ = wait.For(ctx, stopPoll)
	}
}

// close closes the servers. Requests in flight have until end; then they are
// cancelled and their clients are answered.
func (n *Node) close(end time.Time) {
	timer := time.AfterFunc(time.Until(end), n.cancelRequests)
	defer timer.Stop()
	answered, cancel := context.WithDeadline(context.Background(), end.Add(answerTimeout))
	defer cancel()
	links := make(chan error, 1)
	go func() { links <- n.closeLinks(answered) }()
	n.logClosed("clients", n.ingress.Shutdown(answered))
	n.logClosed("links", <-links)
	n.cancelRequests()
	cancel()
	var others sync.WaitGroup
	others.Go(func() { n.logClosed("ready", n.ready.ShutdownWithContext(answered)) })
	others.Go(func() { n.logClosed("heartbeats", n.heartbeats.ShutdownWithContext(answered)) })
	others.Go(func() { n.logClosed("metrics", n.metricsServer.Close()) })
	others.Wait()
}

// requestContext returns ctx with a deadline, cancelled also when a shutdown
// cancels all requests.
func (n *Node) requestContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(n.requestsCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// logClosed logs a server that was closed with connections open.
func (n *Node) logClosed(server string, err error) {
	if err != nil {
		n.log.Info("closed with connections open", "server", server, "err", err)
	}
}

// closeLinks shuts down the link server. In a graceful shutdown, no new work
// from other nodes has been admitted since it began. The wait is bounded
// because a connection whose peer is cut off could block it.
func (n *Node) closeLinks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		n.linkServer.Shutdown(ctx)
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitTasks waits up to taskTimeout for all tasks to end, so that none of
// them keeps the process beyond its grace period.
func (n *Node) awaitTasks(done <-chan error) error {
	timer := time.NewTimer(taskTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		n.log.Warn("duties left at work", "waited_ms", taskTimeout.Milliseconds())
		return nil
	}
}
