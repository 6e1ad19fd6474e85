package antientropy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

func digestOf(vms ...string) Digest {
	var d Digest
	for _, vm := range vms {
		d.Add(vm, "127.0.0.1:1", "s")
	}
	return d
}

func TestDigestIgnoresOrder(t *testing.T) {
	if digestOf("a", "b", "c") != digestOf("c", "a", "b") {
		t.Error("the digest depends on the order")
	}
	if digestOf("a") == digestOf("b") || digestOf("a") == digestOf("a", "b") {
		t.Error("different sets have one digest")
	}
	var moved Digest
	moved.Add("a", "127.0.0.1:2", "s")
	if moved == digestOf("a") {
		t.Error("a member at another address has the same digest")
	}
}

func TestBegin(t *testing.T) {
	own, more := digestOf("a", "b"), digestOf("a", "b", "c")
	cases := []struct {
		name   string
		before func(p *Puller)
		theirs Digest
		after  time.Duration
		want   bool
	}{
		{"same members", func(*Puller) {}, own, 0, false},
		{"more members", func(*Puller) {}, more, 0, true},
		{"other members", func(*Puller) {}, digestOf("a", "c"), 0, true},
		{"fewer members", func(*Puller) {}, digestOf("c"), 0, true},
		{"fewer members, after another pull", func(p *Puller) { p.Begin(epoch, "y", own, more, 0); p.Answered("y", more) }, digestOf("c"), smallerAfter / 2, false},
		{"another pull has no answer yet", func(p *Puller) { p.Begin(epoch, "y", own, more, 0) }, more, answerTimeout / 2, false},
		{"another pull was never answered", func(p *Puller) { p.Begin(epoch, "y", own, more, 0) }, more, answerTimeout, true},
		{"the node of another pull is gone", func(p *Puller) { p.Begin(epoch, "y", own, more, 0); p.Closed("y") }, more, minPause, true},
		{"just after another pull", func(p *Puller) { p.Begin(epoch, "y", own, more, 0); p.Answered("y", more) }, more, minPause / 2, false},
		{"a while after another pull", func(p *Puller) { p.Begin(epoch, "y", own, more, 0); p.Answered("y", more) }, more, minPause, true},
		{"pulled in this state", func(p *Puller) { p.Answered("x", more) }, more, time.Hour, false},
		{"pulled in this state, linked anew", func(p *Puller) { p.Answered("x", more); p.Closed("x") }, more, 0, true},
		{"pulled in an earlier state", func(p *Puller) { p.Answered("x", own) }, more, 0, true},
	}
	for _, c := range cases {
		p := New()
		c.before(p)
		if got := p.Begin(epoch.Add(c.after), "x", own, c.theirs, 0); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// node is a node of a simulated fleet.
type node struct {
	vm    string
	known map[string]bool
	links []int // nodes that it exchanges frames with
	p     *Puller
	pulls int
	bytes int
}

func (n *node) digest() Digest {
	var d Digest
	for vm := range n.known {
		d.Add(vm, "127.0.0.1:1", "s")
	}
	return d
}

// memberBytes is about the size of one member in a frame.
const memberBytes = 100

// simulate lets a fleet of the size start service by service: each node is first
// known to few of the others. It returns the nodes and the time until all know all.
func simulate(t *testing.T, size int) (nodes []*node, took time.Duration) {
	t.Helper()
	const (
		links = 12
		step  = 50 * time.Millisecond
		limit = 10 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, uint64(size)))
	for i := range size {
		n := &node{vm: fmt.Sprint("vm-", i), known: map[string]bool{}, p: New()}
		n.known[n.vm] = true
		nodes = append(nodes, n)
		for range min(links, i) {
			o := rng.IntN(i)
			n.links, nodes[o].links = append(n.links, o), append(nodes[o].links, i)
			n.known[nodes[o].vm], nodes[o].known[n.vm] = true, true
		}
	}
	settled := func() bool {
		for _, n := range nodes {
			if len(n.known) < size {
				return false
			}
		}
		return true
	}
	for ; !settled(); took += step {
		if took > limit {
			t.Fatalf("%d nodes: not all members known after %v", size, limit)
		}
		now := epoch.Add(took)
		for _, n := range nodes {
			from := nodes[n.links[rng.IntN(len(n.links))]]
			theirs := from.digest()
			if !n.p.Begin(now, from.vm, n.digest(), theirs, rng.Uint64()) {
				continue
			}
			n.pulls++
			n.bytes += memberBytes * len(from.known)
			for vm := range from.known {
				n.known[vm] = true
			}
			n.p.Answered(from.vm, theirs)
		}
	}
	return nodes, took
}

// TestAllMembersAreKnownSoonAfterAStart also counts what that costs.
func TestAllMembersAreKnownSoonAfterAStart(t *testing.T) {
	const maxPulls = 8
	for size, maxTime := range map[int]time.Duration{100: 2 * time.Second, 600: 3 * time.Second} {
		nodes, took := simulate(t, size)
		most, bytes := 0, 0
		for _, n := range nodes {
			most = max(most, n.pulls)
			bytes += n.bytes
		}
		t.Logf("%d nodes: all known after %v, at most %d pulls and %d KB a node", size, took, most, bytes/size/1000)
		if took > maxTime || most > maxPulls {
			t.Errorf("%d nodes: took %v, at most %d pulls a node; want at most %v and %d", size, took, most, maxTime, maxPulls)
		}
	}
}

// TestLastingDifferenceCausesNoPulls guards against two nodes that pull for ever
// because one of them refuses a member that the other knows.
func TestLastingDifferenceCausesNoPulls(t *testing.T) {
	own, theirs := digestOf("a", "b"), digestOf("a", "b", "gone")
	p, pulls := New(), 0
	for i := range 1000 {
		if p.Begin(epoch.Add(time.Duration(i)*time.Second), "x", own, theirs, 0) {
			pulls++
			p.Answered("x", theirs)
		}
	}
	if pulls != 1 {
		t.Errorf("got %d pulls, want 1", pulls)
	}
}
