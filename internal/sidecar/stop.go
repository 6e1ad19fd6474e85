package sidecar

import (
	"context"
	"time"

	"heathershed/internal/wait"
)

const (
	// readinessDelay is how long clients take to see that the node is not ready.
	readinessDelay = 2500 * time.Millisecond
	// minIdle is how long nothing may be in flight before the end.
	minIdle = 200 * time.Millisecond
	// cancelMargin is left of the grace when what is still in flight is ended.
	cancelMargin = 500 * time.Millisecond
	// answerTimeout is how long the answers to what was ended take to be written,
	// and dutyTime how long the duties take to end then. Both fit in the margin.
	answerTimeout = 150 * time.Millisecond
	taskTimeout   = 100 * time.Millisecond
	// linkTimeout is how long other nodes take to leave the links.
	linkTimeout = 200 * time.Millisecond
	// stopPoll is how often a stop looks whether it is over.
	stopPoll = 50 * time.Millisecond
)

// stopPlan is the times of a planned stop.
type stopPlan struct {
	// noticed is when clients know that the node is not ready.
	noticed time.Time
	// end is when what is still in flight is ended.
	end time.Time
}

// newStopPlan returns the times of a stop that begins now.
func newStopPlan(now time.Time, grace time.Duration) stopPlan {
	work := max(grace-cancelMargin, 0)
	return stopPlan{noticed: now.Add(min(readinessDelay, work/2)), end: now.Add(work)}
}

// admits reports whether a request of a client may begin: once clients have had
// readinessDelay only one that is over before the end.
func (p stopPlan) admits(now, deadline time.Time) bool {
	return now.Before(p.noticed) || !deadline.After(p.end)
}

// admits reports whether a request of a client may begin.
func (n *Node) admits(now, deadline time.Time) bool {
	p := n.plan.Load()
	return p == nil || p.admits(now, deadline)
}

// awaitStop waits for the end and then stops in order: not ready, no new work
// for the own upstream, requests in flight to their end, then the links. It
// returns the failure of a duty, if that is the end.
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

// awaitIdle waits until clients have had notice and nothing is in flight, or
// until the end.
func (n *Node) awaitIdle(ctx context.Context, plan stopPlan) {
	idleSince := time.Now()
	for time.Now().Before(plan.end) && ctx.Err() == nil {
		if n.inFlight.Load() > 0 {
			idleSince = time.Now()
		}
		if time.Now().After(plan.noticed) && time.Since(idleSince) > minIdle {
			return
		}
		_ = wait.For(ctx, stopPoll)
	}
}

// close closes the servers. What is in flight has until the end; then it is
// ended, and its clients are told.
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
	n.logClosed("ready", n.ready.ShutdownWithContext(answered))
	n.logClosed("heartbeats", n.heartbeats.ShutdownWithContext(answered))
	n.logClosed("metrics", n.metricsServer.Close())
}

// bounded is ctx until a deadline, and until no request may go on.
func (n *Node) requestContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(n.requestsCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// closed tells of a server that was closed with connections open.
func (n *Node) logClosed(server string, err error) {
	if err != nil {
		n.log.Info("closed with connections open", "server", server, "err", err)
	}
}

// closeLinks closes the server of the links, which has had no new work since the
// stop began. A connection whose other end is cut off could hold it.
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

// awaitTasks waits a little for the end of all duties: none of them holds the
// process beyond its grace.
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
