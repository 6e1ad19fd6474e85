package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLine bounds the length of a line of an encoded trace, in bytes.
const maxLine = 64 << 10

// Encode writes the trace as JSON lines: one per event, then one with the other
// fields of the trace.
func (t Trace) Encode(w io.Writer) error {
	lines := json.NewEncoder(w)
	for _, e := range t.Events {
		if err := lines.Encode(e); err != nil {
			return errors.Wrap(err, "time line")
		}
	}
	t.Events = nil
	return errors.Wrap(lines.Encode(t), "time line")
}

// Decode decodes a trace written by Encode. It returns an error if the last line
// is missing, because the text was truncated.
func Decode(r io.Reader) (Trace, error) {
	var t Trace
	complete := false
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if isLast(line) {
			events := t.Events
			if err := json.Unmarshal(line, &t); err != nil {
				return t, errors.Wrap(err, "timeline")
			}
			t.Events, complete = events, true
			continue
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return t, err
		}
		t.Events = append(t.Events, e)
	}
	if err := lines.Err(); err != nil {
		return t, errors.Wrap(err, "timeline")
	}
	if !complete {
		return t, errors.New("timeline: truncated, last line is missing")
	}
	return t, nil
}

// isLast reports whether the line is the last one of a trace, the only one with
// the key "left_out".
func isLast(line []byte) bool {
	var probe struct {
		SampledOut *uint64 `json:"left_out"`
	}
	return json.Unmarshal(line, &probe) == nil && probe.SampledOut != nil
}
