package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"heathershed/internal/catalogue"
	"heathershed/internal/report"
)

// changeOptions are the flags of the sub-commands that change the catalogue.
type changeOptions struct {
	base    uint64
	editID  string
	note    string
	delete  bool
	replace bool
}

func changeFlags(flags *flag.FlagSet, inv *invocation) {
	o := &inv.change
	flags.Uint64Var(&o.base, "base", 0, "version that the edit is based on")
	flags.StringVar(&o.editID, "edit-id", "", "id of an edit to send again, with its -base")
	flags.StringVar(&o.note, "note", "", "reason, kept with the version")
}

func editFlags(flags *flag.FlagSet, inv *invocation) {
	changeFlags(flags, inv)
	flags.BoolVar(&inv.change.delete, "delete", false, "delete the entry")
}

func applyFlags(flags *flag.FlagSet, inv *invocation) {
	changeFlags(flags, inv)
	flags.BoolVar(&inv.change.replace, "replace", false,
		"take the place of a stored catalogue that is unreadable or lost; needs -nodes")
}

// newEdit returns an edit without entries, with the values of the flags.
func (inv *invocation) newEdit() (catalogue.Edit, error) {
	o := inv.change
	e := catalogue.Edit{ID: o.editID, Author: inv.settings.author, Note: o.note, Base: o.base, Replace: o.replace}
	if e.ID == "" {
		e.ID = catalogue.NewEditID()
	} else if e.Base == 0 {
		return e, usagef("-edit-id needs the -base that the edit was first sent with")
	}
	return e, nil
}

// printResult prints the result of an edit.
func (inv *invocation) printResult(r catalogue.Result) error {
	return inv.print(r, func(w io.Writer) {
		switch {
		case r.Unchanged:
			fmt.Fprintf(w, "unchanged: version %d already says so\n", r.Version)
		case r.AlreadyAccepted:
			fmt.Fprintf(w, "already accepted as version %d\n", r.Version)
		default:
			fmt.Fprintf(w, "accepted as version %d: %s\n", r.Version, entryNames(r.Entries))
		}
	})
}

func runEdit(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("catalogue edit", 1, 1+len(inv.args)); err != nil {
		return err
	}
	name, changes := inv.args[0], inv.args[1:]
	if (len(changes) == 0) != inv.change.delete {
		return usagef("catalogue edit: want KEY=VALUE, or -delete alone")
	}
	edit, err := inv.newEdit()
	if err != nil {
		return err
	}
	editor, err := inv.editor(0)
	if err != nil {
		return err
	}
	d, err := editor.Load(ctx)
	if err != nil {
		return err
	}
	if edit.Base == 0 {
		edit.Base = d.Version
	}
	if inv.change.delete {
		edit.Delete = []string{name}
	} else if edit.Upsert, err = editedEntry(d, edit.Base, name, changes); err != nil {
		return err
	}
	result, err := editor.Apply(ctx, edit)
	if err != nil {
		return err
	}
	return inv.printResult(result)
}

// editedEntry returns the entry of the base version with changes applied to it,
// or a new entry if the base version has none of that name.
func editedEntry(d *catalogue.Document, base uint64, name string, changes []string) ([]catalogue.Entry, error) {
	text := "[kind " + name + "]\n"
	if base > 0 {
		c, err := d.At(base)
		if err != nil {
			return nil, err
		}
		if entry, ok := c.Entry(name); ok {
			return setFields(entry, changes)
		}
	}
	for _, change := range changes {
		text += strings.ReplaceAll(change, "\n", " ") + "\n"
	}
	c, err := catalogue.Parse([]byte(text))
	if err != nil {
		return nil, errors.Wrapf(err, "new entry %.80s", name)
	}
	return c.Entries(), nil
}

