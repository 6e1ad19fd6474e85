package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"maps"
	"net/textproto"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

// invalidFields are lines that are no field of RFC 9112, each with its end.
func invalidFields() []string {
	lines := []string{
		"X Y: 1\r\n", "X : 1\r\n", "X\t: 1\r\n", " X: 1\r\n", "\tX: 1\r\n", " \r\n", ": 1\r\n", "X\r\n", "=\r\n",
		"Content-Length : 2\r\n", "Content-Length\t: 2\r\n", " Content-Length: 2\r\n", "Content Length: 2\r\n",
		"Transfer-Encoding : chunked\r\n", " folded\r\n", "X: a\rb\r\n", "X: 1\n", "X(: 1\r\n", "X\xc3\xa9: 1\r\n", "\"X\": 1\r\n",
	}
	for c := range 128 {
		if c < ' ' || c == 0x7f {
			lines = append(lines, fmt.Sprintf("X%cY: 1\r\n", c), fmt.Sprintf("%cX: 1\r\n", c), fmt.Sprintf("X%c: 1\r\n", c))
			if c != '\t' && c != '\n' {
				lines = append(lines, fmt.Sprintf("X: a%cb\r\n", c))
			}
		}
	}
	return slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, "\n") || strings.HasPrefix(line, "\r:") })
}

// headForms are answers with a line in them.
func headForms(line string) map[string]string {
	const length = "Content-Length: 4\r\n\r\n" + sampleBody
	long := "X-Long: " + strings.Repeat("a", 6000) + "\r\n"
	return map[string]string{
		"first":          okLine + line + length,
		"last":           okLine + "X: 1\r\n" + strings.Replace(length, "4\r\n", "4\r\n"+line, 1),
		"in a long head": okLine + long + line + length,
		"interim":        "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + okLine + length,
		"interim, later": earlyHints + "HTTP/1.1 103 Early Hints\r\nX: 1\r\n" + line + "\r\n" + okLine + length,
		"chunks":         okLine + "Transfer-Encoding: chunked\r\n" + line + "\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer":        chunks + "4\r\nbody\r\n0\r\n" + line + "\r\n",
		"later trailer":  chunks + "4\r\nbody\r\n0\r\nX: 1\r\n" + line + "\r\n",
		"long trailer":   chunks + "4\r\nbody\r\n0\r\n" + long + line + "\r\n",
		"not modified":   "HTTP/1.1 304 Not Modified\r\n" + line + "\r\n",
	}
}

// TestAnswerWithAnInvalidFieldIsMalformed guards against an answer in whose head or trailer
// the name of a field holds a blank or a control byte: the codec reads some of these names,
// and takes the length of the body from them.
func TestAnswerWithAnInvalidFieldIsMalformed(t *testing.T) {
	t.Parallel()
	for _, line := range invalidFields() {
		for form, text := range headForms(line) {
			for _, order := range []bool{false, true} {
				out, answer, client := exchangeText(t, text, order)
				if out.Verdict != contract.MayHaveRun || out.Reason != contract.ReasonUpstreamFailed && out.Reason != contract.ReasonPartialAnswer {
					t.Errorf("%q, %s: got outcome %+v, status %d, body %q; want may-have-run", line, form, out, answer.StatusCode(), answer.Body())
				}
				if strings.Contains(out.Detail, "X") || strings.Contains(out.Detail, "Content") {
					t.Errorf("%q, %s: detail %q quotes the upstream", line, form, out.Detail)
				}
				if client.pop(false) != nil {
					t.Errorf("%q, %s: connection was kept", line, form)
				}
			}
		}
	}
}

// TestValidFieldsAreRead guards against a check of fields that rejects what upstreams may
// send.
func TestValidFieldsAreRead(t *testing.T) {
	t.Parallel()
	for _, line := range []string{
		"", "X:\r\n", "X: \r\n", "X:1\r\n", "X:\t 1 \t\r\n", "x!#$%&'*+-.^_`|~0: 1\r\n", "X: \xc3\xa9\xff\r\n", "X: a: b\r\n", "Set-Cookie: a=b; c\r\n",
		"X: 1\r\nX: 2\r\n",
	} {
		for form, text := range headForms(line) {
			out, answer, client := exchangeText(t, text, true)
			if out.Verdict != contract.Ran || form != "not modified" && string(answer.Body()) != sampleBody {
				t.Errorf("%q, %s: got outcome %+v, body %q; want the whole answer", line, form, out, answer.Body())
			}
			if kept := client.pop(false) != nil; kept == (form == "not modified") {
				t.Errorf("%q, %s: connection kept: %v", line, form, kept)
			}
		}
	}
}

