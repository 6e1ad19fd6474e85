package ingress

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/endpoint"
	"heathershed/internal/memory"
)

const (
	// FreeAnswer is the size in bytes of an answer that needs no share of the memory, so
	// that small answers never wait for large ones.
	FreeAnswer = 8 << 10
	// writeStep is the size in bytes of the pieces in which a larger answer is written.
	writeStep = 32 << 10
	// takenPoll is how often it is checked whether a client has taken an answer.
	takenPoll = 20 * time.Millisecond
)

// answer is the body of an answer that holds a share of the memory until it is written. It
// is written in pieces, so that a client may take it at any pace: the connection is closed
// only if the client takes nothing for writeTimeout, or has stalled and another answer
// needs the memory.
type answer struct {
	conn  net.Conn
	guard *guardedConn // nil if the connection has none
	room  *memory.Claim
	body  []byte
	// rest is the part that is not yet written.
	rest []byte
}

// SetAnswer makes body the body of the answer. room holds its share of the memory and is
// released once it is written, or given up.
func SetAnswer(rc *fasthttp.RequestCtx, body []byte, room *memory.Claim) {
	a := &answer{conn: rc.Conn(), guard: guardOf(rc.Conn()), room: room, body: body, rest: body}
	if a.guard != nil {
		a.guard.addAnswers(1)
	}
	rc.Response.SetBodyStream(a, len(body))
}

// guardOf returns the guarded connection below c, or nil.
func guardOf(c net.Conn) *guardedConn {
	for c != nil {
		if g, ok := c.(*guardedConn); ok {
			return g
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// Read implements io.Reader.
func (a *answer) Read(p []byte) (int, error) {
	if len(a.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// WriteTo implements io.WriterTo.
func (a *answer) WriteTo(w io.Writer) (int64, error) {
	if a.guard != nil {
		a.guard.enlargeSendQueue()
	}
	progress := watchWrites(a.conn)
	defer progress.end()
	a.room.Begin(time.Now(), a.abort, progress.taken)
	written := int64(0)
	for len(a.rest) > 0 {
		n, err := w.Write(a.rest[:min(writeStep, len(a.rest))])
		written += int64(n)
		a.rest = a.rest[n:]
		if err != nil {
			return written, err
		}
		progress.handed.Add(int64(n))
	}
	return written, nil
}

// abort closes the connection below those that take locks.
func (a *answer) abort() {
	if a.guard != nil {
		_ = a.guard.Conn.Close() // its writer sees the error
		return
	}
	_ = a.conn.Close()
}

// Close implements io.Closer. The memory is given back once the client has taken the bytes
// that the kernel holds.
func (a *answer) Close() error {
	if a.body == nil {
		return nil
	}
	a.body, a.rest = nil, nil
	if a.guard == nil {
		a.room.Release()
		return nil
	}
	a.guard.addAnswers(-1)
	if endpoint.HasTaken(a.conn) {
		a.release()
		return nil
	}
	a.room.Lower(endpoint.LargeSendQueue)
	go a.releaseWhenTaken()
	return nil
}

// releaseWhenTaken waits until the client has taken the answer, or the connection is
// closed. The server's idle timeout closes one whose client neither reads nor sends, and
// writeTimeout one whose client sends without reading.
func (a *answer) releaseWhenTaken() {
	ticker := time.NewTicker(takenPoll)
	defer ticker.Stop()
	for !endpoint.HasTaken(a.conn) {
		<-ticker.C
	}
	a.release()
}

func (a *answer) release() {
	a.guard.shrinkSendQueue()
	a.room.Release()
}
