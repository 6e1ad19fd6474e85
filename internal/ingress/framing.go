package ingress

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// headReader finds the end of a request's head in the bytes that are delivered to the
// server, and keeps them until the length of the body is known.
type headReader struct {
	bytes []byte
	// ended says that the empty line behind the head was delivered.
	ended bool
	// newline says that the last byte, apart from a carriage return, was a line feed.
	newline, returned bool
}

// keptHead is the size of the buffer that a headReader keeps between requests.
const keptHead = 1 << 10

func (h *headReader) reset() {
	if cap(h.bytes) > keptHead {
		h.bytes = nil
	}
	*h = headReader{bytes: h.bytes[:0]}
}

// add takes bytes up to the end of the head and returns their number.
func (h *headReader) add(p []byte) int {
	n := 0
	for n < len(p) && !h.ended {
		switch c := p[n]; {
		case c == '\n':
			h.ended = h.newline
			h.newline, h.returned = true, false
		case c == '\r' && h.newline && !h.returned:
			h.returned = true
		default:
			h.newline, h.returned = false, false
		}
		n++
	}
	h.bytes = append(h.bytes, p[:n]...)
	return n
}

// bodySize returns the number of bytes of the body behind the head. For a body in
// chunks it is only known if all of it is in next.
func (h *headReader) bodySize(next []byte) (int, bool) {
	var header fasthttp.RequestHeader
	if err := header.Read(bufio.NewReaderSize(bytes.NewReader(h.bytes), len(h.bytes))); err != nil {
		return 0, false
	}
	if n := header.ContentLength(); n >= 0 {
		return n, true
	}
	var req fasthttp.Request
	size, state := readRequest(append(bytes.Clone(h.bytes), next...), len(h.bytes), &req)
	return size - len(h.bytes), state == complete && size > len(h.bytes)
}

// readState says what readRequest has found.
type readState uint8

const (
	// incomplete: the request may continue behind the data.
	incomplete readState = iota
	// complete: the data begins with the whole request.
	complete
	// invalid: the server must read the request to tell.
	invalid
)

// readRequest reads the request at the beginning of data with the codec of the server,
// and returns its size in bytes. headBytes bounds its head.
func readRequest(data []byte, headBytes int, req *fasthttp.Request) (size int, state readState) {
	var head headReader
	n := head.add(data)
	if n > headBytes {
		return 0, invalid
	}
	if !head.ended {
		return 0, incomplete
	}
	rest := bytes.NewReader(data)
	r := bufio.NewReaderSize(rest, n)
	if err := req.Header.Read(r); err != nil || req.MayContinue() {
		return 0, invalid
	}
	var uri fasthttp.URI
	length := req.Header.ContentLength()
	if length > maxBody || uri.Parse(req.Header.Host(), req.Header.RequestURI()) != nil {
		return 0, invalid
	}
	if length > len(data)-n {
		return 0, incomplete
	}
	const preParseForms = false // as the server
	// The codec allocates a chunk as soon as its size is announced, so the body is bounded
	// by what has arrived.
	if err := req.ContinueReadBody(r, len(data), preParseForms); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) || rest.Len() == 0 && r.Buffered() == 0 {
			return 0, incomplete
		}
		return 0, invalid
	}
	return len(data) - rest.Len() - r.Buffered(), complete
}
