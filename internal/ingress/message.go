package ingress

import (
	"bytes"
	"iter"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

const (
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = 10 * time.Minute
	// maxAttempt bounds the caller's own count.
	maxAttempt = 1000
	// roundUpSeconds turns milliseconds into the whole seconds of Retry-After.
	roundUpSeconds = 999
)

// Headers is what the heathershed headers of a request say.
type Headers struct {
	// CallID ties a sub-call to its parent; empty for a root request.
	CallID string
	// Timeout is the caller's; 0 where it names none.
	Timeout time.Duration
	// Attempt is the caller's own attempt; AttemptKnown is false where it
	// names none.
	Attempt      int
	AttemptKnown bool
	// Order is zero where the caller names none.
	Order contract.OrderID
}

// ReadHeaders reads the heathershed headers; the error says which one is wrong
// and what is allowed.
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

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = [][]byte{
	[]byte("connection"), []byte("keep-alive"), []byte("proxy-connection"),
	[]byte("transfer-encoding"), []byte("content-length"), []byte("te"),
	[]byte("trailer"), []byte("upgrade"), []byte("expect"), []byte("host"),
}

var ownPrefix = []byte("heathershed-")

// IsForwarded reports whether a header is passed on to the other end.
func IsForwarded(name []byte) bool {
	if len(name) >= len(ownPrefix) && bytes.EqualFold(name[:len(ownPrefix)], ownPrefix) {
		return false
	}
	return !isHop(name)
}

// isHop reports whether a header concerns one connection only.
func isHop(name []byte) bool {
	for _, hop := range hopHeaders {
		if bytes.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// headerSource is a request's or an answer's header.
type headerSource interface {
	All() iter.Seq2[[]byte, []byte]
}

// CopyHeaders returns copies of the headers that are passed on.
func CopyHeaders(h headerSource) []*linkpb.Header { return CopyHeadersIf(h, IsForwarded) }

// CopyHeadersIf returns copies of the headers that concern more than one
// connection and that pass.
func CopyHeadersIf(h headerSource, pass func(name []byte) bool) []*linkpb.Header {
	var out []*linkpb.Header
	for name, value := range h.All() {
		if !isHop(name) && pass(name) {
			out = append(out, &linkpb.Header{Name: bytes.Clone(name), Value: bytes.Clone(value)})
		}
	}
	return out
}

// WriteReply writes the reply of a call to its caller. root is the id of the
// root request.
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
		rc.SetBodyString(explain(verdict, reason, reply.Detail))
		return
	}
	for _, header := range reply.Headers {
		h.AddBytesKV(header.Name, header.Value)
	}
	rc.SetStatusCode(int(reply.Status))
	rc.SetBody(reply.Body)
}

func explain(verdict contract.Verdict, reason contract.Reason, detail string) string {
	text := verdict.String() + ": " + reason.String()
	if detail != "" {
		text += ": " + detail
	}
	return text + "\n"
}

// HasConflictingLengths reports whether a request gives both a length and chunks. What
// reads one of them sees another end of the body than what reads the other.
func HasConflictingLengths(h *fasthttp.RequestHeader) bool {
	length, chunks := false, false
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		chunks = chunks || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length && chunks
}
