package catalogue

import (
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"heathershed/internal/contract"
	"heathershed/internal/platform"
)

// MaxText bounds the text of a catalogue, in bytes.
const MaxText = platform.MaxValue

// MaxComment bounds the comment above one entry, in bytes.
const MaxComment = 2048

// sectionPrefix is the prefix of every section's name.
const sectionPrefix = "kind "

// loadOptions make the INI parser retain repeated sections and repeated keys,
// so that the checks can reject them.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
}

// Parse parses and validates a catalogue. If the text is invalid it returns an
// *InvalidError that lists all problems. An empty text is a valid catalogue
// without entries.
func Parse(text []byte) (*Catalogue, error) {
	if len(text) > MaxText {
		found := problems{}
		found.add("", "", "text has %d bytes: want at most %d", len(text), MaxText)
		return nil, found.err()
	}
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		found := problems{}
		found.add("", "", "not INI: %.200s", err)
		return nil, found.err()
	}
	return build(file)
}

func build(file *ini.File) (*Catalogue, error) {
	found := &problems{}
	c := newCatalogue()
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		entry, ok := parseEntry(section, found)
		if !ok {
			continue
		}
		c.add(entry, found)
	}
	return c.close(found)
}

// parseEntry parses one section. It reports whether the entry has a valid name,
// so that the rules that span all entries can be applied to it.
func parseEntry(section *ini.Section, found *problems) (Entry, bool) {
	if section.Name() == ini.DefaultSection {
		found.add("", "", "key %.80q stands before the first entry: want [kind NAME] first", section.Keys()[0].Name())
		return Entry{}, false
	}
	name, ok := strings.CutPrefix(section.Name(), sectionPrefix)
	if !ok {
		found.add("", "", "section [%.80s]: want [kind NAME]", section.Name())
		return Entry{}, false
	}
	kind := defaultKind("")
	if err := parseName(&kind.Name, name); err != nil {
		found.add("", "", "section [%.80s]: name %s", section.Name(), err)
		return Entry{}, false
	}
	before := len(found.list)
	if len(section.Comment) > MaxComment {
		found.add(name, "", "comment has %d bytes: want at most %d", len(section.Comment), MaxComment)
	}
	parseKeys(section, kind, found)
	if len(found.list) == before {
		checkKind(kind, found)
	}
	return Entry{Kind: kind, Comment: section.Comment}, true
}

func parseKeys(section *ini.Section, kind *contract.Kind, found *problems) {
	known := make(map[string]bool, len(fields))
	for _, f := range fields {
		known[f.name] = true
		parseField(section, kind, f, found)
	}
	for _, key := range section.Keys() {
		if !known[key.Name()] {
			found.add(kind.Name, truncate(key.Name()), "unknown key: want one of %s", fieldNames())
		}
	}
}

func parseField(section *ini.Section, kind *contract.Kind, f field, found *problems) {
	if !section.HasKey(f.name) {
		if f.required {
			found.add(kind.Name, f.name, "is missing")
		}
		return
	}
	values := section.Key(f.name).ValueWithShadows()
	if len(values) > 1 {
		found.add(kind.Name, f.name, "is given %d times", len(values))
		return
	}
	if err := f.parse(kind, values[0]); err != nil {
		found.add(kind.Name, f.name, "%s", err)
	}
}

// checkKind checks the rules that combine several fields of one entry.
func checkKind(k *contract.Kind, found *problems) {
	if k.IsOrder() && k.Class != contract.ClassOrder {
		found.add(k.Name, "class", "%s: an entry with idempotent = false has class = order", k.Class)
	}
	if !k.IsOrder() && k.Class == contract.ClassOrder {
		found.add(k.Name, "class", "order: only an entry with idempotent = false may claim it")
	}
	if k.IsOrder() && (k.Method == "GET" || k.Method == "HEAD") {
		found.add(k.Name, "method", "%s: clients repeat it on their own, so an order can't use it", k.Method)
	}
}

// IsInvalid reports whether err is or wraps an *InvalidError.
func IsInvalid(err error) bool {
	var invalid *InvalidError
	return errors.As(err, &invalid)
}

// truncate cuts a key from the input to MaxName bytes for use in a Problem.
func truncate(s string) string {
	if len(s) > MaxName {
		return s[:MaxName] + "..."
	}
	return s
}
