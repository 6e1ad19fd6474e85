package sidecar

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/bootclock"
	"heathershed/internal/contract"
	"heathershed/internal/outcome"
	"heathershed/internal/routes"
	"heathershed/internal/vm/correlation"
	"heathershed/internal/workspace"
	"heathershed/platform"
)

// identify returns the origin of a request and sets its workspace: that of the key which
// the client presents, or that of the request for which the local upstream makes the
// call. If the client may not make the request, the returned reply answers it.
//
// A key is checked on public routes too. Where the configuration has no workspaces, no
// key is looked at.
func (n *Node) identify(h *fasthttp.RequestHeader, now time.Time, c *call, left time.Duration) (correlation.Origin, *linkpb.CallReply) {
	workspaces := c.table.Workspaces
	if workspaces == nil {
		return n.correlation.Find(now, c.route.Name, left), nil
	}
	key, credentials := platform.ReadKey(h)
	switch {
	case credentials != platform.NoKey:
		n.correlation.Authenticated(now, c.route.Name)
		return correlation.Origin{}, n.authenticate(c, key, credentials)
	case c.route.Public:
		return n.inherit(c, n.correlation.Find(now, c.route.Name, left)), nil
	}
	origin, known := n.correlation.FindUnauthenticated(now, c.route.Name, left)
	switch {
	case origin.Nested:
		return n.inherit(c, origin), nil
	case known:
		return origin, outcome.NotRunReply(contract.ReasonParentEnded, "no running request can have made the call")
	}
	return origin, outcome.NotRunReply(contract.ReasonUnauthenticated, "the route needs a key")
}

// inherit sets the workspace of a nested call to that of its root request.
func (n *Node) inherit(c *call, origin correlation.Origin) correlation.Origin {
	if origin.Nested {
		c.workspace = c.table.Workspaces.Find(origin.Parent.Workspace)
	}
	return origin
}

// authenticate sets the workspace that holds the key of a request, or returns the reply
// that rejects it. An unknown key is rejected for good only if the table is known to be
// the newest one: the key may have been added since.
func (n *Node) authenticate(c *call, key []byte, credentials platform.Credentials) *linkpb.CallReply {
	if credentials == platform.InvalidKey {
		return outcome.NotRunReply(contract.ReasonUnauthenticated, "several keys, or none that can be read")
	}
	age := c.confirmed.Age(bootclock.Now())
	if !n.keyLease().Holds(age) {
		return outcome.NotRunReply(contract.ReasonKeysUnconfirmed, n.keysDetail(c))
	}
	c.workspace = c.table.Workspaces.Lookup(key)
	if c.workspace != nil {
		return nil
	}
	if age > time.Duration(n.applyWithin.Load()) || n.announced.Load() > c.table.Version {
		return outcome.NotRunReply(contract.ReasonKeysUnconfirmed, "unknown key, "+n.keysDetail(c))
	}
	return outcome.NotRunReply(contract.ReasonUnauthenticated, fmt.Sprintf("unknown key in version %d", c.table.Version))
}

// keyLease returns the lease under which the table of keys may be used.
func (n *Node) keyLease() workspace.Lease {
	return workspace.Lease{Bound: time.Duration(n.revokeWithin.Load())}
}

// keysDetail says how old the knowledge is that the table of keys is the newest.
func (n *Node) keysDetail(c *call) string {
	return fmt.Sprintf("version %d, %s", c.table.Version, n.freshnessText(bootclock.Now()))
}

// forwardsHeader reports whether a header of the request is sent to the upstream.
func (c *call) forwardsHeader(name []byte) bool {
	return platform.ForwardsRequestHeader(name) && !(c.table.Workspaces != nil && platform.IsCredential(name))
}

// workspaceName returns the name of the call's workspace, or the empty string.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// rankOf returns the priority of a client's request: that of its workspace, or else that
// of its route.
func rankOf(route *routes.Route, w *workspace.Workspace) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return route.Rank
}

// revocationBound returns the bound of the lease on the table of keys, in nanoseconds; 0
// if the deployment has none.
func revocationBound(strict bool, within time.Duration) int64 {
	if !strict {
		return 0
	}
	return int64(within)
}
