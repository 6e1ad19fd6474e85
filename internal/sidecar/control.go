package sidecar

import (
	"time"

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
// this node. That the upstream leaves is stored before it is acknowledged.
func (n *Node) serveHeartbeat(rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	if !rc.IsPost() {
		rc.Error("want POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	rc.SetContentType("application/json")
	if id, ok := platform.DeregisterID(path); ok {
		n.target.update("deregister", func(tr *instance.Tracker) instance.Change { return tr.Deregister(id) })
		n.awaitLeavingStored(id)
		rc.SetBodyString("{}")
		return
	}
	id, ok := platform.HeartbeatID(path)
	if !ok {
		rc.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	heartbeat, err := platform.DecodeHeartbeat(id, rc.PostBody())
	if err != nil {
		n.log.Warn("heartbeat refused", "instance", id, "err", err)
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	n.target.update("heartbeat", func(tr *instance.Tracker) instance.Change { return tr.HandleHeartbeat(time.Now(), heartbeat) })
	n.awaitLeavingStored(id)
	rc.SetBodyString("{}")
}
