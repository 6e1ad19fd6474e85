package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// busyUpstreamTakes is how long the upstream of a busyService takes for an answer.
const busyUpstreamTakes = 100 * time.Millisecond

// startBusyService starts two nodes; the upstream of service "far" has four slots.
// The latency objective of its lookups is twice the time that an answer takes.
func startBusyService(t *testing.T) (near *vm) {
	t.Helper()
	tc, near, far := startPair(t)
	tc.writeConfig(fmt.Sprintf(`{"version":2,"resources":[{"resourceKind":"routes","metadata":{"name":"far"},`+
		`"spec":{"host":"h","pathPrefix":"/far/","routeType":"idempotent","timeout":"8s","sloLatency":"%dms","priority":0,"service":"far","maxAttempts":2}}]}`,
		2*busyUpstreamTakes.Milliseconds()))
	tc.waitFor("the configuration is active", func() bool { return near.node.table.Load().Version == 2 })
	far.up.set(func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(busyUpstreamTakes)
		_, _ = io.WriteString(rw, "complete answer") // the caller checks what arrives
	})
	for range 4 { // the latency becomes known
		near.request("GET", "/far/1", nil)
	}
	return near
}

// clientOutcomes counts what became of the requests of several clients.
type clientOutcomes struct {
	mu              sync.Mutex
	served, refused int
}

// ask sends lookups from a number of clients, one after the other, until a time.
// Each client has the given time left whenever it asks.
func (c *clientOutcomes) ask(wg *sync.WaitGroup, at *vm, left time.Duration, clients int, until time.Time) {
	for range clients {
		wg.Go(func() {
			for time.Now().Before(until) {
				a := at.requestWithin(left, "GET", "/far/1", nil)
				c.mu.Lock()
				if a.status == http.StatusOK {
					c.served++
				} else {
					c.refused++
				}
				c.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// TestCallerWithMoreTimeIsNotRefusedForIt guards against taking a caller with a
// shorter time limit for one that has asked before and has waited already.
func TestCallerWithMoreTimeIsNotRefusedForIt(t *testing.T) {
	t.Parallel()
	near := startBusyService(t)
	const clients, least = 8, 0.5
	var more, less clientOutcomes
	var wg sync.WaitGroup
	until := time.Now().Add(2 * time.Second)
	more.ask(&wg, near, 2500*time.Millisecond, clients, until)
	less.ask(&wg, near, 2200*time.Millisecond, clients, until)
	wg.Wait()
	if float64(more.served) < least*float64(less.served) {
		t.Errorf("%d requests with 2.5 s left were served and %d refused, with 2.2 s left %d and %d; want at least %v times as many served",
			more.served, more.refused, less.served, less.refused, least)
	}
	t.Logf("2.5 s left: %d served, %d refused; 2.2 s left: %d and %d", more.served, more.refused, less.served, less.refused)
}

// TestCallersThatCanWaitAreNotRefusedAtTheIngress guards against a threshold that
// rejects clients although all of them are served long before their time is over.
func TestCallersThatCanWaitAreNotRefusedAtTheIngress(t *testing.T) {
	t.Parallel()
	near := startBusyService(t)
	const clients = 16 // each waits for up to three others, 0.3 s of 2.5 s
	var all clientOutcomes
	var wg sync.WaitGroup
	all.ask(&wg, near, 2500*time.Millisecond, clients, time.Now().Add(2*time.Second))
	wg.Wait()
	if all.refused > 0 {
		t.Errorf("%d requests were refused and %d served; want none refused", all.refused, all.served)
	}
}

// TestCallersThatCanWaitForALimitAreNotRefused is the same for upstreams that name
// a limit of requests a second.
func TestCallersThatCanWaitForALimitAreNotRefused(t *testing.T) {
	t.Parallel()
	tc, near, far := startTrio(t)
	tc.writeConfig(prioritizedConfig(2))
	tc.waitFor("the configuration is active", func() bool { return near.node.table.Load().Version == 2 })
	for _, m := range far {
		newTalker(m.up).say(platformtest.HeaderLimit, "20")
	}
	keepAsking("/far/1", time.Second, near) // the limits become known
	const clients = 8                       // each waits for up to seven others, 0.2 s of 2.5 s
	var all clientOutcomes
	var wg sync.WaitGroup
	all.ask(&wg, near, 2500*time.Millisecond, clients, time.Now().Add(3*time.Second))
	wg.Wait()
	if all.refused > 0 {
		t.Errorf("%d requests were refused and %d served; want none refused", all.refused, all.served)
	}
}

// TestCallerWithTimeIsServedAfterTheLatencyObjective guards against refusing a
// caller whose answer would come after the latency objective and in its own time.
func TestCallerWithTimeIsServedAfterTheLatencyObjective(t *testing.T) {
	t.Parallel()
	near := startBusyService(t)
	const clients = 12 // the last four wait for two others
	var wg sync.WaitGroup
	answers := make(chan answer, clients)
	for range clients {
		wg.Go(func() { answers <- near.request("GET", "/far/1", nil) })
	}
	wg.Wait()
	close(answers)
	for a := range answers {
		if a.status != http.StatusOK {
			t.Errorf("got status %d: %s; want 200, the wait was much shorter than the 2.5 s left", a.status, a.body)
		}
	}
}
