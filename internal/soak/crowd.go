package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"heathershed/internal/wait"
	"heathershed/platform/platformtest"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 20
	// crowdHold is how long one of them stays open at most.
	crowdHold = 3 * time.Second
	// slowAnswerSize is the size in bytes of an answer that is read slowly: slowStep
	// bytes, and then a pause.
	slowAnswerSize = 300 << 10
	slowStep       = 16 << 10
	slowPause      = 50 * time.Millisecond
	// stalledBody is the part in bytes of a body that never ends, excessBody the length of
	// one that is over the limit of platformtest.Config.
	stalledBody = 500
	excessBody  = 64 << 10
)

// crowd is a number of clients of one node that send or hold too much. What they ask for
// is as in the package crowd; here faults come meanwhile.
type crowd struct {
	name   string
	target *vm
	rng    *rand.Rand
	ledger *Ledger
}

// run keeps the connections of the crowd open until ctx ends.
func (c *crowd) run(ctx context.Context) {
	free := make(chan struct{}, crowdSize)
	for n := 0; ctx.Err() == nil; n++ {
		_ = wait.For(ctx, crowdHold/crowdSize)
		if c.target.shutdownStartedBefore(time.Now().Add(-shutdownNotice)) {
			continue
		}
		attempt := fmt.Sprintf("%s-%d", c.name, n)
		service := services[c.rng.IntN(len(services))]
		kind := []func(net.Conn, string, string){c.readSlowly, c.stall, c.exceed}[c.rng.IntN(3)]
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-free }()
			c.connect(func(conn net.Conn) { kind(conn, service, attempt) })
		}()
	}
}

// connect opens a connection for one client.
func (c *crowd) connect(serve func(net.Conn)) {
	conn, err := net.DialTimeout("tcp", c.target.clientAddr, probeTimeout)
	if err != nil {
		return // the node may be down, or refuse the connection
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(crowdHold))
	serve(conn)
}

func head(method, path, attempt, framing string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, path,
		platformtest.HeaderAttempt, attempt, platformtest.HeaderRemaining, requestTimeout.Milliseconds(), framing)
}

// readSlowly asks for a long answer and reads it slowly. One that arrives whole must be the
// one that was asked for.
func (c *crowd) readSlowly(conn net.Conn, service, attempt string) {
	c.ledger.RecordSent(attempt, false)
	defer c.ledger.RecordOutcome(attempt, OutcomeUnknown)
	_, _ = io.WriteString(conn, head(http.MethodGet, fmt.Sprintf("/%s/x?size=%d", service, slowAnswerSize), attempt, ""))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	for err == nil {
		time.Sleep(slowPause)
		_, err = io.CopyN(&body, resp.Body, slowStep)
	}
	if err == io.EOF && resp.StatusCode == http.StatusOK && !bytes.Equal(body.Bytes(), Body(attempt, slowAnswerSize)) {
		c.ledger.AddViolation(Partial, attempt, fmt.Sprintf("%d bytes of %d, read slowly", body.Len(), slowAnswerSize))
	}
}

// stall begins the body of an order and never ends it. The order must not run.
func (c *crowd) stall(conn net.Conn, service, attempt string) {
	c.ledger.RecordSent(attempt, true)
	c.ledger.RecordOutcome(attempt, OutcomeNotRun)
	_, _ = io.WriteString(conn, head(http.MethodPost, "/"+service+"-order/x", attempt, "Transfer-Encoding: chunked\r\n"))
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", stalledBody, make([]byte, stalledBody))
	_, _ = io.Copy(io.Discard, conn)
}

// exceed sends an order over the limit. It must not run.
func (c *crowd) exceed(conn net.Conn, service, attempt string) {
	c.ledger.RecordSent(attempt, true)
	c.ledger.RecordOutcome(attempt, OutcomeNotRun)
	_, _ = io.WriteString(conn, head(http.MethodPost, "/"+service+"-order/x", attempt, fmt.Sprintf("Content-Length: %d\r\n", excessBody)))
	_, _ = conn.Write(make([]byte, excessBody))
	_, _ = io.Copy(io.Discard, conn)
}
