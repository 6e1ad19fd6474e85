package ingress

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestDrainAtAnyTime drains a server, or shuts it down, at a random moment while a client has
// requests of all kinds under way, and checks that each that has begun is answered, in order.
func TestDrainAtAnyTime(t *testing.T) {
	t.Parallel()
	const (
		seeds, requests = 150, 20
		longest         = 3 * time.Millisecond // work of one request
	)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 8))
		var mu sync.Mutex
		var begun []string
		s := NewWithOptions(Options{HeaderBytes: 8 << 10, Idempotent: lookupsOnly}, func(ctx context.Context, rc *fasthttp.RequestCtx) {
			mu.Lock()
			begun = append(begun, string(rc.RequestURI()))
			work := time.Duration(random.Int64N(int64(longest)))
			mu.Unlock()
			time.Sleep(work)
			echo(ctx, rc)
		})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(ln) }()
		text, _ := someRequests(random, requests)
		text += "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		go func() { _, _ = io.WriteString(c, text) }()
		mu.Lock()
		wait := time.Duration(random.Int64N(int64(requests * longest)))
		mu.Unlock()
		time.Sleep(wait)
		if seed%2 == 0 {
			s.Drain()
		} else {
			go func() { _ = s.Shutdown(t.Context()) }()
		}
		answered := answeredURIs(bufio.NewReader(c))
		mu.Lock()
		slices.Sort(begun)
		slices.Sort(answered)
		if !slices.Equal(begun, answered) {
			t.Errorf("seed %d: %.20q have begun, %.20q were answered", seed, begun, answered)
		}
		mu.Unlock()
		_ = c.Close()
		_ = s.Shutdown(t.Context())
	}
}

// answeredURIs reads the answers of echo until the connection ends.
func answeredURIs(r *bufio.Reader) (uris []string) {
	for {
		answer := &fasthttp.Response{}
		if err := answer.Header.Read(r); err != nil {
			return uris
		}
		if n := answer.Header.ContentLength(); n > 0 && len(answer.Header.Peek("X-Head")) == 0 {
			if _, err := io.CopyN(io.Discard, r, int64(n)); err != nil {
				return uris
			}
		}
		uris = append(uris, string(answer.Header.Peek("X-Uri")))
	}
}
