package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/settings"
	"heathershed/platform"
)

// Kinds of faults that checks ask the ledger about.
const (
	faultNode        = "node"
	faultPause       = "pause"
	faultUpstreamWay = "way to an upstream"
	faultLinkWay     = "way between nodes"
	faultStore       = "store"
	faultStoreWay    = "way to the store"
)

const (
	// grace bounds a planned stop: noticeTime, patience and what a node keeps of
	// it for its end. endBound is how much later the process ends.
	grace    = 8 * time.Second
	endBound = 2 * time.Second
	// readyBound is how long a node has until it is ready, with the store away.
	readyBound = 15 * time.Second
	// retryRatio and retrySlack bound repeats in each retryWindow.
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
	memory      = 64 << 20
)

// machine is a VM: a node's process, the upstream beside it and the proxies on
// the node's ways to its upstream and to the object API, and on the way of other
// nodes to it.
type machine struct {
	name, clients, ready string
	process              *Process
	upstream             *Upstream
	upstreamWay          *Proxy
	storeWay             *Proxy
	linkWay              *Proxy
	ledger               *Ledger

	// changing is held while the process is killed, stopped or paused, and
	// upstreamChanging while the upstream crashes or leaves.
	changing, upstreamChanging sync.Mutex

	mu   sync.Mutex
	term time.Time
}

// place is where a machine's parts listen.
type place struct {
	dir, bin, name, ip, service, store string
}

// newMachine writes the settings and opens the proxies; nothing runs yet.
func newMachine(l *Ledger, p place) (*machine, error) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	cfg := &settings.Sidecar{
		VM: p.name, Datacentre: "west", Region: "r", Service: p.service,
		Clients: at(7001), Link: at(7002), Announce: at(7402), Ready: at(7003), Heartbeats: at(7004),
		Metrics: at(7005), Upstream: at(8081), Platform: at(7401),
		Grace: grace, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow,
		Memory: memory, LogLevel: "info",
	}
	ini := filepath.Join(p.dir, p.name+".ini")
	if err := writeSettings(ini, cfg); err != nil {
		return nil, err
	}
	m := &machine{name: p.name, clients: cfg.Clients, ready: cfg.Ready, ledger: l}
	m.process = NewProcess(filepath.Join(p.dir, p.name+".log"), filepath.Join(p.bin, "heathershed-sidecar"), "-config", ini)
	m.upstream = &Upstream{
		ledger: l, machine: p.name, service: p.service, listen: at(8080), address: cfg.Upstream, node: cfg.Heartbeats, clients: cfg.Clients,
	}
	var err error
	if m.upstreamWay, err = NewProxy(cfg.Upstream, at(8080)); err != nil {
		return nil, err
	}
	if m.linkWay, err = NewProxy(cfg.Announce, cfg.Link); err != nil {
		return nil, err
	}
	m.storeWay, err = NewProxy(cfg.Platform, p.store)
	return m, err
}

func writeSettings(path string, cfg *settings.Sidecar) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	defer f.Close()
	return cfg.Print(f)
}

// ownFault is any fault of the node's process or of its way to the object API.
func (m *machine) ownFault() string { return "at " + m.name }

// start starts the node's process.
func (m *machine) start() error {
	m.mu.Lock()
	m.term = time.Time{}
	m.mu.Unlock()
	return m.process.Start()
}

// stopped is when the planned stop of the present process began; zero: it
// has not.
func (m *machine) stopped() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

// leftSince reports whether the planned stop of the present process began before
// a time.
func (m *machine) leftSince(at time.Time) bool {
	stopped := m.stopped()
	return !stopped.IsZero() && stopped.Before(at)
}

// stop stops the process in order.
func (m *machine) stop() {
	m.mu.Lock()
	m.term = time.Now()
	m.mu.Unlock()
	m.process.Signal(syscall.SIGTERM)
	if !m.process.Wait(grace + endBound) {
		m.ledger.AddViolation(Cut, "", m.name+" did not end in its grace time")
		m.kill()
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	m.process.Signal(syscall.SIGKILL)
	m.process.Wait(endBound)
}

// awaitReady waits until the node takes work and reports whether it came to it.
func (m *machine) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(readyBound); time.Now().Before(until); time.Sleep(pollEvery) {
		resp, err := client.Get("http://" + m.ready + platform.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // only the status counts
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends everything of the machine.
func (m *machine) close() {
	m.kill()
	m.upstream.Crash()
	m.upstreamWay.Close()
	m.storeWay.Close()
	m.linkWay.Close()
}
