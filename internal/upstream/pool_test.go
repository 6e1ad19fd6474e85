package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

func TestIdleConnectionThatBecomesReadableIsClosed(t *testing.T) {
	e := serveEndless(t, okLine+"Content-Length: 2\r\n\r\nhi", "a")
	client := New(e.address, 4, 1<<20)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- client.RunIdle(ctx) }()
	var answer fasthttp.Response
	if out := client.Do(t.Context(), get(true), &answer); out.Verdict != contract.Ran {
		t.Fatalf("got outcome %+v, want ran", out)
	}
	for deadline := time.Now().Add(2 * time.Second); e.open.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("connection still open 2 s after its answer, its upstream still sends")
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestConnectionThatWasIdleForTooLongIsClosed(t *testing.T) {
	client := New("127.0.0.1:1", 4, 1<<20)
	near, far := net.Pipe()
	defer far.Close()
	kept, keptFar := net.Pipe()
	defer keptFar.Close()
	now := time.Now()
	client.idle = []*conn{{Conn: near, usedAt: now.Add(-maxIdleAge - time.Second)}, {Conn: kept, usedAt: now}}
	client.closeUnusable(now)
	_ = far.SetReadDeadline(now.Add(time.Second))
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection over the idle time: got %v, want closed", err)
	}
	if cn := client.pop(false); cn == nil || cn.Conn != kept || client.pop(false) != nil {
		t.Error("want only the connection that was used lately in the pool")
	}
}
