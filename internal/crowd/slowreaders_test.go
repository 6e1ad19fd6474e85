package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"heathershed/platform/platformtest"
)

// checkServed waits until ordinary requests are answered at both nodes, and checks the
// usage of the processes for a crowd of the given number of connections.
func (f *fleet) checkServed(connections int) {
	f.t.Helper()
	for _, n := range f.nodes {
		for _, path := range []string{"/a/", "/b/"} {
			waitFor(f.t, n.cfg.VM+" serves "+path+" after the crowd", func() bool { return n.request("GET", path, nil) == nil })
		}
		waitFor(f.t, "an order is answered after the crowd", func() bool { return n.request("POST", "/b-order/", make([]byte, maxBody)) == nil })
		n.check(connections)
	}
}

// tenth is the pause of a client that reads slowly.
const tenth = 100 * time.Millisecond

// testReaders checks the usage of both nodes while a number of clients ask the first one
// for answers of the other one's upstream, and that requests are served afterwards.
func testReaders(t *testing.T, number int, clients client) {
	f := startFleet(t, maxBody)
	closeAll := f.runAt(f.nodes[0].cfg.Clients, []string{"/b-order/"}, number, clients)
	for _, n := range f.nodes {
		n.check(number)
	}
	closeAll()
	f.checkServed(number)
}

// Guards against long answers that are held without a bound, at the node of their clients
// or at the one beside the upstream.
func TestLongAnswersReadSlowlyStayWithinTheMemory(t *testing.T) {
	testReaders(t, 300, readsSlowly(1, responseSize, 16<<10, tenth))
}

// Guards against answers that nobody reads and orders that arrive behind them.
func TestOrdersBehindUnreadAnswersStayWithinTheMemory(t *testing.T) {
	testReaders(t, 400, doesNotReadAndSends)
}

// Guards against many small answers in the queues of the kernel, which no budget counts.
func TestManySmallAnswersReadSlowlyStayWithinTheMemory(t *testing.T) {
	testReaders(t, 200, readsSlowly(200, 8<<10, 4<<10, tenth))
}

// Guards against the same with answers that are just too small to be bounded on links.
func TestManyMediumAnswersReadSlowlyStayWithinTheMemory(t *testing.T) {
	testReaders(t, 200, readsSlowly(50, 60<<10, 4<<10, tenth))
}

// Guards against an answer that is cut off although its request has run and its client
// reads it steadily, because the answers of other clients take the memory.
func TestSteadyReadersGetWholeAnswers(t *testing.T) {
	const (
		number  = 12
		rate    = 1 << 20 // bytes a second
		stagger = 150 * time.Millisecond
	)
	f := startFleet(t, maxBody)
	var all sync.WaitGroup
	for i := range number {
		all.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			if err := f.download(responseSize, rate); err != nil {
				t.Errorf("client %d: %v", i, err)
			}
		})
	}
	all.Wait()
	f.checkServed(number)
}

// download asks the first node for an answer of the other one's upstream and reads it at
// a rate in bytes a second. A refusal is no error unless the request has run.
func (f *fleet) download(size, rate int) error {
	c, err := net.Dial("tcp", f.nodes[0].cfg.Clients)
	if err != nil {
		return err
	}
	defer c.Close()
	id := fmt.Sprint("download-", attempts.Add(1))
	_, err = fmt.Fprintf(c, "GET /b/?size=%d HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 8000\r\n\r\n",
		size, platformtest.HeaderAttempt, id, platformtest.HeaderRemaining)
	if err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, receiveBuffer), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return f.checkRefusal(resp, id)
	}
	const stepsPerSecond = 50
	read := 0
	for {
		n, err := io.CopyN(io.Discard, resp.Body, int64(rate/stepsPerSecond))
		read += int(n)
		if err == io.EOF && read == size && resp.StatusCode == http.StatusOK {
			return nil
		}
		if err != nil {
			return fmt.Errorf("status %d, cut after %d of %d bytes: %w", resp.StatusCode, read, size, err)
		}
		time.Sleep(time.Second / stepsPerSecond)
	}
}

// checkRefusal returns an error if a refused request has run, or its client was not told
// when to return.
func (f *fleet) checkRefusal(resp *http.Response, id string) error {
	for _, n := range f.nodes {
		if _, ran := n.ran.Load(id); ran {
			return fmt.Errorf("status %d for a request that has run", resp.StatusCode)
		}
	}
	if resp.Header.Get("Retry-After") == "" {
		return fmt.Errorf("status %d without Retry-After", resp.StatusCode)
	}
	return nil
}
