package node

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// BenchmarkAddedTime makes the same call alternately to an upstream directly
// and through two nodes. It reports medians and 99th percentiles in
// microseconds and the difference of the 99th percentiles.
func BenchmarkAddedTime(b *testing.B) {
	f := startFleet(b, 1, 1)
	front, deep := f.nodes[0], f.nodes[1]
	direct := &fasthttp.HostClient{Addr: deep.upstream.ln.Addr().String()}
	through := &fasthttp.HostClient{Addr: front.cfg.Front}
	histograms := [2]*hdrhistogram.Histogram{}
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	b.ReportAllocs()
	for b.Loop() {
		for i, client := range []*fasthttp.HostClient{direct, through} {
			began := time.Now()
			get(b, client, "/check/x")
			_ = histograms[i].RecordValue(time.Since(began).Microseconds())
		}
	}
	for i, name := range []string{"direct", "through"} {
		b.ReportMetric(float64(histograms[i].ValueAtQuantile(50)), name+"-p50-us")
		b.ReportMetric(float64(histograms[i].ValueAtQuantile(99)), name+"-p99-us")
	}
	added := histograms[1].ValueAtQuantile(99) - histograms[0].ValueAtQuantile(99)
	b.ReportMetric(float64(added), "added-p99-us")
}

func get(b *testing.B, client *fasthttp.HostClient, path string) {
	req, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(answer)
	req.SetRequestURI("http://x" + path)
	if err := client.Do(req, answer); err != nil || answer.StatusCode() != fasthttp.StatusOK {
		b.Fatalf("%v %d %s", err, answer.StatusCode(), answer.Body())
	}
}
