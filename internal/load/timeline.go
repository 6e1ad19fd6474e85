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

// Timeline is the time line of all nodes after a run.
type Timeline struct {
	events []timeline.Event
	gaps   []timeline.Gap
	traces []timeline.Trace
	// Missing are VMs whose time line could not be read.
	Missing []string
}

// readStory gathers the time lines of all nodes.
func readStory(l *Layout) *Timeline {
	s := &Timeline{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, vm := range l.VMs {
		wait.Go(func() {
			t, err := readTrace(vm)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.Missing = append(s.Missing, vm.Name)
				return
			}
			s.traces = append(s.traces, t)
		})
	}
	wait.Wait()
	s.events, s.gaps = timeline.Merge(s.traces)
	return s
}

func readTrace(vm VM) (timeline.Trace, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+vm.Admin+report.PathTimeline, adminTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return timeline.Trace{}, errors.Newf("time line of %s: status %d, %v", vm.Name, status, err)
	}
	return timeline.Decode(bytes.NewReader(body))
}

// Write writes how many events of each kind there were, and follows one order
// that was answered, one that was refused, and one shed request over all their
// hops.
func (s *Timeline) Write(w io.Writer) error {
	for _, vm := range s.Missing {
		fmt.Fprintf(w, "-- %s: its time line could not be read\n", vm)
	}
	counts := make(map[timeline.Kind]int)
	for _, e := range s.events {
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
		return e.Kind == timeline.KindShed && e.Order.IsZero() && timeline.IsComplete(e.Root, s.traces)
	}
	for _, part := range []struct {
		title  string
		choose func(timeline.Event) bool
	}{
		{"an order that was answered", answered},
		{"an order that was refused", refused},
		{"a request that was shed", shed},
	} {
		if err := s.follow(w, part.title, part.choose); err != nil {
			return err
		}
	}
	return nil
}

// follow writes the events around the chosen one that has most of them.
func (s *Timeline) follow(w io.Writer, title string, choose func(timeline.Event) bool) error {
	var best []timeline.Event
	tried := 0
	for _, e := range s.events {
		if !choose(e) || tried >= maxExamples {
			continue
		}
		tried++
		f := timeline.Filter{Root: e.Root}
		if !e.Order.IsZero() {
			f = timeline.Filter{Order: e.Order}
		}
		if events := f.Select(s.events); len(events) > len(best) {
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

// WriteFile writes the story to the file.
func (s *Timeline) WriteFile(file string) error {
	var text bytes.Buffer
	if err := s.Write(&text); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, text.Bytes(), 0o644), "time line")
}
