package catalogue

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Conflict is an entry that another edit changed after the version that the
// operator's edit is based on.
type Conflict struct {
	Entry string `json:"entry"`
	// Version is the newest version that changed the entry, Author the operator
	// who created it.
	Version uint64 `json:"version"`
	Author  string `json:"author"`
}

// ConflictError reports that an edit was not applied because other edits changed
// the same entries after its base.
type ConflictError struct {
	// Base is the version that the edit is based on, Head the one in the store.
	Base, Head uint64
	Conflicts  []Conflict
}

// Error names each conflicting entry with the version that changed it and its
// author.
func (e *ConflictError) Error() string {
	parts := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		parts[i] = fmt.Sprintf("entry %s was changed by %s in version %d", c.Entry, c.Author, c.Version)
	}
	return fmt.Sprintf("conflict: the edit is based on version %d, but %s", e.Base, strings.Join(parts, "; "))
}

// StaleBaseError reports that an edit was not applied because the retained
// changes don't reach back to its base, so conflicts can't be detected.
type StaleBaseError struct {
	Base, Head uint64
}

// Error names both versions.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("the edit is based on version %d, which is too old to be compared with version %d", e.Base, e.Head)
}

// UnknownEntryError reports that an edit deletes an entry that doesn't exist.
type UnknownEntryError struct {
	Entry string
	Head  uint64
}

// Error names the entry.
func (e *UnknownEntryError) Error() string {
	return fmt.Sprintf("catalogue version %d has no entry %.80q", e.Head, e.Entry)
}

// ErrEmptyCatalogue is returned for an edit that would delete all entries.
var ErrEmptyCatalogue = errors.New("the edit would leave a catalogue without entries")

// mergeResult is the result of merge. changes is empty if the edit changes
// nothing.
type mergeResult struct {
	catalogue *Catalogue
	changes   []EntryChange // sorted by name
}

// merge applies an edit to the catalogue of a document. Edits of different
// entries merge. An entry that was changed after the edit's base is a conflict,
// even if both changes are the same.
func merge(head *Document, current *Catalogue, edit *Edit) (mergeResult, error) {
	if err := checkConflicts(head, edit); err != nil {
		return mergeResult{}, err
	}
	entries := current.byName()
	var changes []EntryChange
	for _, name := range edit.Delete {
		old, ok := entries[name]
		if !ok {
			return mergeResult{}, &UnknownEntryError{Entry: name, Head: head.Version}
		}
		delete(entries, name)
		changes = append(changes, EntryChange{name, old.String()})
	}
	for _, e := range edit.Upsert {
		old, ok := entries[e.Kind.Name]
		if ok && old.Equal(e) {
			continue
		}
		entries[e.Kind.Name] = e
		change := EntryChange{Name: e.Kind.Name}
		if ok {
			change.Before = old.String()
		}
		changes = append(changes, change)
	}
	if len(entries) == 0 {
		return mergeResult{}, ErrEmptyCatalogue
	}
	next, err := fromEntries(entries)
	slices.SortFunc(changes, func(a, b EntryChange) int { return strings.Compare(a.Name, b.Name) })
	return mergeResult{next, changes}, err
}

// checkConflicts returns a *ConflictError if an entry of the edit was changed
// after the edit's base, or a *StaleBaseError if that can't be determined.
func checkConflicts(head *Document, edit *Edit) error {
	if edit.Base >= head.Version {
		return nil
	}
	changes := head.Changes()
	if changes[len(changes)-1].Version > edit.Base+1 {
		return &StaleBaseError{Base: edit.Base, Head: head.Version}
	}
	names := edit.names()
	conflict := &ConflictError{Base: edit.Base, Head: head.Version}
	found := make(map[string]bool)
	for _, c := range changes {
		if c.Version <= edit.Base {
			break
		}
		for _, e := range c.Entries {
			if _, ours := slices.BinarySearch(names, e.Name); ours && !found[e.Name] {
				found[e.Name] = true
				conflict.Conflicts = append(conflict.Conflicts, Conflict{e.Name, c.Version, c.Author})
			}
		}
	}
	if len(conflict.Conflicts) == 0 {
		return nil
	}
	return conflict
}

// fromEntries builds a catalogue from entries and checks the rules that combine
// fields or entries. It doesn't check single fields again.
func fromEntries(entries map[string]Entry) (*Catalogue, error) {
	list := make([]Entry, 0, len(entries))
	for _, e := range entries {
		list = append(list, e)
	}
	slices.SortFunc(list, compareEntries)
	found := &problems{}
	c := newCatalogue()
	for _, e := range list {
		checkKind(e.Kind, found)
		c.add(e, found)
	}
	return c.close(found)
}
