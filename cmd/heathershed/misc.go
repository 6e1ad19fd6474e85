package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
	"heathershed/internal/report"
	"heathershed/internal/version"
)

func runOrderID(_ context.Context, inv *invocation) error {
	if err := inv.checkArgs("order-id", 0, 0); err != nil {
		return err
	}
	id, err := contract.NewOrderID()
	if err != nil {
		return err
	}
	return inv.print(map[string]string{"order_id": id.String()}, func(w io.Writer) { fmt.Fprintln(w, id) })
}

func runDrain(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("drain", 1, 1); err != nil {
		return err
	}
	f, err := inv.discover(ctx)
	if err != nil {
		return err
	}
	for _, m := range f.members {
		if m.VM != inv.args[0] {
			continue
		}
		body, err := f.client.call(ctx, fasthttp.MethodPost, m.AdminAddress, report.PathDrain)
		if err != nil {
			return errors.Wrapf(err, "VM %s is %s as far as known", m.VM, m.State)
		}
		var answer report.DrainAnswer
		if err := json.Unmarshal(body, &answer); err != nil {
			return errors.Wrapf(err, "VM %s", m.VM)
		}
		return inv.print(answer, func(w io.Writer) {
			fmt.Fprintf(w, "%s is %s, %d calls in flight\n", answer.VM, answer.State, answer.InFlight)
		})
	}
	return errors.Mark(errors.Newf("no VM %.80q among the %d known", inv.args[0], len(f.members)), errNoVM)
}

// versions is the JSON output of "version".
type versions struct {
	Command string                 `json:"command"`
	Nodes   []report.VersionAnswer `json:"nodes,omitempty"`
	Unseen  []string               `json:"unseen,omitempty"`
}

func runVersion(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("version", 0, 0); err != nil {
		return err
	}
	v := versions{Command: version.Version}
	if len(inv.settings.nodes)+len(inv.settings.platform) == 0 {
		return inv.print(v, func(w io.Writer) { fmt.Fprintln(w, v.Command) })
	}
	f, err := inv.discover(ctx)
	if err != nil {
		fmt.Fprintln(inv.stderr, "this command: "+v.Command)
		return err
	}
	v.Nodes = queryAll(ctx, f, func(ctx context.Context, m report.Member) (answer report.VersionAnswer, err error) {
		err = f.client.getJSON(ctx, m.AdminAddress, report.PathVersion, &answer)
		return answer, err
	})
	v.Unseen = f.unseen
	err = inv.print(v, func(w io.Writer) {
		t := newTable(w, "VM", "VERSION")
		t.row("(this command)", v.Command)
		for _, n := range v.Nodes {
			t.row(n.VM, n.Version)
		}
		t.flush()
	})
	return errors.CombineErrors(err, f.partial())
}
