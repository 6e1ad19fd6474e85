// Package crowd tests the node's own processes against clients that it does not
// control: clients that stop in the middle of a body, exceed the limits, or do not
// read their responses.
//
// The tests check what does not depend on the speed of the machine: the processes
// stay alive, their peak memory and their descriptors stay under a bound, and an
// ordinary request is answered.
package crowd

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heathershed/internal/settings"
	"heathershed/internal/soak"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

const (
	// memory is the setting [process] memory of each node and the bound on its
	// peak resident memory, in bytes.
	memory = 128 << 20
	// maxBody is the limit maxBodyBytes of the configuration, in bytes.
	maxBody = 2 << 20
	// clients is the number of connections of each kind of client.
	clients = 100
	// A process may have a descriptor open for each client, and reserve for
	// listeners, links, the upstream and the store.
	reserve = 200
	// responseSize is the size of a long response, in bytes.
	responseSize = 4 << 20
	// receiveBuffer is the receive buffer of a client that does not read, in
	// bytes. A response must not fit into the buffers of the kernel.
	receiveBuffer = 4 << 10
	// ioTimeout ends the writes of a client that is no longer read from.
	ioTimeout = 5 * time.Second
	// waitTimeout bounds the wait for a condition that must become true.
	waitTimeout = 60 * time.Second
)

// node is one process of heathershed-sidecar with its upstream.
type node struct {
	t       *testing.T
	service string
	cfg     *settings.Sidecar
	process *soak.Process
	log     string
	id      string
	seq     atomic.Int64
	usage   *usage
	// ran holds the attempt ids of the requests that the upstream has run.
	ran sync.Map
}

// fleet is a store and two nodes, with the services a and b.
type fleet struct {
	t     *testing.T
	nodes []*node
}

// startFleet builds and starts the programs with bodies of requests limited to
// bodyLimit bytes, and waits until each node serves the services of both.
func startFleet(t *testing.T, bodyLimit int) *fleet {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "heathershed/cmd/heathershed-platform", "heathershed/cmd/heathershed-sidecar")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	network := fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, 1+os.Getpid()/100%200)
	store := network + "1:7400"
	startProcess(t, filepath.Join(dir, "store.log"), filepath.Join(dir, "heathershed-platform"), "-listen", store)
	objects := platform.NewObjectClient(store)
	config := strings.Replace(platformtest.Config(1, "a", "b"), `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, bodyLimit), 1)
	waitFor(t, "the store takes the configuration", func() bool {
		_, err := objects.Put(t.Context(), platform.ConfigKind, platform.Object{Name: platform.ConfigName, Spec: []byte(config)})
		return err == nil
	})
	f := &fleet{t: t}
	for i, service := range []string{"a", "b"} {
		f.nodes = append(f.nodes, startNode(t, dir, fmt.Sprint(network, 2+i), service, store))
	}
	for _, n := range f.nodes {
		for _, path := range []string{"/a/", "/b/"} {
			waitFor(t, n.cfg.VM+" serves "+path, func() bool { return n.request("GET", path, nil) == nil })
		}
	}
	return f
}

func startProcess(t *testing.T, log, path string, args ...string) *soak.Process {
	t.Helper()
	p := soak.NewProcess(log, path, args...)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Signal(syscall.SIGKILL)
		p.Wait(ioTimeout)
		if t.Failed() {
			text, _ := os.ReadFile(log)
			t.Logf("end of %s:\n%s", log, text[max(len(text)-4000, 0):])
		}
	})
	return p
}

func startNode(t *testing.T, dir, ip, service, store string) *node {
	t.Helper()
	n := &node{t: t, service: service, id: "i-" + service, log: filepath.Join(dir, service+".log")}
	addr := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n.cfg = &settings.Sidecar{
		VM: "vm-" + service, Datacentre: "west", Region: "r", Service: service,
		Clients: addr(7001), Link: addr(7002), Announce: addr(7002), Ready: addr(7003), Heartbeats: addr(7004), Metrics: addr(7005),
		Upstream: addr(8080), Platform: store,
		ApplyWithin: 2 * time.Second, Grace: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		Memory: memory, LogLevel: "info",
	}
	l, err := net.Listen("tcp", n.cfg.Upstream)
	if err != nil {
		t.Fatal(err)
	}
	upstream := &http.Server{Handler: n}
	go func() { _ = upstream.Serve(l) }()
	t.Cleanup(func() { _ = upstream.Close() })
	ini := filepath.Join(dir, service+".ini")
	file, err := os.Create(ini)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if err := n.cfg.Print(file); err != nil {
		t.Fatal(err)
	}
	n.process = startProcess(t, n.log, filepath.Join(dir, "heathershed-sidecar"), "-config", ini)
	n.usage = newUsage(n.process.PID())
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go n.sendHeartbeats(stop)
	go n.usage.run(stop)
	return n
}

func (n *node) sendHeartbeats(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		body := platformtest.Heartbeat(n.service, n.cfg.Upstream, "ready", int(n.seq.Add(1)))
		resp, err := client.Post("http://"+n.cfg.Heartbeats+platformtest.HeartbeatPath(n.id), "application/json", strings.NewReader(body))
		if err == nil {
			resp.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// ServeHTTP is the upstream. It reads the whole request and answers with as many
// bytes as the parameter size says.
func (n *node) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(platformtest.HeaderInstance, n.id)
	if r.Header.Get(platformtest.HeaderExpected) != n.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.ran.Store(r.Header.Get(platformtest.HeaderAttempt), true)
	sum := crc32.NewIEEE()
	got, _ := io.Copy(sum, r.Body)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	rw.Header().Set(platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt))
	rw.Header().Set(platformtest.HeaderSeal, "seal")
	rw.Header().Set("Got", strconv.FormatInt(got, 10))
	rw.Header().Set("Sum", strconv.FormatUint(uint64(sum.Sum32()), 10))
	rw.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = rw.Write(make([]byte, size))
}

var attempts atomic.Int64

// request sends an ordinary request, and fails unless it is answered with status
// 200 and its whole body has reached the upstream.
func (n *node) request(method, path string, body []byte) error {
	return n.requestFrom(method, path, bytes.NewReader(body), len(body), crc32.ChecksumIEEE(body))
}

// requestFrom sends an ordinary request with a body of the given length and checksum.
// The body is sent in chunks unless it is a *bytes.Reader.
func (n *node) requestFrom(method, path string, body io.Reader, length int, sum uint32) error {
	req, err := http.NewRequestWithContext(n.t.Context(), method, "http://"+n.cfg.Clients+path, body)
	if err != nil {
		return err
	}
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, fmt.Sprint("ordinary-", attempts.Add(1)))
	req.Header.Set(platformtest.HeaderRemaining, "8000")
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Got") != strconv.Itoa(length) {
		return fmt.Errorf("status %d, %s of %d bytes arrived, %v: %.200s", resp.StatusCode, resp.Header.Get("Got"), length, err, text)
	}
	if length > 0 && resp.Header.Get("Sum") != strconv.FormatUint(uint64(sum), 10) {
		return fmt.Errorf("the body has changed on its way")
	}
	return err
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: ", what)
		}
	}
}