// TestChunksOfAnOlderProtocolAreMalformed guards against chunks that are passed on as the
// body: HTTP/1.0 has none.
func TestChunksOfAnOlderProtocolAreMalformed(t *testing.T) {
	t.Parallel()
	for _, rest := range []string{"", "Content-Length: 4\r\n"} {
		out, answer, _ := exchangeText(t, "HTTP/1.0 200 OK\r\n"+rest+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true)
		if out.Verdict != contract.MayHaveRun {
			t.Errorf("%q: got outcome %+v, body %q; want may-have-run", rest, out, answer.Body())
		}
	}
}

// TestTrailersAreNoHeaders guards against a trailer that is passed on as if it had been in
// the head.
func TestTrailersAreNoHeaders(t *testing.T) {
	t.Parallel()
	out, answer, _ := exchangeText(t, okLine+"Trailer: X-Late\r\n"+strings.TrimPrefix(chunks, okLine)+"4\r\nbody\r\n0\r\nX-Late: 1\r\n\r\n", true)
	if got := answer.Header.Peek("X-Late"); out.Verdict != contract.Ran || len(got) > 0 {
		t.Errorf("got outcome %+v, X-Late %q; want ran without it", out, got)
	}
}

// TestFieldsReadInPartsAreChecked guards against a check that depends on how the bytes of a
// head arrive.
func TestFieldsReadInPartsAreChecked(t *testing.T) {
	t.Parallel()
	for line, valid := range map[string]bool{"X: 1\r\n": true, "X : 1\r\n": false, " X: 1\r\n": false, "X: a\x01\r\n": false} {
		text := earlyHints + okLine + "A: 1\r\n" + line + "Content-Length: 4\r\n\r\n" + sampleBody
		for size := 1; size <= len(text); size++ {
			var answer fasthttp.Response
			if err := readHead(partsConn(text, size), &answer); (err == nil) != valid {
				t.Errorf("%q in parts of %d bytes: got error %v, valid: %v", line, size, err, valid)
			}
		}
	}
}

// codecFields are fields that the codec keeps apart or combines.
var codecFields = map[string]bool{
	"content-length": true, "content-type": true, "content-encoding": true, "connection": true, "server": true,
	"set-cookie": true, "transfer-encoding": true, "trailer": true, "date": true,
}

// fieldsOf returns the sorted fields of a head but for those of codecFields.
func fieldsOf(answer *fasthttp.Response) []string {
	var fields []string
	for name, value := range answer.Header.All() {
		if lower := strings.ToLower(string(name)); !codecFields[lower] {
			fields = append(fields, lower+":"+strings.Trim(string(value), " \t"))
		}
	}
	slices.Sort(fields)
	return fields
}

// strictFieldsOf is fieldsOf by the reader of the standard library.
func strictFieldsOf(head []byte) ([]string, error) {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return nil, err
	}
	header, err := r.ReadMIMEHeader()
	var fields []string
	for _, name := range slices.Collect(maps.Keys(header)) {
		for _, value := range header[name] {
			if lower := strings.ToLower(name); !codecFields[lower] {
				fields = append(fields, lower+":"+strings.Trim(value, " \t"))
			}
		}
	}
	slices.Sort(fields)
	return fields, err
}

// FuzzFields guards against a head that is accepted and that a strict reader rejects or
// reads in another way.
func FuzzFields(f *testing.F) {
	for _, line := range append(invalidFields(), "X: 1\r\n", "x:\r\nX: 2\r\n") {
		f.Add([]byte(line), 7)
		f.Add([]byte("X: 1\r\n"+line), 4096)
	}
	f.Fuzz(func(t *testing.T, lines []byte, size int) {
		text := okLine + string(lines) + "\r\n\r\n"
		cn := partsConn(text, min(max(size, 1), len(text)))
		var answer fasthttp.Response
		if err := readHead(cn, &answer); err != nil {
			return
		}
		left := cn.r.Buffered() + cn.Conn.(*bytesConn).data.Len()
		strict, err := strictFieldsOf([]byte(text[:len(text)-left]))
		if got := fieldsOf(&answer); err != nil || !slices.Equal(got, strict) {
			t.Fatalf("%q is accepted with fields %q; a strict reader has %q, error %v", lines, got, strict, err)
		}
	})
}
