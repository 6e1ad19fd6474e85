package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heathershed/platform/platformtest"
)

const (
	// A limit counts from limitStable after it was first named. From then on, an
	// upstream may get limitFactor times what it allows in any limitWindow, and
	// limitSlack requests more.
	limitStable = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// A node counts as told once it has passed an answer on toldAfter ago.
	toldAfter = 500 * time.Millisecond
	// limitTime is how long an upstream names a limit: long enough to be
	// checked for limitWindow. saidLeavingTime is how long one serves that says
	// in its answers alone that it leaves.
	limitTime       = limitStable + limitWindow + 2*time.Second
	saidLeavingTime = drainBound + 3*time.Second
	// allLimit is the limit that all upstreams name at once, in requests a
	// second. A node is killed limitKillAfter later, for limitKillFor.
	allLimit       = 5
	limitKillAfter = 3 * time.Second
	limitKillFor   = 500 * time.Millisecond
)

// limits are the ones that upstreams name, in requests a second.
var limits = []float64{0, 0.5, 2, 7.4, 20}

// nodeFault names the faults that stop or pause one node.
func nodeFault(name string) string { return "node of " + name }

// notice is what an instance says of itself.
type notice struct {
	limited, leaving bool
	limit            float64
}

// write sets the headers of an answer.
func (n notice) write(h http.Header) {
	if n.limited {
		h.Set(platformtest.HeaderLimit, strconv.FormatFloat(n.limit, 'g', -1, 64))
	}
	if n.leaving {
		h.Set(platformtest.HeaderLeaving, "1")
	}
}

// notices records what instances say in their answers, which nodes have passed
// that on, and which requests the instances get. It is safe for concurrent use.
type notices struct {
	ledger *Ledger

	mu        sync.Mutex
	instances map[string]*instanceNotices
}

// instanceNotices is what is recorded of one instance.
type instanceNotices struct {
	said    notice
	limited time.Time // when the present limit was first named
	// toldLimit and toldLeaving are when a VM's node first passed the notice on.
	toldLimit, toldLeaving map[string]time.Time
	arrivals               []arrival
}

// arrival is one request at an instance, which began at the node of a VM.
type arrival struct {
	vm string
	at time.Time
}

func newNotices(l *Ledger) *notices {
	return &notices{ledger: l, instances: make(map[string]*instanceNotices)}
}

// instance returns the record of an instance. The caller holds the lock.
func (n *notices) instance(id string) *instanceNotices {
	i := n.instances[id]
	if i == nil {
		i = &instanceNotices{toldLimit: make(map[string]time.Time), toldLeaving: make(map[string]time.Time)}
		n.instances[id] = i
	}
	return i
}

// recordSaid records what an instance says from now on. Another limit counts
// anew.
func (n *notices) recordSaid(id string, said notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.instance(id)
	if said.limited != i.said.limited || said.limit != i.said.limit {
		i.limited, i.arrivals, i.toldLimit = time.Now(), nil, make(map[string]time.Time)
	}
	i.said = said
}

// recordPassedOn records that the node of a VM has passed an answer on to its
// client. A node that was told before a fault of its own is told anew.
func (n *notices) recordPassedOn(vm string, h http.Header) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.instance(h.Get(platformtest.HeaderInstance))
	if i.said.limited && h.Get(platformtest.HeaderLimit) != "" {
		n.tell(i.toldLimit, vm)
	}
	if h.Get(platformtest.HeaderLeaving) != "" {
		n.tell(i.toldLeaving, vm)
	}
}

func (n *notices) tell(told map[string]time.Time, vm string) {
	if at, known := told[vm]; !known || !n.binds(vm, at) {
		told[vm] = time.Now()
	}
}

// binds reports whether a node that was told at a time must still know it: it
// was neither stopped, paused nor cut off since.
func (n *notices) binds(vm string, told time.Time) bool {
	return n.ledger.NoFaultSince(told, nodeFault(vm), linkFault(vm))
}

// recordArrival records a request that an instance gets and reports the
// violations that it makes. sent is when the client sent it to the node of vm.
func (n *notices) recordArrival(id, attempt, vm string, sent time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.instance(id)
	if told, known := i.toldLeaving[vm]; known && sent.After(told.Add(drainBound)) && n.binds(vm, told) {
		n.ledger.AddViolation(LateLeave, attempt, fmt.Sprintf("sent at %s %v after that had passed on that %s leaves", vm, sent.Sub(told).Round(time.Millisecond), id))
	}
	if i.said.limited {
		i.arrivals = append(i.arrivals, arrival{vm: vm, at: time.Now()})
		n.checkLimit(id, attempt, i)
	}
}

// checkLimit compares the requests of the last limitWindow with the limit. The
// caller holds the lock.
func (n *notices) checkLimit(id, attempt string, i *instanceNotices) {
	now := time.Now()
	if now.Before(i.limited.Add(limitStable)) || !n.ledger.NoFaultSince(now.Add(-limitWindow), faultUpstreamPath) {
		return
	}
	count := 0
	for _, a := range i.arrivals {
		told, known := i.toldLimit[a.vm]
		if known && now.Sub(a.at) <= limitWindow && a.at.After(told.Add(toldAfter)) && n.binds(a.vm, told) {
			count++
		}
	}
	if bound := limitFactor*i.said.limit*limitWindow.Seconds() + limitSlack; float64(count) > bound {
		n.ledger.AddViolation(OverLimit, attempt, fmt.Sprintf("%s named a limit of %v a second and got %d requests in %v", id, i.said.limit, count, limitWindow))
	}
}

// setNotice changes what the upstream says of itself in its answers until its
// next start.
func (u *Upstream) setNotice(change func(*notice)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.notice)
	u.ledger.notices.recordSaid(u.id, u.notice)
}

func (u *Upstream) setLimit(limit float64) {
	u.setNotice(func(n *notice) { n.limited, n.limit = true, limit })
}

func (u *Upstream) endLimit() { u.setNotice(func(n *notice) { n.limited, n.limit = false, 0 }) }

func (u *Upstream) sayLeaving() { u.setNotice(func(n *notice) { n.leaving = true }) }

// limitUpstream makes one upstream name a limit for limitTime.
func limitUpstream(r *run, v *vm, e Event) {
	v.upstream.setLimit(limits[e.Draw%uint64(len(limits))])
	r.sleep(limitTime)
	v.upstream.endLimit()
}

// leaveInAnswers makes an upstream say that it leaves in its answers alone: its
// heartbeats go on to say that it is ready.
func leaveInAnswers(r *run, v *vm, e Event) {
	r.restartUpstream(v, e, func() {
		v.upstream.sayLeaving()
		r.sleep(saidLeavingTime)
	})
}

// limitAll makes every upstream name a limit far below the traffic, while a node
// is killed and comes back.
func (r *run) limitAll() {
	for _, v := range r.vms {
		v.upstream.setLimit(allLimit)
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.sleep(limitTime) })
	wg.Go(func() {
		r.sleep(limitKillAfter)
		killNode(r, r.vms[r.cfg.Seed%uint64(len(r.vms))], Event{For: limitKillFor})
	})
	wg.Wait()
	for _, v := range r.vms {
		v.upstream.endLimit()
	}
}
