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

// storeFaults are the store faults that the tests inject, singly and in pairs.
var storeFaults = []struct {
	name string
	set  func(f *fake.Faults)
}{
	{"none", func(*fake.Faults) {}},
	{"down", func(f *fake.Faults) { f.Down = true }},
	{"slow", func(f *fake.Faults) { f.Latency = 30 * time.Millisecond }},
	{"lost answer", func(f *fake.Faults) { f.LostAnswer = 0.6 }},
	{"delayed write", func(f *fake.Faults) { f.DelayedWrite, f.WriteDelay = 0.6, 100*time.Millisecond }},
	{"dropped write", func(f *fake.Faults) { f.DroppedWrite = 0.6 }},
	{"stale reads", func(f *fake.Faults) { f.StaleRead, f.StaleBy = 0.6, 200*time.Millisecond }},
}

// Guards against edits that are lost, applied twice or reported wrongly when two
// operators edit concurrently under store faults. The second edit starts before
// one of the first edit's store calls; after the faults end, an edit with an
// unknown outcome is sent again.
func TestConcurrentEditsUnderFaults(t *testing.T) {
	for i, one := range storeFaults {
		for _, two := range storeFaults[i:] {
			t.Run(one.name+" and "+two.name, func(t *testing.T) {
				t.Parallel()
				var faults fake.Faults
				one.set(&faults)
				two.set(&faults)
				for seed := int64(1); seed <= 40; seed++ {
					for _, same := range []bool{false, true} {
						runConcurrentEdits(t, faults, seed, same)
					}
				}
			})
		}
	}
}

func runConcurrentEdits(t *testing.T, faults fake.Faults, seed int64, same bool) {
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
	m.beforeCall = func() {
		if _, err := m.issue(Edit{Base: base, Upsert: []Entry{entry(second, 3)}}); err != nil && same {
			return
		}
	}
	for skip := seed % 4; skip > 0; skip-- { // the second edit starts before call 1 to 4 of the first
		pending := m.beforeCall
		m.beforeCall = func() { m.beforeCall = pending }
	}
	_, _ = m.issue(Edit{Base: base, Upsert: []Entry{entry("a", 2)}})
	for m.beforeCall != nil { // the first edit made fewer calls
		hookedStore{m: m}.hook()
	}
	m.settle()
	for _, i := range m.edits {
		if i.report != unknown {
			continue
		}
		err := m.send(i)
		var conflict *ConflictError
		if err != nil && !(same && errors.As(err, &conflict)) {
			t.Errorf("seed %d: edit sent again: got error %v", seed, err)
		}
	}
	if err := m.check(); err != nil {
		t.Errorf("seed %d, same entry %v: %v", seed, same, err)
	}
	if faults == (fake.Faults{}) {
		checkNoFaults(t, m, same)
	}
}

// checkNoFaults checks that without faults both edits are accepted, or, if they
// change the same entry, one is rejected with a conflict that names the entry,
// the author and the version.
func checkNoFaults(t *testing.T, m *model, same bool) {
	t.Helper()
	conflicts := 0
	for _, i := range m.edits[1:] {
		_, err := m.editor().Apply(context.Background(), i.edit)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			conflicts++
			if want := (Conflict{"a", 2, "operator"}); conflict.Conflicts[0] != want {
				t.Errorf("got conflict %+v, want %+v", conflict.Conflicts[0], want)
			}
		}
	}
	if want := map[bool]int{false: 0, true: 1}[same]; conflicts != want {
		t.Errorf("got %d conflicts, want %d", conflicts, want)
	}
}

