package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// sendingNode answers each call with a body of size bytes and counts in sent how
// often the function of OnSent was called.
type sendingNode struct {
	*testNode
	size int
	sent atomic.Int64
}

func (n *sendingNode) Call(ctx context.Context, _ *linkpb.CallRequest) *linkpb.CallReply {
	OnSent(ctx, func() { n.sent.Add(1) })
	return &linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 200, Body: make([]byte, n.size)}
}

// await waits until the function was called times times.
func (n *sendingNode) await(t *testing.T, times int64) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); n.sent.Load() < times; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d replies count as sent, want %d", n.sent.Load(), times)
		}
	}
}

// stuckConn is a connection whose reads wait for reading while stuck is set.
type stuckConn struct {
	net.Conn
	stuck   *atomic.Bool
	reading chan struct{}
}

func (c stuckConn) Read(p []byte) (int, error) {
	if c.stuck.Load() {
		<-c.reading
	}
	return c.Conn.Read(p)
}

// Guards against a reply that counts as sent while it waits for its connection, and
// against one that never does: its memory would be lost.
func TestOnSent(t *testing.T) {
	cases := []struct {
		name    string
		size    int
		timeout time.Duration
		// stuck: the peer reads nothing.
		stuck bool
	}{
		{name: "small", size: smallBody, timeout: 20 * time.Second},
		{name: "large", size: 4 << 20, timeout: 20 * time.Second},
		{name: "given up", size: 8 << 20, timeout: 300 * time.Millisecond, stuck: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := &sendingNode{testNode: newTestNode("a", 1), size: c.size}
			s := NewServer(n, new(Traffic))
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = s.Serve(ln) }()
			t.Cleanup(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				s.Shutdown(ctx)
			})
			reading := make(chan struct{})
			var stuck atomic.Bool
			conn, err := grpc.NewClient("passthrough:///"+ln.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)),
				grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
					raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
					return stuckConn{raw, &stuck, reading}, err
				}))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			defer close(reading)
			client := linkpb.NewLinkClient(conn)
			if _, err := client.Call(t.Context(), &linkpb.CallRequest{}, grpc.WaitForReady(true)); err != nil {
				t.Fatal(err) // opens the connection
			}
			n.await(t, 1)
			stuck.Store(c.stuck)
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			reply, err := client.Call(ctx, &linkpb.CallRequest{})
			if !c.stuck && (err != nil || len(reply.Body) != c.size) {
				t.Fatalf("got %d bytes, %v", len(reply.GetBody()), err)
			}
			n.await(t, 2)
			time.Sleep(10 * time.Millisecond)
			if got := n.sent.Load(); got != 2 {
				t.Errorf("called %d times for 2 replies", got)
			}
		})
	}
}
