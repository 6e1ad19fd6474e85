// Package explain tells the story of one request from the logs of several
// nodes: its own lines, and those of the calls that were made for it, in order
// of time, and the line that is its cause. It needs no running process.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log, as docs/LOGS.md describes it.
type Line struct {
	Time     time.Time `json:"time"`
	At       string    `json:"at"` // VM that wrote it
	Message  string    `json:"msg"`
	ID       string    `json:"id"`
	Parent   string    `json:"parent"`
	Route    string    `json:"route"`
	Service  string    `json:"service"`
	Verdict  string    `json:"verdict"`
	Reason   string    `json:"reason"`
	Detail   string    `json:"detail"`
	VM       string    `json:"vm"`
	From     string    `json:"from"`
	Instance string    `json:"instance"`
	Status   int       `json:"status"`
	Inner    bool      `json:"inner"`
	TookMs   int64     `json:"took_ms"`
	WaitMs   int64     `json:"wait_ms"`
	RunMs    int64     `json:"service_ms"`
	// Threshold is the one that a request was shed by.
	Threshold int `json:"threshold"`
	// Count is the number of lines dropped.
	Count int `json:"count"`
	// Suppressed is the number of lines of this message left out before it.
	Suppressed int `json:"suppressed"`
}

// Messages of lines that the story needs to tell apart.
const (
	messageShed    = "request shed"
	messageFailed  = "request failed"
	messageRun     = "run failed"
	messageDropped = "log lines dropped"
)

// Index holds the lines of all logs that were read.
type Index struct {
	byID     map[string][]Line
	byParent map[string][]Line
	left     int
}

// New returns an empty book.
func New() *Index {
	return &Index{byID: make(map[string][]Line), byParent: make(map[string][]Line)}
}

// Read takes in a log. What stands before the first brace of a line is left
// out, as are lines that are no log lines.
func (b *Index) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		b.take(lines.Bytes())
	}
	return errors.Wrap(lines.Err(), "log")
}

func (b *Index) take(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var l Line
	if json.Unmarshal(text[start:], &l) != nil {
		return
	}
	b.left += l.Suppressed
	if l.Message == messageDropped {
		b.left += l.Count
	}
	if l.ID != "" {
		b.byID[l.ID] = append(b.byID[l.ID], l)
	}
	if l.Parent != "" {
		b.byParent[l.Parent] = append(b.byParent[l.Parent], l)
	}
}

// Trace is what is known of one request.
type Trace struct {
	// Lines are in order of time.
	Lines []Line
	// Cause is the line that says why it failed; nil where none does.
	Cause *Line
	// Missing is the number of lines that all logs say are missing.
	Missing int
}

// maxDepth bounds the calls below a request that are followed.
const maxDepth = 16

// Trace returns the story of a request; ok is false where no line names it.
func (b *Index) Trace(id string) (s Trace, ok bool) {
	s.Missing = b.left
	b.collect(id, 0, map[string]bool{}, &s)
	slices.SortStableFunc(s.Lines, func(x, y Line) int { return x.Time.Compare(y.Time) })
	if cause, found := b.cause(id, 0); found {
		s.Cause = &cause
	}
	return s, len(s.Lines) > 0
}

func (b *Index) collect(id string, depth int, seen map[string]bool, s *Trace) {
	if seen[id] || depth > maxDepth {
		return
	}
	seen[id] = true
	s.Lines = append(s.Lines, b.byID[id]...)
	for _, child := range b.byParent[id] {
		b.collect(child.ID, depth+1, seen, s)
	}
}

// cause returns the line that explains the failure of a request: that of the
// deepest call which failed first, else what its own lines say.
func (b *Index) cause(id string, depth int) (Line, bool) {
	if depth > maxDepth {
		return Line{}, false
	}
	children := slices.Clone(b.byParent[id])
	slices.SortStableFunc(children, func(x, y Line) int { return cmp.Or(x.Time.Compare(y.Time), cmp.Compare(x.ID, y.ID)) })
	for _, child := range children {
		if child.Message != messageFailed || child.ID == id {
			continue
		}
		if cause, ok := b.cause(child.ID, depth+1); ok {
			return cause, true
		}
	}
	for _, message := range []string{messageShed, messageRun, messageFailed} {
		for _, l := range b.byID[id] {
			if l.Message == message {
				return l, true
			}
		}
	}
	return Line{}, false
}
