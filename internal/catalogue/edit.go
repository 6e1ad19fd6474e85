package catalogue

import (
	"fmt"
	"slices"
	"strconv"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Edit is what an operator wants changed.
type Edit struct {
	// ID names the edit. The same edit sent again under the same ID is applied
	// once. NewEditID makes one.
	ID string
	// Author and Note are kept with the version.
	Author, Note string
	// Base is the version that the operator saw. Entries that others changed
	// after it are conflicts.
	Base uint64
	// Upsert holds entries to add or to replace whole, Delete the names of
	// entries to remove.
	Upsert []Entry
	Delete []string
	// Replace lets the edit take the place of a stored document that is
	// unreadable, invalid or older than Base, because the store has lost data.
	// Upsert is then the whole catalogue.
	Replace bool
}

// NewEditID returns a fresh edit id.
func NewEditID() string { return uuid.NewString() }

// ErrBadEdit marks edits that break the bounds of an Edit.
var ErrBadEdit = errors.New("bad edit")

// check reports what is wrong with the edit itself.
func (e *Edit) check() error {
	if e.ID == "" || len(e.ID) > MaxName {
		return errors.Wrapf(ErrBadEdit, "edit id %.80q: want 1 to %d bytes", e.ID, MaxName)
	}
	if e.Author == "" || len(e.Author) > MaxAuthor || !printable(e.Author) {
		return errors.Wrapf(ErrBadEdit, "author %.80q: want 1 to %d bytes of one line", e.Author, MaxAuthor)
	}
	if len(e.Note) > MaxNote || !printable(e.Note) {
		return errors.Wrapf(ErrBadEdit, "note: want at most %d bytes of one line", MaxNote)
	}
	names := e.names()
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return errors.Wrapf(ErrBadEdit, "entry %s is edited twice", names[i])
		}
	}
	return nil
}

func printable(s string) bool {
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// names returns the names of all entries that the edit names, sorted.
func (e *Edit) names() []string {
	names := slices.Clone(e.Delete)
	for _, entry := range e.Upsert {
		names = append(names, entry.Kind.Name)
	}
	slices.Sort(names)
	return names
}

// sum identifies what the edit asks for, so that an ID used again for
// something else is noticed.
func (e *Edit) sum() string {
	d := xxhash.New()
	upsert := slices.Clone(e.Upsert)
	slices.SortFunc(upsert, compareEntries)
	for _, entry := range upsert {
		fmt.Fprintf(d, "+%s\x00", entry)
	}
	gone := slices.Clone(e.Delete)
	slices.Sort(gone)
	for _, name := range gone {
		fmt.Fprintf(d, "-%s\x00", name)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// SetDiff makes the edit turn one catalogue into another.
func (e *Edit) SetDiff(from, to *Catalogue) {
	e.Upsert, e.Delete = nil, nil
	for _, entry := range to.Entries() {
		if old, ok := from.Entry(entry.Kind.Name); !ok || !old.Equal(entry) {
			e.Upsert = append(e.Upsert, entry)
		}
	}
	for _, entry := range from.Entries() {
		if _, ok := to.Entry(entry.Kind.Name); !ok {
			e.Delete = append(e.Delete, entry.Kind.Name)
		}
	}
}

// SetField returns a copy of the entry with one key changed. The rules between
// keys are checked when the edit is applied.
func (e Entry) SetField(name, value string) (Entry, error) {
	for _, f := range fields {
		if f.name != name {
			continue
		}
		kind := *e.Kind
		if err := f.parse(&kind, value); err != nil {
			return Entry{}, &InvalidError{Problems: []Problem{{Entry: kind.Name, Field: name, Message: err.Error()}}}
		}
		return Entry{Kind: &kind, Comment: e.Comment}, nil
	}
	message := "unknown key: want one of " + fieldNames()
	return Entry{}, &InvalidError{Problems: []Problem{{Entry: e.Kind.Name, Field: shorten(name), Message: message}}}
}
