package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

const (
	restOfHead  = "\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\n"
	sampleBody  = "body"
	earlyHints  = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
	continueEnd = "\r\nX: y\r\n\r\n"
)

// invalidStatusLines are status lines without a status from 100 to 599 or of another
// protocol than HTTP/1.0 and 1.1.
var invalidStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 020 OK",
	"HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 2000 OK",
	"HTTP/1.1 0200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2 OK",
	"HTTP/1.1 20 OK", "HTTP/1.1 2xx OK", "HTTP/1.1 20\x00 OK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1",
	"HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK",
	"HTTP/1. 200 OK", "HTTP/ 200 OK", "HTTP 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK", " 200 OK", "200",
	" HTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/1.1 18446744073709551816 OK",
}

// validStatusLines are status lines that upstreams may send.
var validStatusLines = map[string]int{
	"HTTP/1.1 200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 200": 200,
	"HTTP/1.1  200 OK": 200, "\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 299 a b": 299,
	"HTTP/1.1 404 Not Found": 404, "HTTP/1.1 599 ?": 599, "HTTP/1.1 418 \xc3\xa9": 418,
}

// exchangeText sends one request to an upstream that answers with text, which closes the
// connection only if its client does.
func exchangeText(t *testing.T, text string, order bool) (Outcome, *fasthttp.Response, *Client) {
	t.Helper()
	client := New(serve(t, script{reply: text, hang: true}), 4, 1<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer := &fasthttp.Response{}
	out := client.Do(ctx, get(order), answer)
	if ctx.Err() != nil {
		t.Errorf("%q: got no outcome before the deadline", text)
	}
	return out, answer, client
}

// TestAnswerWithoutAStatusIsMalformed guards against an answer without a valid status line
// that is taken for an answer: the codec reads status 000 as 200, passes on other ones
// below 100, and reads each version of the protocol. It is checked for the final answer
// and for one before it.
func TestAnswerWithoutAStatusIsMalformed(t *testing.T) {
	t.Parallel()
	good := "HTTP/1.1 200 OK" + restOfHead + sampleBody
	for _, line := range invalidStatusLines {
		for form, text := range map[string]string{
			"only answer":           line + restOfHead + sampleBody,
			"after an interim one":  earlyHints + line + restOfHead + sampleBody,
			"before the final one":  line + continueEnd + good,
			"between interim ones":  earlyHints + line + continueEnd + good,
			"interim with its line": strings.Replace(line, "200", "103", 1) + continueEnd + good,
		} {
			for _, order := range []bool{false, true} {
				out, answer, client := exchangeText(t, text, order)
				if out.Verdict != contract.MayHaveRun || out.Reason != contract.ReasonUpstreamFailed {
					t.Errorf("%q, %s: got outcome %+v, want may-have-run, upstream-failed", line, form, out)
				}
				if len(answer.Body()) > 0 || len(answer.Header.Peek("X-Id")) > 0 || len(answer.Header.Peek("X")) > 0 {
					t.Errorf("%q, %s: got an answer %q, want nothing of it", line, form, answer.String())
				}
				if client.pop(false) != nil {
					t.Errorf("%q, %s: connection was kept", line, form)
				}
			}
		}
	}
}

// TestInterimAnswerOfAnotherVersionIsMalformed guards against interim answers whose status
// line is not checked.
func TestInterimAnswerOfAnotherVersionIsMalformed(t *testing.T) {
	t.Parallel()
	good := "HTTP/1.1 200 OK" + restOfHead + sampleBody
	for _, line := range []string{"HTTP/9.9 103 Early Hints", "HTTP/2.0 100 Continue", "HTTP/1.2 102 Processing", "HTTP/1.1 1000", "HTTP/1.1 10"} {
		if out, _, _ := exchangeText(t, line+continueEnd+good, true); out.Verdict != contract.MayHaveRun {
			t.Errorf("%q: got outcome %+v, want may-have-run", line, out)
		}
	}
}

// TestValidStatusLinesAreRead guards against a check of status lines that rejects what
// upstreams may send.
func TestValidStatusLinesAreRead(t *testing.T) {
	t.Parallel()
	for line, status := range validStatusLines {
		for form, before := range map[string]string{"alone": "", "after an interim one": earlyHints, "after two": "HTTP/1.0 100 Continue\r\n\r\n" + earlyHints} {
			out, answer, client := exchangeText(t, before+line+restOfHead+sampleBody, true)
			if out.Verdict != contract.Ran || answer.StatusCode() != status || string(answer.Body()) != sampleBody {
				t.Errorf("%q, %s: got outcome %+v, status %d, body %q; want ran, %d, %q", line, form, out, answer.StatusCode(), answer.Body(), status, sampleBody)
			}
			if kept := client.pop(false) != nil; kept == strings.Contains(line, "HTTP/1.0") {
				t.Errorf("%q, %s: connection kept: %v", line, form, kept)
			}
		}
	}
}

// TestHeadReadInPartsIsChecked guards against a check that depends on how the bytes of a
// head arrive.
func TestHeadReadInPartsIsChecked(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		line  string
		valid bool
	}{{"HTTP/1.1 200 OK", true}, {"HTTP/1.1 000 OK", false}, {"HTTP/9.9 200 OK", false}} {
		text := earlyHints + c.line + restOfHead + sampleBody
		for size := 1; size <= len(text); size++ {
			var answer fasthttp.Response
			err := readHead(partsConn(text, size), &answer)
			if (err == nil) != c.valid {
				t.Errorf("%q in parts of %d bytes: got error %v, valid: %v", c.line, size, err, c.valid)
			}
		}
	}
}

