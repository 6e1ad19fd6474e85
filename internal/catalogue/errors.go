package catalogue

import (
	"fmt"
	"strings"
)

// Problem is one error in a catalogue's text or in an edit.
type Problem struct {
	// Entry is the name of the entry, or empty if the problem concerns the
	// whole text.
	Entry string `json:"entry,omitempty"`
	// Field is the key within the entry, or empty if the problem concerns the
	// whole entry.
	Field string `json:"field,omitempty"`
	// Message describes the problem and the allowed values.
	Message string `json:"message"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	switch {
	case p.Entry == "":
		return p.Message
	case p.Field == "":
		return fmt.Sprintf("entry %s: %s", p.Entry, p.Message)
	default:
		return fmt.Sprintf("entry %s: %s: %s", p.Entry, p.Field, p.Message)
	}
}

// InvalidError lists every problem of a catalogue's text.
type InvalidError struct {
	Problems []Problem
}

// Error returns a summary line, followed by one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("catalogue is invalid: %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// problems collects the problems of a text.
type problems struct {
	list []Problem
}

func (p *problems) add(entry, field, format string, args ...any) {
	p.list = append(p.list, Problem{Entry: entry, Field: field, Message: fmt.Sprintf(format, args...)})
}

// err returns an *InvalidError with the collected problems, or nil.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.list}
}
