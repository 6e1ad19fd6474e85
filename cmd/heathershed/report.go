package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"heathershed/internal/report"
)

// fleetReport is the JSON output of "report".
type fleetReport struct {
	// Versions counts nodes by their active catalogue version.
	Versions map[uint64]int `json:"catalogue_versions"`
	// Services summarises the upstreams by service and VM.
	Services []upstreamSummary `json:"upstreams"`
	Nodes    []report.Node     `json:"nodes"`
	// Unseen lists what could not be reached.
	Unseen []string `json:"unseen,omitempty"`
}

// upstreamSummary is one upstream as all nodes see it.
type upstreamSummary struct {
	Service string `json:"service"`
	VM      string `json:"vm"`
	// States counts nodes by the state in which they see the upstream.
	States map[string]int `json:"states"`
	// Reasons are the distinct reasons for not choosing it.
	Reasons []string `json:"reasons,omitempty"`
}

func runReport(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("report", 0, 0); err != nil {
		return err
	}
	f, err := inv.discover(ctx)
	if err != nil {
		return err
	}
	nodes := queryAll(ctx, f, f.report)
	if len(nodes) == 0 {
		return errors.Wrap(errNoNode, strings.Join(f.unseen, "; "))
	}
	r := fleetReport{Versions: make(map[uint64]int), Services: summarise(nodes), Nodes: nodes, Unseen: f.unseen}
	for _, n := range nodes {
		r.Versions[n.Catalogue.Version]++
	}
	err = inv.print(r, func(w io.Writer) { r.write(w) })
	return errors.CombineErrors(err, f.partial())
}

// summarise combines what all nodes report about each upstream.
func summarise(nodes []report.Node) []upstreamSummary {
	type key struct{ service, vm string }
	found := make(map[key]*upstreamSummary)
	for _, n := range nodes {
		for _, u := range n.Upstreams {
			k := key{u.Service, u.VM}
			if found[k] == nil {
				found[k] = &upstreamSummary{Service: u.Service, VM: u.VM, States: make(map[string]int)}
			}
			found[k].States[u.State]++
			if u.Reason != "" && !slices.Contains(found[k].Reasons, u.Reason) {
				found[k].Reasons = append(found[k].Reasons, u.Reason)
			}
		}
	}
	list := make([]upstreamSummary, 0, len(found))
	for _, s := range found {
		slices.Sort(s.Reasons)
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b upstreamSummary) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.VM, b.VM))
	})
	return list
}

func (r *fleetReport) write(w io.Writer) {
	fmt.Fprintln(w, "Nodes")
	r.writeNodes(w)
	fmt.Fprintln(w, "\nUpstreams, by how many nodes see them so")
	t := newTable(w, "SERVICE", "VM", "IN", "COLD", "OUT", "UNKNOWN", "REASONS")
	for _, s := range r.Services {
		t.row(s.Service, s.VM, s.States[report.UpstreamIn], s.States[report.UpstreamCold],
			s.States[report.UpstreamOut], s.States[report.UpstreamUnknown], strings.Join(s.Reasons, ", "))
	}
	t.flush()
	fmt.Fprintln(w, "\nRefused since the start")
	t = newTable(w, "VM", "SERVICE", "CLASS", "REASON", "COUNT")
	for _, n := range r.Nodes {
		for _, s := range n.Admission.Shed {
			t.row(n.VM, n.Service, s.Class, s.Reason, s.Count)
		}
	}
	t.flush()
	for _, n := range r.Nodes {
		for _, c := range n.Catalogue.Refused {
			fmt.Fprintf(w, "%s refused catalogue version %d: %s\n", n.VM, c.Version, c.Error)
		}
	}
}

func (r *fleetReport) writeNodes(w io.Writer) {
	t := newTable(w, "VM", "SERVICE", "DATACENTRE", "STATE", "CATALOGUE", "LIMIT", "SLOTS", "IN FLIGHT", "QUEUED", "SHEDS BELOW", "STORE", "LINKS", "ROLE")
	for _, n := range r.Nodes {
		store := "up"
		if n.Store.Down {
			store = "down"
		}
		t.row(n.VM, n.Service, n.Datacentre, n.State, n.Catalogue.Version, n.Admission.Limit, n.Admission.Slots,
			n.Admission.InFlight, n.Admission.Queued, levelText(n.Admission), store,
			fmt.Sprintf("%d/%d", n.Links.Up, n.Links.Up+n.Links.Silent), roles(n))
	}
	t.flush()
}

func levelText(a report.Admission) string {
	if a.Level == 0 {
		return "-"
	}
	return fmt.Sprintf("%d (%s)", a.Level, a.LevelClass)
}

func roles(n report.Node) string {
	var list []string
	if n.Members.Watcher {
		list = append(list, "watcher")
	}
	if n.Homes.IsHome {
		list = append(list, "home")
	}
	if n.Superseded {
		list = append(list, "superseded")
	}
	return strings.Join(list, ",")
}
