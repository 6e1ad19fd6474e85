package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathershed/internal/soak"
	"heathershed/platform/platformtest"
)

// startProxied is a node with clients and two of another service behind proxies.
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
	tc.waitFor("both of far are reached", func() bool {
		near.request("GET", "/far/x", nil)
		return far[0].up.ran.Load() > 0 && far[1].up.ran.Load() > 0
	})
	return near, far, proxies
}

// holdRequest sends requests by near until one is at work at far, and returns its end.
// The upstream answers it after a time.
func holdRequest(near, far *vm, method, path string, delay time.Duration) <-chan answer {
	const left = 6 * time.Second
	held := make(chan struct{}, 1)
	far.up.set(func(rw http.ResponseWriter, r *http.Request) {
		held <- struct{}{}
		select {
		case <-time.After(delay):
			_, _ = io.WriteString(rw, "whole answer")
		case <-r.Context().Done():
		}
	})
	for {
		got := make(chan answer, 1)
		go func() { got <- near.requestWithin(left, method, path, nil) }()
		select {
		case <-held:
			return got
		case <-got: // another upstream took it
		}
	}
}

func TestLookupOnUnresponsiveLinkIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	near, far, proxies := startProxied(t)
	end := holdRequest(near, far[0], "GET", "/far/x", time.Minute)
	const found = 3 * time.Second
	began := time.Now()
	proxies[0].BlackholeAll()
	got := <-end
	if took := time.Since(began); took > found+time.Second {
		t.Errorf("answered after %v, want the silence to be found within %v", took, found)
	}
	if got.status != http.StatusOK || got.seal != "seal-"+far[1].up.id {
		t.Fatalf("%+v, want the other upstream's answer", got)
	}
}

func TestOrderOnUnresponsiveLinkIsNotRetried(t *testing.T) {
	t.Parallel()
	near, far, proxies := startProxied(t)
	end := holdRequest(near, far[0], "POST", "/far-order/x", time.Minute)
	before := far[1].up.ran.Load()
	proxies[0].BlackholeAll()
	if got := <-end; got.status != http.StatusGatewayTimeout {
		t.Fatalf("%+v, want the end of its time", got)
	}
	if ran := far[1].up.ran.Load(); ran != before {
		t.Errorf("%d runs at the other upstream", ran-before)
	}
}

func TestLookupOnUnwantedUnresponsiveLinkIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	near, far, proxies := startProxied(t)
	end := holdRequest(near, far[0], "GET", "/far/x", time.Minute)
	const found = 3 * time.Second
	began := time.Now()
	near.node.links.SetTargets(nil) // wanted again at the next look
	proxies[0].BlackholeAll()
	got := <-end
	if took := time.Since(began); took > found+time.Second {
		t.Errorf("answered after %v, want the silence to be found within %v", took, found)
	}
	if got.status != http.StatusOK || got.seal != "seal-"+far[1].up.id {
		t.Fatalf("%+v, want the other upstream's answer", got)
	}
}
