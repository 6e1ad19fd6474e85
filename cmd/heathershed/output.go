package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// print writes v as JSON if -json is set, otherwise it calls text.
func (inv *invocation) print(v any, text func(io.Writer)) error {
	if inv.settings.json {
		out := json.NewEncoder(inv.stdout)
		out.SetIndent("", "  ")
		return out.Encode(v)
	}
	text(inv.stdout)
	return nil
}

// table writes aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, heads ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.w, strings.Join(heads, "\t"))
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() { _ = t.w.Flush() }
