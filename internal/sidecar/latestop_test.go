package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// TestLateNestedOrderDuringShutdownIsNotAborted guards against an order of the local upstream
// that is passed on when too little is left of the grace period: it is cut at the end, and
// nobody may send it again.
func TestLateNestedOrderDuringShutdownIsNotAborted(t *testing.T) {
	t.Parallel()
	const takes = 300 * time.Millisecond
	tc, near, far := startPair(t)
	far.up.set(answerAfter(takes))
	var late atomic.Bool
	var nested atomic.Pointer[answer]
	near.up.set(func(rw http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(platformtest.HeaderRemaining))
		if err != nil {
			t.Error(err)
		}
		began := time.Now()
		tc.waitFor("the end of the grace period is near", func() bool {
			plan := near.node.plan.Load()
			return !late.Load() || plan != nil && time.Until(plan.end) < takes/2
		})
		a := near.requestWithin(time.Duration(left)*time.Millisecond-time.Since(began), "POST", "/far-order/x", nil)
		nested.Store(&a)
		rw.WriteHeader(a.status)
	})
	for range 20 { // the node learns to correlate the nested calls with their requests, and how long they take
		far.request("GET", "/near/1", nil)
	}
	late.Store(true)
	ran := far.up.ran.Load()
	startRequest(far, near, "GET", "/near/1")
	near.stopWithinGrace()
	a := nested.Load()
	if a.err != nil || a.status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, err %v; want 503 for a call that can't end before the node does", a.status, a.err)
	}
	if got := far.up.ran.Load(); got != ran {
		t.Errorf("%d orders were passed on, want none", got-ran)
	}
}

// TestUploadAcrossAShutdownIsAnswered guards against an order whose client sends its body
// slowly while the node stops, and that is cut once all of it has been read.
func TestUploadAcrossAShutdownIsAnswered(t *testing.T) {
	t.Parallel()
	const size = 900 // within the bound of platformtest.Config
	for _, left := range []time.Duration{300 * time.Millisecond, 5 * time.Second} {
		for _, end := range []time.Duration{400 * time.Millisecond, time.Second, 1300 * time.Millisecond} {
			t.Run(fmt.Sprint("body ends after ", end, ", remaining ", left), func(t *testing.T) {
				t.Parallel()
				_, near, far := startPair(t)
				far.up.set(answerAfter(50 * time.Millisecond))
				conn := dial(t, near.cfg.Clients)
				_ = conn.SetDeadline(time.Now().Add(waitTimeout))
				fmt.Fprintf(conn, "POST /far-order/1 HTTP/1.1\r\nHost: h\r\n%s: slow-upload\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
					platformtest.HeaderAttempt, platformtest.HeaderRemaining, left.Milliseconds(), size, strings.Repeat("x", size-1))
				time.Sleep(50 * time.Millisecond)
				ran := far.up.ran.Load()
				near.stop()
				time.Sleep(end)
				_, _ = io.WriteString(conn, "x")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("no answer: %v", err)
				}
				defer resp.Body.Close()
				served := resp.StatusCode == http.StatusOK && far.up.ran.Load() == ran+1
				refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && far.up.ran.Load() == ran
				if !served && !refused {
					t.Errorf("got status %d with %d runs, want 200 with one or 503 with none", resp.StatusCode, far.up.ran.Load()-ran)
				}
			})
		}
	}
}
