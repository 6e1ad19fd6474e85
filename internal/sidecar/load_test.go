package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/cputime"
	"heathershed/platform/platformtest"
)

// benchCallers is the number of concurrent requests in BenchmarkCall.
const benchCallers = 8

// BenchmarkCall measures the processor time of one request through two nodes.
// The figure includes both nodes, the client and the upstream.
func BenchmarkCall(b *testing.B) {
	tc := newTestCluster(b)
	tc.configure(1, "near", "far")
	near, far := tc.start("near"), tc.start("far")
	tc.waitFor("both ready", func() bool { return near.ready() && far.ready() })
	near.heartbeat("near", "ready")
	far.heartbeat("far", "ready")
	near.waitServing("/far/1")
	client := &fasthttp.HostClient{Addr: near.cfg.Clients, MaxConns: benchCallers}
	from := cputime.Process()
	requests := make(chan struct{})
	var group sync.WaitGroup
	for range benchCallers {
		group.Go(func() {
			for range requests {
				doRequest(b, client)
			}
		})
	}
	for b.Loop() {
		requests <- struct{}{}
	}
	close(requests)
	group.Wait()
	b.ReportMetric(float64((cputime.Process()-from).Microseconds())/float64(b.N), "cpu-us/op")
}

func doRequest(b *testing.B, client *fasthttp.HostClient) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://h/far/1")
	req.Header.Set(platformtest.HeaderAttempt, time.Now().String())
	req.Header.Set(platformtest.HeaderRemaining, "2500")
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != http.StatusOK {
		b.Error("got status ", resp.StatusCode(), ", err ", err)
	}
}
