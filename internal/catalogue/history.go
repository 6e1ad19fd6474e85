package catalogue

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrNoVersion: the document no longer retains the version, or the version never
// existed.
var ErrNoVersion = errors.New("no such catalogue version")

// At returns the catalogue of a version: the document's own, or an earlier one,
// which it reconstructs by undoing the later changes. It returns ErrNoVersion if
// the version is not retained.
func (d *Document) At(version uint64) (*Catalogue, error) {
	current, err := Parse([]byte(d.Text))
	if err != nil {
		return nil, err
	}
	if version == d.Version {
		return current, nil
	}
	entries := current.byName()
	changes := d.Changes()
	for i := 0; i+1 < len(changes); i++ {
		if err := undo(entries, changes[i]); err != nil {
			return nil, err
		}
		if changes[i+1].Version == version {
			return fromEntries(entries)
		}
	}
	return nil, errors.Wrapf(ErrNoVersion, "%d: versions %d to %d are available", version, d.oldest(), d.Version)
}

// oldest returns the oldest version that At can return.
func (d *Document) oldest() uint64 {
	if len(d.Recent) == 0 {
		return d.Version
	}
	return d.Recent[len(d.Recent)-1].Version
}

// undo reverts a change in entries.
func undo(entries map[string]Entry, c Change) error {
	for _, e := range c.Entries {
		if e.Before == "" {
			delete(entries, e.Name)
			continue
		}
		before, err := Parse([]byte(e.Before))
		if err != nil {
			return errors.Wrapf(err, "entry %s before version %d", e.Name, c.Version)
		}
		entries[e.Name] = before.Entries()[0]
	}
	return nil
}

// Revert writes a new version with the content of an old one. It sets the
// edit's Upsert and Delete, and its Base to the current version if that is 0.
// Entries that other edits change concurrently conflict or are merged, as in
// any edit.
func (e *Editor) Revert(ctx context.Context, version uint64, edit Edit) (Result, error) {
	d, err := e.Load(ctx)
	if err != nil {
		return Result{}, err
	}
	if edit.Base == 0 {
		edit.Base = d.Version
	}
	from, err := d.At(edit.Base)
	if err != nil {
		return Result{}, err
	}
	to, err := d.At(version)
	if err != nil {
		return Result{}, err
	}
	edit.SetDiff(from, to)
	return e.Apply(ctx, edit)
}
