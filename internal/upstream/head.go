package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"heathershed/internal/fieldline"
)

// Each line of a head and of a trailer is checked before the codec parses it. The codec
// reads the status 000 as 200, and accepts each status of three digits, each version of the
// protocol and lines that are no fields.

var (
	// errNoStatus is returned for an answer whose status line has no status from 100
	// to 599, or another protocol than HTTP/1.0 or HTTP/1.1.
	errNoStatus = errors.New("status line is invalid")
	// errBadField is returned for an answer with a line in its head or trailer that is no
	// field of RFC 9112, or that begins with a blank.
	errBadField = errors.New("field line is invalid")
)

const crlf = "\r\n"

// parseHead checks the next head and parses it.
func parseHead(r *bufio.Reader, answer *fasthttp.Response) error {
	line, err := peekLine(r)
	if err != nil {
		return err
	}
	if !isStatusLine(line) {
		return errNoStatus
	}
	head, err := peekSection(r, headEnd)
	if err != nil {
		return err
	}
	if err := checkHead(string(head)); err != nil {
		return err
	}
	return answer.Header.Read(r)
}

// checkHead checks the fields of a head that ends with its empty line. Empty lines before
// the status line are skipped, as by the codec.
func checkHead(head string) error {
	line, fields, _ := strings.Cut(strings.TrimLeft(head, crlf), "\n")
	for field := range strings.Lines(fields) {
		name, ok := fieldline.Check(field)
		// Where a body with such a coding ends is not defined in HTTP/1.0, which has no chunks.
		if !ok || strings.HasPrefix(line, "HTTP/1.0") && strings.EqualFold(name, fasthttp.HeaderTransferEncoding) {
			return errBadField
		}
	}
	return nil
}

// readTrailer reads and checks the trailer behind a body in chunks. Its fields are dropped:
// what is passed on has a length and no place for them.
func readTrailer(cn *conn) error {
	trailer, err := peekSection(cn.r, trailerEnd)
	if errors.Is(err, bufio.ErrBufferFull) && cn.r.Size() < maxHead {
		cn.enlarge()
		trailer, err = peekSection(cn.r, trailerEnd)
	}
	if err != nil {
		return err
	}
	if !fieldline.CheckAll(string(trailer)) {
		return errBadField
	}
	_, err = cn.r.Discard(len(trailer))
	return err
}

// headEnd returns the length of the head at the beginning of text with its empty line; 0 if
// that is not complete. from is where the search begins.
func headEnd(text []byte, from int) int {
	skipped := len(text) - len(bytes.TrimLeft(text, crlf))
	return sectionEnd(text, max(from, skipped))
}

// trailerEnd is headEnd for a trailer, which may have no field.
func trailerEnd(text []byte, from int) int {
	if bytes.HasPrefix(text, []byte(crlf)) {
		return len(crlf)
	}
	return sectionEnd(text, from)
}

// sectionEnd returns the length of text up to the first empty line behind from.
func sectionEnd(text []byte, from int) int {
	for {
		i := bytes.IndexByte(text[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := text[from:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte(crlf)):
			return from + len(crlf)
		}
	}
}

// peekSection returns the next bytes up to an end, and consumes nothing.
func peekSection(r *bufio.Reader, end func(text []byte, from int) int) ([]byte, error) {
	const longestEnd = len("\n\r\n")
	for searched := 0; ; {
		buffered, _ := r.Peek(r.Buffered()) // never fails: it is buffered
		if n := end(buffered, max(searched-longestEnd, 0)); n > 0 {
			return buffered[:n], nil
		}
		searched = len(buffered)
		if err := peekMore(r); err != nil {
			return nil, err
		}
	}
}

// peekLine returns the next line that is not empty, without its end, and consumes
// nothing. The codec skips empty lines too.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for {
		buffered, _ := r.Peek(r.Buffered()) // never fails: it is buffered
		if line, ok := firstLine(buffered); ok {
			return line, nil
		}
		if err := peekMore(r); err != nil {
			return nil, err
		}
	}
}

// peekMore reads more into the buffer. The end of the connection behind buffered bytes is
// an unexpected one.
func peekMore(r *bufio.Reader) error {
	_, err := r.Peek(r.Buffered() + 1)
	if errors.Is(err, io.EOF) && r.Buffered() > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// firstLine returns the first complete line that is not empty, without its end.
func firstLine(text []byte) (line []byte, ok bool) {
	for {
		line, text, ok = bytes.Cut(text, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if !ok || len(line) > 0 {
			return line, ok
		}
	}
}

// isStatusLine reports whether a line is of HTTP/1.0 or HTTP/1.1, has a status from 100
// to 599 and no control bytes. Several spaces before the status are allowed, as the codec
// allows them.
func isStatusLine(line []byte) bool {
	version, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return false
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return len(status) == 3 && '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2]) &&
		httpguts.ValidHeaderFieldValue(string(reason))
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
