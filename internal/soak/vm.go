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

// Kinds of faults that checks ask the ledger about. Those on a path to an
// upstream, between nodes and to the object API are injected by proxies.
const (
	faultNode         = "node"
	faultPause        = "pause"
	faultUpstreamPath = "path to an upstream"
	faultLinkPath     = "path between nodes"
	faultStore        = "store"
	faultStorePath    = "path to the store"
)

const (
	// grace bounds a graceful shutdown. It is long enough for shutdownNotice,
	// requestTimeout and the time that a node reserves for closing down. The
	// process must exit within exitTimeout after it.
	grace       = 8 * time.Second
	exitTimeout = 2 * time.Second
	// readyTimeout is the time that a node has to become ready, also without
	// the store.
	readyTimeout = 15 * time.Second
	// retryRatio and retrySlack bound the retries in each retryWindow.
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
	memoryLimit = 64 << 20
)

// vm is a VM: a node's process, its upstream, and the proxies on the paths from
// the node to the upstream and to the object API, and from other nodes to this
// one.
type vm struct {
	name, clientAddr, readyAddr string
	process                     *Process
	upstream                    *Upstream
	upstreamProxy               *Proxy
	storeProxy                  *Proxy
	linkProxy                   *Proxy
	ledger                      *Ledger

	// processMu is held while the process is killed, shut down, paused or
	// throttled, upstreamMu while the upstream drains or crashes.
	processMu, upstreamMu sync.Mutex

	mu            sync.Mutex
	shutdownStart time.Time
}

// vmConfig is the files and listen addresses of a VM's parts.
type vmConfig struct {
	dir, bin, name, ip, datacentre, service, store string
	workspaces                                     bool
}

// newVM writes the settings and opens the proxies. It starts no process.
func newVM(l *Ledger, p vmConfig) (*vm, error) {
	addr := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	cfg := &settings.Sidecar{
		VM: p.name, Datacentre: p.datacentre, Region: "r", Service: p.service,
		Clients: addr(7001), Link: addr(7002), Announce: addr(7402), Ready: addr(7003), Heartbeats: addr(7004),
		Metrics: addr(7005), Upstream: addr(8081), Platform: addr(7401),
		ApplyWithin: applyWithin, Grace: grace, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow,
		Memory: memoryLimit, LogLevel: "info",
	}
	if p.workspaces {
		cfg.StrictRevoke, cfg.RevokeWithin = true, revokeWithin
		cfg.QuotaWindow, cfg.QuotaOverage, cfg.QuotaSlack = quotaWindow, quotaOverage, quotaSlack
		cfg.UpstreamLoad, cfg.SlowStart = true, true
	}
	ini := filepath.Join(p.dir, p.name+".ini")
	if err := writeSettings(ini, cfg); err != nil {
		return nil, err
	}
	v := &vm{name: p.name, clientAddr: cfg.Clients, readyAddr: cfg.Ready, ledger: l}
	v.process = NewProcess(filepath.Join(p.dir, p.name+".log"), filepath.Join(p.bin, "heathershed-sidecar"), "-config", ini)
	v.upstream = &Upstream{
		ledger: l, vm: p.name, service: p.service, listen: addr(8080), address: cfg.Upstream, heartbeatAddr: cfg.Heartbeats, clientAddr: cfg.Clients,
	}
	var err error
	if v.upstreamProxy, err = NewProxy(cfg.Upstream, addr(8080)); err != nil {
		return nil, err
	}
	if v.linkProxy, err = NewProxy(cfg.Announce, cfg.Link); err != nil {
		return nil, err
	}
	v.storeProxy, err = NewProxy(cfg.Platform, p.store)
	return v, err
}

func writeSettings(path string, cfg *settings.Sidecar) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	defer f.Close()
	return cfg.Print(f)
}

// localFault is the ledger's fault kind for the faults that stop or pause the
// node's process or break its path to the object API.
func (v *vm) localFault() string { return "at " + v.name }

// start starts the node's process.
func (v *vm) start() error {
	v.mu.Lock()
	v.shutdownStart = time.Time{}
	v.mu.Unlock()
	return v.process.Start()
}

// shutdownStarted returns when the graceful shutdown of the current process
// began, or the zero time if it has not.
func (v *vm) shutdownStarted() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.shutdownStart
}

// shutdownStartedBefore reports whether the graceful shutdown of the current
// process began before t.
func (v *vm) shutdownStartedBefore(t time.Time) bool {
	shutdownStarted := v.shutdownStarted()
	return !shutdownStarted.IsZero() && shutdownStarted.Before(t)
}

// shutdown stops the process gracefully. It records a violation and kills the
// process if it has not exited exitTimeout after its grace period.
func (v *vm) shutdown() {
	v.mu.Lock()
	v.shutdownStart = time.Now()
	v.mu.Unlock()
	v.process.Signal(syscall.SIGTERM)
	if !v.process.Wait(grace + exitTimeout) {
		v.ledger.AddViolation(Cut, "", v.name+" did not end in its grace time")
		v.kill()
	}
}

// kill ends the process with SIGKILL.
func (v *vm) kill() {
	v.process.Signal(syscall.SIGKILL)
	v.process.Wait(exitTimeout)
}

// awaitReady waits until the node reports that it is ready, at most
// readyTimeout, and returns whether it became ready.
func (v *vm) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + v.readyAddr + platform.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // only the status is needed
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends everything that belongs to the VM.
func (v *vm) close() {
	v.kill()
	v.upstream.Crash()
	v.upstreamProxy.Close()
	v.storeProxy.Close()
	v.linkProxy.Close()
}
