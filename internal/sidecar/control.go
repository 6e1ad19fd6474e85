package sidecar

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/vm/instance"
	"heathershed/platform"
)

// readyAfter is how long a node waits for the records of the other nodes
// before it accepts work without them.
const readyAfter = 3 * time.Second

// serveReady handles the readiness check: 200 if the node accepts work, else
// 503.
func (n *Node) serveReady(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != platform.PathReady {
		rc.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if !n.isReady() {
		rc.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	rc.SetStatusCode(fasthttp.StatusOK)
}

// isReady reports whether the node has a configuration, has read the other nodes'
// records and can admit requests of workspaces with a limit, or waited long enough for
// both, and is not shutting down.
func (n *Node) isReady() bool {
	found := n.listed.Load() || time.Since(n.started) > readyAfter
	settled := n.quotas.settled() || time.Since(n.started) > readyAfter
	return n.table.Load() != nil && found && settled && !n.stopping.Load()
}

// serveHeartbeat handles heartbeats and deregistrations of the upstream beside
// this node. That the upstream leaves is stored before it is acknowledged. A message
// that can't be of this upstream gets 400, one of an instance that nothing confirms yet
// 503.
func (n *Node) serveHeartbeat(rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	if !rc.IsPost() {
		rc.Error("want POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	if id, ok := platform.DeregisterID(path); ok {
		n.serveDeregistration(rc, id)
		return
	}
	id, ok := platform.HeartbeatID(path)
	if !ok {
		rc.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	heartbeat, err := platform.DecodeHeartbeat(id, rc.PostBody())
	if err != nil {
		n.refuseMessage(rc, id, err)
		return
	}
	change := n.target.update("heartbeat", func(tr *instance.Tracker) instance.Change { return tr.HandleHeartbeat(time.Now(), heartbeat) })
	switch change {
	case instance.Refused:
		n.refuseMessage(rc, id, errors.Newf("not of this upstream: service %.40q, address %.40q, seq %d", heartbeat.Service, heartbeat.Address, heartbeat.Seq))
	case instance.Disputed:
		n.disputeHeartbeat(rc, heartbeat)
	default:
		n.acknowledge(rc, id)
	}
}

func (n *Node) serveDeregistration(rc *fasthttp.RequestCtx, id string) {
	d, err := platform.DecodeDeregistration(id, rc.PostBody())
	if err != nil {
		n.refuseMessage(rc, id, err)
		return
	}
	n.target.update("deregister", func(tr *instance.Tracker) instance.Change { return tr.Deregister(d) })
	n.acknowledge(rc, id)
}

// acknowledge answers a message of the upstream once the object API holds that the
// instance leaves, if it does.
func (n *Node) acknowledge(rc *fasthttp.RequestCtx, id string) {
	n.awaitLeavingStored(id)
	rc.SetContentType("application/json")
	rc.SetBodyString("{}")
}

// disputeHeartbeat answers a heartbeat of an instance that is not known to be the current
// one.
func (n *Node) disputeHeartbeat(rc *fasthttp.RequestCtx, h instance.Heartbeat) {
	n.metrics.beatsDisputed.Inc(1)
	state := n.target.state()
	n.log.Warn("heartbeat disputed", "instance", h.ID, "born", h.Born, "current", state.ID, "disputed_ms", age(state.DisputedSince).Milliseconds())
	rc.Error("another instance is known here", fasthttp.StatusServiceUnavailable)
}

// refuseMessage answers a message that can't be of the upstream.
func (n *Node) refuseMessage(rc *fasthttp.RequestCtx, id string, err error) {
	n.metrics.beatsRefused.Inc(1)
	n.log.Warn("heartbeat refused", "instance", id, "err", err)
	rc.Error(err.Error(), fasthttp.StatusBadRequest)
}
