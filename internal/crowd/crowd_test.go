// Package crowd tests the node's own processes against clients that it does not
// control: clients that stop in the middle of a body, exceed the limits, or do not
// read their responses.
//
// The tests check what does not depend on the speed of the machine: the processes
// stay alive, their peak memory and their descriptors stay under a bound, and an
// ordinary request is answered.
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
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
	pid     int
	log     string
	id      string
	seq     atomic.Int64
}

// fleet is a store and two nodes, with the services a and b.
type fleet struct {
	t     *testing.T
	nodes []*node
}

// startFleet builds and starts the programs, and waits until each node serves the
// services of both.
func startFleet(t *testing.T) *fleet {
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
	config := strings.Replace(platformtest.Config(1, "a", "b"), `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, maxBody), 1)
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
	n.pid = n.process.PID()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go n.sendHeartbeats(stop)
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
	got, _ := io.Copy(io.Discard, r.Body)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	rw.Header().Set(platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt))
	rw.Header().Set(platformtest.HeaderSeal, "seal")
	rw.Header().Set("Got", strconv.FormatInt(got, 10))
	rw.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = rw.Write(make([]byte, size))
}

var attempts atomic.Int64

// request sends an ordinary request, and fails unless it is answered with status
// 200 and its whole body has reached the upstream.
func (n *node) request(method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(n.t.Context(), method, "http://"+n.cfg.Clients+path, bytes.NewReader(body))
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
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Got") != strconv.Itoa(len(body)) {
		return fmt.Errorf("status %d, %s of %d bytes arrived, %v: %.200s", resp.StatusCode, resp.Header.Get("Got"), len(body), err, text)
	}
	return err
}

// usage returns the peak resident memory in bytes and the number of open
// descriptors of the process.
func (n *node) usage() (peak int64, descriptors int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				return 0, 0, err
			}
			peak = kib << 10
		}
	}
	if peak == 0 {
		return 0, 0, fmt.Errorf("process %d has ended", n.pid)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid))
	return peak, len(open), err
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: ", what)
		}
	}
}

// client sends bytes on a connection until it is done or the node stops reading.
// The connection stays open afterwards.
type client func(c net.Conn, path string)

// head returns the head of an order.
func head(path, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: crowd-%d\r\n%s: 8000\r\n%s\r\n\r\n", path,
		platformtest.HeaderAttempt, attempts.Add(1), platformtest.HeaderRemaining, framing)
}

// stopsBeforeTheEnd sends the chunks of a body within the limits, without the last
// one.
func stopsBeforeTheEnd(chunk int) client {
	return func(c net.Conn, path string) {
		w := bufio.NewWriterSize(c, 64<<10)
		_, _ = w.WriteString(head(path, "Transfer-Encoding: chunked"))
		one := append(fmt.Appendf(nil, "%x\r\n", chunk), append(make([]byte, chunk), '\r', '\n')...)
		for sent := 0; sent+chunk < maxBody; sent += chunk {
			if _, err := w.Write(one); err != nil {
				return
			}
		}
		_ = w.Flush()
	}
}

// exceedsTheLimit sends a body of the given length, except its last byte. It
// declares the length, or sends chunks.
func exceedsTheLimit(length int, declare bool) client {
	return func(c net.Conn, path string) {
		const piece = 64 << 10
		framing := "Transfer-Encoding: chunked"
		if declare {
			framing = fmt.Sprint("Content-Length: ", length)
		}
		if _, err := io.WriteString(c, head(path, framing)); err != nil {
			return
		}
		if !declare {
			_, _ = fmt.Fprintf(c, "%x\r\n", length)
		}
		for sent := 0; sent < length; sent += piece {
			if _, err := c.Write(make([]byte, min(piece, length-1-sent))); err != nil {
				return
			}
		}
	}
}

// doesNotRead asks for a long response and reads nothing of it.
func doesNotRead(c net.Conn, path string) {
	_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	_, _ = fmt.Fprintf(c, "GET %s?size=%d HTTP/1.1\r\nHost: h\r\n%s: crowd-%d\r\n%s: 8000\r\n\r\n", strings.Replace(path, "-order", "", 1),
		responseSize, platformtest.HeaderAttempt, attempts.Add(1), platformtest.HeaderRemaining)
}

// run connects the clients of each kind to the first node, half of them for a
// service at the other node, and waits until all have sent what they send. Their
// connections stay open until the returned function is called.
func (f *fleet) run(kinds ...client) (closeAll func()) {
	f.t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for _, kind := range kinds {
		for i := range clients {
			path := "/a-order/"
			if i%2 == 1 {
				path = "/b-order/"
			}
			all.Go(func() {
				c, err := net.Dial("tcp", f.nodes[0].cfg.Clients)
				if err != nil {
					return // the node may refuse connections
				}
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
				_ = c.SetDeadline(time.Now().Add(ioTimeout))
				kind(c, path)
			})
		}
	}
	all.Wait()
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// Guards against clients that bring down a process: it holds each body and each
// response completely, without a bound over all connections.
func TestCrowdStaysWithinTheMemory(t *testing.T) {
	kinds := []struct {
		name  string
		kinds []client
	}{
		{"large chunks", []client{stopsBeforeTheEnd(64 << 10)}},
		{"small chunks", []client{stopsBeforeTheEnd(64)}},
		{"declared over the limit", []client{exceedsTheLimit(3*maxBody, true)}},
		{"sent over the limit", []client{exceedsTheLimit(3*maxBody, false)}},
		{"long responses", []client{doesNotRead}},
	}
	var every []client
	for _, k := range kinds {
		every = append(every, k.kinds...)
	}
	kinds = append(kinds, struct {
		name  string
		kinds []client
	}{"all", every})
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			f := startFleet(t)
			closeAll := f.run(k.kinds...)
			defer closeAll()
			// What was sent is read and answered meanwhile, as quickly as the machine
			// can: an ordinary request is answered beside the clients.
			waitFor(t, "an ordinary request is answered beside the clients", func() bool { return f.nodes[0].request("GET", "/b/", nil) == nil })
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				n.check(len(k.kinds) * clients)
			}
			closeAll()
			for _, n := range f.nodes {
				waitFor(t, "an order at the limit is answered afterwards", func() bool {
					err := n.request("POST", "/b-order/", make([]byte, maxBody))
					if err != nil {
						t.Log(n.cfg.VM, ": ", err)
					}
					return err == nil
				})
				n.check(len(k.kinds) * clients)
			}
		})
	}
}

// check reports an error if the process has ended or its usage is over a bound.
func (n *node) check(connections int) {
	n.t.Helper()
	peak, descriptors, err := n.usage()
	if err != nil {
		n.t.Errorf("%s: %v", n.cfg.VM, err)
		return
	}
	n.t.Logf("%s: peak %d MiB of %d, %d descriptors", n.cfg.VM, peak>>20, memory>>20, descriptors)
	if peak > memory {
		n.t.Errorf("%s: peak memory %d MiB, want at most %d", n.cfg.VM, peak>>20, memory>>20)
	}
	if descriptors > connections+reserve {
		n.t.Errorf("%s: %d descriptors, want at most %d", n.cfg.VM, descriptors, connections+reserve)
	}
}
