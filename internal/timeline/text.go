package timeline

import (
	"fmt"
	"io"
	"strings"
	"time"

	"heathershed/internal/contract"
)

// timeFormat is the format of the first column.
const timeFormat = "15:04:05.000"

// reasonTexts explains the reasons to operators.
var reasonTexts = map[contract.Reason]string{
	contract.ReasonUnknownKind:     "no catalogue entry matches",
	contract.ReasonBadRequest:      "the request violates the contract of its kind",
	contract.ReasonTooLarge:        "a body exceeds the limit of its kind",
	contract.ReasonOverload:        "shed: its priority level is below the active threshold",
	contract.ReasonQueueTimeout:    "waited in the queue as long as its class allows",
	contract.ReasonDeadline:        "its deadline passed or can't be met",
	contract.ReasonLimit:           "exceeds a limit of its catalogue entry or its owner",
	contract.ReasonNoUpstream:      "no upstream of the service can be chosen",
	contract.ReasonLeaving:         "the chosen VM is leaving",
	contract.ReasonLinkLost:        "the link failed or became unresponsive",
	contract.ReasonUpstreamRefused: "the upstream rejected it without running it",
	contract.ReasonUpstreamFailed:  "the connection to the upstream failed",
	contract.ReasonPartialAnswer:   "the answer was truncated",
	contract.ReasonCancelled:       "its caller disconnected",
	contract.ReasonRetryBudget:     "the retry budget of the root request is exhausted",
	contract.ReasonParentEnded:     "its parent request has ended",
	contract.ReasonOrderRunning:    "the order is running already",
	contract.ReasonOrderUnknown:    "the record of the order may have been lost",
	contract.ReasonOrderExpired:    "the order id is older than the retention of records",
	contract.ReasonOrderHome:       "the home node of the order can't be reached or does not consider itself the home",
	contract.ReasonStaleTarget:     "the VM was restarted since it was chosen",
	contract.ReasonRingFull:        "a ring inside the node was full",
	contract.ReasonUpstreamSilent:  "the upstream has stopped responding",
	contract.ReasonUpstreamLimit:   "the limit that the upstream names is used up",
	contract.ReasonHeaderTooLarge:  "its request line and headers exceed the limit of the configuration",
	contract.ReasonCrashesUpstream: "upstreams that ran the same request crashed",
	contract.ReasonUnauthenticated: "no valid key",
	contract.ReasonKeysUnconfirmed: "the table of keys is too old",
	contract.ReasonQuota:           "the workspace is over its limit",
}

// Write writes the events, one line each, and a line for each gap before the
// first event that follows it.
func Write(w io.Writer, events []Event, gaps []Gap) error {
	out := &errWriter{w: w}
	var start time.Time
	if len(events) > 0 {
		start = Time(events[0].HLC)
	}
	for _, e := range events {
		gaps = writeGaps(out, gaps, e.HLC)
		out.printf("%s\n", Line(e, start))
	}
	for _, g := range gaps {
		writeGap(out, g)
	}
	return out.err
}

// writeGaps writes the gaps that end at or before the stamp and returns the
// others.
func writeGaps(out *errWriter, gaps []Gap, before uint64) []Gap {
	var later []Gap
	for _, g := range gaps {
		if g.Before > before || g.Before == 0 {
			later = append(later, g)
			continue
		}
		writeGap(out, g)
	}
	return later
}

func writeGap(out *errWriter, g Gap) {
	out.printf("-- %s: %d events overwritten before here, %d sampled out since its start\n",
		g.VM, g.Missed, g.SampledOut)
}

// Line returns the text of one event; start is the time of the first event
// shown.
func Line(e Event, start time.Time) string {
	at := Time(e.HLC)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %+8dms  %-14s %s%-18s", at.UTC().Format(timeFormat),
		at.Sub(start).Milliseconds(), e.VM, strings.Repeat("  ", int(e.Depth)), e.Kind)
	field(&b, "", joinSlash(e.Service, e.RequestKind))
	field(&b, "-> ", e.Peer)
	if e.Kind.hasVerdict() {
		field(&b, "", e.Verdict.String())
	}
	if e.Reason != contract.ReasonNone {
		fmt.Fprintf(&b, " [%s: %s]", e.Reason, reasonTexts[e.Reason])
	}
	if !e.Order.IsZero() {
		field(&b, "order ", e.Order.String())
	}
	if e.Root != (contract.RootID{}) {
		field(&b, "request ", e.Root.String())
	}
	field(&b, "", e.Detail)
	return b.String()
}

func field(b *strings.Builder, label, value string) {
	if value != "" {
		b.WriteString(" " + label + value)
	}
}

func joinSlash(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "/" + b
}

// errWriter remembers the first error and skips all writes after it.
type errWriter struct {
	w   io.Writer
	err error
}

func (e *errWriter) printf(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format, args...)
	}
}
