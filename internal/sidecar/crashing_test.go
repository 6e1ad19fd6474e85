package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heathershed/internal/contract"
)

const (
	// crashedFor is how long an upstream is down after it has crashed.
	crashedFor = 800 * time.Millisecond
	// crashAfter is how long it runs the request that crashes it.
	crashAfter = 40 * time.Millisecond
	// knownWithin is the time after the third crash in which all nodes must know
	// of the request, and maxRunsAfter how often it may run later.
	knownWithin  = 3 * time.Second
	maxRunsAfter = 3
)

// crashes counts how often a request that crashes upstreams has run.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// late counts the runs over knownWithin after the third.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, at := range c.at {
		if len(c.at) >= 3 && at.Sub(c.at[2]) > knownWithin {
			late++
		}
	}
	return late
}

// crashingUpstream replaces the upstream of a node by one that crashes under
// requests with "/crash" in their path, and under any request if crash is called.
type crashingUpstream struct {
	vm      *vm
	service string
	crashes *crashes
	starts  atomic.Int64
	mu      sync.Mutex
	server  *http.Server
}

func (m *vm) crashing(service string, c *crashes) *crashingUpstream {
	u := &crashingUpstream{vm: m, service: service, crashes: c}
	u.vm.up.stop()
	u.start()
	m.tc.t.Cleanup(func() { _ = u.current().Close() })
	return u
}

func (u *crashingUpstream) current() *http.Server {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server
}

// start starts a new instance and sends its first heartbeat.
func (u *crashingUpstream) start() {
	l, err := net.Listen("tcp", u.vm.up.address)
	if err != nil {
		u.vm.tc.t.Error(err)
		return
	}
	up := &testUpstream{id: fmt.Sprintf("%s-%d", u.vm.cfg.VM, u.starts.Add(1)), address: u.vm.up.address}
	up.set(u.handle)
	server := &http.Server{Handler: up}
	u.mu.Lock()
	u.server = server
	u.mu.Unlock()
	u.vm.up = up
	go func() { _ = server.Serve(l) }()
	u.vm.heartbeat(u.service, "ready")
}

func (u *crashingUpstream) handle(rw http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, "/crash") {
		time.Sleep(crashAfter / 4)
		_, _ = io.WriteString(rw, "complete answer")
		return
	}
	u.crashes.add()
	time.Sleep(crashAfter)
	u.crash()
	panic(http.ErrAbortHandler)
}

// crash ends the instance with all its connections; another one starts later.
func (u *crashingUpstream) crash() {
	u.mu.Lock()
	server := u.server
	u.server = &http.Server{}
	u.mu.Unlock()
	if server.Handler == nil {
		return // it is down
	}
	_ = server.Close()
	time.AfterFunc(crashedFor, u.start)
}

// crashingService starts nodes whose upstreams crash under certain requests.
func (tc *testCluster) crashingService(service string, nodes int, c *crashes) ([]*vm, []*crashingUpstream) {
	var vms []*vm
	var ups []*crashingUpstream
	for range nodes {
		vms = append(vms, tc.start(service))
	}
	tc.waitFor("all ready", func() bool {
		for _, m := range vms {
			if !m.ready() {
				return false
			}
		}
		return true
	})
	for _, m := range vms {
		ups = append(ups, m.crashing(service, c))
	}
	for _, m := range vms {
		m.waitServing("/" + service + "/1")
	}
	return vms, ups
}

// sendEvery sends a request each interval, to one node after the other, until
// the returned function is called. It counts the answers by status.
func sendEvery(vms []*vm, interval time.Duration, method, path string) (stop func() map[int]int) {
	done, ended := make(chan struct{}), make(chan map[int]int)
	go func() {
		var mu sync.Mutex
		var all sync.WaitGroup
		statuses := make(map[int]int)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				all.Wait()
				ended <- statuses
				return
			case <-ticker.C:
			}
			all.Go(func() {
				got := vms[i%len(vms)].request(method, path, nil)
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
		}
	}()
	return func() map[int]int {
		close(done)
		return <-ended
	}
}

// TestRestartedNodeKnowsRequestsThatCrashUpstreams guards against a node that lets
// such a request run again because it has started since.
func TestRestartedNodeKnowsRequestsThatCrashUpstreams(t *testing.T) {
	tc := newTestCluster(t)
	tc.configure(1, "far")
	var c crashes
	vms, _ := tc.crashingService("far", 3, &c)
	rejected := func(m *vm) bool {
		got := m.request("GET", "/far/crash", nil)
		return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, contract.ReasonCrashesUpstream.String())
	}
	tc.waitFor("the request is rejected", func() bool { return rejected(vms[0]) && rejected(vms[1]) && rejected(vms[2]) })
	vms[0].halt()
	vms[0].run()
	tc.waitFor("ready again", vms[0].ready)
	tc.waitFor("the reports are there", func() bool { return !vms[0].node.poison.Empty() })
	before := c.count()
	if !rejected(vms[0]) || c.count() > before {
		t.Errorf("the restarted node does not reject the request; it ran %d times more", c.count()-before)
	}
}

// TestPopularRequestOutlivesCrashesOfOthers guards against rejecting a request that
// was running, with others, whenever an upstream crashed.
func TestPopularRequestOutlivesCrashesOfOthers(t *testing.T) {
	tc := newTestCluster(t)
	tc.configure(1, "far")
	var c crashes
	vms, ups := tc.crashingService("far", 4, &c)
	popular := sendEvery(vms, 5*time.Millisecond, "GET", "/far/popular")
	for i := range 15 {
		time.Sleep(200 * time.Millisecond)
		ups[i%len(ups)].crash()
	}
	popular()
	time.Sleep(2 * crashedFor)
	popular = sendEvery(vms, 5*time.Millisecond, "GET", "/far/popular")
	time.Sleep(time.Second)
	statuses := popular()
	total := 0
	for _, n := range statuses {
		total += n
	}
	if statuses[http.StatusOK]*100 < 98*total {
		t.Errorf("after the crashes: got answers %v, want 98%% served", statuses)
	}
}

// TestRequestThatCrashesUpstreamsIsNotSentForEver guards against a request that
// ends one upstream after the other while the others' requests fail with it.
func TestRequestThatCrashesUpstreamsIsNotSentForEver(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			tc := newTestCluster(t)
			tc.configure(1, "far")
			var c crashes
			vms, _ := tc.crashingService("far", 4, &c)
			path := map[string]string{"GET": "/far/crash", "POST": "/far-order/crash"}[method]
			popular := sendEvery(vms, 20*time.Millisecond, "GET", "/far/popular")
			stop := sendEvery(vms, 150*time.Millisecond, method, path)
			time.Sleep(2 * time.Second)
			popular()
			popular = sendEvery(vms, 20*time.Millisecond, "GET", "/far/popular")
			time.Sleep(4 * time.Second)
			statuses, served := stop(), popular()
			t.Logf("%d runs, %d late; answers %v, of the popular request %v", c.count(), c.late(), statuses, served)
			if got := c.late(); got > maxRunsAfter {
				t.Errorf("ran %d times later than %v after its third crash, want at most %d", got, knownWithin, maxRunsAfter)
			}
			total := 0
			for _, n := range served {
				total += n
			}
			if served[http.StatusOK]*100 < 95*total {
				t.Errorf("of the popular request %v, want 95%% served", served)
			}
		})
	}
}
