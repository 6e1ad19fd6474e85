package explain

import (
	"fmt"
	"io"
	"time"
)

// Write writes the trace as text: one line per event with the time since the
// first one, then the cause, then the number of lines missing from the logs, if
// any.
func (t Trace) Write(w io.Writer) error {
	var text string
	for _, l := range t.Lines {
		text += fmt.Sprintf("%8.3f s  %-24s %s\n", l.Time.Sub(t.Lines[0].Time).Seconds(), l.At, l.describe())
	}
	cause := "none is logged"
	if t.Cause != nil {
		cause = t.Cause.explain()
	}
	text += "cause: " + cause + "\n"
	if t.Missing > 0 {
		text += fmt.Sprintf("the logs leave out %d lines; some may be of this request\n", t.Missing)
	}
	_, err := io.WriteString(w, text)
	return err
}

// describe returns the text of an event.
func (l Line) describe() string {
	text := l.Message + ": " + l.ID + " on " + l.Route
	if l.Parent != "" {
		text += ", called for " + l.Parent
	}
	if l.Message == messageShed {
		return text + fmt.Sprintf(", below threshold %d", l.Threshold)
	}
	text += ", " + l.outcome()
	switch {
	case l.RunMs > 0 || l.WaitMs > 0:
		text += fmt.Sprintf(", waited %d ms and ran %d ms at %s", l.WaitMs, l.RunMs, l.Instance)
	case l.TookMs > 0:
		text += fmt.Sprintf(", after %v", time.Duration(l.TookMs)*time.Millisecond)
	}
	return text
}

func (l Line) outcome() string {
	if l.Verdict == "ran" {
		return fmt.Sprintf("status %d of the upstream", l.Status)
	}
	text := l.Verdict + " (" + l.Reason + ")"
	if l.Detail != "" {
		text += ": " + l.Detail
	}
	return text
}

// explain returns the text of a cause.
func (l Line) explain() string {
	place := l.At
	if l.VM != "" {
		place = l.VM
	}
	switch l.Message {
	case messageShed:
		return fmt.Sprintf("%s was shed at %s: what it leads to has no room (threshold %d)", l.Route, l.At, l.Threshold)
	case messageRunFailed:
		return fmt.Sprintf("%s at instance %s beside %s: %s", l.Route, l.Instance, l.At, l.outcome())
	default:
		return fmt.Sprintf("%s at %s: %s", l.Route, place, l.outcome())
	}
}
