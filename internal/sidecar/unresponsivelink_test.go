package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heathershed/internal/soak"
	"heathershed/platform/platformtest"
)

// startProxied starts a node with clients, and two nodes of another service
// whose links go through proxies.
func startProxied(t *testing.T) (near *vm, far [2]*vm, proxies [2]*soak.Proxy) {
	t.Helper()
	tc := newTestCluster(t)
	tc.writeConfig(strings.ReplaceAll(platformtest.Config(1, "near", "far"), `"timeout":"3s"`, `"timeout":"8s"`))
	near = tc.start("near")
	for i := range far {
		far[i], proxies[i] = tc.startWithProxy("far")
		tc.waitFor("ready", far[i].ready)
		far[i].heartbeat("far", "ready")
	}
	tc.waitFor("both upstreams of far have served", func() bool {
		near.request("GET", "/far/x", nil)
		return far[0].up.ran.Load() > 0 && far[1].up.ran.Load() > 0
	})
	return near, far, proxies
}

// holdRequest sends requests through near until one runs at far's upstream,
// which answers it after delay. The channel gets the answer of that request.
// Until then the upstream other answers nothing, so that its slots fill up.
func holdRequest(near, far, other *vm, method, path string, delay time.Duration) <-chan answer {
	const left = 6 * time.Second
	held, release := make(chan string, 1), make(chan struct{})
	complete := func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "complete answer") }
	var reached atomic.Bool
	far.up.set(func(rw http.ResponseWriter, r *http.Request) {
		if !reached.CompareAndSwap(false, true) {
			complete(rw, r)
			return
		}
		held <- r.RequestURI
		select {
		case <-time.After(delay):
			complete(rw, r)
		case <-r.Context().Done():
		}
	})
	other.up.set(func(rw http.ResponseWriter, r *http.Request) {
		<-release
		complete(rw, r)
	})
	sent := make(map[string]chan answer)
	for {
		uri, got := fmt.Sprint(path, "?", len(sent)), make(chan answer, 1)
		sent[uri] = got
		go func() { got <- near.requestWithin(left, method, uri, nil) }()
		select {
		case uri := <-held:
			close(release)
			return awaitOthers(sent, uri)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// awaitOthers waits for all answers but one and returns the channel of that one.
func awaitOthers(sent map[string]chan answer, uri string) <-chan answer {
	for other, got := range sent {
		if other != uri {
			<-got
		}
	}
	return sent[uri]
}

func TestLookupOnUnresponsiveLinkIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	near, far, proxies := startProxied(t)
	end := holdRequest(near, far[0], far[1], "GET", "/far/x", time.Minute)
	const found = 3 * time.Second
	began := time.Now()
	proxies[0].BlackholeAll()
	got := <-end
	if took := time.Since(began); took > found+time.Second {
		t.Errorf("answered after %v, want the unresponsive link detected within %v", took, found)
	}
	if got.status != http.StatusOK || got.seal != "seal-"+far[1].up.id {
		t.Fatalf("got %+v, want the other upstream's answer", got)
	}
}

func TestOrderOnUnresponsiveLinkIsNotRetried(t *testing.T) {
	t.Parallel()
	near, far, proxies := startProxied(t)
	end := holdRequest(near, far[0], far[1], "POST", "/far-order/x", time.Minute)
	before := far[1].up.ran.Load()
	proxies[0].BlackholeAll()
	if got := <-end; got.status != http.StatusGatewayTimeout {
		t.Fatalf("got %+v, want 504 at the deadline", got)
	}
	if ran := far[1].up.ran.Load(); ran != before {
		t.Errorf("got %d runs at the other upstream, want none", ran-before)
	}
}

func TestLookupOnUnwantedUnresponsiveLinkIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	near, far, proxies := startProxied(t)
	end := holdRequest(near, far[0], far[1], "GET", "/far/x", time.Minute)
	const found = 3 * time.Second
	began := time.Now()
	near.node.links.SetTargets(nil) // wanted again at the next refresh
	proxies[0].BlackholeAll()
	got := <-end
	if took := time.Since(began); took > found+time.Second {
		t.Errorf("answered after %v, want the unresponsive link detected within %v", took, found)
	}
	if got.status != http.StatusOK || got.seal != "seal-"+far[1].up.id {
		t.Fatalf("got %+v, want the other upstream's answer", got)
	}
}