// bytesConn is a connection that delivers data in parts of size bytes and then ends.
type bytesConn struct {
	net.Conn
	data *bytes.Reader
	size int
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.data.Read(p[:min(len(p), c.size)]) }

func partsConn(text string, size int) *conn {
	cn := &conn{Conn: &bytesConn{data: bytes.NewReader([]byte(text)), size: size}, readable: maxHead}
	cn.r = bufio.NewReaderSize(cn, bufferSize)
	return cn
}

var validStatusLine = regexp.MustCompile(`^HTTP/1\.[01] +[1-5][0-9][0-9]( |$)`)

// statusLinesOf returns the first line of each head in text.
func statusLinesOf(text string) []string {
	var lines []string
	expected := true
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line != "" && expected {
			lines = append(lines, line)
		}
		expected = line == ""
	}
	return lines
}

// FuzzReadHead guards against a head that is accepted although one of its status lines is
// invalid, and against a status that is not the one on the line.
func FuzzReadHead(f *testing.F) {
	for _, line := range invalidStatusLines {
		f.Add([]byte(line+restOfHead+sampleBody), 7)
		f.Add([]byte(earlyHints+line+restOfHead+sampleBody), 4096)
		f.Add([]byte(line+continueEnd+"HTTP/1.1 200 OK"+restOfHead), 1)
	}
	for line := range validStatusLines {
		f.Add([]byte(line+restOfHead+sampleBody), 7)
		f.Add([]byte(earlyHints+line+restOfHead+sampleBody), 1)
	}
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"), 3)
	f.Add([]byte(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 120)), 4096)
	f.Fuzz(func(t *testing.T, head []byte, size int) {
		cn := partsConn(string(head), min(max(size, 1), len(head)+1))
		var answer fasthttp.Response
		if err := readHead(cn, &answer); err != nil {
			if answer.StatusCode() != fasthttp.StatusOK || answer.Header.Len() != (&fasthttp.Response{}).Header.Len() {
				t.Fatalf("%q is rejected (%v), but the answer has status %d and headers %q", head, err, answer.StatusCode(), answer.Header.String())
			}
			return
		}
		left := cn.r.Buffered() + cn.Conn.(*bytesConn).data.Len()
		lines := statusLinesOf(string(head[:len(head)-left]))
		for _, line := range lines {
			if !validStatusLine.MatchString(line) {
				t.Fatalf("%q is accepted with the status line %q", head, line)
			}
		}
		last := strings.TrimLeft(lines[len(lines)-1][len("HTTP/1.1"):], " ")
		if status := int(last[0]-'0')*100 + int(last[1]-'0')*10 + int(last[2]-'0'); answer.StatusCode() != status {
			t.Fatalf("%q: got status %d, want %d", head, answer.StatusCode(), status)
		}
	})
}
