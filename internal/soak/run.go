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

// Config is one run.
type Config struct {
	// Bin is the directory of the programs, Dir that of settings and logs.
	Bin, Dir string
	Seed     uint64
	// VMs is the number of VMs, Clients that of clients at each.
	VMs, Clients int
	// Length is how long faults begin.
	Length time.Duration
	// Net is the second and third byte of the loopback addresses.
	Net string
}

const (
	// recoverBound is the time after the last fault in which every service
	// answers at every node again.
	recoverBound = 10 * time.Second
	// brownoutTime is shorter than the window of repeats.
	brownoutTime = 5 * time.Second
	// stopAfter is how long all upstreams have been slow when a node stops, and
	// stopFor how long it is away.
	stopAfter = 2 * time.Second
	stopFor   = time.Second
	// storeStart is how long the object API's stand-in has to start.
	storeStart = 5 * time.Second
	// pollEvery is the time between two looks at what is awaited.
	pollEvery = 50 * time.Millisecond
	// askEvery is the time between two requests that look for recovery.
	askEvery = 100 * time.Millisecond
)

// services have each about the same number of upstreams.
var services = []string{"a", "b", "c"}

// Report is what a run found.
type Report struct {
	Plan       []Event
	Violations []Violation
	Summary    string
}

// run is a run under way.
type run struct {
	cfg      Config
	ctx      context.Context
	ledger   *Ledger
	machines []*machine
	operator *operator
	store    *Process

	mu     sync.Mutex
	failed error
}

// Run starts the programs, breaks what the plan says and returns what was found.
// The error is of the run itself.
func Run(ctx context.Context, cfg Config) (Report, error) {
	r := &run{cfg: cfg, ctx: ctx, ledger: NewLedger(time.Now())}
	report := Report{Plan: NewPlan(cfg.Seed, cfg.VMs, cfg.Length)}
	defer r.close()
	if err := r.open(); err != nil {
		return report, err
	}
	clients, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	r.startClients(clients, &all)
	all.Go(func() { r.operator.run(clients, rand.New(rand.NewPCG(cfg.Seed, 2))) })
	r.play(report.Plan)
	r.brownout()
	r.awaitRecovery("cut")
	r.slowdown()
	r.awaitRecovery("slow")
	r.operator.checkAll(ctx)
	cancel()
	all.Wait()
	r.stopAll()
	report.Violations, report.Summary = r.ledger.Violations(), r.ledger.Summary()
	return report, r.failed
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = errors.CombineErrors(r.failed, err)
}

func (r *run) ip(n int) string { return fmt.Sprintf("127.%s.%d", r.cfg.Net, n) }

// open starts the object API, the machines and their upstreams.
func (r *run) open() error {
	store := r.ip(250) + ":7400"
	r.store = NewProcess(filepath.Join(r.cfg.Dir, "store.log"), filepath.Join(r.cfg.Bin, "heathershed-platform"),
		"-listen", store, "-seed", fmt.Sprint(r.cfg.Seed))
	if err := r.store.Start(); err != nil {
		return err
	}
	r.operator = &operator{ledger: r.ledger, store: store}
	if err := r.firstVersion(); err != nil {
		return err
	}
	for i := range r.cfg.VMs {
		if err := r.openMachine(i, store); err != nil {
			return err
		}
	}
	r.operator.machines = r.machines
	for _, m := range r.machines {
		if !m.awaitReady() {
			return errors.Newf("%s is not ready", m.name)
		}
	}
	return nil
}

func (r *run) firstVersion() error {
	for until := time.Now().Add(storeStart); ; time.Sleep(pollEvery) {
		_, err := r.operator.write(r.ctx)
		if err == nil || time.Now().After(until) {
			return errors.Wrap(err, "first configuration")
		}
	}
}

func (r *run) openMachine(i int, store string) error {
	m, err := newMachine(r.ledger, place{
		dir: r.cfg.Dir, bin: r.cfg.Bin, name: fmt.Sprint("vm-", i), ip: r.ip(1 + i),
		service: services[i%len(services)], store: store,
	})
	if err != nil {
		return err
	}
	if i%len(services) > 0 {
		m.upstream.callPath = "/" + services[0] + "/below"
	}
	r.machines = append(r.machines, m)
	if err := m.upstream.Start(); err != nil {
		return err
	}
	return m.start()
}

