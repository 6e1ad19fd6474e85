package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// The status line is checked before the codec parses it: the codec reads the status 000 as
// 200, accepts each status of three digits and each version of the protocol.

// peekLine returns the next line that is not empty, without its end, and consumes
// nothing. The codec skips empty lines too.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for {
		buffered, _ := r.Peek(r.Buffered()) // never fails: it is buffered
		if line, ok := firstLine(buffered); ok {
			return line, nil
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			if errors.Is(err, io.EOF) && r.Buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
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

// isStatusLine reports whether a line is of HTTP/1.0 or HTTP/1.1 and has a status from 100
// to 599. Several spaces before the status are allowed, as the codec allows them.
func isStatusLine(line []byte) bool {
	version, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return false
	}
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return len(status) == 3 && '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
