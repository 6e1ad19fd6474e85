package ingress

import (
	"bytes"
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/fieldline"
)

const (
	// maxTimeout bounds the timeout that a caller may ask for.
	maxTimeout = 10 * time.Minute
	// maxAttempt bounds the caller's attempt number.
	maxAttempt = 1000
	// roundUpSeconds is added to milliseconds to round them up to the whole
	// seconds of Retry-After.
	roundUpSeconds = 999
)

// Headers are the decoded Heathershed headers of a request.
type Headers struct {
	// CallID identifies the parent of a nested call; empty for a root request.
	CallID string
	// Timeout is the timeout that the caller asks for; 0 if there is none.
	Timeout time.Duration
	// Attempt is the caller's attempt number; AttemptKnown is false if the
	// caller sends none.
	Attempt      int
	AttemptKnown bool
	// Order is the id of an order; zero if the caller sends none.
	Order contract.OrderID
}

// ReadHeaders decodes the Heathershed headers of a request. The error names the
// invalid header and the allowed values.
func ReadHeaders(h *fasthttp.RequestHeader) (Headers, error) {
	in := Headers{CallID: string(h.Peek(contract.HeaderCall))}
	if text := h.Peek(contract.HeaderTimeout); len(text) > 0 {
		ms, err := strconv.Atoi(string(text))
		if err != nil || ms < 1 || ms > int(maxTimeout/time.Millisecond) {
			return in, errors.Newf("%s: want 1 to %d milliseconds", contract.HeaderTimeout, maxTimeout/time.Millisecond)
		}
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	if text := h.Peek(contract.HeaderAttempt); len(text) > 0 {
		n, err := strconv.Atoi(string(text))
		if err != nil || n < 0 || n > maxAttempt {
			return in, errors.Newf("%s: want 0 to %d", contract.HeaderAttempt, maxAttempt)
		}
		in.Attempt, in.AttemptKnown = n, true
	}
	if text := h.Peek(contract.HeaderOrder); len(text) > 0 {
		id, err := contract.ParseOrderID(string(text))
		if err != nil {
			return in, errors.Wrap(err, contract.HeaderOrder)
		}
		in.Order = id
	}
	return in, nil
}

// hopHeaders are the hop-by-hop headers, which are never forwarded.
var hopHeaders = [][]byte{
	[]byte("connection"), []byte("keep-alive"), []byte("proxy-connection"),
	[]byte("transfer-encoding"), []byte("content-length"), []byte("te"),
	[]byte("trailer"), []byte("upgrade"), []byte("expect"), []byte("host"),
}

var heathershedPrefix = []byte("heathershed-")

// IsForwarded reports whether a header is forwarded, as all are except
// hop-by-hop and Heathershed headers.
func IsForwarded(name []byte) bool {
	if len(name) >= len(heathershedPrefix) && bytes.EqualFold(name[:len(heathershedPrefix)], heathershedPrefix) {
		return false
	}
	return !isHop(name)
}

// isHop reports whether a header is hop-by-hop.
func isHop(name []byte) bool {
	for _, hop := range hopHeaders {
		if bytes.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// headerSource is the header of a request or of an answer.
type headerSource interface {
	All() iter.Seq2[[]byte, []byte]
}

// CopyHeaders returns copies of the headers that are forwarded.
func CopyHeaders(h headerSource) []*linkpb.Header { return CopyHeadersIf(h, IsForwarded) }

// CopyHeadersIf returns copies of the headers that are not hop-by-hop and for
// which pass returns true.
func CopyHeadersIf(h headerSource, pass func(name []byte) bool) []*linkpb.Header {
	var out []*linkpb.Header
	for name, value := range h.All() {
		if !isHop(name) && pass(name) {
			out = append(out, &linkpb.Header{Name: bytes.Clone(name), Value: bytes.Clone(value)})
		}
	}
	return out
}

// WriteReply writes the reply of a call to its caller as an HTTP response. root
// is the id of the root request. A call without an answer gets a status and a
// text that follow from its verdict and reason.
func WriteReply(rc *fasthttp.RequestCtx, reply *linkpb.CallReply, root string) {
	verdict := contract.Verdict(reply.Verdict)
	reason := contract.Reason(reply.Reason)
	h := &rc.Response.Header
	h.Set(contract.HeaderVerdict, verdict.String())
	h.Set(contract.HeaderReason, reason.String())
	h.Set(contract.HeaderRoot, root)
	if reply.RetryAfterMs > 0 {
		h.Set(contract.HeaderRetryAfter, strconv.Itoa(int(reply.RetryAfterMs)))
		h.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(reply.RetryAfterMs+roundUpSeconds)/1000))
	}
	if verdict != contract.Ran {
		rc.SetStatusCode(contract.Status(verdict, reason))
		rc.SetContentType("text/plain; charset=utf-8")
		rc.SetBodyString(replyText(verdict, reason, reply.Detail))
		return
	}
	for _, header := range reply.Headers {
		h.AddBytesKV(header.Name, header.Value)
	}
	rc.SetStatusCode(int(reply.Status))
	rc.SetBody(reply.Body)
}

func replyText(verdict contract.Verdict, reason contract.Reason, detail string) string {
	text := verdict.String() + ": " + reason.String()
	if detail != "" {
		text += ": " + detail
	}
	return text + "\n"
}

// HeaderSize returns the size of a request's line and headers in bytes.
func HeaderSize(h *fasthttp.RequestHeader) int {
	const separators = len("  HTTP/1.1\r\n")
	return len(h.Method()) + len(h.RequestURI()) + separators + len(h.RawHeaders())
}

// Ambiguity returns why two parsers may disagree on where a request ends, which allows
// request smuggling; empty if they don't: it has both a Content-Length and a
// Transfer-Encoding, or a line in its head is no field, or the continuation of one.
func Ambiguity(h *fasthttp.RequestHeader) string {
	length, chunks := false, false
	for line := range strings.Lines(string(h.RawHeaders())) {
		name, ok := fieldline.Check(line)
		if !ok {
			return "a field line is invalid"
		}
		length = length || strings.EqualFold(name, fasthttp.HeaderContentLength)
		chunks = chunks || strings.EqualFold(name, fasthttp.HeaderTransferEncoding)
	}
	if length && chunks {
		return "both a length and chunks"
	}
	return ""
}
