package load

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"heathershed/internal/contract"
)

// Headers between the callers and upstreams of this package. Nodes forward them
// unchanged.
const (
	// headerCall is the id of one attempt of a caller. All nested calls below
	// the attempt carry it too.
	headerCall = "Load-Call"
	// headerDepth is 0 at the upstream that the caller's request names and one
	// more for each level of nested calls.
	headerDepth = "Load-Depth"
)

// answerID returns the id that an answer carries: the order's id, or else that
// of the caller's attempt. With the order's id, a repeated order may be
// answered with the record of its first run.
func answerID(call uint64, order contract.OrderID) string {
	if order.IsZero() {
		return strconv.FormatUint(call, 10)
	}
	return order.String()
}

// answerBody returns a body of about size bytes. It begins with name and kind
// and ends in a checksum, so that a truncated answer, or one of another
// request, is detected.
func answerBody(name, kind string, size int) []byte {
	body := make([]byte, 0, len(name)+len(kind)+size+20)
	body = fmt.Appendf(body, "%s %s\n", name, kind)
	for len(body) < size {
		body = append(body, byte('a'+len(body)%26))
	}
	return fmt.Appendf(body, "\n%016x", xxhash.Sum64(body))
}

// checkBody reports whether body is the complete answer of that name and kind.
func checkBody(body []byte, name, kind string) bool {
	end := bytes.LastIndexByte(body, '\n')
	if end < 0 {
		return false
	}
	sum, err := strconv.ParseUint(string(body[end+1:]), 16, 64)
	if err != nil || sum != xxhash.Sum64(body[:end]) {
		return false
	}
	return bytes.HasPrefix(body, fmt.Appendf(nil, "%s %s\n", name, kind))
}
