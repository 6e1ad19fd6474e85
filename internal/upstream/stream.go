package upstream

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// streamPart is the size in bytes of the parts in which a body is sent.
const streamPart = 64 << 10

// Stream returns a body that is sent in large parts.
func Stream(body io.Reader) io.Reader { return streamBody{body} }

type streamBody struct{ io.Reader }

// WriteTo implements io.WriterTo.
func (s streamBody) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for part := make([]byte, streamPart); ; {
		n, err := s.Read(part)
		sent, writeErr := w.Write(part[:n])
		written += int64(sent)
		switch {
		case writeErr != nil:
			return written, writeErr
		case errors.Is(err, io.EOF):
			return written, nil
		case err != nil:
			return written, err
		}
	}
}

// errBodyEnded is returned for a request whose body ended early.
var errBodyEnded = errors.New("the body ended early")

// streamAndRead is sendAndRead for a body that is a stream. It does not wait for the stream
// once the answer is there, as its sender may be slow: the connection is closed instead.
func (c *Client) streamAndRead(ctx context.Context, cn *conn, req Request, answer *fasthttp.Response) (step string, err error) {
	sent := make(chan error, 1)
	go func() {
		err := send(cn, req)
		sent <- err
		if err != nil {
			_ = cn.Close() // no answer is to be expected
		}
	}()
	if err := c.readMatching(ctx, cn, req, answer); err != nil {
		_ = cn.Close()
		select {
		case sendErr := <-sent:
			if sendErr != nil && !isNetwork(sendErr) {
				return stepRead, errBodyEnded
			}
		default:
		}
		return stepRead, err
	}
	select {
	case err := <-sent:
		if err == nil {
			return stepDone, nil
		}
	default:
		_ = cn.Close()
	}
	return stepEarly, nil
}
