package link

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

const (
	// partSize is the size in bytes of the parts in which a body is sent. They are copied
	// into their messages, so that one buffer serves all of them.
	partSize = copiedBody
	// wantedHeader is the header by which a receiver asks for the body.
	wantedHeader = "body-wanted"
)

// Upload is a body that is passed on as it arrives.
type Upload interface {
	// Read returns io.EOF only behind the complete body.
	io.Reader
	// Begin must be called before the first Read. From then on the request may have run.
	Begin() error
}

type uploadKey struct{}

// WithUpload returns a context for a call whose body is u. The body of its message must be
// empty.
func WithUpload(ctx context.Context, u Upload) context.Context {
	return context.WithValue(ctx, uploadKey{}, u)
}

// UploadOf returns the body of the call that ctx belongs to; nil if it is in its message.
func UploadOf(ctx context.Context) Upload {
	u, _ := ctx.Value(uploadKey{}).(Upload)
	return u
}

// upload runs one call whose body is passed on as it arrives, once the receiver asks for
// it. The body is sent in its own goroutine, which may still wait for a part of it when
// the reply has come.
func (c *conn) upload(ctx context.Context, vm string, req *linkpb.CallRequest, body Upload) *linkpb.CallReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	stream, err := c.client.Upload(ctx, grpc.WaitForReady(false))
	if err != nil {
		return replyForError(ctx, vm, false, err)
	}
	if err := stream.Send(&linkpb.UploadPart{Call: req}); err != nil && !errors.Is(err, io.EOF) {
		return replyForError(ctx, vm, false, err)
	}
	header, err := stream.Header()
	wanted := err == nil && len(header.Get(wantedHeader)) > 0
	if wanted {
		if err := body.Begin(); err != nil {
			return failure(contract.NotRun, contract.ReasonCancelled, "")
		}
		go sendBody(stream, body, cancel)
	}
	reply := new(linkpb.CallReply)
	if err := stream.RecvMsg(reply); err != nil {
		return replyForError(ctx, vm, wanted, err)
	}
	return c.complete(ctx, vm, reply, start)
}

// sendBody sends a body to its end. If it ends early, the call is cancelled.
func sendBody(stream linkpb.Link_UploadClient, body io.Reader, cancel context.CancelFunc) {
	part := make([]byte, partSize)
	for {
		n, err := body.Read(part)
		if n > 0 {
			if sendErr := stream.Send(&linkpb.UploadPart{Body: part[:n]}); sendErr != nil {
				return // the reply tells why
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = stream.CloseSend() // never fails
			return
		case err != nil:
			cancel()
			return
		}
	}
}

// Upload implements linkpb.LinkServer.
func (s *Server) Upload(stream grpc.ClientStreamingServer[linkpb.UploadPart, linkpb.CallReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Call == nil {
		return status.Error(codes.InvalidArgument, "the first part has no call")
	}
	ctx := stream.Context()
	if session := s.sessionOf(ctx); session != nil {
		session.callReceived()
	}
	return stream.SendAndClose(s.serveCall(WithUpload(ctx, &receivedUpload{stream: stream}), first.Call))
}

// receivedUpload is a body that another node sends.
type receivedUpload struct {
	stream grpc.ClientStreamingServer[linkpb.UploadPart, linkpb.CallReply]
	begun  atomic.Bool
	part   []byte
}

// Begin implements Upload. It asks for the body.
func (u *receivedUpload) Begin() error {
	if u.begun.Swap(true) {
		return nil
	}
	return u.stream.SendHeader(metadata.Pairs(wantedHeader, "1"))
}

// Read implements io.Reader.
func (u *receivedUpload) Read(p []byte) (int, error) {
	for len(u.part) == 0 {
		next, err := u.stream.Recv()
		if err != nil {
			return 0, err // io.EOF if the sender has closed its side
		}
		u.part = next.Body
	}
	n := copy(p, u.part)
	u.part = u.part[n:]
	return n, nil
}
