package sidecar

import (
	"context"
	"time"

	"heathershed/internal/wait"
)

const (
	// notice is how long clients take to see that the node is not ready.
	notice = 2500 * time.Millisecond
	// quiet is how long nothing may be in flight before the end.
	quiet = 200 * time.Millisecond
	// margin is left of the grace when the node ends.
	margin = 500 * time.Millisecond
	// stopPoll is how often a stop looks whether it is over.
	stopPoll = 50 * time.Millisecond
)

// awaitStop waits for the end and then stops in order: not ready, no new work
// for the own upstream, requests in flight to their end, then the links.
func (n *Node) awaitStop(ctx, running context.Context) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
		n.close()
		return running.Err()
	}
	n.log.Info("stop", "grace_ms", time.Duration(n.grace.Load()).Milliseconds(), "in_flight", n.inFlight.Load())
	n.target.stop()
	n.front.Leave()
	n.awaitQuiet(running)
	n.close()
	return nil
}

// awaitQuiet waits until clients have had notice and nothing is in flight.
func (n *Node) awaitQuiet(ctx context.Context) {
	began := time.Now()
	idleSince := began
	for time.Since(began) < time.Duration(n.grace.Load())-margin && ctx.Err() == nil {
		if n.inFlight.Load() > 0 {
			idleSince = time.Now()
		}
		if time.Since(began) > notice && time.Since(idleSince) > quiet {
			return
		}
		_ = wait.For(ctx, stopPoll)
	}
}

// close ends the servers at once.
func (n *Node) close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for name, err := range map[string]error{
		"clients":    n.front.Shutdown(ended),
		"ready":      n.ready.ShutdownWithContext(ended),
		"heartbeats": n.heartbeats.ShutdownWithContext(ended),
		"metrics":    n.scrapes.Close(),
	} {
		if err != nil {
			n.log.Info("closed with connections open", "server", name, "err", err)
		}
	}
	n.server.Shutdown(ended)
}
