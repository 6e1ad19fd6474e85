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
	// changeInterval is the time between two configuration changes.
	changeInterval = 2 * time.Second
	// applyWithin is the time within which the nodes are told to apply a change,
	// and changeBound that after which it must be active at every node.
	applyWithin = 2 * time.Second
	changeBound = 2500 * time.Millisecond
	// settleTime is how long a fault that delays changes is taken to affect
	// later ones: changeBound applies to a change only if no such fault has been
	// active since settleTime before it.
	settleTime = 3 * time.Second
	// probesPerChange is the number of earlier versions checked with each new
	// one.
	probesPerChange = 2
)

// operator changes the configuration and sets the faults of the object API. It
// is safe for concurrent use.
type operator struct {
	ledger *Ledger
	store  string
	vms    []*vm

	mu         sync.Mutex
	version    int
	revision   uint64
	probeCount int
}

// run changes the configuration every changeInterval until the context ends,
// and waits for the checks in progress.
func (o *operator) run(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		version, err := o.writeNext(ctx)
		if err == nil { // on an error no change was accepted
			versions := []int{version}
			for range probesPerChange {
				versions = append(versions, 1+rng.IntN(version))
			}
			accepted := time.Now()
			wg.Go(func() { o.checkChange(ctx, versions, accepted) })
		}
		_ = wait.For(ctx, changeInterval)
	}
}

// checkChange checks, changeBound after a change, that every node knows the
// given versions.
func (o *operator) checkChange(ctx context.Context, versions []int, accepted time.Time) {
	if wait.For(ctx, time.Until(accepted.Add(changeBound))) != nil {
		return
	}
	o.probeAll(ctx, versions, func(target *vm) bool {
		return o.ledger.NoFaultSince(accepted.Add(-settleTime), faultStore, target.localFault(), faultNode, faultPause, faultStorePath)
	})
}

// checkAll checks after all faults that every node knows every version.
func (o *operator) checkAll(ctx context.Context) {
	o.mu.Lock()
	latest := o.version
	o.mu.Unlock()
	if wait.For(ctx, settleTime+changeBound) != nil {
		return
	}
	var versions []int
	for v := 1; v <= latest; v++ {
		versions = append(versions, v)
	}
	o.probeAll(ctx, versions, func(*vm) bool { return true })
}

// probeAll asks each node for the services of the given versions. If a node
// does not know a version, mustKnow decides whether that is a violation.
func (o *operator) probeAll(ctx context.Context, versions []int, mustKnow func(*vm) bool) {
	var wg sync.WaitGroup
	for _, target := range o.vms {
		wg.Go(func() { o.probe(ctx, target, versions, mustKnow) })
	}
	wg.Wait()
}

// writeNext writes the next version of the configuration to the object API.
func (o *operator) writeNext(ctx context.Context) (version int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version = o.version + 1
	names := slices.Clone(services)
	for v := 1; v <= version; v++ {
		names = append(names, addedService(v))
	}
	objects := platform.NewObjectClient(o.store)
	old, err := objects.Get(ctx, platform.ConfigKind, platform.ConfigName)
	if err == nil {
		o.revision = old.Revision
	}
	_, err = objects.Put(ctx, platform.ConfigKind, platform.Object{
		Name: platform.ConfigName, Revision: o.revision,
		Spec: []byte(o.ledger.workspaces.config(platformtest.Config(version, names...), version)),
	})
	if err == nil {
		o.version = version
		o.ledger.workspaces.accepted(version)
	}
	return version, err
}

// addedService is the service that a version adds. It has no upstream.
func addedService(version int) string { return fmt.Sprint("x", version) }

// probe asks a node for the services of the given versions. Status 404 says
// that it does not know the version.
func (o *operator) probe(ctx context.Context, target *vm, versions []int, mustKnow func(*vm) bool) {
	for _, v := range versions {
		status := o.send(ctx, target, v)
		if status == http.StatusNotFound && mustKnow(target) {
			o.ledger.AddViolation(Reverted, "", fmt.Sprintf("%s does not know version %d", target.name, v))
		}
	}
}

func (o *operator) send(ctx context.Context, target *vm, version int) (status int) {
	o.mu.Lock()
	o.probeCount++
	id := fmt.Sprint("probe-", o.probeCount)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	o.ledger.RecordSent(id, false)
	status, _ = send(ctx, &http.Transport{DisableKeepAlives: true}, o.ledger, request{
		addr: target.clientAddr, path: "/" + addedService(version) + "/x", attempt: id, timeout: probeTimeout, key: o.ledger.workspaces.probeKey(),
	})
	return status
}

// setStoreFaults sets the faults of the object API.
func (o *operator) setStoreFaults(f fake.Faults) error {
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
		return errors.Newf("set store faults: status %d", resp.StatusCode)
	}
	return nil
}
