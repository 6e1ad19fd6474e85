package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform/fake"
)

// Config configures one run.
type Config struct {
	// Bin is the directory of the programs, Dir that of settings and logs.
	Bin, Dir string
	Seed     uint64
	// VMs is the number of VMs, Clients the number of clients at each.
	VMs, Clients int
	// Length is the time during which faults start.
	Length time.Duration
	// Crash says that a request that crashes upstreams is sent at the end.
	Crash bool
	// Workspaces says that clients present keys, some of which are taken away or
	// unknown, and that upstreams report their load, at times in invalid forms.
	Workspaces bool
	// Crowd says that each node also has clients that read slowly, stop in the middle of a
	// body or exceed the limits.
	Crowd bool
	// Net is the second and third byte of the loopback addresses.
	Net string
}

const (
	// recoveryBound is the time after the last fault within which every node
	// serves every service again.
	recoveryBound = 10 * time.Second
	// brownoutTime is how long all upstreams truncate their answers. It is
	// shorter than retryWindow.
	brownoutTime = 5 * time.Second
	// A node is shut down when all upstreams have been slow for stopAfter, and
	// started again stopFor later.
	stopAfter = 2 * time.Second
	stopFor   = time.Second
	// storeStartTimeout is the time that the stand-in object API has to start.
	storeStartTimeout = 5 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 50 * time.Millisecond
	// probeInterval is the time between two requests that check for recovery.
	probeInterval = 100 * time.Millisecond
)

// services have about the same number of upstreams each.
var services = []string{"a", "b", "c"}

// Report is the result of a run.
type Report struct {
	Plan       []Event
	Violations []Violation
	Summary    string
}

// run is a run in progress.
type run struct {
	cfg      Config
	ctx      context.Context
	ledger   *Ledger
	vms      []*vm
	operator *operator
	store    *Process

	mu     sync.Mutex
	failed error
}

// Run starts the programs, injects the faults of the plan and returns what it
// found. An error means that the run itself failed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	r := &run{cfg: cfg, ctx: ctx, ledger: NewLedger(time.Now())}
	if cfg.Workspaces {
		r.ledger.workspaces = newWorkspaces(r.ledger)
	}
	report := Report{Plan: NewPlan(cfg.Seed, cfg.VMs, cfg.Length)}
	defer r.close()
	if err := r.open(); err != nil {
		return report, err
	}
	clientCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	r.startClients(clientCtx, &wg)
	wg.Go(func() { r.operator.run(clientCtx, rand.New(rand.NewPCG(cfg.Seed, 2))) })
	r.playFaults(report.Plan)
	r.limitAll()
	r.awaitRecovery("limit")
	r.brownout()
	r.awaitRecovery("cut")
	r.slowdown()
	r.awaitRecovery("slow")
	if cfg.Crash {
		r.crashing()
		r.awaitRecovery("crash")
	}
	r.operator.checkAll(ctx)
	cancel()
	wg.Wait()
	r.shutdownAll()
	r.ledger.workspaces.checkLimit()
	report.Violations, report.Summary = r.ledger.Violations(), r.ledger.Summary()
	return report, r.failed
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = errors.CombineErrors(r.failed, err)
}

func (r *run) ip(n int) string { return fmt.Sprintf("127.%s.%d", r.cfg.Net, n) }

// open starts the object API, the nodes and their upstreams.
func (r *run) open() error {
	store := r.ip(250) + ":7400"
	r.store = NewProcess(filepath.Join(r.cfg.Dir, "store.log"), filepath.Join(r.cfg.Bin, "heathershed-platform"),
		"-listen", store, "-seed", fmt.Sprint(r.cfg.Seed))
	if err := r.store.Start(); err != nil {
		return err
	}
	r.operator = &operator{ledger: r.ledger, store: store}
	if err := r.writeFirstVersion(); err != nil {
		return err
	}
	for i := range r.cfg.VMs {
		if err := r.openVM(i, store); err != nil {
			return err
		}
	}
	r.operator.vms = r.vms
	for _, v := range r.vms {
		if !v.awaitReady() {
			return errors.Newf("%s is not ready", v.name)
		}
	}
	return nil
}

func (r *run) writeFirstVersion() error {
	for deadline := time.Now().Add(storeStartTimeout); ; time.Sleep(pollInterval) {
		_, err := r.operator.writeNext(r.ctx)
		if err == nil || time.Now().After(deadline) {
			return errors.Wrap(err, "write the first configuration")
		}
	}
}

