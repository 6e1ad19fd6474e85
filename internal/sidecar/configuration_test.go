package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"heathershed/internal/soak"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

const (
	// changeBound is the time within which a change must be active at every
	// node.
	changeBound = 2 * time.Second
	// settleAfterFault is the time after the end of a fault from which changeBound
	// applies.
	settleAfterFault = 3 * time.Second
	// clustersPerFault is the number of clusters that are given the same fault,
	// since a cluster may hear of a change by chance.
	clustersPerFault = 4
)

func TestRefusalWithoutARouteTellsVersionAndAge(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	tc.configure(7, "s")
	m := tc.start("s")
	tc.waitFor("ready", m.ready)
	got := m.request("GET", "/missing/x", nil)
	want := regexp.MustCompile(`in version 7, confirmed \d+ ms ago by read`)
	if got.status != http.StatusNotFound || !want.MatchString(got.body) {
		t.Errorf("got status %d and %q, want 404 and %q", got.status, got.body, want)
	}
}

// storeCluster is a cluster whose nodes reach the object API over proxies.
type storeCluster struct {
	*testCluster
	vms    []*vm
	stores []*soak.Proxy
	links  []*soak.Proxy
}

// newStoreCluster starts nodes of one service in one data centre and waits
// until all of them have the first configuration and links.
func newStoreCluster(t *testing.T, nodes int) *storeCluster {
	t.Helper()
	c := &storeCluster{testCluster: newTestCluster(t)}
	c.configure(1, "s")
	for range nodes {
		m, links := c.startBehindProxies("s")
		c.vms, c.links, c.stores = append(c.vms, m), append(c.links, links), append(c.stores, m.storeProxy)
	}
	for _, m := range c.vms {
		c.waitFor("ready", m.ready)
		m.heartbeat("s", "ready")
	}
	c.waitFor("all links are up", func() bool { return nodes == 1 || allLinked(c.vms) })
	return c
}

// silence makes all open connections silent for good. New ones work.
func (c *storeCluster) silence() {
	for i := range c.vms {
		c.stores[i].BlackholeAll()
		c.links[i].BlackholeAll()
	}
}

// checkChange writes the next version, which adds a route, and checks that
// every node knows the route in time.
func (c *storeCluster) checkChange(version int) {
	c.t.Helper()
	c.configure(version, "s", "added")
	accepted := time.Now()
	c.checkKnown(version, accepted)
}