// Guards against invalid, conflicting or outdated edits that create a version.
func TestApplyRejectsInvalidEdits(t *testing.T) {
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
		"unknown entry":      {with(func(e *Edit) { e.Delete = []string{"z"} }), isUnknownEntry},
		"same route":         {with(func(e *Edit) { e.Upsert[0].Kind.Path = "/a" }), IsInvalid},
		"base in the future": {with(func(e *Edit) { e.Base = 99 }), is(ErrStaleRead)},
		"id of another edit": {with(func(e *Edit) { e.ID = "edit-1" }), is(ErrEditIDReused)},
		"no entries left":    {with(func(e *Edit) { e.Base, e.Upsert, e.Delete = 3, nil, []string{"a"} }), is(ErrEmptyCatalogue)},
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
				t.Errorf("got unexpected error %v", err)
			}
			if after := m.base(); after != before {
				t.Errorf("rejected edit changed version %d to %d", before, after)
			}
		})
	}
}

// Guards against a catalogue that can't be repaired: an edit with Replace must
// overwrite an unreadable, invalid or lost document, with a version above every
// active one.
func TestReplaceLostDocument(t *testing.T) {
	ctx := context.Background()
	for name, value := range map[string][]byte{
		"garbage": []byte("garbage"), "invalid": docValue(t, 2, "e", "[kind a]\n"), "lost": nil,
	} {
		m := newModel(1)
		m.nodes[0].highest = 7
		if value != nil {
			if _, err := m.store.Put(ctx, Key, value, 0, "w"); err != nil {
				t.Fatal(err)
			}
			if _, err := m.issue(Edit{Upsert: []Entry{entry("a", 1)}}); !errors.Is(err, ErrUnreadableHead) {
				t.Errorf("%s: edit without Replace: got %v, want ErrUnreadableHead", name, err)
			}
		}
		i, err := m.issue(Edit{Base: 7, Replace: true, Upsert: []Entry{entry("a", 1)}})
		if err != nil || i.version != 8 {
			t.Errorf("%s: edit with Replace: got version %d, error %v, want version 8", name, i.version, err)
		}
		var refused *OrderKindError // the previous kind of route /b is unknown
		if _, err := m.issue(Edit{Base: 8, Upsert: []Entry{entry("b", 1)}}); !errors.As(err, &refused) {
			t.Errorf("%s: new route after replacement: got %v, want *OrderKindError", name, err)
		}
		if err := m.check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a stale read that makes Apply reject an edit which has been
// applied since. On the version read, the edit would delete all entries.
func TestStaleReadDoesNotRejectAppliedEdit(t *testing.T) {
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
		t.Errorf("got version %d, error %v, want version 3", m.edits[2].version, err)
	}
}

// Guards against a write of a catalogue that is too large for the store.
func TestApplyRejectsOversizedCatalogue(t *testing.T) {
	m := newModel(1)
	var edit Edit
	for i := 0; i < 5000; i++ {
		e := entry(fmt.Sprintf("kind-%d", i), 1)
		edit.Upsert = append(edit.Upsert, e)
	}
	if _, err := m.issue(edit); !IsInvalid(err) {
		t.Errorf("got error %.200v, want *InvalidError", err)
	}
	if _, err := m.store.Get(context.Background(), Key); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("read of the store: got error %v, want ErrNotFound", err)
	}
}

// Guards against a revert that restores other content or is applied twice.
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
		t.Fatalf("revert: got %+v, error %v, want version 4", result, err)
	}
	d, err := m.editor().Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	first, err := d.At(1)
	if err != nil || d.Text != string(first.Text()) {
		t.Errorf("version 4: got\n%s\nwant\n%s (error %v)", d.Text, first.Text(), err)
	}
	edit.Base = 3
	if again, err := m.editor().Revert(ctx, 1, edit); err != nil || !again.AlreadyAccepted || again.Version != 4 {
		t.Errorf("repeated revert: got %+v, error %v, want version 4, already accepted", again, err)
	}
	if _, err := m.editor().Revert(ctx, 9, Edit{ID: "r2", Author: "o"}); !errors.Is(err, ErrNoVersion) {
		t.Errorf("revert to a future version: got %v, want ErrNoVersion", err)
	}
}
