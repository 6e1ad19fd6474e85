package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"heathershed/internal/contract"
)

// seriesStep is the resolution of the series in the result.
const seriesStep = 500 * time.Millisecond

// Result is the result of one run. Goodput to AddedP99MS are the measures by
// which runs are compared.
type Result struct {
	Profile string `json:"profile"`
	Policy  string `json:"policy"`
	Seed    int64  `json:"seed"`
	// Goodput is complete answers to callers a second, outside the triggers.
	Goodput float64 `json:"goodput"`
	// RecoverySeconds is the longest of all triggers; -1 if the system did not
	// recover from one of them in the run, 0 without triggers.
	RecoverySeconds float64 `json:"recovery_seconds"`
	OrdersDoubled   int     `json:"orders_doubled"`
	OrdersLost      int     `json:"orders_lost"`
	PartialAnswers  int     `json:"partial_answers"`
	FalseNotRun     int     `json:"false_not_run"`
	AddedP99MS      float64 `json:"added_p99_ms"`

	Promises Promises       `json:"promises"`
	Triggers []Recovery     `json:"triggers"`
	Classes  []ClassResult  `json:"classes"`
	Overhead Overhead       `json:"added"`
	Reasons  map[string]int `json:"reasons"`
	// RunsPerRequest is the number of runs at upstreams per caller request,
	// over the whole run.
	RunsPerRequest float64 `json:"runs_per_request"`
	// Dropped counts the arrivals that were dropped because of maxInFlight.
	Dropped  uint64         `json:"dropped_arrivals"`
	Nodes    []Usage        `json:"nodes"`
	Platform *PlatformUsage `json:"platform,omitempty"`
	Series   []Point        `json:"series"`
	// Timeline is the timeline of the nodes; nil without nodes.
	Timeline *Timeline `json:"-"`
	// Problems are what the load tool itself failed to do.
	Problems []string `json:"problems,omitempty"`
}

// ClassResult is the result of one class over the whole run.
type ClassResult struct {
	Class       string         `json:"class"`
	Offered     int            `json:"offered"`
	Outcomes    map[string]int `json:"ends"`
	P50MS       float64        `json:"p50_ms"`
	P99MS       float64        `json:"p99_ms"`
	P999MS      float64        `json:"p999_ms"`
	CompletePct float64        `json:"whole_percent"`
}

// PlatformUsage is the rate of calls that the stand-in platform counted.
type PlatformUsage struct {
	Reads   float64 `json:"reads_per_second"`
	Writes  float64 `json:"writes_per_second"`
	Waiting int64   `json:"waiting_watches"`
}

// Point is one step of the series over time, in requests a second.
type Point struct {
	AtS      float64                      `json:"at_s"`
	Offered  float64                      `json:"offered"`
	Complete [contract.NumClasses]float64 `json:"whole_by_class"`
	NotRun   float64                      `json:"not_run"`
	Other    float64                      `json:"other"`
}

// classes returns the results of the classes that had requests.
func (m *Meter) classes(end time.Duration) []ClassResult {
	total := sumBuckets(m.snapshot(), 0, end)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []ClassResult
	for c := range contract.NumClasses {
		if total.offered[c] == 0 {
			continue
		}
		r := ClassResult{
			Class: contract.Class(c).String(), Offered: total.offered[c], Outcomes: map[string]int{},
			P50MS:       quantileMS(m.latencies[c], 50),
			P99MS:       quantileMS(m.latencies[c], 99),
			P999MS:      quantileMS(m.latencies[c], 99.9),
			CompletePct: 100 * float64(total.outcomes[c][OutcomeComplete]) / float64(total.offered[c]),
		}
		for e, name := range outcomeNames {
			r.Outcomes[name] = total.outcomes[c][e]
		}
		out = append(out, r)
	}
	return out
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// series returns the run over time.
func series(buckets []bucket, end time.Duration) []Point {
	var out []Point
	for at := time.Duration(0); at+seriesStep <= end; at += seriesStep {
		b := sumBuckets(buckets, at, at+seriesStep)
		p := Point{AtS: at.Seconds(), Offered: perSecond(b.totalOffered(), seriesStep)}
		for c := range contract.NumClasses {
			p.Complete[c] = perSecond(b.outcomes[c][OutcomeComplete], seriesStep)
			p.NotRun += perSecond(b.outcomes[c][OutcomeNotRun], seriesStep)
			p.Other += perSecond(b.outcomes[c][OutcomeFailed]+b.outcomes[c][OutcomeMayHaveRun]+b.outcomes[c][OutcomeNoVerdict], seriesStep)
		}
		out = append(out, p)
	}
	return out
}

// WriteJSON writes the result to the file.
func (r *Result) WriteJSON(file string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, append(text, '\n'), 0o644), "result")
}