func (r *run) openVM(i int, store string) error {
	v, err := newVM(r.ledger, vmConfig{
		dir: r.cfg.Dir, bin: r.cfg.Bin, name: fmt.Sprint("vm-", i), ip: r.ip(1 + i),
		datacentre: "west", service: services[i%len(services)], store: store, workspaces: r.cfg.Workspaces,
	})
	if err != nil {
		return err
	}
	if i%len(services) > 0 {
		v.upstream.callPath = r.ledger.workspaces.callPath()
	}
	v.upstream.namesStart = i%2 > 0
	r.ledger.RecordService(v.name, v.upstream.service)
	r.vms = append(r.vms, v)
	if err := v.upstream.Start(); err != nil {
		return err
	}
	return v.start()
}

func (r *run) startClients(ctx context.Context, wg *sync.WaitGroup) {
	for i, target := range r.vms {
		for k := range r.cfg.Clients {
			c := &client{
				name: fmt.Sprintf("%s-c%d", target.name, k), target: target, ledger: r.ledger,
				rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000*i+k+10))),
			}
			wg.Go(func() { c.run(ctx) })
		}
		p := &pipeliner{name: target.name + "-pipelined", target: target, ledger: r.ledger, rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000*i+8)))}
		if !r.cfg.Workspaces { // it presents no key
			wg.Go(func() { p.run(ctx) })
		}
		if r.cfg.Crowd {
			c := &crowd{name: target.name + "-crowd", target: target, ledger: r.ledger, rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000*i+9)))}
			wg.Go(func() { c.run(ctx) })
		}
	}
}

// playFaults injects each fault at its time and waits until all have ended.
func (r *run) playFaults(plan []Event) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, e := range plan {
		r.sleep(e.At - time.Since(began))
		if r.ctx.Err() != nil {
			break
		}
		wg.Go(func() { injectorOf(e.Kind)(r, r.vms[e.VM], e) })
	}
	wg.Wait()
}

// slowdown makes every upstream slow and delays every link, while one node is
// throttled and another one shuts down gracefully. None of this excuses a
// request that is given up.
func (r *run) slowdown() {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 3))
	throttled := rng.IntN(len(r.vms))
	stopped := (throttled + 1) % len(r.vms)
	r.setHealth(Slow)
	r.setLinks(ModeDelay)
	var wg sync.WaitGroup
	wg.Go(func() { throttleNode(r, r.vms[throttled], Event{For: stopAfter}) })
	wg.Go(func() {
		r.sleep(stopAfter)
		stopNode(r, r.vms[stopped], Event{For: stopFor})
	})
	wg.Wait()
	r.setLinks(ModePass)
	r.setHealth(Healthy)
}

func (r *run) setLinks(mode Mode) {
	for _, v := range r.vms {
		v.linkProxy.SetMode(mode)
	}
}

func (r *run) setHealth(h Health) {
	for _, v := range r.vms {
		v.upstream.SetHealth(h)
	}
}

// brownout makes every upstream truncate its answers for a time, so that every
// lookup could be retried, and checks the retry budget.
func (r *run) brownout() {
	r.setHealth(Truncating)
	before := r.ledger.Counts()
	r.sleep(brownoutTime)
	r.ledger.CheckBudget(before, retryRatio, retrySlack)
	r.setHealth(Healthy)
}

func (r *run) setStore(f fake.Faults) {
	if err := r.operator.setStoreFaults(f); err != nil {
		r.fail(err)
	}
}

// awaitRecovery checks that every node serves every service again after a
// phase.
func (r *run) awaitRecovery(phase string) {
	deadline := time.Now().Add(recoveryBound)
	for i, v := range r.vms {
		for _, s := range services {
			if !r.awaitService(v, s, phase, deadline) && r.ctx.Err() == nil {
				r.ledger.AddViolation(Lost, "", fmt.Sprintf("VM %d does not serve %s %v after the last fault", i, s, recoveryBound))
			}
		}
	}
}

func (r *run) awaitService(v *vm, service, phase string, deadline time.Time) bool {
	for n := 0; r.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%s-%s-%d", phase, v.name, service, n)
		r.ledger.RecordSent(id, false)
		if r.probeService(v, service, id) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		r.sleep(probeInterval)
	}
	return false
}

func (r *run) probeService(v *vm, service, id string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	status, _ := send(ctx, &http.Transport{DisableKeepAlives: true}, r.ledger, request{
		addr: v.clientAddr, path: "/" + service + "/x", attempt: id, size: callBodySize, timeout: probeTimeout, key: r.ledger.workspaces.probeKey(),
	})
	return status == http.StatusOK
}

// shutdownAll shuts all nodes down gracefully at the same time.
func (r *run) shutdownAll() {
	var wg sync.WaitGroup
	for _, v := range r.vms {
		wg.Go(v.shutdown)
	}
	wg.Wait()
}

// close ends everything that the run started.
func (r *run) close() {
	for _, v := range r.vms {
		v.close()
	}
	r.store.Signal(syscall.SIGKILL)
	r.store.Wait(exitTimeout)
}

// TempDir creates a directory for a run's settings and logs.
func TempDir() (string, error) { return os.MkdirTemp("", "heathershed-soak-") }
