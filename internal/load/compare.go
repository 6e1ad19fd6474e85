package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// ReadResult reads a result that WriteJSON has written.
func ReadResult(file string) (*Result, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "result")
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, errors.Wrapf(err, "result %s", file)
	}
	return r, nil
}

// WriteComparison writes a Markdown table with one row per trigger of each
// result.
func WriteComparison(w io.Writer, results []*Result) {
	fmt.Fprintln(w, "| profile | policy | seed | trigger | whole/s before | whole/s during | orders whole during | recovery s |"+
		" doubled | lost | partial | false not run | runs/request | added p50/p99 ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range results {
		triggers := r.Triggers
		if len(triggers) == 0 {
			triggers = []Recovery{{Trigger: "none", GoodputBefore: r.Goodput, OrdersDuring: -1}}
		}
		for _, t := range triggers {
			fmt.Fprintf(w, "| %s | %s | %d | %s | %.0f | %.0f | %s | %s | %d | %d | %d | %d | %.2f | %.2f / %.2f |\n",
				r.Profile, r.Policy, r.Seed, t.Trigger, t.GoodputBefore, t.GoodputDuring,
				percentOrNone(t.OrdersDuring), secondsOrNever(t.Seconds),
				r.OrdersDoubled, r.OrdersLost, r.PartialAnswers, r.FalseNotRun, r.RunsPerRequest,
				r.Overhead.AddedP50MS, r.Overhead.AddedP99MS)
		}
	}
}

func percentOrNone(share float64) string {
	if share < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*share)
}

func secondsOrNever(s float64) string {
	if s < 0 {
		return "not in the run"
	}
	return fmt.Sprintf("%.1f", s)
}