func (r *run) startClients(ctx context.Context, all *sync.WaitGroup) {
	for i, m := range r.machines {
		for k := range r.cfg.Clients {
			c := &client{
				name: fmt.Sprintf("%s-c%d", m.name, k), m: m, ledger: r.ledger,
				random: rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000*i+k+10))),
			}
			all.Go(func() { c.run(ctx) })
		}
	}
}

// play causes each fault at its time and waits until all have ended.
func (r *run) play(plan []Event) {
	began := time.Now()
	var all sync.WaitGroup
	for _, e := range plan {
		r.last(e.At - time.Since(began))
		if r.ctx.Err() != nil {
			break
		}
		all.Go(func() { causeOf(e.Kind)(r, r.machines[e.VM], e) })
	}
	all.Wait()
}

// slowdown makes every upstream slow and delays every link, while one node is
// short of processor time and another one stops in order. Nothing in it excuses a
// request given up.
func (r *run) slowdown() {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 3))
	starved := random.IntN(len(r.machines))
	stops := (starved + 1) % len(r.machines)
	r.setAll(Slow)
	r.setLinks(ModeDelay)
	var all sync.WaitGroup
	all.Go(func() { starveNode(r, r.machines[starved], Event{For: stopAfter}) })
	all.Go(func() {
		r.last(stopAfter)
		stopNode(r, r.machines[stops], Event{For: stopFor})
	})
	all.Wait()
	r.setLinks(ModePass)
	r.setAll(Healthy)
}

func (r *run) setLinks(mode Mode) {
	for _, m := range r.machines {
		m.linkWay.SetMode(mode)
	}
}

func (r *run) setAll(h Health) {
	for _, m := range r.machines {
		m.upstream.SetHealth(h)
	}
}

// brownout makes every upstream cut its answers for a time, so that every lookup
// could be repeated, and checks the repeats.
func (r *run) brownout() {
	r.setAll(Truncating)
	before := r.ledger.Counts()
	r.last(brownoutTime)
	r.ledger.CheckBudget(before, retryRatio, retrySlack)
	r.setAll(Healthy)
}

func (r *run) setStore(f fake.Faults) {
	if err := r.operator.set(f); err != nil {
		r.fail(err)
	}
}

// awaitRecovery checks that every node serves every service again after a phase.
func (r *run) awaitRecovery(phase string) {
	until := time.Now().Add(recoverBound)
	for i, m := range r.machines {
		for _, s := range services {
			if !r.serves(m, s, phase, until) && r.ctx.Err() == nil {
				r.ledger.AddViolation(Lost, "", fmt.Sprintf("machine %d does not serve %s %v after the last fault", i, s, recoverBound))
			}
		}
	}
}

func (r *run) serves(m *machine, service, phase string, until time.Time) bool {
	for n := 0; r.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%s-%s-%d", phase, m.name, service, n)
		r.ledger.RecordSent(id, false)
		if r.asks(m, service, id) {
			return true
		}
		if time.Now().After(until) {
			return false
		}
		r.last(askEvery)
	}
	return false
}

func (r *run) asks(m *machine, service, id string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, probePatience)
	defer cancel()
	status, _ := ask(ctx, &http.Transport{DisableKeepAlives: true}, r.ledger, request{at: m.clients, path: "/" + service + "/x", attempt: id, size: callSize, left: probePatience})
	return status == http.StatusOK
}

// stopAll stops all nodes in order at the same time.
func (r *run) stopAll() {
	var all sync.WaitGroup
	for _, m := range r.machines {
		all.Go(m.stop)
	}
	all.Wait()
}

// close ends everything that was started.
func (r *run) close() {
	for _, m := range r.machines {
		m.close()
	}
	r.store.Signal(syscall.SIGKILL)
	r.store.Wait(endBound)
}

// TempDir makes a directory for a run's settings and logs.
func TempDir() (string, error) { return os.MkdirTemp("", "heathershed-soak-") }
