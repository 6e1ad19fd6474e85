package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// crashingTime is how long clients send a request that crashes upstreams, one
	// each crashInterval at one node after the other.
	crashingTime  = 8 * time.Second
	crashInterval = 150 * time.Millisecond
	// crashWork is how long an upstream runs it, crashedFor how long it is down
	// then.
	crashWork  = 30 * time.Millisecond
	crashedFor = 700 * time.Millisecond
	// It may run crashMaxLate times later than crashKnownWithin after its third
	// crash.
	crashKnownWithin = 3 * time.Second
	crashMaxLate     = 3
	// A node is killed crashKillAfter into this, and started again.
	crashKillAfter = 4 * time.Second
	crashKillFor   = 300 * time.Millisecond
)

// crashRuns counts the runs of a request that crashes upstreams. It is safe for
// concurrent use.
type crashRuns struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashRuns) add(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, at)
}

// late returns the number of runs, and of those that began later than
// crashKnownWithin after the third crash.
func (c *crashRuns) late() (runs, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.at {
		if len(c.at) >= 3 && at.Sub(c.at[2]) > crashKnownWithin+crashWork {
			late++
		}
	}
	return len(c.at), late
}

// crashing sends a request that crashes the upstreams that run it while a node is
// killed, and checks how often it runs once all nodes can know of it.
func (r *run) crashing() {
	runs := &crashRuns{}
	for _, v := range r.vms {
		v.upstream.crashUnder(runs, func() { crashUpstream(r, v, Event{For: crashedFor}) })
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		r.sleep(crashKillAfter)
		killNode(r, r.vms[len(r.vms)-1], Event{For: crashKillFor})
	})
	for n := range int(crashingTime / crashInterval) {
		wg.Go(func() { r.sendCrashing(n) })
		r.sleep(crashInterval)
	}
	wg.Wait()
	if all, late := runs.late(); late > crashMaxLate {
		r.ledger.AddViolation(Crashes, "", fmt.Sprintf("%d of %d runs later than %v after the third crash", late, all, crashKnownWithin))
	}
}

func (r *run) sendCrashing(n int) {
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	id := fmt.Sprint("crash-", n)
	r.ledger.RecordSent(id, false)
	send(ctx, transport, r.ledger, request{
		addr: r.vms[n%len(r.vms)].clientAddr, path: "/" + services[0] + "/x", attempt: id,
		size: callBodySize, timeout: probeTimeout, crash: true, key: r.ledger.workspaces.probeKey(),
	})
}

// crashUnder sets what a request that crashes upstreams does to this one.
func (u *Upstream) crashUnder(runs *crashRuns, crash func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashRuns, u.crash = runs, crash
}

// crashIfAsked crashes the upstream if the request is one that does so.
func (u *Upstream) crashIfAsked(r *http.Request) {
	u.mu.Lock()
	runs, crash := u.crashRuns, u.crash
	u.mu.Unlock()
	if crash == nil || !r.URL.Query().Has("crash") {
		return
	}
	runs.add(time.Now())
	time.Sleep(crashWork)
	go crash()
	<-r.Context().Done() // its connection is closed by the crash
	panic(http.ErrAbortHandler)
}
