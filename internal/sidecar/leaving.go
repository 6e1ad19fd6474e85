package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
	"heathershed/internal/upstream"
	"heathershed/internal/vm/instance"
	"heathershed/internal/wait"
	"heathershed/platform"
)

// An upstream that leaves may say so only once, and its node may be restarted while
// it serves on. So the node stores that it leaves before it acknowledges that, and
// after a restart sends it nothing until the upstream has said something itself. See
// docs/design/notices.md.

const (
	// leavingStoreWait bounds how long the acknowledgement of a leaving waits for
	// the object API. Upstreams wait a second.
	leavingStoreWait = 500 * time.Millisecond
	// healthTimeout bounds a health check, maxHealthBody its answer in bytes.
	healthTimeout = time.Second
	maxHealthBody = 4 << 10
	// maxHealthChecks bounds the health checks after one reading of the local record, or
	// after claims of another instance; healthPause is the pause between two such series.
	maxHealthChecks = 3
	healthPause     = 500 * time.Millisecond
)

// storedInstance is what the object API holds of the local upstream.
type storedInstance struct {
	mu      sync.Mutex
	value   instance.Stored
	changed chan struct{} // closed and replaced with each change
}

func newStoredInstance() *storedInstance {
	return &storedInstance{changed: make(chan struct{})}
}

func (s *storedInstance) set(value instance.Stored) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storedInstance) get() (value instance.Stored, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.changed
}

// awaitLeavingStored waits until the object API holds that the instance leaves, if it
// does, and at most leavingStoreWait.
func (n *Node) awaitLeavingStored(id string) {
	timer := time.NewTimer(leavingStoreWait)
	defer timer.Stop()
	for {
		value, changed := n.stored.get()
		want := n.target.state().Stored()
		if instance.IDOf(want.ID) != id || !want.Leaving || value == want {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			n.log.Warn("leaving not stored yet", "instance", id, "waited_ms", leavingStoreWait.Milliseconds())
			return
		}
	}
}

// runHealthChecks is the task that asks an expected instance whether it takes
// requests, so that its next heartbeat need not be awaited, and the upstream which of
// two instances it is.
func (n *Node) runHealthChecks(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.checkDue.Wait(ctx, listInterval) {
			n.confirmInstance(ctx)
			_ = wait.For(ctx, healthPause)
		}
	}
	return nil
}

// confirmInstance sends health checks until the expected or disputed instance is
// confirmed or replaced, at most maxHealthChecks. Later only a heartbeat confirms it.
func (n *Node) confirmInstance(ctx context.Context) {
	checks := 0
	newBackoff().Retry(ctx, func() bool {
		state, table := n.target.state(), n.table.Load()
		if !state.Unconfirmed() && !state.Disputed() || checks == maxHealthChecks {
			return true
		}
		if table == nil {
			return false
		}
		checks++
		path := table.Service(n.cfg.Service).HealthPath
		return path == "" || n.checkHealth(ctx, path)
	})
}

// checkHealth sends one health check and reports whether an instance has passed it.
func (n *Node) checkHealth(ctx context.Context, path string) (passed bool) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	sent := time.Now()
	req, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(answer)
	req.Header.SetMethod(http.MethodGet)
	req.SetRequestURI(path)
	req.Header.SetHost(n.cfg.Upstream)
	expected := n.target.state().ID
	out := n.upstream.Do(ctx, upstream.Request{
		HTTP: req, MaxAnswer: maxHealthBody,
		// Orders get no connection whose last answer named no request; the answer of
		// an earlier check could be taken for that of this one there.
		Order:   true,
		Matches: func(*fasthttp.Response) upstream.Match { return upstream.MatchUnnamed },
	}, answer)
	id, status := "", 0
	if out.Verdict == contract.Ran { // else the answer is none, and has the status 200 of an empty one
		id, status = platform.HealthyInstance(answer), answer.StatusCode()
	}
	n.log.Info("health check", "expected", expected, "instance", id, "status", status, "outcome", out.Verdict.String(), "detail", out.Detail)
	if id == "" {
		return false
	}
	n.target.update("health", func(tr *instance.Tracker) instance.Change {
		if id != instance.IDOf(expected) {
			return tr.Misdirected(expected, id)
		}
		return tr.Healthy(id)
	})
	n.observeServerLoad(n.target.state().ID, sent, out, answer)
	return true
}
