package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
	"heathershed/internal/report"
	"heathershed/internal/timeline"
)

// timelineOptions are the filters of "timeline".
type timelineOptions struct {
	since              time.Duration
	request, order     string
	vm, service, kinds string
}

func timelineFlags(flags *flag.FlagSet, inv *invocation) {
	o := &inv.timeline
	flags.DurationVar(&o.since, "since", 0, "only events of the last while, such as 10m")
	flags.StringVar(&o.request, "request", "", "only this request, over all hops (the Heathershed-Request-Id of its answer)")
	flags.StringVar(&o.order, "order", "", "only this order and the requests that named it")
	flags.StringVar(&o.vm, "vm", "", "only events at or about this VM")
	flags.StringVar(&o.service, "service", "", "only this service")
	flags.StringVar(&o.kinds, "kind", "", "only these kinds of event, by commas")
}

func (o *timelineOptions) filter(now time.Time) (f timeline.Filter, err error) {
	f = timeline.Filter{VM: o.vm, Service: o.service}
	if o.since > 0 {
		f.From = now.Add(-o.since)
	}
	if o.request != "" {
		if f.Root, err = timeline.ParseRoot(o.request); err != nil {
			return f, usagef("-request: %v", err)
		}
	}
	if o.order != "" {
		if f.Order, err = contract.ParseOrderID(o.order); err != nil {
			return f, usagef("-order: %v", err)
		}
	}
	for _, name := range strings.FieldsFunc(o.kinds, func(r rune) bool { return r == ',' }) {
		kind, err := timeline.ParseKind(strings.TrimSpace(name))
		if err != nil {
			return f, usagef("-kind: %v", err)
		}
		f.Kinds = append(f.Kinds, kind)
	}
	return f, nil
}

// mergedTimeline is the JSON output of "timeline".
type mergedTimeline struct {
	Events []timeline.Event `json:"events"`
	Gaps   []timeline.Gap   `json:"gaps"`
	Unseen []string         `json:"unseen,omitempty"`
	// MayBeIncomplete says that events of the request in question may have been
	// sampled out or overwritten.
	MayBeIncomplete bool `json:"may_be_incomplete,omitempty"`
}

func runTimeline(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("timeline", 0, 0); err != nil {
		return err
	}
	filter, err := inv.timeline.filter(time.Now())
	if err != nil {
		return err
	}
	f, err := inv.discover(ctx)
	if err != nil {
		return err
	}
	path := report.PathTimeline
	if !filter.From.IsZero() {
		path += fmt.Sprintf("?since=%d", timeline.Stamp(filter.From))
	}
	traces := queryAll(ctx, f, func(ctx context.Context, m report.Member) (timeline.Trace, error) {
		body, err := f.client.call(ctx, fasthttp.MethodGet, m.AdminAddress, path)
		if err != nil {
			return timeline.Trace{}, err
		}
		return timeline.Decode(bytes.NewReader(body))
	})
	if len(traces) == 0 {
		return errors.Wrap(errNoNode, strings.Join(f.unseen, "; "))
	}
	events, gaps := timeline.Merge(traces)
	gaps = relevantGaps(gaps, filter)
	merged := mergedTimeline{Events: filter.Select(events), Gaps: gaps, Unseen: f.unseen}
	merged.MayBeIncomplete = filter.Root != (contract.RootID{}) && !timeline.IsComplete(filter.Root, traces)
	err = inv.print(merged, func(w io.Writer) { err = merged.write(w) })
	return errors.CombineErrors(err, f.partial())
}

// relevantGaps removes gaps due to sampling if the filter asks only for kinds
// that are never sampled.
func relevantGaps(gaps []timeline.Gap, filter timeline.Filter) []timeline.Gap {
	for _, kind := range filter.Kinds {
		if kind >= timeline.KindCall && kind <= timeline.KindOrderVerdict {
			return gaps
		}
	}
	if len(filter.Kinds) == 0 {
		return gaps
	}
	return slices.DeleteFunc(gaps, func(g timeline.Gap) bool { return g.Missed == 0 })
}

func (m *mergedTimeline) write(w io.Writer) error {
	if err := timeline.Write(w, m.Events, m.Gaps); err != nil {
		return err
	}
	if m.MayBeIncomplete {
		fmt.Fprintln(w, "-- events of this request may be missing: sampled out or overwritten")
	}
	return nil
}