func setFields(entry catalogue.Entry, changes []string) ([]catalogue.Entry, error) {
	for _, change := range changes {
		key, value, ok := strings.Cut(change, "=")
		if !ok {
			return nil, usagef("%.80q: want KEY=VALUE", change)
		}
		var err error
		if entry, err = entry.SetField(strings.TrimSpace(key), strings.TrimSpace(value)); err != nil {
			return nil, err
		}
	}
	return []catalogue.Entry{entry}, nil
}

func runApply(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("catalogue apply", 1, 1); err != nil {
		return err
	}
	wanted, base, err := inv.readFile(inv.args[0])
	if err != nil {
		return err
	}
	edit, err := inv.newEdit()
	if err != nil {
		return err
	}
	if edit.Base == 0 {
		edit.Base = base
	}
	if edit.Replace {
		return inv.replace(ctx, edit, wanted)
	}
	editor, err := inv.editor(0)
	if err != nil {
		return err
	}
	d, err := editor.Load(ctx)
	if err != nil {
		return err
	}
	from, err := baseCatalogue(d, edit.Base, wanted)
	if err != nil {
		return err
	}
	edit.SetDiff(from, wanted)
	result, err := editor.Apply(ctx, edit)
	if err != nil {
		return err
	}
	return inv.printResult(result)
}

// baseCatalogue returns the catalogue that a file is based on. Without a base
// version it accepts only the first catalogue, or one that changes nothing: any
// other could undo changes that operators have made meanwhile.
func baseCatalogue(d *catalogue.Document, base uint64, wanted *catalogue.Catalogue) (*catalogue.Catalogue, error) {
	if d.Version == 0 && base == 0 {
		return catalogue.Parse(nil)
	}
	if base > d.Version {
		return nil, errors.Wrapf(catalogue.ErrStaleRead, "store has version %d, edit is based on version %d", d.Version, base)
	}
	if base > 0 {
		c, err := d.At(base)
		if errors.Is(err, catalogue.ErrNoVersion) {
			return nil, &catalogue.StaleBaseError{Base: base, Head: d.Version}
		}
		return c, err
	}
	c, err := d.At(d.Version)
	if err != nil || len(catalogue.Diff(c, wanted)) == 0 {
		return c, err
	}
	return nil, usagef("the file doesn't say which version it is based on: give -base, or begin it with %q as 'catalogue show' does",
		versionLine+"N")
}

// replace writes a complete catalogue in place of an unreadable or lost one.
// Its version is higher than every version that is active at a node that
// answers.
func (inv *invocation) replace(ctx context.Context, edit catalogue.Edit, wanted *catalogue.Catalogue) error {
	if len(inv.settings.nodes) == 0 {
		return usagef("-replace needs -nodes: the new version must be higher than the active ones")
	}
	f, err := inv.discover(ctx)
	if err != nil {
		return err
	}
	floor := uint64(0)
	for _, n := range queryAll(ctx, f, f.report) {
		floor = max(floor, n.Catalogue.Version)
	}
	edit.Base = floor
	edit.Upsert = wanted.Entries()
	editor, err := inv.editor(floor)
	if err != nil {
		return err
	}
	result, err := editor.Apply(ctx, edit)
	if err != nil {
		return err
	}
	return errors.CombineErrors(inv.printResult(result), f.partial())
}

// report asks one node for its report.
func (f *fleet) report(ctx context.Context, m report.Member) (report.Node, error) {
	var n report.Node
	err := f.client.getJSON(ctx, m.AdminAddress, report.PathReport, &n)
	return n, err
}

func runRevert(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("catalogue revert", 1, 1); err != nil {
		return err
	}
	version, err := parseVersion(inv.args[0])
	if err != nil {
		return err
	}
	edit, err := inv.newEdit()
	if err != nil {
		return err
	}
	editor, err := inv.editor(0)
	if err != nil {
		return err
	}
	result, err := editor.Revert(ctx, version, edit)
	if err != nil {
		return err
	}
	return inv.printResult(result)
}
