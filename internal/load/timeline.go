package load

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
	"heathershed/internal/report"
	"heathershed/internal/timeline"
)

// adminTimeout bounds one call to a node's operator endpoint.
const adminTimeout = 3 * time.Second

// Timeline is the merged timeline of all nodes after a run.
type Timeline struct {
	events []timeline.Event
	gaps   []timeline.Gap
	traces []timeline.Trace
	// Missing lists the VMs whose timeline could not be read.
	Missing []string
}

// readTimelines reads the timelines of all nodes.
func readTimelines(l *Layout) *Timeline {
	tl := &Timeline{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range l.VMs {
		wg.Go(func() {
			t, err := readTrace(vm)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				tl.Missing = append(tl.Missing, vm.Name)
				return
			}
			tl.traces = append(tl.traces, t)
		})
	}
	wg.Wait()
	tl.events, tl.gaps = timeline.Merge(tl.traces)
	return tl
}

func readTrace(vm VM) (timeline.Trace, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+vm.Admin+report.PathTimeline, adminTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return timeline.Trace{}, errors.Newf("read timeline of VM %s: status %d, %v", vm.Name, status, err)
	}
	return timeline.Decode(bytes.NewReader(body))
}

// Write writes the number of events of each kind, and then the trace over all
// hops of one order that was answered, one that was refused, and one request
// that was shed.
func (tl *Timeline) Write(w io.Writer) error {
	for _, vm := range tl.Missing {
		fmt.Fprintf(w, "-- %s: its time line could not be read\n", vm)
	}
	counts := make(map[timeline.Kind]int)
	for _, e := range tl.events {
		counts[e.Kind]++
	}
	for k := timeline.KindNone; counts[k] > 0 || k.String() != "unknown"; k++ {
		if counts[k] > 0 {
			fmt.Fprintf(w, "%8d %s\n", counts[k], k)
		}
	}
	answered := func(e timeline.Event) bool {
		return e.Kind == timeline.KindOrderVerdict && e.Verdict == contract.Ran
	}
	refused := func(e timeline.Event) bool {
		return !e.Order.IsZero() && e.Verdict == contract.NotRun && e.Reason != contract.ReasonNone
	}
	shed := func(e timeline.Event) bool {
		return e.Kind == timeline.KindShed && e.Order.IsZero() && timeline.IsComplete(e.Root, tl.traces)
	}
	for _, part := range []struct {
		title string
		match func(timeline.Event) bool
	}{
		{"an order that was answered", answered},
		{"an order that was refused", refused},
		{"a request that was shed", shed},
	} {
		if err := tl.writeTrace(w, part.title, part.match); err != nil {
			return err
		}
	}
	return nil
}

// writeTrace writes the trace with the most events among those of the first
// maxExamples matching events.
func (tl *Timeline) writeTrace(w io.Writer, title string, match func(timeline.Event) bool) error {
	var best []timeline.Event
	tried := 0
	for _, e := range tl.events {
		if !match(e) || tried >= maxExamples {
			continue
		}
		tried++
		f := timeline.Filter{Root: e.Root}
		if !e.Order.IsZero() {
			f = timeline.Filter{Order: e.Order}
		}
		if events := f.Select(tl.events); len(events) > len(best) {
			best = events
		}
	}
	fmt.Fprintf(w, "\n%s:\n", title)
	if len(best) == 0 {
		_, err := fmt.Fprintln(w, "  none")
		return err
	}
	return timeline.Write(w, best, nil)
}

// WriteFile writes the timeline to the file.
func (tl *Timeline) WriteFile(file string) error {
	var text bytes.Buffer
	if err := tl.Write(&text); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, text.Bytes(), 0o644), "write timeline")
}
