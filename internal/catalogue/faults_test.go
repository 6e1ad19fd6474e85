package catalogue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
	"heathershed/internal/platform/fake"
)

// storeFaults are the faults of the table; each comes alone and with each
// other one.
var storeFaults = []struct {
	name string
	set  func(f *fake.Faults)
}{
	{"none", func(*fake.Faults) {}},
	{"down", func(f *fake.Faults) { f.Down = true }},
	{"slow", func(f *fake.Faults) { f.Latency = 30 * time.Millisecond }},
	{"answer lost", func(f *fake.Faults) { f.LostAnswer = 0.6 }},
	{"write delayed", func(f *fake.Faults) { f.DelayedWrite, f.WriteDelay = 0.6, 100*time.Millisecond }},
	{"write dropped", func(f *fake.Faults) { f.DroppedWrite = 0.6 }},
	{"old reads", func(f *fake.Faults) { f.StaleRead, f.StaleBy = 0.6, 200*time.Millisecond }},
}

// Two operators edit at once, the second between any two calls of the first,
// under each fault and each pair of faults. Then the faults end, whoever was
// told "unknown" sends the same edit again, and everything must add up.
func TestTwoOperatorsUnderFaults(t *testing.T) {
	for i, one := range storeFaults {
		for _, two := range storeFaults[i:] {
			t.Run(one.name+" and "+two.name, func(t *testing.T) {
				t.Parallel()
				var faults fake.Faults
				one.set(&faults)
				two.set(&faults)
				for seed := int64(1); seed <= 40; seed++ {
					for _, same := range []bool{false, true} {
						twoOperators(t, faults, seed, same)
					}
				}
			})
		}
	}
}

func twoOperators(t *testing.T, faults fake.Faults, seed int64, same bool) {
	t.Helper()
	m := newModel(seed)
	if _, err := m.issue(Edit{Upsert: []Entry{entry("a", 1), entry("b", 1)}}); err != nil {
		t.Fatal(err)
	}
	m.now = m.now.Add(time.Second)
	base := m.base()
	second := "b"
	if same {
		second = "a"
	}
	m.store.SetFaults(faults)
	m.before = func() {
		if _, err := m.issue(Edit{Base: base, Upsert: []Entry{entry(second, 3)}}); err != nil && same {
			return
		}
	}
	for skip := seed % 4; skip > 0; skip-- { // the second one comes before call 1 to 4
		inner := m.before
		m.before = func() { m.before = inner }
	}
	_, _ = m.issue(Edit{Base: base, Upsert: []Entry{entry("a", 2)}})
	for m.before != nil { // the first one made fewer calls
		hooked{m: m}.hook()
	}
	m.settle()
	for _, i := range m.edits {
		if i.report != unknown {
			continue
		}
		err := m.send(i)
		var conflict *ConflictError
		if err != nil && !(same && errors.As(err, &conflict)) {
			t.Errorf("seed %d: sent again: %v", seed, err)
		}
	}
	if err := m.check(); err != nil {
		t.Errorf("seed %d, same entry %v: %v", seed, same, err)
	}
	if faults == (fake.Faults{}) {
		checkNoFaults(t, m, same)
	}
}

// checkNoFaults checks that without faults both edits are accepted, or one
// with a conflict that names entry, author and version.
func checkNoFaults(t *testing.T, m *model, same bool) {
	t.Helper()
	conflicts := 0
	for _, i := range m.edits[1:] {
		_, err := m.editor().Apply(context.Background(), i.edit)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			conflicts++
			if want := (Conflict{"a", 2, "operator"}); conflict.Conflicts[0] != want {
				t.Errorf("conflict %+v, want %+v", conflict.Conflicts[0], want)
			}
		}
	}
	if want := map[bool]int{false: 0, true: 1}[same]; conflicts != want {
		t.Errorf("%d conflicts, want %d", conflicts, want)
	}
}

func TestApplyRefuses(t *testing.T) {
	one := Edit{ID: "x", Author: "o", Base: 1, Upsert: []Entry{entry("c", 1)}}
	with := func(change func(*Edit)) Edit {
		e := one
		change(&e)
		return e
	}
	isConflict := func(err error) bool { var e *ConflictError; return errors.As(err, &e) }
	isStale := func(err error) bool { var e *StaleBaseError; return errors.As(err, &e) }
	isUnknownEntry := func(err error) bool { var e *UnknownEntryError; return errors.As(err, &e) }
	is := func(target error) func(error) bool { return func(err error) bool { return errors.Is(err, target) } }
	for name, c := range map[string]struct {
		edit Edit
		want func(error) bool
	}{
		"no id":              {with(func(e *Edit) { e.ID = "" }), is(ErrBadEdit)},
		"no author":          {with(func(e *Edit) { e.Author = "" }), is(ErrBadEdit)},
		"note of two lines":  {with(func(e *Edit) { e.Note = "a\nb" }), is(ErrBadEdit)},
		"entry twice":        {with(func(e *Edit) { e.Delete = []string{"c"} }), is(ErrBadEdit)},
		"same entry":         {with(func(e *Edit) { e.Upsert = []Entry{entry("a", 9)} }), isConflict},
		"deleted by other":   {with(func(e *Edit) { e.Upsert = []Entry{entry("b", 9)} }), isConflict},
		"delete of unknown":  {with(func(e *Edit) { e.Delete = []string{"z"} }), isUnknownEntry},
		"same route":         {with(func(e *Edit) { e.Upsert[0].Kind.Path = "/a" }), IsInvalid},
		"base to come":       {with(func(e *Edit) { e.Base = 99 }), is(ErrStaleRead)},
		"id of another edit": {with(func(e *Edit) { e.ID = "edit-1" }), is(ErrEditIDReused)},
		"last entries":       {with(func(e *Edit) { e.Base, e.Upsert, e.Delete = 3, nil, []string{"a"} }), is(ErrEmptyCatalogue)},
		"base too old":       {with(func(e *Edit) { e.ID = "old" }), isStale},
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(1)
			c.edit.Upsert = append([]Entry{}, c.edit.Upsert...)
			for i, e := range c.edit.Upsert {
				kind := *e.Kind
				c.edit.Upsert[i].Kind = &kind
			}
			for _, e := range []Edit{{Upsert: []Entry{entry("a", 1), entry("b", 1)}}, {Base: 1, Upsert: []Entry{entry("a", 2)}}, {Base: 2, Delete: []string{"b"}}} {
				if _, err := m.issue(e); err != nil {
					t.Fatal(err)
				}
			}
			if name == "base too old" {
				o, _ := m.store.Get(context.Background(), Key)
				_, _ = m.store.Put(context.Background(), Key, docValue(t, 300, "later", entryText("a")), o.Version, "w")
			}
			before := m.base()
			if _, err := m.editor().Apply(context.Background(), c.edit); !c.want(err) {
				t.Errorf("err = %v", err)
			}
			if after := m.base(); after != before {
				t.Errorf("version %d became %d", before, after)
			}
		})
	}
}

