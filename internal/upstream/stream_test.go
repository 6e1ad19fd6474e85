package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

// errSender ends a streamed body early.
var errSender = errors.New("the sender has left")

// failingReader ends a body with an error.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errSender }

// slowReader is a body whose sender stops.
type slowReader struct{ closed chan struct{} }

func (r slowReader) Read([]byte) (int, error) {
	<-r.closed
	return 0, errSender
}

// Guards against a streamed body that is cut or looks complete though it has ended early, an
// early answer that waits for a slow sender, and a caller's fault that is the upstream's.
func TestStreamedBodies(t *testing.T) {
	const size = 3 << 20
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			_, _ = io.WriteString(rw, "early")
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(rw, n)
	}))
	defer server.Close()
	client := New(strings.TrimPrefix(server.URL, "http://"), 4, 1<<20)
	closed := make(chan struct{})
	defer close(closed)
	whole := bytes.Repeat([]byte("a"), size)
	for _, c := range []struct {
		name, path string
		body       io.Reader
		length     int
		want       string
		verdict    contract.Verdict
		reason     contract.Reason
	}{
		{"declared", "/", bytes.NewReader(whole), size, fmt.Sprint(size), contract.Ran, contract.ReasonNone},
		{"chunked", "/", bytes.NewReader(whole), -1, fmt.Sprint(size), contract.Ran, contract.ReasonNone},
		{"early answer", "/early", io.MultiReader(bytes.NewReader(whole), slowReader{closed}), 2 * size, "early", contract.Ran, contract.ReasonNone},
		{"declared, ends early", "/", io.MultiReader(bytes.NewReader(whole), failingReader{}), 2 * size, "", contract.MayHaveRun, contract.ReasonCancelled},
		{"chunked, ends early", "/", io.MultiReader(bytes.NewReader(whole), failingReader{}), -1, "", contract.MayHaveRun, contract.ReasonCancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := Request{HTTP: new(fasthttp.Request), MaxAnswer: 1 << 10}
			req.HTTP.Header.SetMethod("POST")
			req.HTTP.SetRequestURI(c.path)
			req.HTTP.SetHost("h")
			req.HTTP.SetBodyStream(Stream(c.body), c.length)
			var answer fasthttp.Response
			began := time.Now()
			out := client.Do(t.Context(), req, &answer)
			if out.Verdict != c.verdict || out.Reason != c.reason || string(answer.Body()) != c.want {
				t.Errorf("got %+v, %q after %v", out, answer.Body(), time.Since(began))
			}
		})
	}
}
