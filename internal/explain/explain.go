// Package explain reconstructs the trace of one request from the logs of several
// nodes: the lines of the request and of the calls made for it, in order of
// time, and the line with the cause of its failure. It needs no running process.
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

// maxLine bounds the length of a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log. docs/LOGS.md describes the fields.
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
	// Threshold is the threshold that a shed request was below.
	Threshold int `json:"threshold"`
	// Count is the number of lines dropped, in a line with messageDropped.
	Count int `json:"count"`
	// Suppressed is the number of lines of this message suppressed before it.
	Suppressed int `json:"suppressed"`
}

// Messages that a trace treats differently.
const (
	messageShed      = "request shed"
	messageFailed    = "request failed"
	messageRunFailed = "run failed"
	messageDropped   = "log lines dropped"
)

// Index holds the lines of all logs that were read.
type Index struct {
	byID     map[string][]Line
	byParent map[string][]Line
	missing  int // lines that the logs report as suppressed or dropped
}

// New returns an empty index.
func New() *Index {
	return &Index{byID: make(map[string][]Line), byParent: make(map[string][]Line)}
}

// Read adds the lines of a log. It ignores the part of a line before the first
// brace, and lines that contain no JSON object.
func (x *Index) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		x.add(lines.Bytes())
	}
	return errors.Wrap(lines.Err(), "log")
}

func (x *Index) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var l Line
	if json.Unmarshal(text[start:], &l) != nil {
		return
	}
	x.missing += l.Suppressed
	if l.Message == messageDropped {
		x.missing += l.Count
	}
	if l.ID != "" {
		x.byID[l.ID] = append(x.byID[l.ID], l)
	}
	if l.Parent != "" {
		x.byParent[l.Parent] = append(x.byParent[l.Parent], l)
	}
}

// Trace is the lines of one request and of the calls made for it.
type Trace struct {
	// Lines is sorted by time.
	Lines []Line
	// Cause is the line with the cause of the failure; nil if there is none.
	Cause *Line
	// Missing is the number of lines that the logs report as suppressed or
	// dropped, over all requests.
	Missing int
}

// maxDepth bounds the depth of the call tree that is followed.
const maxDepth = 16

// Trace returns the trace of a request; ok is false if no line has its id.
func (x *Index) Trace(id string) (t Trace, ok bool) {
	t.Missing = x.missing
	x.collect(id, 0, map[string]bool{}, &t)
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	if cause, found := x.cause(id, 0); found {
		t.Cause = &cause
	}
	return t, len(t.Lines) > 0
}

// collect appends the lines of a request and of the calls below it to t.
func (x *Index) collect(id string, depth int, seen map[string]bool, t *Trace) {
	if seen[id] || depth > maxDepth {
		return
	}
	seen[id] = true
	t.Lines = append(t.Lines, x.byID[id]...)
	for _, child := range x.byParent[id] {
		x.collect(child.ID, depth+1, seen, t)
	}
}

// cause returns the line that explains the failure of a request: the cause of
// the first failed call made for it, found the same way, or else one of the
// lines of the request itself.
func (x *Index) cause(id string, depth int) (Line, bool) {
	if depth > maxDepth {
		return Line{}, false
	}
	children := slices.Clone(x.byParent[id])
	slices.SortStableFunc(children, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.ID, b.ID)) })
	for _, child := range children {
		if child.Message != messageFailed || child.ID == id {
			continue
		}
		if cause, ok := x.cause(child.ID, depth+1); ok {
			return cause, true
		}
	}
	for _, message := range []string{messageShed, messageRunFailed, messageFailed} {
		for _, l := range x.byID[id] {
			if l.Message == message {
				return l, true
			}
		}
	}
	return Line{}, false
}
