// Package fieldline checks the field lines of HTTP messages. The codec accepts names that
// hold or end with blanks, and lines that continue the one before. Two readers of such a
// line may disagree on what it says, among others on where the body ends.
package fieldline

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

const crlf = "\r\n"

// Check checks a line of a head or trailer with its end, and returns the name of the field;
// empty for the empty line behind the last one. A line is valid if it is a field of RFC 9112
// without line folding.
func Check(line string) (name string, ok bool) {
	field, ok := strings.CutSuffix(line, crlf)
	if !ok || field == "" {
		return "", ok
	}
	name, value, ok := strings.Cut(field, ":")
	return name, ok && IsField(name, value)
}

// CheckAll reports whether all lines of text are valid.
func CheckAll(text string) bool {
	for line := range strings.Lines(text) {
		if _, ok := Check(line); !ok {
			return false
		}
	}
	return true
}

// IsField reports whether a name and a value can be a field line.
func IsField(name, value string) bool {
	return httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}
