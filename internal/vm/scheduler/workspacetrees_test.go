package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"heathershed/internal/contract"
	"heathershed/internal/fairshare"
)

// treeWorkspaces is the number of workspaces in a simulation with shares. Those but
// the first stay within their share.
const treeWorkspaces = 8

// workspacesLast ends the requests that count, which begin with the step of the load:
// later ones may not have ended when the simulation does.
const workspacesLast = treeEnd - 2500*time.Millisecond

// A workspaceSim is a treeSim whose clients belong to workspaces.
type workspaceSim struct {
	*treeSim
	sharers map[*treeNode]*fairshare.Sharer
	// unshared ranks requests by chance, as without workspaces.
	unshared        bool
	offered, served [treeWorkspaces]int // of those that count
}

// threeDeep is a layout of lookups that make two calls at the end of their chain.
func threeDeep() treeLayout {
	last := &treeKind{name: "last", nested: true, service: "last", work: 50 * time.Millisecond, timeout: 700 * time.Millisecond}
	middle := &treeKind{name: "middle", nested: true, service: "middle", work: 20 * time.Millisecond, timeout: 1500 * time.Millisecond, calls: []*treeKind{last, last}}
	return treeLayout{
		services: []treeService{
			{"first", 64, []float64{1, 1, 1, 1}, 1},
			{"middle", 64, []float64{0.8, 1, 1.2, 1}, 1},
			{"last", 10, []float64{0.6, 0.8, 1, 1.2, 1.4}, 1},
		},
		lookup:  &treeKind{name: "lookup", service: "first", class: contract.ClassLookup, work: 30 * time.Millisecond, timeout: 2 * time.Second, calls: []*treeKind{middle}},
		details: last, perTree: 2,
		order: &treeKind{name: "order"}, file: &treeKind{name: "file", work: 1},
	}
}

// offer lets a workspace send lookups at a rate per second.
func (s *workspaceSim) offer(workspace int, rate func(time.Duration) float64) {
	gap := time.Duration(s.rng.ExpFloat64() / rate(s.since(at(0))) * float64(time.Second))
	s.after(gap, func() {
		counts := s.since(at(0)) >= treeStart && s.since(at(0)) < workspacesLast
		if counts {
			s.offered[workspace]++
		}
		s.client(workspace, counts, true)
		s.offer(workspace, rate)
	})
}

// client sends a lookup, and once more if it was refused and may return.
func (s *workspaceSim) client(workspace int, counts, mayReturn bool) {
	k, n := s.layout.lookup, s.nodes[s.rng.IntN(len(s.nodes))]
	name := fmt.Sprint("w", workspace)
	draw := s.rng.Float64()
	rank, ok := s.sharers[n].Rank(s.now, k.class, name, draw)
	if s.unshared || !ok {
		rank, name = uint16(draw*contract.RanksPerClass), ""
	}
	level, threshold := contract.LevelOf(k.class, rank), n.pressure.Threshold(s.now, k.service, k.name)
	if level < threshold {
		if mayReturn {
			s.after(150*time.Millisecond+time.Duration(s.rng.IntN(350))*time.Millisecond, func() { s.client(workspace, counts, false) })
		}
		return
	}
	s.send(n, &treeCall{kind: k, level: level, admitted: threshold, workspace: name, deadline: s.now.Add(k.timeout), ended: func(ok bool) {
		if ok && counts {
			s.served[workspace]++
		}
	}})
}

// simulateWorkspaces simulates workspaces with the given rates a second until treeEnd,
// and returns the served share of the requests of each that count.
func simulateWorkspaces(seed uint64, unshared bool, rates [treeWorkspaces]func(time.Duration) float64) (served [treeWorkspaces]float64) {
	s := &workspaceSim{treeSim: newTreeSim(seed, threeDeep()), sharers: make(map[*treeNode]*fairshare.Sharer), unshared: unshared}
	for _, n := range s.nodes {
		s.sharers[n] = &fairshare.Sharer{}
	}
	for w, rate := range rates {
		if rate != nil {
			s.offer(w, rate)
		}
	}
	s.run(treeEnd)
	for w := range served {
		served[w] = float64(s.served[w]) / float64(max(s.offered[w], 1))
	}
	return served
}

// TestWorkspaceWithinItsShareIsServedAsAlone guards against a workspace at ten times
// its share whose requests take slots from those of the others, at the ingress or in
// the queue of any service below. The bound of a single seed allows for a threshold
// that swings, as it does without workspaces too.
func TestWorkspaceWithinItsShareIsServedAsAlone(t *testing.T) {
	const (
		minServed = 0.95 // of what the workspace gets alone, the mean over the seeds
		minLowest = 0.8  // the same, in the worst seed
		within    = 0.8  // of the share
		beyond    = 10   // times the share
	)
	layout := threeDeep()
	share := layout.fits() / treeWindow.Seconds() / treeWorkspaces
	steady := func(time.Duration) float64 { return within * share }
	surge := func(since time.Duration) float64 {
		if since < treeStart {
			return within * share
		}
		return beyond * share
	}
	rates := [treeWorkspaces]func(time.Duration) float64{surge, steady, steady, steady, steady, steady, steady, steady}
	var sims sync.WaitGroup
	var crowd [treeSeeds][treeWorkspaces]float64
	var alone [treeSeeds]float64
	for seed := range treeSeeds {
		sims.Go(func() { crowd[seed] = simulateWorkspaces(uint64(seed), false, rates) })
		sims.Go(func() {
			alone[seed] = simulateWorkspaces(uint64(seed), false, [treeWorkspaces]func(time.Duration) float64{1: steady})[1]
		})
	}
	sims.Wait()
	for w, served := range simulateWorkspaces(0, true, rates) {
		if served >= minServed {
			t.Errorf("workspace %d is served %.3f with ranks by chance: the load does not need shares", w, served)
		}
	}
	for w := 1; w < treeWorkspaces; w++ {
		mean, lowest := 0.0, 1.0
		for seed := range treeSeeds {
			got := crowd[seed][w] / alone[seed]
			mean += got / treeSeeds
			lowest = min(lowest, got)
		}
		t.Logf("workspace %d: served %.3f of what it gets alone, %.3f in the worst seed", w, mean, lowest)
		if mean < minServed || lowest < minLowest {
			t.Errorf("workspace %d was served %.3f of what it gets alone, %.3f in the worst seed; want at least %v, %v", w, mean, lowest, minServed, minLowest)
		}
	}
	for seed := range treeSeeds {
		t.Logf("seed %d: served %.3f, alone %.3f", seed, crowd[seed], alone[seed])
	}
}
