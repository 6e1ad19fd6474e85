package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/endpoint"
	"heathershed/internal/wait"
)

// UploadMemory is what a body that is passed on as it arrives takes of the memory, in
// bytes: its parts on their way.
const UploadMemory = 1 << 20

var (
	// errUploadClosed is returned for a body whose request has been answered.
	errUploadClosed = errors.New("the request has been answered")
	// errUploadBegun is returned for a body that is passed on a second time.
	errUploadBegun = errors.New("the body has been passed on already")
)

// Upload is a body that is too large to be held. It is read once, while it arrives.
type Upload struct {
	// Length is the length of the body in bytes; -1 if the client has not declared it.
	Length int

	reader *bodyReader
	stream io.Reader
	conn   net.Conn
	// begun says that the body is being passed on, closing that close was called.
	begun, closing atomic.Bool

	// reading is held while a part is read. It guards prefix, the part that was read
	// before, and read, the number of bytes so far.
	reading sync.Mutex
	prefix  bytes.Reader
	read    int

	mu  sync.Mutex
	err error // that ended the body; io.EOF if it is complete
}

type uploadKey struct{}

// UploadOf returns the body of a request that is passed on as it arrives; nil if the body
// was read completely, or there is none. It must not be used after the handler.
func UploadOf(rc *fasthttp.RequestCtx) *Upload {
	u, _ := rc.UserValue(uploadKey{}).(*Upload)
	return u
}

// newUpload returns the body of which prefix has been read. The memory of its claim is its
// own from now on.
func newUpload(r *bodyReader, prefix []byte, stream io.Reader) *Upload {
	u := &Upload{Length: r.declared, reader: r, stream: stream, conn: r.rc.Conn(), read: len(prefix)}
	u.prefix.Reset(prefix)
	if g := guardOf(u.conn); g != nil && g.guard.smallQueues {
		endpoint.EnlargeReceiveQueue(u.conn)
	}
	return u
}

// Begin implements link.Upload. A body can be passed on once.
func (u *Upload) Begin() error {
	if u.begun.Swap(true) {
		return errUploadBegun
	}
	return nil
}

// Begun reports whether the body has been passed on, or a part of it.
func (u *Upload) Begun() bool { return u.begun.Load() }

// Err returns the error that ended the body early: one of the errors of bodies or that of
// the connection. It is nil if there was none so far.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.err, io.EOF) {
		return nil
	}
	return u.err
}

// complete reports whether the body was read to its end.
func (u *Upload) complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return errors.Is(u.err, io.EOF)
}

// fail records the first error that ends the body, and returns it.
func (u *Upload) fail(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil {
		u.err = err
	}
	return u.err
}

// Read implements io.Reader. It returns io.EOF only behind the complete body.
func (u *Upload) Read(p []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	if u.closing.Load() {
		return 0, u.fail(errUploadClosed)
	}
	if err := u.fail(nil); err != nil {
		return 0, err
	}
	if u.prefix.Len() > 0 {
		n, err := u.prefix.Read(p)
		if u.prefix.Len() == 0 {
			u.prefix.Reset(nil)
			u.reader.claim.Lower(UploadMemory)
		}
		return n, err
	}
	n, err := u.reader.readPart(u.stream, p, u.read)
	u.read += n
	return n, u.fail(u.reader.cause(err))
}

// close ends the reading and gives back the memory.
func (u *Upload) close() {
	u.closing.Store(true)
	_ = u.conn.SetReadDeadline(time.Unix(1, 0)) // ends the read that is pending
	u.reading.Lock()
	defer u.reading.Unlock()
	_ = u.fail(errUploadClosed)
	u.reader.claim.Release()
}

// serveUpload serves a request whose body is passed on as it arrives. Its answer closes the
// connection.
func serveUpload(rc *fasthttp.RequestCtx, u *Upload, handle Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go cancelOnHangup(ctx, cancel, u.conn)
	rc.SetUserValue(uploadKey{}, u)
	handle(ctx, rc)
	rc.SetUserValue(uploadKey{}, nil)
	rc.SetConnectionClose()
	u.close()
	if !u.complete() {
		lingerOnClose(rc.Conn())
	}
}

// cancelOnHangup calls cancel when the client closes the connection, until ctx ends.
func cancelOnHangup(ctx context.Context, cancel context.CancelFunc, c net.Conn) {
	for wait.For(ctx, hangupPoll) == nil {
		if hungUp(c) {
			cancel()
		}
	}
}
