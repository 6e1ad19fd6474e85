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

// report is the outcome that was reported to an operator.
type report int

const (
	applied report = iota
	refused
	unknown
)

// issuedEdit is an edit with the outcome last reported to its operator.
type issuedEdit struct {
	edit    Edit
	report  report
	version uint64
}

// model drives the editor over a faulty store and records the outcomes reported
// to operators, to compare them with the final content of the store.
type model struct {
	now        time.Time
	store      *fake.Store
	edits      []*issuedEdit
	beforeCall func() // runs once, before the next store call of an edit
	nodes      []*node
	log        []string
	executed   []executed
}

func newModel(seed int64) *model {
	m := &model{now: time.Unix(1_000_000, 0)}
	m.store = fake.New(fake.WithSeed(seed), fake.WithClock(func() time.Time { return m.now }),
		fake.WithSleep(func(_ context.Context, d time.Duration) error {
			m.now = m.now.Add(d)
			return context.DeadlineExceeded // every slow call exceeds its deadline
		}))
	for i := 0; i < numNodes; i++ {
		m.nodes = append(m.nodes, &node{holder: NewHolder(), ready: true})
	}
	return m
}

// hookedStore is the store that the editor uses. It runs model.beforeCall.
type hookedStore struct {
	platform.Store
	m *model
}

func (h hookedStore) hook() {
	if f := h.m.beforeCall; f != nil {
		h.m.beforeCall = nil
		f()
	}
}

func (h hookedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	h.hook()
	return h.Store.Get(ctx, key)
}

func (h hookedStore) Put(ctx context.Context, key string, value []byte, base platform.Version, id string) (platform.Object, error) {
	h.hook()
	return h.Store.Put(ctx, key, value, base, id)
}

func (m *model) editor() *Editor {
	floor := uint64(0)
	for _, n := range m.nodes {
		floor = max(floor, n.highest)
	}
	return NewEditor(hookedStore{m.store, m}, Options{Floor: floor, Now: func() time.Time { return m.now },
		Wait: func(context.Context, int) error { m.now = m.now.Add(40 * time.Millisecond); return nil }})
}

// base returns the stored version, or 0 if it can't be read, as the base of an
// edit.
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

// send sends an edit, for the first time or again, and records the reported
// outcome.
func (m *model) send(i *issuedEdit) error {
	result, err := m.editor().Apply(context.Background(), i.edit)
	var unknownOutcome *UnknownOutcomeError
	var notSent *NotSentError
	switch {
	case err == nil && !result.Unchanged:
		i.report, i.version = applied, result.Version
	case errors.As(err, &unknownOutcome):
		i.report = unknown
	case errors.As(err, &notSent):
		// Nothing new is known: the previous report remains.
	default:
		i.report = refused
	}
	return err
}

// issue sends a new edit.
func (m *model) issue(e Edit) (*issuedEdit, error) {
	e.ID = fmt.Sprintf("edit-%d", len(m.edits))
	e.Author = "operator"
	i := &issuedEdit{edit: e, report: refused}
	m.edits = append(m.edits, i)
	err := m.send(i)
	return i, err
}

// entry returns an entry whose timeout identifies the edit.
func entry(name string, value int) Entry {
	kind := defaultKind(name)
	kind.Owner, kind.Service, kind.Idempotent, kind.Method, kind.Path = "filao", "spanbook", true, "GET", "/"+name
	kind.Timeout = time.Duration(value+1) * time.Millisecond
	return Entry{Kind: kind}
}

// settle ends all faults and applies all delayed writes.
func (m *model) settle() {
	m.store.SetFaults(fake.Faults{})
	m.now = m.now.Add(time.Hour)
	m.store.ApplyDueWrites()
}

// check compares the reported outcomes with the settled store. It returns an
// error for edits that are lost, applied twice or reported wrongly, versions out
// of order, and entries that a merge or the history lost.
func (m *model) check() error {
	d, err := m.editor().Load(context.Background())
	if err != nil {
		return errors.Wrap(err, "load")
	}
	made := make(map[string]uint64)
	for i, c := range d.Changes() {
		if made[c.EditID] != 0 {
			return errors.Newf("edit %s applied twice: versions %d and %d", c.EditID, made[c.EditID], c.Version)
		}
		made[c.EditID] = c.Version
		if i > 0 && c.Version >= d.Changes()[i-1].Version {
			return errors.Newf("versions out of order: %d before %d", c.Version, d.Changes()[i-1].Version)
		}
	}
	for _, i := range m.edits {
		version := made[i.edit.ID]
		if i.report == applied && (version != i.version || version == 0) {
			return errors.Newf("edit %s reported as version %d, got %d", i.edit.ID, i.version, version)
		}
		if i.report == refused && version != 0 {
			return errors.Newf("edit %s reported as refused, but created version %d", i.edit.ID, version)
		}
	}
	return m.replay(d)
}

// replay applies the accepted edits one by one and compares each result with the
// document's history.
func (m *model) replay(d *Document) error {
	entries := make(map[string]string)
	changes := d.Changes()
	slices.Reverse(changes)
	for _, c := range changes {
		at := slices.IndexFunc(m.edits, func(i *issuedEdit) bool { return i.edit.ID == c.EditID })
		if at < 0 {
			return errors.Newf("version %d by unknown edit %s", c.Version, c.EditID)
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
			return errors.Newf("version %d: got %d entries, want %d", c.Version, len(got.Entries()), len(entries))
		}
		for _, e := range got.Entries() {
			if entries[e.Kind.Name] != e.String() {
				return errors.Newf("version %d: got entry\n%swant\n%s", c.Version, e, entries[e.Kind.Name])
			}
		}
	}
	return nil
}
