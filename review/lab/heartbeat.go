package main

import (
	"fmt"
	"time"
)

func init() {
	cases["odd-heartbeat"] = oddHeartbeat
	cases["late-heartbeat"] = lateHeartbeat
}

// foreignRuns counts the runs at t whose caller service isn't that of the machine
// where the request began.
func foreignRuns(t *target, since int, want string) int {
	n := 0
	for _, r := range t.runsSince(since) {
		if r.caller != want {
			n++
		}
	}
	return n
}

// watchCallers sends requests from both machines for a while and returns how many ran
// under the name of a wrong service, and how many found no target of service A.
func (p *pair) watchCallers(length time.Duration) (foreign, unserved int) {
	since := len(p.tb.runsSince(0))
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		p.request(p.a, "POST", "/b-order/", "x=1")
		if p.ask(p.b, "/a/").status != 200 {
			unserved++
		}
	}
	return foreignRuns(p.tb, since, serviceA), unserved
}

// oddHeartbeat sends one heartbeat that names a service that no configuration has.
func oddHeartbeat(l *lab) (bool, error) {
	p, err := startPair(l)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		body := fmt.Sprintf(`{"service":"svc-unnamed","address":%q,"zone":"plateau","version":"v1","capacity":32,"state":"ready","warmupLeft":"0ms","seq":1,"born":%d}`, p.ta.address, bornA+500)
		status := l.post(p.a.heartbeats, "/v1/Instances.Heartbeat/i-other", body)
		l.logf("another writer sends one heartbeat to machine-a: status %d, %s", status, body)
	}
	foreign, unserved := p.watchCallers(20 * time.Second)
	l.logf("%d requests of machine-a ran under a service that isn't its own; %d requests to service A found no target though it beats and is idle", foreign, unserved)
	return foreign > 0, nil
}

// reuseDelay is the time after which the address of a target that has ended may be used
// again, and lateBy how long the held heartbeat is on its way.
const (
	reuseDelay = 2 * time.Second
	lateBy     = 4 * time.Second
)

// lateHeartbeat lets a machine be lost with its target, and another machine with a target
// of another service take over its addresses. A heartbeat of the first target, which a
// partition has held up, arrives after that.
func lateHeartbeat(l *lab) (bool, error) {
	p, err := startPair(l)
	if err != nil {
		return false, err
	}
	const serviceC = "svc-c"
	if err := l.putConfig(configOf(4, append(pairRoutes, route{"/c/", "idempotent", serviceC})...)); err != nil {
		return false, err
	}
	first, err := l.startMachine("machine-c1", "pikine", serviceC, "i-c1", bornA+2000)
	if err != nil {
		return false, err
	}
	other, err := l.startMachine("machine-c2", "pikine", serviceC, "i-c2", bornA+3000)
	if err != nil {
		return false, err
	}
	err = await(15*time.Second, func() bool {
		return first.node.isReady() && other.node.isReady() && first.target.ackedBeats() > 1 && other.target.ackedBeats() > 1 && p.ask(p.b, "/c/").status == 200
	})
	if err != nil {
		return false, err
	}
	path, body := first.target.heartbeat()
	sent := time.Now()
	l.logf("%s sends a heartbeat, which is held up: %s", first.target.id, body)
	first.target.stop()
	first.node.kill()
	l.logf("machine-c1 and its target are lost")
	time.Sleep(reuseDelay + 100*time.Millisecond)
	next, err := l.reuse("machine-a2", "plateau", serviceA, "i-a2", bornA+60_000, first.node)
	if err != nil {
		return false, err
	}
	err = await(15*time.Second, func() bool { return next.node.isReady() && next.target.ackedBeats() > 1 })
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(sent.Add(lateBy)))
	if l.trouble {
		status := l.post(next.node.heartbeats, path, body)
		l.logf("the heartbeat of i-c1 arrives %d ms late, at machine-a2: status %d", time.Since(sent).Milliseconds(), status)
	}
	since := len(p.tb.runsSince(0))
	const orders, perLookup = 120, 10 // a lookup of service C each second
	for i := range orders {
		p.request(next.node, "POST", "/b-order/", "x=1")
		if i%perLookup == perLookup-1 {
			p.ask(p.b, "/c/")
		}
		time.Sleep(100 * time.Millisecond)
	}
	foreign := foreignRuns(p.tb, since, serviceA)
	l.logf("%d requests that began at machine-a2, which runs %s, ran under another service", foreign, serviceA)
	return foreign > 0, nil
}

// machine is a sidecar with the target beside it.
type machine struct {
	node   *node
	target *target
}

func (l *lab) startMachine(name, zone, service, id string, born int64) (machine, error) {
	n, err := l.newNode(name, zone, service)
	if err != nil {
		return machine{}, err
	}
	return l.runMachine(n, id, service, born)
}

// reuse starts a machine at the addresses of one that is gone.
func (l *lab) reuse(name, zone, service, id string, born int64, gone *node) (machine, error) {
	n, err := l.newNodeAt(name, zone, service, &gone.addresses)
	if err != nil {
		return machine{}, err
	}
	return l.runMachine(n, id, service, born)
}

func (l *lab) runMachine(n *node, id, service string, born int64) (machine, error) {
	if err := n.start(); err != nil {
		return machine{}, err
	}
	t, err := l.newTarget(n, id, service, born)
	if err != nil {
		return machine{}, err
	}
	t.heartbeats(beatInterval)
	return machine{n, t}, nil
}
