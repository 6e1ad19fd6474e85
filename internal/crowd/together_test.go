package crowd

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// uploadStops announces a large body within the limit and stops in its middle.
func uploadStops(c net.Conn, path string) {
	const declared, sent = 63 << 20, 2 << 20
	if _, err := io.WriteString(c, head(path, fmt.Sprint("Content-Length: ", declared))); err != nil {
		return
	}
	_, _ = c.Write(make([]byte, sent))
}

// everyKind are the clients that send or hold too much at the port for clients.
func everyKind() []client {
	return []client{
		stopsBeforeTheEnd(64 << 10),
		stopsBeforeTheEnd(64),
		exceedsTheLimit(3*largeBody, true),
		uploadStops,
		readsSlowly(1, responseSize, 16<<10, tenth),
		readsSlowly(200, 8<<10, 4<<10, tenth),
		readsSlowly(50, 60<<10, 4<<10, tenth),
		doesNotReadAndSends,
	}
}

// Guards against bounds that hold one by one and not together, and against large bodies
// that keep all slots of an upstream.
func TestAllClientsAtOnceStayWithinTheMemory(t *testing.T) {
	const number = 100
	f := startFleet(t, largeBody)
	n := f.nodes[0]
	var scrapers sync.WaitGroup
	scrapers.Go(func() {
		closeAll := f.runAt(n.cfg.Metrics, []string{""}, number, sendsLongHead, doesNotReadMetrics)
		defer closeAll()
		time.Sleep(ioTimeout)
	})
	closeAll := f.runAt(n.cfg.Clients, []string{"/a-order/", "/b-order/"}, number, everyKind()...)
	waitFor(t, "an ordinary request is answered beside the clients", func() bool { return n.request("GET", "/b/", nil) == nil })
	scrapers.Wait()
	connections := number * (len(everyKind()) + 2)
	for _, m := range f.nodes {
		m.check(connections)
	}
	closeAll()
	f.checkServed(connections)
}

// Guards against clients that keep a process from stopping, or end it while it stops.
func TestNodeStopsBesideACrowd(t *testing.T) {
	const number = 50
	f := startFleet(t, largeBody)
	n := f.nodes[0]
	var crowd sync.WaitGroup
	crowd.Go(func() {
		f.runAt(n.cfg.Clients, []string{"/a-order/", "/b-order/"}, number, everyKind()...)()
	})
	time.Sleep(time.Second)
	n.check(number * len(everyKind()))
	n.usage.expectEnd()
	n.process.Signal(syscall.SIGTERM)
	if !n.process.Wait(waitTimeout) {
		t.Error("the process has not stopped")
	}
	if text, err := os.ReadFile(n.log); err != nil || !strings.Contains(string(text), `"msg":"stopped"`) {
		t.Errorf("the process has ended without stopping, %v", err)
	}
	n.check(number * len(everyKind()))
	crowd.Wait()
	other := f.nodes[1]
	waitFor(t, "the other node serves", func() bool { return other.request("GET", "/b/", nil) == nil })
	other.check(number * len(everyKind()))
}
