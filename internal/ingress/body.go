package ingress

import (
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/memory"
)

const (
	// freeBody is the part of each body that needs no share of the memory, so that
	// small requests never wait for large ones. It is what the HTTP library reads
	// of a body by itself.
	freeBody = 8 << 10
	// minRate is the mean rate in bytes a second that a body must reach once
	// readTimeout has passed, and maxBodyTime bounds the time to receive one.
	minRate     = 256 << 10
	maxBodyTime = time.Minute
	// progressStep is the number of bytes between two records of progress.
	progressStep = 16 << 10
	// memoryWait bounds the wait for memory that an aborted transfer releases.
	memoryWait = time.Second
	// headerRefused marks a request whose declared length is over the limit. What a
	// client sends under this name is removed.
	headerRefused = "Heathershed-Refused-Length"
)

// Errors of a body that was not read completely. The request has not run.
var (
	// ErrBodyTooLarge: the body is over the limit.
	ErrBodyTooLarge = errors.New("body over the limit")
	// ErrNoMemory: no memory is left for the body.
	ErrNoMemory = errors.New("no memory is left for the body")
	// ErrBodySlow: the body took too long.
	ErrBodySlow = errors.New("body not received in time")
)

// BodyOptions make a server read bodies itself, within a budget.
type BodyOptions struct {
	// Budget bounds the bytes of all bodies.
	Budget *memory.Budget
	// Limit returns the bound on one body in bytes.
	Limit func() int
	// Whole is the size in bytes up to which a body is read completely before its request
	// is handled. A larger one is an Upload. The default is MaxBody.
	Whole int
	// IsOrder reports whether a request is an order.
	IsOrder func(rc *fasthttp.RequestCtx) bool
	// Refuse writes the answer to a request whose body was not read, for one of the
	// errors above or that of the connection.
	Refuse func(rc *fasthttp.RequestCtx, err error)
}

// checkLength marks a request whose declared length is over the limit, so that
// nothing of its body is read or asked for.
func (o *BodyOptions) checkLength(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	h.Del(headerRefused)
	if declared := h.ContentLength(); declared > o.Limit() {
		h.Set(headerRefused, strconv.Itoa(declared))
		h.Del(fasthttp.HeaderExpect)
		h.SetContentLength(0)
	}
	return fasthttp.RequestConfig{}
}

// DeclaredLength returns the length in the header of a request that was refused
// with ErrBodyTooLarge; 0 if it had none.
func DeclaredLength(h *fasthttp.RequestHeader) int {
	n, _ := strconv.Atoi(string(h.Peek(headerRefused))) // written by checkLength
	return n
}

// read reads the body of a request, or the beginning of an upload. release gives back its
// memory.
func (o *BodyOptions) read(rc *fasthttp.RequestCtx) (body []byte, upload *Upload, release func(), err error) {
	none := func() {}
	if len(rc.Request.Header.Peek(headerRefused)) > 0 {
		return nil, nil, none, ErrBodyTooLarge
	}
	stream, declared := rc.Request.BodyStream(), rc.Request.Header.ContentLength()
	if stream == nil || declared == 0 {
		return nil, nil, none, nil
	}
	r := &bodyReader{options: o, rc: rc, began: time.Now(), limit: o.Limit(), whole: o.whole(), declared: declared}
	body, complete, err := r.readAll(stream)
	switch {
	case err == nil && !complete:
		return nil, newUpload(r, body, stream), r.claim.Release, nil
	case r.claim == nil:
		return body, nil, none, r.cause(err)
	case err != nil:
		err = r.cause(err)
		r.claim.Release()
		return nil, nil, none, err
	}
	r.claim.Fix()
	if r.claim.Aborted() {
		r.claim.Release()
		return nil, nil, none, ErrNoMemory
	}
	return body, nil, r.claim.Release, nil
}

func (o *BodyOptions) whole() int {
	if o.Whole <= 0 {
		return MaxBody
	}
	return o.Whole
}

// bodyReader reads one body.
type bodyReader struct {
	options         *BodyOptions
	rc              *fasthttp.RequestCtx
	began           time.Time
	limit, declared int
	// whole is the size up to which the body is read completely.
	whole int
	// claim is nil until the body needs a share of the memory.
	claim *memory.Claim
	// recorded is the number of bytes at the last record of progress.
	recorded int
}

// readAll reads to the end of the body, or the beginning of one that is too large to be
// held. Its buffer grows as bytes arrive: a length that is only declared takes no memory.
func (r *bodyReader) readAll(stream io.Reader) (body []byte, complete bool, err error) {
	if min(r.declared, r.limit) > r.whole {
		return nil, false, r.reserve(UploadMemory)
	}
	body = make([]byte, 0, r.capacity(0))
	for {
		if len(body) > r.whole {
			return body, false, r.reserve(max(len(body), UploadMemory))
		}
		if len(body) == cap(body) {
			size := r.capacity(cap(body))
			if err := r.reserve(size); err != nil {
				return nil, false, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.readPart(stream, body[len(body):cap(body)], len(body))
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// readPart reads a part of the body behind the first read bytes. It returns io.EOF only at
// the end of a complete body.
func (r *bodyReader) readPart(stream io.Reader, p []byte, read int) (int, error) {
	n, err := stream.Read(p)
	read += n
	switch {
	case read > r.limit:
		return n, ErrBodyTooLarge
	case errors.Is(err, io.EOF) && (r.declared < 0 || read == r.declared):
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	case err != nil:
		return n, err
	}
	return n, r.progressed(read)
}

// capacity returns the size of the buffer that follows one of the given size. One
// byte beyond the body shows its end or an excess.
func (r *bodyReader) capacity(size int) int {
	most := min(r.limit, r.whole) + 1
	if r.declared >= 0 {
		most = r.declared + 1
	}
	return min(max(2*size, freeBody), most)
}

// reserve waits until there is memory for a buffer of the given size.
func (r *bodyReader) reserve(size int) error {
	if size <= freeBody {
		return nil
	}
	conn := r.rc.Conn()
	if r.claim == nil {
		r.claim = r.options.Budget.Claim(time.Now(), r.options.IsOrder(r.rc), func() {
			_ = conn.SetReadDeadline(time.Unix(1, 0)) // ends the read that is pending
		})
	}
	if !r.claim.Acquire(int64(size), memoryWait) {
		return ErrNoMemory
	}
	return nil
}

// progressed records that n bytes have arrived and sets the time until which the
// next ones must.
func (r *bodyReader) progressed(n int) error {
	if n-r.recorded < progressStep {
		return nil
	}
	r.recorded = n
	now := time.Now()
	allowed := readTimeout + time.Duration(n)*time.Second/minRate
	if err := r.rc.Conn().SetReadDeadline(r.began.Add(min(allowed, maxBodyTime))); err != nil {
		return err
	}
	if r.claim == nil {
		return nil
	}
	r.claim.Progress(now)
	if r.claim.Aborted() {
		return ErrNoMemory // the deadline of the abort may just have been replaced
	}
	return nil
}

// cause returns the reason for which a read ended with an error.
func (r *bodyReader) cause(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return err
	case r.claim != nil && r.claim.Aborted():
		return ErrNoMemory
	case errors.As(err, &timeout) && timeout.Timeout():
		return ErrBodySlow
	}
	return err
}
