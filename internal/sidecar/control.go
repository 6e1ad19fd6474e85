package sidecar

import (
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/vm/instance"
	"heathershed/platform"
)

// readyAfter is how long a node waits for the records of the others before it
// takes work without them.
const readyAfter = 3 * time.Second

// serveReady answers whether the node takes work.
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

func (n *Node) isReady() bool {
	found := n.listed.Load() || time.Since(n.started) > readyAfter
	return n.table.Load() != nil && found && !n.stopping.Load()
}

// serveHeartbeat takes in the heartbeats of the upstream beside this node.
func (n *Node) serveHeartbeat(rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	if !rc.IsPost() {
		rc.Error("want POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	rc.SetContentType("application/json")
	if id, ok := platform.DeregisterID(path); ok {
		n.target.update("deregister", func(b *instance.Tracker) instance.Change { return b.Deregister(id) })
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
	n.target.update("heartbeat", func(b *instance.Tracker) instance.Change { return b.HandleHeartbeat(time.Now(), heartbeat) })
	rc.SetBodyString("{}")
}
