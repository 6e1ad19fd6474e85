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

// Edit is a change to the catalogue that an operator requests.
type Edit struct {
	// ID identifies the edit and makes it idempotent: the same edit sent again
	// with the same ID is applied once. It has 1 to MaxName bytes; NewEditID
	// returns a unique one.
	ID string
	// Author and Note are stored with the version: a single line of up to
	// MaxAuthor and MaxNote bytes. Author is required.
	Author, Note string
	// Base is the version that the operator saw. Entries that other edits
	// changed after it are conflicts.
	Base uint64
	// Upsert holds complete entries to add or replace, Delete the names of
	// entries to remove.
	Upsert []Entry
	Delete []string
	// Replace allows the edit to overwrite a stored document that is unreadable,
	// invalid or older than Base because the store has lost data. Upsert then
	// holds the complete catalogue.
	Replace bool
}

// NewEditID returns a new unique edit id.
func NewEditID() string { return uuid.NewString() }

// ErrBadEdit is returned for an edit whose ID, Author or Note is out of bounds,
// or which names an entry twice.
var ErrBadEdit = errors.New("bad edit")

// check returns ErrBadEdit if the edit is malformed, regardless of the stored
// catalogue.
func (e *Edit) check() error {
	if e.ID == "" || len(e.ID) > MaxName {
		return errors.Wrapf(ErrBadEdit, "edit id %.80q: want 1 to %d bytes", e.ID, MaxName)
	}
	if e.Author == "" || len(e.Author) > MaxAuthor || !printable(e.Author) {
		return errors.Wrapf(ErrBadEdit, "author %.80q: want a single line of 1 to %d bytes", e.Author, MaxAuthor)
	}
	if len(e.Note) > MaxNote || !printable(e.Note) {
		return errors.Wrapf(ErrBadEdit, "note: want at most %d bytes on a single line", MaxNote)
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

// names returns the names of all entries in Upsert and Delete, sorted.
func (e *Edit) names() []string {
	names := slices.Clone(e.Delete)
	for _, entry := range e.Upsert {
		names = append(names, entry.Kind.Name)
	}
	slices.Sort(names)
	return names
}

// sum returns a hash of Upsert and Delete, so that an ID that is reused for a
// different edit is detected.
func (e *Edit) sum() string {
	d := xxhash.New()
	upsert := slices.Clone(e.Upsert)
	slices.SortFunc(upsert, compareEntries)
	for _, entry := range upsert {
		fmt.Fprintf(d, "+%s\x00", entry)
	}
	deleted := slices.Clone(e.Delete)
	slices.Sort(deleted)
	for _, name := range deleted {
		fmt.Fprintf(d, "-%s\x00", name)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// SetDiff sets Upsert and Delete so that the edit turns one catalogue into
// another.
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

// SetField returns a copy of the entry with one key changed. It returns an
// *InvalidError if the key or its value is invalid. The rules that combine
// several keys are checked when the edit is applied.
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
	return Entry{}, &InvalidError{Problems: []Problem{{Entry: e.Kind.Name, Field: truncate(name), Message: message}}}
}
