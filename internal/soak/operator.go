package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/wire"
	"heathershed/internal/wait"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

const (
	// changeEvery is the time between two changes.
	changeEvery = 2 * time.Second
	// changeBound is the time in which a change is in force at every node.
	changeBound = 2500 * time.Millisecond
	// settleBound is how long nothing that delays a change may have happened
	// before it for the bound to hold.
	settleBound = 3 * time.Second
	// probes is how many earlier changes are looked at with each new one.
	probes = 2
)

// operator changes the configuration and sets the faults of the object API. It
// is safe for concurrent use.
type operator struct {
	ledger   *Ledger
	store    string
	machines []*machine

	mu       sync.Mutex
	version  int
	revision uint64
	probed   int
}

// run changes the configuration from time to time until the context ends, and
// waits for what is being checked.
func (o *operator) run(ctx context.Context, random *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		version, err := o.write(ctx)
		if err == nil { // else nothing has been accepted
			known := []int{version}
			for range probes {
				known = append(known, 1+random.IntN(version))
			}
			accepted := time.Now()
			all.Go(func() { o.check(ctx, known, accepted) })
		}
		_ = wait.For(ctx, changeEvery)
	}
}

// check looks some time after a change whether all nodes know it and earlier
// ones.
func (o *operator) check(ctx context.Context, known []int, accepted time.Time) {
	if wait.For(ctx, time.Until(accepted.Add(changeBound))) != nil {
		return
	}
	o.probeAll(ctx, known, func(m *machine) bool {
		return o.ledger.NoFaultSince(accepted.Add(-settleBound), faultStore, m.ownFault(), faultNode, faultPause, faultStoreWay)
	})
}

// checkAll looks after all faults whether every node knows every change.
func (o *operator) checkAll(ctx context.Context) {
	o.mu.Lock()
	versions := o.version
	o.mu.Unlock()
	if wait.For(ctx, settleBound+changeBound) != nil {
		return
	}
	var known []int
	for v := 1; v <= versions; v++ {
		known = append(known, v)
	}
	o.probeAll(ctx, known, func(*machine) bool { return true })
}

// probeAll asks each node for the services of some versions; calm tells
// afterwards whether a node must have known them.
func (o *operator) probeAll(ctx context.Context, versions []int, calm func(*machine) bool) {
	var all sync.WaitGroup
	for _, m := range o.machines {
		all.Go(func() { o.probe(ctx, m, versions, calm) })
	}
	all.Wait()
}

// write puts the next version into the object API.
func (o *operator) write(ctx context.Context) (version int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version = o.version + 1
	all := slices.Clone(services)
	for v := 1; v <= version; v++ {
		all = append(all, added(v))
	}
	objects := platform.NewObjectClient(o.store)
	old, err := objects.Get(ctx, platform.ConfigKind, platform.ConfigName)
	if err == nil {
		o.revision = old.Revision
	}
	_, err = objects.Put(ctx, platform.ConfigKind, platform.Object{
		Name: platform.ConfigName, Revision: o.revision,
		Spec: []byte(platformtest.Config(version, all...)),
	})
	if err == nil {
		o.version = version
	}
	return version, err
}

// added is the service that a version adds; it has no upstream.
func added(version int) string { return fmt.Sprint("x", version) }

// probe asks a node for the services of some versions: 404 says that it does not
// know them.
func (o *operator) probe(ctx context.Context, m *machine, versions []int, calm func(*machine) bool) {
	for _, v := range versions {
		status := o.ask(ctx, m, v)
		if status == http.StatusNotFound && calm(m) {
			o.ledger.AddViolation(Reverted, "", fmt.Sprintf("%s does not know version %d", m.name, v))
		}
	}
}

func (o *operator) ask(ctx context.Context, m *machine, version int) (status int) {
	o.mu.Lock()
	o.probed++
	id := fmt.Sprint("probe-", o.probed)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probePatience)
	defer cancel()
	o.ledger.RecordSent(id, false)
	status, _ = ask(ctx, &http.Transport{DisableKeepAlives: true}, o.ledger, request{
		at: m.clients, path: "/" + added(version) + "/x", attempt: id, left: probePatience,
	})
	return status
}

// set sets the faults of the object API.
func (o *operator) set(f fake.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+o.store+wire.PathFaults, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("faults: status %d", resp.StatusCode)
	}
	return nil
}
