package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/pprof"
	"strconv"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"heathershed/internal/report"
	"heathershed/internal/version"
)

// serveOperators is the task that serves the operators' endpoint.
func (n *Node) serveOperators(ctx context.Context, ln net.Listener) error {
	metrics := fasthttpadaptor.NewFastHTTPHandler(n.metrics.handler())
	profile := fasthttpadaptor.NewFastHTTPHandlerFunc(pprof.Profile)
	heap := fasthttpadaptor.NewFastHTTPHandler(pprof.Handler("heap"))
	server := &fasthttp.Server{
		Name: "heathershed",
		Handler: func(rc *fasthttp.RequestCtx) {
			switch string(rc.Path()) {
			case report.PathReport:
				writeJSON(rc, n.report())
			case report.PathMembers:
				writeJSON(rc, n.reportMembers())
			case report.PathTimeline:
				n.serveTimeline(rc)
			case report.PathCatalogue:
				n.serveCatalogue(rc)
			case report.PathVersion:
				writeJSON(rc, report.VersionAnswer{VM: n.cfg.VM, Version: version.Version})
			case report.PathDrain:
				n.serveDrain(rc)
			case report.PathMetrics:
				metrics(rc)
			case "/debug/pprof/profile":
				profile(rc)
			case "/debug/pprof/heap":
				heap(rc)
			default:
				rc.Error("no such page\n", fasthttp.StatusNotFound)
			}
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(ln)
}

func writeJSON(rc *fasthttp.RequestCtx, v any) {
	rc.SetContentType("application/json")
	if err := json.NewEncoder(rc).Encode(v); err != nil {
		rc.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// serveTimeline writes one JSON event per line, oldest first, and a last line
// that lists the gaps.
func (n *Node) serveTimeline(rc *fasthttp.RequestCtx) {
	since, err := strconv.ParseUint(string(rc.QueryArgs().Peek("since")), 10, 64)
	if err != nil && rc.QueryArgs().Has("since") {
		rc.Error("since: want a number, the hlc of an event\n", fasthttp.StatusBadRequest)
		return
	}
	var body bytes.Buffer
	if err := n.events.Trace(since).Encode(&body); err != nil {
		rc.Error(err.Error()+"\n", fasthttp.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/x-ndjson")
	rc.SetBody(body.Bytes())
}

func (n *Node) serveCatalogue(rc *fasthttp.RequestCtx) {
	version, value := n.catalogue.Document()
	if version == 0 {
		rc.Error("no catalogue in force\n", fasthttp.StatusNotFound)
		return
	}
	rc.Response.Header.Set(report.HeaderCatalogueVersion, strconv.FormatUint(version, 10))
	rc.SetContentType("application/octet-stream")
	rc.SetBody(value)
}

func (n *Node) serveDrain(rc *fasthttp.RequestCtx) {
	if !rc.IsPost() {
		rc.Error("drain is a POST\n", fasthttp.StatusMethodNotAllowed)
		return
	}
	n.requestStop()
	writeJSON(rc, report.DrainAnswer{VM: n.cfg.VM, State: report.StateLeaving, InFlight: int(n.inFlight.Load())})
}
