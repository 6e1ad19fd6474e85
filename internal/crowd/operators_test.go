package crowd

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendsLongHead sends a request with a header just under a megabyte to the port for
// metrics, without its end.
func sendsLongHead(c net.Conn, _ string) {
	const length = 1000 << 10
	_, _ = io.WriteString(c, "GET /metrics HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("x", length))
}

// doesNotReadMetrics asks for the metrics many times and reads nothing.
func doesNotReadMetrics(c net.Conn, _ string) {
	const requests = 200
	_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	_, _ = io.WriteString(c, strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", requests))
}

// testScrapers checks the usage of a node while clients crowd its port for metrics, and
// that metrics and requests are served afterwards.
func testScrapers(t *testing.T, clients client) {
	const number, hold = 400, 4 * time.Second
	f := startFleet(t, maxBody)
	n := f.nodes[0]
	closeAll := f.runAt(n.cfg.Metrics, []string{""}, number, clients)
	time.Sleep(hold)
	n.check(number)
	closeAll()
	f.checkServed(number)
	waitFor(t, "the metrics are served after the crowd", func() bool {
		resp, err := http.Get("http://" + n.cfg.Metrics + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Guards against headers without end at the port for metrics.
func TestLongHeadsAtTheMetricsPortStayWithinTheMemory(t *testing.T) { testScrapers(t, sendsLongHead) }

// Guards against metrics that nobody reads.
func TestUnreadMetricsStayWithinTheMemory(t *testing.T) { testScrapers(t, doesNotReadMetrics) }
