package catalogue

import (
	"bytes"
	"slices"
	"strings"

	"heathershed/internal/contract"
)

// Entry is a request kind together with the comment above it.
type Entry struct {
	Kind *contract.Kind
	// Comment holds the comment lines above the entry, or is empty.
	Comment string
}

// Equal reports whether both entries have the same kind and comment.
func (e Entry) Equal(other Entry) bool {
	return e.Comment == other.Comment && *e.Kind == *other.Kind
}

// String returns the entry in the catalogue's text format, with a trailing
// newline.
func (e Entry) String() string {
	var b strings.Builder
	if e.Comment != "" {
		b.WriteString(e.Comment + "\n")
	}
	b.WriteString("[" + sectionPrefix + e.Kind.Name + "]\n")
	for _, f := range fields {
		b.WriteString(f.name + " = " + f.format(e.Kind) + "\n")
	}
	return b.String()
}

// Catalogue is a valid set of request kinds. It is immutable, so it is safe
// for concurrent use.
type Catalogue struct {
	entries []Entry        // sorted by name
	names   map[string]int // index into entries
	kinds   []*contract.Kind
	routes  routes
	text    []byte
}

func newCatalogue() *Catalogue {
	return &Catalogue{names: make(map[string]int), routes: newRoutes()}
}

// add adds an entry, or records in found that an earlier entry has the same
// name or the same method and path.
func (c *Catalogue) add(e Entry, found *problems) {
	if _, ok := c.names[e.Kind.Name]; ok {
		found.add(e.Kind.Name, "", "stands twice in the catalogue")
		return
	}
	c.names[e.Kind.Name] = 0
	c.entries = append(c.entries, e)
	if e.Kind.Path == "" || e.Kind.Method == "" {
		return
	}
	if other := c.routes.add(e.Kind); other != nil {
		found.add(e.Kind.Name, "path", "%s %s overlaps with entry %s", e.Kind.Method, e.Kind.Path, other.Name)
	}
}

func compareEntries(a, b Entry) int { return strings.Compare(a.Kind.Name, b.Kind.Name) }

// close completes the catalogue. It returns an *InvalidError if problems were
// found or the formatted text is larger than MaxText.
func (c *Catalogue) close(found *problems) (*Catalogue, error) {
	if err := found.err(); err != nil {
		return nil, err
	}
	c.render()
	if len(c.text) > MaxText {
		found.add("", "", "text has %d bytes when written out: want at most %d", len(c.text), MaxText)
		return nil, found.err()
	}
	return c, nil
}

// render sorts the entries, indexes them by name and formats the text.
func (c *Catalogue) render() {
	slices.SortFunc(c.entries, compareEntries)
	var text bytes.Buffer
	for i, e := range c.entries {
		c.names[e.Kind.Name] = i
		c.kinds = append(c.kinds, e.Kind)
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(e.String())
	}
	c.text = text.Bytes()
}

// Kind returns the kind with the given name.
func (c *Catalogue) Kind(name string) (*contract.Kind, bool) {
	e, ok := c.Entry(name)
	return e.Kind, ok
}

// Entry returns the entry with the given name.
func (c *Catalogue) Entry(name string) (Entry, bool) {
	i, ok := c.names[name]
	if !ok {
		return Entry{}, false
	}
	return c.entries[i], true
}

// Entries returns all entries, sorted by name. The caller must not modify the
// slice.
func (c *Catalogue) Entries() []Entry { return c.entries }

// byName returns the entries by name in a new map, which the caller may modify.
func (c *Catalogue) byName() map[string]Entry {
	entries := make(map[string]Entry, len(c.entries))
	for _, e := range c.entries {
		entries[e.Kind.Name] = e
	}
	return entries
}

// Kinds returns all kinds, sorted by name. The caller must not modify the
// slice.
func (c *Catalogue) Kinds() []*contract.Kind { return c.kinds }

// Text returns the catalogue in its canonical text format: entries sorted by
// name, with every key written out. Parse of the text returns an equal
// catalogue. The caller must not modify it.
func (c *Catalogue) Text() []byte { return c.text }
