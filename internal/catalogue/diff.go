package catalogue

// Values of Difference.What.
const (
	Added   = "added"
	Changed = "changed"
	Removed = "removed"
)

// FieldDifference is one key that differs between two versions of an entry.
type FieldDifference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Difference is one entry that differs between two catalogues.
type Difference struct {
	Entry string `json:"entry"`
	// What is Added, Changed or Removed.
	What string `json:"what"`
	// Fields lists the keys that differ if What is Changed. A changed comment
	// is listed as "comment".
	Fields []FieldDifference `json:"fields,omitempty"`
}

// Diff returns the entries that differ between two catalogues, sorted by name.
func Diff(from, to *Catalogue) []Difference {
	var list []Difference
	a, b := from.Entries(), to.Entries()
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && compareEntries(a[0], b[0]) < 0:
			list = append(list, Difference{Entry: a[0].Kind.Name, What: Removed})
			a = a[1:]
		case len(a) == 0 || compareEntries(a[0], b[0]) > 0:
			list = append(list, Difference{Entry: b[0].Kind.Name, What: Added})
			b = b[1:]
		default:
			if changed := diffFields(a[0], b[0]); len(changed) > 0 {
				list = append(list, Difference{Entry: a[0].Kind.Name, What: Changed, Fields: changed})
			}
			a, b = a[1:], b[1:]
		}
	}
	return list
}

func diffFields(a, b Entry) []FieldDifference {
	var list []FieldDifference
	if a.Comment != b.Comment {
		list = append(list, FieldDifference{"comment", a.Comment, b.Comment})
	}
	for _, f := range fields {
		if from, to := f.format(a.Kind), f.format(b.Kind); from != to {
			list = append(list, FieldDifference{f.name, from, to})
		}
	}
	return list
}
