package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// errBroken ends a body early.
var errBroken = errors.New("broken")

// readingNode answers a call with its body. A kind "refused" is rejected unread, and one
// "early" is answered before the body is read to its end.
type readingNode struct {
	*testNode
	// read receives what ended the reading of a body.
	read chan error
}

func (n *readingNode) Call(ctx context.Context, req *linkpb.CallRequest) *linkpb.CallReply {
	if req.Kind == "refused" {
		return failure(contract.NotRun, contract.ReasonOverload, "")
	}
	upload := UploadOf(ctx)
	if err := upload.Begin(); err != nil {
		return failure(contract.NotRun, contract.ReasonLinkLost, err.Error())
	}
	if req.Kind == "early" {
		_, _ = upload.Read(make([]byte, 1))
		return &linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 200, Body: []byte("early")}
	}
	body, err := io.ReadAll(upload)
	n.read <- err
	if err != nil {
		return failure(contract.MayHaveRun, contract.ReasonCancelled, "")
	}
	return &linkpb.CallReply{Verdict: uint32(contract.Ran), Status: 200, Body: body}
}

// testUpload is a body that is sent.
type testUpload struct {
	io.Reader
	begun bool
}

func (u *testUpload) Begin() error {
	u.begun = true
	return nil
}

// endlessReader waits until it is closed.
type endlessReader struct{ closed chan struct{} }

func (r endlessReader) Read(p []byte) (int, error) {
	select {
	case <-r.closed:
		return 0, errBroken
	case <-time.After(time.Millisecond):
		return min(len(p), 10), nil
	}
}

func dialReading(t *testing.T) (*readingNode, *Set) {
	t.Helper()
	served := &readingNode{testNode: newTestNode("b", 7), read: make(chan error, 8)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(served, new(Traffic))
	go func() { _ = server.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	set := NewSet(ctx, group, newTestNode("a", 1), new(Traffic), dialPlain)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		server.Shutdown(ctx)
	})
	set.SetTargets([]Target{{VM: "b", Incarnation: 7, Address: ln.Addr().String()}})
	waitFor(t, func() bool { return set.Up("b") })
	return served, set
}

// Guards against a body that is cut, that looks complete though it has ended early, or that
// is touched by a receiver which refuses the call.
func TestUpload(t *testing.T) {
	served, set := dialReading(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 300_000)
	closed := make(chan struct{})
	defer close(closed)
	for _, c := range []struct {
		kind    string
		body    io.Reader
		want    []byte
		verdict contract.Verdict
		begun   bool
		// broken: the receiver must see an error in place of the end.
		broken bool
	}{
		{kind: "whole", body: bytes.NewReader(body), want: body, verdict: contract.Ran, begun: true},
		{kind: "empty", body: bytes.NewReader(nil), want: []byte{}, verdict: contract.Ran, begun: true},
		{kind: "refused", body: bytes.NewReader(body), verdict: contract.NotRun},
		{kind: "early", body: endlessReader{closed}, want: []byte("early"), verdict: contract.Ran, begun: true},
		{kind: "broken", body: io.MultiReader(bytes.NewReader(body), errorReader{}), verdict: contract.MayHaveRun, begun: true, broken: true},
	} {
		t.Run(c.kind, func(t *testing.T) {
			upload := &testUpload{Reader: c.body}
			ctx, cancel := context.WithTimeout(WithUpload(t.Context(), upload), 20*time.Second)
			defer cancel()
			reply, _ := set.Call(ctx, "b", &linkpb.CallRequest{Kind: c.kind, UploadLength: -1, AnswerRoom: MaxMessage}, nil)
			if contract.Verdict(reply.Verdict) != c.verdict || !bytes.Equal(reply.Body, c.want) || upload.begun != c.begun {
				t.Errorf("got %v, body of %d bytes, begun %v", reply.Verdict, len(reply.Body), upload.begun)
			}
			if c.kind == "refused" || c.kind == "early" {
				return
			}
			if err := <-served.read; (err != nil) != c.broken {
				t.Errorf("the receiver saw %v", err)
			}
		})
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errBroken }

// Guards against an answer that is lost, or sent before its caller has room for it.
func TestAnswerWaitsForRoom(t *testing.T) {
	served, set := dialReading(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 100_000)
	asked := int64(0)
	room := func(_ context.Context, n int64) error {
		asked = n
		return nil
	}
	call := func(room func(context.Context, int64) error) *linkpb.CallReply {
		ctx, cancel := context.WithTimeout(WithRoom(WithUpload(t.Context(), &testUpload{Reader: bytes.NewReader(body)}), room), 20*time.Second)
		defer cancel()
		reply, _ := set.Call(ctx, "b", &linkpb.CallRequest{Kind: "whole", UploadLength: -1, AnswerRoom: 1}, nil)
		<-served.read
		return reply
	}
	if reply := call(room); !bytes.Equal(reply.Body, body) || asked != int64(len(body)) {
		t.Errorf("got %d bytes, asked for room for %d; want %d", len(reply.Body), asked, len(body))
	}
	reply := call(func(context.Context, int64) error { return errBroken })
	if contract.Verdict(reply.Verdict) != contract.MayHaveRun || len(reply.Body) != 0 {
		t.Errorf("without room: got verdict %d and %d bytes", reply.Verdict, len(reply.Body))
	}
}
