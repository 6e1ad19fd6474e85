package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/catalogue"
)

// versionLine begins the first line of a shown catalogue. The version in it is
// the base of later edits of the file.
const versionLine = "# catalogue version "

// shownCatalogue is the JSON output of "catalogue show".
type shownCatalogue struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func runShow(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("catalogue show", 0, 1); err != nil {
		return err
	}
	d, partial, err := inv.loadDocument(ctx)
	if err != nil {
		return err
	}
	shown := shownCatalogue{d.Version, d.Text}
	if len(inv.args) == 1 {
		if shown.Version, err = parseVersion(inv.args[0]); err != nil {
			return err
		}
		c, err := d.At(shown.Version)
		if err != nil {
			return err
		}
		shown.Text = string(c.Text())
	}
	err = inv.print(shown, func(w io.Writer) {
		fmt.Fprintf(w, "%s%d\n\n%s", versionLine, shown.Version, shown.Text)
	})
	return errors.CombineErrors(err, partial)
}

func runCheck(_ context.Context, inv *invocation) error {
	if err := inv.checkArgs("catalogue check", 1, 1); err != nil {
		return err
	}
	c, _, err := inv.readFile(inv.args[0])
	var invalid *catalogue.InvalidError
	if errors.As(err, &invalid) && inv.settings.json {
		return errors.CombineErrors(err, inv.print(invalid.Problems, nil))
	}
	if err != nil {
		return err
	}
	return inv.print(map[string]int{"entries": len(c.Entries())}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid, %d entries\n", inv.args[0], len(c.Entries()))
	})
}

// readFile reads a catalogue file, or standard input for "-". It also returns
// the version in the file's first line, or 0 if there is none.
func (inv *invocation) readFile(path string) (*catalogue.Catalogue, uint64, error) {
	text, err := inv.readText(path)
	if err != nil {
		return nil, 0, err
	}
	base := uint64(0)
	if first, rest, _ := strings.Cut(text, "\n"); strings.HasPrefix(first, versionLine) {
		base, err = parseVersion(strings.TrimSpace(strings.TrimPrefix(first, versionLine)))
		if err != nil {
			return nil, 0, errors.Wrapf(err, "%s: line 1", path)
		}
		text = rest
	}
	c, err := catalogue.Parse([]byte(text))
	return c, base, errors.Wrapf(err, "%s", path)
}

func (inv *invocation) readText(path string) (string, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(io.LimitReader(inv.stdin, catalogue.MaxText+1))
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return "", usagef("catalogue file: %v", err)
	}
	return string(text), nil
}

func runDiff(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("catalogue diff", 1, 2); err != nil {
		return err
	}
	d, partial, err := inv.loadDocument(ctx)
	if err != nil {
		return err
	}
	from, err := inv.versionOrFile(d, inv.args[0])
	if err != nil {
		return err
	}
	target := strconv.FormatUint(d.Version, 10)
	if len(inv.args) == 2 {
		target = inv.args[1]
	}
	to, err := inv.versionOrFile(d, target)
	if err != nil {
		return err
	}
	differences := catalogue.Diff(from, to)
	err = inv.print(differences, func(w io.Writer) { writeDiff(w, differences) })
	return errors.CombineErrors(err, partial)
}

// versionOrFile returns a stored version if arg is a number, else the catalogue
// in the file of that name.
func (inv *invocation) versionOrFile(d *catalogue.Document, arg string) (*catalogue.Catalogue, error) {
	if version, err := strconv.ParseUint(arg, 10, 64); err == nil {
		return d.At(version)
	}
	c, _, err := inv.readFile(arg)
	return c, err
}

func writeDiff(w io.Writer, differences []catalogue.Difference) {
	for _, d := range differences {
		fmt.Fprintf(w, "%s %s\n", d.What, d.Entry)
		for _, f := range d.Fields {
			fmt.Fprintf(w, "  %s: %q -> %q\n", f.Field, f.From, f.To)
		}
	}
}

func runHistory(ctx context.Context, inv *invocation) error {
	if err := inv.checkArgs("catalogue history", 0, 0); err != nil {
		return err
	}
	d, partial, err := inv.loadDocument(ctx)
	if err != nil {
		return err
	}
	changes := d.Changes()
	err = inv.print(changes, func(w io.Writer) {
		table := newTable(w, "VERSION", "TIME", "AUTHOR", "ENTRIES", "NOTE")
		for _, c := range changes {
			table.row(c.Version, c.Time.UTC().Format(time.DateTime), c.Author, entryNames(c.Entries), c.Note)
		}
		table.flush()
	})
	return errors.CombineErrors(err, partial)
}

// maxNames bounds the entry names in one cell of a table.
const maxNames = 4

func entryNames(entries []catalogue.EntryChange) string {
	var names []string
	for _, e := range entries[:min(len(entries), maxNames)] {
		names = append(names, e.Name)
	}
	if more := len(entries) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, ", ")
}
