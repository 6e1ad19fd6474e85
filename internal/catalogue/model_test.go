package catalogue

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
	"heathershed/internal/platform/fake"
)

// report is what an operator was told.
type report int

const (
	applied report = iota
	refused
	unknown
)

// issued is an edit with what its operator was told last.
type issued struct {
	edit    Edit
	report  report
	version uint64
}

// model drives the editor over a faulty store and keeps what operators were
// told, to hold against what the store has in the end.
type model struct {
	now    time.Time
	store  *fake.Store
	edits  []*issued
	before func() // runs once, before the next call to the store
	nodes  []*node
	log    []string
	ran    []ran
}

func newModel(seed int64) *model {
	m := &model{now: time.Unix(1_000_000, 0)}
	m.store = fake.New(fake.WithSeed(seed), fake.WithClock(func() time.Time { return m.now }),
		fake.WithSleep(func(_ context.Context, d time.Duration) error {
			m.now = m.now.Add(d)
			return context.DeadlineExceeded // every slow call is over its deadline
		}))
	for i := 0; i < numNodes; i++ {
		m.nodes = append(m.nodes, &node{holder: NewHolder(), ready: true})
	}
	return m
}

// hooked is the store as operators see it.
type hooked struct {
	platform.Store
	m *model
}

func (h hooked) hook() {
	if f := h.m.before; f != nil {
		h.m.before = nil
		f()
	}
}

func (h hooked) Get(ctx context.Context, key string) (platform.Object, error) {
	h.hook()
	return h.Store.Get(ctx, key)
}

func (h hooked) Put(ctx context.Context, key string, value []byte, base platform.Version, id string) (platform.Object, error) {
	h.hook()
	return h.Store.Put(ctx, key, value, base, id)
}

func (m *model) editor() *Editor {
	floor := uint64(0)
	for _, n := range m.nodes {
		floor = max(floor, n.high)
	}
	return NewEditor(hooked{m.store, m}, Options{Floor: floor, Now: func() time.Time { return m.now },
		Wait: func(context.Context, int) error { m.now = m.now.Add(40 * time.Millisecond); return nil }})
}

// base returns the version that an operator sees, for an edit of his.
func (m *model) base() uint64 {
	o, err := m.store.Get(context.Background(), Key)
	if err != nil {
		return 0
	}
	d, err := Decode(o.Value)
	if err != nil {
		return 0
	}
	return d.Version
}

// send sends an edit, for the first time or again, and keeps the report.
func (m *model) send(i *issued) error {
	result, err := m.editor().Apply(context.Background(), i.edit)
	var maybe *UnknownOutcomeError
	var notSent *NotSentError
	switch {
	case err == nil && !result.Unchanged:
		i.report, i.version = applied, result.Version
	case errors.As(err, &maybe):
		i.report = unknown
	case errors.As(err, &notSent):
		// Nothing new is known.
	default:
		i.report = refused
	}
	return err
}

func (m *model) issue(e Edit) (*issued, error) {
	e.ID = fmt.Sprintf("edit-%d", len(m.edits))
	e.Author = "operator"
	i := &issued{edit: e, report: refused}
	m.edits = append(m.edits, i)
	err := m.send(i)
	return i, err
}

// entry returns an entry whose timeout tells edits apart.
func entry(name string, value int) Entry {
	kind := defaults(name)
	kind.Owner, kind.Service, kind.Idempotent, kind.Method, kind.Path = "filao", "spanbook", true, "GET", "/"+name
	kind.Timeout = time.Duration(value+1) * time.Millisecond
	return Entry{Kind: kind}
}

// settle ends all faults and lets delayed writes land.
func (m *model) settle() {
	m.store.SetFaults(fake.Faults{})
	m.now = m.now.Add(time.Hour)
	m.store.ApplyDueWrites()
}

// check holds the reports against the store, which has settled: edits lost,
// doubled or reported wrongly, versions out of order, and entries that a merge
// or the history lost.
func (m *model) check() error {
	d, err := m.editor().Load(context.Background())
	if err != nil {
		return errors.Wrap(err, "load")
	}
	made := make(map[string]uint64)
	for i, c := range d.Changes() {
		if made[c.EditID] != 0 {
			return errors.Newf("edit %s doubled: versions %d and %d", c.EditID, made[c.EditID], c.Version)
		}
		made[c.EditID] = c.Version
		if i > 0 && c.Version >= d.Changes()[i-1].Version {
			return errors.Newf("version %d before %d", c.Version, d.Changes()[i-1].Version)
		}
	}
	for _, i := range m.edits {
		version := made[i.edit.ID]
		if i.report == applied && (version != i.version || version == 0) {
			return errors.Newf("edit %s reported in version %d, is in %d", i.edit.ID, i.version, version)
		}
		if i.report == refused && version != 0 {
			return errors.Newf("edit %s reported refused, made version %d", i.edit.ID, version)
		}
	}
	return m.replay(d)
}

// replay applies the accepted edits one by one and compares every version.
func (m *model) replay(d *Document) error {
	entries := make(map[string]string)
	changes := d.Changes()
	slices.Reverse(changes)
	for _, c := range changes {
		at := slices.IndexFunc(m.edits, func(i *issued) bool { return i.edit.ID == c.EditID })
		if at < 0 {
			return errors.Newf("version %d by edit %s of nobody", c.Version, c.EditID)
		}
		edit := m.edits[at].edit
		if edit.Replace {
			clear(entries)
		}
		for _, name := range edit.Delete {
			delete(entries, name)
		}
		for _, e := range edit.Upsert {
			entries[e.Kind.Name] = e.String()
		}
		got, err := d.At(c.Version)
		if err != nil {
			return err
		}
		if len(got.Entries()) != len(entries) {
			return errors.Newf("version %d has %d entries, want %d", c.Version, len(got.Entries()), len(entries))
		}
		for _, e := range got.Entries() {
			if entries[e.Kind.Name] != e.String() {
				return errors.Newf("version %d: entry\n%swant\n%s", c.Version, e, entries[e.Kind.Name])
			}
		}
	}
	return nil
}
