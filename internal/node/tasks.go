package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/timeline"
	"heathershed/internal/upstream"
)

const (
	// admissionTick is the interval at which admission drops stale requests
	// from its queues and adapts its limit and threshold.
	admissionTick = 10 * time.Millisecond
	// healthTimeout bounds one read of the health endpoint.
	healthTimeout = 500 * time.Millisecond
	// maxHealthAnswer bounds its response body, in bytes.
	maxHealthAnswer = 64 << 10
)

// runAdmission calls Gate.Tick periodically and records changes of its limit
// and threshold, at most once a second.
func (n *Node) runAdmission(ctx context.Context) error {
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	last := n.gate.Load()
	recorded := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			n.gate.Tick(now)
			load := n.gate.Load()
			n.metrics.load(load)
			if now.Sub(recorded) < time.Second || (load.Limit == last.Limit && load.Threshold == last.Threshold) {
				continue
			}
			last, recorded = load, now
			n.recordLimit(load.Limit, load.Threshold)
		}
	}
}

func (n *Node) recordLimit(limit int, threshold contract.Level) {
	n.record(timeline.Event{
		Kind:    timeline.KindLimitMoved,
		Service: n.cfg.Service,
		Detail:  limitDetail(limit, threshold),
	})
}

// health is the response of an upstream's health endpoint. It may be outdated
// or wrong. Only draining and the reported slots are used, and slots only as a
// ceiling.
type health struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// runHealth reads the upstream's health endpoint periodically.
func (n *Node) runHealth(ctx context.Context) error {
	if n.cfg.HealthPath == "" {
		return nil
	}
	h := healthChecker{n: n, slots: n.cfg.Slots}
	for sleep(ctx, n.cfg.HealthEvery) {
		h.read(ctx)
	}
	return nil
}

// healthChecker keeps the last state that the endpoint reported.
type healthChecker struct {
	n     *Node
	slots int
	down  bool
}

func (h *healthChecker) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var req fasthttp.Request
	var answer fasthttp.Response
	req.SetRequestURI(h.n.cfg.HealthPath)
	req.Header.SetHost(h.n.cfg.Upstream)
	out := h.n.upstream.Do(ctx, upstream.Request{HTTP: &req, MaxAnswer: maxHealthAnswer}, &answer)
	connected := out.Verdict != contract.NotRun
	if !connected {
		h.setDown()
		return
	}
	if h.down {
		h.restarted()
	}
	var status health
	if out.Verdict != contract.Ran || json.Unmarshal(answer.Body(), &status) != nil {
		return
	}
	h.apply(status)
}

func (h *healthChecker) setDown() {
	if h.down {
		return
	}
	h.down = true
	h.n.record(timeline.Event{Kind: timeline.KindUpstreamOut, Peer: h.n.cfg.VM, Detail: "own upstream does not accept connections"})
}

func (h *healthChecker) restarted() {
	h.down = false
	h.n.gate.Reset(time.Now())
	h.n.upstream.CloseIdle()
	h.n.record(timeline.Event{Kind: timeline.KindUpstreamIn, Peer: h.n.cfg.VM, Detail: "own upstream accepts connections again; cold"})
}

func (h *healthChecker) apply(status health) {
	if status.Slots > 0 && status.Slots != h.slots {
		h.slots = status.Slots
		h.n.gate.SetCeiling(status.Slots)
		h.n.control.offer(localRecordEvent{slots: uint32(status.Slots)})
	}
	if h.n.phase() != phaseServing || !h.n.draining.CompareAndSwap(!status.Draining, status.Draining) {
		return
	}
	state := linkpb.MemberState_MEMBER_STATE_UP
	detail := "own upstream takes work again"
	if status.Draining {
		state = linkpb.MemberState_MEMBER_STATE_LEAVING
		detail = "own upstream drains"
	}
	h.n.record(timeline.Event{Kind: timeline.KindMember, Peer: h.n.cfg.VM, Detail: detail})
	h.n.announceState(state)
}
