package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"heathershed/platform/platformtest"
)

// client sends bytes on a connection until it is done or the node stops reading.
// The connection stays open afterwards.
type client func(c net.Conn, path string)

// head returns the head of an order.
func head(path, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: crowd-%d\r\n%s: 8000\r\n%s\r\n\r\n", path,
		platformtest.HeaderAttempt, attempts.Add(1), platformtest.HeaderRemaining, framing)
}

// stopsBeforeTheEnd sends the chunks of a body within the limits, without the last
// one.
func stopsBeforeTheEnd(chunk int) client {
	return func(c net.Conn, path string) {
		w := bufio.NewWriterSize(c, 64<<10)
		_, _ = w.WriteString(head(path, "Transfer-Encoding: chunked"))
		one := append(fmt.Appendf(nil, "%x\r\n", chunk), append(make([]byte, chunk), '\r', '\n')...)
		for sent := 0; sent+chunk < maxBody; sent += chunk {
			if _, err := w.Write(one); err != nil {
				return
			}
		}
		_ = w.Flush()
	}
}

// exceedsTheLimit sends a body of the given length, except its last byte. It
// declares the length, or sends chunks.
func exceedsTheLimit(length int, declare bool) client {
	return func(c net.Conn, path string) {
		const piece = 64 << 10
		framing := "Transfer-Encoding: chunked"
		if declare {
			framing = fmt.Sprint("Content-Length: ", length)
		}
		if _, err := io.WriteString(c, head(path, framing)); err != nil {
			return
		}
		if !declare {
			_, _ = fmt.Fprintf(c, "%x\r\n", length)
		}
		for sent := 0; sent < length; sent += piece {
			if _, err := c.Write(make([]byte, min(piece, length-1-sent))); err != nil {
				return
			}
		}
	}
}

// doesNotRead asks for a long response and reads nothing of it.
func doesNotRead(c net.Conn, path string) {
	_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	_, _ = fmt.Fprintf(c, "GET %s?size=%d HTTP/1.1\r\nHost: h\r\n%s: crowd-%d\r\n%s: 8000\r\n\r\n", strings.Replace(path, "-order", "", 1),
		responseSize, platformtest.HeaderAttempt, attempts.Add(1), platformtest.HeaderRemaining)
}

// doesNotReadAndSends asks for a long response, reads nothing of it and sends orders
// behind the request.
func doesNotReadAndSends(c net.Conn, path string) {
	const orders, size = 64, 64 << 10
	doesNotRead(c, path)
	for range orders {
		if _, err := io.WriteString(c, head(path, fmt.Sprint("Content-Length: ", size))); err != nil {
			return
		}
		if _, err := c.Write(make([]byte, size)); err != nil {
			return
		}
	}
}

// readsSlowly asks for responses, sending all requests at once, and then reads a step of
// bytes at each interval until the deadline of the connection.
func readsSlowly(requests, size, step int, interval time.Duration) client {
	return func(c net.Conn, path string) {
		_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		w := bufio.NewWriter(c)
		for range requests {
			_, _ = fmt.Fprintf(w, "GET %s?size=%d HTTP/1.1\r\nHost: h\r\n%s: crowd-%d\r\n%s: 8000\r\n\r\n", strings.Replace(path, "-order", "", 1),
				size, platformtest.HeaderAttempt, attempts.Add(1), platformtest.HeaderRemaining)
		}
		go func() { _ = w.Flush() }() // the node may stop reading
		buffer := make([]byte, step)
		for {
			if _, err := io.ReadFull(c, buffer); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}
}

// run connects the clients of each kind to the first node, half of them for a
// service at the other node, and waits until all have sent what they send. Their
// connections stay open until the returned function is called.
func (f *fleet) run(kinds ...client) (closeAll func()) {
	paths := []string{"/a-order/", "/b-order/"}
	return f.runAt(f.nodes[0].cfg.Clients, paths, clients, kinds...)
}

// runAt connects a number of clients of each kind to an address, and spreads them over
// the paths.
func (f *fleet) runAt(address string, paths []string, number int, kinds ...client) (closeAll func()) {
	f.t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for _, kind := range kinds {
		for i := range number {
			all.Go(func() {
				c, err := net.Dial("tcp", address)
				if err != nil {
					return // the node may refuse connections
				}
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
				_ = c.SetDeadline(time.Now().Add(ioTimeout))
				kind(c, paths[i%len(paths)])
			})
		}
	}
	all.Wait()
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}
