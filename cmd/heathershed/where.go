package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/report"
)

// whereOptions are the flags of "where".
type whereOptions struct{ attempt, keyFile string }

func whereFlags(flags *flag.FlagSet, inv *invocation) {
	flags.StringVar(&inv.where.attempt, "attempt", "", "attempt id of the request; its level follows from it")
	flags.StringVar(&inv.where.keyFile, "key-file", "", "file with the API key of the request")
}

// runWhere asks each node of the settings where a request would be routed now.
func runWhere(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("where", 1, 1); err != nil {
		return err
	}
	host, path, found := strings.Cut(inv.args[0], "/")
	if !found || host == "" {
		return usagef("where: %.80q: want HOST/PATH, as in a request", inv.args[0])
	}
	if len(inv.settings.nodes) == 0 {
		return usagef("no address: give -nodes, or set HEATHERSHED_NODES; for nodes beside an upstream, their metrics addresses")
	}
	key := ""
	if inv.where.keyFile != "" {
		text, err := os.ReadFile(inv.where.keyFile)
		if err != nil {
			return errors.Wrap(err, "key")
		}
		key = "Bearer " + strings.TrimSpace(string(text))
	}
	query := url.Values{"host": {host}, "path": {"/" + path}, "attempt": {inv.where.attempt}}
	client := newNodeClient()
	var list []report.Where
	var unseen []string
	for _, address := range inv.settings.nodes {
		var w report.Where
		body, err := client.callWith(ctx, fasthttp.MethodGet, address, report.PathWhere+"?"+query.Encode(), key)
		if err == nil {
			err = errors.Wrapf(json.Unmarshal(body, &w), "node at %s", address)
		}
		if err != nil {
			unseen = append(unseen, errorText(err))
			continue
		}
		list = append(list, w)
	}
	if len(list) == 0 {
		return errors.Mark(errors.Newf("no node answers: %s", strings.Join(unseen, "; ")), errNoNode)
	}
	err := inv.print(list, func(out io.Writer) {
		for i := range list {
			printWhere(out, &list[i])
		}
	})
	if len(unseen) > 0 {
		return errors.CombineErrors(err, &partialError{unseen})
	}
	return err
}

func printWhere(out io.Writer, w *report.Where) {
	fmt.Fprintf(out, "%s%s at %s: %s", w.Host, w.Path, w.VM, w.Outcome)
	if w.Reason != "" {
		fmt.Fprintf(out, ", %s", w.Reason)
	}
	fmt.Fprintf(out, "\n  configuration version %d, %s\n", w.Version, w.Confirmed)
	if w.Route == "" {
		return
	}
	kind := "orders"
	if w.Idempotent {
		kind = "idempotent"
	}
	fmt.Fprintf(out, "  route %s (%s)\n  key %s", w.Route, kind, w.Key)
	if w.Workspace != "" {
		fmt.Fprintf(out, ", workspace %s", w.Workspace)
	}
	fmt.Fprintf(out, "\n  quota %s\n", w.Quota)
	if len(w.Services) == 0 {
		return
	}
	fmt.Fprintf(out, "  level %d to %d, threshold %d: %.0f%% rejected here\n", w.LowestLevel, w.HighestLevel, w.Threshold, 100*w.Rejected)
	for _, s := range w.Services {
		fmt.Fprintf(out, "service %s, weight %d, %d upstreams\n", s.Service, s.Weight, len(s.Upstreams))
		t := newTable(out, "VM", "DATACENTRE", "SLOTS", "OUTSTANDING", "EXPECTED MS", "COST", "STANDING")
		for _, u := range s.Upstreams {
			t.row(u.VM, u.Datacentre, u.Slots, u.Outstanding, fmt.Sprintf("%.1f", u.ExpectedMs), fmt.Sprintf("%.4g", u.Cost), u.Standing)
		}
		t.flush()
	}
}
