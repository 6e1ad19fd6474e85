package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// bufferSize is the size of each of a connection's two buffers in bytes.
	bufferSize = 4 << 10
	// maxHead bounds the bytes of an answer before its body, those of answers
	// before the final one included. It is above the header limits that operators
	// set.
	maxHead = 32 << 10
	// maxStale bounds the answers to earlier requests that are skipped.
	maxStale = 2
	// maxInterim bounds the answers before the final one.
	maxInterim = 100
	// framingDivisor gives the bytes that chunk sizes and extensions may take,
	// as a part of the bound on the body.
	framingDivisor = 8
)

// Content lengths that fasthttp reports for answers of unknown length.
const (
	chunked    = -1
	untilClose = -2
)

var (
	// errStaleAnswers is returned if only answers to other requests were received.
	errStaleAnswers = errors.New("answers belong to other requests")
	// errNoFraming is returned for an answer whose end cannot be distinguished
	// from a truncation.
	errNoFraming = errors.New("answer with neither a length nor chunks")
	// errUnprovenEnd is returned for an answer that ends with its connection, while the
	// request was still being sent: that end may be an abort.
	errUnprovenEnd = errors.New("answer without a length ended before the request was sent")
	// errBadChunks is returned for a body in chunks that can't be read.
	errBadChunks = errors.New("chunks are invalid")
	// errTooManyInterim is returned if the final answer does not come.
	errTooManyInterim = errors.New("too many interim answers")
	// errTooManyBytes is returned for an answer that takes more bytes than its
	// head, body and framing may.
	errTooManyBytes = errors.New("answer takes more bytes than allowed")
)

// Read reads from the connection. It fails once all bytes that the current answer
// may take have been read.
func (c *conn) Read(p []byte) (int, error) {
	if c.readable <= 0 {
		return 0, errTooManyBytes
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readable)])
	c.readable -= n
	return n, err
}

// enlarge replaces the read buffer by one that holds the largest head. What was
// buffered is kept.
func (c *conn) enlarge() {
	buffered, _ := c.r.Peek(c.r.Buffered()) // never fails: it is buffered
	kept := bytes.NewReader(bytes.Clone(buffered))
	c.r = bufio.NewReaderSize(io.MultiReader(kept, c), maxHead)
}

// shrink replaces a read buffer that was enlarged and is empty by a small one.
func (c *conn) shrink() {
	if c.r.Size() > bufferSize && c.r.Buffered() == 0 {
		c.r = bufio.NewReaderSize(c, bufferSize)
	}
}

// readMatching reads answers until one belongs to the request. Once one was skipped,
// only an answer that names the request does.
func (c *Client) readMatching(ctx context.Context, cn *conn, req Request, answer *fasthttp.Response) error {
	for skipped := range maxStale + 1 {
		if err := c.read(ctx, cn, req, answer); err != nil {
			return err
		}
		match := req.match(answer)
		cn.unnamed = match == MatchUnnamed
		cn.foreign = cn.foreign || match == MatchNone || match == MatchUnnamed && skipped > 0
		if match == MatchNamed || match == MatchUnnamed && skipped == 0 {
			return nil
		}
		if answer.ConnectionClose() {
			break
		}
	}
	answer.Reset()
	return errStaleAnswers
}

// read reads an answer and rejects one whose end cannot be known.
func (c *Client) read(ctx context.Context, cn *conn, req Request, answer *fasthttp.Response) error {
	cn.readable = maxHead
	if err := readHead(cn, answer); err != nil {
		return err
	}
	if !req.hasBody(answer) {
		return nil
	}
	length := answer.Header.ContentLength()
	if length == untilClose && !req.AllowUntilClose {
		return errNoFraming
	}
	cn.readable += bodyBytes(length, req.MaxAnswer)
	body, err := c.memory.readAll(ctx, bodyOf(cn, length), length, req.MaxAnswer)
	answer.SkipBody = false
	answer.SetBodyRaw(body)
	return err
}

// bodyOf returns the body of an answer whose head has been read.
func bodyOf(cn *conn, length int) io.Reader {
	switch {
	case length >= 0:
		return io.LimitReader(cn.r, int64(length))
	case length == chunked:
		return &chunkedBody{cn: cn, chunks: httputil.NewChunkedReader(cn.r)}
	default:
		return cn.r
	}
}

// chunkedBody is a body in chunks. It ends behind its trailer.
type chunkedBody struct {
	cn     *conn
	chunks io.Reader
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if err := readTrailer(b.cn); err != nil {
			return n, err
		}
		return n, io.EOF
	case isNetwork(err) || errors.IsAny(err, io.ErrUnexpectedEOF, errTooManyBytes):
		return n, err
	default:
		return n, errBadChunks
	}
}

// readHead reads the head of the final answer. On an error answer is empty.
func readHead(cn *conn, answer *fasthttp.Response) error {
	for range maxInterim + 1 {
		answer.Reset()
		answer.SkipBody = true
		if err := readOneHead(cn, answer); err != nil {
			answer.Reset()
			return err
		}
		if !isInterim(answer.StatusCode()) {
			return nil
		}
	}
	answer.Reset()
	return errTooManyInterim
}

// readOneHead reads one head, of a final answer or of one before it.
func readOneHead(cn *conn, answer *fasthttp.Response) error {
	err := parseHead(cn.r, answer)
	var small *fasthttp.ErrSmallBuffer
	if cn.r.Size() < maxHead && (errors.As(err, &small) || errors.Is(err, bufio.ErrBufferFull)) {
		cn.enlarge()
		err = parseHead(cn.r, answer)
	}
	return err
}

// isInterim reports whether another answer follows one of this status. 101 ends the
// exchange.
func isInterim(status int) bool {
	return status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

// bodyBytes returns the bytes that a body may take with its framing.
func bodyBytes(length, most int) int {
	switch {
	case length >= 0:
		return min(length, most)
	case length == chunked:
		return most + most/framingDivisor + maxHead
	default:
		return most + 1
	}
}

func mayHaveBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
