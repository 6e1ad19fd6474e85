// Package workspace implements the table of workspaces and their API keys, and the
// lease under which a node may use it.
//
// A Table is immutable and safe for concurrent use.
package workspace

import (
	"cmp"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// maxName bounds the length of a workspace's name, in bytes.
	maxName = 256
	// maxKey bounds the length of a key, in bytes.
	maxKey = 512
	// maxRate bounds a rate, in requests a second, and a burst, in requests.
	maxRate = 1e9
)

// Workspace is one customer's part of a deployment.
type Workspace struct {
	Name string
	// Priority, if HasPriority is set, applies to the requests of the workspace in
	// place of the route's; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate is the limit in requests a second, and Burst the requests above it that
	// are allowed at once, over all nodes together. A Rate of 0 means no limit.
	Rate, Burst float64
}

// Limited reports whether the workspace has a limit.
func (w *Workspace) Limited() bool { return w.Rate > 0 }

// Entry is a workspace with its keys, as the configuration describes it.
type Entry struct {
	Workspace
	Keys []string
}

// Table holds the workspaces of one configuration.
type Table struct {
	byKey  map[string]*Workspace
	byName map[string]*Workspace
}

// NewTable returns the table of the entries. Each error names a workspace that has an
// invalid entry, and contains no key. Nothing invalid lets anybody in: a key that two
// workspaces hold belongs to neither, workspaces of the same name have no keys, and
// neither has one whose limit is invalid.
func NewTable(entries []Entry) (*Table, []error) {
	t := &Table{
		byKey:  make(map[string]*Workspace),
		byName: make(map[string]*Workspace, len(entries)),
	}
	var invalid []error
	add := func(name string, err error) {
		if err != nil {
			invalid = append(invalid, errors.Wrapf(err, "workspace %.80q", name))
		}
	}
	named := make(map[string]int, len(entries))
	for _, e := range entries {
		named[e.Name]++
	}
	shared := make(map[string]bool)
	for _, e := range entries {
		if err := e.validate(named[e.Name]); err != nil {
			add(e.Name, err)
			continue
		}
		add(e.Name, t.put(e, shared))
	}
	return t, invalid
}

func (e *Entry) validate(sameName int) error {
	switch {
	case e.Name == "" || len(e.Name) > maxName || !isToken(e.Name):
		return errors.Newf("name: must have 1 to %d visible ASCII characters", maxName)
	case sameName > 1:
		return errors.Newf("%d entries have this name", sameName)
	case !isAmount(e.Rate) || !isAmount(e.Burst):
		return errors.Newf("limit of %g a second with a burst of %g: must be from 0 to %g", e.Rate, e.Burst, float64(maxRate))
	}
	return nil
}

func isAmount(v float64) bool { return v >= 0 && v <= maxRate && !math.IsNaN(v) }

// isToken reports whether text can be sent as the value of a header.
func isToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// put adds a valid workspace. shared holds the keys that were found at two workspaces.
func (t *Table) put(e Entry, shared map[string]bool) error {
	w := e.Workspace
	t.byName[w.Name] = &w
	var invalid error
	for _, key := range e.Keys {
		if err := t.putKey(key, &w, shared); err != nil {
			invalid = err
		}
	}
	return invalid
}

func (t *Table) putKey(key string, w *Workspace, shared map[string]bool) error {
	holder := t.byKey[key]
	switch {
	case key == "" || len(key) > maxKey || !isToken(key):
		return errors.Newf("a key of %d bytes: must have 1 to %d visible ASCII characters", len(key), maxKey)
	case shared[key]:
		return errors.New("a key is held by more than two workspaces")
	case holder != nil && holder != w:
		delete(t.byKey, key)
		shared[key] = true
		return errors.Newf("a key is also held by workspace %.80q", holder.Name)
	}
	t.byKey[key] = w
	return nil
}

// Lookup returns the workspace that holds a key, or nil if none does.
func (t *Table) Lookup(key []byte) *Workspace { return t.byKey[string(key)] }

// Find returns the workspace of a name, or nil if there is none.
func (t *Table) Find(name string) *Workspace { return t.byName[name] }

// Len returns the number of workspaces.
func (t *Table) Len() int { return len(t.byName) }

// All returns the workspaces, sorted by name.
func (t *Table) All() []*Workspace {
	all := make([]*Workspace, 0, len(t.byName))
	for _, w := range t.byName {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
