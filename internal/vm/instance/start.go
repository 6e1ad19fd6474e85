package instance

import (
	"strconv"
	"strings"
	"time"
)

// bornSeparator is between the id and the start in an identity. No id contains it.
const bornSeparator = "/"

// maxClockError bounds how far the clock of an upstream is ahead of the node's. A start
// later than that orders nothing.
const maxClockError = time.Minute

// Identity returns the name by which nodes know one start of an upstream: its id, with
// the Unix millisecond of its start if the upstream reports that. An upstream may start
// again under the id that it had.
func Identity(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + bornSeparator + strconv.FormatInt(born, 10)
}

// IDOf returns the id in an identity, by which the upstream knows itself.
func IDOf(identity string) string {
	id, _, _ := strings.Cut(identity, bornSeparator)
	return id
}

// bornOf returns the start in an identity; 0 if it has none.
func bornOf(identity string) int64 {
	_, text, _ := strings.Cut(identity, bornSeparator)
	born, _ := strconv.ParseInt(text, 10, 64) // written by Identity
	return born
}
