package sidecar

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/bootclock"
	"heathershed/internal/contract"
	"heathershed/internal/fleet"
	"heathershed/internal/outcome"
	"heathershed/internal/report"
	"heathershed/internal/routes"
	"heathershed/platform"
)

// operatorHandler serves the metrics address: metrics, and the routing dry run.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.metrics.handler())
	mux.HandleFunc("GET "+report.PathWhere, n.serveWhere)
	return mux
}

// serveWhere answers how a client's request would be routed now.
func (n *Node) serveWhere(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("host") == "" || !strings.HasPrefix(q.Get("path"), "/") {
		http.Error(rw, "want host and path, such as ?host=h&path=/x", http.StatusBadRequest)
		return
	}
	var h fasthttp.RequestHeader
	for _, value := range r.Header["Authorization"] {
		h.Add("Authorization", value)
	}
	w := n.where(time.Now(), &h, q.Get("host"), q.Get("path"), q.Get("attempt"))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(w)
}

// where evaluates a client's request as serveClient does, and changes nothing. The header
// is only read for the key.
func (n *Node) where(now time.Time, h *fasthttp.RequestHeader, host, uri, attempt string) report.Where {
	w := report.Where{VM: n.cfg.VM, Now: now, Host: host, Path: uri, Confirmed: n.freshnessText(bootclock.Now()), Outcome: "sent"}
	c := &call{attempt: attempt, host: host, uri: uri}
	c.confirmed, _ = n.freshness.Newest() // before the table, as in findRoute
	c.table = n.table.Load()
	if c.table == nil {
		return rejected(w, contract.ReasonNoUpstream, "no configuration is known yet")
	}
	w.Version = int(c.table.Version)
	path, _, _ := strings.Cut(uri, "?")
	route, ok := c.table.Match(host, path)
	if !ok {
		return rejected(w, contract.ReasonUnknownKind, n.noRouteDetail(c.table))
	}
	c.route = route
	w.Route, w.Idempotent = route.Name, route.Idempotent
	if route.Unavailable {
		return rejected(w, contract.ReasonNoUpstream, "the entry of the route can't be read")
	}
	if !n.whereKey(&w, c, h) {
		return w
	}
	n.whereServices(now, &w, c)
	if p := n.plan.Load(); p != nil && !now.Before(p.noticed) {
		return rejected(w, contract.ReasonLeaving, "the node stops; only a request that ends before it may begin")
	}
	return w
}

// rejected adds why a request would be rejected before it is sent.
func rejected(w report.Where, reason contract.Reason, detail string) report.Where {
	w.Outcome = strconv.Itoa(statusOf(contract.NotRun, reason))
	w.Reason = reason.String() + ": " + detail
	return w
}

// whereKey adds the verdict on the key and reports whether the request may go on.
func (n *Node) whereKey(w *report.Where, c *call, h *fasthttp.RequestHeader) bool {
	w.Key, w.Quota = "not needed", "none"
	if c.table.Workspaces == nil {
		return true
	}
	key, credentials := platform.ReadKey(h)
	reply := outcome.NotRunReply(contract.ReasonUnauthenticated, "the route needs a key; a call that an upstream makes needs none")
	switch {
	case credentials != platform.NoKey:
		reply = n.authenticate(c, key, credentials)
	case c.route.Public:
		return true
	}
	if reply != nil {
		w.Key = "rejected"
		*w = rejected(*w, contract.Reason(reply.Reason), reply.Detail)
		return false
	}
	w.Key, w.Workspace = "accepted", c.workspace.Name
	if c.workspace.Rate > 0 {
		w.Quota = "limit of " + strconv.FormatFloat(c.workspace.Rate, 'g', -1, 64) + " requests a second, not evaluated here"
	}
	return true
}

// whereServices adds the priority level, the threshold and the upstreams. A route may
// have several services; their thresholds may differ, and the highest is given.
func (n *Node) whereServices(now time.Time, w *report.Where, c *call) {
	rank := rankOf(c.route, c.workspace)
	class := levelOf(rank, "").Class()
	low, high := contract.LevelOf(class, 0), contract.LevelOf(class, contract.RanksPerClass-1)
	if c.attempt != "" {
		low = levelOf(rank, c.attempt)
		high = low
	}
	threshold, sendable := contract.Level(0), false
	for _, s := range c.route.Services {
		if s.Weight <= 0 {
			continue
		}
		threshold = max(threshold, n.pressure.Threshold(now, s.Service, c.route.Name))
		one := n.whereService(now, s, c.route, class)
		for _, u := range one.Upstreams {
			sendable = sendable || u.Standing == string(fleet.Lowest)
		}
		w.Services = append(w.Services, one)
	}
	w.LowestLevel, w.HighestLevel, w.Threshold = int(low), int(high), int(threshold)
	below := min(max(int(threshold)-int(low), 0), int(high)-int(low)+1)
	w.Rejected = float64(below) / float64(int(high)-int(low)+1)
	switch {
	case w.Rejected == 1:
		*w = rejected(*w, contract.ReasonOverload, "below the threshold of its call tree")
	case !sendable:
		*w = rejected(*w, contract.ReasonNoUpstream, "no upstream of the service can be reached")
	case w.Rejected > 0:
		w.Reason = "sent unless its level is below the threshold"
	}
}

func (n *Node) whereService(now time.Time, s routes.WeightedService, route *routes.Route, class contract.Class) report.WhereService {
	out := report.WhereService{Service: s.Service, Weight: s.Weight}
	for _, e := range n.fleet.Explain(now, fleet.Query{
		Service: s.Service,
		Kind:    route.Name,
		Order:   !route.Idempotent || class == contract.ClassOrder,
	}) {
		out.Upstreams = append(out.Upstreams, report.WhereUpstream{
			VM: e.VM, Datacentre: e.Datacentre, Instance: e.Instance, Slots: e.Slots, Outstanding: e.Outstanding,
			Cost: e.Cost, Full: e.Full, ExpectedMs: float64(e.Expected) / float64(time.Millisecond), Standing: string(e.Standing),
		})
	}
	return out
}