// WriteTable writes the result as text for operators.
func (r *Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "profile %s, policy %s, seed %d\n\n", r.Profile, r.Policy, r.Seed)
	fmt.Fprintf(w, "%-8s %8s %8s %9s %9s %9s %9s %8s %9s %9s\n", "class", "offered", "whole",
		"not run", "failed", "may have", "no verd.", "whole %", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-8s %8d %8d %9d %9d %9d %9d %8.2f %9.2f %9.2f\n", c.Class, c.Offered,
			c.Outcomes[outcomeNames[OutcomeComplete]], c.Outcomes[outcomeNames[OutcomeNotRun]], c.Outcomes[outcomeNames[OutcomeFailed]],
			c.Outcomes[outcomeNames[OutcomeMayHaveRun]], c.Outcomes[outcomeNames[OutcomeNoVerdict]], c.CompletePct, c.P50MS, c.P99MS)
	}
	fmt.Fprintf(w, "\n%-34s %10s %10s %12s %10s\n", "trigger", "before/s", "during/s", "orders %", "recovery s")
	for _, t := range r.Triggers {
		fmt.Fprintf(w, "%-34s %10.1f %10.1f %12.2f %10.1f\n", t.Trigger, t.GoodputBefore, t.GoodputDuring,
			100*t.OrdersDuring, t.Seconds)
	}
	p := r.Promises
	fmt.Fprintf(w, "\norders: %d, answered %d, not run %d, failed %d, may have run %d, no verdict %d\n",
		p.Orders, p.OrdersAnswered, p.OrdersNotRun, p.OrdersFailed, p.OrdersMayHaveRun, p.OrdersNoVerdict)
	fmt.Fprintf(w, "orders doubled %d, orders lost %d, partial answers %d, false \"not run\" %d\n",
		p.OrdersDoubled, p.OrdersLost, p.PartialAnswers, p.FalseNotRun)
	for _, e := range p.Examples {
		fmt.Fprintf(w, "  %s\n", e)
	}
	a := r.Overhead
	fmt.Fprintf(w, "goodput %.1f/s, recovery %.1f s, runs per request %.2f\n", r.Goodput, r.RecoverySeconds, r.RunsPerRequest)
	fmt.Fprintf(w, "added by two nodes: p50 %.3f ms, p99 %.3f ms (direct %.3f / %.3f, %d calls, ratio %.2f / %.2f)\n",
		a.AddedP50MS, a.AddedP99MS, a.DirectP50MS, a.DirectP99MS, a.Calls, a.RatioP50, a.RatioP99)
	r.writeReasons(w)
	r.writeNodes(w)
	for _, problem := range r.Problems {
		fmt.Fprintf(w, "problem: %s\n", problem)
	}
}

func (r *Result) writeReasons(w io.Writer) {
	names := make([]string, 0, len(r.Reasons))
	for name := range r.Reasons {
		names = append(names, name)
	}
	sort.Strings(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, r.Reasons[name]))
	}
	if len(parts) > 0 {
		fmt.Fprintf(w, "not answered whole: %s\n", strings.Join(parts, ", "))
	}
}

func (r *Result) writeNodes(w io.Writer) {
	if len(r.Nodes) > 0 {
		fmt.Fprintf(w, "\n%-18s %10s %10s %10s %12s\n", "node", "cpu %", "peak MiB", "kB/s", "control kB/s")
	}
	for _, n := range r.Nodes {
		fmt.Fprintf(w, "%-18s %10.1f %10.1f %10.1f %12.2f\n", n.VM, n.CPUPercent, n.PeakMB, n.KBPerSecond, n.ControlKBPerSecond)
	}
	if r.Platform != nil {
		fmt.Fprintf(w, "platform: %.1f reads/s, %.1f writes/s, %d waiting watches\n",
			r.Platform.Reads, r.Platform.Writes, r.Platform.Waiting)
	}
}
