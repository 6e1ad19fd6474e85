package ingress

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/memory"
)

const (
	uploadLimit = 16 << 20
	uploadWhole = 64 << 10
)

// uploadServer is a server that passes on bodies above uploadWhole as they arrive.
type uploadServer struct {
	*bodyServer
	// ended receives the error that ended the reading of an upload.
	ended chan error
	// early makes it answer without reading uploads.
	early atomic.Bool
}

func serveUploads(t *testing.T) *uploadServer {
	t.Helper()
	s := &uploadServer{bodyServer: &bodyServer{t: t, budget: memory.New(8<<20, 50*time.Millisecond)}, ended: make(chan error, 64)}
	status := map[error]int{ErrBodyTooLarge: 413, ErrNoMemory: 503, ErrBodySlow: 408}
	s.Server = NewWithOptions(Options{
		Idempotent: func(*fasthttp.Request) bool { return true },
		Bodies: &BodyOptions{
			Budget:  s.budget,
			Limit:   func() int { return uploadLimit },
			Whole:   uploadWhole,
			IsOrder: func(*fasthttp.RequestCtx) bool { return true },
			Refuse:  func(rc *fasthttp.RequestCtx, err error) { rc.Error(err.Error(), max(status[err], 400)) },
		},
	}, s.handle)
	s.address = listen(t, s.Server)
	return s
}

func (s *uploadServer) handle(_ context.Context, rc *fasthttp.RequestCtx) {
	u := UploadOf(rc)
	if u == nil {
		rc.SetBodyString("whole " + checksum(rc.Request.Body()))
		return
	}
	if s.early.Load() {
		rc.SetBodyString("early")
		return
	}
	body, err := io.ReadAll(u)
	s.ended <- err
	if err != nil {
		rc.Error(err.Error(), 400)
		return
	}
	rc.SetBodyString("upload " + checksum(body))
}

func checksum(body []byte) string {
	return string(fasthttp.AppendUint(nil, int(crc32.ChecksumIEEE(body))))
}

// awaitUnused waits until no memory is used.
func (s *uploadServer) awaitUnused() {
	s.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		used, _, _ := s.budget.Stats()
		if used == 0 {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%d bytes are used, want 0", used)
		}
	}
}

// Guards against a large body that is refused, held, cut or changed.
func TestLargeBodiesAreUploads(t *testing.T) {
	s := serveUploads(t)
	for _, n := range []int{uploadWhole, uploadWhole + 1, 3 << 20, uploadLimit} {
		body := strings.Repeat("0123456789abcde\n", n/16+1)[:n]
		want := "upload "
		if n <= uploadWhole {
			want = "whole "
		}
		want += checksum([]byte(body))
		var chunks bytes.Buffer
		chunks.WriteString(chunked("/", 1, 0))
		writeChunks(&chunks, body, 5000)
		for name, text := range map[string]string{"declared": declared("/", n, body), "chunked": chunks.String()} {
			if status, got := s.answer(s.dial(text)); status != 200 || got != want {
				t.Errorf("%s, %d bytes: got status %d, %q; want %q", name, n, status, got, want)
			}
		}
	}
	s.awaitUnused()
}

// writeChunks writes a body in chunks of the given size, with its end.
func writeChunks(w *bytes.Buffer, body string, size int) {
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(w, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	w.WriteString("0\r\n\r\n")
}

// Guards against an upload whose early end looks complete.
func TestUploadThatEndsEarlyIsNotComplete(t *testing.T) {
	s := serveUploads(t)
	for name, text := range map[string]string{
		"declared": declared("/", 1<<20, strings.Repeat("a", 1<<19)),
		"chunked":  chunked("/", 1000, 1<<19),
	} {
		c := s.dial(text)
		_ = c.(*net.TCPConn).CloseWrite()
		if err := <-s.ended; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: got %v, want an error", name, err)
		}
	}
	c := s.dial(chunked("/", 1000, uploadLimit+1000))
	if err := <-s.ended; !errors.Is(err, ErrBodyTooLarge) {
		t.Errorf("over the limit: got %v, want ErrBodyTooLarge", err)
	}
	_ = c.Close()
	s.awaitUnused()
}

// Guards against an answer that is lost because the rest of the body is not read.
func TestAnswerBeforeTheEndOfAnUploadIsRead(t *testing.T) {
	s := serveUploads(t)
	s.early.Store(true)
	const size = 8 << 20
	c := s.dial(declared("/", size, strings.Repeat("a", size)))
	if status, got := s.answer(c); status != 200 || got != "early" {
		t.Errorf("got status %d, %q", status, got)
	}
	s.awaitUnused()
}

// Guards against a refusal that is lost because its client still sends.
func TestRefusalIsReadBySendingClient(t *testing.T) {
	s := serveUploads(t)
	const size = uploadLimit + 4<<20
	for name, text := range map[string]string{
		"declared": declared("/", size, strings.Repeat("a", size)),
		"chunked":  chunked("/", 64<<10, size),
	} {
		want := 413
		if name == "chunked" {
			want = 400 // by the handler of this test
		}
		if status, _ := s.answer(s.dial(text)); status != want {
			t.Errorf("%s: got status %d, want %d", name, status, want)
		}
	}
	s.awaitUnused()
}