// checkKnown checks that every node knows the added route changeBound after it
// was accepted.
func (c *storeCluster) checkKnown(version int, accepted time.Time) {
	c.t.Helper()
	for _, m := range c.vms {
		for m.request("GET", "/added/x", nil).status == http.StatusNotFound {
			if time.Since(accepted) > changeBound {
				c.t.Errorf("%s: version %d is not active %v after it was accepted", m.cfg.VM, version, changeBound)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// inClusters runs a test on several clusters at the same time.
func inClusters(t *testing.T, nodes int, test func(t *testing.T, c *storeCluster)) {
	t.Helper()
	for i := range clustersPerFault {
		t.Run(fmt.Sprintf("nodes=%d/cluster=%d", nodes, i), func(t *testing.T) {
			t.Parallel()
			test(t, newStoreCluster(t, nodes))
		})
	}
}

func TestChangeIsActiveAfterAllConnectionsWentSilent(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{1, 3} {
		inClusters(t, nodes, func(t *testing.T, c *storeCluster) {
			c.silence()
			time.Sleep(settleAfterFault)
			c.checkChange(2)
		})
	}
}

func TestChangeIsActiveWhereWatchersCannotReachTheStore(t *testing.T) {
	t.Parallel()
	inClusters(t, 3, func(t *testing.T, c *storeCluster) {
		time.Sleep(settleAfterFault) // until the third node no longer watches
		for i, m := range c.vms {
			if m.node.peers.watches() {
				c.stores[i].SetMode(soak.ModeReset)
			}
		}
		c.checkChange(2)
	})
}

func TestChangeIsActiveThoughItsRevisionWasAssignedBefore(t *testing.T) {
	t.Parallel()
	const copyAge = 400 * time.Millisecond
	inClusters(t, 1, func(t *testing.T, c *storeCluster) {
		time.Sleep(2 * copyAge)
		c.writeOther(1, 5)
		c.configure(2, "s")
		time.Sleep(copyAge / 4) // the watch returns, and continues from the new revision
		c.stores[0].SetMode(soak.ModeReset)
		c.store.Restore(copyAge)
		c.configure(3, "s", "added")
		c.writeOther(2, 20)
		c.stores[0].SetMode(soak.ModePass)
		back := time.Now()
		time.Sleep(settleAfterFault - changeBound)
		c.checkKnown(3, back.Add(settleAfterFault-changeBound))
	})
}

// writeOther writes a number of objects of another kind.
func (c *storeCluster) writeOther(series, count int) {
	c.t.Helper()
	objects := platform.NewObjectClient(c.address)
	for i := range count {
		name := fmt.Sprintf("%d-%d", series, i)
		if _, err := objects.Put(c.t.Context(), "other", platform.Object{Name: name, Spec: []byte("1")}); err != nil {
			c.t.Fatal(err)
		}
	}
}

func TestRouteThatCannotBeReadIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	spec := platformtest.Config(1, "s", "s/inner")
	tc.writeConfig(strings.Replace(spec, `"service":"s/inner"`, `"service":7`, 1))
	m := tc.start("s")
	tc.waitFor("ready", m.ready)
	m.heartbeat("s", "ready")
	m.waitServing("/s/x")
	got := m.request("GET", "/s/inner/x", nil)
	if got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
		t.Errorf("route without a readable service: got status %d, Retry-After %q; want 503 with one", got.status, got.retryAfter)
	}
}

func TestUnconfirmedConfigurationIsLoggedOnce(t *testing.T) {
	t.Parallel()
	c := newStoreCluster(t, 1)
	c.stores[0].SetMode(soak.ModeReset)
	time.Sleep(2 * changeBound)
	c.stores[0].SetMode(soak.ModePass)
	c.waitFor("the configuration is confirmed again", func() bool {
		return strings.Contains(c.logs.String(), "configuration confirmed again")
	})
	if got := strings.Count(c.logs.String(), "configuration unconfirmed"); got != 1 {
		t.Errorf("got %d lines of an unconfirmed configuration, want 1", got)
	}
}

// readTimes records when the reads of the configuration arrive at a store that
// answers 429 to every call after the first read.
type readTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (r *readTimes) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, _ := platform.ParseObjectPath(req.URL.Path)
	if at.Kind == platform.ConfigKind && !req.URL.Query().Has(platform.ArgWatch) {
		r.times = append(r.times, time.Now())
	}
	if len(r.times) != 1 {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	_, _ = io.WriteString(rw, `{"items":[],"atRev":1}`)
}

// longestPause returns the longest time between two reads.
func (r *readTimes) longestPause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := time.Duration(0)
	for i := 1; i < len(r.times); i++ {
		longest = max(longest, r.times[i].Sub(r.times[i-1]))
	}
	return longest
}

// TestNodeWithoutLinksReadsAgainSoonAfterAFailedRead guards against a pause after
// a failed read that, after a read without an answer, lasts longer than the time
// in which a change must be active once the store is back.
func TestNodeWithoutLinksReadsAgainSoonAfterAFailedRead(t *testing.T) {
	t.Parallel()
	const (
		away = 16 * time.Second
		// unanswered is the time after which a call without an answer ends.
		unanswered = 1500 * time.Millisecond
	)
	tc := newTestCluster(t)
	reads := &readTimes{}
	server := httptest.NewServer(reads)
	t.Cleanup(server.Close)
	m := tc.prepare("s", "west")
	m.cfg.Platform = server.Listener.Addr().String()
	m.run()
	t.Cleanup(m.halt)
	time.Sleep(away)
	if got, most := reads.longestPause(), settleAfterFault-unanswered; got > most {
		t.Errorf("pause of %v between two reads, want at most %v", got, most)
	}
}

func TestHeaderLimitOfTheActiveVersionApplies(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	limited := func(version, headerBytes int) string {
		return strings.Replace(platformtest.Config(version, "s"), `"maxBodyBytes"`, fmt.Sprintf(`"maxHeaderBytes":%d,"maxBodyBytes"`, headerBytes), 1)
	}
	tc.writeConfig(limited(1, 10000))
	m := tc.start("s")
	tc.waitFor("ready", m.ready)
	m.heartbeat("s", "ready")
	m.waitServing("/s/x")
	path := "/s/" + strings.Repeat("x", 5000)
	if got := m.request("GET", path, nil); got.status != http.StatusOK {
		t.Fatalf("header within the limit: got %d %q, want 200", got.status, got.body)
	}
	tc.writeConfig(limited(2, 4000))
	tc.waitFor("version 2", func() bool { return m.node.table.Load().Version == 2 })
	if got := m.request("GET", path, nil); got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header over the limit of version 2: got %d %q, want 431", got.status, got.body)
	}
}