// A document that is unreadable, invalid or lost is replaced by an edit that
// says so, above every version in force.
func TestReplace(t *testing.T) {
	ctx := context.Background()
	for name, value := range map[string][]byte{
		"garbage": []byte("garbage"), "invalid": docValue(t, 2, "e", "[kind a]\n"), "lost": nil,
	} {
		m := newModel(1)
		m.nodes[0].high = 7
		if value != nil {
			if _, err := m.store.Put(ctx, Key, value, 0, "w"); err != nil {
				t.Fatal(err)
			}
			if _, err := m.issue(Edit{Upsert: []Entry{entry("a", 1)}}); !errors.Is(err, ErrUnreadableHead) {
				t.Errorf("%s: err = %v", name, err)
			}
		}
		i, err := m.issue(Edit{Base: 7, Replace: true, Upsert: []Entry{entry("a", 1)}})
		if err != nil || i.version != 8 {
			t.Errorf("%s: version %d, %v", name, i.version, err)
		}
		var refused *OrderKindError // whose route /b was before nobody can tell
		if _, err := m.issue(Edit{Base: 8, Upsert: []Entry{entry("b", 1)}}); !errors.As(err, &refused) {
			t.Errorf("%s: new route after a replacement: %v", name, err)
		}
		if err := m.check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// An old read, of a version on which the edit would be refused, doesn't refuse
// an edit that was applied to a later one.
func TestOldReadRefusesNothingApplied(t *testing.T) {
	m := newModel(1)
	edits := []Edit{{Upsert: []Entry{entry("a", 1)}}, {Base: 1, Upsert: []Entry{entry("b", 1)}}, {Base: 1, Delete: []string{"a"}}}
	for _, e := range edits {
		if _, err := m.issue(e); err != nil {
			t.Fatal(err)
		}
		m.now = m.now.Add(100 * time.Millisecond)
	}
	m.store.SetFaults(fake.Faults{StaleRead: 1, StaleBy: 201 * time.Millisecond})
	if err := m.send(m.edits[2]); err != nil || m.edits[2].version != 3 {
		t.Errorf("version %d, %v", m.edits[2].version, err)
	}
}

// A catalogue too large for the store is refused before anything is sent.
func TestApplyOversized(t *testing.T) {
	m := newModel(1)
	var edit Edit
	for i := 0; i < 5000; i++ {
		e := entry(fmt.Sprintf("kind-%d", i), 1)
		edit.Upsert = append(edit.Upsert, e)
	}
	if _, err := m.issue(edit); !IsInvalid(err) {
		t.Errorf("err = %.200v", err)
	}
	if _, err := m.store.Get(context.Background(), Key); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("store: %v", err)
	}
}

func TestRevert(t *testing.T) {
	m := newModel(1)
	for base, e := range []Edit{
		{Upsert: []Entry{entry("a", 1), entry("b", 1)}},
		{Upsert: []Entry{entry("a", 2), entry("c", 2)}},
		{Delete: []string{"b"}},
	} {
		e.Base = uint64(base)
		if _, err := m.issue(e); err != nil {
			t.Fatal(err)
		}
	}
	ctx := context.Background()
	edit := Edit{ID: "revert", Author: "o"}
	result, err := m.editor().Revert(ctx, 1, edit)
	if err != nil || result.Version != 4 {
		t.Fatalf("%+v, %v", result, err)
	}
	d, err := m.editor().Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	first, err := d.At(1)
	if err != nil || d.Text != string(first.Text()) {
		t.Errorf("version 4 is\n%s, want\n%s (%v)", d.Text, first.Text(), err)
	}
	edit.Base = 3
	if again, err := m.editor().Revert(ctx, 1, edit); err != nil || !again.AlreadyAccepted || again.Version != 4 {
		t.Errorf("the same revert again: %+v, %v", again, err)
	}
	if _, err := m.editor().Revert(ctx, 9, Edit{ID: "r2", Author: "o"}); !errors.Is(err, ErrNoVersion) {
		t.Errorf("revert to the future: %v", err)
	}
}
