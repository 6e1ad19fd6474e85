package soak

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"heathershed/internal/platform/fake"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

// The shape of the deployment that TestChangesAreActiveInEveryProcess starts.
const (
	numProcesses   = 12
	numDatacentres = 4
	// startGap is the time between the starts of two processes.
	startGap = 400 * time.Millisecond
	// extraServices make the configuration as large as 2,000 routes.
	extraServices = 1000
	// stormGap is the time between two changes of a storm.
	stormGap = 250 * time.Millisecond
)

// deployment is a set of processes with a machine between each of them and the
// object API.
type deployment struct {
	*run
	t       *testing.T
	objects *platform.ObjectClient
	names   []string
	version int
	checks  sync.WaitGroup
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	r := &run{cfg: Config{Bin: build(t), Dir: t.TempDir(), Net: testNet()}, ctx: t.Context(), ledger: NewLedger(time.Now())}
	store := r.ip(250) + ":7400"
	r.store = NewProcess(filepath.Join(r.cfg.Dir, "store.log"), filepath.Join(r.cfg.Bin, "heathershed-platform"), "-listen", store)
	t.Cleanup(r.close)
	if err := r.store.Start(); err != nil {
		t.Fatal(err)
	}
	d := &deployment{run: r, t: t, objects: platform.NewObjectClient(store)}
	r.operator = &operator{ledger: r.ledger, store: store}
	for i := range extraServices {
		d.names = append(d.names, fmt.Sprint("extra", i))
	}
	for deadline := time.Now().Add(storeStartTimeout); d.write() != nil; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatal("the stand-in of the object API does not start")
		}
	}
	for i := range numProcesses {
		d.startProcess(i, store)
		time.Sleep(startGap)
	}
	for _, v := range r.vms {
		if !v.awaitReady() {
			t.Fatal(v.name, " is not ready")
		}
	}
	return d
}

func (d *deployment) startProcess(i int, store string) {
	d.t.Helper()
	v, err := newVM(d.ledger, vmConfig{
		dir: d.cfg.Dir, bin: d.cfg.Bin, name: fmt.Sprint("vm-", i), ip: d.ip(1 + i),
		datacentre: fmt.Sprint("dc", i%numDatacentres), service: services[i%len(services)], store: store,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.vms = append(d.vms, v)
	if err := v.upstream.Start(); err != nil {
		d.t.Fatal(err)
	}
	if err := v.start(); err != nil {
		d.t.Fatal(err)
	}
}

// write writes the next version, which adds a route.
func (d *deployment) write() error {
	next := d.version + 1
	names := append(append([]string{}, d.names...), addedService(next))
	o := platform.Object{Name: platform.ConfigName}
	if old, err := d.objects.Get(d.t.Context(), platform.ConfigKind, platform.ConfigName); err == nil {
		o = old
	}
	o.Spec = []byte(platformtest.Config(next, names...))
	if _, err := d.objects.Put(d.t.Context(), platform.ConfigKind, o); err != nil {
		return err
	}
	d.version, d.names = next, names
	return nil
}

// change writes the next version and checks, applyWithin later, that every
// process knows it.
func (d *deployment) change(when string) {
	d.t.Helper()
	if err := d.write(); err != nil {
		d.t.Fatal(err)
	}
	version := d.version
	d.checks.Go(func() {
		time.Sleep(applyWithin)
		d.checkKnown(when, version)
	})
}

func (d *deployment) checkKnown(when string, version int) {
	var all sync.WaitGroup
	for _, v := range d.vms {
		all.Go(func() {
			if status := d.operator.send(d.ctx, v, version); status == http.StatusNotFound {
				d.t.Errorf("%s: %s does not know version %d %v after it was accepted", when, v.name, version, applyWithin)
			}
		})
	}
	all.Wait()
}

func (d *deployment) storm(when string, changes int) {
	d.t.Helper()
	for range changes {
		d.change(when)
		time.Sleep(stormGap)
	}
	d.checks.Wait()
}

func TestChangesAreActiveInEveryProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	d := newDeployment(t)
	time.Sleep(settleTime)
	d.storm("undisturbed", 8)
	for range 3 {
		for _, v := range d.vms {
			v.storeProxy.BlackholeAll()
		}
		time.Sleep(settleTime)
		d.change("silent connections to the store")
		time.Sleep(stormGap)
	}
	d.checks.Wait()
	for _, v := range d.vms {
		v.storeProxy.BlackholeAll()
		v.linkProxy.BlackholeAll()
	}
	time.Sleep(settleTime)
	d.storm("silent connections to the store and between nodes", 8)
	if err := d.operator.setStoreFaults(fake.Faults{Rejected: 1}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleTime)
	if err := d.operator.setStoreFaults(fake.Faults{}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(settleTime)
	d.storm("after a store that rejected all calls", 4)
	for _, v := range d.vms {
		v.kill()
		time.Sleep(startGap)
		if err := v.start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(settleTime)
	d.storm("after restarts one by one", 4)
}
